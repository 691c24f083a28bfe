package control

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// Config serves the configuration after a revision. Any member answers; Current
// tells whether a quorum confirmed its view after the request arrived.
func (s *Service) Config(request *message.ConfigRequest, reply *message.ConfigReply) error {
	current := s.barrier() == nil
	var sections contract.Sections
	s.options.Machine.View(func(r *registry.Registry) {
		reply.Header, reply.Revision = s.header(r), r.Revision()
		deltas, ok := r.Deltas(request.From)
		if ok && smaller(deltas, len(r.Sections())) {
			reply.Deltas = deltas
		} else {
			sections = r.Sections()
		}
	})
	reply.Current = current
	if sections == nil {
		return nil
	}
	var err error
	reply.Snapshot, err = s.encoded(reply.Revision, sections)
	return remote(err)
}

// smaller tells whether deltas are less to send than a whole configuration.
func smaller(deltas []message.ConfigDelta, sections int) bool {
	n := 0
	for _, d := range deltas {
		n += len(d.Set) + len(d.Removed)
	}
	return n <= sections
}

// encoded returns the snapshot of a revision, which is encoded once for all
// daemons that ask for it.
func (s *Service) encoded(revision message.Revision, sections contract.Sections) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot != nil && s.snapshotOf == revision {
		return s.snapshot, nil
	}
	b, err := registry.EncodeSections(sections)
	if err == nil {
		s.snapshot, s.snapshotOf = b, revision
	}
	return b, err
}

// Apply changes the configuration for an operator.
func (s *Service) Apply(request *message.ApplyRequest, reply *message.ApplyReply) error {
	if err := s.authorize(request.Credential); err != nil {
		return err
	}
	result, err := s.ApplySections(request)
	if err != nil {
		return remote(err)
	}
	*reply = result
	return nil
}

// ApplySections is Apply for a caller inside this process, which needs no
// credential. Its signature keeps it out of net/rpc.
func (s *Service) ApplySections(request *message.ApplyRequest) (message.ApplyReply, error) {
	none := message.ApplyReply{}
	if address, self := s.options.Log.Leader(); !self {
		return none, notLeader(address)
	}
	select {
	case s.applies <- struct{}{}:
	default:
		return none, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%d changes are at work", MaxApplies).
			WithRetryAfter(ConfirmTimeout)
	}
	defer func() { <-s.applies }()
	// What differs is computed against this member's state, so it has to hold
	// all that was committed.
	if err := s.barrier(); err != nil {
		return none, verdict.Wrap(err, verdict.NotRun, verdict.ReasonNoQuorum, "confirm leadership").
			WithRetryAfter(ConfirmTimeout)
	}
	change := &registry.ChangeConfig{
		ChangeID: request.ChangeID, Operator: request.Operator, Comment: request.Comment, Expected: request.Expected,
	}
	var current contract.Sections
	s.options.Machine.View(func(r *registry.Registry) {
		change.Stale = r.Revision() != request.Expected
		current = r.Sections()
	})
	if !change.Stale {
		change.Set, change.Removed = registry.ComputeDelta(current, request.Sections)
	}
	reply, err := submit[message.ApplyReply](s, &registry.Command{ChangeConfig: change})
	if err != nil {
		return none, err
	}
	reply.Header = s.replyHeader()
	if reply.Accepted && !reply.Duplicate {
		s.metrics.changes.Add(1)
	}
	s.options.Logger.Info("configuration change", zap.String("operator", request.Operator),
		zap.String("change_id", request.ChangeID), zap.Uint64("expected", uint64(request.Expected)),
		zap.Bool("accepted", reply.Accepted), zap.Bool("duplicate", reply.Duplicate),
		zap.Uint64("revision", uint64(reply.Revision)), zap.Int("faults", len(reply.Faults)))
	return reply, nil
}
