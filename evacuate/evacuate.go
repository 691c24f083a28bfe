// Package evacuate runs beside a backend server: it reports the server's load
// and moves its generations away when the server is told to leave.
package evacuate

import (
	"context"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// ServiceName is the net/rpc service that entries ask for whereabouts.
const ServiceName = "Evacuation"

const (
	// statusInterval is the pause between looks at the server, which costs
	// nothing on its own host; the notice is one to two seconds.
	statusInterval = 100 * time.Millisecond
	statusTimeout  = 500 * time.Millisecond
	// reportInterval is the pause between reports of a load.
	reportInterval = 200 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// unknownNotice is assumed when the server does not say how long it stays.
	unknownNotice = 1500 * time.Millisecond
	// moveReserve is kept between the last move and the end of the server.
	moveReserve = 100 * time.Millisecond
	// concurrentMoves is 1, because a generation that is stopped would wait for
	// the copies of others on the same link.
	concurrentMoves = 1
	// shortCopy is the time of a copy up to which the link counts as free and
	// little as left, so that the generation can be stopped. Callers accept
	// pauses of 180 ms.
	shortCopy = 40 * time.Millisecond
	// lastChance is the time before the end of the server at which a generation
	// is stopped in any case.
	lastChance = 300 * time.Millisecond
	// refreshInterval is the pause between refreshes of loads during a notice, and
	// refreshTimeout bounds one.
	refreshInterval = 300 * time.Millisecond
	refreshTimeout  = 100 * time.Millisecond
	// maxRefused bounds the destinations tried for one generation; a refusal takes
	// about two milliseconds.
	maxRefused = 12
	// refusedLife is how long a destination that took no copy is avoided.
	refusedLife = 300 * time.Millisecond
	// whereaboutsWait bounds how long an entry is kept waiting for a move.
	whereaboutsWait = 800 * time.Millisecond
	// keepMoved is how long whereabouts are kept, longer than a copy lives.
	keepMoved = 10 * time.Second
)

// Fleet is the daemon's copy of the fleet's state.
type Fleet interface {
	View() *fleet.View
	// Refresh takes over the newest loads now.
	Refresh(ctx context.Context) error
}

// Options holds the parameters of an Agent.
type Options struct {
	// Address is the server's, Service its service.
	Address, Service, FailureDomain string
	Engine                          Engine
	Fleet                           Fleet
	Pool                            *wire.Pool
	Logger                          *zap.Logger
	Metrics                         *observe.Metrics
}

// place is where a generation went.
type place struct {
	address, copy string
	done          chan struct{}
	at            time.Time
}

// Agent is the process beside one server.
type Agent struct {
	options  Options
	mu       sync.Mutex
	places   map[string]*place
	previous map[string]bool
	// stranded are the generations without a destination that were logged.
	stranded map[string]bool
	// refused are the destinations that took no copy, and when.
	refused  map[string]time.Time
	reported backend.Report
	lastSent time.Time
	// refreshed is when the loads of other servers were asked for.
	refreshed time.Time
	slots     chan struct{}
	metrics   metrics
}

// New returns an Agent and registers its service.
func New(options Options, server *wire.Server) (*Agent, error) {
	a := &Agent{options: options, places: map[string]*place{}, previous: map[string]bool{}, stranded: map[string]bool{}, refused: map[string]time.Time{}, slots: make(chan struct{}, concurrentMoves)}
	a.metrics = newMetrics(options.Metrics)
	return a, errors.Wrap(server.Register(ServiceName, &service{a}), "register the evacuation service")
}

// Run watches the server until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	down := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := a.options.Engine.Status(callCtx)
		cancel()
		if (err != nil) != down {
			down = err != nil
			a.options.Logger.Info("contact with the backend server changed", zap.Bool("answers", !down), zap.Error(err))
		}
		if err == nil {
			a.report(ctx, status)
			a.refresh(ctx, status)
			a.look(ctx, status)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// report tells the control group what the server says, a notice at once.
func (a *Agent) report(ctx context.Context, s Status) {
	r := backend.Report{Address: a.options.Address, Leaving: s.Leaving, Load: s.Load}
	if r.Leaving == a.reported.Leaving && time.Since(a.lastSent) < reportInterval {
		return
	}
	if r.Leaving != a.reported.Leaving {
		if r.Leaving {
			a.metrics.notices.Add(1)
		}
		a.options.Logger.Info("notice of the backend server changed", zap.Bool("leaving", r.Leaving),
			zap.Duration("leaves_in_seconds", s.LeavesIn), zap.Int("runs", len(s.Runs)))
	}
	a.reported, a.lastSent = r, time.Now()
	leader := a.options.Fleet.View().Leader
	if leader == "" {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var reply fleet.ReportReply
		if err := a.options.Pool.Call(callCtx, leader, fleet.ServiceName+".Report", &fleet.ReportRequest{Report: r}, &reply); err != nil {
			a.options.Logger.Info("report not delivered", zap.String("leader", leader), zap.Error(err))
		}
	}()
}

// refresh gets the loads of the destinations, which are old otherwise, before
// generations are moved.
func (a *Agent) refresh(ctx context.Context, s Status) {
	if !s.Leaving || len(s.Runs) == 0 || time.Since(a.refreshed) < refreshInterval {
		return
	}
	a.refreshed = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := a.options.Fleet.Refresh(callCtx); err != nil {
		a.options.Logger.Info("loads of other servers not refreshed", zap.Error(err))
	}
}

// look starts moves when the server leaves. Generations that were not there at
// the look before are left alone once, because many are over within that time.
func (a *Agent) look(ctx context.Context, s Status) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, p := range a.places {
		if now.Sub(p.at) > keepMoved {
			delete(a.places, id)
		}
	}
	var runs []evacuation.Run
	present := map[string]bool{}
	for _, run := range s.Runs {
		present[run.ID] = true
		if a.places[run.ID] == nil && a.previous[run.ID] {
			runs = append(runs, run)
		}
	}
	a.previous = present
	for id := range a.stranded {
		if !present[id] {
			delete(a.stranded, id)
		}
	}
	if !s.Leaving || len(runs) == 0 || !a.canMove() {
		return
	}
	left := unknownNotice
	if s.LeavesKnown {
		left = s.LeavesIn
	}
	end := now.Add(left)
	destinations := a.destinations()
	moves := evacuation.Plan(runs, destinations, a.link(), left-moveReserve)
	a.logStranded(runs, moves, destinations, left)
	for _, move := range moves {
		p := &place{done: make(chan struct{}), at: now}
		a.places[move.Run.ID] = p
		go a.move(ctx, move, p, end)
	}
}

// logStranded tells once of each generation for which no destination has room.
// The lock is held.
func (a *Agent) logStranded(runs []evacuation.Run, moves []evacuation.Move, destinations []evacuation.Destination, left time.Duration) {
	planned := map[string]bool{}
	for _, move := range moves {
		planned[move.Run.ID] = true
	}
	most := 0
	for _, d := range destinations {
		most = max(most, d.FreeTokens)
	}
	for _, run := range runs {
		if planned[run.ID] || a.stranded[run.ID] {
			continue
		}
		a.stranded[run.ID] = true
		a.options.Logger.Info("no destination for a generation", zap.String("request_id", run.ID), zap.Int("tokens", run.Tokens),
			zap.Int("destinations", len(destinations)), zap.Int("most_free_tokens", most), zap.Duration("left_seconds", left))
	}
}

// destinations returns the servers that could take generations.
func (a *Agent) destinations() []evacuation.Destination {
	var list []evacuation.Destination
	v := a.options.Fleet.View()
	for _, server := range v.Servers {
		if server.Service != a.options.Service || server.Leaving || server.Address == a.options.Address ||
			time.Since(a.refused[server.Address]) < refusedLife {
			continue
		}
		d := evacuation.Destination{Address: server.Address, SameDomain: server.FailureDomain == a.options.FailureDomain, FreeSlots: server.Slots, FreeTokens: a.memory(v)}
		if report, ok := v.Reports[server.Address]; ok && report.Load.TotalTokens > 0 {
			d.FreeSlots -= report.Load.Running
			d.FreeTokens = report.Load.TotalTokens - report.Load.UsedTokens
		}
		list = append(list, d)
	}
	return list
}

// engine returns what is declared of the engines of the service, nil when
// nothing is.
func (a *Agent) engine(v *fleet.View) *desired.Engine {
	if v.Table == nil {
		return nil
	}
	if s := v.Table.Service(a.options.Service); s != nil {
		return s.Engine
	}
	return nil
}

// canMove tells whether generations can be moved. Without a declaration it is
// tried: a refusal costs less than a lost generation.
func (a *Agent) canMove() bool {
	e := a.engine(a.options.Fleet.View())
	return e == nil || e.CanMove
}

// memory returns the declared memory of a server.
func (a *Agent) memory(v *fleet.View) int {
	if e := a.engine(v); e != nil {
		return e.MemoryTokens
	}
	return 0
}

func (a *Agent) link() evacuation.Link {
	if e := a.engine(a.options.Fleet.View()); e != nil {
		return evacuation.Link{BytesPerToken: e.BytesPerToken, Mbps: e.LinkMbps}
	}
	return evacuation.Link{}
}

// move copies a generation while it runs, and then stops it with little left to
// copy, so that its caller sees a pause of milliseconds.
func (a *Agent) move(ctx context.Context, m evacuation.Move, p *place, end time.Time) {
	defer close(p.done)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	case <-ctx.Done():
		return
	}
	began := time.Now()
	copied, err := a.copyRunning(ctx, &m, end)
	var c Copy
	if err == nil {
		c, err = a.options.Engine.Move(ctx, m.Run.ID, m.Destination, true)
	}
	if err == nil || c.Name != "" {
		a.mu.Lock()
		p.address, p.copy = m.Destination, c.Name
		if err != nil {
			// The source keeps the memory of a run that it stopped in vain.
			p.address = a.options.Address
		}
		a.mu.Unlock()
	} else if !errors.Is(err, ErrNotRunning) {
		// The next look plans again, without this destination.
		a.mu.Lock()
		delete(a.places, m.Run.ID)
		a.refused[m.Destination] = time.Now()
		a.mu.Unlock()
	}
	if err != nil {
		a.metrics.failed.Add(1)
	} else {
		a.metrics.moved.Add(1)
		a.metrics.copying.Record(copied.Sub(began))
		a.metrics.stopped.Record(time.Since(copied))
	}
	a.options.Logger.Info("generation moved", zap.String("request_id", m.Run.ID), zap.String("destination", m.Destination), zap.Int("tokens", m.Run.Tokens),
		zap.Duration("copy_seconds", copied.Sub(began)), zap.Duration("stop_seconds", time.Since(copied)),
		zap.Int("events", c.Events), zap.Duration("left_seconds", time.Until(end)), zap.Error(err))
}

// copyRunning copies a running generation until a copy is short. A destination
// that refuses is replaced by the next one. It returns when the last copy ended.
func (a *Agent) copyRunning(ctx context.Context, m *evacuation.Move, end time.Time) (time.Time, error) {
	for refused := 0; ; {
		began := time.Now()
		_, err := a.options.Engine.Move(ctx, m.Run.ID, m.Destination, false)
		now := time.Now()
		if err != nil && ctx.Err() == nil && !errors.Is(err, ErrNotRunning) && refused < maxRefused {
			refused++
			if a.replan(m, end.Sub(now)) {
				continue
			}
		}
		if err != nil || now.Sub(began) <= shortCopy || end.Sub(now) <= lastChance {
			return now, err
		}
	}
}

// replan finds another destination for a move that was refused.
func (a *Agent) replan(m *evacuation.Move, left time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused[m.Destination] = time.Now()
	moves := evacuation.Plan([]evacuation.Run{m.Run}, a.destinations(), a.link(), left)
	if len(moves) == 0 {
		return false
	}
	m.Destination = moves[0].Destination
	return true
}
