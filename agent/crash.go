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

// CrashReporter sends reports of crashed backend servers to the control group.
type CrashReporter interface {
	ReportCrash(ctx context.Context, report message.CrashReport) (message.CrashReply, error)
}

const (
	// crashDecisionWindow is the time within which the streams of a crashed server
	// break. They share one decision.
	crashDecisionWindow = 150 * time.Millisecond
	loadPollInterval    = time.Second
	// counterResetWindow is how long after a reset of the engine's counters a broken
	// stream is attributed to the same crash.
	counterResetWindow = 3 * loadPollInterval
	maxReportTries     = 5
	reportRetryDelay   = 500 * time.Millisecond
	// suspectRetention is how long the agent itself runs the suspects of a crash one
	// at a time. The control group does the same.
	suspectRetention = 10 * time.Minute
	maxSuspects      = 4096
)

// inFlightRequest is a request that a backend server is processing. A suspect was
// in flight at an earlier crash.
type inFlightRequest struct {
	digest  string
	suspect bool
}

// crashDecision is the decision whether broken streams show a crash of the backend
// server. The streams wait until decided is closed.
type crashDecision struct {
	decided chan struct{}
	crashed bool
}

// crashDetector distinguishes a crash of a backend server from a broken
// connection.
type crashDetector struct {
	server *backendServer

	mu       sync.Mutex
	inFlight map[*inFlightRequest]struct{}
	pending  *crashDecision
	// lastRequests is the request counter that the engine last reported.
	lastRequests int
	// resetAt is when the counter was found to be reset. It is cleared when a crash
	// has been decided.
	resetAt time.Time
	// unreachable is set from a probe that found the server down to the next load report.
	unreachable bool
	sequence    int
}

// add records a request in flight. It returns false for a suspect while another
// suspect runs, because a crash would not tell which of the two caused it.
func (d *crashDetector) add(f *inFlightRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.suspect {
		for other := range d.inFlight {
			if other.suspect {
				return false
			}
		}
	}
	d.inFlight[f] = struct{}{}
	return true
}

func (d *crashDetector) remove(f *inFlightRequest) {
	d.mu.Lock()
	delete(d.inFlight, f)
	d.mu.Unlock()
}

// confirmCrash reports whether the connection of a request broke because the
// backend server crashed. Streams that break together share one decision.
func (d *crashDetector) confirmCrash(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	d.mu.Lock()
	if d.pending == nil {
		d.pending = &crashDecision{decided: make(chan struct{})}
		d.sequence++
		decision, sequence, digests := d.pending, d.sequence, d.inFlightDigests()
		go d.decide(decision, sequence, digests)
	}
	decision := d.pending
	d.mu.Unlock()
	select {
	case <-decision.decided:
		return decision.crashed
	case <-ctx.Done():
		return false
	}
}

// inFlightDigests returns the digests of the requests in flight, without
// duplicates. The caller holds d.mu.
func (d *crashDetector) inFlightDigests() []string {
	seen := map[string]bool{}
	var list []string
	for f := range d.inFlight {
		if f.digest != "" && !seen[f.digest] {
			seen[f.digest] = true
			list = append(list, f.digest)
		}
	}
	return list
}

// decide probes the server immediately and again after crashDecisionWindow. A
// server that restarts quickly is unreachable only briefly, but its counters are
// reset.
func (d *crashDetector) decide(decision *crashDecision, sequence int, digests []string) {
	a := d.server.agent
	crashed := d.probe()
	select {
	case <-time.After(crashDecisionWindow):
	case <-a.ctx.Done():
	}
	crashed = d.probe() || crashed
	d.mu.Lock()
	decision.crashed = crashed
	d.pending = nil
	if crashed {
		d.lastRequests, d.resetAt = 0, time.Time{}
	}
	d.mu.Unlock()
	if crashed {
		a.markSuspects(digests)
	}
	close(decision.decided)
	if !crashed || a.ctx.Err() != nil {
		return
	}
	a.logger.Warn("backend server crashed",
		zap.String("backend_server", d.server.name), zap.Strings("digests", digests))
	a.reportCrash(message.CrashReport{
		BackendServer: d.server.name, InFlight: digests,
		Crash: fmt.Sprintf("%s~%s~%x~%d", d.server.name, d.server.address, uint64(a.options.Incarnation), sequence),
	})
}

// probe reports whether the server is unreachable or has restarted. A probe that
// times out does not indicate a crash, because the network may drop packets.
func (d *crashDetector) probe() bool {
	ctx, cancel := context.WithTimeout(d.server.agent.ctx, probeTimeout)
	defer cancel()
	load, err := d.server.engine.Load(ctx)
	// A connection attempt that times out, instead of being refused, does not prove
	// that the server is down.
	unreachable := errors.Is(err, engine.ErrUnreachable) && ctx.Err() == nil
	d.server.setUnreachable(unreachable)
	if err != nil {
		d.mu.Lock()
		d.unreachable = d.unreachable || unreachable
		d.mu.Unlock()
		return unreachable
	}
	d.server.applyEngineLoad(load)
	restarted, recently := d.recordLoad(load)
	if onRestart := d.server.agent.options.OnRestart; restarted && onRestart != nil {
		onRestart(d.server.name)
	}
	return recently
}

// recordLoad records a load report. It reports whether the server has restarted since the
// last one, and whether the counters were reset within counterResetWindow.
func (d *crashDetector) recordLoad(load engine.Load) (restarted, resetRecently bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	reset := load.Requests != nil && *load.Requests < d.lastRequests
	if reset {
		d.resetAt = now
	}
	restarted = reset || d.unreachable
	d.unreachable = false
	if load.Requests != nil {
		d.lastRequests = *load.Requests
	}
	return restarted, now.Sub(d.resetAt) < counterResetWindow
}

// pollLoad polls the load to detect resets of the engine's counters.
func (d *crashDetector) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.probe()
	}
}

// markSuspects marks requests that were in flight at a crash. From now on, a
// backend server runs at most one of them at a time.
func (a *Agent) markSuspects(digests []string) {
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

// isSuspect reports whether a request was in flight at a recent crash.
func (a *Agent) isSuspect(digest string) bool {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	since, ok := a.suspects[digest]
	return ok && time.Since(since) <= suspectRetention
}

// clearSuspect unmarks a suspect that ended without a crash and reports it to the
// control group.
func (a *Agent) clearSuspect(server, digest string) {
	a.suspectsMu.Lock()
	delete(a.suspects, digest)
	a.suspectsMu.Unlock()
	go func() { a.reportCrash(message.CrashReport{BackendServer: server, Cleared: []string{digest}}) }()
}

// reportCrash sends a report, with up to maxReportTries attempts. The crash ID
// lets the control group count a repeated report only once.
func (a *Agent) reportCrash(r message.CrashReport) {
	if a.options.CrashReporter == nil {
		return
	}
	for range maxReportTries {
		r.Header = a.options.Fleet.Header()
		ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
		_, err := a.options.CrashReporter.ReportCrash(ctx, r)
		cancel()
		if err == nil {
			return
		}
		a.logger.Warn("failed to send crash report", zap.String("backend_server", r.BackendServer), zap.Error(err))
		select {
		case <-time.After(reportRetryDelay):
		case <-a.ctx.Done():
			return
		}
	}
}
