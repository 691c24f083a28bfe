package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// drainPollInterval is the interval at which Drain checks for remaining requests.
	drainPollInterval = 50 * time.Millisecond
	// drainIdleGrace is how long connections without a request stay open after the
	// listener was closed and after their last request. A request that was sent before the
	// caller could know of the stop arrives meanwhile.
	drainIdleGrace = 500 * time.Millisecond
	// handOverTime is the time before the end of the drain from which the kernel may hold
	// twice handOverBytes of each answer that its caller has not received. Linux allows that
	// many by default; asking for more could shrink a buffer that the kernel has made larger.
	handOverTime  = 500 * time.Millisecond
	handOverBytes = 212992
	// cutOffGrace is the time after the end of the drain in which the requests that
	// remain are answered and their callers read the answers.
	cutOffGrace = 200 * time.Millisecond
)

// errStopping is the cause with which the requests that remain at the end of the drain are
// canceled.
var errStopping = errors.New("the entry stops")

// Drain makes Ready report false, accepts requests for the duration of notice so
// that load balancers can react, closes the listener, and then waits until no request
// remains or ctx ends. Requests that remain then are cut off with an answer.
func (g *Gateway) Drain(ctx context.Context, notice time.Duration, listener net.Listener) {
	until := dispatch.NoDeadline
	if deadline, ok := ctx.Deadline(); ok {
		until = g.elapsed() + time.Until(deadline)
	}
	drain := dispatch.NewDrain(g.elapsed(), notice, until)
	g.drain.Store(drain)
	g.rooms.stop()
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
	g.stopAccepting(listener)
	listenerClosed := time.Now()
	for ctx.Err() == nil && g.closeIdle(listenerClosed) > 0 {
		if drain.Deadline-g.elapsed() < handOverTime {
			g.handOver()
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
	left, open := g.activeRequests.Load(), g.connections()
	g.cutOff()
	g.logger.Info("drained", zap.Int64("requests_left", left), zap.Int("connections_left", open),
		zap.Int("connections_at_exit", g.connections()), zap.Int64("cut_off", g.metrics.cutOff.Value()),
		zap.Int64("discarded", g.metrics.stopDiscarded.Value()),
		zap.Int64("discarded_unannounced", g.metrics.stopUnannounced.Value()),
		zap.Duration("since_stop_seconds", g.elapsed()-drain.Began))
}

// handOver lets the kernel take what callers that read slowly have not received yet. It sends
// that after the end of the process, so that an answer is not cut off which its server has
// finished.
func (g *Gateway) handOver() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if tcp, ok := c.conn.(*net.TCPConn); ok && c.isServing() {
			if err := wire.RaiseSendBuffer(tcp, handOverBytes); err != nil {
				g.logger.Debug("cannot raise the send buffer of a connection", zap.Error(err))
			}
		}
	}
}

// connections returns the number of connections from callers that are open.
func (g *Gateway) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// closeIdle makes idle connections close after a grace, and returns the number of
// connections that are still open.
func (g *Gateway) closeIdle(listenerClosed time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.closeIdle(listenerClosed)
	}
	return len(g.conns)
}

// cutOff ends the requests that remain and waits until their connections are closed or
// cutOffGrace is over. A process that ends while a connection holds unread bytes resets it,
// and the caller could lose the last response.
func (g *Gateway) cutOff() {
	g.mu.Lock()
	for c := range g.conns {
		c.cutOff()
	}
	g.mu.Unlock()
	for end := time.Now().Add(cutOffGrace); g.connections() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval / 10)
	}
}

// isStopping reports whether the request was canceled at the end of the drain.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// outlastsDrain reports whether the entry drains and the request, if it is passed on now,
// may take longer than that.
func (x *exchange) outlastsDrain() bool {
	drain := x.g.drain.Load()
	if drain == nil {
		return false
	}
	now, arrived := x.g.elapsed(), x.r.arrived.Sub(x.g.started)
	return !drain.Allows(now, arrived, x.need())
}

// need returns how long the request may take. A retried call is expected to take at least
// as long as its last attempt did.
func (x *exchange) need() dispatch.Need {
	need := dispatch.Need{Limit: x.remaining()}
	if x.route.Kind != desired.Stream {
		need.Expected = x.g.times.callBound(x.route)
		if !x.sentAt.IsZero() && need.Expected > 0 {
			need.Expected = max(need.Expected, time.Since(x.sentAt))
		}
		return need
	}
	need.Streamed = true
	need.Expected = x.g.times.generation(x.route, x.metadata.PromptTokens, x.p90Tokens)
	return need
}

// refuseStopping refuses a request that may take longer than the drain.
func (x *exchange) refuseStopping() {
	drain, need := x.g.drain.Load(), x.need()
	x.g.metrics.refused.Add(1)
	retryAfter := dispatch.RetryAfter(false, x.metadata.Timeout, x.g.random())
	if x.g.elapsed() >= drain.NoticeEnd {
		retryAfter = dispatch.RetryElsewhere(x.metadata.Timeout, x.g.random())
	}
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, "this entry stops before the request would end", verdict.ReasonLeaving,
		retryAfter, zap.Duration("drain_left_seconds", drain.Deadline-x.g.elapsed()),
		zap.Duration("expected_seconds", need.Expected), zap.Duration("limit_seconds", need.Limit))
}

// cutOff answers a request that remained at the end of the drain and has no answer yet.
func (x *exchange) cutOff(result dispatch.Result) {
	if !x.retrier.MayHaveRun() && wasNotRun(result) {
		x.g.metrics.refused.Add(1)
		x.fail(http.StatusServiceUnavailable, verdict.NotRun, "this entry stops", verdict.ReasonLeaving,
			dispatch.RetryElsewhere(x.metadata.Timeout, x.g.random()))
		return
	}
	x.g.metrics.cutOff.Add(1)
	x.fail(http.StatusBadGateway, verdict.MayHaveRun, "this entry stopped before the answer", verdict.ReasonLeaving, 0)
}

// wasNotRun reports whether an attempt with the result was certainly not run.
func wasNotRun(result dispatch.Result) bool {
	return result == dispatch.NotSent || result == dispatch.NoServer || result == dispatch.Refused ||
		result == dispatch.Outlasting
}
