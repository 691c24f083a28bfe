package entry

import (
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/attempt"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// retries holds the retry budgets of all callers at this entry.
type retries struct {
	start time.Time

	mu      sync.Mutex
	budgets *attempt.Budgets
}

func newRetries() *retries {
	return &retries{start: time.Now(), budgets: attempt.NewBudgets(attempt.BudgetConfig{})}
}

// attempts decides whether one request is tried again.
type attempts struct {
	retries *retries
	machine *attempt.StateMachine
	next    uint32
}

func (r *retries) begin(spec attempt.Request) *attempts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.start)
	a := &attempts{retries: r, machine: attempt.New(attempt.Config{MaxAttempts: maxAttempts}, r.budgets, now, spec)}
	a.machine.Start(now)
	return a
}

// again tells whether another attempt may follow one that failed. It takes the
// cost of the retry from the caller's budget.
func (a *attempts) again(failure *verdict.Error) bool {
	a.retries.mu.Lock()
	defer a.retries.mu.Unlock()
	for _, action := range a.machine.Ended(time.Since(a.retries.start), a.next, failure) {
		if action.Kind == attempt.Dispatch {
			a.next = action.Attempt
			return true
		}
	}
	return false
}
