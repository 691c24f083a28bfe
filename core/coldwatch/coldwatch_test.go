package coldwatch

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// runs returns the ids of the runs from first to last.
func runs(first, last int) (ids []string) {
	for i := first; i <= last; i++ {
		ids = append(ids, fmt.Sprint("r", i))
	}
	return ids
}

// Guards against health calls for an engine that gets too few requests to need a bound, and against none
// for one that gets many.
func TestAsksOnlyAtHighRates(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		// step is the number of new runs in each status, every 100 ms.
		step int
		want bool
	}{
		{"no bound", 0, 10, false},
		{"below half of the rate", 41, 2, false},
		{"half of the rate", 40, 2, true},
		{"no runs", 0.5, 0, false},
		{"a low rate", 1.5, 1, true},
	} {
		w, now := New(), time.Hour
		w.Observe(now, nil)
		for i := range 10 {
			now += 100 * ms
			w.Observe(now, runs(i*c.step, (i+1)*c.step-1))
		}
		if got := w.Due(now, c.perSecond); got != c.want {
			t.Errorf("%s: due %v with %d new runs", c.name, got, w.NewRuns(now))
		}
	}
}

// Guards against runs that count more than once, although they go on, against runs that count for longer
// than a second, and against those that ran before the agent looked.
func TestCountsNewRuns(t *testing.T) {
	w, now := New(), time.Hour
	for _, c := range []struct {
		after       time.Duration
		first, last int
		want        int
	}{
		{0, 1, 20, 0},
		{100 * ms, 11, 22, 2},
		{100 * ms, 11, 22, 2},
		{800 * ms, 11, 25, 5},
		// The two of 0.9 s before do not count any more.
		{100 * ms, 11, 25, 3},
		// A run that continues here under an id that was here before is a new request.
		{100 * ms, 1, 1, 4},
		// After a gap it is not known when the runs began.
		{1001 * ms, 30, 60, 0},
		{100 * ms, 30, 61, 1},
	} {
		now += c.after
		w.Observe(now, runs(c.first, c.last))
		if got := w.NewRuns(now); got != c.want {
			t.Errorf("runs %d to %d after %v: %d are new, want %d", c.first, c.last, c.after, got, c.want)
		}
	}
	if got := w.NewRuns(now + time.Second); got != 0 {
		t.Errorf("%d new runs after a second without a status", got)
	}
}

// busy returns a Watch of an engine with a high rate, and the time.
func busy() (*Watch, time.Duration) {
	w, now := New(), time.Hour
	w.Observe(now, nil)
	now += 100 * ms
	w.Observe(now, runs(1, 100))
	return w, now
}

// Guards against more calls than one in 200 ms, against a call while another one waits for its answer, and
// against a call that never ends and stops all later ones.
func TestCallsAreBounded(t *testing.T) {
	w, now := busy()
	if !w.Due(now, 20) {
		t.Fatal("no call at a high rate")
	}
	w.Asked(now)
	if w.Due(now+Interval, 20) {
		t.Error("a call while another one is in progress")
	}
	w.Answered(now+10*ms, 0, false)
	if w.Due(now+Interval-1, 20) || !w.Due(now+Interval, 20) {
		t.Error("a call too early, or none after the interval")
	}
	calls := 0
	for i := range 1000 {
		if at := now + time.Duration(i)*ms; w.Due(at, 20) {
			w.Asked(at)
			w.Answered(at, 0, true)
			calls++
		}
	}
	if calls != 4 {
		t.Errorf("%d calls in the 800 ms after the first interval, want 4", calls)
	}
}

// Guards against calls for an engine whose end of the cold time is known, and against an engine that becomes cold
// again before its cold time ends and counts as warm from then on.
func TestAsksAgainAtTheEndOfTheColdTime(t *testing.T) {
	w, now := busy()
	w.Asked(now)
	w.Answered(now, 900*ms, true)
	if until := w.Until(); until != now+900*ms {
		t.Errorf("cold until %v, want %v", until, now+900*ms)
	}
	if w.Remaining(now+300*ms) != 600*ms || w.Remaining(now+900*ms) != 0 || w.Remaining(now+2*time.Second) != 0 {
		t.Errorf("remaining %v, %v", w.Remaining(now+300*ms), w.Remaining(now+2*time.Second))
	}
	if at := now + 900*ms - 2*Interval; w.Due(at-1, 20) || !w.Due(at, 20) {
		t.Error("a call while the end is known, or none before the end")
	}
}

// Guards against a failed call, or a late answer, that ends the cold time of an engine.
func TestNothingKnownKeepsTheColdTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		remaining time.Duration
		known     bool
		want      time.Duration
	}{
		{"no answer", 0, false, 500 * ms},
		{"warm", 0, true, 500 * ms},
		{"less", 100 * ms, true, 500 * ms},
		{"more", time.Second, true, time.Second},
		{"negative", -time.Second, true, 500 * ms},
	} {
		w, now := busy()
		w.Answered(now, 500*ms, true)
		w.Answered(now, c.remaining, c.known)
		if got := w.Remaining(now); got != c.want {
			t.Errorf("%s: %v remain, want %v", c.name, got, c.want)
		}
	}
}
