package dispatch

import (
	"math"
	"slices"
	"time"
)

// NoDeadline is the deadline of a drain that lasts until no request remains.
const NoDeadline time.Duration = math.MaxInt64

// Drain is the planned stop of an entry. Its times are in the same clock as those of the
// requests that it is asked about.
type Drain struct {
	// Began is when the entry learned of the stop.
	Began time.Duration
	// NoticeEnd is when callers know of the stop, and StreamNoticeEnd the same for answers that
	// are streamed.
	NoticeEnd, StreamNoticeEnd time.Duration
	// Deadline is when the requests that remain are cut off.
	Deadline time.Duration
}

// Delays between the signal to stop and the time at which the entry learns of it. The delay
// for streams covers a period of 100 ms in which the process has used up its processor time:
// a call that is cut off still gets a failure, a stream that has begun does not.
const (
	signalDelay       = 60 * time.Millisecond
	streamSignalDelay = 125 * time.Millisecond
)

// NewDrain returns the drain of an entry that learned of its stop now, and whose callers know
// of it after the notice.
func NewDrain(now, notice, deadline time.Duration) *Drain {
	return &Drain{Began: now, NoticeEnd: now + max(0, notice-signalDelay),
		StreamNoticeEnd: now + max(0, notice-streamSignalDelay), Deadline: deadline}
}

// Need is how long a request may still take.
type Need struct {
	// Limit is the time after which the request ends in any case.
	Limit time.Duration
	// Expected is the time within which most requests of its kind end, 0 if unknown.
	Expected time.Duration
	// Streamed is set if a part of the answer may be sent before the rest is known.
	Streamed bool
}

// Allows reports whether a request that arrived at a time may be passed on now. A caller
// that came before the end of the notice gets the chance that the expected time leaves;
// one that came later could use another entry, so its request has to end in time for certain.
// Only its limit makes that certain: an engine may pause any generation for others.
func (d Drain) Allows(now, arrived time.Duration, need Need) bool {
	left := d.Deadline - now
	if need.Limit <= left {
		return true
	}
	noticeEnd := d.NoticeEnd
	if need.Streamed {
		noticeEnd = d.StreamNoticeEnd
	}
	return arrived < noticeEnd && need.Expected > 0 && need.Expected <= left
}

const (
	// minTimePerToken is the time that an engine with most slots in use takes for one
	// token of a generation. An idle engine takes about 7 ms.
	minTimePerToken = 10 * time.Millisecond
	// minTimeToFirstToken is the time until a generation has its first token. The prefill
	// takes about 0.4 s, interleaved with the decoding of other generations.
	minTimeToFirstToken = 500 * time.Millisecond
	// defaultTokens is the assumed length of a generation without an estimate.
	defaultTokens = 600
	// expectedQuantile is the quantile of observed paces with which the expected time of a
	// generation is computed.
	expectedQuantile = 0.9
	// usualQuantile is the quantile with which the usual time of a generation is computed.
	usualQuantile = 0.5
)

// Pace is how fast the generations of a route were. The zero value knows only the pace of
// a common engine, which estimates never fall below.
type Pace struct {
	firstToken, perToken Recent
	// promptTokens is the longest prompt that was observed.
	promptTokens int
}

// Observe records a complete generation: the times until its first event and from then on,
// and the number of tokens after the first event, 0 if it is unknown or there were none.
func (p *Pace) Observe(promptTokens, laterTokens int, toFirst, afterFirst time.Duration) {
	p.firstToken.Observe(toFirst)
	p.promptTokens = max(p.promptTokens, promptTokens)
	if laterTokens > 0 {
		p.perToken.Observe(afterFirst / time.Duration(laterTokens))
	}
}

// Expected returns the time that a generation of so many tokens is expected to take. A prompt
// that is longer than those observed takes proportionally longer to prefill.
func (p *Pace) Expected(promptTokens, tokens int) time.Duration {
	first, later := p.at(expectedQuantile, promptTokens, tokens)
	return first + later
}

// Usual returns the times until the first token and until the end that half of such generations
// stay within. The time until the first token includes waits at engines, which are long for some
// generations while engines are full: higher quantiles would make a short generation seem long
// then. As long as nothing was observed, the time until the end has no part for the first token.
func (p *Pace) Usual(promptTokens, tokens int) (first, whole time.Duration) {
	first, later := p.at(usualQuantile, promptTokens, tokens)
	if len(p.firstToken.durations) == 0 {
		return first, later
	}
	return first, first + later
}

// at returns the q-quantiles of the times until the first token and from then on.
func (p *Pace) at(q float64, promptTokens, tokens int) (first, later time.Duration) {
	if tokens <= 0 {
		tokens = defaultTokens
	}
	first = max(minTimeToFirstToken, p.firstToken.Quantile(q))
	if p.promptTokens > 0 && promptTokens > p.promptTokens {
		first = time.Duration(float64(first) * float64(promptTokens) / float64(p.promptTokens))
	}
	return first, time.Duration(tokens) * max(minTimePerToken, p.perToken.Quantile(q))
}

const (
	// maxRecent is the number of durations that a Recent holds.
	maxRecent = 100
	// unseenWeight widens a bound by the share of durations that were not yet seen.
	unseenWeight = 10
	// unseenObjectives is the number of latency objectives that a call is expected to take at
	// most if none was seen.
	unseenObjectives = 10
)

// Recent holds the latest durations of one kind.
type Recent struct {
	durations []time.Duration
	next      int
}

// Observe records a duration.
func (r *Recent) Observe(d time.Duration) {
	if len(r.durations) < maxRecent {
		r.durations = append(r.durations, d)
		return
	}
	r.durations[r.next] = d
	r.next = (r.next + 1) % maxRecent
}

// Quantile returns the q-quantile of the durations, 0 if there are none.
func (r *Recent) Quantile(q float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	sorted := slices.Clone(r.durations)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Bound returns a duration that few others of the kind exceed. It lies further above the
// longest one the fewer there are. Without any, it follows from the latency objective of the
// route, and is 0 if there is none.
func (r *Recent) Bound(objective time.Duration) time.Duration {
	if len(r.durations) == 0 {
		return unseenObjectives * objective
	}
	n := time.Duration(len(r.durations))
	return slices.Max(r.durations) * (n + unseenWeight) / n
}

// Times after which refused callers retry.
const (
	// startupDelay is about the time from a start of all hosts until the control
	// group has given the daemons a confirmed desired state.
	startupDelay = 2500 * time.Millisecond
	// slotDelay is about the time until a slot of a loaded engine becomes free.
	slotDelay = 1500 * time.Millisecond
	// elsewhereDelay spreads callers that other entries can serve at once.
	elsewhereDelay = 100 * time.Millisecond
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
	if notReady {
		return retryDelay(startupDelay, budget, jitter)
	}
	return retryDelay(slotDelay, budget, jitter)
}

// RetryElsewhere returns the delay after which a caller should retry that was refused by an
// entry to which balancers send no callers any more.
func RetryElsewhere(budget time.Duration, jitter float64) time.Duration {
	return retryDelay(elsewhereDelay, budget, jitter)
}

func retryDelay(delay, budget time.Duration, jitter float64) time.Duration {
	delay = time.Duration(float64(delay) * (0.7 + 0.6*jitter))
	if budget <= 0 {
		return delay
	}
	return min(delay, time.Duration(float64(budget)*maxDelayShare*(0.7+0.3*jitter)))
}
