package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// gatedListener accepts nothing until the gate is opened.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// startGraceful starts a server and returns a connection to it.
func startGraceful(t *testing.T, s *gracefulServer, gate chan struct{}) net.Conn {
	t.Helper()
	tcp, err := s.listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.serve(&gatedListener{tcp, gate}) }()
	conn, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = s.http.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// readAnswer returns the length of the body of a whole answer.
func readAnswer(conn net.Conn) (int64, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.Copy(io.Discard, response.Body)
}

// Guards against connections that the kernel has established and that a stop resets because
// nobody has accepted them.
func TestGracefulStopServesConnectionsThatWereNotAccepted(t *testing.T) {
	draining := atomic.Bool{}
	s := newGracefulServer(http.NotFoundHandler(), &draining, zap.NewNop())
	gate := make(chan struct{})
	conn := startGraceful(t, s, gate)
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	draining.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- s.shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(gate)
	if _, err := readAnswer(conn); err != nil {
		t.Error(err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
