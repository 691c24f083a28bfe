package control

import (
	"context"
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

const (
	// leaderTaskInterval is the interval at which the leader confirms its leadership
	// and checks for hosts without heartbeats.
	leaderTaskInterval = 500 * time.Millisecond
	// maxConfirmationAge is the age up to which a confirmation of the leadership
	// makes heartbeat replies current.
	maxConfirmationAge = 2 * time.Second
	// clockUpdateInterval is the interval of commands that only advance the registry's
	// clock. The clock omits the time between the last command of a leader and the
	// first of the next one, and this interval bounds that time.
	clockUpdateInterval = time.Minute
	// maxReportBatch bounds the reports in one command.
	maxReportBatch = 64
	// maxQuarantineChanges bounds the quarantine changes in one heartbeat reply to
	// about 25 KB.
	maxQuarantineChanges = 256
	maxServersPerHost    = 256
	maxRoles             = 16
)

// Heartbeat receives the report of a daemon and returns the changes of membership,
// quarantine and evacuations since the numbers in the request. Heartbeat times are
// kept in the leader's memory, and only reports that differ from the registry are
// proposed.
func (s *Service) Heartbeat(request *message.HeartbeatRequest, reply *message.HeartbeatReply) error {
	address, self := s.options.Log.Leader()
	if !self {
		return notLeader(address)
	}
	if request.Header.Host == "" || len(request.BackendServers) > maxServersPerHost ||
		len(request.Roles) > maxRoles {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"the heartbeat names no host or too much"))
	}
	now := s.options.Elapsed()
	report := host.ReportFromHeartbeat(request)
	changed := false
	s.options.Machine.View(func(r *registry.Registry) {
		changed = r.Members().WouldChange(report)
		reply.Header, reply.Revision = s.header(r), r.Revision()
		reply.Members, reply.Sequence = r.Members().ChangedSince(request.MembershipSeen)
		reply.Quarantine, reply.QuarantineSequence, reply.QuarantineReset = r.Quarantine().Since(
			r.ClockAt(s.proposer, now), request.QuarantineSeen, maxQuarantineChanges)
		reply.Evacuations = r.EvacuationsSince(request.EvacuationsSeen)
	})
	reply.Leader = address
	s.metrics.heartbeats.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderMonitor(now).RecordHeartbeat(now, request)
	reply.Current = s.confirmed && now-s.confirmedAt <= maxConfirmationAge
	if changed && len(s.pendingReports) < host.MaxMembers {
		s.pendingReports[request.Header.Host] = report
		select {
		case s.reportsPending <- struct{}{}:
		default:
		}
	}
	return nil
}

// leaderMonitor returns the heartbeat monitor and creates it at the start of a
// leadership. The caller holds s.mu.
func (s *Service) leaderMonitor(now time.Duration) *host.Monitor {
	if s.monitor == nil {
		s.monitor = host.NewMonitor(now)
	}
	return s.monitor
}

// Run proposes changed host reports and dead hosts while this member is the leader,
// until ctx is done.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(leaderTaskInterval)
	defer ticker.Stop()
	lastClockUpdate := s.options.Elapsed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reportsPending:
			s.proposeReports()
		case <-ticker.C:
			if !s.runLeaderTasks() {
				continue
			}
			if now := s.options.Elapsed(); now-lastClockUpdate > clockUpdateInterval {
				lastClockUpdate = now
				s.propose(&registry.Command{})
			}
		}
	}
}

// runLeaderTasks confirms the leadership, proposes pending reports and proposes
// hosts without heartbeats as dead. It returns false if this member is not the
// leader or no quorum confirmed it.
func (s *Service) runLeaderTasks() bool {
	if _, self := s.options.Log.Leader(); !self {
		s.mu.Lock()
		s.monitor, s.confirmed, s.pendingReports = nil, false, map[string]host.Report{}
		s.mu.Unlock()
		return false
	}
	barrierStart := s.options.Elapsed()
	err := s.barrier()
	s.mu.Lock()
	s.leaderMonitor(barrierStart)
	if err == nil {
		s.confirmed, s.confirmedAt = true, barrierStart
	}
	var silent []host.SilentMember
	s.options.Machine.View(func(r *registry.Registry) {
		silent = s.monitor.Overdue(s.options.Elapsed(), r.Members())
	})
	s.mu.Unlock()
	if err != nil {
		return false
	}
	s.proposeReports()
	var deadHosts []registry.DeadHost
	for _, overdue := range silent[:min(len(silent), maxReportBatch)] {
		deadHosts = append(deadHosts, registry.DeadHost(overdue))
		s.options.Logger.Warn("host sends no heartbeats", zap.String("host", overdue.Host))
	}
	if len(deadHosts) > 0 && s.propose(&registry.Command{DeadHosts: deadHosts}) {
		s.metrics.hostDeaths.Add(int64(len(deadHosts)))
	}
	return true
}

// proposeReports proposes the pending reports in batches.
func (s *Service) proposeReports() {
	for {
		s.mu.Lock()
		var batch []host.Report
		for name, report := range s.pendingReports {
			if len(batch) == maxReportBatch {
				break
			}
			batch = append(batch, report)
			delete(s.pendingReports, name)
		}
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		// Reports of a failed proposal are sent again with the hosts' next heartbeats.
		if !s.propose(&registry.Command{Reports: batch}) {
			return
		}
	}
}

// propose submits a command of the leader itself and reports whether it succeeded.
func (s *Service) propose(command *registry.Command) bool {
	_, err := submit[message.LeavingReply](s, command)
	if err != nil {
		s.options.Logger.Warn("proposal failed", zap.Error(err))
	}
	return err == nil
}

// SetPlatformLeaving replaces the list of hosts that the platform reports as
// leaving.
func (s *Service) SetPlatformLeaving(hosts []string) error {
	_, err := submit[message.LeavingReply](s, &registry.Command{
		SetPlatformLeaving: &registry.SetPlatformLeaving{Leaving: hosts},
	})
	return err
}

// Status returns the state of the fleet and of the control group as this member
// knows it.
func (s *Service) Status(_ *message.StatusRequest, reply *message.StatusReply) error {
	reply.Leader, reply.Leading = s.options.Log.Leader()
	reply.Current = reply.Leading && s.barrier() == nil
	s.setGroupStatus(reply)
	now := s.options.Elapsed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Machine.View(func(r *registry.Registry) {
		reply.Header, reply.Revision, reply.Sequence = s.header(r), r.Revision(), r.Members().Sequence
		reply.Calls, reply.Leases = r.Calls(), r.Leases()
		reply.Quarantine, _, _ = r.Quarantine().Since(r.ClockAt(s.proposer, now), 0, maxQuarantineChanges)
		for name, m := range r.Members().Members {
			status := message.HostStatus{Member: m}
			if s.monitor != nil {
				status.LastSeen, status.Revision, status.Heard = s.monitor.Status(now, name)
			}
			reply.Hosts = append(reply.Hosts, status)
		}
	})
	sort.Slice(reply.Hosts, func(i, j int) bool { return reply.Hosts[i].Member.Host < reply.Hosts[j].Member.Host })
	return nil
}
