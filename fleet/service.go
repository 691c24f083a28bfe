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
	// maxWatchHold limits how long a watch is held without changes.
	maxWatchHold = 2 * time.Second
	// putRetryInterval is the delay before a document is proposed again.
	putRetryInterval = 50 * time.Millisecond
)

// ErrInvalid is wrapped by the error for an invalid document.
var ErrInvalid = errors.New("the desired state is not acceptable")

// Put commits a document on a quorum and returns the version that is in force
// afterwards. It is idempotent. Failed attempts are retried until ctx ends.
func (c *Control) Put(ctx context.Context, document []byte) (uint64, error) {
	state, err := c.validate(document)
	if err != nil {
		c.metrics.refused.Add(1)
		return 0, err
	}
	for {
		version, err := c.tryPut(ctx, state.Version, document)
		if err == nil {
			c.metrics.acknowledged.Add(1)
			c.options.Logger.Info("desired state acknowledged",
				zap.Uint64("revision", state.Version), zap.Uint64("in_force", version))
			return version, nil
		}
		select {
		case <-ctx.Done():
			c.metrics.unanswered.Add(1)
			c.options.Logger.Warn("desired state not acknowledged", zap.Uint64("revision", state.Version), zap.Error(err))
			return 0, err
		case <-time.After(putRetryInterval):
		}
	}
}

// validate decodes a document and returns its state, or an error that wraps ErrInvalid.
func (c *Control) validate(document []byte) (*desired.State, error) {
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

// tryPut makes one attempt to commit a document, locally if this member leads, else by
// a call to the leader.
func (c *Control) tryPut(ctx context.Context, version uint64, document []byte) (uint64, error) {
	if current, stored := c.stateMachine.current(); stored != nil && current >= version {
		return current, nil
	}
	leader := c.watcher.View().Leader
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

// propose commits a document through the consensus log and returns the version in
// force afterwards.
func (c *Control) propose(ctx context.Context, version uint64, document []byte) (uint64, error) {
	compressed, err := compress(document)
	if err != nil {
		return 0, err
	}
	result, err := c.node.Load().Propose(ctx, desired.Command(version, compressed))
	if err != nil {
		return 0, err
	}
	if failure, failed := result.(error); failed {
		return 0, failure
	}
	return result.(uint64), nil
}

// Get returns the newest document. It returns an error if no quorum confirms which
// document is the newest, or if there is none.
func (c *Control) Get(ctx context.Context) ([]byte, error) {
	compressed, err := c.newestDocument(ctx)
	if err != nil {
		return nil, err
	}
	if compressed == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no desired state was published yet")
	}
	return decompress(compressed)
}

// newestDocument returns the newest document in compressed form: from this member after
// a confirmation by a quorum, or from the leader on a host without a disk.
func (c *Control) newestDocument(ctx context.Context) ([]byte, error) {
	if node := c.node.Load(); node != nil {
		if err := node.Barrier(ctx); err != nil {
			return nil, err
		}
		_, compressed := c.stateMachine.current()
		return compressed, nil
	}
	leader := c.watcher.View().Leader
	if leader == "" || c.options.DataFolder != "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group")
	}
	var reply ReadReply
	if err := c.options.Pool.Call(ctx, leader, ServiceName+".Read", &ReadRequest{}, &reply); err != nil {
		return nil, err
	}
	return reply.Document, nil
}

// service serves the net/rpc calls of daemons and other members.
type service struct{ control *Control }

// rpcError encodes the verdict of an error in its text, because net/rpc transmits
// only the text.
func rpcError(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(verdict.Encode(err))
}

// Put commits a document on the leader.
func (s *service) Put(request *PutRequest, reply *PutReply) error {
	c := s.control
	if !c.leads() {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead"))
	}
	state, err := c.validate(request.Document)
	if err != nil {
		return rpcError(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply.Version, err = c.tryPut(ctx, state.Version, request.Document)
	return rpcError(err)
}

// Read returns the newest document in compressed form.
func (s *service) Read(_ *ReadRequest, reply *ReadReply) error {
	if s.control.node.Load() == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	compressed, err := s.control.newestDocument(ctx)
	reply.Document = compressed
	return rpcError(err)
}

// Watch replies when the desired state or the list is newer than the sender's copy, or
// after the requested wait. A process without a disk refers the sender to the members.
func (s *service) Watch(request *WatchRequest, reply *WatchReply) error {
	c := s.control
	received := SinceBoot()
	c.metrics.watches.Add(1)
	node := c.node.Load()
	if node == nil && c.options.DataFolder == "" {
		v := c.watcher.View()
		reply.Members, reply.Leader, reply.FailureDomain = v.Members, v.Leader, c.options.FailureDomain
		return nil
	}
	if node == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	timer := time.NewTimer(min(request.Wait, maxWatchHold))
	defer timer.Stop()
	for waiting := true; waiting; {
		changed := c.servers.changed()
		if c.hasNewer(request) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-node.Done():
			waiting = false
		}
	}
	// The confirmation time is read before the version, so that the version is at
	// least as new as the confirmed one.
	if at := c.confirmed.Load(); at != 0 {
		reply.Confirmed, reply.ConfirmedAge = true, SinceBoot()-time.Duration(at)
	}
	now := SinceBoot()
	if !request.LeaderOnly {
		c.fillReply(request, now, reply)
	}
	// The evacuations are read after the desired state, so that they are at least as new as it.
	if request.WantsEvacuations {
		c.fillEvacuations(request.Evacuations, reply)
	}
	for _, m := range node.Members() {
		reply.Members = append(reply.Members, m.Address)
	}
	reply.Leader, _ = node.Leader()
	reply.FailureDomain = c.options.FailureDomain
	reply.Held = now - received
	return nil
}

// hasNewer reports whether this member has data that a watch waits for.
func (c *Control) hasNewer(request *WatchRequest) bool {
	if request.WantsEvacuations && c.evacuationRevision() > request.Evacuations {
		return true
	}
	if request.LeaderOnly {
		return false
	}
	if version, document := c.stateMachine.current(); document != nil && version > request.Version && c.mayServeState(request) {
		return true
	}
	if c.servers.hasNewer(request.List, request.Lazy) {
		return true
	}
	return !request.Lazy && (request.WantsLimits && c.limits.hasNewer(request.Limits) ||
		request.WantsParts && c.parts.hasNewer(request.Parts) ||
		request.WantsStandings && c.standings.hasNewer(request.Standings) ||
		request.WantsTight && c.rooms != nil && c.rooms.hasNewer(request.Tight))
}

// fillReply sets the data that the sender of a watch does not know.
func (c *Control) fillReply(request *WatchRequest, now time.Duration, reply *WatchReply) {
	version, document := c.stateMachine.current()
	reply.Version = version
	if (version > request.Version || request.Version == 0) && c.mayServeState(request) {
		reply.Document = document
	}
	c.servers.fillReply(request, now, reply)
	if request.WantsLimits {
		c.limits.fillReply(request.Limits, now, reply)
	}
	if request.WantsParts {
		c.parts.fillReply(request.Parts, now, reply)
	}
	if request.WantsStandings {
		c.standings.fillReply(request.Standings, reply)
	}
	if request.WantsTight && c.rooms != nil {
		c.rooms.fillReply(request.Tight, reply)
	}
}

// Report records a report from a backend server's host. Other members than the leader
// return its address instead.
func (s *service) Report(request *ReportRequest, reply *ReportReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		return nil
	}
	c.recordReport(request.Report)
	return nil
}

// Clock returns a reading of the leader's clock.
func (s *service) Clock(_ *ClockRequest, reply *ClockReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		return nil
	}
	reply.Reading = ClockReading{Process: c.servers.source, At: SinceBoot()}
	return nil
}

// Crashed records crashes that entries observed. Other members than the leader return
// its address instead.
func (s *service) Crashed(request *CrashRequest, reply *ReportReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		return nil
	}
	now := SinceBoot()
	if request.Reading.Process != c.servers.source || now-request.Reading.At > maxCrashReportAge {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonTimeout, "the report is too late, or refers to another clock"))
	}
	c.servers.recordCrashes(now, request)
	c.parts.record(now, request)
	return nil
}
