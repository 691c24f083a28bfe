// Package coldwatch decides when the process on the host of a backend server asks the server
// whether it is cold, and holds what it answered. It does no I/O and reads no clock.
package coldwatch

import "time"

const (
	// Interval is the least time between two calls. Users pay for calls.
	Interval = 200 * time.Millisecond
	// window is the time in which new runs are counted, and askShare the share of a cold
	// server's rate from which on the bound matters.
	window   = time.Second
	askShare = 0.5
	// refreshBefore is the time before the end of the cold time from which on the server is asked
	// again, so that one that became cold again meanwhile stays known as cold even if a call fails.
	refreshBefore = 2 * Interval
)

// Watch watches one backend server. It is not safe for concurrent use. All times are those of
// one clock that never goes back.
type Watch struct {
	// present are the runs of the last status, which was read at observedAt.
	present    map[string]bool
	observed   bool
	observedAt time.Duration
	// began holds when the runs of the last window were first seen, oldest first.
	began []begun
	// askedAt is when the server was last asked, and asking is set while the answer is awaited.
	asked, asking bool
	askedAt       time.Duration
	until         time.Duration
}

// begun is a number of runs that were first seen at a time.
type begun struct {
	at time.Duration
	n  int
}

// New returns a Watch of a server of which nothing is known.
func New() *Watch { return &Watch{} }

// Observe takes in the ids of the runs of a status. After a gap of more than the window it is not
// known when the runs began, so none counts as new.
func (w *Watch) Observe(now time.Duration, runs []string) {
	w.expire(now)
	present, n := make(map[string]bool, len(runs)), 0
	for _, id := range runs {
		if !present[id] && !w.present[id] {
			n++
		}
		present[id] = true
	}
	if n > 0 && w.observed && now-w.observedAt <= window {
		w.began = append(w.began, begun{now, n})
	}
	w.present, w.observed, w.observedAt = present, true, now
}

// expire drops the runs that are older than the window.
func (w *Watch) expire(now time.Duration) {
	for len(w.began) > 0 && now-w.began[0].at >= window {
		w.began = w.began[1:]
	}
}

// NewRuns returns the number of runs that began in the last window.
func (w *Watch) NewRuns(now time.Duration) (n int) {
	w.expire(now)
	for _, b := range w.began {
		n += b.n
	}
	return n
}

// Due reports whether to ask the server, whose rate while it is cold is perSecond, 0 for no bound.
func (w *Watch) Due(now time.Duration, perSecond float64) bool {
	if perSecond <= 0 || w.asking || w.asked && now-w.askedAt < Interval || w.Remaining(now) > refreshBefore {
		return false
	}
	n := w.NewRuns(now)
	return n > 0 && float64(n) >= askShare*perSecond
}

// Asked records that a call began. Answered has to follow.
func (w *Watch) Asked(now time.Duration) { w.asked, w.asking, w.askedAt = true, true, now }

// Answered records the end of a call, and how much longer the server is cold if that is known. An
// end that is known does not become earlier, because answers may be late.
func (w *Watch) Answered(now, remaining time.Duration, known bool) {
	w.asking = false
	if known && remaining > 0 {
		w.until = max(w.until, now+remaining)
	}
}

// Until returns the end of the server's cold time, 0 if it is not known to be cold.
func (w *Watch) Until() time.Duration { return w.until }

// Remaining returns how much longer the server is cold.
func (w *Watch) Remaining(now time.Duration) time.Duration { return max(0, w.until-now) }
