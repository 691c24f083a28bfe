package policy

import (
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Delays and intervals of the simulated network and of the load reports.
const (
	// networkDelay is the one-way delay from an entry to an agent.
	networkDelay = time.Millisecond
	// reportInterval is the period of the load reports, reportLag the time from
	// sending one until the entries receive it. Both determine how old the load
	// is that an entry knows.
	reportInterval = 500 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
)

// eventKind is the type of an event.
type eventKind uint8

const (
	eventDeliver eventKind = iota
	eventStepEnd
	eventReportSent
	eventReportReceived
	eventTick
	eventFault
)

// event is one scheduled event. Events at the same time run in the order in
// which they were added.
type event struct {
	at      time.Duration
	order   uint64
	kind    eventKind
	backend *backend
	request *request
	report  message.LoadHint
	epoch   int
	apply   func(*run)
}

// eventQueue is a priority queue of events, a binary heap ordered by time.
type eventQueue struct {
	heap  []event
	order uint64
}

func (eq *eventQueue) less(i, j int) bool {
	a, b := &eq.heap[i], &eq.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (eq *eventQueue) push(e event) {
	eq.order++
	e.order = eq.order
	eq.heap = append(eq.heap, e)
	for i := len(eq.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !eq.less(i, parent) {
			return
		}
		eq.heap[i], eq.heap[parent] = eq.heap[parent], eq.heap[i]
		i = parent
	}
}

func (eq *eventQueue) pop() event {
	top := eq.heap[0]
	last := len(eq.heap) - 1
	eq.heap[0] = eq.heap[last]
	eq.heap[last] = event{}
	eq.heap = eq.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && eq.less(child+1, child) {
			child++
		}
		if !eq.less(child, i) {
			return top
		}
		eq.heap[i], eq.heap[child] = eq.heap[child], eq.heap[i]
		i = child
	}
}

// backend is a simulated backend server: an engine and the server's state.
type backend struct {
	index  int
	name   string
	domain int
	plain  bool
	engine *engine
	busy   bool
	// epoch is incremented when the engine crashes, which invalidates the pending
	// end of a step.
	epoch int
	// present is false while the backend server does not exist. A failing server
	// rejects each request immediately, a leaving one is about to be reclaimed.
	present, failing, leaving bool
	// listed tells whether the platform's server list, which lags behind,
	// contains the server.
	listed bool
	// falsify alters the load reports of a server that sends wrong reports.
	falsify func(*message.LoadHint)
}

// scheduler is a scheduling policy. Its methods handle the events of a run.
type scheduler interface {
	// arrive handles a request that has reached its entry.
	arrive(now time.Duration, r *request)
	// deliver handles a request that has reached b.
	deliver(now time.Duration, b *backend, r *request)
	// tokensDelivered handles the end of a step in which each of the emitted
	// sequences of b generated one token.
	tokensDelivered(now time.Duration, b *backend, emitted []*sequence)
	finished(now time.Duration, b *backend, r *request)
	// loadReport returns the load report that b sends. receiveReport handles the
	// report at the entries.
	loadReport(now time.Duration, b *backend) message.LoadHint
	receiveReport(now time.Duration, b *backend, h message.LoadHint)
	tick(now time.Duration)
	// requestsLost handles requests that failed because b rejected them or
	// crashed.
	requestsLost(now time.Duration, b *backend, lost []*request)
	// membershipChanged handles a change of the platform's server list.
	membershipChanged(now time.Duration)
}

// run is one simulation of one policy.
type run struct {
	now      time.Duration
	events   eventQueue
	backends []*backend
	// generationBackends and plainBackends are the backend servers of the two
	// services. listedGeneration and listedPlain are those of them that the
	// platform lists and that are not leaving.
	generationBackends, plainBackends []*backend
	listedGeneration, listedPlain     []*backend
	reportLag                         time.Duration
	requests                          []*request
	policy                            scheduler
	rng                               *rand.Rand
	site                              *siteSpec
	collector                         *collector
	cutoff                            time.Duration
}

func newRun(site *siteSpec, requests []*request, seed int64, cutoff time.Duration) *run {
	r := &run{
		site: site, requests: requests, cutoff: cutoff, reportLag: reportLag,
		rng: rand.New(rand.NewSource(seed)), collector: newCollector(),
	}
	for i := 0; i < site.replicas+site.plainReplicas; i++ {
		b := &backend{index: i, domain: i % site.domains, present: true, listed: true}
		if i < site.replicas {
			b.engine = newEngine(generationEngine)
			r.generationBackends = append(r.generationBackends, b)
		} else {
			b.engine, b.plain = newEngine(plainEngine), true
			r.plainBackends = append(r.plainBackends, b)
		}
		b.name = backendName(i)
		b.engine.onPreempt = func(s *sequence) { s.request.preemptions++ }
		r.backends = append(r.backends, b)
	}
	r.updateMembership()
	return r
}

func backendName(i int) string { return "backend-" + string(rune('a'+i/10)) + string(rune('0'+i%10)) }

// listedBackends returns the listed backend servers of the service that serves q.
func (r *run) listedBackends(q *request) []*backend {
	if q.plain {
		return r.listedPlain
	}
	return r.listedGeneration
}

// execute processes the arrivals and events until the cutoff.
func (r *run) execute() {
	for i, b := range r.backends {
		firstReport := reportInterval * time.Duration(i) / time.Duration(len(r.backends))
		r.events.push(event{at: firstReport, kind: eventReportSent, backend: b})
	}
	r.events.push(event{at: tickInterval, kind: eventTick})
	// Arrivals are already sorted, so they bypass the heap.
	arrivals := r.requests
	for {
		if len(arrivals) > 0 && arrivals[0].arrival <= r.events.heap[0].at {
			q := arrivals[0]
			arrivals = arrivals[1:]
			r.now = q.arrival
			r.policy.arrive(r.now, q)
			continue
		}
		// Each tick schedules the next one, so the heap is never empty.
		e := r.events.pop()
		if e.at > r.cutoff {
			break
		}
		r.now = e.at
		r.handle(e)
	}
	r.now = r.cutoff
}

func (r *run) handle(e event) {
	switch e.kind {
	case eventDeliver:
		if e.backend.present && !e.backend.failing {
			e.request.server = e.backend
		}
		r.policy.deliver(r.now, e.backend, e.request)
	case eventStepEnd:
		if e.epoch == e.backend.epoch {
			r.finishStep(e.backend)
		}
	case eventReportSent:
		h := r.policy.loadReport(r.now, e.backend)
		if e.backend.falsify != nil {
			e.backend.falsify(&h)
		}
		if e.backend.present {
			r.events.push(event{at: r.now + r.reportLag, kind: eventReportReceived, backend: e.backend, report: h})
		}
		r.events.push(event{at: r.now + reportInterval, kind: eventReportSent, backend: e.backend})
	case eventReportReceived:
		r.policy.receiveReport(r.now, e.backend, e.report)
	case eventTick:
		r.policy.tick(r.now)
		r.events.push(event{at: r.now + tickInterval, kind: eventTick})
	case eventFault:
		e.apply(r)
	}
}

// send schedules the delivery of q to b after the network delay.
func (r *run) send(b *backend, q *request) {
	r.events.push(event{at: r.now + networkDelay, kind: eventDeliver, backend: b, request: q})
}

// submit queues q in the engine of b.
func (r *run) submit(b *backend, q *request, priority int) {
	if q.seq == nil {
		q.seq = &sequence{request: q}
	}
	q.server = b
	q.seq.priority = priority
	b.engine.submit(q.seq)
	r.startStep(b)
}

// startStep starts a step of b's engine unless one is in progress or there is no
// work.
func (r *run) startStep(b *backend) {
	if b.busy || b.engine.idle() {
		return
	}
	b.busy = true
	d := b.engine.step()
	r.events.push(event{at: r.now + d, kind: eventStepEnd, backend: b, epoch: b.epoch})
}

// finishStep delivers the tokens of a step, completes the requests that have all
// their tokens and starts the next step.
func (r *run) finishStep(b *backend) {
	b.busy = false
	emitted := b.engine.emitting
	for _, s := range emitted {
		s.generated++
		r.collector.recordToken(r.now, s)
	}
	r.collector.flush()
	r.policy.tokensDelivered(r.now, b, emitted)
	for _, s := range emitted {
		if s.generated >= s.request.outputTokens && !s.request.done {
			s.request.done = true
			b.engine.remove(s)
			r.collector.requestDone(r.now, s.request)
			r.policy.finished(r.now, b, s.request)
		}
	}
	r.startStep(b)
}

// refuse records that q is refused for good.
func (r *run) refuse(q *request) { q.refused = true }
