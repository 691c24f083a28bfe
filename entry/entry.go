// Package entry implements the entry role: it accepts requests from callers, places
// them on backend servers, tracks the verdict of each attempt and streams the
// response.
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
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
)

// Fleet provides the configuration and membership that the daemon knows.
type Fleet interface {
	Config() *contract.Config
	Header() message.Header
	Observe(message.Header)
	Members() []message.Member
	Ready() bool
}

// QuarantineList looks up request digests that are quarantined or suspected of
// crashing backend servers. A Fleet may implement it; if it does not, no request
// is quarantined.
type QuarantineList interface {
	// Quarantined returns how long a digest remains quarantined, and whether it is
	// suspect or quarantined.
	Quarantined(digest string) (remaining time.Duration, suspect, quarantined bool)
}

// EvacuationList provides the evacuated failure domains. A Fleet may implement it; if
// it does not, no failure domain is evacuated.
type EvacuationList interface {
	Evacuations() message.EvacuationSet
}

// Ledger records non-repeatable calls on a quorum of the control group.
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
	// RecordEvent receives the events that objectives are evaluated on. If it is nil,
	// events are dropped.
	RecordEvent func(burn.Event)
	// FailureDomain is the failure domain of the entry.
	FailureDomain   string
	MaxBodyBytes    int64
	StartTimeout    time.Duration
	RequestTimeout  time.Duration
	LedgerRetention time.Duration
	MaxStreams      int
}

// Defaults of Options.
const (
	defaultMaxBodyBytes    = 1 << 20
	defaultStartTimeout    = 2 * time.Second
	defaultRequestTimeout  = 30 * time.Minute
	defaultLedgerRetention = 24 * time.Hour
	defaultMaxStreams      = 4096
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
		o.LedgerRetention = defaultLedgerRetention
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

// Entry serves the requests of callers.
type Entry struct {
	options         Options
	logger          *zap.Logger
	ctx             context.Context
	cancel          context.CancelFunc
	requestSequence atomic.Uint64
	activeRequests  atomic.Int64
	started         time.Time
	// drain is set while the entry drains. Its times are times since started.
	drain atomic.Pointer[dispatch.Drain]
	// cutOff ends the requests that remain at the end of the drain.
	cutOff       context.Context
	endCutOff    context.CancelFunc
	placer       *placer
	retryBudgets *retryBudgets
	callerLimits *callerLimits

	undispatched undispatchedCalls

	mu    sync.Mutex
	links map[string]*agentLink
}

// New returns an Entry. Close must be called to release its links.
func New(options Options) *Entry {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	cutOff, endCutOff := context.WithCancel(ctx)
	return &Entry{
		options: options, logger: options.Logger, ctx: ctx, cancel: cancel, started: time.Now(),
		cutOff: cutOff, endCutOff: endCutOff,
		placer: newPlacer(options.Fleet, options.FailureDomain), retryBudgets: newRetryBudgets(),
		callerLimits: newCallerLimits(), links: map[string]*agentLink{},
	}
}

// Handler returns the HTTP handler for requests from callers.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(clearWriteDeadline)
	r.Post("/v1/completions", e.limitCaller(e.handleCompletion))
	r.Post("/v1/chat/completions", e.limitCaller(e.handleCompletion))
	r.Get("/v1/models", e.handleModels)
	r.Get("/v1/streams/{stream}", e.handleResume)
	r.HandleFunc("/services/{service}/*", e.limitCaller(e.handlePlain))
	return r
}

// clearWriteDeadline clears the write deadline that an earlier response has left on
// a reused connection.
func clearWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		next.ServeHTTP(w, r)
	})
}

// setWriteDeadline makes the writes of a response fail if the caller does not read
// it within writeTimeout.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// ActiveRequests returns the number of requests in progress.
func (e *Entry) ActiveRequests() int64 { return e.activeRequests.Load() }

// Ready reports whether the entry may receive new requests.
func (e *Entry) Ready() bool { return e.drain.Load() == nil && e.options.Fleet.Ready() }

// linkCloseTimeout bounds the wait for agents to read the last frames of an entry
// that shuts down. Agents that miss its last acknowledgements keep the answers.
const linkCloseTimeout = 2 * time.Second

// CloseLinks asks all links to close once they have nothing left to send, and waits
// up to linkCloseTimeout until they have stopped. No request may follow.
func (e *Entry) CloseLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, linkCloseTimeout)
	defer cancel()
	e.mu.Lock()
	links := slices.Collect(maps.Values(e.links))
	e.mu.Unlock()
	for _, l := range links {
		l.closeWhenDrained()
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

// Close closes all links and stops background work.
func (e *Entry) Close() { e.cancel() }

func (e *Entry) nextRequestID() message.RequestID {
	h := e.options.Fleet.Header()
	return message.NewRequestID(h.Host, h.Incarnation, e.requestSequence.Add(1))
}

// linkTo returns the token link to the agent at an address. It creates the link on
// first use.
func (e *Entry) linkTo(address string) *agentLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.links[address]
	if !ok {
		l = newAgentLink(e.ctx, address, e.options.Dial, e.options.Fleet, e.logger, e.placer.observeLoad)
		e.links[address] = l
	}
	return l
}

// findMember returns the member of a host.
func (e *Entry) findMember(host string) (message.Member, bool) {
	for _, m := range e.options.Fleet.Members() {
		if m.Host == host {
			return m, true
		}
	}
	return message.Member{}, false
}
