package limit

import "time"

// Pace spaces calls to a service that accepts a rate of calls from all its clients together.
// It is not safe for concurrent use.
type Pace struct {
	perSecond, burst float64
	tokens           float64
	updatedAt        time.Duration
	// delay is the additional delay of a client that yields to others, doubled with each
	// refusal and halved with each accepted call.
	yields bool
	delay  time.Duration
}

const (
	// refusalDelay is the delay after a refused call, maxRefusalDelay the longest of a
	// client that yields.
	refusalDelay    = 100 * time.Millisecond
	maxRefusalDelay = 4 * time.Second
)

// NewPace returns a Pace for a client that makes perSecond calls a second, 0 for no bound.
// One that yields slows down while its calls are refused, so that the others' are not.
func NewPace(perSecond float64, yields bool) *Pace {
	burst := max(1, perSecond/2)
	return &Pace{perSecond: perSecond, burst: burst, tokens: burst, yields: yields}
}

// Next counts a call and returns the delay before it may be made.
func (p *Pace) Next(now time.Duration) time.Duration {
	if p.perSecond <= 0 {
		return p.delay
	}
	p.tokens = min(p.burst, p.tokens+(now-p.updatedAt).Seconds()*p.perSecond) - 1
	p.updatedAt = now
	if p.tokens >= 0 {
		return p.delay
	}
	return p.delay + time.Duration(-p.tokens/p.perSecond*float64(time.Second))
}

// Accepted records that a call was accepted.
func (p *Pace) Accepted() {
	if p.delay /= 2; p.delay < refusalDelay/2 {
		p.delay = 0
	}
}

// Refused records that a call was refused because all clients together make too many.
func (p *Pace) Refused() {
	if !p.yields {
		p.delay = refusalDelay
		return
	}
	p.delay = min(max(refusalDelay, 2*p.delay), maxRefusalDelay)
}
