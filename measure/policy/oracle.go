package policy

import (
	"math/rand"
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// oracle is the upper bound with which the other policies are compared. It has one
// global queue without lag, knows all lengths exactly, and starts a request only
// where the memory of all sequences fits until they end. It serves urgent requests
// first, then by deadline, and refuses a request as soon as it can no longer end in
// time.
type oracle struct {
	run   *run
	queue []*request
	// active lists the running sequences of each backend server.
	active [][]*sequence
}

func newOracle(r *run) scheduler {
	return &oracle{run: r, active: make([][]*sequence, len(r.backends))}
}

// requestBefore tells whether a precedes b in the oracle's queue.
func requestBefore(a, b *request) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.latestStart() < b.latestStart()
}

// latestStart returns the latest time to start the request so that it ends by its
// deadline, given the typical time between tokens of a full engine.
func (q *request) latestStart() time.Duration {
	const typicalTokenTime = 40 * time.Millisecond
	return q.deadline() - time.Duration(q.outputTokens)*typicalTokenTime - time.Second
}

func (p *oracle) arrive(now time.Duration, q *request) {
	i := sort.Search(len(p.queue), func(i int) bool { return requestBefore(q, p.queue[i]) })
	p.queue = append(p.queue, nil)
	copy(p.queue[i+1:], p.queue[i:])
	p.queue[i] = q
	p.dispatch(now)
}

// dispatch starts the queued requests that fit. Each engine computes at most one
// new prompt at a time.
func (p *oracle) dispatch(now time.Duration) {
	remaining := p.queue[:0]
	unplaced := [2]int{}
	for _, q := range p.queue {
		if now > q.latestStart() {
			p.run.refuse(q)
			continue
		}
		kind := 0
		if q.plain {
			kind = 1
		}
		// After two requests that do not fit, the rest of the service's queue waits.
		if unplaced[kind] < 2 {
			if b := p.findBackend(q); b != nil {
				p.start(b, q)
				continue
			}
			unplaced[kind]++
		}
		remaining = append(remaining, q)
	}
	p.queue = remaining
}

// findBackend returns the backend server on which q fits with the lowest peak of
// memory, or nil if there is none.
func (p *oracle) findBackend(q *request) *backend {
	var best *backend
	lowestPeak := 0
	for _, b := range p.run.listedBackends(q) {
		if !b.present || b.failing || p.prefilling(b) || len(p.active[b.index]) >= b.engine.cfg.maxBatch {
			continue
		}
		peak := peakBlocks(b.engine, p.active[b.index], q)
		if peak <= b.engine.cfg.blocks-b.engine.cfg.blocks/50 && (best == nil || peak < lowestPeak) {
			best, lowestPeak = b, peak
		}
	}
	return best
}

func (p *oracle) prefilling(b *backend) bool {
	for _, s := range p.active[b.index] {
		if s.generated == 0 && !s.request.plain {
			return true
		}
	}
	return false
}

// remainingTokens returns the number of tokens that s has yet to generate.
func (s *sequence) remainingTokens() int { return s.request.outputTokens - s.generated }

// start starts q on b. The active list is sorted by decreasing number of remaining
// tokens. The numbers decrease at the same rate, so the order remains valid.
func (p *oracle) start(b *backend, q *request) {
	q.seq = &sequence{request: q}
	list := p.active[b.index]
	i := sort.Search(len(list), func(i int) bool { return list[i].remainingTokens() < q.outputTokens })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = q.seq
	p.active[b.index] = list
	p.run.submit(b, q, q.priority)
}

// peakBlocks returns the maximum number of blocks the engine will use if q starts
// now and nothing else does. Memory grows until a sequence ends, so each end is a
// possible peak. At that time the sequences before it in the list, which have more
// tokens left, still run.
func peakBlocks(e *engine, active []*sequence, q *request) int {
	peak, contextTokens, n := 0, 0, 0
	add := func(left, context int) {
		n++
		contextTokens += context + e.cfg.blockTokens
		peak = max(peak, contextTokens+n*left)
	}
	added := false
	for _, s := range active {
		if !added && s.remainingTokens() < q.outputTokens {
			added = true
			add(q.outputTokens, q.promptTokens)
		}
		add(s.remainingTokens(), s.context())
	}
	if !added {
		add(q.outputTokens, q.promptTokens)
	}
	return peak / e.cfg.blockTokens
}

func (p *oracle) deliver(time.Duration, *backend, *request) {}

func (p *oracle) tokensDelivered(now time.Duration, _ *backend, emitted []*sequence) {
	for _, s := range emitted {
		if s.generated == 1 {
			p.dispatch(now)
			return
		}
	}
}

func (p *oracle) finished(now time.Duration, b *backend, q *request) {
	list := p.active[b.index]
	for i, s := range list {
		if s == q.seq {
			p.active[b.index] = append(list[:i], list[i+1:]...)
			break
		}
	}
	p.dispatch(now)
}

func (p *oracle) loadReport(time.Duration, *backend) message.LoadHint {
	return message.LoadHint{}
}

func (p *oracle) receiveReport(time.Duration, *backend, message.LoadHint) {}

func (p *oracle) tick(now time.Duration) { p.dispatch(now) }

func (p *oracle) requestsLost(now time.Duration, b *backend, lost []*request) {
	p.active[b.index] = nil
	for _, q := range lost {
		if q.firstTokenAt > 0 {
			q.interrupted = true
			continue
		}
		p.arrive(now, q)
	}
}

func (p *oracle) membershipChanged(time.Duration) {}

// Parameters of the measurement of capacity, on one replica with an endless
// backlog.
const (
	capacitySeed    = 7
	capacityHorizon = 1800 * time.Second
	capacityBacklog = 24
	// maxPlainLoad limits the load of the plain service to keep it stable, because
	// this load is not part of the comparison.
	maxPlainLoad = 0.4
)

// measureCapacity returns the requests per second that the site's generation
// replicas complete if all lengths are known, memory is never overcommitted and the
// backlog is endless.
func measureCapacity(site *siteSpec) float64 {
	singleReplica := *site
	singleReplica.replicas, singleReplica.plainReplicas, singleReplica.domains = 1, 0, 1
	r := newRun(&singleReplica, nil, capacitySeed, capacityHorizon)
	r.policy = &backlogScheduler{oracle: oracle{run: r, active: make([][]*sequence, 1)}}
	r.policy.tick(0)
	r.execute()
	return float64(r.policy.(*backlogScheduler).completed) / capacityHorizon.Seconds() * float64(site.replicas)
}

// backlogScheduler feeds one replica from an endless queue, first come, first
// served.
type backlogScheduler struct {
	oracle
	completed int
}

func (p *backlogScheduler) tick(time.Duration) {
	for {
		for len(p.queue) < capacityBacklog {
			p.queue = append(p.queue, p.run.site.sampleRequest(p.run.rng))
		}
		b := p.findBackend(p.queue[0])
		if b == nil {
			return
		}
		q := p.queue[0]
		p.queue = p.queue[1:]
		p.start(b, q)
	}
}

func (p *backlogScheduler) tokensDelivered(now time.Duration, _ *backend, emitted []*sequence) {
	for _, s := range emitted {
		if s.generated == 1 {
			p.tick(now)
			return
		}
	}
}

func (p *backlogScheduler) finished(now time.Duration, _ *backend, q *request) {
	p.completed++
	for i, s := range p.active[0] {
		if s == q.seq {
			p.active[0] = append(p.active[0][:i], p.active[0][i+1:]...)
			break
		}
	}
	p.tick(now)
}

// plainCapacity returns the calls per second that the site's plain replicas
// complete.
func plainCapacity(site *siteSpec) float64 {
	rng := rand.New(rand.NewSource(capacitySeed))
	sum := 0
	const samples = 10000
	for i := 0; i < samples; i++ {
		sum += site.plainLength.sample(rng)
	}
	perCall := float64(sum) / samples * plainEngine.base.Seconds()
	return float64(site.plainReplicas*plainEngine.maxBatch) / perCall
}
