package policy

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Parameters of the faults. faultStart and faultEnd are fractions of the horizon.
const (
	faultStart = 0.4
	faultEnd   = 0.7
	// membershipLag is the delay until the platform's server list no longer contains
	// a lost host. It is also the warm-up time of a server after a cold start.
	membershipLag = 5 * time.Second
	// reclaimNotice is the time between the notice of a reclaim and the end of the
	// engine.
	reclaimNotice  = 10 * time.Second
	slowFactor     = 3
	staleReportLag = 5 * time.Second
)

// faults lists the faults that Options.Faults may name. A fault's name is the shape
// of its rows.
var faults = []struct {
	name  string
	apply func(r *run, start, end time.Duration)
}{
	{"old-reports", func(r *run, _, _ time.Duration) { r.reportLag = staleReportLag }},
	{"false-reports", func(r *run, _, _ time.Duration) {
		// Two servers always report that they are idle.
		for _, b := range r.generationBackends[:2] {
			b.falsify = func(h *message.LoadHint) {
				h.Running, h.Waiting, h.QueueDelay, h.FreeBlocks = 0, 0, 0, h.TotalBlocks
			}
		}
	}},
	{"slow-server", func(r *run, start, end time.Duration) {
		r.schedule(start, func(r *run) { r.generationBackends[0].engine.slowdown = slowFactor })
		r.schedule(end, func(r *run) { r.generationBackends[0].engine.slowdown = 1 })
	}},
	{"fails-fast", func(r *run, start, end time.Duration) {
		r.schedule(start, func(r *run) { r.generationBackends[0].failing = true })
		r.schedule(end, func(r *run) { r.generationBackends[0].failing = false })
	}},
	{"cold-start", func(r *run, start, _ time.Duration) {
		// Three servers join late and are slow until they are warm.
		for _, b := range r.generationBackends[:3] {
			b.present, b.listed = false, false
		}
		r.updateMembership()
		r.schedule(start, func(r *run) {
			for _, b := range r.generationBackends[:3] {
				b.present, b.listed, b.engine.slowdown = true, true, slowFactor
			}
			r.updateMembership()
		})
		r.schedule(start+membershipLag, func(r *run) {
			for _, b := range r.generationBackends[:3] {
				b.engine.slowdown = 1
			}
		})
	}},
	{"reclaimed", func(r *run, start, _ time.Duration) {
		r.schedule(start, func(r *run) {
			r.generationBackends[0].leaving = true
			r.updateMembership()
		})
		r.schedule(start+reclaimNotice, func(r *run) { r.crash(r.generationBackends[:1]) })
	}},
	{"domain-lost", func(r *run, start, end time.Duration) {
		var lost []*backend
		for _, b := range r.backends {
			if b.domain == 0 {
				lost = append(lost, b)
			}
		}
		r.schedule(start, func(r *run) { r.crash(lost) })
		r.schedule(start+membershipLag, func(r *run) {
			for _, b := range lost {
				b.listed = false
			}
			r.updateMembership()
		})
		r.schedule(end, func(r *run) {
			for _, b := range lost {
				b.present, b.listed = true, true
			}
			r.updateMembership()
		})
	}},
	// The traffic doubles, see siteSpec.rateFactor.
	{"load-doubles", func(*run, time.Duration, time.Duration) {}},
}

func (r *run) schedule(at time.Duration, action func(*run)) {
	r.events.push(event{at: at, kind: eventFault, apply: action})
}

// updateMembership rebuilds the lists of listed backend servers and notifies the
// policy.
func (r *run) updateMembership() {
	r.listedGeneration, r.listedPlain = nil, nil
	for _, b := range r.backends {
		switch {
		case !b.listed || b.leaving:
		case b.plain:
			r.listedPlain = append(r.listedPlain, b)
		default:
			r.listedGeneration = append(r.listedGeneration, b)
		}
	}
	if r.policy != nil {
		r.policy.membershipChanged(r.now)
	}
}

// crash terminates the engines of list and fails all unfinished requests that were
// delivered to them.
func (r *run) crash(list []*backend) {
	for _, b := range list {
		b.present = false
		b.epoch++
		b.busy = false
		cfg, onPreempt := b.engine.cfg, b.engine.onPreempt
		b.engine = newEngine(cfg)
		b.engine.onPreempt = onPreempt
	}
	for _, b := range list {
		var lost []*request
		for _, q := range r.requests {
			if q.server == b && !q.done && !q.refused && !q.interrupted {
				lost = append(lost, q)
				q.server = nil
				if q.firstTokenAt == 0 {
					q.seq = nil
				}
			}
		}
		r.policy.requestsLost(r.now, b, lost)
	}
}
