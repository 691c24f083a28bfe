package gateway

import (
	"context"
	"net/http"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/serviceroom"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// roomUse is what the account of a service counts for one generation.
type roomUse struct {
	// service is nil for a request that needs no room.
	service *serviceRoom
	// id is that of a long generation, 0 for a short one.
	id   uint64
	need int
	// wait is how long the generation waited for room.
	wait time.Duration
	// refusal is set if there was no room.
	refusal *serviceroom.Decision
}

// takeRoom counts the need of a generation before it is placed for the first time, and waits if
// the service has no room for it. If it returns false, the request must not be placed, and the
// result tells why. The need is counted until releaseRoom, also while the generation is placed
// again or moves.
func (x *exchange) takeRoom(ctx context.Context) (dispatch.Result, bool) {
	if x.g.rooms == nil || x.room.service != nil || !x.needsRoom() {
		return dispatch.NoServer, true
	}
	s := x.g.rooms.service(x.service)
	x.room.service, x.room.need = s, x.averageNeed()
	first, whole := x.g.times.usual(x.route, x.metadata.PromptTokens, x.expectedTokens)
	if !serviceroom.Long(whole) {
		s.addShort(x.room.need)
		return dispatch.NoServer, true
	}
	demand := serviceroom.Demand{Caller: x.callerName(), Need: x.room.need, Priority: x.priority,
		Age: time.Since(x.r.arrived), Patience: x.patience(first, whole)}
	if s.tight.Load() {
		demand.Digest = x.requestHash()
	}
	id, waiter := s.arrive(demand)
	x.room.id = id
	if waiter == nil {
		return dispatch.NoServer, true
	}
	return x.awaitRoom(ctx, waiter)
}

// averageNeed returns the memory in tokens that the generation holds on average over its life: its
// prompt and half of the expected output. The generations of a service are at different stages, so
// that is what they need together; the sum of what each needs in the end is never in use.
func (x *exchange) averageNeed() int { return x.metadata.PromptTokens + x.expectedTokens/2 }

// needsRoom reports whether the request is a generation at an engine whose need is known.
func (x *exchange) needsRoom() bool {
	if x.route.Kind != desired.Stream || x.metadata.PromptTokens == 0 {
		return false
	}
	service := x.g.table().Service(x.service)
	return service != nil && service.Engine != nil
}

// patience returns how long the generation can wait for room and still get its first event within
// the objective of its route, or end before its deadline if there is none.
func (x *exchange) patience(first, whole time.Duration) time.Duration {
	patience := x.remaining() - whole
	if x.route.Objective > 0 {
		patience = min(x.remaining(), x.route.Objective-first-time.Since(x.r.arrived))
	}
	return max(0, patience)
}

// awaitRoom waits for the decision about the generation, like takeRoom.
func (x *exchange) awaitRoom(ctx context.Context, waiter <-chan serviceroom.Decision) (dispatch.Result, bool) {
	start, stopping := time.Now(), x.g.rooms.stopping
	defer func() { x.room.wait = time.Since(start) }()
	for {
		select {
		case decision := <-waiter:
			if !decision.Admit {
				x.room.refusal = &decision
				return dispatch.NoServer, false
			}
			x.recordWait(time.Since(start), decision)
			return dispatch.NoServer, true
		case <-ctx.Done():
			return dispatch.NoServer, false
		case <-stopping:
			if x.outlastsDrain() {
				return dispatch.Outlasting, false
			}
			stopping = nil
		}
	}
}

// recordWait counts and logs a generation that was admitted after a wait.
func (x *exchange) recordWait(wait time.Duration, decision serviceroom.Decision) {
	x.g.rooms.metrics.waited.Add(x.service, 1)
	x.g.rooms.metrics.wait.Record(wait)
	lease, share := x.room.service.leaseAndShare(x.callerName())
	x.logger.Info("generation waited for room", zap.String("service", x.service), zap.String("caller", x.callerName()),
		zap.Int("need_tokens", x.room.need), zap.Int("priority", x.priority), zap.Duration("waited_seconds", wait),
		zap.Int("room_tokens", decision.Room), zap.Int("lease_tokens", lease), zap.Int("caller_tokens", decision.Share),
		zap.Int("caller_at_entry_tokens", share))
}

// releaseRoom ends the need of the generation, however it ended.
func (x *exchange) releaseRoom() {
	switch s := x.room.service; {
	case s == nil:
	case x.room.id == 0:
		s.addShort(-x.room.need)
	default:
		s.end(x.room.id)
	}
}

// refuseForRoom refuses a generation for which there is no room.
func (x *exchange) refuseForRoom() {
	d := x.room.refusal
	x.g.metrics.refused.Add(1)
	x.g.rooms.metrics.refused.Add(x.service, 1)
	lease, share := x.room.service.leaseAndShare(x.callerName())
	// A caller that returns before the time loses its turn, so the header is rounded up.
	retryAfter := (d.RetryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, "no room for the generation", verdict.ReasonOverloaded, retryAfter,
		zap.Stringer("cause", d.Reason), zap.String("service", x.service), zap.String("caller", x.callerName()),
		zap.Int("need_tokens", x.room.need), zap.Int("priority", x.priority),
		zap.Duration("waited_seconds", x.room.wait), zap.Int("room_tokens", d.Room),
		zap.Int("lease_tokens", lease), zap.Int("caller_tokens", d.Share), zap.Int("caller_at_entry_tokens", share))
}

// callerName returns the name of the caller, empty if there is none.
func (x *exchange) callerName() string {
	if x.caller == nil {
		return ""
	}
	return x.caller.Name
}
