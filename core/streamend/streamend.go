// Package streamend judges how a generation ended whose answer has neither a length nor chunks. The close
// of its connection marks the end of such an answer, and also its break. The process on the host of the
// backend server watches the server and judges by what it saw. The package does no I/O and reads no clock.
package streamend

import "time"

// Verdict tells how a generation ended. The zero value claims nothing.
type Verdict int

const (
	// Unknown means that nothing shows how the generation ended.
	Unknown Verdict = iota
	// Ended means that the server ended the generation by itself, after its last event.
	Ended
	// Stopped means that the generation was stopped, or may have been, and that events are missing.
	Stopped
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	switch v {
	case Ended:
		return "ended"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}

const (
	// settleTime is how long after the question the server has to live. A process that ends closes all its
	// connections at nearly the same time.
	settleTime = 100 * time.Millisecond
	// leavingSettleTime is settleTime of a server that is leaving, which may close its connections one
	// after the other before it ends.
	leavingSettleTime = 300 * time.Millisecond
	// inheritedTime is how long orders of an earlier process on this host may still take effect.
	inheritedTime = time.Second
	// maxStatusGap is the longest time between two statuses over which a run may show that the process is the
	// same. A server that crashed needs seconds to start again.
	maxStatusGap = time.Second
	// maxStops and maxRuns bound what is remembered.
	maxStops = 4096
	maxRuns  = 4096
)

// Run is a generation in the status of a server.
type Run struct {
	ID string
	// Events is the number of events that the server has made.
	Events int
}

// Observation is a status of the server. Times are those of one clock that never goes back.
type Observation struct {
	RequestedAt, ReceivedAt time.Duration
	// Process is the same number only for statuses that the same process of the server sent.
	Process uint64
	Leaving bool
	Runs    []Run
}

// Question asks how a generation ended.
type Question struct {
	Run string
	// AskedAt is when the question arrived, after the end of the answer.
	AskedAt time.Duration
	// SentAt is when the request was sent to the server, or up to SentSlack later, because the question was
	// under way for a time that the agent does not know.
	SentAt, SentSlack time.Duration
	// Events is the number of events that arrived since the caller's request, and EventsBefore how many of them came
	// from earlier servers.
	Events, EventsBefore int
	// CallerEvents is the number of events that the caller had before its request. Whether the server counts them in
	// Run.Events is not known.
	CallerEvents int
}

// Judgment is the answer to a question. While Open is set, later observations may change it.
type Judgment struct {
	Verdict Verdict
	Open    bool
	Reason  string
}

// stop is an order to stop a generation.
type stop struct {
	orderedAt time.Duration
	// pending is set until the order has ended, at endedAt.
	pending bool
	endedAt time.Duration
	// unanswered is set if the server did not answer, so that the order may take effect later.
	unanswered bool
	// before is the result of the order before, nil if there was none.
	before *stop
	// listed is set once the run was listed after endedAt, with events.
	listed bool
	events int
}

// Watch holds what was seen of one backend server. It is not safe for concurrent use.
type Watch struct {
	inheritedUntil time.Duration
	observed       bool
	last           Observation
	// previousAt is when the status before last was requested, -1 if another process sent it.
	previousAt time.Duration
	// since is the time from which on the process of the server is known to be the same one.
	since time.Duration
	// runs are the runs that were listed since then.
	runs  map[string]listing
	stops map[string]stop
	// forgottenUntil is when the last of the stops was ordered that are no longer remembered.
	forgottenUntil time.Duration
}

// New returns a Watch that begins now.
func New(now time.Duration) *Watch {
	return &Watch{inheritedUntil: now + inheritedTime, forgottenUntil: -1, runs: map[string]listing{}, stops: map[string]stop{}}
}

// Observe takes in a status. It reports whether the process of the server is still known to be the same.
func (w *Watch) Observe(o Observation) (same bool) {
	same = w.observed && (o.Process == w.last.Process || w.continues(o))
	beforeLast := w.previousAt
	w.previousAt = w.last.RequestedAt
	if !same {
		w.since, w.runs, w.previousAt = o.ReceivedAt, map[string]listing{}, -1
	}
	for _, run := range o.Runs {
		if o.RequestedAt >= w.inheritedUntil {
			known := w.runs[run.ID]
			if known.at < beforeLast {
				// The run left the server and came back.
				known = listing{}
			}
			w.runs[run.ID] = known.next(o.RequestedAt, run.Events, w.previousAt)
		}
		w.observeStopped(o.RequestedAt, run)
	}
	w.observed, w.last = true, o
	w.forgetRuns()
	return same
}

// continues reports whether a run of the last status goes on, which it does only in the same process. One that was
// stopped may have come back to another.
func (w *Watch) continues(o Observation) bool {
	if o.RequestedAt-w.last.ReceivedAt > maxStatusGap {
		return false
	}
	events := make(map[string]int, len(w.last.Runs))
	for _, run := range w.last.Runs {
		events[run.ID] = run.Events
	}
	for _, run := range o.Runs {
		_, stopped := w.stops[run.ID]
		if before, ok := events[run.ID]; ok && !stopped && before > 0 && run.Events >= before {
			return true
		}
	}
	return false
}

// observeStopped drops the stop of a run that goes on although the server has answered the order.
func (w *Watch) observeStopped(requestedAt time.Duration, run Run) {
	s, ok := w.stops[run.ID]
	if !ok || s.pending || s.unanswered || requestedAt < s.endedAt {
		return
	}
	if s.listed && run.Events > s.events {
		delete(w.stops, run.ID)
		return
	}
	if !s.listed {
		s.listed, s.events = true, run.Events
		w.stops[run.ID] = s
	}
}

// forgetRuns bounds the runs. The end of one that is forgotten is known only if its request was sent since
// the process is known.
func (w *Watch) forgetRuns() {
	for len(w.runs) > maxRuns {
		oldest, first := "", true
		for id, l := range w.runs {
			if first || l.at < w.runs[oldest].at {
				oldest, first = id, false
			}
		}
		delete(w.runs, oldest)
	}
}

// StopOrdered records that a generation is about to be stopped. StopEnded has to follow.
func (w *Watch) StopOrdered(now time.Duration, run string) {
	s := stop{orderedAt: now, pending: true}
	if before, ok := w.stops[run]; ok {
		before.before = nil
		s.before, s.unanswered = &before, before.unanswered
	} else {
		w.forgetStop()
	}
	w.stops[run] = s
}

// StopResult tells what the server answered to an order to stop a generation.
type StopResult int

const (
	// StopUnanswered means that the server did not answer, and that the order may still take effect.
	StopUnanswered StopResult = iota
	// StopAnswered means that the server answered, whether it stopped the generation or not.
	StopAnswered
	// StopNotRunning means that the server did not run the generation.
	StopNotRunning
)

// StopEnded records the result of an order.
func (w *Watch) StopEnded(now time.Duration, run string, result StopResult) {
	s, ok := w.stops[run]
	switch {
	case !ok:
		return
	case result == StopNotRunning && s.before == nil:
		delete(w.stops, run)
		return
	case result == StopNotRunning:
		// The order stopped nothing, but the one before may have.
		w.stops[run] = *s.before
		return
	}
	s.pending, s.endedAt, s.unanswered = false, now, s.unanswered || result == StopUnanswered
	w.stops[run] = s
}

// forgetStop makes room for one more stop.
func (w *Watch) forgetStop() {
	if len(w.stops) < maxStops {
		return
	}
	oldest, first := "", true
	for id, s := range w.stops {
		if first || s.orderedAt < w.stops[oldest].orderedAt {
			oldest, first = id, false
		}
	}
	w.forgottenUntil = max(w.forgottenUntil, w.stops[oldest].orderedAt)
	delete(w.stops, oldest)
}

// Judge judges how a generation ended. It is certain that the generation ended by itself if one process of
// the server ran it from its begin, lives on without it, and got no order to stop it. Two statuses have to
// show that it lives, because a late copy of an earlier one may stand for one of them.
func (w *Watch) Judge(q Question) Judgment {
	sentAt := q.SentAt - q.SentSlack
	if s, ok := w.stops[q.Run]; ok && (s.pending || s.orderedAt >= sentAt) {
		return Judgment{Stopped, s.pending, "a stop was ordered"}
	}
	if sentAt <= w.forgottenUntil {
		return Judgment{Unknown, false, "stops of that time are forgotten"}
	}
	settle := settleTime
	if w.last.Leaving {
		settle = leavingSettleTime
	}
	if !w.observed || w.previousAt < q.AskedAt || w.last.RequestedAt < q.AskedAt+settle {
		return Judgment{Unknown, true, "the server was not seen since"}
	}
	listing, listed := w.runs[q.Run]
	if !listed && sentAt < w.since {
		return Judgment{Unknown, false, "the server may have started again since"}
	}
	for _, run := range w.last.Runs {
		if run.ID == q.Run {
			return Judgment{Unknown, true, "the server still runs it"}
		}
	}
	if listing.lacksEvents(q) {
		return Judgment{Unknown, false, "the server made more events"}
	}
	return Judgment{Ended, false, "the server lives on without it"}
}
