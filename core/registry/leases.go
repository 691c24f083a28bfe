package registry

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Bounds of leases and load slots.
const (
	MaxLeaseDuration = time.Minute
	// MaxClockDrift is the time after the expiry of a lease or slot before it can
	// pass to another holder. A holder counts its lease from the time at which it
	// sent the request, so only the difference in the rates of two clocks matters.
	// 1 s per minute is 1.6%, far above the drift of quartz clocks.
	MaxClockDrift = time.Second
	MaxLeases     = 4096
	// MaxLoadSlots is the number of backend servers that may load weights at the
	// same time. It is bounded because the weight store is rate-limited.
	MaxLoadSlots        = 8
	MaxLoadSlotDuration = 30 * time.Minute
)

// lease is the record of a lease or a load slot.
type lease struct {
	Host        string              `cbor:"1,keyasint"`
	Incarnation message.Incarnation `cbor:"2,keyasint"`
	Fencing     uint64              `cbor:"3,keyasint"`
	Expires     time.Duration       `cbor:"4,keyasint"`
}

func (l lease) heldBy(host string, incarnation message.Incarnation) bool {
	return l.Host == host && l.Incarnation == incarnation
}

// leases holds the leases of backend servers. Fencing numbers come from one counter
// for all servers, so that the numbers of a server increase even after its record
// was dropped.
type leases struct {
	Fencing  uint64           `cbor:"1,keyasint"`
	ByServer map[string]lease `cbor:"2,keyasint"`
}

func newLeases() leases { return leases{ByServer: map[string]lease{}} }

func (r *Registry) applyLease(c *Lease) any {
	if _, declared := r.config.built.BackendServers[c.BackendServer]; !declared || c.Host == "" || c.Duration <= 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"a lease needs a declared backend server, a host and a duration")
	}
	return r.leases.apply(r.clock, c)
}

func (l *leases) apply(now time.Duration, c *Lease) any {
	held, known := l.ByServer[c.BackendServer]
	duration := min(c.Duration, MaxLeaseDuration)
	switch {
	case known && held.heldBy(c.Host, c.Incarnation) && now < held.Expires:
		held.Expires = max(held.Expires, now+duration)
	case c.Renew:
		return message.LeaseReply{Holder: held.Host, RetryAfter: max(0, held.Expires+MaxClockDrift-now)}
	case known && !held.heldBy(c.Host, c.Incarnation) && now < held.Expires+MaxClockDrift:
		return message.LeaseReply{Holder: held.Host, RetryAfter: held.Expires + MaxClockDrift - now}
	case !known && len(l.ByServer) >= MaxLeases && !l.removeExpired(now):
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "too many leases").WithRetryAfter(fullRetryAfter)
	default:
		l.Fencing++
		held = lease{Host: c.Host, Incarnation: c.Incarnation, Fencing: l.Fencing, Expires: now + duration}
	}
	l.ByServer[c.BackendServer] = held
	return message.LeaseReply{Granted: true, Fencing: held.Fencing, Duration: duration, Holder: held.Host}
}

// removeExpired removes expired leases and reports whether there is room for
// another one.
func (l *leases) removeExpired(now time.Duration) bool {
	for name, held := range l.ByServer {
		if held.Expires+MaxClockDrift <= now {
			delete(l.ByServer, name)
		}
	}
	return len(l.ByServer) < MaxLeases
}

// slots limits the concurrent loads of weights in the whole fleet.
type slots struct {
	ByServer map[string]lease `cbor:"1,keyasint"`
}

func newSlots() slots { return slots{ByServer: map[string]lease{}} }

func (s *slots) apply(now time.Duration, c *LoadSlot) any {
	nextExpiry := time.Duration(0)
	for name, held := range s.ByServer {
		remaining := held.Expires + MaxClockDrift - now
		if remaining <= 0 {
			delete(s.ByServer, name)
		} else if nextExpiry == 0 || remaining < nextExpiry {
			nextExpiry = remaining
		}
	}
	held, known := s.ByServer[c.BackendServer]
	heldByRequester := known && held.heldBy(c.Host, c.Incarnation)
	if c.Release {
		if heldByRequester {
			delete(s.ByServer, c.BackendServer)
		}
		return message.LoadSlotReply{}
	}
	if c.Duration <= 0 || c.BackendServer == "" || known && !heldByRequester || !known && len(s.ByServer) >= MaxLoadSlots {
		return message.LoadSlotReply{RetryAfter: nextExpiry}
	}
	s.ByServer[c.BackendServer] = lease{
		Host: c.Host, Incarnation: c.Incarnation, Expires: now + min(c.Duration, MaxLoadSlotDuration),
	}
	return message.LoadSlotReply{Granted: true}
}
