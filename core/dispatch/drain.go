package dispatch

import "time"

// timePerToken is the time that an engine with most slots in use takes for one
// token of a generation. An idle engine takes about 7 ms.
const timePerToken = 10 * time.Millisecond

// timeToFirstToken is the time until a generation has its first token. The prefill
// takes about 0.4 s, interleaved with the decoding of other generations.
const timeToFirstToken = 500 * time.Millisecond

// defaultTokens is the assumed length of a generation without an estimate.
const defaultTokens = 600

// FitsDrain reports whether a generation that starts now will complete before the
// drain of a stopping entry ends in the remaining time. The estimate p90Tokens is
// the 90th percentile of the lengths of similar generations. A generation that
// would be cut off is refused at once, so that the caller starts it elsewhere.
func FitsDrain(p90Tokens int, remaining time.Duration) bool {
	if p90Tokens <= 0 {
		p90Tokens = defaultTokens
	}
	return timeToFirstToken+time.Duration(p90Tokens)*timePerToken <= remaining
}

// Times after which refused callers retry.
const (
	// startupDelay is about the time from a start of all hosts until the control
	// group has given the daemons a confirmed desired state.
	startupDelay = 2500 * time.Millisecond
	// slotDelay is about the time until a slot of a loaded engine becomes free.
	slotDelay = 1500 * time.Millisecond
	// maxDelayShare is the largest share of the caller's time budget that the delay
	// takes, so that enough time is left for the second attempt.
	maxDelayShare = 0.3
)

// RetryAfter returns the delay after which a refused caller should retry. The
// delay depends on whether the system is still starting (notReady) or its servers
// are full. The random number jitter, in [0, 1), spreads callers that were refused
// at the same time. The budget is how long the caller waits for a response; 0
// means that it is unknown.
func RetryAfter(notReady bool, budget time.Duration, jitter float64) time.Duration {
	delay := slotDelay
	if notReady {
		delay = startupDelay
	}
	delay = time.Duration(float64(delay) * (0.7 + 0.6*jitter))
	if budget <= 0 {
		return delay
	}
	return min(delay, time.Duration(float64(budget)*maxDelayShare*(0.7+0.3*jitter)))
}
