package entry

import (
	"context"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

const (
	// maxBeginAttempts bounds the BeginCall requests of one call. They carry the same
	// request id, so after a lost reply the call finds its own record.
	maxBeginAttempts = 3
	beginTimeout     = 2 * time.Second
	// maxUndispatched bounds the number of requests in undispatchedCalls.
	maxUndispatched    = 4096
	initialFinishDelay = 200 * time.Millisecond
	maxFinishDelay     = 30 * time.Second
	// finishRetryTimeout is how long an entry retries to record the outcome of a
	// call.
	finishRetryTimeout = 10 * time.Minute
)

// undispatchedCalls remembers the requests of this entry that may have a record in
// the ledger but provably did not run. The oldest ones are dropped first.
type undispatchedCalls struct {
	mu    sync.Mutex
	ids   map[message.RequestID]struct{}
	order []message.RequestID
}

func (u *undispatchedCalls) add(id message.RequestID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = map[message.RequestID]struct{}{}
	}
	if len(u.order) >= maxUndispatched {
		delete(u.ids, u.order[0])
		u.order = u.order[1:]
	}
	u.ids[id] = struct{}{}
	u.order = append(u.order, id)
}

func (u *undispatchedCalls) contains(id message.RequestID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ids[id]
	return ok
}

// begin records the call on a quorum before it is dispatched. It returns the
// recorded response if the call has already run.
func (c *plainCall) begin(ctx context.Context) (*message.ForwardReply, *verdict.Error) {
	reply, err := c.recordBegin(ctx)
	if err != nil {
		// Nothing was dispatched, so the call did not run. If its record was committed
		// nevertheless, it must not block the caller's key.
		c.releaseKey(ctx, c.id)
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonNoQuorum,
			"the call could not be recorded").WithRetryAfter(retryAfterNoQuorum)
	}
	switch reply.State {
	case message.CallNew:
		return nil, nil
	case message.CallConflict:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonKeyConflict,
			"the idempotency key was used with another body")
	case message.CallFinished:
		return recordedReply(reply.Response)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyUnknownEnd,
		"the call was started before and its end is not known").WithRetryAfter(retryAfterNoQuorum)
}

// recordedReply returns the recorded response of a call that has already run.
func recordedReply(r message.RecordedResponse) (*message.ForwardReply, *verdict.Error) {
	if r.Truncated || checkHead(r.Status, r.HTTPHeader) != nil {
		return nil, verdict.New(verdict.Ran, verdict.ReasonKeyUnknownEnd, "the call has run, and its answer is not kept")
	}
	return &message.ForwardReply{Verdict: verdict.Ran, Status: r.Status, HTTPHeader: r.HTTPHeader, Body: r.Body,
		Unframed: r.Unframed}, nil
}

// recordBegin records the start of the call in the ledger and retries lost
// requests. An existing record of this request counts as new, because only the
// reply to an earlier attempt was lost. A record of an earlier request of this
// entry that was never dispatched is released first. Taking over its id instead
// would not be safe, because its release may still be in flight.
func (c *plainCall) recordBegin(ctx context.Context) (reply message.BeginCallReply, err error) {
	e := c.entry
	request := message.BeginCallRequest{
		Header: e.options.Fleet.Header(), Key: c.key, BodyDigest: c.request.Digest,
		Request: c.id, Retention: e.options.LedgerRetention,
	}
	for range maxBeginAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, beginTimeout)
		reply, err = e.options.Ledger.BeginCall(attemptCtx, request)
		cancel()
		switch {
		case ctx.Err() != nil:
			return reply, ctx.Err()
		case err != nil:
			continue
		case reply.State != message.CallStarted && reply.State != message.CallConflict:
			return reply, nil
		case reply.State == message.CallStarted && reply.Request == c.id:
			reply.State = message.CallNew
			return reply, nil
		case !e.undispatched.contains(reply.Request):
			return reply, nil
		}
		if e.finishCall(ctx, c.finishRequest(reply.Request, verdict.NotRun)) != nil {
			return reply, nil
		}
	}
	return reply, err
}

func (c *plainCall) finishRequest(id message.RequestID, v verdict.Verdict) message.FinishCallRequest {
	return message.FinishCallRequest{Header: c.entry.options.Fleet.Header(), Key: c.key, Request: id, Verdict: v}
}

// recordOutcome records the outcome of a dispatched call.
func (c *plainCall) recordOutcome(ctx context.Context, reply *message.ForwardReply, failure *verdict.Error) {
	if failure != nil && failure.Verdict == verdict.NotRun {
		c.releaseKey(ctx, c.id)
		return
	}
	request := c.finishRequest(c.id, verdict.Ran)
	if failure != nil {
		request.Verdict = failure.Verdict
	} else {
		request.Response = message.RecordedResponse{Status: reply.Status, HTTPHeader: reply.HTTPHeader, Body: reply.Body,
			Unframed: reply.Unframed}
	}
	c.entry.finishCallWithRetry(ctx, request)
}

// releaseKey frees the idempotency key of a request that provably did not run.
func (c *plainCall) releaseKey(ctx context.Context, id message.RequestID) {
	c.entry.undispatched.add(id)
	c.entry.finishCallWithRetry(ctx, c.finishRequest(id, verdict.NotRun))
}

func (e *Entry) finishCall(ctx context.Context, request message.FinishCallRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.StartTimeout)
	defer cancel()
	return e.options.Ledger.FinishCall(ctx, request)
}

// finishCallWithRetry records the outcome of a call before the response is sent, so
// that the caller can use the key again at once. If that fails, for example without
// a quorum, it retries in the background.
func (e *Entry) finishCallWithRetry(ctx context.Context, request message.FinishCallRequest) {
	if e.finishCall(ctx, request) == nil {
		return
	}
	e.logger.Warn("could not record the outcome of a call; retrying in the background",
		zap.String("request_id", string(request.Request)))
	go func() {
		delay := initialFinishDelay
		for deadline := time.Now().Add(finishRetryTimeout); time.Now().Before(deadline); delay = min(2*delay, maxFinishDelay) {
			select {
			case <-e.ctx.Done():
				return
			case <-time.After(delay):
			}
			if e.finishCall(e.ctx, request) == nil {
				return
			}
		}
	}()
}
