package attempt

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// TestEnded guards against a second run of a request that may have run and must
// not be repeated (P4), a restart of a stream after its first token (P1), and a
// final verdict that forgets an earlier attempt (P3).
func TestEnded(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "refused")
	unclear := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "lost")
	for name, c := range map[string]struct {
		spec  Request
		first bool
		errs  []*verdict.Error
		// want is "D" for each dispatch and "F" with the verdict for a failure.
		want string
	}{
		"refusal is retried":             {Request{}, false, []*verdict.Error{refused}, "DD"},
		"no server left":                 {Request{}, false, []*verdict.Error{verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer, "none")}, "DFnot_run"},
		"attempts are bounded":           {Request{Repeatable: true}, false, []*verdict.Error{refused, unclear, refused}, "DDDFmay_have_run"},
		"refusals prove not run":         {Request{}, false, []*verdict.Error{refused, refused, refused}, "DDDFnot_run"},
		"not repeatable may have run":    {Request{}, false, []*verdict.Error{unclear}, "DFmay_have_run"},
		"repeatable may have run":        {Request{Repeatable: true, Streamed: true}, false, []*verdict.Error{unclear}, "DD"},
		"stream after its first token":   {Request{Repeatable: true, Streamed: true}, true, []*verdict.Error{unclear}, "DFmay_have_run"},
		"response without a stream":      {Request{Repeatable: true}, true, []*verdict.Error{unclear}, "DD"},
		"deadline passed":                {Request{Deadline: time.Nanosecond}, false, []*verdict.Error{refused}, "DFnot_run"},
		"later refusal proves no safety": {Request{Repeatable: true}, false, []*verdict.Error{unclear, refused, refused}, "DDDFmay_have_run"},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Config{}, NewBudgets(BudgetConfig{}), 0, c.spec)
			got := trace(m.Start(0))
			if c.first {
				m.FirstToken(0, 0)
			}
			for i, err := range c.errs {
				got += trace(m.Ended(time.Second, uint32(i), err))
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func trace(actions []Action) string {
	s := ""
	for _, a := range actions {
		switch a.Kind {
		case Dispatch:
			s += "D"
		case PlaceTombstone:
			s += "B"
		case Cancel:
			s += fmt.Sprint("C", a.Attempt)
		case Fail:
			s += "F" + a.Err.Verdict.String()
		}
	}
	return s
}

// TestHedge guards against a hedge for a request that must not run twice, and
// against two attempts delivering tokens of one request.
func TestHedge(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		m := New(Config{HedgeAfter: time.Second, StartTimeout: 5 * time.Second}, NewBudgets(BudgetConfig{}), 0, Request{Repeatable: repeatable})
		got := trace(m.Start(0))
		m.Accepted(0)
		got += trace(m.Tick(time.Second)) + trace(m.Tick(3*time.Second))
		got += trace(m.FirstToken(3*time.Second, 1)) + trace(m.FirstToken(3*time.Second, 0))
		got += trace(m.Tick(7 * time.Second))
		if want := map[bool]string{false: "D", true: "DDC0"}[repeatable]; got != want {
			t.Errorf("repeatable %v: got %s, want %s", repeatable, got, want)
		}
	}
}

// TestBury guards against a timeout that is taken as a proof of not run.
func TestBury(t *testing.T) {
	m := New(Config{}, NewBudgets(BudgetConfig{}), 0, Request{})
	got := trace(m.Start(0)) + trace(m.Tick(3*time.Second)) + trace(m.Tick(4*time.Second))
	got += trace(m.Ended(5*time.Second, 0, verdict.New(verdict.NotRun, verdict.ReasonBuried, "buried")))
	if got != "DBD" {
		t.Errorf("got %s, want DBD", got)
	}
}

// TestNoStorm guards against retries that multiply the load when a failure
// domain is lost: all requests fail, and the retries stay near the budget.
func TestNoStorm(t *testing.T) {
	budgets := NewBudgets(BudgetConfig{MaxCallers: 4})
	retries := 0
	const requests = 10000
	for i := 0; i < requests; i++ {
		now := time.Duration(i) * time.Millisecond
		m := New(Config{}, budgets, now, Request{Caller: fmt.Sprint(i % 4), Repeatable: true})
		m.Start(now)
		for a := uint32(0); trace(m.Ended(now, a, verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "gone"))) == "D"; a++ {
			retries++
		}
	}
	if part := float64(retries) / requests; part > 0.25 {
		t.Errorf("%.2f retries per request, want at most 0.25", part)
	}
	budgets.deposit(0, "another")
	if len(budgets.callers) > 4 {
		t.Errorf("%d callers remembered, want at most 4", len(budgets.callers))
	}
}
