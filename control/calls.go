package control

import (
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// BeginCall records a call before it is sent to a backend server.
func (s *Service) BeginCall(request *message.BeginCallRequest, reply *message.BeginCallReply) error {
	result, err := submit[message.BeginCallReply](s, &registry.Command{BeginCall: &registry.BeginCall{
		Caller: request.Key.Caller, Key: request.Key.Key, BodyDigest: request.BodyDigest,
		Request: request.Request, Retention: request.Retention,
	}})
	if err != nil {
		return rpcError(err)
	}
	*reply = result
	reply.Header = s.replyHeader()
	return nil
}

// FinishCall records the response of a call, or removes the record if the call
// certainly did not run. A call whose outcome is unknown stays recorded as started.
func (s *Service) FinishCall(request *message.FinishCallRequest, reply *message.FinishCallReply) error {
	if request.Verdict == verdict.MayHaveRun {
		reply.Header = s.replyHeader()
		return nil
	}
	finish := &registry.FinishCall{
		Caller: request.Key.Caller, Key: request.Key.Key, Request: request.Request,
		Release: request.Verdict == verdict.NotRun,
	}
	if !finish.Release {
		finish.Response = request.Response
		// A body that the registry would not store is not replicated either.
		if len(finish.Response.Body) > registry.MaxResponseBytes {
			finish.Response = message.RecordedResponse{Status: request.Response.Status, Truncated: true}
		}
	}
	result, err := submit[message.FinishCallReply](s, &registry.Command{FinishCall: finish})
	if err != nil {
		return rpcError(err)
	}
	*reply = result
	reply.Header = s.replyHeader()
	return nil
}

// ReleaseCall removes the record of a call that did not run.
func (s *Service) ReleaseCall(request *message.FinishCallRequest, reply *message.FinishCallReply) error {
	release := *request
	release.Verdict = verdict.NotRun
	return s.FinishCall(&release, reply)
}

// AcquireLease grants the sender the exclusive right to send orders to a backend
// server.
func (s *Service) AcquireLease(request *message.LeaseRequest, reply *message.LeaseReply) error {
	return s.submitLease(request, reply, false)
}

// RenewLease extends a lease that the sender holds.
func (s *Service) RenewLease(request *message.LeaseRequest, reply *message.LeaseReply) error {
	return s.submitLease(request, reply, true)
}

// submitLease proposes a request for a lease.
func (s *Service) submitLease(request *message.LeaseRequest, reply *message.LeaseReply, renew bool) error {
	result, err := submit[message.LeaseReply](s, &registry.Command{Lease: &registry.Lease{
		BackendServer: request.BackendServer, Host: request.Header.Host, Incarnation: request.Header.Incarnation,
		Duration: request.Duration, Renew: renew,
	}})
	if err != nil {
		return rpcError(err)
	}
	*reply = result
	reply.Header = s.replyHeader()
	return nil
}

// LoadSlot acquires or releases one of the fleet's slots for loading weights.
func (s *Service) LoadSlot(request *message.LoadSlotRequest, reply *message.LoadSlotReply) error {
	result, err := submit[message.LoadSlotReply](s, &registry.Command{LoadSlot: &registry.LoadSlot{
		BackendServer: request.BackendServer, Host: request.Header.Host, Incarnation: request.Header.Incarnation,
		Duration: request.Duration, Release: request.Release,
	}})
	if err != nil {
		return rpcError(err)
	}
	*reply = result
	reply.Header = s.replyHeader()
	return nil
}

// ReportCrash records a crash of a backend server with the digests of the requests
// that were running, and the digests of suspect requests that succeeded.
func (s *Service) ReportCrash(request *message.CrashReport, reply *message.CrashReply) error {
	if len(request.InFlight) > quarantine.MaxInFlight || len(request.Cleared) > quarantine.MaxInFlight {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonInvalid, "a crash report has at most %d digests",
			quarantine.MaxInFlight))
	}
	result, err := submit[message.CrashReply](s, &registry.Command{RecordCrash: &registry.RecordCrash{
		BackendServer: request.BackendServer, CrashID: request.Crash,
		InFlight: request.InFlight, Cleared: request.Cleared,
	}})
	if err != nil {
		return rpcError(err)
	}
	*reply = result
	reply.Header = s.replyHeader()
	if request.Crash != "" {
		s.options.Logger.Warn("backend server crashed", zap.String("backend_server", request.BackendServer),
			zap.String("crash", request.Crash), zap.Int("in_flight", len(request.InFlight)))
	}
	return nil
}

// SetLeaving sets or clears the leaving mark of a host or backend server for an
// operator.
func (s *Service) SetLeaving(request *message.LeavingRequest, reply *message.LeavingReply) error {
	if err := s.authorize(request.Credential); err != nil {
		return err
	}
	result, err := submit[message.LeavingReply](s, &registry.Command{SetLeaving: &registry.SetLeaving{
		Host: request.Host, BackendServer: request.BackendServer, Leaving: request.Leaving, Operator: request.Operator,
	}})
	if err != nil {
		return rpcError(err)
	}
	*reply = result
	reply.Header = s.replyHeader()
	s.options.Logger.Info("leaving mark set or cleared",
		zap.String("operator", request.Operator), zap.String("host", request.Host),
		zap.String("backend_server", request.BackendServer), zap.Bool("leaving", request.Leaving))
	return nil
}
