// Package gateway is the reverse proxy of an entry. It forwards callers' requests to
// the backend servers of the desired state, byte for byte: plain requests and event
// streams. State machines under core make the decisions; this package does the I/O
// and the logging.
//
// It parses requests itself instead of using net/http's server, because a request
// with ambiguous framing must be rejected and net/http silently resolves the
// ambiguity.
package gateway

import (
	"cmp"
	"context"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"go.uber.org/zap"
)

// verdictHeader is the response header that tells the caller whether a failed
// request may have run.
const verdictHeader = "X-Arbutusmast-Verdict"

// RequestMetadata holds what a caller's headers say about a request.
type RequestMetadata struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is how long the caller waits, 0 if unknown.
	Timeout time.Duration
	Key     string
	// PromptTokens and MaxTokens bound the memory that a generation needs.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the output length in tokens.
	LengthHint int
	// Parts are the IDs of the shared parts of the prompt, outermost first, without the
	// last part, which belongs to the request itself.
	Parts []string
	// LastEventID holds the values by which a caller that resumes a stream names the last
	// event that it has, unchanged.
	LastEventID []string
}

// ForwardMetadata holds what the gateway tells a backend server about a request.
type ForwardMetadata struct {
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// ServerID identifies the server instance that may run the request. A later
	// instance at the same address must refuse it.
	ServerID string
	Caller   string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Reservation identifies the memory reserved for the request.
	Reservation string
	// Copy is the name of the copy of a generation's memory, empty unless the generation
	// resumes at another server.
	Copy string
	// LastEventID holds the values that name the last event that the caller has, where Copy
	// is set. It is empty for a caller without any event.
	LastEventID []string
}

// ResponseMetadata holds what the headers of a backend server's response say.
type ResponseMetadata struct {
	// ID identifies the request that the response belongs to, empty if unknown.
	ID string
	// Sealed reports whether the response carries the mark that the backend server
	// itself produced it.
	Sealed bool
	// NotRun reports whether the server guarantees that it did not run the request.
	NotRun bool
	// Encoded reports whether the body has a content encoding and is thus not the
	// bytes that the server sent.
	Encoded bool
	Load    backend.Load
	HasLoad bool
	// Limit is what the response says about the rate of requests that the server
	// accepts.
	Limit  serverlimit.Statement
	Notice Notice
}

// Dialect reads and writes the headers that callers and backend servers use.
type Dialect interface {
	ReadRequest(http.Header) RequestMetadata
	// WriteForward removes the headers that only the gateway may set, and adds its
	// own.
	WriteForward(http.Header, ForwardMetadata)
	ReadResponse(status int, header http.Header) ResponseMetadata
}

// Locator asks the agents of backend servers what became of generations.
type Locator interface {
	// Locate returns the address of the server that holds a copy of the
	// generation's memory, and the name of the copy.
	Locate(ctx context.Context, server backend.Server, generationID string) (address, name string, err error)
	// StreamEnd returns how a generation ended whose answer ended with its connection, and why.
	StreamEnd(ctx context.Context, server backend.Server, end StreamEnd) (verdict streamend.Verdict, reason string, err error)
}

// Fleet is the daemon's replica of the fleet's state.
type Fleet interface {
	View() *fleet.View
	OnChange(func(*fleet.View))
	// ConfirmedAge returns an upper bound on the time since the control group
	// confirmed that the view is current, and false if it never did.
	ConfirmedAge() (time.Duration, bool)
}

// Reservation is a server's answer to a request for memory.
type Reservation struct {
	// Name identifies the reservation, empty if the server has too little free memory.
	Name   string
	Notice Notice
}

// Reserver reserves memory at backend servers.
type Reserver interface {
	Reserve(ctx context.Context, server backend.Server, tokens int) (Reservation, error)
}

// Options holds the parameters of a Gateway.
type Options struct {
	Fleet   Fleet
	Dialect Dialect
	// Locator and Reserver may be nil. Without a Locator generations do not resume, and the close of its
	// connection counts as the end of a stream without framing.
	Locator  Locator
	Reserver Reserver
	// Permits may be nil. Limits that servers name are then not kept.
	Permits PermitSource
	// Outcomes may be nil. Servers are then judged by this entry's requests only.
	Outcomes OutcomePool
	// Rooms grants the memory of services for all entries together. It may be nil. Each generation
	// is then admitted.
	Rooms RoomSource
	// CrashReporter may be nil.
	CrashReporter CrashReporter
	Name          string
	FailureDomain string
	Regions       failuredomain.Map
	// MaxConfirmedAge is the age of the last confirmation by the control group
	// beyond which keys are no longer accepted, 0 for no limit.
	MaxConfirmedAge time.Duration
	// RetryRatio, RetrySlack and RetryWindow configure the retry budget. RetrySlack
	// is the share of this entry.
	RetryRatio, RetrySlack float64
	// RetryGrants hands out the slack that all entries share. It may be nil.
	RetryGrants RetryGranter
	RetryWindow time.Duration
	// BoundsColdServers is set if cold servers get only the requests for which the control
	// group grants permits.
	BoundsColdServers bool
	// EvacuationBound is the time in which the evacuation of a failure domain has to be in
	// force after it was acknowledged, 0 if unknown.
	EvacuationBound time.Duration
	// MemoryBytes bounds the memory that is held for requests and responses, 0 for the
	// default.
	MemoryBytes int64
	// MaxConnections bounds the connections from callers, 0 for the bound that follows from
	// MemoryBytes.
	MaxConnections int
	Logger         *zap.Logger
	Metrics        *observe.Metrics
}

// Gateway is the reverse proxy of one entry.
type Gateway struct {
	options  Options
	logger   *zap.Logger
	metrics  metrics
	services serviceSet
	limits   *limiter
	cold     *limiter
	notices  *noticeBoard
	outcomes *outcomeBoard
	parts    *partGuard
	rooms    *roomBoard
	lengths  lengthPredictor
	times    timePredictor
	memory   *memoryBudget
	refusals *refusalLog
	// refusing has an element for each connection that is being refused.
	refusing chan struct{}
	started  time.Time

	// drain is set while the entry drains. Its times are values of elapsed.
	drain          atomic.Pointer[dispatch.Drain]
	activeRequests atomic.Int64
	// accepting counts the calls of Serve.
	accepting sync.WaitGroup

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	rng   *rand.Rand
}

// New returns a Gateway that follows the state of options.Fleet.
func New(options Options) *Gateway {
	g := &Gateway{options: options, logger: options.Logger, started: time.Now(), conns: map[*callerConn]struct{}{},
		rng: rand.New(rand.NewSource(time.Now().UnixNano()))}
	g.memory = newMemoryBudget(cmp.Or(options.MemoryBytes, defaultMemoryBytes), g.elapsed)
	g.options.MaxConnections = cmp.Or(options.MaxConnections, maxConnections(g.memory.limit, 0))
	g.refusals, g.refusing = newRefusalLog(options.Logger, g.elapsed), make(chan struct{}, maxRefusing)
	g.metrics = newMetrics(options.Metrics)
	options.Metrics.Gauge("gateway_request_memory_bytes", func() float64 { return float64(g.memory.inUse()) })
	g.notices = newNoticeBoard(&options)
	g.services.init(&options, g.notices)
	g.limits, g.cold = newLimiter(&options), newColdLimiter(&options)
	g.parts = newPartGuard(&options)
	g.outcomes = newOutcomeBoard(&options)
	g.rooms = newRoomBoard(&options)
	evacuations := fleet.NewEvacuationLog(options.Logger)
	options.Metrics.Gauge("gateway_evacuated_failure_domains_count", func() float64 {
		return float64(len(options.Fleet.View().Evacuations))
	})
	options.Fleet.OnChange(func(v *fleet.View) {
		g.notices.update(v)
		// Servers are known as cold before placement may choose them.
		g.cold.updateCold(v)
		g.services.update(g.elapsed(), v)
		evacuations.Update(v)
		g.limits.update(v)
		g.parts.update(v)
		g.rooms.update(v)
	})
	g.cold.updateCold(options.Fleet.View())
	g.services.update(0, options.Fleet.View())
	g.rooms.update(options.Fleet.View())
	return g
}

func (g *Gateway) elapsed() time.Duration { return time.Since(g.started) }

func (g *Gateway) table() *desired.Table { return g.options.Fleet.View().Table }

// random returns a uniformly distributed number in [0, 1).
func (g *Gateway) random() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// maxReadyAge is the age of the last confirmation beyond which the entry is not
// ready. It is below MaxConfirmedAge, so that new callers go to other entries
// before their keys are refused here.
const maxReadyAge = 3 * time.Second

// Ready reports whether the entry should get new callers, and the reason if not.
func (g *Gateway) Ready() (bool, string) {
	if g.drain.Load() != nil {
		return false, "draining"
	}
	if g.table() == nil {
		return false, "no desired state is known"
	}
	if g.options.Fleet.View().Servers == nil {
		return false, "no list of backend servers is known"
	}
	if age, ok := g.options.Fleet.ConfirmedAge(); !ok || g.options.MaxConfirmedAge > 0 && age > maxReadyAge {
		return false, "the control group was not reached lately"
	}
	return true, ""
}
