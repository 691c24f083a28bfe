// Package agent runs the agent role: it is the only process that starts,
// resumes, cancels or orders anything on the backend servers of its host.
package agent

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/execution"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Fleet is what the agent needs of the daemon's view of the system.
type Fleet interface {
	Config() *contract.Config
	Header() message.Header
	Observe(message.Header)
	// Members returns the known hosts with the operators' and the platform's
	// marks.
	Members() []message.Member
}

// Options configures an agent.
type Options struct {
	Host        string
	Incarnation message.Incarnation
	Fleet       Fleet
	Logger      *zap.Logger
	// ReplayRetention is how long an ended answer can still be read.
	ReplayRetention time.Duration
	// ReplayBytes bounds the replay buffers of all executions.
	ReplayBytes int64
	MaxQueue    int
	// ReaderGrace is how long an execution goes on without a reader, or with one
	// that acknowledges nothing while the window is full. A caller that lost its
	// connection can come back within it.
	ReaderGrace time.Duration
	// EngineIdleTimeout is how long an engine stream may be silent before the agent
	// probes the engine.
	EngineIdleTimeout time.Duration
	// CrashReporter takes crash reports; nil drops them.
	CrashReporter CrashReporter
	// Connect opens a backend server; nil means the HTTP client.
	Connect func(contract.BackendServer) engine.Backend
}

const (
	defaultReplayRetention = 60 * time.Second
	defaultReplayBytes     = 64 << 20
	defaultMaxQueue        = 256
	defaultReaderGrace     = 30 * time.Second
	defaultEngineSilence   = 6 * time.Second
	housekeepingInterval   = time.Second
)

// Agent is one agent.
type Agent struct {
	options Options
	logger  *zap.Logger
	ctx     context.Context
	stop    context.CancelFunc
	threads sync.WaitGroup

	mu       sync.Mutex
	table    *execution.Table
	runs     map[message.ExecutionID]*run
	backends map[string]*backendServer
	ended    []endedRun
	links    map[net.Conn]*connection

	suspectsMu sync.Mutex
	suspects   map[string]time.Time
}

type endedRun struct {
	id message.ExecutionID
	at time.Time
}

// New returns a running agent.
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
		options.EngineIdleTimeout = defaultEngineSilence
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{
		options: options, logger: options.Logger, ctx: ctx, stop: stop,
		table: execution.New(options.Incarnation), runs: map[message.ExecutionID]*run{},
		backends: map[string]*backendServer{}, links: map[net.Conn]*connection{},
		suspects: map[string]time.Time{},
	}
	a.Reconcile()
	a.spawn(a.housekeeping)
	return a
}

func (a *Agent) spawn(duty func()) {
	a.threads.Add(1)
	go func() {
		defer a.threads.Done()
		duty()
	}()
}

// Reconcile takes over the backend servers that the configuration in force
// declares for this host.
func (a *Agent) Reconcile() {
	config := a.options.Fleet.Config()
	if config == nil {
		return
	}
	hostMarked, marked := a.marks()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, declared := range config.BackendServers {
		if declared.Host != a.options.Host {
			continue
		}
		if b, ok := a.backends[name]; ok {
			b.declare(declared)
			continue
		}
		a.backends[name] = newBackendServer(a, declared, config.Services[declared.Service].Kind)
	}
	for name, b := range a.backends {
		if _, ok := config.BackendServers[name]; !ok {
			b.withdraw()
		}
		b.mark(hostMarked || marked[name])
	}
}

// marks returns the leaving marks of this host and of its backend servers. Each
// agent follows them itself, because entries may act on an old view.
func (a *Agent) marks() (host bool, servers map[string]bool) {
	servers = map[string]bool{}
	for _, m := range a.options.Fleet.Members() {
		if m.Host != a.options.Host {
			continue
		}
		host = m.State == message.MemberLeaving
		for _, s := range m.BackendServers {
			servers[s.Name] = s.Leaving
		}
	}
	return host, servers
}

// housekeeping drops ended runs after their retention, the oldest first when
// the replay buffers exceed their bound.
func (a *Agent) housekeeping() {
	ticker := time.NewTicker(min(housekeepingInterval, a.options.ReaderGrace/4))
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case now := <-ticker.C:
			a.Reconcile()
			a.cancelUnread(now)
			a.dropEnded(now)
		}
	}
}

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
		if now.Sub(oldest.at) < a.options.ReplayRetention && total <= a.options.ReplayBytes {
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

// cancelUnread frees the backend servers from executions that nobody reads. The
// answer so far stays readable until the replay retention ends.
func (a *Agent) cancelUnread(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if reason, text := r.unread(now, a.options.ReaderGrace); reason != "" {
			a.cancelRun(r, reason, text)
		}
	}
}

// Close stops the agent at once.
func (a *Agent) Close() {
	a.stop()
	a.mu.Lock()
	for conn := range a.links {
		_ = conn.Close()
	}
	a.mu.Unlock()
	a.threads.Wait()
}

// Statuses reports the backend servers for the heartbeat. What the declaration
// says about them is known to all; only the agent's own drain is reported,
// because a reported leave holds for the whole life of the agent.
func (a *Agent) Statuses() []message.BackendServerStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]message.BackendServerStatus, 0, len(a.backends))
	for name, b := range a.backends {
		list = append(list, message.BackendServerStatus{Name: name, Healthy: b.healthy(), Leaving: a.table.Draining()})
	}
	return list
}

func (a *Agent) backend(name string) (*backendServer, *message.Refusal) {
	b, ok := a.backends[name]
	if !ok {
		r := message.NewRefusal(verdict.ReasonNoBackendServer, "backend server "+strconv.Quote(name)+" is not on this host", 0)
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

// cancelRun ends a run before the engine does. The caller holds a.mu.
func (a *Agent) cancelRun(r *run, reason verdict.Reason, text string) {
	if record, ok := a.table.Get(r.id()); ok && record.State == execution.Waiting {
		a.table.End(time.Now(), r.id(), verdict.NotRun)
		a.withdraw(r, reason, text)
		return
	}
	r.mu.Lock()
	r.canceled, r.canceledText = reason, text
	r.mu.Unlock()
	r.backend.cancelTurn(r)
}

// withdraw takes a run that will never be dispatched out of the queue. The
// caller holds a.mu.
func (a *Agent) withdraw(r *run, reason verdict.Reason, text string) {
	r.backend.remove(r)
	r.setRead()
	if r.finish(message.End{Verdict: verdict.NotRun, Refusal: message.NewRefusal(reason, text, 0)}) {
		a.ended = append(a.ended, endedRun{r.id(), time.Now()})
	}
}

func attemptText(attempt uint32) string { return strconv.FormatUint(uint64(attempt), 10) }

func notRun(err error) bool {
	return errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRefused)
}
