package agent

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
)

// Service implements the net/rpc service "Agent".
type Service struct{ agent *Agent }

// Service returns the agent's net/rpc service.
func (a *Agent) Service() *Service { return &Service{a} }

// exchangeHeaders processes the header of a request and returns the header of its
// reply.
func (a *Agent) exchangeHeaders(received message.Header) message.Header {
	a.options.Fleet.Observe(received)
	return a.options.Fleet.Header()
}

// Start admits a generation, or refuses it.
func (s *Service) Start(request message.StartRequest, reply *message.StartReply) error {
	a := s.agent
	reply.Header = a.exchangeHeaders(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	duplicate, b, refusal := a.admit(
		now, request.Execution, request.Caller, request.AgentIncarnation, request.BackendServer)
	if refusal != nil {
		reply.State, reply.Refusal = message.StartRefused, *refusal
		return nil
	}
	if duplicate {
		reply.State = message.StartAccepted
		return nil
	}
	r := newRun(request, b)
	state, refusal := b.submit(r)
	if refusal != nil {
		a.table.End(now, request.Execution, verdict.NotRun)
		reply.Refusal = *refusal
	} else {
		a.runs[request.Execution] = r
	}
	reply.State, reply.Load = state, b.loadHint()
	return nil
}

// admit checks the table and then the backend server. The table comes first,
// because a duplicate start of a running execution must not be refused as not run
// when its backend server has begun to leave. It returns whether the start is a
// duplicate, and the backend server if it is not. The caller holds a.mu.
func (a *Agent) admit(
	now time.Time, id message.ExecutionID, caller string, target message.Incarnation, server string,
) (bool, *backendServer, *message.Refusal) {
	duplicate, refusal := a.table.Start(now, id, caller, target)
	if refusal != nil || duplicate {
		return duplicate, nil, refusal
	}
	b, refusal := a.findBackend(server)
	if refusal != nil {
		a.table.End(now, id, verdict.NotRun)
		return false, nil, refusal
	}
	return false, b, nil
}

// Cancel stops an execution. A waiting one is removed from the queue.
func (s *Service) Cancel(request message.CancelRequest, reply *message.CancelReply) error {
	a := s.agent
	reply.Header = a.exchangeHeaders(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[request.Execution]
	reply.Known = ok
	if ok {
		r.setDelivered()
		a.cancelRun(r, verdict.ReasonCanceled, "canceled")
	}
	return nil
}

// Bury places a tombstone for an execution, or reports that the execution has
// started.
func (s *Service) Bury(request message.BuryRequest, reply *message.BuryReply) error {
	a := s.agent
	reply.Header = a.exchangeHeaders(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Confirmed, reply.Verdict = a.table.PlaceTombstone(time.Now(), request.Execution, request.AgentIncarnation)
	if r, ok := a.runs[request.Execution]; ok && reply.Confirmed && reply.Verdict == verdict.NotRun {
		a.endQueued(r, verdict.ReasonBuried, "a tombstone stands for the execution")
	}
	return nil
}

// Load returns the load hints of all backend servers.
func (s *Service) Load(request message.LoadRequest, reply *message.LoadReply) error {
	a := s.agent
	reply.Header = a.exchangeHeaders(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range a.backends {
		reply.Loads = append(reply.Loads, b.loadHint())
	}
	return nil
}

// Forward runs one call of a plain service.
func (s *Service) Forward(request message.ForwardRequest, reply *message.ForwardReply) error {
	a := s.agent
	a.options.Fleet.Observe(request.Header)
	b, refusal := s.admitForward(&request)
	reply.Header = a.options.Fleet.Header()
	if refusal != nil {
		reply.Verdict, reply.Refusal = refusal.Verdict, *refusal
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, request.Timeout)
	defer cancel()
	b.forward(ctx, &request, reply)
	a.mu.Lock()
	a.table.End(time.Now(), request.Execution, reply.Verdict)
	a.mu.Unlock()
	reply.Load = b.loadHint()
	return nil
}

// forward sends one call to the backend server and fills in the reply's verdict,
// response and refusal.
func (b *backendServer) forward(ctx context.Context, request *message.ForwardRequest, reply *message.ForwardReply) {
	if refusal := b.acquireCallSlot(); refusal != nil {
		reply.Verdict, reply.Refusal = verdict.NotRun, *refusal
		return
	}
	defer b.releaseCallSlot()
	f := &inFlightRequest{digest: request.Digest, suspect: request.Suspect || b.agent.isSuspect(request.Digest)}
	if !b.detector.add(f) {
		reply.Verdict, reply.Refusal = verdict.NotRun, suspectRefusal()
		return
	}
	defer b.detector.remove(f)
	response, err := b.engine.Forward(ctx, request)
	if err == nil {
		reply.Verdict, reply.Status = verdict.Ran, response.Status
		reply.HTTPHeader, reply.Body, reply.Unframed = response.Header, response.Body, response.Unframed
		// The close that ends an answer without length or chunks may be that of a crash.
		if f.suspect && !(response.Unframed && b.detector.confirmCrash(ctx)) {
			b.agent.clearSuspect(b.name, f.digest)
		}
		return
	}
	reason := verdict.ReasonBackendError
	if errors.Is(err, engine.ErrConnectionLost) && ctx.Err() == nil && b.detector.confirmCrash(ctx) {
		reason = verdict.ReasonBackendCrashed
	}
	if provesNotRun(err) {
		reply.Verdict = verdict.NotRun
	}
	reply.Refusal = message.Refusal{Verdict: reply.Verdict, Reason: reason, Message: err.Error()}
}

// admitForward admits a call and marks it as dispatched.
func (s *Service) admitForward(request *message.ForwardRequest) (*backendServer, *message.Refusal) {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	duplicate, b, refusal := a.admit(
		now, request.Execution, request.Caller, request.AgentIncarnation, request.BackendServer)
	if refusal != nil {
		return nil, refusal
	}
	if duplicate {
		return nil, &message.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDuplicate,
			Message: "the call was received before"}
	}
	a.table.Dispatch(now, request.Execution)
	return b, nil
}
