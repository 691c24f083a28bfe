package fleet

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// maxWait bounds how long a watch is held.
	maxWait = 2 * time.Second
	// putRetry is the pause before a document is proposed again.
	putRetry = 50 * time.Millisecond
)

// ErrInvalid is in the chain of errors for a document that is not acceptable.
var ErrInvalid = errors.New("the desired state is not acceptable")

// Put makes a document durable on a quorum and returns the version in force
// afterwards. It may be repeated.
func (c *Control) Put(ctx context.Context, document []byte) (uint64, error) {
	state, err := c.check(document)
	if err != nil {
		c.metrics.refused.Add(1)
		return 0, err
	}
	for {
		version, err := c.try(ctx, state.Version, document)
		if err == nil {
			c.metrics.acknowledged.Add(1)
			c.options.Logger.Info("desired state acknowledged", zap.Uint64("revision", state.Version), zap.Uint64("in_force", version))
			return version, nil
		}
		select {
		case <-ctx.Done():
			c.metrics.unsure.Add(1)
			c.options.Logger.Warn("desired state not acknowledged", zap.Uint64("revision", state.Version), zap.Error(err))
			return 0, err
		case <-time.After(putRetry):
		}
	}
}

// check decodes and validates a document.
func (c *Control) check(document []byte) (*desired.State, error) {
	state, err := c.options.Codec.Decode(document)
	if err != nil {
		c.options.Logger.Info("desired state refused", zap.Error(err))
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if faults := state.Validate(); len(faults) > 0 {
		c.options.Logger.Info("desired state refused", zap.Uint64("revision", state.Version), zap.Strings("faults", faults))
		return nil, errors.Wrap(ErrInvalid, faults[0])
	}
	return state, nil
}

// try makes one attempt, here or at the leader.
func (c *Control) try(ctx context.Context, version uint64, document []byte) (uint64, error) {
	if current, held := c.register.current(); held != nil && current >= version {
		return current, nil
	}
	leader := c.follower.View().Leader
	if node := c.node.Load(); node != nil {
		address, self := node.Leader()
		if self {
			return c.propose(ctx, version, document)
		}
		leader = address
	}
	if leader == "" || leader == c.options.Address {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known")
	}
	var reply PutReply
	if err := c.options.Pool.Call(ctx, leader, ServiceName+".Put", &PutRequest{Document: document}, &reply); err != nil {
		return 0, err
	}
	return reply.Version, nil
}

func (c *Control) propose(ctx context.Context, version uint64, document []byte) (uint64, error) {
	packed, err := pack(document)
	if err != nil {
		return 0, err
	}
	result, err := c.node.Load().Propose(ctx, desired.Command(version, packed))
	if err != nil {
		return 0, err
	}
	if failure, failed := result.(error); failed {
		return 0, failure
	}
	return result.(uint64), nil
}

// Get returns the newest document. An error means that this member can not be
// sure which one is the newest.
func (c *Control) Get(ctx context.Context) ([]byte, error) {
	packed, err := c.newest(ctx)
	if err != nil {
		return nil, err
	}
	if packed == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no desired state was published yet")
	}
	return unpack(packed)
}

func (c *Control) newest(ctx context.Context) ([]byte, error) {
	if node := c.node.Load(); node != nil {
		if err := node.Barrier(ctx); err != nil {
			return nil, err
		}
		_, packed := c.register.current()
		return packed, nil
	}
	leader := c.follower.View().Leader
	if leader == "" || c.options.DataFolder != "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group")
	}
	var reply ReadReply
	if err := c.options.Pool.Call(ctx, leader, ServiceName+".Read", &ReadRequest{}, &reply); err != nil {
		return nil, err
	}
	return reply.Document, nil
}

// service is the net/rpc receiver.
type service struct{ control *Control }

// remote returns an error in the form that keeps its verdict on the way.
func remote(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(verdict.Encode(err))
}

// Put publishes a document at the leader.
func (s *service) Put(request *PutRequest, reply *PutReply) error {
	c := s.control
	if !c.leads() {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead"))
	}
	state, err := c.check(request.Document)
	if err != nil {
		return remote(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply.Version, err = c.try(ctx, state.Version, request.Document)
	return remote(err)
}

// Read returns the newest document.
func (s *service) Read(_ *ReadRequest, reply *ReadReply) error {
	if s.control.node.Load() == nil {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	packed, err := s.control.newest(ctx)
	reply.Document = packed
	return remote(err)
}

// Watch answers when there is something newer than the sender's copy.
func (s *service) Watch(request *WatchRequest, reply *WatchReply) error {
	c := s.control
	arrived := SinceBoot()
	c.metrics.watches.Add(1)
	node := c.node.Load()
	if node == nil {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	timer := time.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	for waiting := true; waiting; {
		news := c.board.changed()
		version, document := c.register.current()
		if c.board.newer(request.List, request.Lazy) || document != nil && version > request.Version {
			break
		}
		select {
		case <-news:
		case <-timer.C:
			waiting = false
		case <-node.Done():
			waiting = false
		}
	}
	// The confirmation is read before the version, so that the version is at
	// least as new as what was confirmed.
	if at := c.confirmed.Load(); at != 0 {
		reply.Confirmed, reply.ConfirmedAge = true, SinceBoot()-time.Duration(at)
	}
	version, document := c.register.current()
	reply.Version = version
	if version > request.Version || request.Version == 0 {
		reply.Document = document
	}
	now := SinceBoot()
	c.board.fill(request.List, now, reply)
	for _, m := range node.Members() {
		reply.Members = append(reply.Members, m.Address)
	}
	reply.Leader, _ = node.Leader()
	reply.FailureDomain = c.options.FailureDomain
	reply.Held = now - arrived
	return nil
}

// Report takes an observation made beside a backend server.
func (s *service) Report(request *ReportRequest, reply *ReportReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		return nil
	}
	c.board.report(request.Report, SinceBoot())
	return nil
}

// Crashed takes observations of crashes that entries made.
func (s *service) Crashed(request *CrashRequest, reply *ReportReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		return nil
	}
	c.board.crashed(request, SinceBoot())
	return nil
}
