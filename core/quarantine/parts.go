package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Thresholds, durations and limits of Parts.
const (
	// partCrashes is the number of successive crashes that holds back a part on which no
	// answer was ever seen to begin, and soundPartCrashes that of other parts.
	partCrashes      = 2
	soundPartCrashes = 4
	// partSuspectTTL is how long a part remains suspected after its last crash.
	partSuspectTTL = 10 * time.Minute
	// clearedTTL is how long a cleared part is published. Other copies learn of it meanwhile.
	clearedTTL = time.Minute
	// firstHold is how long a part is held back the first time. The time doubles up to
	// maxHold each time that it crashes a server afterwards.
	firstHold = 10 * time.Minute
	maxHold   = 24 * time.Hour
	// MaxPartsPerCrash limits the parts of one request that a crash report names.
	MaxPartsPerCrash = 64
	maxParts         = 2048
	// maxCrashesPerPart limits the crashes that are kept for a part.
	maxCrashesPerPart = 12
	// maxNoticeDelay is the longest time after which an entry notices that a server crashed,
	// with the error of its report. A server takes longer to come back and crash again.
	maxNoticeDelay = 1500*time.Millisecond + MaxAgeError
)

// PartCrash is a request whose answer had not begun when its server crashed. Any one of
// its parts may be the cause.
type PartCrash struct {
	// Server is the id of the server, which may start again under the same one.
	Server string
	Parts  []string
	// Sound are those of Parts on which the reporter saw answers begin before.
	Sound         []string
	Sent, Crashed time.Duration
}

// part is the record of one part.
type part struct {
	PartStatus
	// counted tells for each crash in ServerCrashes whether it is in Crashes.
	counted []bool
	// lastCounted is the time of the last crash that is in Crashes.
	lastCounted time.Duration
	// crashesAlone is the number of successive crashes of requests that lacked parts of With
	// and thus were not refused.
	crashesAlone int
	// changedAt is the time of the last change, by which records expire.
	changedAt time.Duration
}

// Parts finds parts of prompts that crash backend servers, whatever else the requests
// hold. A part is suspected if it was under way at a crash, before its answer began, and
// cleared if an answer begins on it later. It is held back when successive crashes leave
// it as the most likely cause. Parts is not safe for concurrent use.
//
// Every part of an affected request is suspected at first. A crash counts for a part only
// if the request was sent after the last crash that counted, because servers of one
// failure domain are lost together.
type Parts struct {
	records map[string]*part
}

// NewParts returns an empty table.
func NewParts() *Parts { return &Parts{records: map[string]*part{}} }

// RecordCrash records a request whose answer had not begun at a crash, and returns the
// parts whose state changed.
func (t *Parts) RecordCrash(now time.Duration, c PartCrash) (changed []PartStatus) {
	changed = t.Expire(now)
	if c.Server == "" || t.explains(c) {
		return changed
	}
	var candidates, added []*part
	for _, id := range c.Parts[:min(len(c.Parts), MaxPartsPerCrash)] {
		p := t.records[id]
		switch {
		case p == nil || p.State == PartCleared && p.ClearedAt < c.Crashed:
			sound := p != nil && p.Sound
			p = t.add(now, id)
			p.Sound = sound
			added = append(added, p)
		case p.State == PartCleared:
			continue
		case p.State == PartHeld:
			if p.countAlone(now, c) {
				changed = append(changed, p.PartStatus)
			}
			continue
		}
		p.Sound = p.Sound || slices.Contains(c.Sound, id)
		p.count(now, c)
		candidates = append(candidates, p)
	}
	for _, p := range added {
		changed = append(changed, p.PartStatus)
	}
	var guilty []*part
	for _, p := range candidates {
		if p.State == PartSuspected && t.isGuilty(p) {
			guilty = append(guilty, p)
		}
	}
	return append(changed, t.hold(now, guilty)...)
}

// explains reports whether a held part is the cause of a crash, which then raises no other
// suspicion.
func (t *Parts) explains(c PartCrash) bool {
	explained := false
	for _, id := range c.Parts {
		if p := t.records[id]; p != nil && p.refuses(c.Parts) {
			if p.find(c) < 0 {
				p.addCrash(c.serverCrash(), false)
			}
			p.LastCrash, p.lastCounted = max(p.LastCrash, c.Crashed), max(p.lastCounted, c.Crashed)
			t.explain(c.serverCrash())
			explained = true
		}
	}
	if explained {
		return true
	}
	for _, p := range t.records {
		if p.State == PartHeld && p.find(c) >= 0 {
			return true
		}
	}
	return false
}

// add returns a new record of a suspected part. If the table is full, it replaces the
// suspect that changed least recently.
func (t *Parts) add(now time.Duration, id string) *part {
	if len(t.records) >= maxParts {
		var oldest *part
		for _, p := range t.records {
			if p.State != PartHeld && (oldest == nil || p.changedAt < oldest.changedAt) {
				oldest = p
			}
		}
		if oldest != nil {
			delete(t.records, oldest.ID)
		}
	}
	p := &part{PartStatus: PartStatus{ID: id, State: PartSuspected}, changedAt: now, lastCounted: -maxHold}
	t.records[id] = p
	return p
}

// count counts a crash, unless the request was sent before the last one that counted.
func (p *part) count(now time.Duration, c PartCrash) {
	p.LastCrash, p.changedAt = max(p.LastCrash, c.Crashed), now
	counts := c.Sent >= p.lastCounted
	if i := p.find(c); i >= 0 {
		if p.counted[i] || !counts {
			return
		}
		p.counted[i] = true
	} else {
		p.addCrash(c.serverCrash(), counts)
	}
	if counts {
		p.Crashes++
		p.lastCounted = c.Crashed
	}
}

// countAlone counts a crash of a request with a held part that lacked parts of With, and
// reports whether the part is held back alone from now on.
func (p *part) countAlone(now time.Duration, c PartCrash) (alone bool) {
	if c.Sent < p.lastCounted {
		return false
	}
	p.crashesAlone++
	p.LastCrash, p.lastCounted, p.changedAt = max(p.LastCrash, c.Crashed), c.Crashed, now
	if p.crashesAlone < partCrashes || len(p.With) == 0 {
		return false
	}
	p.With = nil
	return true
}

// addCrash adds a crash. If there are too many, it replaces the oldest one that is not
// counted, or the oldest.
func (p *part) addCrash(c ServerCrash, counted bool) {
	if len(p.ServerCrashes) >= maxCrashesPerPart {
		p.removeCrash(max(0, slices.Index(p.counted, false)))
	}
	p.ServerCrashes, p.counted = append(slices.Clip(p.ServerCrashes), c), append(p.counted, counted)
}

func (p *part) removeCrash(i int) {
	p.ServerCrashes, p.counted = slices.Delete(slices.Clone(p.ServerCrashes), i, i+1), slices.Delete(p.counted, i, i+1)
}

// find returns the index of the crash that a report is about, -1 if it is not known.
func (p *part) find(c PartCrash) int {
	return slices.IndexFunc(p.ServerCrashes, func(known ServerCrash) bool {
		return known.Server == c.Server && c.Sent < known.At+MaxAgeError && known.At <= c.Crashed+maxNoticeDelay
	})
}

// has reports whether the part was under way at a crash.
func (p *part) has(c ServerCrash) bool { return slices.ContainsFunc(p.ServerCrashes, c.isSame) }

// refuses reports whether requests with these parts are refused because of p.
func (p *part) refuses(ids []string) bool {
	return p.State == PartHeld && slices.Contains(ids, p.ID) &&
		!slices.ContainsFunc(p.With, func(id string) bool { return !slices.Contains(ids, id) })
}

// isGuilty reports whether a suspect was under way at enough crashes to be held back. A
// part on which answers began waits while another one explains its crashes as well.
func (t *Parts) isGuilty(p *part) bool {
	if !p.Sound {
		return p.Crashes >= partCrashes
	}
	for _, other := range t.records {
		if other.State == PartSuspected && !other.Sound && other.coversCrashesOf(p) {
			return false
		}
	}
	return p.Crashes >= soundPartCrashes
}

// coversCrashesOf reports whether p was under way at all crashes that count for other.
func (p *part) coversCrashesOf(other *part) bool {
	for i, crash := range other.ServerCrashes {
		if other.counted[i] && !p.has(crash) {
			return false
		}
	}
	return true
}

// hold holds back suspects and clears those that were suspected for the same crashes only.
// Suspects that explain each other's crashes are held back together.
func (t *Parts) hold(now time.Duration, guilty []*part) (held []PartStatus) {
	for _, p := range guilty {
		p.With, p.crashesAlone = nil, 0
		for _, other := range guilty {
			if other != p && other.coversCrashesOf(p) {
				p.With = append(p.With, other.ID)
			}
		}
	}
	for _, p := range guilty {
		p.State, p.changedAt = PartHeld, now
		p.Until = now + min(firstHold<<min(p.Holds, 10), maxHold)
		p.Holds++
		held = append(held, p.PartStatus)
	}
	for _, p := range guilty {
		for _, crash := range p.ServerCrashes {
			t.explain(crash)
		}
	}
	return held
}

// explain removes a crash from all suspects. Those without another one are cleared.
func (t *Parts) explain(crash ServerCrash) {
	for _, p := range t.records {
		i := slices.IndexFunc(p.ServerCrashes, crash.isSame)
		if p.State != PartSuspected || i < 0 {
			continue
		}
		if p.counted[i] {
			p.Crashes--
		}
		if p.removeCrash(i); len(p.ServerCrashes) == 0 {
			p.clear(max(p.LastCrash, crash.At))
		}
	}
}

func (p *part) clear(at time.Duration) {
	p.State, p.Crashes, p.ClearedAt, p.changedAt = PartCleared, 0, at, max(p.changedAt, at)
}

// RecordBegun records that an answer began on a part, and returns its status if it is no
// longer suspected or held back. A part that is held back needs a request that was sent
// after the last crash.
func (t *Parts) RecordBegun(now time.Duration, id string, sent, begun time.Duration) (cleared []PartStatus) {
	cleared = t.Expire(now)
	p := t.records[id]
	if p == nil || p.State == PartCleared {
		return cleared
	}
	if p.State == PartSuspected && begun > p.LastCrash || p.State == PartHeld && sent > p.LastCrash {
		p.clear(begun)
		p.Sound = true
		for _, other := range t.records {
			if i := slices.Index(other.With, id); i >= 0 {
				other.With, other.changedAt = slices.Delete(slices.Clone(other.With), i, i+1), now
			}
		}
		return append(cleared, p.PartStatus)
	}
	p.Sound = p.Sound || p.State == PartSuspected
	return cleared
}

// Release clears a part on behalf of an operator. It returns false if the part is neither
// suspected nor held back.
func (t *Parts) Release(now time.Duration, id string) (PartStatus, bool) {
	t.Expire(now)
	p := t.records[id]
	if p == nil || p.State == PartCleared {
		return PartStatus{}, false
	}
	p.clear(now)
	p.Holds = 0
	return p.PartStatus, true
}

// Expire forgets old suspicions and ends holds, and returns the parts whose holds ended. The
// first crash after a hold holds the part back again.
func (t *Parts) Expire(now time.Duration) (ended []PartStatus) {
	for id, p := range t.records {
		switch {
		case p.State == PartHeld && now >= p.Until:
			p.State, p.changedAt, p.Crashes = PartSuspected, now, partCrashes-1
			p.ServerCrashes, p.counted, p.Sound, p.With = nil, nil, false, nil
			ended = append(ended, p.PartStatus)
		case p.State == PartSuspected && now-p.changedAt > partSuspectTTL, p.State == PartCleared && now-p.changedAt > clearedTTL:
			delete(t.records, id)
		}
	}
	return ended
}

// Held returns the first of a request's parts because of which it is refused.
func (t *Parts) Held(now time.Duration, ids []string) (PartStatus, bool) {
	if len(t.records) == 0 {
		return PartStatus{}, false
	}
	for _, id := range ids {
		if p := t.records[id]; p != nil && now < p.Until && p.refuses(ids) {
			return p.PartStatus, true
		}
	}
	return PartStatus{}, false
}

// IsolationKey returns a key that is equal for requests with the same suspected parts, and
// empty for others. Requests with equal keys go to one server, so that a crash costs one
// server only and other suspects show on other servers whether they are sound.
func (t *Parts) IsolationKey(ids []string) string {
	var suspects []string
	for _, id := range ids {
		p := t.records[id]
		if p != nil && (p.State == PartHeld || p.State == PartSuspected && (!p.Sound || p.Crashes >= partCrashes)) {
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	return strings.Join(slices.Compact(suspects), ",")
}
