// Package earlytest is a backend server for tests that answers before it has read the request.
package earlytest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// UploadBytes is more than the send buffer of a connection and the receive buffer of a Server hold.
	UploadBytes = 8 << 20
	// receiveBuffer is the size of the receive buffer of a Server in bytes.
	receiveBuffer = 4 << 10
	// strikeDelay is the time between the answer and the end of the connection.
	strikeDelay = 20 * time.Millisecond
)

// Strike ends a connection whose client still writes its request.
type Strike func(*net.TCPConn)

// Strikes are the ways in which a connection breaks, by name.
var Strikes = map[string]Strike{"reset": Reset, "closed with unread bytes": Close}

// Reset resets the connection.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Close closes the connection, which resets it, because bytes are unread.
func Close(conn *net.TCPConn) { _ = conn.Close() }

// Stall leaves the connection open without reading from it.
func Stall(*net.TCPConn) {}

// Drain ends the answer and reads the request to its end.
func Drain(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// Server reads the head of each request, answers and strikes.
type Server struct {
	listener net.Listener
	answer   func(*http.Request) string
	strike   Strike
	requests atomic.Int64
}

// NewServer starts a server that sends the answer that answer returns for the head of a request.
func NewServer(t testing.TB, answer func(*http.Request) string, strike Strike) *Server {
	t.Helper()
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{listener: listener, answer: answer, strike: strike}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

func (s *Server) serve(conn *net.TCPConn) {
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		_ = conn.Close()
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(conn, s.answer(r))
	time.Sleep(strikeDelay)
	s.strike(conn)
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that arrived.
func (s *Server) Requests() int64 { return s.requests.Load() }
