package evacuate

import (
	"context"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/coldwatch"
	"arbutusmast.example/arbutusmast/fleet"
	"go.uber.org/zap"
)

const (
	// healthTimeout bounds a call of the engine's health path.
	healthTimeout = 500 * time.Millisecond
	// coldTolerance is the difference of the ends of the cold time that is not worth a report.
	coldTolerance = 100 * time.Millisecond
	// healthLogInterval is the least time between two log lines about calls that failed.
	healthLogInterval = time.Minute
)

// coldState is what is known of the cold time of the engine on this host.
type coldState struct {
	mu    sync.Mutex
	watch *coldwatch.Watch
	// failures counts the failed calls since the last log line about one, at failureLoggedAt.
	failures        int
	failureLogged   bool
	failureLoggedAt time.Duration
	// learned gets a value when the end of the cold time moved.
	learned chan struct{}
}

func newColdState() coldState {
	return coldState{watch: coldwatch.New(), learned: make(chan struct{}, 1)}
}

// watchCold counts the new runs of the engine and asks it in the background how long it is cold, if its
// service has a bound for cold servers and the rate is so high that the bound matters.
func (a *Agent) watchCold(ctx context.Context, s Status) {
	service := a.declaredService(a.options.Fleet.View())
	if !a.options.BoundsColdServers || service == nil || service.ColdPerSecond <= 0 || service.HealthPath == "" {
		return
	}
	ids := make([]string, len(s.Generations))
	for i, generation := range s.Generations {
		ids[i] = generation.ID
	}
	now := fleet.SinceBoot()
	a.cold.mu.Lock()
	defer a.cold.mu.Unlock()
	a.cold.watch.Observe(now, ids)
	if !a.cold.watch.Due(now, service.ColdPerSecond) {
		return
	}
	a.cold.watch.Asked(now)
	a.metrics.healthCalls.Add(1)
	go a.askCold(ctx, service.HealthPath)
}

// askCold asks the engine how long it is cold.
func (a *Agent) askCold(ctx context.Context, path string) {
	callCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	remaining, err := a.options.Engine.ColdFor(callCtx, path)
	now, c := fleet.SinceBoot(), &a.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.watch.Until()
	c.watch.Answered(now, remaining, err == nil)
	if err != nil {
		a.healthFailed(now, path, err)
		return
	}
	if c.watch.Until()-previous <= coldTolerance {
		return
	}
	a.metrics.coldTimes.Add(1)
	a.options.Logger.Info("backend server is cold", zap.Duration("cold_seconds", remaining), zap.Int("new_runs", c.watch.NewRuns(now)))
	select {
	case c.learned <- struct{}{}:
	default:
	}
}

// healthFailed counts a failed call and logs it, once in a while. The caller holds a.cold.mu.
func (a *Agent) healthFailed(now time.Duration, path string, err error) {
	c := &a.cold
	a.metrics.healthFailures.Add(1)
	c.failures++
	if c.failureLogged && now-c.failureLoggedAt < healthLogInterval {
		return
	}
	a.options.Logger.Warn("health path does not tell whether the backend server is cold", zap.String("health_path", path),
		zap.Int("failures", c.failures), zap.Error(err))
	c.failures, c.failureLogged, c.failureLoggedAt = 0, true, now
}

// addCold sets the cold time of the engine in a report, and returns its end.
func (a *Agent) addCold(r *backend.Report) (until time.Duration) {
	now := fleet.SinceBoot()
	a.cold.mu.Lock()
	defer a.cold.mu.Unlock()
	if r.ColdFor = a.cold.watch.Remaining(now); r.ColdFor == 0 {
		return 0
	}
	r.NewRuns = a.cold.watch.NewRuns(now)
	return a.cold.watch.Until()
}
