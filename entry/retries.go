package entry

import (
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/attempt"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// retryBudgets holds the retry budgets of all callers at this entry. It is safe for
// concurrent use.
type retryBudgets struct {
	startedAt time.Time

	mu      sync.Mutex
	budgets *attempt.Budgets
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{startedAt: time.Now(), budgets: attempt.NewBudgets(attempt.BudgetConfig{})}
}

// requestAttempts decides whether one request is retried.
type requestAttempts struct {
	budgets *retryBudgets
	retrier *attempt.Retrier
	// current is the number of the latest attempt.
	current uint32
}

func (r *retryBudgets) startRequest(request attempt.Request) *requestAttempts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.startedAt)
	a := &requestAttempts{
		budgets: r, retrier: attempt.New(attempt.Config{MaxAttempts: maxAttempts}, r.budgets, now, request),
	}
	a.retrier.Start(now)
	return a
}

// allowRetry reports whether another attempt may follow one that failed. It charges
// the cost of the retry to the caller's budget.
func (a *requestAttempts) allowRetry(failure *verdict.Error) bool {
	a.budgets.mu.Lock()
	defer a.budgets.mu.Unlock()
	for _, action := range a.retrier.Ended(time.Since(a.budgets.startedAt), a.current, failure) {
		if action.Kind == attempt.Dispatch {
			a.current = action.Attempt
			return true
		}
	}
	return false
}
