package control

import (
	"strings"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// Evacuate starts or ends the evacuation of a failure domain for an operator. The reply
// is sent after the order was committed, also if it requests the state already in
// effect.
func (s *Service) Evacuate(request *message.EvacuateRequest, reply *message.EvacuateReply) error {
	// Bounds what one request adds to the log lines and to the replicated log.
	if len(request.Domain)+len(request.Operator) > registry.MaxTextBytes {
		s.metrics.evacuationsRefused.Add(1)
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"the failure domain and the operator have more than %d bytes", registry.MaxTextBytes))
	}
	logger := s.options.Logger.With(
		zap.String("operator", request.Operator),
		zap.String("failure_domain", request.Domain), zap.Bool("evacuate", request.Evacuate),
		zap.Uint64("base", request.Base))
	if err := s.authorize(request.Credential); err != nil {
		s.metrics.evacuationsRefused.Add(1)
		logger.Warn("evacuation order refused", zap.Error(err))
		return err
	}
	result, err := submit[message.EvacuateReply](s, &registry.Command{Evacuate: &registry.Evacuate{
		Domain: request.Domain, Evacuate: request.Evacuate, Base: request.Base, Operator: request.Operator,
	}})
	switch {
	case err != nil && strings.HasPrefix(err.Error(), peerstate.NotLeaderPrefix):
		return err
	case err != nil && verdict.From(err).Reason == verdict.ReasonInvalid:
		s.metrics.evacuationsRefused.Add(1)
		logger.Warn("evacuation order refused", zap.Error(err))
		return rpcError(err)
	case err != nil:
		s.metrics.evacuationsUnanswered.Add(1)
		logger.Warn("evacuation order not acknowledged", zap.Error(err))
		return rpcError(err)
	case result.Conflict:
		s.metrics.evacuationConflicts.Add(1)
		logger.Info("evacuation order conflicts with a later one", zap.Uint64("domain_revision", result.Revision))
	default:
		s.metrics.evacuationsAcknowledged.Add(1)
		logger.Info("evacuation order acknowledged", zap.Uint64("domain_revision", result.Revision),
			zap.Bool("changed", result.Changed))
	}
	*reply = result
	reply.Header = s.replyHeader()
	return nil
}

// Evacuations lists the known failure domains and whether they are evacuated. Current
// reports whether a quorum confirmed this leader after the request arrived.
func (s *Service) Evacuations(_ *message.EvacuationsRequest, reply *message.EvacuationsReply) error {
	if address, self := s.options.Log.Leader(); !self {
		return notLeader(address)
	}
	reply.Current = s.barrier() == nil
	s.options.Machine.View(func(r *registry.Registry) {
		reply.Header, reply.Domains = s.header(r), r.EvacuationStates()
	})
	return nil
}
