// Package attempt decides, for one request at an entry, when to dispatch, retry,
// hedge or fail it. Retries are limited per request, and by a retry budget per
// caller, so that the loss of servers does not multiply the load on the rest.
package attempt

import (
	"container/list"
	"time"
)

// BudgetConfig limits the retries of each caller. Zero fields take defaults.
type BudgetConfig struct {
	// Ratio is the fraction of a retry that each request adds to the budget.
	Ratio float64
	// PerSecond is added regardless of requests, so that callers with few requests
	// can retry.
	PerSecond float64
	// Max is the largest budget that a caller can accumulate.
	Max float64
	// MaxCallers limits the number of budgets that are kept. The least recently
	// used one is evicted.
	MaxCallers int
}

// Defaults of BudgetConfig, and the costs of a retry. A server refuses a request
// with no more work than a queue decision, so a retry after a refusal costs less
// than one after a failure, which may repeat work.
const (
	defaultRatio      = 0.2
	defaultPerSecond  = 0.1
	defaultMax        = 20
	defaultMaxCallers = 4096
	refusalRetryCost  = 0.2
	failureRetryCost  = 1.0
	hedgeCost         = 1.0
)

// Budgets holds the retry budgets of all callers of an entry. It is not safe for
// concurrent use.
type Budgets struct {
	cfg     BudgetConfig
	callers map[string]*budget
	recency *list.List
}

type budget struct {
	caller    string
	balance   float64
	updatedAt time.Duration
	element   *list.Element
}

// NewBudgets returns Budgets in which each caller starts with a quarter of Max.
func NewBudgets(cfg BudgetConfig) *Budgets {
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRatio
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = defaultPerSecond
	}
	if cfg.Max == 0 {
		cfg.Max = defaultMax
	}
	if cfg.MaxCallers == 0 {
		cfg.MaxCallers = defaultMaxCallers
	}
	return &Budgets{cfg: cfg, callers: map[string]*budget{}, recency: list.New()}
}

// lookup returns the budget of a caller as of now. It creates a missing one and
// evicts the least recently used one when there are too many.
func (b *Budgets) lookup(now time.Duration, caller string) *budget {
	c, ok := b.callers[caller]
	if !ok {
		for len(b.callers) >= b.cfg.MaxCallers {
			oldest := b.recency.Back()
			delete(b.callers, b.recency.Remove(oldest).(*budget).caller)
		}
		c = &budget{caller: caller, balance: b.cfg.Max / 4, updatedAt: now}
		c.element = b.recency.PushFront(c)
		b.callers[caller] = c
		return c
	}
	b.recency.MoveToFront(c.element)
	c.balance = min(b.cfg.Max, c.balance+b.cfg.PerSecond*(now-c.updatedAt).Seconds())
	c.updatedAt = now
	return c
}

// deposit adds the share of one new request.
func (b *Budgets) deposit(now time.Duration, caller string) {
	c := b.lookup(now, caller)
	c.balance = min(b.cfg.Max, c.balance+b.cfg.Ratio)
}

// withdraw takes the cost of a retry and reports whether the budget covers it. A
// cost that is not covered leaves the budget unchanged.
func (b *Budgets) withdraw(now time.Duration, caller string, cost float64) bool {
	c := b.lookup(now, caller)
	if c.balance < cost {
		return false
	}
	c.balance -= cost
	return true
}
