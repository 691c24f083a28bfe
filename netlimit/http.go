package netlimit

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits bounds what clients of an HTTP listener can make the process hold.
type Limits struct {
	MaxConns, MaxHeaderBytes int
	// HeaderTimeout limits the time of a head and of a TLS handshake, IdleTimeout the time
	// between two requests.
	HeaderTimeout, IdleTimeout time.Duration
	// A body must arrive within BodyTimeout and the time that it takes at MinBodyRate bytes a
	// second.
	BodyTimeout time.Duration
	MinBodyRate int64
	// AnswerTimeout limits the time to send what is left of an answer when its handler has
	// returned, DefaultAnswerTimeout if it is 0. Handlers limit their own writes.
	AnswerTimeout time.Duration
	// Budget is the memory of bodies.
	Budget *Budget
}

// Defaults of the limits. The platform's clients may take 3 s for a head and stay idle for 15 s.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultIdleTimeout    = time.Minute
	DefaultBodyTimeout    = 10 * time.Second
	DefaultMinBodyRate    = 32 << 10
	DefaultAnswerTimeout  = 30 * time.Second
)

// SmallRequests are the limits of a listener whose requests have no bodies, such as metrics.
func SmallRequests() Limits {
	const share, bodies = 1. / 16, 1 << 20
	return Limits{MaxConns: MaxConns(share), MaxHeaderBytes: DefaultMaxHeaderBytes, HeaderTimeout: DefaultHeaderTimeout,
		IdleTimeout: DefaultIdleTimeout, BodyTimeout: DefaultBodyTimeout, MinBodyRate: DefaultMinBodyRate,
		Budget: NewBudget(bodies)}
}

// Guard enforces Limits on an HTTP server.
type Guard struct {
	limits   Limits
	conns    *Conns
	reporter *Reporter
	// keepsDeadline is set if net/http sets the write deadline of each request.
	keepsDeadline bool
}

// httpConn is a connection of an HTTP server.
type httpConn struct {
	*Conn
	conn net.Conn
	// hasRoom is false for a connection whose only request is refused.
	hasRoom bool
}

type connKey struct{}

type requestKey struct{}

// request is a request whose body may be read.
type request struct {
	guard   *Guard
	conn    *httpConn
	control *http.ResponseController
	holding *Holding
	// displaced is set when the connection was given up for another one, and failed when the
	// body was not read to its end.
	displaced, failed atomic.Bool
}

// Protect makes a server enforce limits. It must be called before the server serves, and after its
// Handler, ConnContext and ConnState are set. The server must serve on a Listener.
func Protect(server *http.Server, limits Limits, reporter *Reporter) *Guard {
	limits.AnswerTimeout = cmp.Or(limits.AnswerTimeout, DefaultAnswerTimeout)
	g := &Guard{limits: limits, conns: NewConns(limits.MaxConns), reporter: reporter, keepsDeadline: server.WriteTimeout > 0}
	server.ReadHeaderTimeout, server.IdleTimeout = limits.HeaderTimeout, limits.IdleTimeout
	server.MaxHeaderBytes = limits.MaxHeaderBytes
	server.Handler = g.handler(server.Handler)
	conns := newConnTable()
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		// net/http calls ConnContext before it reports StateNew.
		return context.WithValue(ctx, connKey{}, g.add(conns, conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		c := conns.get(conn)
		if c == nil {
			return
		}
		switch state {
		case http.StateIdle:
			if counting, ok := conn.(*headConn); ok {
				counting.begin()
			}
			c.Set(Idle)
		case http.StateHijacked:
			// The handler still holds the connection, see finish.
			conns.remove(conn)
		case http.StateClosed:
			conns.remove(conn)
			c.Remove()
		}
	}
	return g
}

// Conns returns the number of connections.
func (g *Guard) Conns() int { return g.conns.Count() }

func (g *Guard) add(conns *connTable, conn net.Conn) *httpConn {
	counted, admission := g.conns.Add(func() { CloseNow(conn) })
	c := &httpConn{counted, conn, admission == Admitted || admission == Displacing}
	conns.put(conn, c)
	client := conn.RemoteAddr().String()
	switch admission {
	case Displacing:
		g.reporter.Refused(ReasonDisplaced, client)
	case Overrun:
		g.reporter.Refused(ReasonTooManyConns, client)
		CloseNow(conn)
	}
	return c
}

// CloseNow closes a connection without the last record of TLS, for which it could wait.
func CloseNow(conn net.Conn) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	_ = conn.Close()
}

func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*httpConn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		if !c.hasRoom {
			g.reporter.Refused(ReasonTooManyConns, r.RemoteAddr)
			SetNotRun(w.Header(), http.StatusServiceUnavailable)
			g.finish(w, r, c, http.StatusServiceUnavailable, []byte("too many connections\n"))
			return
		}
		c.Set(Busy)
		defer c.reset()
		state := &request{guard: g, conn: c, control: control}
		state.holding = g.limits.Budget.Open(c.conn.RemoteAddr(), state.refuse)
		defer state.holding.Close()
		original := r.Body
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, state))
		if original != nil && original != http.NoBody {
			_ = control.SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
			r.Body = &timedBody{ReadCloser: original, request: state, began: time.Now()}
		}
		if !g.keepsDeadline {
			// That of the answer before has remained.
			_ = control.SetWriteDeadline(time.Time{})
		}
		next.ServeHTTP(w, r)
		if !state.failed.Load() {
			// Without a deadline, clients that read no answers would keep their connections busy.
			_ = control.SetWriteDeadline(time.Now().Add(g.limits.AnswerTimeout))
		}
	})
}

// reset is called when a request was served. Its body may not have been read to the end.
func (c *httpConn) reset() {
	c.SetEnd(func() { CloseNow(c.conn) })
	c.Set(Fresh)
}

// displace is called when the connection is given up for another one.
func (r *request) displace() {
	r.displaced.Store(true)
	r.refuse()
}

// refuse ends the read of the body that is in progress.
func (r *request) refuse() { _ = r.control.SetReadDeadline(time.Unix(1, 0)) }

// timedBody extends the deadline of a body as its bytes arrive, and removes it at the end, because
// the request may be served for longer.
type timedBody struct {
	io.ReadCloser
	request  *request
	began    time.Time
	received int64
	// extended is the number of bytes for which the deadline was extended last.
	extended int64
}

// extendBytes is the number of bytes after which the deadline is extended.
const extendBytes = 64 << 10

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	limits := &b.request.guard.limits
	switch {
	case err == io.EOF:
		_ = b.request.control.SetReadDeadline(time.Time{})
	case err == nil && b.received-b.extended >= extendBytes:
		b.extended = b.received
		atRate := time.Duration(float64(b.received) / float64(limits.MinBodyRate) * float64(time.Second))
		_ = b.request.control.SetReadDeadline(b.began.Add(limits.BodyTimeout + atRate))
		if b.request.displaced.Load() || b.request.holding.IsRefused() {
			b.request.refuse()
		}
	}
	return n, err
}

const (
	// verdictHeader tells whether a refused request has run.
	verdictHeader = "X-Arbutusmast-Verdict"
	notRun        = "not_run"
	// retryAfter is the delay in seconds that refused clients are asked for.
	retryAfter = "1"

	// drainTimeout and maxDrainBytes limit what is read and discarded of a refused request, so
	// that closing its connection does not reset it before the client has read the answer.
	drainTimeout  = time.Second
	maxDrainBytes = 32 << 20
	// answerTimeout limits the time to send a refusal.
	answerTimeout = 2 * time.Second
)

// Answer sends an answer with the header of w. If ReadBody failed, it closes the connection without
// losing the answer. The caller must not use w afterwards.
func Answer(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	state, _ := r.Context().Value(requestKey{}).(*request)
	if state != nil && state.failed.Load() {
		state.guard.finish(w, r, state.conn, status, body)
		return
	}
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body)
}

// SetNotRun adds to a refusal that the request was not run, and when to send it again if that helps.
func SetNotRun(header http.Header, status int) {
	if status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout {
		header.Set("Retry-After", retryAfter)
	}
	header.Set(verdictHeader, notRun)
}

func (g *Guard) finish(w http.ResponseWriter, r *http.Request, c *httpConn, status int, body []byte) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(answerTimeout))
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.ContentLength != 0 {
		// Otherwise net/http reads a part of the body before it sends the answer.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil || control.Flush() != nil {
		return
	}
	conn, _, err := control.Hijack()
	if err != nil {
		// net/http closes the connection.
		return
	}
	defer c.Remove()
	defer CloseNow(conn)
	c.reset()
	closer, ok := conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxDrainBytes)
}

// BodyError is the reason for which a body was not read.
type BodyError struct {
	// Status is the HTTP status: 503, 413, 408 or 400.
	Status int
	Reason string
	Err    error
}

// Error implements error.
func (e *BodyError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// errTooLarge is the cause of a body above the limit.
func errTooLarge(limit int64) error {
	return errors.Errorf("the body is larger than %d bytes", limit)
}
