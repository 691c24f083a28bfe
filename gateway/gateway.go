// Package gateway forwards callers' requests to the backend servers of a
// desired state, byte for byte: plain requests and event streams. Each decision
// is taken by a state machine under core; this package reads, sends and logs.
//
// It reads requests with its own loop instead of net/http's server, because a
// request whose framing is ambiguous must be refused, and net/http resolves the
// ambiguity silently.
package gateway

import (
	"bufio"
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// verdictHeader tells callers whether a request that failed may have run.
const verdictHeader = "X-Arbutusmast-Verdict"

// RequestMetadata is what a caller's headers say of its request.
type RequestMetadata struct {
	// ID names this attempt of the caller.
	ID string
	// Timeout is how long the caller waits, 0 when it does not say.
	Timeout time.Duration
	Key     string
	// PromptTokens and MaxTokens bound the memory that a generation needs.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the tokens of the answer.
	LengthHint int
	// Prefix names the shared parts of the prompt, outermost first.
	Prefix string
}

// ForwardMetadata is what the system tells a backend server.
type ForwardMetadata struct {
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// ServerID names the only start of a server that may run the request.
	ServerID string
	Caller   string
	// Priority is 0 for the most urgent.
	Priority int
	// Reservation names memory that was reserved for the request.
	Reservation string
	// Copy and LastEventID are set for a generation that goes on elsewhere.
	Copy        string
	LastEventID string
}

// ResponseMetadata is what the headers of a backend server's response say.
type ResponseMetadata struct {
	// ID is the request that the response belongs to, empty when not told.
	ID string
	// Sealed tells that the response is marked as the server's own.
	Sealed bool
	// NotRun tells that the server promises not to have run the request.
	NotRun bool
	// Encoded tells that the body is not the server's plain bytes.
	Encoded bool
	Load    backend.Load
	HasLoad bool
}

// Dialect translates the headers of callers and backend servers.
type Dialect interface {
	ReadRequest(http.Header) RequestMetadata
	// WriteForward removes what only the system may set and adds what it does.
	WriteForward(http.Header, ForwardMetadata)
	ReadResponse(status int, header http.Header) ResponseMetadata
}

// Locator tells where a generation goes on that stopped at a server.
type Locator interface {
	// Locate returns the address that holds the memory of a run, and the
	// name of the copy there.
	Locate(ctx context.Context, server backend.Server, run string) (address, name string, err error)
}

// Fleet is the daemon's copy of the fleet's state.
type Fleet interface {
	View() *fleet.View
	OnChange(func(*fleet.View))
	// ConfirmedAge returns how long ago at most the control group confirmed that
	// nothing newer was in force.
	ConfirmedAge() (time.Duration, bool)
}

// Reserver reserves memory for a generation.
type Reserver interface {
	// Reserve returns the name of a reservation, and false when the server has
	// no room now.
	Reserve(ctx context.Context, server backend.Server, tokens int) (hold string, ok bool, err error)
}

// Options holds the parameters of a Gateway.
type Options struct {
	Fleet   Fleet
	Dialect Dialect
	// Locator and Reserver may be nil.
	Locator  Locator
	Reserver Reserver
	// CrashReporter may be nil.
	CrashReporter CrashReporter
	Name          string
	FailureDomain string
	Regions       failuredomain.Map
	// MaxConfirmedAge is the age of the last confirmation by the control group above
	// which keys are not accepted any more, 0 for no limit.
	MaxConfirmedAge time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound retries; RetrySlack is this
	// entry's own share.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	Logger                 *zap.Logger
	Metrics                *observe.Metrics
}

// Gateway is the entry of one host.
type Gateway struct {
	options  Options
	logger   *zap.Logger
	metrics  metrics
	services serviceSet
	lengths  lengths
	started  time.Time

	draining, closing atomic.Bool
	// drainEnd is the reading of elapsed at which a drain is cut short.
	drainEnd atomic.Int64
	active   atomic.Int64

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	rng   *rand.Rand
}

// New returns a Gateway.
func New(options Options) *Gateway {
	g := &Gateway{options: options, logger: options.Logger, started: time.Now(), conns: map[*callerConn]struct{}{},
		rng: rand.New(rand.NewSource(time.Now().UnixNano()))}
	g.metrics = newMetrics(options.Metrics)
	g.services.init(&options)
	options.Fleet.OnChange(func(v *fleet.View) { g.services.update(g.elapsed(), v) })
	g.services.update(0, options.Fleet.View())
	return g
}

func (g *Gateway) elapsed() time.Duration { return time.Since(g.started) }

func (g *Gateway) table() *desired.Table { return g.options.Fleet.View().Table }

// draw returns a uniform number in [0, 1).
func (g *Gateway) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// readyLease is the age of the last confirmation up to which new callers are
// welcome. It is below the age at which their keys are refused.
const readyLease = 3 * time.Second

// Ready tells whether new callers should come, and otherwise why not.
func (g *Gateway) Ready() (bool, string) {
	if g.draining.Load() {
		return false, "draining"
	}
	if g.table() == nil {
		return false, "no desired state is known"
	}
	if age, ok := g.options.Fleet.ConfirmedAge(); !ok || g.options.MaxConfirmedAge > 0 && age > readyLease {
		return false, "the control group was not reached lately"
	}
	return true, ""
}

// Serve accepts callers until the listener closes.
func (g *Gateway) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				g.logger.Warn("could not accept a connection", zap.Error(err))
				time.Sleep(acceptRetry)
				continue
			}
			return errors.Wrap(err, "accept callers")
		}
		c := &callerConn{gateway: g, conn: conn, in: bufio.NewReaderSize(conn, readBufferBytes), out: bufio.NewWriterSize(conn, writeBufferBytes)}
		g.mu.Lock()
		g.conns[c] = struct{}{}
		g.mu.Unlock()
		go func() {
			c.serve()
			g.mu.Lock()
			delete(g.conns, c)
			g.mu.Unlock()
		}()
	}
}

// acceptRetry is the pause after a shortage of descriptors.
const acceptRetry = 50 * time.Millisecond

// drainPoll is the pause between looks at what is left during a drain.
const drainPoll = 50 * time.Millisecond

// Drain withdraws readiness at once, goes on to answer for notice, so that
// balancers see it, and then waits until no request is left or ctx ends.
func (g *Gateway) Drain(ctx context.Context, notice time.Duration, listener net.Listener) {
	if deadline, ok := ctx.Deadline(); ok {
		g.drainEnd.Store(int64(g.elapsed() + time.Until(deadline)))
	}
	g.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
	_ = listener.Close()
	g.closing.Store(true)
	for ctx.Err() == nil && g.closeIdle() > 0 {
		time.Sleep(drainPoll)
	}
	g.logger.Info("drained", zap.Int64("requests_left", g.active.Load()))
}

// closeIdle closes the connections that wait for a request and returns the
// number of the others.
func (g *Gateway) closeIdle() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	busy := 0
	for c := range g.conns {
		if c.busy.Load() {
			busy++
		} else {
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return busy
}
