// Package entry runs the entry role: it accepts callers, places their requests
// on backend servers, keeps the verdict of each attempt and streams the answer.
package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
)

// Fleet is what the entry needs of the daemon's view of the system.
type Fleet interface {
	Config() *contract.Config
	Header() message.Header
	Observe(message.Header)
	Members() []message.Member
	Ready() bool
}

// QuarantineList tells which digests are held back or suspected of crashing backend
// servers. A Fleet may implement it; without it nothing is held.
type QuarantineList interface {
	// Quarantined returns for how long a digest is held, and whether it is
	// suspect or held.
	Quarantined(digest string) (until time.Duration, suspect, held bool)
}

// Ledger records calls that may not be repeated, on a quorum of the control
// group.
type Ledger interface {
	BeginCall(ctx context.Context, request message.BeginCallRequest) (message.BeginCallReply, error)
	FinishCall(ctx context.Context, request message.FinishCallRequest) error
}

// Options configures an entry.
type Options struct {
	Fleet  Fleet
	Ledger Ledger
	Pool   *wire.Pool
	Dial   wire.Dialer
	Logger *zap.Logger
	// RecordEvent gets the events that objectives judge; nil drops them.
	RecordEvent func(burn.Event)
	// FailureDomain is the entry's own.
	FailureDomain   string
	MaxBodyBytes    int64
	StartTimeout    time.Duration
	RequestTimeout  time.Duration
	LedgerRetention time.Duration
	MaxStreams      int
}

// Defaults of Options.
const (
	defaultMaxBodyBytes   = 1 << 20
	defaultStartTimeout   = 2 * time.Second
	defaultRequestTimeout = 30 * time.Minute
	defaultRetention      = 24 * time.Hour
	defaultMaxStreams     = 4096
)

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.StartTimeout <= 0 {
		o.StartTimeout = defaultStartTimeout
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if o.LedgerRetention <= 0 {
		o.LedgerRetention = defaultRetention
	}
	if o.MaxStreams <= 0 {
		o.MaxStreams = defaultMaxStreams
	}
	if o.Dial == nil {
		o.Dial = wire.DialTCP
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

// Entry is one entry.
type Entry struct {
	options  Options
	logger   *zap.Logger
	ctx      context.Context
	stop     context.CancelFunc
	sequence atomic.Uint64
	active   atomic.Int64
	draining atomic.Bool
	placer   *placer
	retries  *retries
	limits   *limits

	undispatched undispatched

	mu    sync.Mutex
	links map[string]*agentLink
}

// New returns an entry.
func New(options Options) *Entry {
	options = options.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Entry{
		options: options, logger: options.Logger, ctx: ctx, stop: stop,
		placer: newPlacer(options.Fleet, options.FailureDomain), retries: newRetries(), limits: newLimits(), links: map[string]*agentLink{},
	}
}

// Handler returns the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(resetWriteDeadline)
	r.Post("/v1/completions", e.limited(e.handleGenerate))
	r.Post("/v1/chat/completions", e.limited(e.handleGenerate))
	r.Get("/v1/models", e.handleModels)
	r.Get("/v1/streams/{stream}", e.handleResume)
	r.HandleFunc("/services/{service}/*", e.limited(e.handlePlain))
	return r
}

// resetWriteDeadline clears the write deadline that an earlier answer has left
// on a connection that is used again.
func resetWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		next.ServeHTTP(w, r)
	})
}

// boundWrite makes the writes of an answer fail when the caller reads nothing.
func boundWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// ActiveRequests returns the number of requests in progress.
func (e *Entry) ActiveRequests() int64 { return e.active.Load() }

// Ready tells whether the entry may get new requests.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.options.Fleet.Ready() }

// StartDraining refuses readiness from now on.
func (e *Entry) StartDraining() { e.draining.Store(true) }

// Drain refuses readiness and waits until no request is in progress or ctx
// ends. Requests that arrive meanwhile are still served, because the balancer
// needs some time to notice.
func (e *Entry) Drain(ctx context.Context) error {
	e.StartDraining()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for e.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	e.finishLinks(ctx)
	return nil
}

// linkCloseWait bounds the wait for agents to read the last frames of an entry
// that leaves. Without its last acknowledgements they would keep the answers.
const linkCloseWait = 2 * time.Second

func (e *Entry) finishLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, linkCloseWait)
	defer cancel()
	e.mu.Lock()
	links := slices.Collect(maps.Values(e.links))
	e.mu.Unlock()
	for _, l := range links {
		l.finish()
	}
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for slices.ContainsFunc(links, (*agentLink).isRunning) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close ends all links.
func (e *Entry) Close() { e.stop() }

func (e *Entry) nextRequestID() message.RequestID {
	h := e.options.Fleet.Header()
	return message.NewRequestID(h.Host, h.Incarnation, e.sequence.Add(1))
}

// linkTo returns the token link to an agent.
func (e *Entry) linkTo(address string) *agentLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.links[address]
	if !ok {
		l = newAgentLink(e.ctx, address, e.options.Dial, e.options.Fleet, e.logger, e.placer.observe)
		e.links[address] = l
	}
	return l
}

// member finds a host.
func (e *Entry) member(host string) (message.Member, bool) {
	for _, m := range e.options.Fleet.Members() {
		if m.Host == host {
			return m, true
		}
	}
	return message.Member{}, false
}
