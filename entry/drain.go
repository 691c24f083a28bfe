package entry

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

const (
	// assumedTime is how long requests are assumed to take that arrive before callers can
	// know of a stop.
	assumedTime = time.Second
	// cutOffGrace is the time in which the requests that remain at the end of a drain are
	// answered.
	cutOffGrace       = time.Second
	drainPollInterval = 20 * time.Millisecond
)

// StartDraining makes Ready report false from now on. Requests are served for the duration
// of notice, because the load balancer notices the change only after some time. Later ones
// are refused if they may not end before the deadline of ctx.
func (e *Entry) StartDraining(ctx context.Context, notice time.Duration) {
	now := time.Since(e.started)
	drain := &dispatch.Drain{NoticeEnd: now + notice, Deadline: dispatch.NoDeadline}
	if deadline, ok := ctx.Deadline(); ok {
		drain.Deadline = now + time.Until(deadline)
	}
	e.drain.Store(drain)
}

// Drain waits until no request is in progress or ctx ends. Requests that remain then are
// answered that they may have run.
func (e *Entry) Drain(ctx context.Context) error {
	if !e.awaitIdle(ctx) {
		e.logger.Warn("requests remain at the end of the drain", zap.Int64("requests", e.activeRequests.Load()))
		e.endCutOff()
		graceCtx, cancel := context.WithTimeout(e.ctx, cutOffGrace)
		defer cancel()
		e.awaitIdle(graceCtx)
		return ctx.Err()
	}
	return nil
}

// awaitIdle waits until no request is in progress, and returns false if ctx ends before.
func (e *Entry) awaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for e.activeRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// checkDrain returns an error for a request that may take until the limit, if the entry
// stops before that.
func (e *Entry) checkDrain(limit time.Duration) *verdict.Error {
	now := time.Since(e.started)
	drain := e.drain.Load()
	if drain == nil || drain.Allows(now, now, dispatch.Need{Limit: limit, Expected: assumedTime}) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving,
		"this entry stops before the request would end").WithRetryAfter(retryAfterNotReady)
}

// requestContext returns the context of a request, which ends after the limit and at the
// end of a drain.
func (e *Entry) requestContext(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, limit)
	stop := context.AfterFunc(e.cutOff, cancel)
	return ctx, func() { stop(); cancel() }
}

// cutOffFailure returns the failure of a request that ended with the drain in place of one
// that says that its caller canceled it.
func (e *Entry) cutOffFailure(failure *verdict.Error) *verdict.Error {
	if e.cutOff.Err() == nil || failure.Verdict == verdict.NotRun {
		return failure
	}
	return verdict.Wrap(failure, failure.Verdict, verdict.ReasonTimeout, "the entry stopped before the answer")
}
