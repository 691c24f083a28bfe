package fleet

import (
	"reflect"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
)

// reportTTL is the time after which a report expires unless a newer one replaces it.
const reportTTL = 5 * time.Second

// serverList is a control member's list of backend servers with the reports about
// them. The leader reads it from the platform; the other members copy the leader's.
type serverList struct {
	mu      sync.Mutex
	source  string
	stamp   Stamp
	loaded  bool
	readAt  time.Duration
	list    backend.List
	reports map[string]timedReport
	// suspects holds the crash records and exists on the leader only. quarantined
	// is the part of it that is published, valid at quarantinedAt.
	suspects      *quarantine.Table
	quarantined   []message.Quarantine
	quarantinedAt time.Duration
	// reportsChanged is set if reports changed after the last publication.
	reportsChanged bool
	// change is closed and replaced at each change.
	change chan struct{}
}

// timedReport is a report with the time at which it arrived.
type timedReport struct {
	backend.Report
	at time.Duration
}

func newServerList(source string) *serverList {
	return &serverList{source: source, reports: map[string]timedReport{}, change: make(chan struct{})}
}

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

// publishLocked assigns a new stamp to the list with the current reports and wakes
// waiting watches. With loadsOnly the stamp keeps its Number, so that lazy watches get
// no early reply. The caller holds l.mu.
func (l *serverList) publishLocked(loadsOnly bool) {
	number := l.stamp.Number
	if !loadsOnly || l.stamp.Source != l.source {
		number++
	}
	l.stamp = Stamp{Source: l.source, Number: number, Loads: l.stamp.Loads + 1}
	l.list.Reports = make(map[string]backend.Report, len(l.reports))
	for address, r := range l.reports {
		l.list.Reports[address] = r.Report
	}
	l.reportsChanged = false
	l.notifyLocked()
}

// maxQuarantined limits the quarantine entries in a reply, which then take about
// 25 KB.
const maxQuarantined = 256

// recordCrashes records reported crashes and successes, and publishes the quarantine
// entries if they changed. The caller does not hold l.mu.
func (l *serverList) recordCrashes(r *CrashRequest, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects == nil {
		// Of the previous leader's table, only the published entries are known here.
		l.suspects = quarantine.Import(now, ageQuarantined(l.quarantined, now-l.quarantinedAt))
	}
	for _, c := range r.Crashes {
		l.suspects.RecordCrashOf(now, c.Server+" "+c.Digest, c.Digest, now-c.SentAgo, now-c.CrashedAgo)
	}
	l.suspects.RecordSuccess(now, r.Cleared)
	quarantined := l.suspects.Export(now, maxQuarantined)
	changed := len(quarantined) != len(l.quarantined)
	for i := 0; !changed && i < len(quarantined); i++ {
		changed = quarantined[i].Digest != l.quarantined[i].Digest || quarantined[i].Suspect != l.quarantined[i].Suspect
	}
	l.quarantined, l.quarantinedAt = quarantined, now
	if changed {
		l.publishLocked(false)
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
			l.reportsChanged = true
		}
	}
	same := l.loaded && reflect.DeepEqual(servers, l.list.Servers) && l.stamp.Source == l.source
	l.loaded, l.readAt = true, readAt
	l.list.Servers = servers
	if !same || l.reportsChanged {
		l.publishLocked(same)
	}
}

// recordReport stores a report. A changed leaving mark is published at once, a
// changed load by the next call of publishLoads.
func (l *serverList) recordReport(r backend.Report, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.reports[r.Address]
	l.reports[r.Address] = timedReport{r, now}
	if r.Leaving != (known && old.Leaving) {
		l.publishLocked(false)
	} else if !known || old.Load != r.Load {
		l.reportsChanged = true
	}
}

// publishLoads publishes the list if reports changed after the last publication.
func (l *serverList) publishLoads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportsChanged && l.loaded {
		l.publishLocked(true)
	}
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
	l.loaded, l.readAt, l.stamp = true, readAt, v.listStamp
	l.list = backend.List{Servers: v.Servers, Reports: v.Reports}
	l.suspects, l.quarantined, l.quarantinedAt = nil, v.quarantined, v.quarantinedAt
	l.notifyLocked()
}

// fillReply sets the stamp and age of the list in a reply, and the list itself if its
// stamp differs from the known one.
func (l *serverList) fillReply(known Stamp, now time.Duration, reply *WatchReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return
	}
	reply.HasList, reply.List, reply.ListAge = true, l.stamp, now-l.readAt
	if l.stamp != known {
		reply.Servers, reply.Reports = l.list.Servers, l.list.Reports
		reply.Quarantine = ageQuarantined(l.quarantined, now-l.quarantinedAt)
	}
}

// hasNewer reports whether the list differs from the one with the known stamp. For a
// lazy watch, changes of loads do not count.
func (l *serverList) hasNewer(known Stamp, lazy bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lazy {
		known.Loads = l.stamp.Loads
	}
	return l.stamp != known
}
