package placement

import (
	"sort"
	"time"
)

// health is the state of one server as derived from the outcomes of requests.
type health struct {
	consecutiveFailures int
	ejections           int
	ejected             bool
	ejectedUntil        time.Duration
	// probing is set while a single request tests an ejected server.
	probing        bool
	probeStartedAt time.Duration
	// backoffUntil is the time until which requests with a priority of at most
	// backoffPriority avoid a server that refused.
	backoffUntil    time.Duration
	backoffPriority int
	// refusals is the number of successive refusals, the last one at refusedAt, of requests
	// with a priority of at most refusedPriority.
	refusals        int
	refusedAt       time.Duration
	refusedPriority int
	// latency is the smoothed time to first token. slowness is its ratio to the
	// median of the subset if the server counts as slow, otherwise 1.
	latency  float64
	samples  int
	slowness float64
}

// probeTimeout is the time after which another probe is allowed if the first one
// has no outcome.
const probeTimeout = 5 * time.Second

func (h *health) usable(now time.Duration, priority int) bool {
	if now < h.backoffUntil && priority <= h.backoffPriority {
		return false
	}
	if !h.ejected {
		return true
	}
	return now >= h.ejectedUntil && (!h.probing || now-h.probeStartedAt > probeTimeout)
}

func (h *health) startProbe(now time.Duration) {
	if h.ejected {
		h.probing, h.probeStartedAt = true, now
	}
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
	// refusalScore is what a refusal adds to the score of a server for a time that starts
	// with refusalMemory and doubles with each successive refusal up to maxRefusalMemory. It
	// outweighs full memory, so that the server is used only if all others refuse too.
	refusalScore     = 2.0
	refusalMemory    = 250 * time.Millisecond
	maxRefusalMemory = 2 * time.Second
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
		h.refusals = 0
		// A reply of any kind shows that the server is reachable, but only a
		// completed request shows that it works.
	case Refused:
		s.pending.remove(max(1, o.Blocks))
		h.probing = false
		if now >= h.backoffUntil || o.Priority > h.backoffPriority {
			h.backoffPriority = o.Priority
		}
		h.backoffUntil = now + min(o.RetryAfter/2, maxBackoff)
		if h.refusals == 0 || o.Priority > h.refusedPriority {
			h.refusedPriority = o.Priority
		}
		h.refusals, h.refusedAt = h.refusals+1, now
	case Failed:
		s.pending.remove(max(1, o.Blocks))
		h.consecutiveFailures++
		if h.consecutiveFailures >= b.cfg.EjectAfter || h.ejected {
			b.eject(now, h)
		}
	case Completed:
		h.consecutiveFailures, h.refusals = 0, 0
		if h.ejected {
			h.ejected, h.probing, h.ejections = false, false, 0
			b.ejectedCount--
			s.joinedAt = now
		}
		b.recordLatency(s, o.FirstToken)
	case NotSent:
		s.pending.remove(max(1, o.Blocks))
		h.probing = false
	case Canceled:
		h.probing = false
	}
}

// refusalPenalty returns what the last refusals add to the score. A server that refuses has
// no room, though it reports the load of an idle one if it refuses all requests.
func (h *health) refusalPenalty(now time.Duration, priority int) float64 {
	if h.refusals == 0 || priority > h.refusedPriority || now-h.refusedAt >= min(refusalMemory<<min(h.refusals-1, 10), maxRefusalMemory) {
		return 0
	}
	return refusalScore
}

// eject takes a server out of use for a time that doubles with each ejection. It
// does nothing if too many servers are ejected already, because the fault is then
// likely elsewhere.
func (b *Balancer) eject(now time.Duration, h *health) {
	if !h.ejected {
		if float64(b.ejectedCount+1) > b.cfg.MaxEjected*float64(len(b.subset)) {
			return
		}
		h.ejected = true
		b.ejectedCount++
	}
	h.probing = false
	h.ejectedUntil = now + min(b.cfg.EjectTime<<min(h.ejections, 10), b.cfg.MaxEjectTime)
	h.ejections++
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
