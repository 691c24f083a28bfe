package dispatch

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/retry"
)

// TestEnded guards against a second run of a request that must not run twice,
// against the refusal of a request that may have run, and against more attempts
// than the route allows.
func TestEnded(t *testing.T) {
	const ample = time.Second
	for _, c := range []struct {
		name      string
		kind      desired.RouteKind
		max       int
		results   []Result
		remaining time.Duration
		want      Action
	}{
		{"answer", desired.AtMostOnce, 1, []Result{Answered}, ample, Reply},
		{"non-repeatable lost", desired.AtMostOnce, 2, []Result{Lost}, ample, Fail},
		{"stream lost", desired.Stream, 2, []Result{Lost}, ample, Fail},
		{"repeatable lost", desired.Repeatable, 2, []Result{Lost}, ample, Retry},
		{"repeatable lost on the last attempt", desired.Repeatable, 1, []Result{Lost}, ample, Fail},
		{"repeatable lost twice", desired.Repeatable, 2, []Result{Lost, Lost}, ample, Fail},
		{"server error of a non-repeatable call", desired.AtMostOnce, 2, []Result{ServerError}, ample, Reply},
		{"server error of a repeatable call", desired.Repeatable, 2, []Result{ServerError}, ample, Retry},
		{"server error without time for a retry", desired.Repeatable, 2, []Result{ServerError}, time.Millisecond, Reply},
		{"refused", desired.AtMostOnce, 1, []Result{Refused}, ample, Retry},
		{"refused by all servers", desired.AtMostOnce, 1, []Result{Refused, Refused, Refused, Refused}, ample, Refuse},
		{"not sent", desired.Stream, 1, []Result{NotSent}, ample, Retry},
		{"not sent without time for a retry", desired.Stream, 1, []Result{NotSent}, 0, Refuse},
		{"no server", desired.AtMostOnce, 1, []Result{NoServer}, ample, Refuse},
		{"lost, then refused", desired.Repeatable, 3, []Result{Lost, Refused, Refused, Refused}, ample, Fail},
		{"lost, then no server", desired.Repeatable, 3, []Result{Lost, NoServer}, ample, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(0, c.kind, c.max, retry.NewBudget(1, 100, 10*time.Second))
			var got Action
			for _, result := range c.results {
				got = r.Ended(0, result, c.remaining)
			}
			if got != c.want {
				t.Errorf("action %v, want %v", got, c.want)
			}
		})
	}
}

// TestEndedWithoutBudget guards against unlimited retries when all servers of a
// service fail.
func TestEndedWithoutBudget(t *testing.T) {
	budget := retry.NewBudget(0.2, 0, 10*time.Second)
	retried := 0
	for i := 0; i < 100; i++ {
		r := New(time.Duration(i)*10*time.Millisecond, desired.Repeatable, 2, budget)
		if r.Ended(time.Duration(i)*10*time.Millisecond, Lost, time.Second) == Retry {
			retried++
		}
	}
	if retried > 20 {
		t.Errorf("%d of 100 requests were retried, the budget is 20", retried)
	}
}

// TestFitsDrain guards against generations that a stopping entry accepts and then
// cuts off.
func TestFitsDrain(t *testing.T) {
	for _, c := range []struct {
		tokens    int
		remaining time.Duration
		want      bool
	}{
		{12, 7 * time.Second, true}, {936, 7 * time.Second, false}, {0, 7 * time.Second, true},
		{0, time.Second, false}, {300, 5 * time.Second, true}, {590, 6 * time.Second, false},
	} {
		need := Need{Limit: time.Minute, Expected: new(Pace).Expected(0, c.tokens)}
		if got := (Drain{NoticeEnd: time.Second, Deadline: c.remaining}).Allows(0, 0, need); got != c.want {
			t.Errorf("%d tokens in %v: %v", c.tokens, c.remaining, got)
		}
	}
}

// TestDrainAllows guards against requests that a stopping entry passes on although they may
// outlast it, and against refusals of requests that end in time.
func TestDrainAllows(t *testing.T) {
	const s = time.Second
	drain := Drain{NoticeEnd: 3 * s, StreamNoticeEnd: 2500 * time.Millisecond, Deadline: 8 * s}
	for _, c := range []struct {
		name         string
		now, arrived time.Duration
		need         Need
		want         bool
	}{
		{"limit within the drain", 1 * s, 1 * s, Need{Limit: 7 * s}, true},
		{"limit within the drain, after the notice", 4 * s, 4 * s, Need{Limit: 4 * s}, true},
		{"quick so far, within the notice", 2 * s, 2 * s, Need{Limit: 20 * s, Expected: s}, true},
		{"quick so far, after the notice", 3 * s, 3 * s, Need{Limit: 20 * s, Expected: s}, false},
		{"came within the notice, waited", 4 * s, 2 * s, Need{Limit: 20 * s, Expected: s}, true},
		{"waited too long", 7500 * time.Millisecond, 2 * s, Need{Limit: 20 * s, Expected: s}, false},
		{"slow so far", 2 * s, 2 * s, Need{Limit: 20 * s, Expected: 7 * s}, false},
		{"unknown", 0, 0, Need{Limit: 20 * s}, false},
		{"stream within the notice", 2 * s, 2 * s, Need{Limit: 20 * s, Expected: s, Streamed: true}, true},
		{"stream that may have been sent after the notice", 2600 * time.Millisecond, 2600 * time.Millisecond,
			Need{Limit: 20 * s, Expected: s, Streamed: true}, false},
		{"stream after the notice", 4 * s, 4 * s, Need{Limit: 20 * s, Expected: 1, Streamed: true}, false},
		{"limit of a stream within the drain, after the notice", 4 * s, 4 * s, Need{Limit: 4 * s, Streamed: true}, true},
		{"limit of a stream beyond the drain, after the notice", 4 * s, 4 * s, Need{Limit: 4*s + 1, Expected: 1, Streamed: true}, false},
		{"after the drain", 9 * s, 9 * s, Need{Limit: s, Expected: 1}, false},
	} {
		if got := drain.Allows(c.now, c.arrived, c.need); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPace guards against estimates for a common engine where engines are slower, prompts
// are longer, or no number of tokens is declared.
func TestPace(t *testing.T) {
	var slow, undeclared Pace
	for range 50 {
		slow.Observe(1000, 100, 2*time.Second, 4*time.Second)
		undeclared.Observe(1000, 0, 2*time.Second, 4*time.Second)
	}
	for _, c := range []struct {
		name           string
		pace           *Pace
		prompt, tokens int
		want           time.Duration
	}{
		{"no observation", new(Pace), 1000, 100, 1500 * time.Millisecond},
		{"slow engine", &slow, 1000, 200, 10 * time.Second},
		{"short prompt", &slow, 10, 200, 10 * time.Second},
		{"longer prompt", &slow, 3000, 200, 14 * time.Second},
		{"tokens unknown", &undeclared, 1000, 200, 4 * time.Second},
	} {
		if got := c.pace.Expected(c.prompt, c.tokens); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	slow.Observe(1000, 100, 4*time.Second, 6*time.Second)
	if expected := slow.Expected(1000, 200); expected != 10*time.Second {
		t.Errorf("after one slow generation: %v expected", expected)
	}
}

// TestUsualPace guards against short generations that seem long, because some of them waited at full
// engines, and against long ones of an unknown route that seem short.
func TestUsualPace(t *testing.T) {
	if first, whole := new(Pace).Usual(3000, 160); first != minTimeToFirstToken || whole != 1600*time.Millisecond {
		t.Errorf("no observation: %v and %v", first, whole)
	}
	var p Pace
	for i := range 50 {
		first := 600 * time.Millisecond
		if i%5 == 0 {
			first = 3 * time.Second
		}
		p.Observe(2500, 10, first, 200*time.Millisecond)
	}
	if first, whole := p.Usual(2500, 10); first != 600*time.Millisecond || whole != 800*time.Millisecond {
		t.Errorf("%v and %v", first, whole)
	}
	if expected := p.Expected(2500, 10); expected != 3200*time.Millisecond {
		t.Errorf("%v expected", expected)
	}
}

// TestRecent guards against bounds that trust a few observations, and against old
// observations that are never forgotten.
func TestRecent(t *testing.T) {
	var r Recent
	if r.Bound(0) != 0 || r.Quantile(0.9) != 0 {
		t.Error("durations without an observation")
	}
	if got := r.Bound(150 * time.Millisecond); got != 1500*time.Millisecond {
		t.Errorf("bound without an observation: %v", got)
	}
	r.Observe(time.Second)
	if got := r.Bound(time.Minute); got < 5*time.Second {
		t.Errorf("bound after one observation: %v", got)
	}
	for range maxRecent {
		r.Observe(20 * time.Millisecond)
	}
	if got := r.Bound(time.Minute); got < 20*time.Millisecond || got > 30*time.Millisecond {
		t.Errorf("bound after %d quick calls: %v", maxRecent, got)
	}
}

// TestRetryAfter guards against callers that retry before the system can have
// started, too late for their remaining time, or all at the same time.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		notReady  bool
		budget    time.Duration
		low, high time.Duration
	}{
		{true, 39 * time.Second, 1500 * time.Millisecond, 4 * time.Second},
		{false, 39 * time.Second, time.Second, 2 * time.Second},
		{true, 1500 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond},
		{false, 0, time.Second, 2 * time.Second},
	} {
		earliest, latest := RetryAfter(c.notReady, c.budget, 0), RetryAfter(c.notReady, c.budget, 0.999)
		if earliest < c.low || latest > c.high || earliest >= latest {
			t.Errorf("notReady %v, budget %v: %v to %v, want different times within %v to %v", c.notReady, c.budget,
				earliest, latest, c.low, c.high)
		}
	}
	if earliest, latest := RetryElsewhere(8*time.Second, 0), RetryElsewhere(8*time.Second, 0.999); earliest <= 0 ||
		earliest >= latest || latest > 200*time.Millisecond {
		t.Errorf("callers that others can serve at once return after %v to %v", earliest, latest)
	}
}
