// Package retry bounds the requests that an entry sends to a second backend
// server, so that the loss of servers does not multiply the load on the rest.
// It has no I/O.
package retry

import "time"

// Budget allows retries as a share of the requests of a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	ratio float64
	slack float64
	half  time.Duration

	began             time.Duration
	requests, retries [2]float64
}

// NewBudget returns a budget that allows, in any window, ratio times the
// requests of that window plus slack.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, half: window / 2}
}

// turn moves the window on. Two halves are kept: retries count for up to the
// whole window, requests for at least half of it, so the sum stays below the
// bound for any position of the window.
func (b *Budget) turn(now time.Duration) {
	if steps := (now - b.began) / b.half; steps > 0 {
		b.began += steps * b.half
		b.requests[1], b.retries[1] = b.requests[0], b.retries[0]
		b.requests[0], b.retries[0] = 0, 0
		if steps > 1 {
			b.requests[1], b.retries[1] = 0, 0
		}
	}
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Duration) {
	b.turn(now)
	b.requests[0]++
}

// AllowRetry counts a retry and returns true when the budget allows it.
func (b *Budget) AllowRetry(now time.Duration) bool {
	b.turn(now)
	used := b.retries[0] + b.retries[1]
	if used+1 > b.ratio*(b.requests[0]+b.requests[1])+b.slack {
		return false
	}
	b.retries[0]++
	return true
}

// Remaining returns the retries that the budget still allows now.
func (b *Budget) Remaining(now time.Duration) float64 {
	b.turn(now)
	return b.ratio*(b.requests[0]+b.requests[1]) + b.slack - b.retries[0] - b.retries[1]
}
