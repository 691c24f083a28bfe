package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/quarantine"
)

// reportTTL is the time after which a report expires unless a newer one replaces it.
const reportTTL = 5 * time.Second

// serverList is a control member's list of backend servers with the reports about
// them. The leader reads it from the platform; the other members copy the leader's.
type serverList struct {
	mu     sync.Mutex
	source string
	stamp  Stamp
	loaded bool
	readAt time.Duration
	// listed are the servers as the leader last read them, and reports what agents reported of
	// them.
	listed  []backend.Server
	reports map[string]timedReport
	// servers are the published servers by id, with the leaving marks of the reports, and
	// loads the published reports by address.
	servers *changeLog[backend.Server]
	loads   *changeLog[backend.Report]
	// subsets caches the addresses of the servers that each entry places on, as of the
	// stamp's Number and the evacuations' revision.
	subsets                           map[string]map[string]bool
	subsetsNumber, subsetsEvacuations uint64
	// suspects holds the crash records and exists on the leader only. quarantined
	// is the part of it that is published, valid at quarantinedAt.
	suspects      *quarantine.Table
	quarantined   []message.Quarantine
	quarantinedAt time.Duration
	// coldStart is nil if the deployment has no bound for cold servers.
	coldStart backend.ColdStart
	// reportedCold holds the ends of the cold times that agents reported to the leader, by address.
	reportedCold map[string]time.Duration
	// evacuations returns the evacuated failure domains and the revision of their set. It may be nil.
	evacuations func() (domains map[string]bool, revision uint64)
	// loadsChanged is set if loads changed after the last publication.
	loadsChanged bool
	// change is closed and replaced at each change.
	change chan struct{}
}

// timedReport is a report with the time at which it arrived.
type timedReport struct {
	backend.Report
	at time.Duration
}

func newServerList(source string) *serverList {
	return &serverList{source: source, reports: map[string]timedReport{}, change: make(chan struct{}),
		reportedCold: map[string]time.Duration{}, servers: newChangeLog(sameServer), loads: newChangeLog(SameLoad)}
}

// sameServer reports whether the difference of two states of a server does not matter. The list
// gives the remaining time in which a server is cold, whose end differs a little with each read.
func sameServer(a, b backend.Server) bool {
	a.ColdFor = b.ColdFor
	if a.ColdUntil != 0 && b.ColdUntil != 0 && (a.ColdUntil-b.ColdUntil).Abs() <= coldTolerance {
		a.ColdUntil = b.ColdUntil
	}
	return a == b
}

// loadStep is the part of a server's memory, one of so many, by which a load has to change to
// be published.
const loadStep = 50

// SameLoad reports whether two loads are so close that the difference does not matter to placement.
func SameLoad(a, b backend.Report) bool {
	step := max(a.Load.TotalTokens, b.Load.TotalTokens) / loadStep
	return a.Address == b.Address && a.Load.Waiting == b.Load.Waiting && a.Load.TotalTokens == b.Load.TotalTokens &&
		abs(a.Load.UsedTokens-b.Load.UsedTokens) <= step
}

func abs(n int) int { return max(n, -n) }

// changed returns a channel that is closed at the next change of the list or the
// desired state.
func (l *serverList) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change
}

// notify wakes all watches that wait for a change.
func (l *serverList) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

// notifyLocked wakes all watches that wait for a change. The caller holds l.mu.
func (l *serverList) notifyLocked() {
	close(l.change)
	l.change = make(chan struct{})
}

// leadLocked makes the following publications this member's own. The caller holds l.mu.
func (l *serverList) leadLocked() {
	if l.stamp.Source == l.source {
		return
	}
	l.stamp = Stamp{Source: l.source, Number: l.stamp.Number + 1, Loads: l.stamp.Loads + 1}
	l.servers.restart(l.stamp.Number)
	l.loads.restart(l.stamp.Loads)
	l.notifyLocked()
}

// publishServersLocked publishes the servers with the current leaving marks, if they changed or
// must is set, and wakes waiting watches. The caller holds l.mu.
func (l *serverList) publishServersLocked(must bool) {
	l.leadLocked()
	reports := make(map[string]backend.Report, len(l.reports))
	for address, r := range l.reports {
		reports[address] = r.Report
	}
	servers := make(map[string]backend.Server, len(l.listed))
	for _, server := range (backend.List{Servers: l.listed, Reports: reports}).Merge() {
		servers[server.ID] = server
	}
	if !must && !l.servers.differs(servers) {
		return
	}
	l.stamp.Number++
	l.servers.replace(l.stamp.Number, servers)
	l.notifyLocked()
}

// maxQuarantined limits the quarantine entries in a reply, which then take about
// 25 KB.
const maxQuarantined = 256

// recordCrashes records reported crashes and successes, and publishes the quarantine
// entries if they changed. The caller does not hold l.mu.
func (l *serverList) recordCrashes(now time.Duration, r *CrashRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects == nil {
		// Of the previous leader's table, only the published entries are known here.
		l.suspects = quarantine.Import(now, ageQuarantined(l.quarantined, now-l.quarantinedAt))
	}
	for _, c := range r.Crashes {
		l.suspects.RecordCrashOf(now, c.Digest, quarantine.Attempt{Sent: r.Reading.At - c.SentAgo, Crashed: r.Reading.At - c.CrashedAgo})
	}
	l.suspects.RecordSuccess(now, r.Cleared)
	quarantined := l.suspects.Export(now, maxQuarantined)
	changed := len(quarantined) != len(l.quarantined)
	for i := 0; !changed && i < len(quarantined); i++ {
		changed = quarantined[i].Digest != l.quarantined[i].Digest || quarantined[i].Suspect != l.quarantined[i].Suspect
	}
	l.quarantined, l.quarantinedAt = quarantined, now
	if changed {
		l.publishServersLocked(true)
	}
}

// ageQuarantined subtracts elapsed from the remaining time of each entry and drops
// the entries that expired.
func ageQuarantined(quarantined []message.Quarantine, elapsed time.Duration) []message.Quarantine {
	var list []message.Quarantine
	for _, q := range quarantined {
		if q.For -= elapsed; q.For > 0 {
			list = append(list, q)
		}
	}
	return list
}

// setServers stores a list that the leader read from the platform, and removes
// expired reports. readAt is the time since boot at which the read started.
func (l *serverList) setServers(servers []backend.Server, readAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, r := range l.reports {
		if readAt-r.at > reportTTL {
			delete(l.reports, address)
			l.loadsChanged = true
		}
	}
	first := !l.loaded
	if l.coldStart != nil {
		now := SinceBoot()
		maps.DeleteFunc(l.reportedCold, func(_ string, until time.Duration) bool { return until <= now })
		servers = backend.MarkCold(now, servers, l.listed, first, l.coldStart)
		servers = backend.MarkReported(now, servers, l.reportedCold, l.coldStart)
	}
	l.loaded, l.readAt, l.listed = true, readAt, servers
	l.publishServersLocked(first)
}

// recordReport stores a report. A changed leaving mark and a cold server are published at once, a
// changed load by the next call of publishLoads. It returns the ids of the servers that were not known
// to be cold.
func (l *serverList) recordReport(r backend.Report, now time.Duration) (becameCold []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ColdFor > 0 && l.coldStart != nil {
		becameCold = l.recordColdLocked(r, now)
	}
	// The remaining time would be handed out with the load, which may be old.
	isCold := r.ColdFor > 0
	r.ColdFor, r.NewRuns = 0, 0
	old, known := l.reports[r.Address]
	l.reports[r.Address] = timedReport{r, now}
	if (isCold || r.Leaving != (known && old.Leaving)) && l.loaded {
		l.publishServersLocked(false)
	}
	if published, known := l.loads.values[r.Address]; !known || !SameLoad(published.value, r) {
		l.loadsChanged = true
	}
	return becameCold
}

// publishLoads publishes the loads that changed after the last publication.
func (l *serverList) publishLoads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loadsChanged || !l.loaded {
		return
	}
	l.leadLocked()
	loads := make(map[string]backend.Report, len(l.reports))
	for address, r := range l.reports {
		loads[address] = r.Report
	}
	l.stamp.Loads++
	l.loads.replace(l.stamp.Loads, loads)
	l.loadsChanged = false
	l.notifyLocked()
}

// copyFrom replaces the list by the leader's, which this member's watcher received,
// or renews only its age if the stamp is unchanged.
func (l *serverList) copyFrom(v *View, readAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.listStamp == l.stamp || v.listStamp == (Stamp{}) {
		l.readAt = max(l.readAt, readAt)
		return
	}
	source := l.stamp.Source
	l.loaded, l.readAt, l.stamp = true, readAt, v.listStamp
	servers := make(map[string]backend.Server, len(v.Servers))
	for _, server := range v.Servers {
		servers[server.ID] = server
	}
	l.listed = v.Servers
	l.servers.replace(l.stamp.Number, servers)
	l.loads.replace(l.stamp.Loads, v.Reports)
	if l.stamp.Source != source {
		l.servers.restart(l.stamp.Number)
		l.loads.restart(l.stamp.Loads)
	}
	l.suspects, l.quarantined, l.quarantinedAt = nil, v.quarantined, v.quarantinedAt
	l.notifyLocked()
}

// fillReply sets the stamp and age of the list in a reply to a watch, and what changed after
// the list that the sender knows.
func (l *serverList) fillReply(request *WatchRequest, now time.Duration, reply *WatchReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return
	}
	known := request.List
	if known.Source != l.stamp.Source {
		known = Stamp{}
	}
	reply.HasList, reply.List, reply.ListAge = true, l.stamp, now-l.readAt
	serversSent := known.Source == "" || known.Number < l.stamp.Number
	if serversSent {
		changed, removed, complete := l.servers.since(known.Number)
		if reply.AllServers = known.Source == "" || !complete; reply.AllServers {
			changed, removed = l.servers.all(), nil
		}
		reply.Servers, reply.RemovedServers = coldForOthers(changed, now), removed
		reply.Quarantine = ageQuarantined(l.quarantined, now-l.quarantinedAt)
	}
	if request.Lazy && request.Wait > 0 {
		reply.List.Loads = known.Loads
		return
	}
	l.fillLoads(request, known, serversSent, reply)
}

// fillLoads sets the loads that the sender does not know, of the servers that it places on.
// These change with the servers and the evacuations, so then it sets all.
func (l *serverList) fillLoads(request *WatchRequest, known Stamp, serversSent bool, reply *WatchReply) {
	changed, removed, complete := l.loads.since(known.Loads)
	evacuated, revision := l.evacuationsLocked()
	evacuationsSent := request.WantsEvacuations && revision > request.Evacuations
	if reply.AllLoads = serversSent || evacuationsSent || !complete; reply.AllLoads {
		changed, removed = l.loads.all(), nil
	}
	if request.Entry != "" {
		subset := l.subsetLocked(request.Entry, evacuated, revision)
		changed = slices.DeleteFunc(changed, func(r backend.Report) bool { return !subset[r.Address] })
		removed = slices.DeleteFunc(removed, func(address string) bool { return !subset[address] })
	}
	reply.Reports, reply.RemovedReports = changed, removed
}

// subsetLocked returns the addresses of the servers that an entry places requests on, of the
// services whose servers report loads. The caller holds l.mu.
func (l *serverList) subsetLocked(entry string, evacuated map[string]bool, revision uint64) map[string]bool {
	if l.subsetsNumber != l.stamp.Number || l.subsetsEvacuations != revision || len(l.subsets) >= maxSubsets {
		l.subsets, l.subsetsNumber, l.subsetsEvacuations = map[string]map[string]bool{}, l.stamp.Number, revision
	}
	if subset := l.subsets[entry]; subset != nil {
		return subset
	}
	names, addresses, reporting := map[string][]string{}, map[string]string{}, map[string]bool{}
	for id, server := range l.servers.values {
		names[server.value.Service] = append(names[server.value.Service], id)
		addresses[id] = server.value.Address
		if _, reports := l.loads.values[server.value.Address]; reports {
			reporting[server.value.Service] = true
		}
	}
	isEvacuated := func(id string) bool { return evacuated[l.servers.values[id].value.FailureDomain] }
	subset := map[string]bool{}
	for service := range reporting {
		for _, id := range placement.SubsetOutside(entry, names[service], isEvacuated, placement.DefaultSubsetSize) {
			subset[addresses[id]] = true
		}
	}
	l.subsets[entry] = subset
	return subset
}

// evacuationsLocked returns the evacuated failure domains and the revision of their set. The caller
// holds l.mu.
func (l *serverList) evacuationsLocked() (domains map[string]bool, revision uint64) {
	if l.evacuations == nil {
		return nil, 0
	}
	return l.evacuations()
}

// maxSubsets bounds the entries whose subsets are cached.
const maxSubsets = 256

// isLoaded reports whether this member has a list.
func (l *serverList) isLoaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// hasNewer reports whether the list is newer than the one with the known stamp. For a
// lazy watch, changes of loads do not count.
func (l *serverList) hasNewer(known Stamp, lazy bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stamp.Source != known.Source || l.stamp.Number > known.Number || !lazy && l.stamp.Loads > known.Loads
}
