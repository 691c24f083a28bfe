package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// linkCloseTimeout limits the wait for entries to close their links at the end
	// of a drain.
	linkCloseTimeout = 2 * time.Second
)

// Leave makes the agent refuse new executions from now on.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.table.Drain()
	a.mu.Unlock()
}

// Drain refuses new executions and waits until all admitted ones have ended and
// their answers were delivered or have exceeded the replay retention. Then it
// closes the write side of the links and waits until the entries have closed them,
// so that no data in transit is lost.
func (a *Agent) Drain(ctx context.Context) error {
	a.Leave()
	if err := a.pollUntil(ctx, a.drained); err != nil {
		return errors.Wrap(err, "drain agent")
	}
	a.mu.Lock()
	for _, c := range a.links {
		c.closeWhenSent.Store(true)
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, linkCloseTimeout)
	defer cancel()
	_ = a.pollUntil(ctx, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.links) == 0
	})
	return nil
}

// pollUntil waits until the condition holds or ctx ends.
func (a *Agent) pollUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// drained reports whether no execution is active and no answer is left to be
// read.
func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.Active() > 0 {
		return false
	}
	for _, r := range a.runs {
		if !r.isDelivered() {
			return false
		}
	}
	return true
}

// Active returns the number of waiting and running executions.
func (a *Agent) Active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Active()
}
