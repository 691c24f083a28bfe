package attempt

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// TestEnded guards against a second run of a request that may have run and must
// not be repeated, a restart of a stream after its first token, and a final verdict
// that leaves out an earlier attempt that may have run.
func TestEnded(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "refused")
	connectionLost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "lost")
	for name, c := range map[string]struct {
		request    Request
		firstToken bool
		errs       []*verdict.Error
		// want is "D" for each dispatch and "F" with the verdict for a failure.
		want string
	}{
		"refusal is retried": {Request{}, false, []*verdict.Error{refused}, "DD"},
		"no server available": {Request{}, false,
			[]*verdict.Error{verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer, "none")}, "DFnot_run"},
		"attempts are limited": {Request{Repeatable: true}, false,
			[]*verdict.Error{refused, connectionLost, refused}, "DDDFmay_have_run"},
		"refusals prove not run": {Request{}, false,
			[]*verdict.Error{refused, refused, refused}, "DDDFnot_run"},
		"not repeatable may have run": {Request{}, false, []*verdict.Error{connectionLost}, "DFmay_have_run"},
		"repeatable may have run": {Request{Repeatable: true, Streamed: true}, false,
			[]*verdict.Error{connectionLost}, "DD"},
		"stream after its first token": {Request{Repeatable: true, Streamed: true}, true,
			[]*verdict.Error{connectionLost}, "DFmay_have_run"},
		"response without a stream": {Request{Repeatable: true}, true, []*verdict.Error{connectionLost}, "DD"},
		"deadline passed":           {Request{Deadline: time.Nanosecond}, false, []*verdict.Error{refused}, "DFnot_run"},
		"refusal after a lost connection": {Request{Repeatable: true}, false,
			[]*verdict.Error{connectionLost, refused, refused}, "DDDFmay_have_run"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{}, NewBudgets(BudgetConfig{}), 0, c.request)
			got := actionString(r.Start(0))
			if c.firstToken {
				r.FirstToken(0, 0)
			}
			for i, err := range c.errs {
				got += actionString(r.Ended(time.Second, uint32(i), err))
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func actionString(actions []Action) string {
	s := ""
	for _, a := range actions {
		switch a.Kind {
		case Dispatch:
			s += "D"
		case PlaceTombstone:
			s += "T"
		case Cancel:
			s += fmt.Sprint("C", a.Attempt)
		case Fail:
			s += "F" + a.Err.Verdict.String()
		}
	}
	return s
}

// TestHedge guards against hedging a request that must not run twice, and against
// two attempts that deliver tokens of one request.
func TestHedge(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		r := New(Config{HedgeAfter: time.Second, StartTimeout: 5 * time.Second}, NewBudgets(BudgetConfig{}), 0,
			Request{Repeatable: repeatable})
		got := actionString(r.Start(0))
		r.Accepted(0)
		got += actionString(r.Tick(time.Second)) + actionString(r.Tick(3*time.Second))
		got += actionString(r.FirstToken(3*time.Second, 1)) + actionString(r.FirstToken(3*time.Second, 0))
		got += actionString(r.Tick(7 * time.Second))
		if want := map[bool]string{false: "D", true: "DDC0"}[repeatable]; got != want {
			t.Errorf("repeatable %v: got %s, want %s", repeatable, got, want)
		}
	}
}

// TestTombstone guards against a timeout that is taken as proof that the attempt
// did not run.
func TestTombstone(t *testing.T) {
	r := New(Config{}, NewBudgets(BudgetConfig{}), 0, Request{})
	got := actionString(r.Start(0)) + actionString(r.Tick(3*time.Second)) + actionString(r.Tick(4*time.Second))
	got += actionString(r.Ended(5*time.Second, 0, verdict.New(verdict.NotRun, verdict.ReasonBuried, "buried")))
	if got != "DTD" {
		t.Errorf("got %s, want DTD", got)
	}
}

// TestNoRetryStorm guards against retries that multiply the load when a failure
// domain is lost: all requests fail, and the retries must stay near the budget.
func TestNoRetryStorm(t *testing.T) {
	budgets := NewBudgets(BudgetConfig{MaxCallers: 4})
	retries := 0
	const requests = 10000
	for i := 0; i < requests; i++ {
		now := time.Duration(i) * time.Millisecond
		r := New(Config{}, budgets, now, Request{Caller: fmt.Sprint(i % 4), Repeatable: true})
		r.Start(now)
		for a := uint32(0); actionString(r.Ended(now, a,
			verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "gone"))) == "D"; a++ {
			retries++
		}
	}
	if ratio := float64(retries) / requests; ratio > 0.25 {
		t.Errorf("%.2f retries per request, want at most 0.25", ratio)
	}
	budgets.deposit(0, "another")
	if len(budgets.callers) > 4 {
		t.Errorf("%d budgets kept, want at most 4", len(budgets.callers))
	}
}
