package policy

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// baseline is the common part of the baselines. Each request is sent to an engine
// immediately, and the engine queues and preempts. A request that fails before its
// first token is retried once. The baselines do not refuse requests.
type baseline struct {
	run    *run
	choose func(r *request) *backend
	// reportedRequests is the number of requests of each server in its last report,
	// sentSinceReport the number that each entry has sent since.
	reportedRequests map[*backend]int
	sentSinceReport  []map[*backend]int
	rotation         []int
}

func newBaseline(r *run) *baseline {
	p := &baseline{run: r, reportedRequests: map[*backend]int{}, rotation: make([]int, 2*r.site.entries)}
	for i := 0; i < r.site.entries; i++ {
		p.sentSinceReport = append(p.sentSinceReport, map[*backend]int{})
	}
	return p
}

// newRoundRobin returns the baseline in which each entry cycles through the
// backend servers.
func newRoundRobin(r *run) scheduler {
	p := newBaseline(r)
	p.choose = func(q *request) *backend {
		list := r.listedBackends(q)
		i := 2 * q.entry
		if q.plain {
			i++
		}
		p.rotation[i]++
		return list[(p.rotation[i]+q.entry*len(list)/r.site.entries)%len(list)]
	}
	return p
}

// newLeastLoaded returns the baseline that chooses the backend server with the
// fewest requests: those of the last report plus those the entry has sent since.
func newLeastLoaded(r *run) scheduler {
	p := newBaseline(r)
	p.choose = func(q *request) *backend {
		list := r.listedBackends(q)
		var best *backend
		lowestLoad := 0
		offset := r.rng.Intn(len(list))
		for i := range list {
			b := list[(i+offset)%len(list)]
			load := p.reportedRequests[b] + p.sentSinceReport[q.entry][b]
			if best == nil || load < lowestLoad {
				best, lowestLoad = b, load
			}
		}
		p.sentSinceReport[q.entry][best]++
		return best
	}
	return p
}

func (p *baseline) arrive(_ time.Duration, q *request) { p.run.send(p.choose(q), q) }

func (p *baseline) deliver(now time.Duration, b *backend, q *request) {
	if !b.present || b.failing {
		p.requestsLost(now, b, []*request{q})
		return
	}
	p.run.submit(b, q, 0)
}

func (p *baseline) tokensDelivered(time.Duration, *backend, []*sequence) {}

func (p *baseline) finished(time.Duration, *backend, *request) {}

func (p *baseline) loadReport(now time.Duration, b *backend) message.LoadHint {
	return message.LoadHint{
		Running: len(b.engine.running), Waiting: len(b.engine.waiting),
		FreeBlocks: b.engine.freeBlocks, TotalBlocks: b.engine.cfg.blocks,
	}
}

func (p *baseline) receiveReport(_ time.Duration, b *backend, h message.LoadHint) {
	p.reportedRequests[b] = h.Running + h.Waiting
	for _, sent := range p.sentSinceReport {
		sent[b] = 0
	}
}

func (p *baseline) tick(time.Duration) {}

func (p *baseline) requestsLost(_ time.Duration, _ *backend, lost []*request) {
	for _, q := range lost {
		if q.attempts > 0 || q.firstTokenAt > 0 {
			q.interrupted = true
			continue
		}
		q.attempts++
		if len(p.run.listedBackends(q)) == 0 {
			q.interrupted = true
			continue
		}
		p.run.send(p.choose(q), q)
	}
}

func (p *baseline) membershipChanged(time.Duration) {}
