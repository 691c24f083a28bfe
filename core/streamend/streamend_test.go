package streamend

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms    = time.Millisecond
	slack = 250 * ms
)

// status returns an observation that took a millisecond.
func status(at time.Duration, process uint64, runs ...Run) Observation {
	return Observation{RequestedAt: at, ReceivedAt: at + ms, Process: process, Runs: runs}
}

// end observes statuses without runs after the question, of which the last decides.
func end(w *Watch, at time.Duration, process uint64) {
	w.Observe(status(at-50*ms, process))
	w.Observe(status(at, process))
}

// Guards against a verdict that a generation ended by itself where it was stopped, where its server may have
// ended, or where nothing tells, and against complete ones that are not recognized.
func TestJudge(t *testing.T) {
	run := func(events int) Run { return Run{"r", events} }
	question := Question{Run: "r", AskedAt: 10 * time.Second, SentAt: 5 * time.Second, SentSlack: slack, Events: 60}
	after := question.AskedAt + settleTime
	for name, c := range map[string]struct {
		watch func(w *Watch)
		want  Judgment
	}{
		"nothing seen": {func(*Watch) {}, Judgment{Unknown, true, ""}},
		"not seen since the question": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(9*time.Second, 1, run(50)))
		}, Judgment{Unknown, true, ""}},
		"seen once since the question": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(question.AskedAt-ms, 1))
			w.Observe(status(after, 1))
		}, Judgment{Unknown, true, ""}},
		"another process between two statuses": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1, run(50)))
			w.Observe(status(question.AskedAt+ms, 1))
			w.Observe(status(after, 2))
		}, Judgment{Unknown, true, ""}},
		"seen too soon after the question": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(after-ms, 1))
		}, Judgment{Unknown, true, ""}},
		"ended": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(9*time.Second, 1, run(50)))
			end(w, after, 1)
		}, Judgment{Ended, false, ""}},
		"too short to be listed": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			end(w, after, 1)
		}, Judgment{Ended, false, ""}},
		"still listed": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(after, 1, run(60)))
		}, Judgment{Unknown, true, ""}},
		"more events made": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1, run(61)))
			end(w, after, 1)
		}, Judgment{Unknown, false, ""}},
		"another process since": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1, run(50)))
			end(w, after, 2)
		}, Judgment{Unknown, false, ""}},
		"another process before, and listed since": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(7*time.Second, 2, run(50)))
			end(w, after, 2)
		}, Judgment{Ended, false, ""}},
		"another connection, but another run goes on": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(9500*ms, 1, Run{"other", 3}))
			w.Observe(status(after-50*ms, 2, Run{"other", 4}))
			w.Observe(status(after, 2, Run{"other", 4}))
		}, Judgment{Ended, false, ""}},
		"a run of the same id begins in another process": {func(w *Watch) {
			w.Observe(status(9500*ms, 1, Run{"other", 3}))
			w.Observe(status(after-50*ms, 2, Run{"other", 1}))
			w.Observe(status(after, 2, Run{"other", 1}))
		}, Judgment{Unknown, false, ""}},
		"sent before the first status": {func(w *Watch) {
			w.Observe(status(6*time.Second, 1))
			end(w, after, 1)
		}, Judgment{Unknown, false, ""}},
		"sent within the slack of the first status": {func(w *Watch) {
			w.Observe(status(question.SentAt-slack, 1))
			end(w, after, 1)
		}, Judgment{Unknown, false, ""}},
		"stop in progress": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.StopOrdered(9*time.Second, "r")
			end(w, after, 1)
		}, Judgment{Stopped, true, ""}},
		"stop not answered, and listed again": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.StopOrdered(6*time.Second, "r")
			w.StopEnded(7*time.Second, "r", StopUnanswered)
			w.Observe(status(8*time.Second, 1, run(40)))
			w.Observe(status(9*time.Second, 1, run(50)))
			end(w, after, 1)
		}, Judgment{Stopped, false, ""}},
		"stop answered": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.StopOrdered(6*time.Second, "r")
			w.StopEnded(7*time.Second, "r", StopAnswered)
			w.Observe(status(8*time.Second, 1, run(40)))
			end(w, after, 1)
		}, Judgment{Stopped, false, ""}},
		"stop refused, and the run makes events": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.StopOrdered(6*time.Second, "r")
			w.StopEnded(7*time.Second, "r", StopAnswered)
			w.Observe(status(8*time.Second, 1, run(40)))
			w.Observe(status(9*time.Second, 1, run(50)))
			end(w, after, 1)
		}, Judgment{Ended, false, ""}},
		"stop of a generation that had ended": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1, run(60)))
			w.StopOrdered(9*time.Second, "r")
			w.StopEnded(9*time.Second+ms, "r", StopNotRunning)
			end(w, after, 1)
		}, Judgment{Ended, false, ""}},
		"second stop of a generation that the first one stopped": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1, run(60)))
			w.StopOrdered(8*time.Second, "r")
			w.StopEnded(9*time.Second, "r", StopUnanswered)
			w.StopOrdered(9*time.Second, "r")
			w.StopEnded(9*time.Second+ms, "r", StopNotRunning)
			end(w, after, 1)
		}, Judgment{Stopped, false, ""}},
		"stop of an earlier stay": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.StopOrdered(3*time.Second, "r")
			w.StopEnded(4*time.Second, "r", StopAnswered)
			end(w, after, 1)
		}, Judgment{Ended, false, ""}},
		"stop of another generation": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.StopOrdered(6*time.Second, "other")
			end(w, after, 1)
		}, Judgment{Ended, false, ""}},
		"leaving, seen once": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(after-50*ms, 1))
			o := status(after, 1)
			o.Leaving = true
			w.Observe(o)
		}, Judgment{Unknown, true, ""}},
		"leaving, lives on": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1))
			w.Observe(status(after, 1))
			o := status(question.AskedAt+leavingSettleTime, 1)
			o.Leaving = true
			w.Observe(o)
		}, Judgment{Ended, false, ""}},
		"stops of that time are forgotten": {func(w *Watch) {
			w.Observe(status(2*time.Second, 1, run(1)))
			w.StopOrdered(6*time.Second, "r")
			w.StopEnded(6*time.Second, "r", StopAnswered)
			for i := range maxStops {
				w.StopOrdered(7*time.Second, fmt.Sprint(i))
			}
			end(w, after, 1)
		}, Judgment{Unknown, false, ""}},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(0)
			c.watch(w)
			got := w.Judge(question)
			if got.Reason == "" {
				t.Error("no reason")
			}
			if got.Reason = ""; got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against the verdict of an agent that started again for a generation that the agent before it may
// have stopped.
func TestRestartedAgentKnowsNoEarlierStops(t *testing.T) {
	start := 10 * time.Second
	question := Question{Run: "r", AskedAt: 20 * time.Second, SentAt: 5 * time.Second, SentSlack: slack, Events: 60}
	for listedAt, want := range map[time.Duration]Verdict{start + ms: Unknown, start + inheritedTime: Ended} {
		w := New(start)
		w.Observe(status(listedAt, 1, Run{"r", 50}))
		end(w, question.AskedAt+settleTime, 1)
		if got := w.Judge(question); got.Verdict != want {
			t.Errorf("listed after %v: %v, want %v", listedAt-start, got, want)
		}
	}
}

// Guards against a watch that remembers each run of its server.
func TestRunsAreForgotten(t *testing.T) {
	w := New(-inheritedTime)
	for i := range 2 * maxRuns {
		w.Observe(status(time.Duration(i)*ms, 1, Run{fmt.Sprint(i), 1}))
	}
	if len(w.runs) > maxRuns {
		t.Errorf("%d runs are remembered, want %d at most", len(w.runs), maxRuns)
	}
}

// Guards against a second stop that counts as one of an earlier stay. A last move that fails late with a copy lets
// the generation resume at the same server, which is moved again soon.
func TestSecondStopOfGenerationThatResumedHere(t *testing.T) {
	w := New(0)
	w.Observe(status(2*time.Second, 1))
	w.Observe(status(3900*ms, 1, Run{"r", 3}))
	w.StopOrdered(4*time.Second, "r")
	w.StopEnded(5*time.Second, "r", StopAnswered)
	// The entry resumes at 5.03 s. The interval between events is longer than that between statuses.
	w.Observe(status(5100*ms, 1, Run{"r", 4}))
	w.Observe(status(5200*ms, 1, Run{"r", 4}))
	w.StopOrdered(5210*ms, "r")
	w.StopEnded(5230*ms, "r", StopAnswered)
	w.Observe(status(5300*ms, 1))
	w.Observe(status(5700*ms, 1))
	got := w.Judge(Question{Run: "r", AskedAt: 5220 * ms, SentAt: 5030 * ms, SentSlack: slack, Events: 4})
	if got.Verdict != Stopped {
		t.Errorf("%v, want stopped", got)
	}
}

// Guards against a server that started again and counts as the same process, because a generation that the process
// before it ran was moved back to it meanwhile.
func TestMovedBackGenerationIsNoSameProcess(t *testing.T) {
	for name, last := range map[string]time.Duration{"long after": 2 * time.Second, "stopped before": 8500 * ms} {
		t.Run(name, func(t *testing.T) {
			w := New(-inheritedTime)
			w.Observe(status(last, 1, Run{"moved", 3}, Run{"r", 50}))
			if name == "stopped before" {
				w.StopOrdered(last+100*ms, "moved")
				w.StopEnded(last+200*ms, "moved", StopAnswered)
			}
			// The process crashed. The caller of r reads slowly.
			w.Observe(status(9*time.Second, 2, Run{"moved", 40}))
			w.Observe(status(10100*ms, 2, Run{"moved", 44}))
			w.Observe(status(10200*ms, 2, Run{"moved", 45}))
			got := w.Judge(Question{Run: "r", AskedAt: 10 * time.Second, SentAt: time.Second, SentSlack: slack, Events: 50})
			if got.Verdict == Ended {
				t.Errorf("%v, want unknown", got)
			}
		})
	}
}
