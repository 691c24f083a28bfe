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
	// dutyInterval is the pause between looks at overdue hosts and leadership.
	dutyInterval = 500 * time.Millisecond
	// confirmedFor is how long a confirmed leadership counts for heartbeats.
	confirmedFor = 2 * time.Second
	// tickInterval bounds the time that a change of leader takes off the
	// registry's clock when nothing else is proposed.
	tickInterval = time.Minute
	// maxReportBatch bounds the reports in one command.
	maxReportBatch = 64
	// maxQuarantineChanges bounds one heartbeat reply to about 25 KB.
	maxQuarantineChanges = 256
	maxServersPerHost    = 256
	maxRoles             = 16
)

// Heartbeat takes a daemon's report and returns what it has not seen yet.
// Times of heartbeats stay at the leader; only changes are proposed.
func (s *Service) Heartbeat(request *message.HeartbeatRequest, reply *message.HeartbeatReply) error {
	address, self := s.options.Log.Leader()
	if !self {
		return notLeader(address)
	}
	if request.Header.Host == "" || len(request.BackendServers) > maxServersPerHost || len(request.Roles) > maxRoles {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the heartbeat names no host or too much"))
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
	})
	reply.Leader = address
	s.metrics.heartbeats.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lead(now).RecordHeartbeat(now, request)
	reply.Current = s.confirmed && now-s.confirmedAt <= confirmedFor
	if changed && len(s.pending) < host.MaxMembers {
		s.pending[request.Header.Host] = report
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return nil
}

// lead returns the monitor of the present leadership. The lock is held.
func (s *Service) lead(now time.Duration) *host.Monitor {
	if s.monitor == nil {
		s.monitor = host.NewMonitor(now)
	}
	return s.monitor
}

// Run does the leader's duties until ctx ends: it proposes changed reports and
// silent hosts.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	ticked := s.options.Elapsed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.proposeReports()
		case <-ticker.C:
			if !s.watch() {
				continue
			}
			if now := s.options.Elapsed(); now-ticked > tickInterval {
				ticked = now
				s.duty(&registry.Command{})
			}
		}
	}
}

// watch follows the leadership and proposes silent hosts as dead. It tells
// whether this member leads.
func (s *Service) watch() bool {
	if _, self := s.options.Log.Leader(); !self {
		s.mu.Lock()
		s.monitor, s.confirmed, s.pending = nil, false, map[string]host.Report{}
		s.mu.Unlock()
		return false
	}
	asked := s.options.Elapsed()
	err := s.barrier()
	s.mu.Lock()
	s.lead(asked)
	if err == nil {
		s.confirmed, s.confirmedAt = true, asked
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
	var died []registry.DeadHost
	for _, d := range silent[:min(len(silent), maxReportBatch)] {
		died = append(died, registry.DeadHost(d))
		s.options.Logger.Warn("host sends no heartbeats", zap.String("host", d.Host))
	}
	if len(died) > 0 && s.duty(&registry.Command{DeadHosts: died}) {
		s.metrics.deaths.Add(int64(len(died)))
	}
	return true
}

func (s *Service) proposeReports() {
	for {
		s.mu.Lock()
		var batch []host.Report
		for name, report := range s.pending {
			if len(batch) == maxReportBatch {
				break
			}
			batch = append(batch, report)
			delete(s.pending, name)
		}
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		// After a failure the next heartbeat brings the report again.
		if !s.duty(&registry.Command{Reports: batch}) {
			return
		}
	}
}

func (s *Service) duty(command *registry.Command) bool {
	_, err := submit[message.LeavingReply](s, command)
	if err != nil {
		s.options.Logger.Warn("proposal failed", zap.Error(err))
	}
	return err == nil
}

// SetPlatformLeaving takes the platform's list of leaving hosts.
func (s *Service) SetPlatformLeaving(names []string) error {
	_, err := submit[message.LeavingReply](s, &registry.Command{SetPlatformLeaving: &registry.SetPlatformLeaving{Leaving: names}})
	return err
}

// Status returns this member's view of the fleet.
func (s *Service) Status(_ *message.StatusRequest, reply *message.StatusReply) error {
	reply.Leader, reply.Leading = s.options.Log.Leader()
	reply.Current = reply.Leading && s.barrier() == nil
	s.describeGroup(reply)
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
