package control

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// Config returns the changes to the configuration since a revision, or the whole
// configuration. Every member answers it; Current reports whether a quorum
// confirmed this member's state after the request arrived.
func (s *Service) Config(request *message.ConfigRequest, reply *message.ConfigReply) error {
	current := s.barrier() == nil
	var sections contract.Sections
	s.options.Machine.View(func(r *registry.Registry) {
		reply.Header, reply.Revision = s.header(r), r.Revision()
		reply.Evacuations = r.EvacuationsSince(0)
		deltas, ok := r.Deltas(request.From)
		if ok && preferDeltas(deltas, len(r.Sections())) {
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
	reply.Snapshot, err = s.encodeSections(reply.Revision, sections)
	return rpcError(err)
}

// preferDeltas reports whether deltas contain no more sections than the whole
// configuration.
func preferDeltas(deltas []message.ConfigDelta, sections int) bool {
	n := 0
	for _, d := range deltas {
		n += len(d.Set) + len(d.Removed)
	}
	return n <= sections
}

// encodeSections returns the encoded configuration of a revision. It caches the
// result, because all daemons fetch the same revision.
func (s *Service) encodeSections(revision message.Revision, sections contract.Sections) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encodedConfig != nil && s.encodedRevision == revision {
		return s.encodedConfig, nil
	}
	b, err := registry.EncodeSections(sections)
	if err == nil {
		s.encodedConfig, s.encodedRevision = b, revision
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
		return rpcError(err)
	}
	*reply = result
	return nil
}

// ApplySections is like Apply, but for callers in this process, which need no
// credential. net/rpc does not expose it because of its signature.
func (s *Service) ApplySections(request *message.ApplyRequest) (message.ApplyReply, error) {
	zero := message.ApplyReply{}
	if address, self := s.options.Log.Leader(); !self {
		return zero, notLeader(address)
	}
	select {
	case s.applySlots <- struct{}{}:
	default:
		return zero, verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
			"%d changes are at work", MaxConcurrentApplies).WithRetryAfter(ConfirmTimeout)
	}
	defer func() { <-s.applySlots }()
	// The delta is computed from this member's state, which must therefore include
	// all committed changes.
	if err := s.barrier(); err != nil {
		return zero, verdict.Wrap(err, verdict.NotRun, verdict.ReasonNoQuorum, "confirm leadership").
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
		return zero, err
	}
	reply.Header = s.replyHeader()
	if reply.Accepted && !reply.Duplicate {
		s.metrics.configChanges.Add(1)
	}
	s.options.Logger.Info("configuration change", zap.String("operator", request.Operator),
		zap.String("change_id", request.ChangeID), zap.Uint64("expected", uint64(request.Expected)),
		zap.Bool("accepted", reply.Accepted), zap.Bool("duplicate", reply.Duplicate),
		zap.Uint64("revision", uint64(reply.Revision)), zap.Int("faults", len(reply.Faults)))
	return reply, nil
}
