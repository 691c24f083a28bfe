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
	// attemptTimeout bounds one call of CallControl at one member. It is above
	// the time of an election with its commit.
	attemptTimeout = 1500 * time.Millisecond
	// roundPause is the pause after all members failed.
	roundPause = 100 * time.Millisecond
)

// send makes a call in its own goroutine and hands the end to the loop. The
// machine has at most one call of each kind under way.
func (s *State) send(ctx context.Context, a peerstate.Action) {
	if a.Kind == peerstate.SendHeartbeat {
		request := s.heartbeat(a)
		go func() {
			reply := &message.HeartbeatReply{}
			err := s.call(ctx, peerstate.HeartbeatTimeout, a.Address, "Control.Heartbeat", request, reply)
			s.events.Push(ctx, func(now time.Duration) {
				outcome := outcomeOf(err)
				s.machine.FinishHeartbeat(now, a.Address, reply, outcome)
				s.beaten(now, reply.Current, outcome)
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
			s.machine.FinishFetch(now, a, reply, outcomeOf(err))
			s.fetched(a, outcomeOf(err))
		})
	}()
}

func (s *State) call(ctx context.Context, timeout time.Duration, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.options.Pool.Call(ctx, address, method, request, reply)
}

func (s *State) heartbeat(a peerstate.Action) *message.HeartbeatRequest {
	d := s.options.Settings.Daemon
	request := &message.HeartbeatRequest{
		Header: s.Header(), FailureDomain: d.FailureDomain, AgentAddress: s.options.AgentAddress,
		LinkAddress: s.options.LinkAddress, ConfigApplied: s.Revision(), MembershipSeen: a.MembershipSeen,
		QuarantineSeen: a.QuarantineSeen, Leaving: s.leaving.Load(),
	}
	for _, role := range d.Roles {
		request.Roles = append(request.Roles, string(role))
	}
	if s.options.Statuses != nil {
		request.BackendServers = s.options.Statuses()
	}
	return request
}

// outcomeOf reads the error of a call to a control member.
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

// controlClient remembers the leader for CallControl.
type controlClient struct {
	mu      sync.Mutex
	targets peerstate.MemberSelector
}

// CallControl calls a method of the control group's leader and tries members in
// turn until ctx ends. The methods of service Control may be sent twice. A
// refusal by the leader with a verdict of its own ends the attempts. The
// verdict of the error is NotRun only when each attempt was provably not run.
// reply is a pointer.
func (s *State) CallControl(ctx context.Context, method string, request, reply any) error {
	worst := verdict.NotRun
	s.metrics.controlCalls.Add(1)
	for tries := 1; ; tries++ {
		s.control.mu.Lock()
		address := s.control.targets.Pick()
		s.control.mu.Unlock()
		// A late answer to an attempt that timed out may still be decoded, so no
		// two attempts share a reply.
		fresh := reflect.New(reflect.TypeOf(reply).Elem())
		err := s.call(ctx, attemptTimeout, address, "Control."+method, request, fresh.Interface())
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(fresh.Elem())
			s.settle(func(t *peerstate.MemberSelector) { t.Succeeded(address) })
			return nil
		}
		s.metrics.controlFailures.Add(1)
		outcome := outcomeOf(err)
		e := verdict.From(err)
		switch {
		case outcome.NotLeader:
			s.settle(func(t *peerstate.MemberSelector) { t.Redirected(address, outcome.Leader) })
		case final(e):
			if worst != verdict.NotRun && e.Verdict == verdict.NotRun {
				e = verdict.Wrap(e, worst, e.Reason, "an earlier attempt may have run").WithRetryAfter(e.RetryAfter)
			}
			return e
		default:
			if e.Verdict != verdict.NotRun {
				worst = verdict.MayHaveRun
			}
			s.settle(func(t *peerstate.MemberSelector) { t.Failed(address) })
		}
		if tries%(s.control.targets.Len()+1) == 0 {
			pause(ctx, roundPause)
		}
		if ctx.Err() != nil {
			return verdict.Wrap(err, worst, verdict.ReasonNoQuorum, "no control member answered").
				WithRetryAfter(attemptTimeout)
		}
	}
}

// final tells refusals that another member would repeat from failures.
func final(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonInvalid, verdict.ReasonUnauthorized, verdict.ReasonOverloaded:
		return true
	}
	return false
}

func (s *State) settle(update func(*peerstate.MemberSelector)) {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	update(&s.control.targets)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ServiceName is the name of Service in net/rpc.
const ServiceName = "Peer"

// Service gives the configuration in force to other daemons.
type Service struct {
	state *State

	mu       sync.Mutex
	revision message.Revision
	deltas   []message.ConfigDelta
}

// Service returns the service to register under ServiceName.
func (s *State) Service() *Service { return &s.service }

func (v *Service) publish(m *peerstate.StateMachine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision, v.deltas = m.Revision(), m.Deltas()
}

// snapshot fills a reply with the whole configuration, which the loop owns.
func (s *State) snapshot(reply *message.ConfigReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerstate.FetchTimeout)
	defer cancel()
	type result struct {
		revision message.Revision
		snapshot []byte
		err      error
	}
	results := make(chan result, 1)
	s.events.Push(ctx, func(time.Duration) {
		b, err := s.machine.Snapshot()
		results <- result{s.machine.Revision(), b, err}
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

// Config serves the configuration after a revision. Current is never set,
// because a daemon can not know the newest revision.
func (v *Service) Config(request *message.ConfigRequest, reply *message.ConfigReply) error {
	v.state.Observe(request.Header)
	reply.Header = v.state.Header()
	v.mu.Lock()
	revision, deltas := v.revision, v.deltas
	v.mu.Unlock()
	behind := uint64(revision - request.From)
	if request.From > revision || behind > uint64(len(deltas)) {
		return v.state.snapshot(reply)
	}
	reply.Revision, reply.Deltas = revision, deltas[uint64(len(deltas))-behind:]
	return nil
}
