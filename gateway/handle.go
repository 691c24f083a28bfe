package gateway

import (
	"cmp"
	"context"
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
	// maxBufferedBytes bounds the response body of a plain request, which is read
	// completely before any of it is forwarded.
	maxBufferedBytes = 8 << 20
	// maxNotFoundAge is the age of the last confirmation up to which a route or key
	// that is not found counts as not declared.
	maxNotFoundAge = time.Second
	// defaultTimeout applies if the route declares no timeout.
	defaultTimeout = time.Minute
	// defaultOutputFraction is the fraction of the maximum output length that is
	// expected if the caller gives no estimate and no output of the route is known.
	defaultOutputFraction = 0.5
)

// exchange is the state of a request while it is served.
type exchange struct {
	g        *Gateway
	r        *request
	w        *responseWriter
	metadata RequestMetadata
	route    *desired.Route
	caller   *desired.Caller
	service  string
	priority int
	blocks   int
	// expectedTokens is the predicted output length, and p90Tokens the length that nine of
	// ten such outputs stay within.
	expectedTokens, p90Tokens int
	// deadline is the earlier of the deadlines of the caller and the route.
	deadline time.Time
	retrier  *dispatch.Retrier
	tried    []string
	// limitedServers are the servers that did not get the last attempt because their
	// limits are used up.
	limitedServers []string
	// restingServers are the servers that did not get the last attempt because they rest.
	restingServers []string
	// sentAt is when the last attempt was sent, and reservation its reservation.
	sentAt      time.Time
	reservation string
	// probe is the failing server that this request probes, empty for none.
	probe string
	// withheld is set if the last attempt was not sent, because the failure domain of its
	// server was evacuated or its permit ended.
	withheld bool
	// permitUntil is when the permit for a server that is cold ends, 0 if none is needed.
	permitUntil time.Duration
	// late waits for the first byte of the last attempt's answer.
	late *lateWatch
	// suspect is set if servers crashed while running the request.
	suspect bool
	// begun is set when a server began to answer the request.
	begun bool
	// room is the memory at the service that is counted for a generation.
	room roomUse
	// position is the place up to which the caller has the stream.
	position streamPosition
	// resumes is how often the generation was sent to a server to which it was moved.
	resumes int
	// buffers is the memory that the response holds.
	buffers budgetShare
	logger  *zap.Logger
}

// handle serves one request.
func (g *Gateway) handle(ctx context.Context, r *request, w *responseWriter) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	g.metrics.requests.Add(1)
	x := &exchange{g: g, r: r, w: w, metadata: g.options.Dialect.ReadRequest(r.Header),
		buffers: budgetShare{budget: g.memory}}
	defer x.buffers.release()
	defer x.releaseRoom()
	x.position = newStreamPosition(x.metadata.LastEventID)
	x.logger = g.logger.With(zap.String("request_id", x.metadata.ID))
	if !x.admit() || x.refuseQuarantined() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	g.services.withRetryBudget(x.service, func(b *retry.Budget) {
		x.retrier = dispatch.New(g.elapsed(), x.route.Kind, x.route.MaxAttempts, b)
	})
	x.run(ctx)
	duration := time.Since(r.arrived)
	g.metrics.requestDuration.Record(duration)
	if x.route.Kind != desired.Stream && !x.sentAt.IsZero() {
		g.times.observeCall(x.route.Name, duration)
	}
	if w.started {
		g.metrics.statuses.Add(strconv.Itoa(w.status), 1)
	}
}

// timeLimit returns how long the request may take: as long as its route allows and its
// caller waits.
func (x *exchange) timeLimit() time.Duration {
	timeout := cmp.Or(x.route.Timeout, defaultTimeout)
	if x.metadata.Timeout > 0 {
		timeout = min(timeout, x.metadata.Timeout)
	}
	return timeout
}

// admit determines the route, service, caller and priority of the request and predicts its
// output length. It returns false if it rejected the request.
func (x *exchange) admit() bool {
	g := x.g
	// The age is read before the view, which is then at least as new as the confirmed one.
	age, confirmed := g.options.Fleet.ConfirmedAge()
	view := g.options.Fleet.View()
	if view.Table == nil || !confirmed {
		x.refuse("no desired state is known", verdict.ReasonNotReady)
		return false
	}
	x.logger = x.logger.With(zap.Uint64("revision", view.Version), zap.Duration("confirmed_age", age))
	x.route = view.Table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return x.rejectUndeclared(age, http.StatusNotFound, "no route matches", verdict.ReasonUnknownService)
	}
	x.priority = x.route.Priority
	if view.Table.State.HasCallers && !x.route.Anonymous {
		if g.options.MaxConfirmedAge > 0 && age > g.options.MaxConfirmedAge {
			x.refuse("keys can not be checked without the control group", verdict.ReasonNotReady)
			return false
		}
		if x.caller = view.Table.Caller(x.metadata.Key); x.caller == nil {
			return x.rejectUndeclared(age, http.StatusUnauthorized, "the key is not known", verdict.ReasonUnauthorized)
		}
		if x.caller.HasPriority {
			x.priority = x.caller.Priority
		}
	}
	x.service = x.route.PickService(g.random())
	x.expectedTokens, x.p90Tokens = g.lengths.predict(x.route.Name, x.metadata)
	x.blocks = neededBlocks(x.metadata, x.expectedTokens)
	x.deadline = x.r.arrived.Add(x.timeLimit())
	if x.outlastsDrain() {
		x.refuseStopping()
		return false
	}
	return true
}

// neededBlocks returns the memory that the request is expected to need.
func neededBlocks(metadata RequestMetadata, expectedTokens int) int {
	return max(1, (metadata.PromptTokens+expectedTokens)/blockTokens)
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// run makes attempts until the request is answered or fails.
func (x *exchange) run(ctx context.Context) {
	for {
		server, u, result, err := x.attempt(ctx)
		if ctx.Err() != nil && result != dispatch.Answered {
			x.abandon(ctx, u, result, err)
			return
		}
		body, result, err := x.bufferResponse(u, result, err)
		if result == dispatch.Lost && isStopping(ctx) {
			x.abandon(ctx, u, result, err)
			return
		}
		x.reportAttempt(server, u, result)
		if result == dispatch.Lost {
			x.reportCrash(ctx, server)
		}
		x.acquireRetry(ctx, result)
		var action dispatch.Action
		x.g.services.withRetryBudget(x.service, func(*retry.Budget) {
			action = x.retrier.Ended(x.g.elapsed(), result, x.remaining())
		})
		x.logAttempt(server, u, result, action, err)
		switch action {
		case dispatch.Retry:
			x.g.metrics.retried.Add(1)
			u.discard()
			continue
		case dispatch.Reply:
			x.forwardResponse(ctx, u, body)
		case dispatch.Refuse:
			u.discard()
			x.refuseUnplaced(result)
		case dispatch.Fail:
			u.discard()
			x.fail(http.StatusBadGateway, verdict.MayHaveRun, "the backend server gave no sound answer",
				verdict.ReasonConnectionLost, 0)
		}
		return
	}
}

// discard closes u, which may be nil.
func (u *upstream) discard() {
	if u != nil {
		u.close()
	}
}

// Priorities of generations at engines. An engine preempts running generations for
// more urgent ones and has to prefill their prompts again later. Therefore all new
// generations have the same priority there, and a resumed one is more urgent, so
// that it is not preempted for new ones.
const (
	resumedPriority = 2
	newPriority     = 5
)

// forwardMetadata returns the metadata for an attempt at server.
func (x *exchange) forwardMetadata(server backend.Server) ForwardMetadata {
	f := ForwardMetadata{Remaining: x.remaining(), ServerID: server.ID, Priority: x.priority}
	if x.route.Kind == desired.Stream {
		f.Priority = newPriority
	}
	if x.caller != nil {
		f.Caller = x.caller.Name
	}
	return f
}

// bufferResponse reads the complete body of a response that is not a stream, so
// that the request can still be retried if the connection breaks.
func (x *exchange) bufferResponse(u *upstream, result dispatch.Result, err error) ([][]byte, dispatch.Result, error) {
	if u == nil || result == dispatch.Refused || result == dispatch.Lost || x.isStream(u) {
		return nil, result, err
	}
	x.buffers.release()
	x.answerBegan(u)
	body, err := x.buffers.readAll(u.response.Body, maxBufferedBytes)
	if err != nil {
		return nil, dispatch.Lost, err
	}
	return body, result, nil
}

// isStream reports whether the response is forwarded as a stream of events.
func (x *exchange) isStream(u *upstream) bool {
	return x.route.Kind == desired.Stream && u.response.StatusCode < http.StatusMultipleChoices
}

// reportAttempt reports the result of an attempt to placement.
func (x *exchange) reportAttempt(server backend.Server, u *upstream, result dispatch.Result) {
	if server.ID == "" {
		return
	}
	if u == nil || !x.isStream(u) {
		x.late.stop()
	}
	var outcome placement.Outcome
	switch result {
	case dispatch.Answered:
		outcome = x.outcome(server.ID, placement.Completed)
		if u != nil && x.isStream(u) {
			outcome.Result = placement.Accepted
		} else {
			x.clearSuspicion()
			x.observe(server, false)
		}
	case dispatch.ServerError:
		outcome = x.outcome(server.ID, placement.Failed)
		x.clearSuspicion()
		x.observe(server, true)
	case dispatch.Refused:
		outcome = x.outcome(server.ID, placement.Refused)
		if x.refusedReserved(u, result) {
			x.g.services.observe(x.g.elapsed(), x.service, x.outcome(server.ID, placement.Failed))
			x.observe(server, true)
		}
		if u.response.StatusCode == http.StatusMisdirectedRequest {
			x.g.services.avoid(x.g.elapsed(), server.ID)
		}
	case dispatch.NotSent:
		if x.withheld || x.g.notices.resting(server.ID) {
			outcome = x.outcome(server.ID, placement.NotSent)
			break
		}
		fallthrough
	default:
		outcome = x.outcome(server.ID, placement.Failed)
		x.observe(server, true)
	}
	x.g.services.reportOutcome(x.g.elapsed(), x.service, outcome)
}

// forwardResponse sends the response of the last attempt to the caller.
func (x *exchange) forwardResponse(ctx context.Context, u *upstream, body [][]byte) {
	defer u.close()
	if x.isStream(u) {
		if isStopping(ctx) {
			// The head is not sent yet, so the caller can still get an answer that is whole.
			x.reportResult(u.server.ID, placement.Canceled)
			x.late.stop()
			x.cutOff(dispatch.Answered)
			return
		}
		x.forwardStream(ctx, u)
		return
	}
	x.g.metrics.firstByte.Record(time.Since(x.r.arrived))
	header := endToEnd(u.response.Header)
	x.w.untilClose = u.framing() == framingClose
	if err := x.w.writeResponse(u.response.StatusCode, header, body...); err != nil {
		x.logger.Info("the caller did not take the answer", zap.Error(err))
	}
}

// abandon ends a request whose caller disconnected, whose deadline passed or that remained
// at the end of the drain.
func (x *exchange) abandon(ctx context.Context, u *upstream, result dispatch.Result, err error) {
	u.discard()
	x.late.stop()
	if isStopping(ctx) {
		x.cutOff(result)
		return
	}
	if x.remaining() > 0 {
		x.g.metrics.callersGone.Add(1)
		x.logger.Info("caller gone before the answer", zap.Int("attempts", x.retrier.Attempts()+1), zap.Error(ctx.Err()))
		x.w.closeAfter = true
		return
	}
	if !x.retrier.MayHaveRun() && wasNotRun(result) {
		x.refuse("no backend server took the request in time", verdict.ReasonDeadline)
		return
	}
	x.logger.Info("time is over", zap.Int("attempts", x.retrier.Attempts()+1), zap.Error(err))
	x.fail(http.StatusGatewayTimeout, verdict.MayHaveRun, "the request's time is over", verdict.ReasonDeadline, 0)
}

func (x *exchange) logAttempt(server backend.Server, u *upstream, result dispatch.Result, action dispatch.Action,
	err error) {
	status := 0
	if u != nil {
		status = u.response.StatusCode
	}
	x.logger.Info("attempt ended", zap.String("backend_server", server.ID), zap.String("route", x.route.Name),
		zap.Stringer("result", result), zap.Stringer("action", action), zap.Int("status", status),
		zap.Duration("left_seconds", x.remaining()), zap.Error(err))
}
