package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// pooledHealth judges servers by the outcomes of all entries. One probe succeeds by chance
// now and then at a server that fails most requests, so several have to. Suspected servers are
// probed, because all entries avoid them and nothing else would be seen of them.
var pooledHealth = serverhealth.Config{ProbeInterval: time.Second, MaxProbeInterval: 4 * time.Second,
	RequestsPerProbe: 100, MaxProbeGap: 8 * time.Second, ProbeSuccesses: 3, ProbeSuspected: true, MaxFailing: 0.75}

const (
	// maxStandings limits the servers of a service in a reply, which then take about 20 KB.
	maxStandings = 512
	// outcomeReportTimeout limits one report of outcomes, which is not repeated: later
	// outcomes show the same.
	outcomeReportTimeout = 500 * time.Millisecond
	// probeGrantTimeout limits one request for a probe. A caller's request waits for it.
	probeGrantTimeout = 50 * time.Millisecond
)

// Standings maps services to their servers that are not sound.
type Standings map[string]map[string]serverhealth.Status

// ServiceStandings are the servers of a service that are not sound.
type ServiceStandings struct {
	Service string
	Servers []serverhealth.Status
}

// standingTable is a control member's copy of what is known of servers that fail. The
// leader's decides, by the outcomes that entries report; the other members copy it.
type standingTable struct {
	// source identifies this member's process in stamps.
	source string
	// notify wakes the watches that wait for a change.
	notify func()
	logger *zap.Logger

	mu    sync.Mutex
	stamp Stamp
	known []ServiceStandings
	// tables is nil on members that do not lead. It maps services to their tables.
	tables map[string]*serverhealth.Table
	// listed maps services to the servers in the list.
	listed map[string]map[string]bool
}

// lead makes this member decide, with what it copied from the previous leader.
func (t *standingTable) lead(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tables != nil {
		return
	}
	t.tables = map[string]*serverhealth.Table{}
	for _, s := range t.known {
		t.tableLocked(s.Service).Import(now, s.Servers)
	}
}

// tableLocked returns the table of a service, creating it if needed. The caller holds t.mu.
func (t *standingTable) tableLocked(service string) *serverhealth.Table {
	table := t.tables[service]
	if table == nil {
		table = serverhealth.NewTable(pooledHealth)
		t.tables[service] = table
	}
	return table
}

// setServers forgets the servers that are not in a list. It has no effect on a member that
// does not lead.
func (t *standingTable) setServers(servers []backend.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tables == nil {
		return
	}
	t.listed = map[string]map[string]bool{}
	for _, s := range servers {
		if t.listed[s.Service] == nil {
			t.listed[s.Service] = map[string]bool{}
		}
		t.listed[s.Service][s.ID] = true
	}
	for service, table := range t.tables {
		listed := t.listed[service]
		table.SetServers(len(listed), func(id string) bool { return listed[id] })
		if len(listed) == 0 {
			delete(t.tables, service)
		}
	}
}

// observe records what an entry saw. Services and servers that are not in the list are
// ignored.
func (t *standingTable) observe(now time.Duration, entry string, batches []serverhealth.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tables == nil {
		return
	}
	for _, b := range batches {
		listed := t.listed[b.Service]
		if len(listed) == 0 {
			continue
		}
		table := t.tableLocked(b.Service)
		table.SetServers(len(listed), func(id string) bool { return listed[id] })
		b.Samples = slices.DeleteFunc(b.Samples, func(s serverhealth.Sample) bool { return !listed[s.Server] })
		for _, server := range table.ObserveBatch(now, b) {
			t.logChange(now, entry, b.Service, server, table)
		}
	}
}

// logChange logs that the state of a server changed, with the evidence.
func (t *standingTable) logChange(now time.Duration, entry, service, server string, table *serverhealth.Table) {
	status := table.Status(now, server)
	fields := []zap.Field{zap.String("backend_server", server), zap.String("service", service),
		zap.String("last_entry", entry), zap.Int("failing_servers", table.Failing()), zap.Int("failed", status.Failed),
		zap.Int("samples", status.Samples), zap.Float64("score_nats", status.Score)}
	switch status.State {
	case serverhealth.Failing:
		t.logger.Warn("backend server fails", fields...)
	case serverhealth.Suspected:
		t.logger.Info("backend server suspected of failing", fields...)
	default:
		t.logger.Info("backend server is sound again", fields...)
	}
}

// publish publishes what the tables know, if it changed.
func (t *standingTable) publish(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tables == nil {
		return
	}
	var known []ServiceStandings
	for service, table := range t.tables {
		if list := table.Export(now, maxStandings); len(list) > 0 {
			known = append(known, ServiceStandings{service, list})
		}
	}
	slices.SortFunc(known, func(a, b ServiceStandings) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	if slices.EqualFunc(known, t.known, sameStandings) && t.stamp.Source == t.source {
		return
	}
	t.known = known
	t.stamp = Stamp{Source: t.source, Number: t.stamp.Number + 1}
	t.notify()
}

// sameStandings reports whether two standings have the same consequences.
func sameStandings(a, b ServiceStandings) bool {
	return a.Service == b.Service && slices.EqualFunc(a.Servers, b.Servers, func(a, b serverhealth.Status) bool {
		return a.Server == b.Server && a.State == b.State && a.ProbeDue == b.ProbeDue
	})
}

// grantProbe reports whether a failing or suspected server may get a probe now, and counts it.
func (t *standingTable) grantProbe(now time.Duration, service, server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := t.tables[service]
	return table != nil && table.StartProbe(now, server)
}

// copyFrom replaces the standings by the leader's, which this member's watcher received.
func (t *standingTable) copyFrom(v *View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tables = nil
	if v.standingsStamp == t.stamp || v.standingsStamp == (Stamp{}) {
		return
	}
	t.stamp, t.known = v.standingsStamp, nil
	for service, servers := range v.Standings {
		s := ServiceStandings{Service: service}
		for _, status := range servers {
			s.Servers = append(s.Servers, status)
		}
		t.known = append(t.known, s)
	}
	t.notify()
}

// hasNewer reports whether the standings differ from those with the known stamp.
func (t *standingTable) hasNewer(known Stamp) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stamp != known && t.stamp != (Stamp{})
}

// fillReply sets the standings in a reply if their stamp differs from the known one.
func (t *standingTable) fillReply(known Stamp, reply *WatchReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stamp == known || t.stamp == (Stamp{}) {
		return
	}
	reply.HasStandings, reply.StandingsStamp, reply.Standings = true, t.stamp, t.known
}

// list returns what this member knows.
func (t *standingTable) list() []ServiceStandings {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// OutcomeRequest reports outcomes of requests at backend servers.
type OutcomeRequest struct {
	Entry   string
	Batches []serverhealth.Batch
}

// Outcomes records what an entry saw. Other members than the leader return its address
// instead.
func (s *service) Outcomes(request *OutcomeRequest, reply *ReportReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		return nil
	}
	c.standings.observe(SinceBoot(), request.Entry, request.Batches)
	return nil
}

// ProbeRequest asks for permission to send one request to a failing or suspected backend server.
type ProbeRequest struct{ Service, Server string }

// ProbeReply tells whether the request may be sent.
type ProbeReply struct{ Granted bool }

// GrantProbe allows one request at a time, over all entries, to a failing or suspected backend
// server.
func (s *service) GrantProbe(request *ProbeRequest, reply *ProbeReply) error {
	if !s.control.leads() {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead"))
	}
	reply.Granted = s.control.standings.grantProbe(SinceBoot(), request.Service, request.Server)
	return nil
}

// ReportOutcomes reports outcomes to the leader in the background. A report that is not
// delivered is dropped.
func (w *Watcher) ReportOutcomes(entry string, batches []serverhealth.Batch) {
	go func() {
		leader := w.View().Leader
		if leader == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), outcomeReportTimeout)
		defer cancel()
		var reply ReportReply
		err := w.options.Pool.Call(ctx, leader, ServiceName+".Outcomes", &OutcomeRequest{Entry: entry, Batches: batches}, &reply)
		if err != nil {
			w.options.Logger.Info("outcomes of requests not reported", zap.String("leader", leader), zap.Error(err))
		}
	}()
}

// AcquireProbe asks the leader for permission to send one request to a failing or suspected
// backend server.
func (w *Watcher) AcquireProbe(ctx context.Context, service, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeGrantTimeout)
	defer cancel()
	var reply ProbeReply
	err := w.options.Pool.Call(ctx, w.View().Leader, ServiceName+".GrantProbe", &ProbeRequest{service, server}, &reply)
	return err == nil && reply.Granted
}

// StandingsRequest asks a member which backend servers are not sound.
type StandingsRequest struct{}

// StandingsReply holds them.
type StandingsReply struct{ Services []ServiceStandings }

// Standings returns the backend servers that this member knows not to be sound.
func (s *service) Standings(_ *StandingsRequest, reply *StandingsReply) error {
	if s.control.node.Load() == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	reply.Services = s.control.standings.list()
	return nil
}
