package agent

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
)

// Service is the net/rpc service "Agent".
type Service struct{ agent *Agent }

// Service returns the net/rpc service.
func (a *Agent) Service() *Service { return &Service{a} }

// exchange takes note of the header of a request and returns the one of its
// reply.
func (a *Agent) exchange(received message.Header) message.Header {
	a.options.Fleet.Observe(received)
	return a.options.Fleet.Header()
}

// Start admits a generation.
func (s *Service) Start(request message.StartRequest, reply *message.StartReply) error {
	a := s.agent
	reply.Header = a.exchange(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	duplicate, b, refusal := a.admit(now, request.Execution, request.Caller, request.AgentIncarnation, request.BackendServer)
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
	reply.State, reply.Load = state, b.hint()
	return nil
}

// admit asks the table and then the backend server. The table comes first: the
// duplicate of a running start must not be refused as not run because its
// backend server is leaving by now. The caller holds a.mu.
func (a *Agent) admit(now time.Time, id message.ExecutionID, caller string, meant message.Incarnation, server string) (bool, *backendServer, *message.Refusal) {
	duplicate, refusal := a.table.Start(now, id, caller, meant)
	if refusal != nil || duplicate {
		return duplicate, nil, refusal
	}
	b, refusal := a.backend(server)
	if refusal != nil {
		a.table.End(now, id, verdict.NotRun)
		return false, nil, refusal
	}
	return false, b, nil
}

// Cancel stops an execution. One that waits leaves the queue.
func (s *Service) Cancel(request message.CancelRequest, reply *message.CancelReply) error {
	a := s.agent
	reply.Header = a.exchange(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[request.Execution]
	reply.Known = ok
	if ok {
		r.setRead()
		a.cancelRun(r, verdict.ReasonCanceled, "canceled")
	}
	return nil
}

// Bury places a tombstone or tells that the execution started.
func (s *Service) Bury(request message.BuryRequest, reply *message.BuryReply) error {
	a := s.agent
	reply.Header = a.exchange(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Confirmed, reply.Verdict = a.table.PlaceTombstone(time.Now(), request.Execution, request.AgentIncarnation)
	if r, ok := a.runs[request.Execution]; ok && reply.Confirmed && reply.Verdict == verdict.NotRun {
		a.withdraw(r, verdict.ReasonBuried, "a tombstone stands for the execution")
	}
	return nil
}

// Load returns load hints.
func (s *Service) Load(request message.LoadRequest, reply *message.LoadReply) error {
	a := s.agent
	reply.Header = a.exchange(request.Header)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range a.backends {
		reply.Loads = append(reply.Loads, b.hint())
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
	reply.Load = b.hint()
	return nil
}

// forward sends one call to the backend server.
func (b *backendServer) forward(ctx context.Context, request *message.ForwardRequest, reply *message.ForwardReply) {
	if refusal := b.enterCall(); refusal != nil {
		reply.Verdict, reply.Refusal = verdict.NotRun, *refusal
		return
	}
	defer b.leaveCall()
	f := &inFlight{digest: request.Digest, suspect: request.Suspect || b.agent.suspected(request.Digest)}
	if !b.crash.enter(f) {
		reply.Verdict, reply.Refusal = verdict.NotRun, suspectRefusal()
		return
	}
	defer b.crash.leave(f)
	response, err := b.engine.Forward(ctx, request)
	if err == nil {
		reply.Verdict, reply.Status = verdict.Ran, response.Status
		reply.HTTPHeader, reply.Body = response.Header, response.Body
		if f.suspect {
			b.agent.clear(b.name, f.digest)
		}
		return
	}
	reason := verdict.ReasonBackendError
	if errors.Is(err, engine.ErrConnectionLost) && ctx.Err() == nil && b.crash.broken(ctx) {
		reason = verdict.ReasonBackendCrashed
	}
	if notRun(err) {
		reply.Verdict = verdict.NotRun
	}
	reply.Refusal = message.Refusal{Verdict: reply.Verdict, Reason: reason, Message: err.Error()}
}

func (s *Service) admitForward(request *message.ForwardRequest) (*backendServer, *message.Refusal) {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	duplicate, b, refusal := a.admit(now, request.Execution, request.Caller, request.AgentIncarnation, request.BackendServer)
	if refusal != nil {
		return nil, refusal
	}
	if duplicate {
		return nil, &message.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDuplicate, Message: "the call was received before"}
	}
	a.table.Dispatch(now, request.Execution)
	return b, nil
}
