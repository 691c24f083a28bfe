package peer

import (
	"context"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

const (
	// attemptTimeout limits one attempt of CallControl at one member. It exceeds
	// the time of an election and its first commit.
	attemptTimeout = 1500 * time.Millisecond
	// roundDelay is the delay after an attempt at each member failed.
	roundDelay = 100 * time.Millisecond
)

// startCall makes a call in its own goroutine and passes the outcome to the loop.
// The syncer has at most one call of each kind in flight.
func (s *State) startCall(ctx context.Context, a peerstate.Action) {
	if a.Kind == peerstate.SendHeartbeat {
		request := s.heartbeatRequest(a)
		go func() {
			reply := &message.HeartbeatReply{}
			err := s.call(ctx, peerstate.HeartbeatTimeout, a.Address, "Control.Heartbeat", request, reply)
			s.events.Push(ctx, func(now time.Duration) {
				outcome := outcomeOf(err)
				s.syncer.FinishHeartbeat(now, a.Address, reply, outcome)
				s.recordHeartbeat(now, reply.Current, outcome)
			})
		}()
		return
	}
	method := "Control.Config"
	if a.Kind == peerstate.FetchFromPeer {
		method = "Peer.Config"
	}
	go func() {
		reply := &message.ConfigReply{}
		request := &message.ConfigRequest{Header: s.Header(), From: a.From}
		err := s.call(ctx, peerstate.FetchTimeout, a.Address, method, request, reply)
		s.events.Push(ctx, func(now time.Duration) {
			s.syncer.FinishFetch(now, a, reply, outcomeOf(err))
			s.recordFetch(a, outcomeOf(err))
		})
	}()
}

func (s *State) call(ctx context.Context, timeout time.Duration, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.options.Pool.Call(ctx, address, method, request, reply)
}

func (s *State) heartbeatRequest(a peerstate.Action) *message.HeartbeatRequest {
	d := s.options.Settings.Daemon
	request := &message.HeartbeatRequest{
		Header: s.Header(), FailureDomain: d.FailureDomain, AgentAddress: s.options.AgentAddress,
		LinkAddress: s.options.LinkAddress, ConfigApplied: s.Revision(), MembershipSeen: a.MembershipSeen,
		QuarantineSeen: a.QuarantineSeen, EvacuationsSeen: a.EvacuationsSeen, Leaving: s.leaving.Load(),
	}
	for _, role := range d.Roles {
		request.Roles = append(request.Roles, string(role))
	}
	if s.options.Statuses != nil {
		request.BackendServers = s.options.Statuses()
	}
	return request
}

// outcomeOf converts the error of a call to an outcome. It recognizes the reply
// of a control member that is not the leader.
func outcomeOf(err error) peerstate.Outcome {
	if err == nil {
		return peerstate.Outcome{}
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		if leader, ok := peerstate.ParseLeaderHint(remote.Error()); ok {
			return peerstate.Outcome{Failed: true, NotLeader: true, Leader: leader}
		}
	}
	return peerstate.Outcome{Failed: true}
}

// controlClient selects the control member for the next attempt of CallControl.
type controlClient struct {
	mu       sync.Mutex
	selector peerstate.MemberSelector
}

// CallControl calls a method of the service Control at the leader of the control
// group. It tries the members in turn until ctx ends; the methods of the service
// may be called twice with the same request. A refusal that every member would
// repeat ends the attempts. The verdict of the error is NotRun only if it is
// proven that no attempt ran. reply must be a pointer.
func (s *State) CallControl(ctx context.Context, method string, request, reply any) error {
	worstVerdict := verdict.NotRun
	s.metrics.controlCalls.Add(1)
	for attempts := 1; ; attempts++ {
		s.control.mu.Lock()
		address := s.control.selector.Pick()
		s.control.mu.Unlock()
		// A late reply to an attempt that timed out may still be decoded, so each
		// attempt has its own reply value.
		attemptReply := reflect.New(reflect.TypeOf(reply).Elem())
		err := s.call(ctx, attemptTimeout, address, "Control."+method, request, attemptReply.Interface())
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(attemptReply.Elem())
			s.updateSelector(func(m *peerstate.MemberSelector) { m.Succeeded(address) })
			return nil
		}
		s.metrics.controlFailures.Add(1)
		outcome := outcomeOf(err)
		e := verdict.From(err)
		switch {
		case outcome.NotLeader:
			s.updateSelector(func(m *peerstate.MemberSelector) { m.Redirected(address, outcome.Leader) })
		case isFinal(e):
			if worstVerdict != verdict.NotRun && e.Verdict == verdict.NotRun {
				e = verdict.Wrap(e, worstVerdict, e.Reason, "an earlier attempt may have run").WithRetryAfter(e.RetryAfter)
			}
			return e
		default:
			if e.Verdict != verdict.NotRun {
				worstVerdict = verdict.MayHaveRun
			}
			s.updateSelector(func(m *peerstate.MemberSelector) { m.Failed(address) })
		}
		if attempts%(s.control.selector.Len()+1) == 0 {
			sleep(ctx, roundDelay)
		}
		if ctx.Err() != nil {
			return verdict.Wrap(err, worstVerdict, verdict.ReasonNoQuorum, "no control member answered").
				WithRetryAfter(attemptTimeout)
		}
	}
}

// isFinal reports whether an error is a refusal that another member would repeat.
func isFinal(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonInvalid, verdict.ReasonUnauthorized, verdict.ReasonOverloaded:
		return true
	}
	return false
}

func (s *State) updateSelector(update func(*peerstate.MemberSelector)) {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	update(&s.control.selector)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ServiceName is the name under which Service is registered in net/rpc.
const ServiceName = "Peer"

// Service serves the configuration in force to other daemons.
type Service struct {
	state *State

	mu       sync.Mutex
	revision message.Revision
	deltas   []message.ConfigDelta
}

// Service returns the net/rpc service to register under ServiceName.
func (s *State) Service() *Service { return &s.service }

// publish stores the revision in force and its recent deltas for Config.
func (v *Service) publish(m *peerstate.Syncer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision, v.deltas = m.Revision(), m.Deltas()
}

// fillSnapshot fills a reply with the complete configuration. It asks the loop,
// because only the loop may access the syncer.
func (s *State) fillSnapshot(reply *message.ConfigReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerstate.FetchTimeout)
	defer cancel()
	type result struct {
		revision message.Revision
		snapshot []byte
		err      error
	}
	results := make(chan result, 1)
	s.events.Push(ctx, func(time.Duration) {
		b, err := s.syncer.Snapshot()
		results <- result{s.syncer.Revision(), b, err}
	})
	select {
	case r := <-results:
		reply.Revision, reply.Snapshot = r.revision, r.snapshot
		return r.err
	case <-s.done:
		return errors.New("the daemon shuts down")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a snapshot")
	}
}

// Config replies with the deltas after the revision of the request, or with a
// snapshot if it does not have them. It never sets Current, because a daemon
// cannot know whether its revision is the newest.
func (v *Service) Config(request *message.ConfigRequest, reply *message.ConfigReply) error {
	v.state.Observe(request.Header)
	reply.Header = v.state.Header()
	v.mu.Lock()
	revision, deltas := v.revision, v.deltas
	v.mu.Unlock()
	missing := uint64(revision - request.From)
	if request.From > revision || missing > uint64(len(deltas)) {
		return v.state.fillSnapshot(reply)
	}
	reply.Revision, reply.Deltas = revision, deltas[uint64(len(deltas))-missing:]
	return nil
}
