// Package limit bounds the request rate and the concurrent requests of each caller
// at one entry, so that a burst of one caller is refused before it takes capacity
// from others.
package limit

import (
	"math"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Limits holds the declared limits of one caller.
type Limits struct {
	// RatePerSecond bounds the rate of new requests. Zero means no limit.
	RatePerSecond float64
	Burst         int
	MaxConcurrent int
}

// sweepEvery is the number of calls of Admit between two sweeps of idle callers. It
// bounds the state to the callers of the last minutes rather than to all declared
// ones.
const sweepEvery = 4096

// concurrencyRetryAfter is the retry delay for a caller at its concurrency limit.
// It is short, because it is not known when one of the caller's requests will end.
const concurrencyRetryAfter = time.Second

type bucket struct {
	tokens     float64
	lastRefill time.Time
	active     int
	limits     Limits
}

// Limiter holds the limiter state of all callers at one entry. It is not safe for
// concurrent use.
type Limiter struct {
	callers    map[string]*bucket
	admissions int
}

// New returns a Limiter without callers.
func New() *Limiter { return &Limiter{callers: map[string]*bucket{}} }

// Callers returns the number of callers that have state.
func (l *Limiter) Callers() int { return len(l.callers) }

// Admit admits one request, or returns a refusal with a retry delay. Done must be
// called for each admitted request.
func (l *Limiter) Admit(now time.Time, caller string, limits Limits) *message.Refusal {
	l.admissions++
	if l.admissions%sweepEvery == 0 {
		l.sweep(now)
	}
	b, ok := l.callers[caller]
	if !ok {
		b = &bucket{tokens: float64(limits.Burst), lastRefill: now}
		l.callers[caller] = b
	}
	b.limits = limits
	b.refill(now)
	if limits.MaxConcurrent > 0 && b.active >= limits.MaxConcurrent {
		r := message.NewRefusal(verdict.ReasonRateLimited, "the caller has too many requests in progress",
			concurrencyRetryAfter)
		return &r
	}
	if limits.RatePerSecond > 0 && b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / limits.RatePerSecond * float64(time.Second))
		r := message.NewRefusal(verdict.ReasonRateLimited, "the caller sends too many requests a second", wait)
		return &r
	}
	b.tokens--
	b.active++
	return nil
}

// refill adds the tokens accrued since the last refill. A clock that was set back
// adds none.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill).Seconds()
	b.lastRefill = now
	capacity := math.Max(1, float64(b.limits.Burst))
	if b.limits.RatePerSecond <= 0 {
		b.tokens = capacity
		return
	}
	b.tokens = math.Min(capacity, b.tokens+math.Max(0, elapsed)*b.limits.RatePerSecond)
}

// Done marks an admitted request as ended.
func (l *Limiter) Done(caller string) {
	if b, ok := l.callers[caller]; ok && b.active > 0 {
		b.active--
	}
}

// sweep deletes callers that have no requests and a full bucket.
func (l *Limiter) sweep(now time.Time) {
	for name, b := range l.callers {
		b.refill(now)
		if b.active == 0 && b.tokens >= float64(b.limits.Burst) {
			delete(l.callers, name)
		}
	}
}
