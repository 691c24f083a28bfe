package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/retry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

const (
	// maxPlainBytes bounds the answer of a plain request, which is read whole
	// before any of it is passed on.
	maxPlainBytes = 8 << 20
	// missAge is the age of the last confirmation up to which a route or key that
	// is not found counts as not declared.
	missAge = time.Second
	// defaultBudget applies to a caller that does not say how long it waits and
	// to a route without a timeout.
	defaultBudget = time.Minute
	// outputShare is the part of a generation's largest length that is expected
	// when the caller gives no estimate and nothing is known of the route.
	outputShare = 0.5
)

// exchange is one request on its way.
type exchange struct {
	g       *Gateway
	r       *request
	rep     *reply
	says    RequestMetadata
	route   *desired.Route
	caller  *desired.Caller
	service string
	prio    int
	blocks  int
	// expected is the predicted length of the answer in tokens.
	expected int
	// deadline is when the caller or the route gives up.
	deadline time.Time
	machine  *dispatch.Machine
	tried    []string
	// sent is when the last attempt went to a server.
	sent time.Time
	// suspect tells that the request was under way at crashes of servers.
	suspect bool
	logger  *zap.Logger
}

// handle answers one request.
func (g *Gateway) handle(ctx context.Context, r *request, rep *reply) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.metrics.requests.Add(1)
	x := &exchange{g: g, r: r, rep: rep, says: g.options.Dialect.ReadRequest(r.Header)}
	x.logger = g.logger.With(zap.String("request_id", x.says.ID))
	if !x.admit() || x.heldBack() {
		return
	}
	budget := defaultBudget
	if x.says.Timeout > 0 {
		budget = min(budget, x.says.Timeout)
	}
	budget = min(budget, x.route.Timeout)
	x.deadline = r.arrived.Add(budget)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.service = x.route.Target(g.draw())
	g.services.budgeted(x.service, func(b *retry.Budget) {
		x.machine = dispatch.New(g.elapsed(), x.route.Kind, x.route.MaxAttempts, b)
	})
	x.run(ctx)
	g.metrics.whole.Record(time.Since(r.arrived))
	if rep.started {
		g.metrics.statuses.Add(strconv.Itoa(rep.status), 1)
	}
}

// admit finds the route and caller of a request, or answers it.
func (x *exchange) admit() bool {
	g := x.g
	view := g.options.Fleet.View()
	age, confirmed := g.options.Fleet.ConfirmedAge()
	if view.Table == nil || !confirmed {
		x.refuse("no desired state is known", verdict.ReasonNotReady)
		return false
	}
	x.logger = x.logger.With(zap.Uint64("revision", view.Version), zap.Duration("confirmed_age", age))
	x.route = view.Table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return x.miss(age, http.StatusNotFound, "no route matches", verdict.ReasonUnknownService)
	}
	x.prio = x.route.Priority
	if view.Table.State.HasCallers && !x.route.Anonymous {
		if g.options.MaxConfirmedAge > 0 && age > g.options.MaxConfirmedAge {
			x.refuse("keys can not be checked without the control group", verdict.ReasonNotReady)
			return false
		}
		if x.caller = view.Table.Caller(x.says.Key); x.caller == nil {
			return x.miss(age, http.StatusUnauthorized, "the key is not known", verdict.ReasonUnauthorized)
		}
		if x.caller.HasPriority {
			x.prio = x.caller.Priority
		}
	}
	var most int
	x.expected, most = g.lengths.expect(x.route.Name, x.says)
	x.blocks = blocksNeeded(x.says, x.expected)
	if left := time.Duration(g.drainEnd.Load()) - g.elapsed(); g.draining.Load() && x.route.Kind == desired.Stream &&
		!dispatch.FitsDrain(most, left) {
		x.refuse("this entry stops before the generation would end", verdict.ReasonLeaving)
		return false
	}
	return true
}

// miss answers a request that the desired state does not allow. A copy that may
// be old refuses instead, because a newer one may allow it.
func (x *exchange) miss(age time.Duration, status int, text string, reason verdict.Reason) bool {
	if age > missAge {
		x.refuse(text+" in a copy that may be old", verdict.ReasonNotReady)
		return false
	}
	x.fail(status, verdict.NotRun, text, reason, 0)
	return false
}

func blocksNeeded(says RequestMetadata, expected int) int {
	return max(1, (says.PromptTokens+expected)/blockTokens)
}

func (x *exchange) left() time.Duration { return time.Until(x.deadline) }

// run makes attempts until one ends the request.
func (x *exchange) run(ctx context.Context) {
	for {
		server, u, result, err := x.attempt(ctx)
		if ctx.Err() != nil && result != dispatch.Answered {
			x.giveUp(ctx, u, result, err)
			return
		}
		body, result, err := x.readPlain(u, result, err)
		x.account(server, u, result)
		if result == dispatch.Lost {
			x.brokeOff(ctx, server)
		}
		var action dispatch.Action
		x.g.services.budgeted(x.service, func(*retry.Budget) {
			action = x.machine.Ended(x.g.elapsed(), result, x.left())
		})
		x.logAttempt(server, u, result, action, err)
		switch action {
		case dispatch.Retry:
			x.g.metrics.retried.Add(1)
			u.discard()
			continue
		case dispatch.Reply:
			x.answer(ctx, u, body)
		case dispatch.Refuse:
			u.discard()
			x.refuse("no backend server took the request", verdict.ReasonOverloaded)
		case dispatch.Fail:
			u.discard()
			x.fail(http.StatusBadGateway, verdict.MayHaveRun, "the backend server gave no sound answer", verdict.ReasonConnectionLost, 0)
		}
		return
	}
}

// discard closes an upstream that may be nil.
func (u *upstream) discard() {
	if u != nil {
		u.close()
	}
}

// Priorities at engines. An engine preempts running generations for more urgent
// ones and reads their prompts again later, so new generations are equal there,
// and one that goes on elsewhere is not preempted for new ones.
const (
	movedGeneration = 2
	newGeneration   = 5
)

func (x *exchange) forward(server backend.Server) ForwardMetadata {
	f := ForwardMetadata{Remaining: x.left(), ServerID: server.ID, Priority: x.prio}
	if x.route.Kind == desired.Stream {
		f.Priority = newGeneration
	}
	if x.caller != nil {
		f.Caller = x.caller.Name
	}
	return f
}

// readPlain reads the whole answer of a request that is not a stream, so that an
// answer that breaks off can still be replaced.
func (x *exchange) readPlain(u *upstream, result dispatch.Result, err error) ([]byte, dispatch.Result, error) {
	if u == nil || result == dispatch.Refused || result == dispatch.Lost || x.streams(u) {
		return nil, result, err
	}
	body, err := io.ReadAll(io.LimitReader(u.response.Body, maxPlainBytes+1))
	if err != nil {
		return nil, dispatch.Lost, err
	}
	if len(body) > maxPlainBytes {
		return nil, dispatch.Lost, fmt.Errorf("the answer has more than %d bytes", maxPlainBytes)
	}
	return body, result, nil
}

func (x *exchange) streams(u *upstream) bool {
	return x.route.Kind == desired.Stream && u.response.StatusCode < http.StatusMultipleChoices
}

// account tells placement what became of an attempt.
func (x *exchange) account(server backend.Server, u *upstream, result dispatch.Result) {
	if server.ID == "" {
		return
	}
	outcome := placement.Outcome{Server: server.ID, Blocks: x.blocks, Priority: x.prio}
	switch result {
	case dispatch.Answered, dispatch.ServerError:
		outcome.Result = placement.Completed
		if u != nil && x.streams(u) {
			outcome.Result = placement.Accepted
		} else {
			x.succeeded()
		}
	case dispatch.Refused:
		outcome.Result = placement.Refused
		if u.response.StatusCode == http.StatusMisdirectedRequest {
			x.g.services.avoid(x.g.elapsed(), server.ID)
		}
	default:
		outcome.Result = placement.Failed
	}
	x.g.services.report(x.g.elapsed(), x.service, outcome)
}

// answer passes the last response on.
func (x *exchange) answer(ctx context.Context, u *upstream, body []byte) {
	defer u.close()
	if x.streams(u) {
		x.stream(ctx, u)
		return
	}
	x.g.metrics.firstByte.Record(time.Since(x.r.arrived))
	header := endToEnd(u.response.Header)
	if err := x.rep.whole(u.response.StatusCode, header, body); err != nil {
		x.logger.Info("the caller did not take the answer", zap.Error(err))
	}
}

// giveUp ends a request whose caller is gone or whose time is over.
func (x *exchange) giveUp(ctx context.Context, u *upstream, result dispatch.Result, err error) {
	u.discard()
	if x.left() > 0 {
		x.g.metrics.gone.Add(1)
		x.logger.Info("caller gone before the answer", zap.Int("attempts", x.machine.Tries()+1), zap.Error(ctx.Err()))
		x.rep.last = true
		return
	}
	if !x.machine.MayHaveRun() && (result == dispatch.NotSent || result == dispatch.NoServer || result == dispatch.Refused) {
		x.refuse("no backend server took the request in time", verdict.ReasonDeadline)
		return
	}
	x.logger.Info("time is over", zap.Int("attempts", x.machine.Tries()+1), zap.Error(err))
	x.fail(http.StatusGatewayTimeout, verdict.MayHaveRun, "the request's time is over", verdict.ReasonDeadline, 0)
}

// refuse answers that the request did not run and when to come back.
func (x *exchange) refuse(text string, reason verdict.Reason) {
	x.g.metrics.refused.Add(1)
	wait := dispatch.RetryAfter(reason == verdict.ReasonNotReady, x.says.Timeout, x.g.draw())
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, text, reason, wait)
}

// fail sends an answer of the system's own.
func (x *exchange) fail(status int, v verdict.Verdict, text string, reason verdict.Reason, retryAfter time.Duration) {
	if v != verdict.NotRun {
		x.g.metrics.failed.Add(1)
	}
	x.logger.Info("request not served", zap.Int("status", status), zap.String("reason", string(reason)), zap.String("detail", text),
		zap.String("verdict", v.String()), zap.String("route", x.routeName()), zap.Duration("retry_after_seconds", retryAfter))
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(verdictHeader, v.String())
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := fmt.Sprintf("{\"error\":{\"message\":%q,\"code\":%q,\"verdict\":%q,\"retry_after_ms\":%d}}\n",
		text, string(reason), v.String(), retryAfter.Milliseconds())
	if err := x.rep.whole(status, header, []byte(body)); err != nil {
		x.logger.Info("the caller did not take the answer", zap.Error(err))
	}
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) logAttempt(server backend.Server, u *upstream, result dispatch.Result, action dispatch.Action, err error) {
	status := 0
	if u != nil {
		status = u.response.StatusCode
	}
	x.logger.Info("attempt ended", zap.String("backend_server", server.ID), zap.String("route", x.route.Name),
		zap.Stringer("result", result), zap.Stringer("action", action), zap.Int("status", status),
		zap.Duration("left_seconds", x.left()), zap.Error(err))
}
