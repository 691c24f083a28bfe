package dispatch

import "time"

// tokenTime is the time in which an engine with most slots taken makes one
// token; an idle one takes about 7 ms.
const tokenTime = 10 * time.Millisecond

// beginTime is the time until a generation makes its first token: the prompt is
// read in about 0.4 s between the tokens of others.
const beginTime = 500 * time.Millisecond

// unknownTokens is assumed for a generation whose length nobody estimated.
const unknownTokens = 600

// FitsDrain tells whether a generation that starts now will end while a stopping
// entry still runs, given the tokens that nine of ten like it stay within. One
// that would be cut off is better refused at once, because the caller then
// starts it elsewhere.
func FitsDrain(mostTokens int, left time.Duration) bool {
	if mostTokens <= 0 {
		mostTokens = unknownTokens
	}
	return beginTime+time.Duration(mostTokens)*tokenTime <= left
}

// Times after which refused callers come back.
const (
	// readyAfter is about how long a control group takes from a start of all
	// hosts until daemons have a confirmed desired state.
	readyAfter = 2500 * time.Millisecond
	// roomAfter is about how long a place at a loaded engine takes to come free.
	roomAfter = 1500 * time.Millisecond
	// maxShare is the part of the caller's time that it waits at most, so that
	// the second attempt still has time.
	maxShare = 0.3
)

// RetryAfter returns when a refused caller should come back. It answers two
// loads: a system that is starting (notReady), and servers that are full. Draw,
// in [0, 1), spreads callers that were refused together. A budget of 0 is
// unknown.
func RetryAfter(notReady bool, budget time.Duration, draw float64) time.Duration {
	wait := roomAfter
	if notReady {
		wait = readyAfter
	}
	wait = time.Duration(float64(wait) * (0.7 + 0.6*draw))
	if budget <= 0 {
		return wait
	}
	return min(wait, time.Duration(float64(budget)*maxShare*(0.7+0.3*draw)))
}
