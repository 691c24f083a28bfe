package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/netlimit"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	readHeaderTimeout = 10 * time.Second
	// connIdleGrace is how long a connection whose last answer kept it stays open at the
	// end of a drain. The caller may send its next request meanwhile.
	connIdleGrace = 500 * time.Millisecond
	// connPollInterval is the interval at which awaitQuiet looks at the connections.
	connPollInterval = 20 * time.Millisecond
)

// gracefulServer serves HTTP/1.1. While the daemon drains, each answer announces
// that its connection closes.
type gracefulServer struct {
	http     *http.Server
	draining *atomic.Bool
	logger   *zap.Logger
	reporter *netlimit.Reporter
	// cancelRequests ends the contexts of all requests.
	cancelRequests context.CancelFunc
	// listener is nil before the server listens, and accepted is closed when it has accepted
	// the last connection.
	listener *gracefulListener
	accepted chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]*httpConn
}

// httpConn is the state of a connection. The mutex of its server guards it.
type httpConn struct {
	// linger is nil if the connection is not one of a gracefulListener.
	linger *lingerConn
	// used is set when the first request has begun.
	used bool
	// active is set while a request is being read or served.
	active bool
	// idleSince is when the connection was accepted or its last request ended.
	idleSince time.Time
	// closeAnnounced is set when an answer told the caller that the connection closes.
	closeAnnounced bool
}

type httpConnKey struct{}

func newGracefulServer(handler http.Handler, draining *atomic.Bool, logger *zap.Logger) *gracefulServer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &gracefulServer{draining: draining, logger: logger, cancelRequests: cancel, accepted: make(chan struct{}),
		reporter: netlimit.NewReporter("http", logger, nil), conns: map[net.Conn]*httpConn{}}
	s.http = &http.Server{
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler:     s.announceClose(handler), ReadHeaderTimeout: readHeaderTimeout,
		ConnState: s.setState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(entry.WithConn(ctx, conn), httpConnKey{}, s.add(conn))
		},
	}
	return s
}

func (s *gracefulServer) add(conn net.Conn) *httpConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &httpConn{linger: lingerOf(conn), idleSince: time.Now()}
	s.conns[conn] = c
	return c
}

// setState implements http.Server.ConnState.
func (s *gracefulServer) setState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.conns[conn]
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.used, c.active = true, true
	case http.StateIdle:
		c.active, c.idleSince = false, time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// announceClose makes the answers of handler announce the close from the beginning of the
// drain. That is decided when the head of the answer is written, because a request may be in
// progress for long at that time.
func (s *gracefulServer) announceClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(httpConnKey{}).(*httpConn)
		aw := &announcingWriter{ResponseWriter: w, server: s, conn: conn}
		handler.ServeHTTP(aw, r)
		aw.beforeHead()
	})
}

// announcingWriter announces the close of the connection in the head of an answer.
type announcingWriter struct {
	http.ResponseWriter
	server     *gracefulServer
	conn       *httpConn
	headBegins bool
}

func (w *announcingWriter) beforeHead() {
	if w.headBegins {
		return
	}
	w.headBegins = true
	if !w.server.draining.Load() {
		return
	}
	w.Header().Set("Connection", "close")
	w.server.mu.Lock()
	w.conn.closeAnnounced = true
	if w.conn.linger != nil {
		w.conn.linger.linger()
	}
	w.server.mu.Unlock()
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeHead()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(p []byte) (int, error) {
	w.beforeHead()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the flush of http.ResponseController.
func (w *announcingWriter) FlushError() error {
	w.beforeHead()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *announcingWriter) Flush() { _ = w.FlushError() }

// Unwrap lets http.ResponseController reach the other methods of the server's writer.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// listen opens the listener, which serve must be given, as it is or with TLS.
func (s *gracefulServer) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.listener = &gracefulListener{TCPListener: listener.(*net.TCPListener), logger: s.logger}
	return s.listener, nil
}

// serve serves the connections of listener until shutdown.
func (s *gracefulServer) serve(listener net.Listener) error {
	defer close(s.accepted)
	err := s.http.Serve(netlimit.Listener(listener, s.reporter))
	if errors.Is(err, http.ErrServerClosed) || s.listener.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// stopAccepting closes the listener. Connections that the kernel has established by then are
// served.
func (s *gracefulServer) stopAccepting(ctx context.Context) {
	s.listener.stop()
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
}

// awaitQuiet waits until no connection that was not told of its close is in use or was within
// connIdleGrace, or ctx ends.
func (s *gracefulServer) awaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(connPollInterval)
	defer ticker.Stop()
	for !s.isQuiet(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *gracefulServer) isQuiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.closeAnnounced && (c.active || now.Sub(c.idleSince) < connIdleGrace) {
			return false
		}
	}
	return true
}

// closeUnused closes the connections on which no request has begun. http.Server.Shutdown waits
// 5 s for one.
func (s *gracefulServer) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, c := range s.conns {
		if !c.used {
			_ = conn.Close()
		}
	}
}

// shutdown closes the listener and the connections, and waits for the answers to requests that
// have arrived. At the end of ctx, it cancels the requests that remain, and waits another
// cutOffWriteTime for their answers.
func (s *gracefulServer) shutdown(ctx context.Context) error {
	s.stopAccepting(ctx)
	s.awaitQuiet(ctx)
	s.closeUnused()
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	s.cancelRequests()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutOffWriteTime)
	defer cancel()
	return s.http.Shutdown(ctx)
}

// close closes all connections at once.
func (s *gracefulServer) close() {
	s.mu.Lock()
	for _, c := range s.conns {
		if c.linger != nil {
			c.linger.abandon()
		}
	}
	s.mu.Unlock()
	_ = s.http.Close()
}
