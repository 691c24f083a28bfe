package gateway

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"go.uber.org/zap"
)

// OutcomePool shares the outcomes of requests with the other entries.
type OutcomePool interface {
	// ReportOutcomes must not block.
	ReportOutcomes(entry string, batches []serverhealth.Batch)
	// AcquireProbe reports whether this entry may send one request to a server that all
	// entries suspect or know to fail.
	AcquireProbe(ctx context.Context, service, server string) bool
}

const (
	// urgentReportDelay is the delay of a report with failures, in which further ones are
	// gathered, and routineReportDelay that of a report with successes only.
	urgentReportDelay  = 100 * time.Millisecond
	routineReportDelay = time.Second
	// lateFactor is the ratio to the mean time to the first byte of an answer from which
	// an answer is late, and minLateTime the least such time.
	lateFactor  = 4
	minLateTime = 300 * time.Millisecond
	// defaultLateTime applies to routes without answers and without an objective.
	defaultLateTime = 2 * time.Second
	// latencyWeight is the weight of the newest answer in the mean time to the first byte.
	latencyWeight = 0.1
	// maxTimerDelay is the delay of a timer above which the process was suspended.
	maxTimerDelay = 250 * time.Millisecond
	// maxProbeSize is the ratio to the mean size of requests up to which one may be a probe.
	maxProbeSize = 1.25
	// maxRouteLatencies bounds the routes whose mean times are kept.
	maxRouteLatencies = 1024
)

// outcomeBoard gathers the outcomes of requests for the other entries, and learns how long
// answers take.
type outcomeBoard struct {
	pool  OutcomePool
	entry string

	mu        sync.Mutex
	collector *serverhealth.Collector
	// timer is set while a report is scheduled, urgent if it is soon.
	timer  *time.Timer
	urgent bool
	// firstByte maps routes to the smoothed time to the first byte of an answer.
	firstByte map[string]time.Duration
	// probeSizes maps services to the smoothed size of requests, in blocks.
	probeSizes map[string]float64
}

func newOutcomeBoard(options *Options) *outcomeBoard {
	return &outcomeBoard{pool: options.Outcomes, entry: options.Name, collector: serverhealth.NewCollector(),
		firstByte: map[string]time.Duration{}, probeSizes: map[string]float64{}}
}

// add gathers an outcome and schedules its report.
func (b *outcomeBoard) add(service string, sample serverhealth.Sample, sound bool) {
	if b.pool == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.collector.Add(service, sample, sound)
	urgent := b.collector.Urgent()
	if b.timer != nil && (b.urgent || !urgent) {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	delay := routineReportDelay
	if urgent {
		delay = urgentReportDelay
	}
	b.timer, b.urgent = time.AfterFunc(delay, b.report), urgent
}

// report sends what was gathered.
func (b *outcomeBoard) report() {
	b.mu.Lock()
	batches := b.collector.Take()
	b.timer, b.urgent = nil, false
	b.mu.Unlock()
	if len(batches) > 0 {
		b.pool.ReportOutcomes(b.entry, batches)
	}
}

// observeFirstByte learns how long answers of a route take.
func (b *outcomeBoard) observeFirstByte(route string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean, known := b.firstByte[route]
	if !known {
		if len(b.firstByte) >= maxRouteLatencies {
			clear(b.firstByte)
		}
		mean = d
	}
	b.firstByte[route] = mean + time.Duration(latencyWeight*float64(d-mean))
}

// lateTime returns the time to the first byte from which an answer is late. It is shorter
// than the route's timeout, at which the request ends.
func (b *outcomeBoard) lateTime(route *desired.Route) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := defaultLateTime
	if route.Objective > 0 {
		late = 2 * route.Objective
	}
	if mean, known := b.firstByte[route.Name]; known {
		late = min(late, lateFactor*mean)
	}
	late = max(late, minLateTime)
	if route.Timeout > 0 {
		late = min(late, route.Timeout*3/4)
	}
	return late
}

// mayProbe reports whether a request is one that loses little if a probe fails: one that
// may be repeated, or one that is not larger than most requests to the service.
func (b *outcomeBoard) mayProbe(service string, kind desired.RouteKind, blocks int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean, known := b.probeSizes[service]
	if !known {
		mean = float64(blocks)
	}
	b.probeSizes[service] = mean + latencyWeight*(float64(blocks)-mean)
	return kind == desired.Repeatable || float64(blocks) <= maxProbeSize*mean
}

// requestHash returns a hash of what identifies the request, whoever repeats it.
func (x *exchange) requestHash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(x.digest()))
	return h.Sum64()
}

// observe records evidence of whether a server fails, for the other entries.
func (x *exchange) observe(server backend.Server, failed bool) {
	x.newEvidence(server).report(failed)
}

// evidence is an outcome of one attempt, as far as it tells whether its server fails. It
// holds copies of what later attempts of the request change.
type evidence struct {
	x       *exchange
	server  backend.Server
	outcome placement.Outcome
	probe   bool
}

func (x *exchange) newEvidence(server backend.Server) evidence {
	return evidence{x, server, x.outcome(server.ID, placement.Failed), x.probe == server.ID}
}

// report reports the evidence to the other entries.
func (e evidence) report(failed bool) {
	g := e.x.g
	if e.server.ID == "" || failed && g.services.isLeaving(e.server.ID) {
		return
	}
	sample := serverhealth.Sample{Server: e.server.ID, Route: e.x.route.Name, Failed: failed, Probe: e.probe}
	state := g.services.state(g.elapsed(), e.x.service, e.server.ID)
	if failed {
		sample.Request = e.outcome.Request
		e.x.logger.Info("evidence against a backend server", zap.String("backend_server", e.server.ID),
			zap.Stringer("state", state), zap.Bool("probe", e.probe))
	}
	g.outcomes.add(e.x.service, sample, state == serverhealth.Sound)
}

// lateWatch records evidence against a server whose answer is late, without ending the
// request.
type lateWatch struct {
	x     *exchange
	start time.Time
	timer *time.Timer
}

// watchLate starts to wait for the first byte of an answer.
func (x *exchange) watchLate(server backend.Server) *lateWatch {
	e, start, late := x.newEvidence(server), time.Now(), x.g.outcomes.lateTime(x.route)
	return &lateWatch{x, start, time.AfterFunc(late, func() {
		if time.Since(start) > late+maxTimerDelay {
			// This process was suspended, so the answer may have arrived in time.
			return
		}
		x.g.services.observe(x.g.elapsed(), x.service, e.outcome)
		e.report(true)
	})}
}

// arrived ends the wait and learns from it.
func (w *lateWatch) arrived() {
	if w.timer.Stop() {
		w.x.g.outcomes.observeFirstByte(w.x.route.Name, time.Since(w.start))
	}
}

// stop ends the wait without an answer.
func (w *lateWatch) stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// outcome returns an outcome of the request's last attempt for placement.
func (x *exchange) outcome(server string, result placement.Result) placement.Outcome {
	o := placement.Outcome{Server: server, Result: result, Blocks: x.blocks, Priority: x.priority, Route: x.route.Name}
	if !x.sentAt.IsZero() {
		o.SentAt = x.sentAt.Sub(x.g.started)
	}
	if result == placement.Failed {
		o.Request = x.requestHash()
	}
	return o
}

// probeTarget returns a failing or suspected server that this request may probe, "" if there is none.
func (x *exchange) probeTarget(ctx context.Context) string {
	if x.g.outcomes.pool == nil || !x.g.outcomes.mayProbe(x.service, x.route.Kind, x.blocks) {
		return ""
	}
	server := x.g.services.probeDue(x.service, x.tried)
	if server == "" || !x.g.outcomes.pool.AcquireProbe(ctx, x.service, server) {
		return ""
	}
	return server
}

// refusedReserved reports whether a server refused a request for which it had reserved
// memory, without a reason that it named. A server with room does not do that.
func (x *exchange) refusedReserved(u *upstream, result dispatch.Result) bool {
	return result == dispatch.Refused && x.reservation != "" && u != nil && u.metadata.Notice.Rest == 0 &&
		!u.metadata.Limit.Limited && u.response.StatusCode != http.StatusMisdirectedRequest
}
