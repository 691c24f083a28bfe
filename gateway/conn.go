package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// Defaults for limits that the desired state does not declare.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 10 * time.Second
	// idleSlack is added to the declared idle timeout, so that a request sent just
	// before the timeout does not reach a closed connection.
	idleSlack = 2 * time.Second
	// lastReadTimeout is how long a connection waits for bytes that have already arrived.
	lastReadTimeout = time.Millisecond
	// readBufferBytes and writeBufferBytes are the buffer sizes of one connection.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// limitsOf returns the limits that t declares, with defaults for unset values.
func limitsOf(t *desired.Table) desired.Limits {
	l := desired.Limits{}
	if t != nil {
		l = t.State.Limits
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// request is a request whose body has been read completely.
type request struct {
	*http.Request
	body    body
	arrived time.Time
}

// callerConn is a connection from a caller.
type callerConn struct {
	gateway *Gateway
	conn    net.Conn
	// address is the network address of the caller without the port.
	address string
	in      *bufio.Reader
	out     *bufio.Writer

	mu sync.Mutex
	// busy is set while a request is being read or served.
	busy bool
	// idleSince is when the last request ended.
	idleSince time.Time
	// cancel cancels the request that is being served, nil if there is none.
	cancel context.CancelCauseFunc
	// isCutOff is set at the end of the drain, when what is being read or served ends.
	isCutOff bool

	// reading is set while a request is being read, which interrupt ends by setting interrupted.
	reading, interrupted bool
	// served is the number of requests that were served.
	served int
	// closing is set when closeForRoom chose the connection.
	closing bool

	// memory is what the present request holds, nil between requests.
	memory atomic.Pointer[requestMemory]
	// closeAnnounced is set when an answer told the caller that the connection closes.
	closeAnnounced bool
	// nextArrived is set when bytes of the next request arrived while one is being served.
	nextArrived atomic.Bool
}

func newCallerConn(g *Gateway, conn net.Conn) *callerConn {
	c := &callerConn{gateway: g, conn: conn, address: hostOf(conn.RemoteAddr()), out: bufio.NewWriterSize(conn, writeBufferBytes),
		idleSince: time.Now()}
	c.in = bufio.NewReaderSize(callerReader{c}, readBufferBytes)
	return c
}

// callerReader reads from the connection and records when bytes arrived.
type callerReader struct{ *callerConn }

// Read implements io.Reader.
func (r callerReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if m := r.memory.Load(); m != nil && n > 0 {
		m.lastRead.Store(int64(r.gateway.elapsed()))
	}
	return n, err
}

// setCancel sets how the request that is being served is canceled, nil if there is none.
func (c *callerConn) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.isCutOff && cancel != nil {
		cancel(errStopping)
	}
}

// cutOff ends the request that is being read or served, if any, so that it is answered.
func (c *callerConn) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCutOff = true
	switch {
	case c.cancel != nil:
		c.cancel(errStopping)
	case c.busy:
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReadTimeout limits the time to read a part of a request. After cutOff nothing more is
// read.
func (c *callerConn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(timeout)
	if c.isCutOff || c.interrupted {
		at = time.Unix(1, 0)
	}
	_ = c.conn.SetReadDeadline(at)
}

// interrupt ends the read of a request whose memory is needed.
func (c *callerConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.interrupted = true
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReading records whether a request is being read.
func (c *callerConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// wasCutOff reports whether cutOff was called.
func (c *callerConn) wasCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCutOff
}

// isServing reports whether a request is being served.
func (c *callerConn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancel != nil
}

// setBusy records whether a request is being read or served. While it is, closeIdle does
// not change the read deadline.
func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy = busy; !busy {
		c.idleSince = time.Now()
		c.served++
	}
}

// closeIdle makes the connection close drainIdleGrace after the listener was closed or the
// last request ended, whichever is later, unless a request arrives before.
func (c *callerConn) closeIdle(listenerClosed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	since := listenerClosed
	if c.idleSince.After(since) {
		since = c.idleSince
	}
	_ = c.conn.SetReadDeadline(since.Add(drainIdleGrace))
}

// serve handles the requests on the connection until it closes. A connection stays open
// until an answer has announced the close or no request arrives for a while, so that no
// caller sends a request that nobody answers.
func (c *callerConn) serve() {
	defer func() { _ = c.conn.Close() }()
	for first := true; ; first = false {
		limits := limitsOf(c.gateway.table())
		wait := limits.IdleTimeout + idleSlack
		if first {
			wait = limits.HeaderTimeout
		}
		if !c.awaitRequest(wait) {
			return
		}
		c.setBusy(true)
		keepAlive := c.serveRequest(limits)
		c.setBusy(false)
		if !keepAlive {
			c.lingerClose(max(minLingerBytes, limits.HeaderBytes+limits.BodyBytes))
			return
		}
	}
}

// setIdleTimeout limits the time until the next request, to none if the connection was chosen to be
// closed.
func (c *callerConn) setIdleTimeout(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(wait)
	if c.closing {
		at = time.Unix(1, 0)
	}
	_ = c.conn.SetReadDeadline(at)
}

// awaitRequest waits for the first byte of a request, and returns false if none arrives in
// time. It reads once more after the time, because a read whose deadline has passed does not
// look at bytes that have arrived.
func (c *callerConn) awaitRequest(wait time.Duration) bool {
	c.setIdleTimeout(wait)
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setBusy(true)
		_ = c.conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
		_, err = c.in.Peek(1)
	}
	return err == nil
}

// serveRequest reads and serves one request. It reports whether the connection
// can be kept for another.
func (c *callerConn) serveRequest(limits desired.Limits) bool {
	arrived := time.Now()
	w := &responseWriter{conn: c.conn, out: c.out, stopping: c.closesForStop}
	defer func() { c.closeAnnounced = w.closeAnnounced }()
	// It may be interrupted as soon as it has begun.
	c.setReading(true)
	memory := c.gateway.memory.begin(c.address, c.interrupt)
	defer memory.release()
	c.memory.Store(memory)
	defer c.memory.Store(nil)
	r, err := c.readRequest(w, limits, memory)
	if err == nil {
		err = memory.commit()
	}
	c.setReading(false)
	if err != nil {
		return c.reject(w, memory, err)
	}
	r.arrived = arrived
	ctx, cancel := context.WithCancelCause(context.Background())
	c.setCancel(cancel)
	stop := c.watchClose(func() { cancel(context.Canceled) })
	c.gateway.handle(ctx, r, w)
	c.setCancel(nil)
	cancel(nil)
	stop()
	if w.started && !w.ended {
		w.abort()
		return false
	}
	return w.ended && !w.closeAfter
}

// readRequest reads a request completely.
func (c *callerConn) readRequest(w *responseWriter, limits desired.Limits, memory *requestMemory) (*request, error) {
	c.setReadTimeout(limits.HeaderTimeout)
	head, err := readHead(c.in, limits.HeaderBytes, memory)
	if err != nil {
		return nil, err
	}
	parsed, bodyFraming, err := parseHead(head)
	if err != nil {
		return nil, err
	}
	w.noBody = parsed.Method == http.MethodHead
	w.http10 = parsed.ProtoMinor == 0
	w.closeAfter = parsed.Close || w.http10
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		w.extendDeadline()
		_, _ = c.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.out.Flush()
	}
	c.setReadTimeout(bodyTimeout)
	content, err := readBody(c.in, bodyFraming, bodyLimits{bytes: limits.BodyBytes, framing: limits.HeaderBytes}, memory)
	if err != nil {
		return nil, err
	}
	return &request{Request: parsed, body: content}, nil
}

// closesForStop reports whether the connection closes after the present request because the
// entry stops or it was chosen to be closed. A request that was sent behind it gets an answer first, since its caller could
// not know of the close.
func (c *callerConn) closesForStop() bool {
	return (c.gateway.drain.Load() != nil || c.isClosing()) && !c.nextArrived.Load()
}

// isClosing reports whether the connection was chosen to be closed.
func (c *callerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// hasUnread reports whether bytes of the next request arrived. While the entry stops, it also
// looks at what the kernel holds: a request may be refused before watchClose has read that.
func (c *callerConn) hasUnread() bool {
	tcp, ok := c.conn.(*net.TCPConn)
	return c.in.Buffered() > 0 || ok && c.gateway.drain.Load() != nil && wire.Unread(tcp) > 0
}

// watchClose calls cancel when the caller closes the connection. The returned
// function stops watching. Bytes of a pipelined request stay in the read buffer.
func (c *callerConn) watchClose(cancel context.CancelFunc) func() {
	done := make(chan struct{})
	c.nextArrived.Store(c.hasUnread())
	_ = c.conn.SetReadDeadline(time.Time{})
	stopping := atomic.Bool{}
	go func() {
		defer close(done)
		if _, err := c.in.Peek(1); err == nil {
			c.nextArrived.Store(true)
		} else if !stopping.Load() {
			cancel()
		}
	}()
	return func() {
		stopping.Store(true)
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}
