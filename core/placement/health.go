package placement

import (
	"slices"
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/serverhealth"
)

// health is the state of one server as derived from the outcomes of requests, besides
// whether it fails, which Balancer.outcomes tells.
type health struct {
	// backoffUntil is the time until which requests with a priority of at most
	// backoffPriority avoid a server that refused.
	backoffUntil    time.Duration
	backoffPriority int
	// setbacks is the number of successive refusals and failures, the last one at setBackAt,
	// of requests with a priority of at most setBackPriority.
	setbacks        int
	setBackAt       time.Duration
	setBackPriority int
	// latency is the smoothed time to first token. slowness is its ratio to the
	// median of the subset if the server counts as slow, otherwise 1.
	latency  float64
	samples  int
	slowness float64
}

func (h *health) usable(now time.Duration, priority int) bool {
	return now >= h.backoffUntil || priority > h.backoffPriority
}

// State returns the worse of what this entry and all entries together know of a server.
func (b *Balancer) State(now time.Duration, name string) serverhealth.State {
	return max(b.outcomes.State(now, name), b.standings[name].State)
}

// maySend reports whether a server may get a request as far as it is known to fail. A
// server that all entries know to fail gets only the probe that was granted to this one.
func (b *Balancer) maySend(now time.Duration, name string, q Query) bool {
	if b.standings[name].State == serverhealth.Failing {
		return q.Probe == name
	}
	return b.outcomes.State(now, name) != serverhealth.Failing || b.outcomes.ProbeDue(now, name)
}

// SetStandings replaces what all entries together know of the servers that are not sound.
// What this entry saw itself of a server that became sound is forgotten, and it returns
// through slow start.
func (b *Balancer) SetStandings(now time.Duration, standings map[string]serverhealth.Status) {
	for name, old := range b.standings {
		if old.State == serverhealth.Failing && standings[name].State != serverhealth.Failing {
			b.outcomes.Forget(name)
			if s := b.servers[name]; s != nil {
				s.joinedAt = now
			}
		}
	}
	b.standings = standings
}

// ProbeDue returns a server of the subset that all entries suspect or know to fail and that may
// get a probe now, or "" if there is none.
func (b *Balancer) ProbeDue(exclude []string) string {
	for _, s := range b.subset {
		if b.standings[s.Name].ProbeDue && !s.Leaving && !slices.Contains(exclude, s.Name) {
			return s.Name
		}
	}
	return ""
}

// Weights and bounds of the health state.
const (
	latencySmoothing = 0.1
	// minLatencySamples is the number of first-token times needed before a server
	// can count as slow.
	minLatencySamples = 8
	// maxSlowness bounds the penalty, so that a slow server still gets an
	// occasional request that can show its recovery.
	maxSlowness = 10
	// suspicionScore is what a suspected server adds to its score. It equals completely
	// used memory.
	suspicionScore = 1.0
	// setbackScore is what a refusal or failure adds to the score of a server for a time that
	// starts with setbackMemory and doubles with each successive one up to maxSetbackMemory.
	// It outweighs full memory, so that the server is used only if all others are set back too.
	setbackScore     = 2.0
	setbackMemory    = 250 * time.Millisecond
	maxSetbackMemory = 2 * time.Second
	// maxBackoff bounds the time for which one refusal keeps requests away from a
	// server.
	maxBackoff = time.Second
)

// Report applies the outcome of a request that Choose placed.
func (b *Balancer) Report(now time.Duration, o Outcome) {
	s := b.servers[o.Server]
	if s == nil {
		return
	}
	h := &s.health
	switch o.Result {
	case Accepted:
		h.setbacks = 0
		// A reply of any kind shows that the server is reachable, but only a
		// completed request shows that it works.
	case Refused:
		s.pending.remove(max(1, o.Blocks))
		b.outcomes.CancelProbe(s.Name)
		if now >= h.backoffUntil || o.Priority > h.backoffPriority {
			h.backoffPriority = o.Priority
		}
		h.backoffUntil = now + min(o.RetryAfter/2, maxBackoff)
		h.setBack(now, o.Priority)
	case Failed:
		s.pending.remove(max(1, o.Blocks))
		h.setBack(now, o.Priority)
		b.observe(now, s, o, true)
	case Completed:
		h.setbacks = 0
		b.observe(now, s, o, false)
		b.recordLatency(s, o.FirstToken)
	case NotSent:
		s.pending.remove(max(1, o.Blocks))
		b.outcomes.CancelProbe(s.Name)
	case Canceled:
		b.outcomes.CancelProbe(s.Name)
	}
}

// Observe records evidence about a server without ending the request, such as an answer
// that is late.
func (b *Balancer) Observe(now time.Duration, o Outcome, failed bool) {
	if s := b.servers[o.Server]; s != nil {
		b.observe(now, s, o, failed)
	}
}

// observe records an outcome as evidence of whether the server fails. A server that is
// found to be sound again returns through slow start.
func (b *Balancer) observe(now time.Duration, s *server, o Outcome, failed bool) {
	wasFailing := b.outcomes.State(now, s.Name) == serverhealth.Failing
	b.outcomes.Observe(now, serverhealth.Sample{Server: s.Name, Route: o.Route, Failed: failed, Request: o.Request,
		Probe: o.SentAt == 0 || b.outcomes.IsProbe(s.Name, o.SentAt)})
	if wasFailing && b.outcomes.State(now, s.Name) != serverhealth.Failing {
		s.joinedAt = now
	}
}

// setBack records a refusal or a failure.
func (h *health) setBack(now time.Duration, priority int) {
	if h.setbacks == 0 || priority > h.setBackPriority {
		h.setBackPriority = priority
	}
	h.setbacks, h.setBackAt = h.setbacks+1, now
}

// setbackPenalty returns what the last refusals and failures add to the score. A server that
// refuses or fails requests at once reports the load of an idle one.
func (h *health) setbackPenalty(now time.Duration, priority int) float64 {
	if h.setbacks == 0 || priority > h.setBackPriority ||
		now-h.setBackAt >= min(setbackMemory<<min(h.setbacks-1, 10), maxSetbackMemory) {
		return 0
	}
	return setbackScore
}

// recordLatency updates the time to first token of a server and compares it with
// the median of the subset.
func (b *Balancer) recordLatency(s *server, firstToken time.Duration) {
	if firstToken <= 0 {
		return
	}
	h := &s.health
	h.samples++
	weight := max(latencySmoothing, 1/float64(h.samples))
	h.latency += weight * (firstToken.Seconds() - h.latency)
	median := b.median.get(b.subset)
	h.slowness = 1
	if h.samples >= minLatencySamples && median > 0 && h.latency > b.cfg.SlowFactor*median {
		h.slowness = min(maxSlowness, h.latency/median)
	}
}

// medianCache caches the median latency of the subset for as many calls as the
// subset has servers.
type medianCache struct {
	value     float64
	usesLeft  int
	latencies []float64
}

func (c *medianCache) get(subset []*server) float64 {
	if c.usesLeft > 0 {
		c.usesLeft--
		return c.value
	}
	c.latencies = c.latencies[:0]
	for _, s := range subset {
		if s.health.samples > 0 {
			c.latencies = append(c.latencies, s.health.latency)
		}
	}
	sort.Float64s(c.latencies)
	c.value = 0
	if len(c.latencies) > 0 {
		c.value = c.latencies[len(c.latencies)/2]
	}
	c.usesLeft = len(subset)
	return c.value
}
