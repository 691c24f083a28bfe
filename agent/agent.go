// Package agent implements the agent role. The agent is the only process that
// starts, resumes or cancels generations, forwards calls or sends orders to the
// backend servers of its host.
package agent

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/execution"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Fleet provides the daemon's view of the system: the configuration, the members
// and the header that is exchanged with other processes.
type Fleet interface {
	Config() *contract.Config
	Header() message.Header
	Observe(message.Header)
	// Members returns the known hosts, including the leaving marks that operators
	// and the platform have set.
	Members() []message.Member
}

// Options configures an agent.
type Options struct {
	// LinkLimits bounds what clients of the token links can make the agent hold. The zero value
	// means wire.DefaultLimits.
	LinkLimits  wire.Limits
	Host        string
	Incarnation message.Incarnation
	Fleet       Fleet
	Logger      *zap.Logger
	// ReplayRetention is how long the answer of an ended execution can still be
	// read.
	ReplayRetention time.Duration
	// ReplayBytes limits the total size of the replay buffers.
	ReplayBytes int64
	// MaxQueue limits the queue of each backend server.
	MaxQueue int
	// ReaderGrace is how long an execution continues without a reader, or with a
	// reader that acknowledges nothing while the window is full. A caller that lost
	// its connection can reconnect within this time.
	ReaderGrace time.Duration
	// EngineIdleTimeout is how long an engine stream may deliver no event before the
	// agent probes the engine.
	EngineIdleTimeout time.Duration
	// CrashReporter receives crash reports. If it is nil, reports are dropped.
	CrashReporter CrashReporter
	// OnRestart is called with the name of a backend server that has restarted, and has
	// therefore lost what it had loaded. It may be nil and must not block.
	OnRestart func(backendServer string)
	// Connect returns a client for a backend server. If it is nil, the HTTP client
	// is used.
	Connect func(contract.BackendServer) engine.Backend
}

const (
	defaultReplayRetention   = 60 * time.Second
	defaultReplayBytes       = 64 << 20
	defaultMaxQueue          = 256
	defaultReaderGrace       = 30 * time.Second
	defaultEngineIdleTimeout = 6 * time.Second
	housekeepingInterval     = time.Second
)

// Agent runs the executions on the backend servers of one host.
type Agent struct {
	options    Options
	logger     *zap.Logger
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	table    *execution.Table
	runs     map[message.ExecutionID]*run
	backends map[string]*backendServer
	// replaced are servers at an address that is no longer declared, while they run requests.
	replaced []*backendServer
	ended    []endedRun
	// evacuated is set while the failure domain of this host is evacuated.
	evacuated bool
	links     map[net.Conn]*linkConn

	suspectsMu sync.Mutex
	suspects   map[string]time.Time
}

// endedRun is an ended run that is kept until its replay retention expires.
type endedRun struct {
	id      message.ExecutionID
	endedAt time.Time
}

// New starts an agent. Zero fields of options get defaults.
func New(options Options) *Agent {
	if options.ReplayRetention <= 0 {
		options.ReplayRetention = defaultReplayRetention
	}
	if options.ReplayBytes <= 0 {
		options.ReplayBytes = defaultReplayBytes
	}
	if options.MaxQueue <= 0 {
		options.MaxQueue = defaultMaxQueue
	}
	if options.Connect == nil {
		options.Connect = func(s contract.BackendServer) engine.Backend { return engine.NewClient(s.Address) }
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.ReaderGrace <= 0 {
		options.ReaderGrace = defaultReaderGrace
	}
	if options.EngineIdleTimeout <= 0 {
		options.EngineIdleTimeout = defaultEngineIdleTimeout
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{
		options: options, logger: options.Logger, ctx: ctx, stop: stop,
		table: execution.New(options.Incarnation), runs: map[message.ExecutionID]*run{},
		backends: map[string]*backendServer{}, links: map[net.Conn]*linkConn{},
		suspects: map[string]time.Time{},
	}
	a.Reconcile()
	a.spawn(a.housekeeping)
	return a
}

// spawn runs fn in a goroutine that Close waits for.
func (a *Agent) spawn(fn func()) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		fn()
	}()
}

// Reconcile applies the backend servers that the current configuration declares
// for this host.
func (a *Agent) Reconcile() {
	config := a.options.Fleet.Config()
	if config == nil {
		return
	}
	hostLeaving, serverLeaving := a.leavingMarks()
	a.mu.Lock()
	defer a.mu.Unlock()
	// Read under the lock, so that concurrent calls do not apply an older set last.
	if a.evacuated = a.isEvacuated(config); a.evacuated {
		a.refuseWaiting()
	}
	for name, declared := range config.BackendServers {
		if declared.Host != a.options.Host {
			continue
		}
		b, ok := a.backends[name]
		if ok && b.address == declared.Address {
			b.configure(declared)
			continue
		}
		if ok {
			// Its requests end at the old address.
			b.setRemoved()
			a.replaced = append(a.replaced, b)
		}
		a.backends[name] = newBackendServer(a, declared, config.Services[declared.Service].Kind)
	}
	a.replaced = slices.DeleteFunc(a.replaced, (*backendServer).stopIfIdle)
	for name, b := range a.backends {
		if declared, ok := config.BackendServers[name]; !ok || declared.Host != a.options.Host {
			b.setRemoved()
		}
		b.setLeavingMark(hostLeaving || serverLeaving[name])
	}
}

// leavingMarks returns the leaving marks of this host and of its backend servers.
// The agent enforces them itself, because entries may act on a stale view.
func (a *Agent) leavingMarks() (hostLeaving bool, serverLeaving map[string]bool) {
	serverLeaving = map[string]bool{}
	for _, m := range a.options.Fleet.Members() {
		if m.Host != a.options.Host {
			continue
		}
		hostLeaving = m.State == message.MemberLeaving
		for _, s := range m.BackendServers {
			serverLeaving[s.Name] = s.Leaving
		}
	}
	return hostLeaving, serverLeaving
}

// housekeeping periodically applies the configuration, cancels executions that
// have no reader and drops ended ones.
func (a *Agent) housekeeping() {
	ticker := time.NewTicker(min(housekeepingInterval, a.options.ReaderGrace/4))
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case now := <-ticker.C:
			a.Reconcile()
			a.cancelReaderless(now)
			a.dropEnded(now)
		}
	}
}

// dropEnded drops ended runs after their retention. If the replay buffers exceed
// ReplayBytes, it drops the oldest ended runs earlier.
func (a *Agent) dropEnded(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var total int64
	for _, r := range a.runs {
		r.mu.Lock()
		total += int64(r.window.Bytes())
		r.mu.Unlock()
	}
	for len(a.ended) > 0 {
		oldest := a.ended[0]
		if now.Sub(oldest.endedAt) < a.options.ReplayRetention && total <= a.options.ReplayBytes {
			return
		}
		if r, ok := a.runs[oldest.id]; ok {
			r.mu.Lock()
			total -= int64(r.window.Bytes())
			r.mu.Unlock()
			delete(a.runs, oldest.id)
		}
		a.ended = a.ended[1:]
	}
}

// cancelReaderless cancels executions that nobody reads, to free the backend
// servers. The answer so far can be read until the replay retention expires.
func (a *Agent) cancelReaderless(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if reason, text := r.readerTimeout(now, a.options.ReaderGrace); reason != "" {
			a.cancelRun(r, reason, text)
		}
	}
}

// Close stops the agent immediately and waits for its goroutines.
func (a *Agent) Close() {
	a.stop()
	a.mu.Lock()
	for conn := range a.links {
		_ = conn.Close()
	}
	a.mu.Unlock()
	a.goroutines.Wait()
}

// Statuses returns the status of each backend server for the heartbeat. Leaving
// reports only the agent's own drain: all members know the declared state, and a
// reported leaving state holds until the agent's process ends.
func (a *Agent) Statuses() []message.BackendServerStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]message.BackendServerStatus, 0, len(a.backends))
	for name, b := range a.backends {
		list = append(list, message.BackendServerStatus{Name: name, Healthy: b.healthy(), Leaving: a.table.Draining()})
	}
	return list
}

// findBackend returns a backend server that accepts work, or a refusal. The caller
// holds a.mu.
func (a *Agent) findBackend(name string) (*backendServer, *message.Refusal) {
	if a.evacuated {
		r := evacuationRefusal()
		return nil, &r
	}
	b, ok := a.backends[name]
	if !ok {
		r := message.NewRefusal(verdict.ReasonNoBackendServer,
			"backend server "+strconv.Quote(name)+" is not on this host", 0)
		return nil, &r
	}
	if b.leaving() {
		r := message.NewRefusal(verdict.ReasonLeaving, "backend server "+strconv.Quote(name)+" is leaving", 0)
		return nil, &r
	}
	return b, nil
}

// recordEnd records the end of an execution in the table.
func (a *Agent) recordEnd(id message.ExecutionID, v verdict.Verdict) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.End(now, id, v)
	a.ended = append(a.ended, endedRun{id, now})
}

// cancelRun cancels a run: a waiting one ends at once, a running one when its
// segment has stopped. The caller holds a.mu.
func (a *Agent) cancelRun(r *run, reason verdict.Reason, text string) {
	if record, ok := a.table.Get(r.id()); ok && record.State == execution.Waiting {
		a.table.End(time.Now(), r.id(), verdict.NotRun)
		a.endQueued(r, reason, text)
		return
	}
	r.mu.Lock()
	r.cancelReason, r.cancelMessage = reason, text
	r.mu.Unlock()
	r.backend.cancelSegment(r)
}

// endQueued removes a run from the queue and ends it as not run. The caller holds
// a.mu and has made sure that the run will not be dispatched.
func (a *Agent) endQueued(r *run, reason verdict.Reason, text string) {
	r.backend.removeRun(r)
	r.setDelivered()
	if r.finish(message.End{Verdict: verdict.NotRun, Refusal: message.NewRefusal(reason, text, 0)}) {
		a.ended = append(a.ended, endedRun{r.id(), time.Now()})
	}
}

func formatAttempt(attempt uint32) string { return strconv.FormatUint(uint64(attempt), 10) }

// provesNotRun reports whether an error of a backend server proves that the
// request did not run.
func provesNotRun(err error) bool {
	return errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRefused)
}
