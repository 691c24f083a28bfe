package serverlimit

import (
	"math"
	"time"
)

// Bound tells how many requests a backend server may get in any window: the rate times
// Overage times Window, and Slack. The zero value is that of the limits that servers name.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

const (
	// minPermitLifetime is the shortest lifetime of a permit. It is several round trips to the
	// leader.
	minPermitLifetime = 50 * time.Millisecond
	// minTransit and maxTransit bound the time that is allowed for the way of a request to its
	// server. Where the bound leaves little room, more would cost a part of the rate.
	minTransit = 10 * time.Millisecond
	maxTransit = 100 * time.Millisecond
	// minCountedPerSecond keeps the time until the next permit finite.
	minCountedPerSecond = 1e-3
)

// terms are what follows from a bound for one rate.
type terms struct {
	// perSecond is the rate at which permits are granted, and lifetime that of a permit.
	perSecond float64
	lifetime  time.Duration
	// counted is set if at most most permits may be granted in any span. Else the rate alone
	// holds the bound.
	counted bool
	most    int
	span    time.Duration
	// tight is set if the count leaves little room above the rate. A permit that is not used at
	// once is then lost, so entries that are denied do not wait for their turn.
	tight bool
}

// terms returns what follows for a rate. Servers name limits over a window of 4 s with half as
// much again and 5 requests more, which permits at the rate never exceed. Other bounds may
// leave no room above the rate. Then the permits are counted: those that are granted in the
// window, the lifetime of a permit before it and the time of a request on its way are all that
// can arrive in the window. The lifetime is as long as the rate allows.
func (b Bound) terms(perSecond float64) terms {
	if b.Window <= 0 {
		return terms{perSecond: min(max(perSecond, MinPerSecond), maxPerSecond), lifetime: PermitLifetime}
	}
	t := terms{perSecond: min(max(perSecond, minCountedPerSecond), maxPerSecond), counted: true}
	t.most = int(math.Floor(b.Overage*t.perSecond*b.Window.Seconds() + b.Slack))
	full := min(float64(t.most)/(spareRatio*t.perSecond), maxWindowRatio*b.Window.Seconds())
	room := time.Duration(full*float64(time.Second)) - b.Window
	transit := min(max(room-minPermitLifetime, minTransit), maxTransit)
	t.lifetime = min(max(room-transit, minPermitLifetime), PermitLifetime)
	t.span = b.Window + t.lifetime + transit
	t.tight = room < minPermitLifetime+maxTransit
	return t
}

// spareRatio is the ratio of the count to the rate that the choice of the lifetime leaves, where
// the bound allows it.
const spareRatio = 1.1

// maxWindowRatio bounds the time in which a rate uses up a bound, in windows.
const maxWindowRatio = 4

// grant is a number of permits that were granted at a time.
type grant struct {
	at time.Duration
	n  int
}

// CountArrived counts requests that arrived at a server without permits like permits granted now, if
// the server's permits are counted.
func (a *Allocator) CountArrived(now time.Duration, server string, n int) {
	if s := a.servers[server]; s != nil && s.terms.counted && n > 0 {
		s.askedAt = now
		s.grants = append(s.grants, grant{now, min(n, s.terms.most)})
	}
}

// free returns how many permits the count of the last span leaves, and when it leaves one more
// if there is none. previousUntil is when the previous allocator may have granted its last
// permit: what it granted at most counts as well.
func (s *allocation) free(now, previousUntil time.Duration) (n int, wait time.Duration) {
	if !s.terms.counted {
		return math.MaxInt32, 0
	}
	for len(s.grants) > 0 && s.grants[0].at <= now-s.terms.span {
		s.grants = s.grants[1:]
	}
	n = s.terms.most
	for _, g := range s.grants {
		n -= g.n
	}
	if left := previousUntil + s.terms.span - now; left > 0 {
		n -= min(s.terms.most, int(s.burst()+s.debt()+s.terms.perSecond*left.Seconds()))
	}
	if n > 0 {
		return n, 0
	}
	wait = maxRetryIn
	if len(s.grants) > 0 {
		wait = s.grants[0].at + s.terms.span - now
	}
	return 0, max(0, wait)
}
