package observe

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

// Limits of the operators' listener. The write timeout is longer than a CPU
// profile, which takes 30 s by default.
const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	// maxBodyBytes limits the addresses in a lookup of symbols, whose answer is longer than they.
	maxBodyBytes = 256 << 10
)

// Ready reports whether the daemon accepts new work, and if not, why.
type Ready func() (ready bool, reason string)

// Server is the HTTP server of the operators' listener.
type Server struct {
	http     *http.Server
	reporter *netlimit.Reporter
}

// NewServer returns a server for health, metrics, profiles and the burn report.
// If burn is nil, /burn is not served. Refused clients are reported to the first reporter, if any.
func NewServer(metrics *Metrics, ready Ready, burn http.Handler, reporters ...*netlimit.Reporter) *Server {
	started := time.Now()
	metrics.Gauge("uptime_seconds", func() float64 { return time.Since(started).Seconds() })
	metrics.Gauge("goroutines_count", func() float64 { return float64(runtime.NumGoroutine()) })
	server := &http.Server{
		Handler:      http.MaxBytesHandler(newRouter(metrics, ready, burn), maxBodyBytes),
		WriteTimeout: writeTimeout,
	}
	limits := netlimit.SmallRequests()
	limits.HeaderTimeout, limits.IdleTimeout, limits.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	reporter := netlimit.NewReporter("ops", nil, nil)
	if len(reporters) > 0 {
		reporter = reporters[0]
	}
	netlimit.Protect(server, limits, reporter)
	return &Server{http: server, reporter: reporter}
}

func newRouter(metrics *Metrics, ready Ready, burn http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, health{OK: true})
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, health{OK: ok, Reason: reason})
	})
	r.Method(http.MethodGet, "/debug/vars", metrics)
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	if burn != nil {
		r.Method(http.MethodGet, "/burn", burn)
	}
	return r
}

type health struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Serve accepts connections on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(netlimit.Listener(listener, s.reporter))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Shutdown closes the listener and waits for active requests. When ctx ends, it
// closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Wrap(err, "shut down operators' listener")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
