package fleet

import (
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// coldTolerance is the difference of the ends of a server's cold time that is not published.
const coldTolerance = 100 * time.Millisecond

// coldForOthers replaces the ends of the servers' cold times by the remaining times at now, for
// another host.
func coldForOthers(servers []backend.Server, now time.Duration) []backend.Server {
	for i := range servers {
		servers[i].ColdFor, servers[i].ColdUntil = max(0, servers[i].ColdUntil-now), 0
	}
	return servers
}

// coldHere replaces a server's remaining cold time, as of a message that arrived just now, by
// its end. The time of the message on its way makes the end a little late, not early.
func coldHere(server backend.Server) backend.Server {
	if server.ColdFor > 0 {
		server.ColdUntil = SinceBoot() + server.ColdFor
	}
	server.ColdFor = 0
	return server
}

// maxReportedCold bounds the cold time that a report may name.
const maxReportedCold = time.Hour

// recordColdLocked marks the server of a report as cold, and returns its id if it was not known to
// be. The caller holds l.mu and publishes the servers.
func (l *serverList) recordColdLocked(r backend.Report, now time.Duration) (becameCold []string) {
	l.reportedCold[r.Address] = now + min(r.ColdFor, maxReportedCold)
	marked := backend.MarkReported(now, l.listed, l.reportedCold, l.coldStart)
	for i, server := range marked {
		if l.listed[i].ColdUntil <= now && server.ColdUntil > now {
			becameCold = append(becameCold, server.ID)
		}
	}
	l.listed = marked
	return becameCold
}

// recordReport records a report of an agent on the leader.
func (c *Control) recordReport(r backend.Report) {
	now := SinceBoot()
	if r.ColdFor > 0 && c.servers.coldStart != nil {
		// A new desired state is decoded here and not while the list is locked.
		c.declaredService("")
	}
	for _, id := range c.servers.recordReport(r, now) {
		rate, arrived := 0.0, r.NewRuns
		if s := c.declaredService(c.servers.serviceOf(id)); s != nil {
			rate = s.ColdPerSecond
			if s.Engine != nil && s.Engine.CanReserve {
				// Each run was preceded by a reservation, which is a request too.
				arrived *= 2
			}
		}
		c.limits.countArrived(now, id, rate, arrived)
		c.metrics.coldReports.Add(1)
		c.options.Logger.Info("backend server reported that it is cold", zap.String("backend_server", id),
			zap.Duration("cold_seconds", r.ColdFor), zap.Int("new_runs", r.NewRuns), zap.Float64("limit_per_second", rate))
	}
}

// countArrived counts requests that arrived without permits at a server before it was known to be cold.
func (l *limitTable) countArrived(now time.Duration, server string, perSecond float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold == nil || perSecond <= 0 {
		return
	}
	l.cold.Observe(now, server, serverlimit.Observation{Limited: true, PerSecond: perSecond, SentAt: now, ReceivedAt: now})
	l.cold.CountArrived(now, server, n)
}

// coldStart implements backend.ColdStart.
func (v *View) coldStart(service string) (time.Duration, bool) {
	if v.Table == nil || v.Table.Service(service) == nil {
		return 0, false
	}
	s := v.Table.Service(service)
	return s.ColdStart, s.ColdPerSecond > 0
}

// serviceOf returns the service of a listed server, "" if it is not listed.
func (l *serverList) serviceOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers.values[id].value.Service
}

// coldStart implements backend.ColdStart.
func (c *Control) coldStart(service string) (time.Duration, bool) {
	if s := c.declaredService(service); s != nil {
		return s.ColdStart, s.ColdPerSecond > 0
	}
	return 0, false
}

// declaredService returns a service of the desired state in force, nil if it has none.
func (c *Control) declaredService(name string) *desired.Service {
	if table := c.declaredTable(); table != nil {
		return table.Service(name)
	}
	return nil
}

// declaredTable returns the desired state in force, nil if there is none.
func (c *Control) declaredTable() *desired.Table {
	version, document := c.stateMachine.current()
	if document == nil {
		return nil
	}
	table := c.table.Load()
	if table == nil || table.State.Version != version {
		decoded, err := c.watcher.decodeDocument(document)
		if err != nil {
			c.options.Logger.Warn("cannot decode the desired state in force", zap.Uint64("revision", version), zap.Error(err))
			// Every permit and server of the list asks for it, so it is not tried again.
			decoded = desired.NewTable(&desired.State{Version: version})
		}
		table = decoded
		c.table.Store(table)
	}
	return table
}

// coldRate returns the rate of requests that a cold server bears, 0 for no bound. An entry may
// know a server that is not in the list of this member yet.
func (c *Control) coldRate(r *serverlimit.Request) float64 {
	if c.options.ColdBound.Window <= 0 {
		return 0
	}
	if s := c.declaredService(c.servers.serviceOf(r.Server)); s != nil {
		return s.ColdPerSecond
	}
	return r.ColdPerSecond
}

// acquireCold grants permits for a server that is cold. It returns false on a member that does
// not lead. Whether the server is still cold is for the entry to know: it may have learned of
// the end of an evacuation before the list of this member shows the server as cold.
func (l *limitTable) acquireCold(now time.Duration, r serverlimit.Request, perSecond float64) (serverlimit.Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold == nil {
		return serverlimit.Reply{}, false
	}
	if perSecond <= 0 {
		return serverlimit.Reply{Known: &serverlimit.Age{}}, true
	}
	l.cold.Observe(now, r.Server, serverlimit.Observation{Limited: true, PerSecond: perSecond, SentAt: now, ReceivedAt: now})
	reply, _ := l.cold.Acquire(now, r)
	return reply, true
}

// acquire grants the permits of a request.
func (c *Control) acquire(now time.Duration, r serverlimit.Request) (serverlimit.Reply, error) {
	var reply serverlimit.Reply
	leads := false
	if r.ColdPerSecond > 0 {
		reply, leads = c.limits.acquireCold(now, r, c.coldRate(&r))
	} else {
		reply, leads = c.limits.acquire(now, r)
	}
	if !leads {
		return reply, rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead any more"))
	}
	return reply, nil
}
