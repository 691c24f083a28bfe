package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Defaults until a desired state declares limits.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// idleSlack is how much longer than declared a connection is kept, so that a
	// request that is sent just in time does not meet a closed connection.
	idleSlack = 2 * time.Second
	// readBufferBytes and writeBufferBytes are the buffers of one connection.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

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

// request is one request that was read whole.
type request struct {
	*http.Request
	body    []byte
	arrived time.Time
}

// callerConn is one connection of a caller.
type callerConn struct {
	gateway *Gateway
	conn    net.Conn
	in      *bufio.Reader
	out     *bufio.Writer
	// busy tells that a request is read or answered.
	busy atomic.Bool
}

// serve handles the requests of a connection until it closes.
func (c *callerConn) serve() {
	defer func() { _ = c.conn.Close() }()
	for first := true; ; first = false {
		limits := limitsOf(c.gateway.table())
		wait := limits.IdleTimeout + idleSlack
		if first {
			wait = limits.HeaderTimeout
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(wait))
		if _, err := c.in.Peek(1); err != nil {
			return
		}
		c.busy.Store(true)
		again := c.one(limits)
		c.busy.Store(false)
		if !again || c.gateway.closing.Load() {
			c.finish()
			return
		}
	}
}

// finish closes the sending side first and waits briefly for the caller, because
// closing with unread bytes would reset the connection and could destroy the
// last response.
func (c *callerConn) finish() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var sink [512]byte
	for read := 0; read < maxLingerBytes; {
		n, err := c.conn.Read(sink[:])
		if err != nil {
			return
		}
		read += n
	}
}

const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// one reads and answers one request and tells whether another may follow.
func (c *callerConn) one(limits desired.Limits) bool {
	arrived := time.Now()
	rep := &reply{conn: c.conn, out: c.out}
	_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	head, err := readHead(c.in, limits.HeaderBytes)
	if err != nil {
		return c.reject(rep, err)
	}
	parsed, frame, err := parseHead(head)
	if err != nil {
		return c.reject(rep, err)
	}
	rep.bodyless = parsed.Method == http.MethodHead
	rep.legacy = parsed.ProtoMinor == 0
	rep.last = parsed.Close || rep.legacy || c.gateway.draining.Load()
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		rep.deadline()
		_, _ = c.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.out.Flush()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readBody(c.in, frame, limits.BodyBytes)
	if err != nil {
		return c.reject(rep, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.watchClose(cancel)
	c.gateway.handle(ctx, &request{Request: parsed, body: body, arrived: arrived}, rep)
	cancel()
	stop()
	if rep.started && !rep.ended {
		rep.abort()
		return false
	}
	return rep.ended && !rep.last
}

// reject answers a request that could not be read.
func (c *callerConn) reject(rep *reply, err error) bool {
	rep.last = true
	status, text := http.StatusBadRequest, err.Error()
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errMalformed):
	case errors.As(err, &netErr) && netErr.Timeout():
		status, text = http.StatusRequestTimeout, "the request did not arrive in time"
	default:
		// The caller closed the connection.
		return false
	}
	c.gateway.logger.Info("request rejected before it was read whole", zap.Int("status", status), zap.String("reason", text),
		zap.String("remote", c.conn.RemoteAddr().String()))
	c.gateway.metrics.rejected.Add(1)
	header := http.Header{}
	header.Set(verdictHeader, "not_run")
	_ = rep.whole(status, header, []byte(text+"\n"))
	return false
}

// watchClose cancels when the caller closes its connection. The returned
// function ends the watch; bytes of a next request stay in the buffer.
func (c *callerConn) watchClose(cancel context.CancelFunc) func() {
	done := make(chan struct{})
	_ = c.conn.SetReadDeadline(time.Time{})
	stopping := atomic.Bool{}
	go func() {
		defer close(done)
		if _, err := c.in.Peek(1); err != nil && !stopping.Load() {
			cancel()
		}
	}()
	return func() {
		stopping.Store(true)
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}
