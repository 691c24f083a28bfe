package dispatch

import "time"

// tokenTime is the time in which an engine with most slots taken makes one
// token; an idle one takes about 7 ms.
const tokenTime = 10 * time.Millisecond

// unknownTokens is assumed for a generation whose length nobody estimated.
const unknownTokens = 400

// FitsDrain tells whether a generation that starts now is expected to end while
// a stopping entry still runs. One that would be cut off is better refused at
// once, because the caller then starts it elsewhere. Hints are right at the
// median only, so half as much again is allowed for.
func FitsDrain(tokensExpected int, left time.Duration) bool {
	if tokensExpected <= 0 {
		tokensExpected = unknownTokens
	}
	return time.Duration(tokensExpected)*tokenTime*3/2 <= left
}
