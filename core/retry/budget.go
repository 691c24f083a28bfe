// Package retry limits the requests that an entry sends to a second backend
// server, so that the loss of servers does not multiply the load on the rest.
// It does no I/O.
package retry

import "time"

// Budget allows retries as a share of the requests in a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	ratio      float64
	slack      float64
	halfWindow time.Duration

	// halfStart is the start of the current half of the window. The counts hold the
	// current half first, then the previous one.
	halfStart         time.Duration
	requests, retries [2]float64
	// granted is the number of retries that were granted beyond that, until grantedUntil.
	granted      int
	grantedUntil time.Duration
	// askAgainAt is when more may be asked for.
	askAgainAt time.Duration
}

// NewBudget returns a Budget that allows, in any window, ratio times the
// requests of that window plus slack.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, halfWindow: window / 2}
}

// advance moves the window to now. Two halves are kept: retries count for up to
// the whole window and requests for at least half of it, so the sum stays below
// the limit for any position of the window.
func (b *Budget) advance(now time.Duration) {
	if halves := (now - b.halfStart) / b.halfWindow; halves > 0 {
		b.halfStart += halves * b.halfWindow
		b.requests[1], b.retries[1] = b.requests[0], b.retries[0]
		b.requests[0], b.retries[0] = 0, 0
		if halves > 1 {
			b.requests[1], b.retries[1] = 0, 0
		}
	}
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[0]++
}

// AllowRetry reports whether the budget allows a retry, and counts it if so. Grants are used
// last.
func (b *Budget) AllowRetry(now time.Duration) bool {
	if b.hasOwn(now) {
		b.retries[0]++
		return true
	}
	if b.granted == 0 || now >= b.grantedUntil {
		return false
	}
	b.granted--
	return true
}

// hasOwn reports whether the budget allows a retry without grants.
func (b *Budget) hasOwn(now time.Duration) bool {
	b.advance(now)
	return b.retries[0]+b.retries[1]+1 <= b.ratio*(b.requests[0]+b.requests[1])+b.slack
}

// NeedsGrant reports whether a retry is allowed only with a further grant, and whether that
// may be asked for now.
func (b *Budget) NeedsGrant(now time.Duration) bool {
	return !b.hasOwn(now) && (b.granted == 0 || now >= b.grantedUntil) && now >= b.askAgainAt
}

// Grant adds n retries that were asked for at a time. Without any, more are asked for after
// a delay.
func (b *Budget) Grant(askedAt time.Duration, n int, again time.Duration) {
	if n == 0 {
		b.askAgainAt = askedAt + again
		return
	}
	if askedAt >= b.grantedUntil {
		b.granted = 0
	}
	b.granted += n
	b.grantedUntil = askedAt + GrantTTL
}
