package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// CrashReporter takes the reports of crashed backend servers to the control
// group.
type CrashReporter interface {
	ReportCrash(ctx context.Context, report message.CrashReport) (message.CrashReply, error)
}

const (
	// gatherWindow is how long the streams of a crashed server may take to break.
	gatherWindow = 150 * time.Millisecond
	loadInterval = time.Second
	// resetWindow is how long after a reset of the counters a broken stream is
	// taken for a sign of the same crash.
	resetWindow = 3 * loadInterval
	reportTries = 5
	reportPause = 500 * time.Millisecond
	// suspectRetention is how long the agent itself keeps suspects of a crash
	// apart, like the control group.
	suspectRetention = 10 * time.Minute
	maxSuspects      = 4096
)

// inFlight is a request that a backend server works on.
type inFlight struct {
	digest  string
	suspect bool
}

// crashEvent is one possible crash. Broken streams wait for decided.
type crashEvent struct {
	decided chan struct{}
	crashed bool
}

// crashWatch tells a crash of a backend server from a broken connection.
type crashWatch struct {
	server *backendServer

	mu     sync.Mutex
	active map[*inFlight]struct{}
	event  *crashEvent
	// requests is the highest request counter that the engine has reported.
	requests int
	// resetAt is when the counter was seen to start anew, until a crash was
	// decided on it.
	resetAt  time.Time
	sequence int
}

// enter records a request in flight. It reports false for a suspect while
// another one runs, because a crash of both would not tell which is at fault.
func (w *crashWatch) enter(f *inFlight) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.suspect {
		for other := range w.active {
			if other.suspect {
				return false
			}
		}
	}
	w.active[f] = struct{}{}
	return true
}

func (w *crashWatch) leave(f *inFlight) {
	w.mu.Lock()
	delete(w.active, f)
	w.mu.Unlock()
}

// broken tells whether the connection of a request broke because the backend
// server crashed. All streams that break together share one decision.
func (w *crashWatch) broken(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	w.mu.Lock()
	if w.event == nil {
		w.event = &crashEvent{decided: make(chan struct{})}
		w.sequence++
		event, sequence, digests := w.event, w.sequence, w.digests()
		go w.decide(event, sequence, digests)
	}
	event := w.event
	w.mu.Unlock()
	select {
	case <-event.decided:
		return event.crashed
	case <-ctx.Done():
		return false
	}
}

// digests returns the digests in flight. The caller holds w.mu.
func (w *crashWatch) digests() []string {
	seen := map[string]bool{}
	var list []string
	for f := range w.active {
		if f.digest != "" && !seen[f.digest] {
			seen[f.digest] = true
			list = append(list, f.digest)
		}
	}
	return list
}

// decide probes the server at once and after the gather window: a server that
// restarts quickly is unreachable for a moment only, and its counters start
// anew.
func (w *crashWatch) decide(event *crashEvent, sequence int, digests []string) {
	a := w.server.agent
	crashed := w.probe()
	select {
	case <-time.After(gatherWindow):
	case <-a.ctx.Done():
	}
	crashed = w.probe() || crashed
	w.mu.Lock()
	event.crashed = crashed
	w.event = nil
	if crashed {
		w.requests, w.resetAt = 0, time.Time{}
	}
	w.mu.Unlock()
	if crashed {
		a.suspect(digests)
	}
	close(event.decided)
	if !crashed || a.ctx.Err() != nil {
		return
	}
	a.logger.Warn("backend server crashed", zap.String("backend_server", w.server.name), zap.Strings("digests", digests))
	a.report(message.CrashReport{
		BackendServer: w.server.name, InFlight: digests,
		Crash: fmt.Sprintf("%s~%x~%d", w.server.name, uint64(a.options.Incarnation), sequence),
	})
}

// probe tells whether the server is away or has started anew. A probe without
// an answer is no crash, because the path may be silent.
func (w *crashWatch) probe() bool {
	ctx, cancel := context.WithTimeout(w.server.agent.ctx, probeTimeout)
	defer cancel()
	load, err := w.server.engine.Load(ctx)
	// A connection that was not refused but timed out shows a silent path.
	away := errors.Is(err, engine.ErrUnreachable) && ctx.Err() == nil
	w.server.setFailing(away)
	if err != nil {
		return away
	}
	w.server.engineLoad(load)
	return w.observe(load)
}

// observe takes a load report and tells whether the counters were reset lately.
func (w *crashWatch) observe(load engine.Load) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if load.Requests < w.requests {
		w.resetAt = now
	}
	w.requests = load.Requests
	return now.Sub(w.resetAt) < resetWindow
}

// follow polls the load, so that a reset of its counters is seen.
func (w *crashWatch) follow(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.probe()
	}
}

// suspect keeps requests that were in flight at a crash apart from now on.
func (a *Agent) suspect(digests []string) {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	now := time.Now()
	for digest, since := range a.suspects {
		if now.Sub(since) > suspectRetention {
			delete(a.suspects, digest)
		}
	}
	for _, digest := range digests {
		if len(a.suspects) < maxSuspects {
			a.suspects[digest] = now
		}
	}
}

// suspected tells whether a request was in flight at a crash.
func (a *Agent) suspected(digest string) bool {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	since, ok := a.suspects[digest]
	return ok && time.Since(since) <= suspectRetention
}

// clear reports that a suspect ended without a crash.
func (a *Agent) clear(server, digest string) {
	a.suspectsMu.Lock()
	delete(a.suspects, digest)
	a.suspectsMu.Unlock()
	go func() { a.report(message.CrashReport{BackendServer: server, Cleared: []string{digest}}) }()
}

// report sends a report until it was taken. The crash id lets the control group
// count a repeated report once.
func (a *Agent) report(r message.CrashReport) {
	if a.options.CrashReporter == nil {
		return
	}
	for range reportTries {
		r.Header = a.options.Fleet.Header()
		ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
		_, err := a.options.CrashReporter.ReportCrash(ctx, r)
		cancel()
		if err == nil {
			return
		}
		a.logger.Warn("crash report failed", zap.String("backend_server", r.BackendServer), zap.Error(err))
		select {
		case <-time.After(reportPause):
		case <-a.ctx.Done():
			return
		}
	}
}
