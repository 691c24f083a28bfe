// Package standin implements a simulated backend server for tests and experiments.
// It serves the engine protocol over HTTP, generates meaningless text and simulates
// the faults of real engines.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of simulated backend servers.
const (
	KindGeneration Kind = "generation"
	KindPlain      Kind = "plain"
)

// Options configures a simulated backend server.
type Options struct {
	Name          string
	Kind          Kind
	Listen        string
	TokenInterval time.Duration
	MemoryBlocks  int
	BlockTokens   int
	MaxBatch      int
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
	// LoadLag is the delay of load reports.
	LoadLag time.Duration
	// EventDelay is the delay after which cache events become visible.
	EventDelay time.Duration
	// DropEventEvery drops every n-th cache event. Zero drops none.
	DropEventEvery int
	// CrashDowntime is how long the server is down after a crash.
	CrashDowntime time.Duration
}

// Defaults of Options.
const (
	defaultTokenInterval = 20 * time.Millisecond
	defaultMemoryBlocks  = 4096
	defaultBlockTokens   = 16
	defaultMaxBatch      = 32
	defaultCrashDowntime = 300 * time.Millisecond
	readHeaderTimeout    = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Kind == "" {
		o.Kind = KindGeneration
	}
	if o.TokenInterval <= 0 {
		o.TokenInterval = defaultTokenInterval
	}
	if o.MemoryBlocks <= 0 {
		o.MemoryBlocks = defaultMemoryBlocks
	}
	if o.BlockTokens <= 0 {
		o.BlockTokens = defaultBlockTokens
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.CrashDowntime <= 0 {
		o.CrashDowntime = defaultCrashDowntime
	}
	return o
}

// Server is one simulated backend server. After a simulated crash it listens on the
// same address again, with empty memory.
type Server struct {
	options Options
	address string

	mu      sync.Mutex
	http    *http.Server
	batch   *batch
	closed  bool
	crashes int

	plain  plainService
	orders orderLog
}

// Start starts a server that serves until Close.
func Start(options Options) (*Server, error) {
	s := &Server{options: options.withDefaults()}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "standin %s: listen", options.Name)
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	return s, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.address }

// Crashes returns the number of crashes since Start.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func (s *Server) serve(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return
	}
	s.batch = newBatch(s.options)
	s.http = &http.Server{Handler: s.handler(s.batch), ReadHeaderTimeout: readHeaderTimeout}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	go s.batch.run()
}

func (s *Server) handler(b *batch) http.Handler {
	r := chi.NewRouter()
	r.Get("/load", b.handleLoad)
	if s.options.Kind == KindPlain {
		r.HandleFunc("/*", s.plain.handle)
		return r
	}
	r.Post("/v1/completions", func(w http.ResponseWriter, req *http.Request) { s.generate(b, w, req, false) })
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, req *http.Request) { s.generate(b, w, req, true) })
	r.Delete("/v1/requests/{id}", b.handleCancel)
	r.Get("/cache_events", b.handleCacheEvents)
	r.Post("/orders", s.handleOrder)
	return r
}

// Crash simulates a crash: it drops all connections and memory, and restarts the
// server after CrashDowntime.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.crashes++
	server, b := s.http, s.batch
	s.mu.Unlock()
	b.stop()
	_ = server.Close()
	time.AfterFunc(s.options.CrashDowntime, s.restart)
}

// restart listens again after a crash. If that fails, it retries after another
// CrashDowntime.
func (s *Server) restart() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(s.options.CrashDowntime, s.restart)
		return
	}
	s.serve(listener)
}

// Drain stops accepting connections and waits until the requests in progress end.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	server := s.http
	s.mu.Unlock()
	return errors.Wrap(server.Shutdown(ctx), "drain standin")
}

// Close stops the server permanently.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	server, b := s.http, s.batch
	s.mu.Unlock()
	b.stop()
	_ = server.Close()
}
