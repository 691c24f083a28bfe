package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/netlimit"
	"github.com/pkg/errors"
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
	conn   io.Closer
	dec    *gob.Decoder
	enc    *gob.Encoder
	buffer *bufio.Writer
}

func newGobCodec(conn io.Closer, in io.Reader, out io.Writer) gobCodec {
	buffer := bufio.NewWriter(out)
	return gobCodec{conn: conn, dec: gob.NewDecoder(in), enc: gob.NewEncoder(buffer), buffer: buffer}
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

// refusedMethod names no method, so net/rpc does not run the call.
const refusedMethod = "Wire.Refused"

// refusal is the error of a call that a server which shuts down has not run.
var refusal = verdict.Encode(verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the peer shuts down"))

// serverCodec counts the calls in progress, so that a shutdown can wait for their
// replies, and refuses calls after that.
type serverCodec struct {
	gobCodec
	server *Server
	reader *messageReader
	// lastRequest is the time of the last call in nanoseconds.
	lastRequest atomic.Int64
	// refused is the sequence number of the last refused call plus 1.
	refused atomic.Uint64
	// closing is set when the sending side is closed. The mutex of the server guards it.
	closing bool
	replies replyQueue
}

// maxUnsentReplies is the number of calls and probes in progress on a connection beyond which no more are
// read while a reply is being written.
const maxUnsentReplies = 256

// replyQueue stops the reading of calls from a client that does not read its replies: each call that has
// run keeps its goroutine and its reply. Calls that run for long do not stop it.
type replyQueue struct {
	mu sync.Mutex
	// pending is the number of calls and probes without a reply, and writing is set while a reply is
	// written, which has a deadline.
	pending int
	writing bool
	// written is closed when the reply was written. It is nil if nobody waits.
	written chan struct{}
}

// await waits while a reply is being written and many others are pending.
func (q *replyQueue) await() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.writing && q.pending >= maxUnsentReplies {
		if q.written == nil {
			q.written = make(chan struct{})
		}
		written := q.written
		q.mu.Unlock()
		<-written
		q.mu.Lock()
	}
}

// add records that a call was read.
func (q *replyQueue) add() {
	q.mu.Lock()
	q.pending++
	q.mu.Unlock()
}

// begin records that a reply is being written.
func (q *replyQueue) begin() {
	q.mu.Lock()
	q.writing = true
	q.mu.Unlock()
}

// end records that a reply was written.
func (q *replyQueue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending, q.writing = q.pending-1, false
	if q.written != nil {
		close(q.written)
		q.written = nil
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.replies.await()
	err := c.dec.Decode(r)
	if err == nil {
		c.replies.add()
	}
	if err != nil || r.ServiceMethod == pingMethod {
		return err
	}
	c.server.activeCalls.Add(1)
	c.reader.addCalls(1)
	c.lastRequest.Store(time.Now().UnixNano())
	if c.server.refusing.Load() {
		c.refused.Store(r.Seq + 1)
		r.ServiceMethod = refusedMethod
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.replies.begin()
	defer c.replies.end()
	if r.ServiceMethod != pingMethod {
		defer c.server.activeCalls.Add(-1)
		defer c.reader.addCalls(-1)
	}
	if r.Seq+1 == c.refused.Load() {
		r.Error = refusal
	}
	err := c.write(r, body)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.server.limits.Reporter.Refused(netlimit.ReasonSlowReader, c.reader.conn.RemoteAddr().String())
		}
		_ = c.Close()
	}
	return err
}
