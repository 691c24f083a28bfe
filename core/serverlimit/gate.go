package serverlimit

import (
	"cmp"
	"time"
)

const (
	// UnreachablePause is how long an entry asks for no permits after the control
	// group did not answer.
	UnreachablePause = 300 * time.Millisecond
	// maxWant bounds the permits that an entry asks for at once.
	maxWant = 64
	// maxRetryAfter bounds the time after which refused callers return.
	maxRetryAfter = 10 * time.Second
)

// Decision tells whether an entry may send a request to a server.
type Decision uint8

// Decisions of a Gate.
const (
	// Wait means that the server can not get a request from this entry now.
	Wait Decision = iota
	// Ask means that the entry has to ask for a permit.
	Ask
	// Send means that the request may be sent.
	Send
)

// Gate holds the limits that one entry knows, and its permits. It is not safe for
// concurrent use.
type Gate struct {
	servers map[string]*gateServer
	// unreachableUntil is when the entry asks again after the control group did not
	// answer.
	unreachableUntil time.Duration
	// lastSlot is when the refused caller that returns last was told to return, by
	// service.
	lastSlot map[string]time.Duration
}

// gateServer is what an entry knows about one server that has or had a limit.
type gateServer struct {
	known Observation
	// permits are valid until permitsUntil.
	permits      int
	permitsUntil time.Duration
	// lifetime is that of the last permits.
	lifetime time.Duration
	// askAfter is when to ask again after a denial, slotAt when a refused caller may
	// expect a permit.
	askAfter, slotAt time.Duration
	askers           int
	// demand counts the requests since demandFrom, lastDemand those of the lifetime of
	// permits before.
	demandFrom         time.Duration
	demand, lastDemand int
}

// NewGate returns a Gate that knows no limits.
func NewGate() *Gate {
	return &Gate{servers: map[string]*gateServer{}, lastSlot: map[string]time.Duration{}}
}

// Known returns the newest observation of a server, and false if there is none.
func (g *Gate) Known(server string) (Observation, bool) {
	if s := g.servers[server]; s != nil {
		return s.known, true
	}
	return Observation{}, false
}

// Observe merges an observation of a server and reports whether the known limit
// changed.
func (g *Gate) Observe(server string, o Observation) bool {
	s := g.servers[server]
	if s == nil {
		if !o.Limited {
			return false
		}
		g.servers[server] = &gateServer{known: o, askers: 1, lifetime: PermitLifetime}
		return true
	}
	merged, changed := s.known.Merge(o)
	s.known = merged
	if changed {
		// Permits were granted at the previous rate.
		s.permits, s.askAfter = 0, 0
	}
	return changed
}

// Take decides about a request to a server and uses a permit if there is one. An urgent
// request, which continues a generation, does not wait for the entry's next turn.
func (g *Gate) Take(now time.Duration, server string, urgent bool) Decision {
	s := g.servers[server]
	if s == nil || !s.known.Limited {
		return Send
	}
	s.countDemand(now)
	if s.permits > 0 && now < s.permitsUntil {
		s.permits--
		return Send
	}
	if now < s.askAfter && !urgent || now < g.unreachableUntil {
		return Wait
	}
	return Ask
}

func (s *gateServer) countDemand(now time.Duration) {
	if passed := now - s.demandFrom; passed >= s.lifetime {
		s.lastDemand = s.demand
		if passed >= 2*s.lifetime {
			s.lastDemand = 0
		}
		s.demand, s.demandFrom = 0, now
	}
	s.demand++
}

// Request returns the request for permits for a server. With urgent, it is for one
// request that continues a generation.
func (g *Gate) Request(now time.Duration, server string, urgent bool) Request {
	r := Request{Server: server, Want: 1, Urgent: urgent}
	if s := g.servers[server]; s != nil {
		known := s.known.Age(now)
		r.Known = &known
		if !urgent {
			r.Want = min(max(s.demand, s.lastDemand, 1), maxWant)
		}
	}
	return r
}

// Replied applies the reply to a request for permits that was made at askedAt. It
// reports whether the request that needed one may be sent. What the reply knows about
// the limit is observed before.
func (g *Gate) Replied(askedAt, now time.Duration, server string, r Reply) bool {
	s := g.servers[server]
	if s == nil || r.Known != nil && !r.Known.Limited {
		return true
	}
	s.askers, s.lifetime = max(1, r.Askers), cmp.Or(r.Lifetime, s.lifetime)
	if r.Permits > 0 && now < askedAt+s.lifetime {
		until := askedAt + s.lifetime
		if r.Lifetime > 0 && s.permits > 0 && now < s.permitsUntil {
			// Another request of this entry got permits meanwhile.
			r.Permits, until = r.Permits+s.permits, min(until, s.permitsUntil)
		}
		s.permits, s.permitsUntil, s.askAfter = r.Permits-1, until, 0
		return true
	}
	s.askAfter, s.slotAt = now+r.RetryIn, now+r.SlotIn
	return false
}

// PermitUntil returns when the permits of a server end that Take and Replied use, 0 if it
// needs none.
func (g *Gate) PermitUntil(server string) time.Duration {
	if s := g.servers[server]; s != nil && s.known.Limited {
		return s.permitsUntil
	}
	return 0
}

// Unreachable records that the control group did not answer.
func (g *Gate) Unreachable(now time.Duration) { g.unreachableUntil = now + UnreachablePause }

// Waiting returns the servers that can not get a request now.
func (g *Gate) Waiting(now time.Duration) []string {
	var names []string
	for name, s := range g.servers {
		if s.known.Limited && !(s.permits > 0 && now < s.permitsUntil) &&
			(now < s.askAfter || now < g.unreachableUntil) {
			names = append(names, name)
		}
	}
	return names
}

// RetryAfter returns the delay after which a caller should return that was refused
// because the limits of the servers of a service are used up. Callers that are
// refused one after the other get delays that are as far apart as this entry's share
// of the limits. The random number jitter, in [0, 1), spreads callers beyond
// maxRetryAfter.
func (g *Gate) RetryAfter(now time.Duration, service string, servers []string, jitter float64) time.Duration {
	share, first := 0.0, now+maxRetryAfter
	for _, name := range servers {
		if s := g.servers[name]; s != nil && s.known.Limited {
			share += max(s.known.PerSecond, MinPerSecond) / float64(s.askers)
			first = min(first, max(s.slotAt, s.askAfter, g.unreachableUntil))
		}
	}
	if share == 0 {
		return minRetryIn
	}
	slot := max(first, now+minRetryIn, g.lastSlot[service]+time.Duration(float64(time.Second)/share))
	if slot > now+maxRetryAfter {
		return time.Duration((0.5 + 0.5*jitter) * float64(maxRetryAfter))
	}
	g.lastSlot[service] = slot
	return slot - now
}

// Retain forgets the servers that are not listed.
func (g *Gate) Retain(listed func(server string) bool) {
	for name := range g.servers {
		if !listed(name) {
			delete(g.servers, name)
		}
	}
}
