package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

// trackedRequest wraps the body of a request that is passed to the codec. written
// is set if any byte of the request may have left this process, which the errors
// of net/rpc do not show.
type trackedRequest struct {
	body    any
	written atomic.Bool
}

// activityConn records the time of the last received bytes, in nanoseconds, and
// the number of bytes sent.
type activityConn struct {
	net.Conn
	lastReceived atomic.Int64
	sentBytes    atomic.Int64
}

func newActivityConn(conn net.Conn) *activityConn {
	c := &activityConn{Conn: conn}
	c.lastReceived.Store(time.Now().UnixNano())
	return c
}

// Read implements net.Conn.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *activityConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sentBytes.Add(int64(n))
	return n, err
}

// receivedSince reports whether bytes arrived at or after t.
func (c *activityConn) receivedSince(t time.Time) bool { return c.lastReceived.Load() >= t.UnixNano() }

// gobCodec is the gob encoding of net/rpc for clients and servers.
type gobCodec struct {
	conn   io.ReadWriteCloser
	dec    *gob.Decoder
	enc    *gob.Encoder
	buffer *bufio.Writer
}

func newGobCodec(conn io.ReadWriteCloser) gobCodec {
	buffer := bufio.NewWriter(conn)
	return gobCodec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buffer), buffer: buffer}
}

func (c *gobCodec) write(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *gobCodec) Close() error { return c.conn.Close() }

// clientCodec records whether a request was written.
type clientCodec struct {
	gobCodec
	activity *activityConn
}

// WriteRequest implements rpc.ClientCodec. It sets written before the first byte
// is sent, because the connection may break before the write returns, and clears
// it if the write failed without sending a byte.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	tracked, ok := body.(*trackedRequest)
	if !ok {
		return c.write(r, body)
	}
	sentBefore := c.activity.sentBytes.Load()
	tracked.written.Store(true)
	err := c.write(r, tracked.body)
	if err != nil && c.activity.sentBytes.Load() == sentBefore {
		tracked.written.Store(false)
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// serverCodec counts the calls in progress, so that a shutdown can wait for their
// replies.
type serverCodec struct {
	gobCodec
	active *atomic.Int64
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.dec.Decode(r)
	if err == nil && r.ServiceMethod != pingMethod {
		c.active.Add(1)
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.ServiceMethod != pingMethod {
		defer c.active.Add(-1)
	}
	err := c.write(r, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}
