package netlimit

import (
	"net"

	"github.com/pkg/errors"
)

// maxHeadLines limits the lines of a head. net/http bounds only its bytes, and the headers of a head in
// short lines take 15 times its size: 375 connections with unfinished heads of 64 KiB took 316 MiB.
const maxHeadLines = 256

// errTooManyLines makes net/http answer that the request is not valid, and close the connection.
var errTooManyLines = errors.New("the head of the request has too many lines")

// headConn is a connection of a server of net/http that counts the lines of heads. Its methods for
// reading must not be called concurrently, as net/http ensures.
type headConn struct {
	net.Conn
	reporter *Reporter
	// ended is set behind the empty line at the end of a head.
	ended bool
	// lines is the number of lines of the head, and column that of bytes in the last one.
	lines, column int
}

// begin is called before the next head is read.
func (c *headConn) begin() { c.ended, c.lines, c.column = false, 0, 0 }

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.ended && !c.count(p[:n]) {
		c.reporter.Refused(ReasonHeadLines, c.RemoteAddr().String())
		return 0, errTooManyLines
	}
	return n, err
}

// count counts the lines in p, and returns false if there are too many.
func (c *headConn) count(p []byte) bool {
	for _, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			c.column++
		case c.column > 0:
			c.lines, c.column = c.lines+1, 0
		case c.lines > 0:
			c.ended = true
			return c.lines <= maxHeadLines
		}
	}
	return c.lines <= maxHeadLines
}

// NetConn returns the connection without the counting, like that of tls.Conn.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *headConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.New("the connection has no half-close")
}

// Listener returns the listener for a server with limits: one that tries again to accept after an
// error that passes, and whose connections count the lines of heads.
func Listener(listener net.Listener, reporter *Reporter) net.Listener {
	return &headListener{Retry(listener, reporter), reporter}
}

type headListener struct {
	net.Listener
	reporter *Reporter
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn, reporter: l.reporter}, nil
}
