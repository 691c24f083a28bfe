package gateway

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/retry"
	"go.uber.org/zap"
)

// RetryGranter grants retries beyond what an entry's own requests allow, from the slack that
// all entries share.
type RetryGranter interface {
	// AcquireRetries returns how many of n retries are granted, and if none are, when to ask
	// again.
	AcquireRetries(ctx context.Context, service string, n int) (granted int, again time.Duration, err error)
}

const (
	// grantRetryDelay is the delay after a request for retries that was not answered.
	grantRetryDelay = time.Second
)

// acquireRetry asks for a grant if the request is to be retried and the entry's own budget is
// used up.
func (x *exchange) acquireRetry(ctx context.Context, result dispatch.Result) {
	if x.g.options.RetryGrants == nil {
		return
	}
	asked := x.g.elapsed()
	needed := false
	x.g.services.withRetryBudget(x.service, func(b *retry.Budget) {
		needed = x.retrier.WantsBudget(result, x.remaining()) && b.NeedsGrant(asked)
	})
	if !needed {
		return
	}
	granted, again, err := x.g.options.RetryGrants.AcquireRetries(ctx, x.service, 1)
	if err != nil {
		granted, again = 0, grantRetryDelay
	}
	x.g.services.withRetryBudget(x.service, func(b *retry.Budget) { b.Grant(asked, granted, again) })
	if granted == 0 {
		x.logger.Info("no retries granted", zap.String("service", x.service), zap.Duration("ask_again_seconds", again), zap.Error(err))
	}
}
