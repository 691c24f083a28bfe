package httpclient

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Transport is an http.RoundTripper that opens a connection for each request. On a reused one, a late second
// copy of an answer would be taken for the answer to the next request.
//
// Unlike http.Transport, it knows when the last byte of a request was written, and a body that ends with its
// connection fails if the request was not written in full.
type Transport struct {
	// Dial opens a connection to a server at an IP address and port.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxHeadBytes limits the head of a response, with all informational responses before it.
	MaxHeadBytes int64
}

// RoundTrip implements http.RoundTripper. The end of the request's context closes the connection.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	conn, err := t.Dial(ctx, "tcp", r.URL.Host)
	if err != nil {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, err
	}
	c := &connection{Conn: conn, ctx: ctx}
	c.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	request := r.WithContext(ctx)
	request.Close = true
	written := make(chan struct{})
	var writeErr error
	// The server may answer before it has read the whole request.
	go func() {
		defer close(written)
		writeErr = request.Write(conn)
	}()
	response, err := t.readResponse(conn, r)
	if err != nil {
		_ = c.Close()
		return nil, c.cause(err)
	}
	if response.Body == http.NoBody {
		_ = c.Close()
		return response, nil
	}
	RequireWrittenRequest(response, func() error {
		<-written
		return writeErr
	})
	response.Body = &body{in: response.Body, conn: c}
	return response, nil
}

// readResponse reads the head of the final response, or of one that switches to another protocol.
func (t *Transport) readResponse(conn net.Conn, r *http.Request) (*http.Response, error) {
	limited := &io.LimitedReader{R: conn, N: t.MaxHeadBytes}
	in := bufio.NewReader(limited)
	for {
		response, err := http.ReadResponse(in, r)
		if err != nil {
			if limited.N <= 0 {
				err = errors.Errorf("the head of the response exceeds %d bytes", t.MaxHeadBytes)
			}
			return nil, err
		}
		status := response.StatusCode
		if status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols {
			continue
		}
		limited.N = math.MaxInt64
		return response, nil
	}
}

// connection is the connection of one request.
type connection struct {
	net.Conn
	ctx  context.Context
	stop func() bool
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.stop()
	return c.Conn.Close()
}

// cause returns the error of the context if it ended, and err otherwise.
func (c *connection) cause(err error) error {
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	return err
}

// body is the body of a response. Closing it closes the connection.
type body struct {
	in   io.Reader
	conn *connection
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if err != nil && err != io.EOF {
		err = b.conn.cause(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return b.conn.Close() }
