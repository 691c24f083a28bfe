package quarantine

import (
	"cmp"
	"sort"
	"strings"
	"time"
)

// PartState is what is known of a part of prompts.
type PartState uint8

// States of a part.
const (
	// PartSuspected means that the part was under way at a crash.
	PartSuspected PartState = iota + 1
	// PartHeld means that requests with the part are refused.
	PartHeld
	// PartCleared means that the part is no longer suspected or held back.
	PartCleared
)

// PartStatus describes one part of prompts. Times are of the clock of the table that
// returned it; Relative and Absolute convert them to and from ages.
type PartStatus struct {
	ID    string
	State PartState
	// Crashes is the number of successive crashes at which the part was under way.
	Crashes int
	// Sound is set if an answer was seen to begin on the part before its first crash.
	Sound bool
	// Holds is how often the part was held back.
	Holds int
	// With lists the parts that were under way at the same crashes, so that any of them may
	// be the cause. Only requests with all of them are refused.
	With []string
	// ServerCrashes are the crashes at which the part was under way.
	ServerCrashes []ServerCrash
	// LastCrash is the time of the last crash, Until the end of the hold, and ClearedAt
	// the time of the evidence that cleared the part.
	LastCrash, Until, ClearedAt time.Duration
}

// ServerCrash is one crash of a server. A server may crash several times under one id.
type ServerCrash struct {
	Server string
	At     time.Duration
}

// isSame reports whether two crashes are one, seen by different entries.
func (c ServerCrash) isSame(other ServerCrash) bool {
	return c.Server == other.Server && (c.At-other.At).Abs() <= maxNoticeDelay
}

// serverCrash returns the crash that the report is about.
func (c PartCrash) serverCrash() ServerCrash { return ServerCrash{Server: c.Server, At: c.Crashed} }

// Relative returns the status with its times relative to now.
func (s PartStatus) Relative(now time.Duration) PartStatus {
	s.LastCrash, s.Until, s.ClearedAt = s.LastCrash-now, s.Until-now, s.ClearedAt-now
	crashes := make([]ServerCrash, len(s.ServerCrashes))
	for i, c := range s.ServerCrashes {
		crashes[i] = ServerCrash{Server: c.Server, At: c.At - now}
	}
	s.ServerCrashes = crashes
	return s
}

// Servers returns the ids of the servers that crashed, once for each crash.
func (s PartStatus) Servers() []string {
	ids := make([]string, len(s.ServerCrashes))
	for i, c := range s.ServerCrashes {
		ids[i] = c.Server
	}
	return ids
}

// Absolute reverses Relative.
func (s PartStatus) Absolute(now time.Duration) PartStatus { return s.Relative(-now) }

// Status returns the status of a part, false if nothing is known of it.
func (t *Parts) Status(id string) (PartStatus, bool) {
	if p := t.records[id]; p != nil {
		return p.PartStatus, true
	}
	return PartStatus{}, false
}

// Statuses returns at most limit parts: those held back, then suspects, then cleared
// ones, each group by its last change, newest first.
func (t *Parts) Statuses(now time.Duration, limit int) []PartStatus {
	t.Expire(now)
	rank := map[PartState]int{PartHeld: 0, PartSuspected: 1, PartCleared: 2}
	all := make([]*part, 0, len(t.records))
	for _, p := range t.records {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		return cmp.Or(cmp.Compare(rank[a.State], rank[b.State]), cmp.Compare(b.changedAt, a.changedAt),
			strings.Compare(a.ID, b.ID)) < 0
	})
	statuses := make([]PartStatus, 0, min(limit, len(all)))
	for _, p := range all[:min(limit, len(all))] {
		statuses = append(statuses, p.PartStatus)
	}
	return statuses
}

// Merge adds what another table knows of a part and reports whether the state changed.
// Evidence that is later than the last crash outweighs a suspicion or a hold.
func (t *Parts) Merge(now time.Duration, s PartStatus) bool {
	p := t.records[s.ID]
	switch {
	case s.State == PartCleared:
		if p == nil || p.State == PartCleared || p.LastCrash > s.ClearedAt {
			return false
		}
		p.clear(s.ClearedAt)
		return true
	case p != nil && p.State == PartCleared && p.ClearedAt >= s.LastCrash, s.State == PartHeld && s.Until <= now:
		return false
	case p == nil || p.State == PartCleared:
		p = t.add(now, s.ID)
	}
	before := p.State
	p.Sound, p.Holds = p.Sound || s.Sound, max(p.Holds, s.Holds)
	for _, crash := range s.ServerCrashes {
		if !p.has(crash) {
			p.addCrash(crash, true)
		}
	}
	p.Crashes = max(p.Crashes, s.Crashes)
	p.LastCrash, p.lastCounted = max(p.LastCrash, s.LastCrash), max(p.lastCounted, s.LastCrash)
	if s.State == PartHeld {
		if p.State != PartHeld || len(s.With) < len(p.With) {
			p.With = s.With
		}
		p.State, p.Until = PartHeld, max(p.Until, s.Until)
	}
	p.changedAt = max(p.changedAt, p.LastCrash)
	return p.State != before || s.State == PartHeld && before != PartHeld
}
