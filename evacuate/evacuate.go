// Package evacuate implements the agent of a backend server. It reports the server's
// load and moves its generations to other servers when it is told to leave.
package evacuate

import (
	"context"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// ServiceName is the net/rpc service that entries ask where a generation was moved.
const ServiceName = "Evacuation"

const (
	// statusInterval is the polling interval of the server's status. It is short,
	// because the notice is only one to two seconds and polling on the same host is
	// cheap.
	statusInterval = 100 * time.Millisecond
	statusTimeout  = 500 * time.Millisecond
	// reportInterval is the interval between reports of a load that changes, and
	// maxReportInterval that of one that does not, so that the control group does not
	// forget it.
	reportInterval    = 200 * time.Millisecond
	maxReportInterval = time.Second
	reportTimeout     = 500 * time.Millisecond
	// defaultNotice is the notice assumed if the server does not report when it exits.
	defaultNotice = 1500 * time.Millisecond
	// moveMargin is the time between the planned end of the last move and the exit of
	// the server.
	moveMargin = 100 * time.Millisecond
	// concurrentMoves is 1, because the final copy of a stopped generation would share
	// the link with copies of others and take longer.
	concurrentMoves = 1
	// maxFinalCopy is the duration of a copy up to which the link counts as idle and
	// the rest as small, so that the generation can be stopped for the final copy.
	// Callers accept pauses of 180 ms.
	maxFinalCopy = 40 * time.Millisecond
	// forceStopMargin is the time before the exit of the server at which a generation
	// is stopped in any case.
	forceStopMargin = 300 * time.Millisecond
	// refreshInterval is the interval between refreshes of the loads of destinations
	// during a notice, and refreshTimeout bounds each refresh.
	refreshInterval = 300 * time.Millisecond
	refreshTimeout  = 100 * time.Millisecond
	// maxRefusals bounds the refusals for one generation. A refusal takes about two
	// milliseconds.
	maxRefusals = 12
	// refusalBackoff is how long a destination is avoided after it refused a copy.
	refusalBackoff = 300 * time.Millisecond
	// locateTimeout bounds how long a call waits for a move to end. Callers accept a longer pause rather
	// than a stream that is cut.
	locateTimeout = 2 * time.Second
	// moveRetention is how long the state of a move is kept. It is longer than the
	// lifetime of a copy.
	moveRetention = 10 * time.Second
)

// Fleet is the daemon's replica of the fleet's state.
type Fleet interface {
	View() *fleet.View
	// Refresh fetches the latest loads.
	Refresh(ctx context.Context) error
}

// Options holds the parameters of an Agent.
type Options struct {
	// Address is the address of the backend server, Service the service it belongs
	// to, and FailureDomain the failure domain it runs in.
	Address, Service, FailureDomain string
	Engine                          Engine
	Fleet                           Fleet
	Pool                            *wire.Pool
	Logger                          *zap.Logger
	Metrics                         *observe.Metrics
	// BoundsColdServers is set if cold servers have a bound in this deployment.
	BoundsColdServers bool
}

// moveState is the state of a move. When done is closed, address and copy name the
// server and the copy, and are empty if the move failed without a copy.
type moveState struct {
	address, copy string
	done          chan struct{}
	started       time.Time
	// events is the number of events that the generation had made when it was stopped, 0 if unknown.
	events int
}

// resumedHere reports whether a generation that was stopped for the move has made events since. A status may
// list it for a while although it was stopped.
func (s *moveState) resumedHere(g evacuation.Generation) bool {
	return s.copy != "" && s.events > 0 && g.Events > s.events
}

// Agent reports and evacuates one backend server.
type Agent struct {
	options Options
	mu      sync.Mutex
	// moves are the moves in progress or finished, by generation.
	moves map[string]*moveState
	// lastSeen are the generations of the previous status.
	lastSeen map[string]bool
	// unplaced are the generations that were logged as having no destination.
	unplaced map[string]bool
	// refusedAt is when each destination last refused a copy.
	refusedAt map[string]time.Time
	// reported is the last report, sent at reportedAt, and reportedCold the end of the cold time in it.
	reported     backend.Report
	reportedAt   time.Time
	reportedCold time.Duration
	cold         coldState
	ends         *endWatch
	// refreshedAt is when the loads of other servers were last refreshed.
	refreshedAt time.Time
	moveSlots   chan struct{}
	evacuations *fleet.EvacuationLog
	metrics     metrics
}

// New returns an Agent and registers its RPC service with server.
func New(options Options, server *wire.Server) (*Agent, error) {
	a := &Agent{options: options, moves: map[string]*moveState{}, lastSeen: map[string]bool{}, unplaced: map[string]bool{},
		refusedAt: map[string]time.Time{}, moveSlots: make(chan struct{}, concurrentMoves),
		evacuations: fleet.NewEvacuationLog(options.Logger), cold: newColdState(), ends: newEndWatch()}
	a.metrics = newMetrics(options.Metrics)
	return a, errors.Wrap(server.Register(ServiceName, &service{a}), "register the evacuation service")
}

// Run polls the server, reports its load and moves its generations until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	down := false
	for {
		a.evacuations.Update(a.options.Fleet.View())
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		requestedAt := fleet.SinceBoot()
		status, err := a.options.Engine.Status(callCtx)
		cancel()
		a.ends.resting.Store(errors.Is(err, ErrResting))
		if (err != nil) != down {
			down = err != nil
			a.options.Logger.Info("backend server reachability changed", zap.Bool("answers", !down), zap.Error(err))
		}
		if err == nil {
			a.watchEnds(requestedAt, status)
			a.watchCold(ctx, status)
			a.report(ctx, status)
			a.refreshLoads(ctx, status)
			a.planMoves(ctx, status)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.cold.learned:
		case <-ticker.C:
		}
	}
}

// report sends the load of the server to the control group: after reportInterval if it
// changed, after maxReportInterval else, and immediately if its notice or the end of its cold time changed.
func (a *Agent) report(ctx context.Context, s Status) {
	r := backend.Report{Address: a.options.Address, Leaving: s.Leaving, Load: s.Load}
	coldUntil := a.addCold(&r)
	age := time.Since(a.reportedAt)
	if r.Leaving == a.reported.Leaving && coldUntil-a.reportedCold <= coldTolerance && (age < reportInterval || age < maxReportInterval && fleet.SameLoad(r, a.reported)) {
		return
	}
	if r.Leaving != a.reported.Leaving {
		if r.Leaving {
			a.metrics.notices.Add(1)
		}
		a.options.Logger.Info("notice of the backend server changed", zap.Bool("leaving", r.Leaving),
			zap.Duration("leaves_in_seconds", s.LeavesIn), zap.Int("runs", len(s.Generations)))
	}
	a.reported, a.reportedAt, a.reportedCold = r, time.Now(), coldUntil
	leader := a.options.Fleet.View().Leader
	if leader == "" {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var reply fleet.ReportReply
		if err := a.options.Pool.Call(callCtx, leader, fleet.ServiceName+".Report", &fleet.ReportRequest{Report: r},
			&reply); err != nil {
			a.options.Logger.Info("could not deliver the load report", zap.String("leader", leader), zap.Error(err))
		}
	}()
}

// refreshLoads fetches the loads of the destinations before generations are moved,
// because the reports received so far are stale.
func (a *Agent) refreshLoads(ctx context.Context, s Status) {
	if !s.Leaving || len(s.Generations) == 0 || time.Since(a.refreshedAt) < refreshInterval {
		return
	}
	a.refreshedAt = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := a.options.Fleet.Refresh(callCtx); err != nil {
		a.options.Logger.Info("could not refresh the loads of other servers", zap.Error(err))
	}
}

// planMoves starts moves when the server is leaving. It skips generations that were
// not in the previous status, because many end within one status interval.
func (a *Agent) planMoves(ctx context.Context, s Status) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, state := range a.moves {
		if now.Sub(state.started) > moveRetention {
			delete(a.moves, id)
		}
	}
	for address, refusedAt := range a.refusedAt {
		if now.Sub(refusedAt) >= refusalBackoff {
			delete(a.refusedAt, address)
		}
	}
	var candidates []evacuation.Generation
	present := map[string]bool{}
	for _, generation := range s.Generations {
		present[generation.ID] = true
		if state := a.moves[generation.ID]; state != nil && state.resumedHere(generation) {
			delete(a.moves, generation.ID)
		}
		if a.moves[generation.ID] == nil && a.lastSeen[generation.ID] {
			candidates = append(candidates, generation)
		}
	}
	a.lastSeen = present
	for id := range a.unplaced {
		if !present[id] {
			delete(a.unplaced, id)
		}
	}
	if !s.Leaving || len(candidates) == 0 || !a.canMove() {
		return
	}
	remaining := defaultNotice
	if s.LeavesKnown {
		remaining = s.LeavesIn
	}
	end := now.Add(remaining)
	destinations := a.destinations()
	moves := evacuation.Plan(candidates, destinations, a.link(), remaining-moveMargin)
	a.logUnplaced(candidates, moves, destinations, remaining)
	for _, move := range moves {
		state := &moveState{done: make(chan struct{}), started: now}
		a.moves[move.Generation.ID] = state
		go a.move(ctx, move, state, end)
	}
}

// logUnplaced logs each generation for which no destination has enough free memory,
// once. The caller must hold a.mu.
func (a *Agent) logUnplaced(generations []evacuation.Generation, moves []evacuation.Move,
	destinations []evacuation.Destination, remaining time.Duration) {
	planned := map[string]bool{}
	for _, move := range moves {
		planned[move.Generation.ID] = true
	}
	mostFree := 0
	for _, d := range destinations {
		mostFree = max(mostFree, d.FreeTokens)
	}
	for _, generation := range generations {
		if planned[generation.ID] || a.unplaced[generation.ID] {
			continue
		}
		a.unplaced[generation.ID] = true
		a.options.Logger.Info("no destination for a generation", zap.String("request_id", generation.ID),
			zap.Int("tokens", generation.Tokens), zap.Int("destinations", len(destinations)),
			zap.Int("most_free_tokens", mostFree), zap.Duration("left_seconds", remaining))
	}
}

// destinations returns the servers that could take generations. A generation that
// continues at a server counts against the server's limit, or its bound while it is cold, so
// servers with limits and cold ones are used only if there are no others. The caller must hold a.mu.
func (a *Agent) destinations() []evacuation.Destination {
	var list, limited []evacuation.Destination
	v := a.options.Fleet.View()
	for _, server := range v.Servers {
		if server.Service != a.options.Service || server.Leaving || server.Address == a.options.Address ||
			v.IsEvacuated(server.FailureDomain) || time.Since(a.refusedAt[server.Address]) < refusalBackoff ||
			v.Standings[server.Service][server.ID].State == serverhealth.Failing {
			continue
		}
		d := evacuation.Destination{Address: server.Address, SameDomain: server.FailureDomain == a.options.FailureDomain,
			FreeSlots: server.Slots, FreeTokens: a.declaredMemory(v)}
		if report, ok := v.Reports[server.Address]; ok && report.Load.TotalTokens > 0 {
			d.FreeSlots -= report.Load.Running
			d.FreeTokens = report.Load.TotalTokens - report.Load.UsedTokens
		}
		if v.Limits[server.ID].Limited || server.ColdUntil > fleet.SinceBoot() {
			limited = append(limited, d)
			continue
		}
		list = append(list, d)
	}
	if len(list) == 0 {
		return limited
	}
	return list
}

// declaredService returns the declaration of the service, or nil if there is none.
func (a *Agent) declaredService(v *fleet.View) *desired.Service {
	if v.Table == nil {
		return nil
	}
	return v.Table.Service(a.options.Service)
}

// declaredEngine returns the declaration of the engines of the service, or nil if
// there is none.
func (a *Agent) declaredEngine(v *fleet.View) *desired.Engine {
	if s := a.declaredService(v); s != nil {
		return s.Engine
	}
	return nil
}

// canMove reports whether generations can be moved. Without a declaration it returns
// true, because a refused move costs less than a lost generation.
func (a *Agent) canMove() bool {
	e := a.declaredEngine(a.options.Fleet.View())
	return e == nil || e.CanMove
}

// declaredMemory returns the declared memory of a server in tokens, 0 if unknown.
func (a *Agent) declaredMemory(v *fleet.View) int {
	if e := a.declaredEngine(v); e != nil {
		return e.MemoryTokens
	}
	return 0
}

// link returns the declared link of the engines of the service.
func (a *Agent) link() evacuation.Link {
	if e := a.declaredEngine(a.options.Fleet.View()); e != nil {
		return evacuation.Link{BytesPerToken: e.BytesPerToken, Mbps: e.LinkMbps}
	}
	return evacuation.Link{}
}
