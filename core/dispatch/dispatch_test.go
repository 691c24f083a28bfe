package dispatch

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/retry"
)

// Guards against a request that runs twice though it must not, against a refusal
// of one that may have run, and against retries beyond the route's attempts.
func TestEnded(t *testing.T) {
	const wide = time.Second
	for _, c := range []struct {
		name    string
		kind    desired.RouteKind
		max     int
		results []Result
		left    time.Duration
		want    Action
	}{
		{"answer", desired.AtMostOnce, 1, []Result{Answered}, wide, Reply},
		{"lost once only", desired.AtMostOnce, 2, []Result{Lost}, wide, Fail},
		{"lost stream", desired.Stream, 2, []Result{Lost}, wide, Fail},
		{"lost repeatable", desired.Repeatable, 2, []Result{Lost}, wide, Retry},
		{"lost repeatable without attempts left", desired.Repeatable, 1, []Result{Lost}, wide, Fail},
		{"lost repeatable twice", desired.Repeatable, 2, []Result{Lost, Lost}, wide, Fail},
		{"own error of an unsafe call", desired.AtMostOnce, 2, []Result{ServerError}, wide, Reply},
		{"own error of a repeatable call", desired.Repeatable, 2, []Result{ServerError}, wide, Retry},
		{"own error at the end of the time", desired.Repeatable, 2, []Result{ServerError}, time.Millisecond, Reply},
		{"refused", desired.AtMostOnce, 1, []Result{Refused}, wide, Retry},
		{"refused by all", desired.AtMostOnce, 1, []Result{Refused, Refused, Refused, Refused}, wide, Refuse},
		{"not sent", desired.Stream, 1, []Result{NotSent}, wide, Retry},
		{"not sent at the end of the time", desired.Stream, 1, []Result{NotSent}, 0, Refuse},
		{"no server", desired.AtMostOnce, 1, []Result{NoServer}, wide, Refuse},
		{"lost, then refused", desired.Repeatable, 3, []Result{Lost, Refused, Refused, Refused}, wide, Fail},
		{"lost, then no server", desired.Repeatable, 3, []Result{Lost, NoServer}, wide, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(0, c.kind, c.max, retry.NewBudget(1, 100, 10*time.Second))
			var got Action
			for _, result := range c.results {
				got = m.Ended(0, result, c.left)
			}
			if got != c.want {
				t.Errorf("action %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against retries without an end when a service fails as a whole.
func TestEndedWithoutBudget(t *testing.T) {
	budget := retry.NewBudget(0.2, 0, 10*time.Second)
	retried := 0
	for i := 0; i < 100; i++ {
		m := New(time.Duration(i)*10*time.Millisecond, desired.Repeatable, 2, budget)
		if m.Ended(time.Duration(i)*10*time.Millisecond, Lost, time.Second) == Retry {
			retried++
		}
	}
	if retried > 20 {
		t.Errorf("%d of 100 requests were sent again, the budget is 20", retried)
	}
}

// Guards against generations that a stopping entry takes and then cuts off.
func TestFitsDrain(t *testing.T) {
	for _, c := range []struct {
		tokens int
		left   time.Duration
		want   bool
	}{{12, 7 * time.Second, true}, {936, 7 * time.Second, false}, {0, 7 * time.Second, true}, {0, time.Second, false}, {300, 5 * time.Second, true}, {590, 6 * time.Second, false}} {
		if got := FitsDrain(c.tokens, c.left); got != c.want {
			t.Errorf("FitsDrain(%d, %v) = %v", c.tokens, c.left, got)
		}
	}
}

// Guards against callers that come back before the system can have started, or
// so late that no time is left, or all at one moment.
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
		early, late := RetryAfter(c.notReady, c.budget, 0), RetryAfter(c.notReady, c.budget, 0.999)
		if early < c.low || late > c.high || early >= late {
			t.Errorf("notReady %v, budget %v: %v to %v, want within %v to %v and spread", c.notReady, c.budget, early, late, c.low, c.high)
		}
	}
}
