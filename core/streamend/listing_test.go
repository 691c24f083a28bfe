package streamend

import (
	"fmt"
	"testing"
	"time"
)

// statusInterval is the time between two statuses.
const statusInterval = 100 * ms

// resumedRun is a run at a server that was asked to go on after the events that its caller had.
type resumedRun struct {
	callerEvents, eventsBefore int
	// made and arrived are the numbers of events that the server made and that arrived from it.
	made, arrived int
	interval      time.Duration
	// countsAll makes the server count all events of the stream, not only those since the caller's request.
	countsAll bool
}

// judge returns the verdict on the end of the run. Its first status is offset after its begin.
func (r resumedRun) judge(offset time.Duration) Verdict {
	const sentAt, prefill = 2 * time.Second, 600 * ms
	w := New(-inheritedTime)
	w.Observe(status(time.Second, 1))
	end := sentAt + prefill + time.Duration(r.made)*r.interval
	at := sentAt + offset
	for ; at <= end; at += statusInterval {
		events := int(max(0, at-sentAt-prefill) / r.interval)
		if events > 0 {
			events += r.eventsBefore
			if r.countsAll {
				events += r.callerEvents
			}
		}
		w.Observe(status(at, 1, Run{"r", events}))
	}
	for range 4 {
		w.Observe(status(at, 1))
		at += statusInterval
	}
	return w.Judge(Question{Run: "r", AskedAt: end, SentAt: sentAt, SentSlack: slack, Events: r.eventsBefore + r.arrived,
		EventsBefore: r.eventsBefore, CallerEvents: r.callerEvents}).Verdict
}

// Guards against a resumed stream that is cut although it is whole, because its server counts the events that the caller had
// before, and against one that looks complete although events are missing, because its server does not count them.
func TestResumedStreamIsJudgedWhateverItsServerCounts(t *testing.T) {
	for _, countsAll := range []bool{false, true} {
		for _, interval := range []time.Duration{10 * ms, 28 * ms, 110 * ms} {
			for _, callerEvents := range []int{0, 1, 2, 5, 22, 40, 59} {
				for _, eventsBefore := range []int{0, 8, 30} {
					t.Run(fmt.Sprint(countsAll, interval, callerEvents, eventsBefore), func(t *testing.T) {
						for offset := time.Duration(0); offset < statusInterval; offset += 7 * ms {
							checkResumedRun(t, offset, resumedRun{callerEvents: callerEvents, eventsBefore: eventsBefore, made: 38,
								interval: interval, countsAll: countsAll})
						}
					})
				}
			}
		}
	}
}

func checkResumedRun(t *testing.T, offset time.Duration, r resumedRun) {
	t.Helper()
	// What a server counts shows if the caller had far more events than are made between two statuses.
	r.arrived = r.made
	perStatus := float64(statusInterval) / float64(r.interval)
	if got := r.judge(offset); got != Ended && (!r.countsAll || float64(r.callerEvents) > 2*rateTolerance*(perStatus+1)) {
		t.Errorf("whole, first status after %v: %v", offset, got)
	}
	for r.arrived = range r.made {
		listed := r.made - int(perStatus) - 1
		if r.arrived >= listed {
			// The last status may not list an event that is missing.
			break
		}
		if got := r.judge(offset); got == Ended {
			t.Errorf("%d of %d events arrived, first status after %v: %v", r.arrived, r.made, offset, got)
		}
	}
}

// Guards against what an earlier stay of a moved generation tells of a later one.
func TestResumedStreamThatComesBackIsJudgedByItsLastStay(t *testing.T) {
	w := New(-inheritedTime)
	w.Observe(status(time.Second, 1))
	for _, stay := range []struct {
		at     time.Duration
		events int
	}{{2 * time.Second, 23}, {8 * time.Second, 41}} {
		w.Observe(status(stay.at-statusInterval, 1))
		for i := range 5 {
			w.Observe(status(stay.at+time.Duration(i)*statusInterval, 1, Run{"r", stay.events + i}))
		}
		for i := range 3 {
			w.Observe(status(stay.at+time.Duration(5+i)*statusInterval, 1))
		}
	}
	// The caller had 22 events, got 18 from both servers before the last stay, and 5 during it.
	got := w.Judge(Question{Run: "r", AskedAt: 8420 * ms, SentAt: 7900 * ms, SentSlack: slack, Events: 23, EventsBefore: 18, CallerEvents: 22})
	if got.Verdict != Ended {
		t.Errorf("%v, want ended", got)
	}
}
