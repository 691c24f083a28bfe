// Package quarantine finds requests that crash backend servers. It identifies
// requests by a digest, counts the crashes at which a digest was in flight, and
// quarantines a digest after repeated crashes.
package quarantine

import (
	"container/list"
	"math"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Thresholds and durations.
const (
	// SoleSuspectCrashes is the number of crashes that quarantines a digest that was
	// the only suspect on the server.
	SoleSuspectCrashes = 2
	// SharedSuspectCrashes is the number of crashes that quarantines a digest that
	// shared the server with another suspect. It is higher, because either digest
	// may be the cause.
	SharedSuspectCrashes = 3
	// SuspectTTL is how long a digest remains a suspect after its last crash.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is how long requests with a quarantined digest are refused.
	QuarantineTTL = time.Hour
)

// Limits of the tables.
const (
	MaxSuspects    = 8192
	MaxQuarantined = 4096
	MaxCrashIDs    = 4096
	MaxCleared     = 1024
	// MaxInFlight limits the digests of one crash report. The batch of an engine is
	// smaller.
	MaxInFlight = 2048
)

// Entry is a digest that is a suspect or quarantined.
type Entry struct {
	Digest      string        `cbor:"1,keyasint"`
	Crashes     int           `cbor:"2,keyasint"`
	Quarantined bool          `cbor:"3,keyasint"`
	Expires     time.Duration `cbor:"4,keyasint"`
	Sequence    uint64        `cbor:"5,keyasint"`
	// Counted are the attempts that RecordCrashOf counted.
	Counted []Attempt `cbor:"6,keyasint,omitempty"`
}

// Attempt is a request that was in flight at a crash of its backend server, from its sending
// to the crash.
type Attempt struct {
	Sent    time.Duration `cbor:"1,keyasint"`
	Crashed time.Duration `cbor:"2,keyasint"`
}

// MaxAgeError is the largest error of the times of an attempt: the time limit for the reading
// of the clock to which the ages in a report refer.
const MaxAgeError = 250 * time.Millisecond

// isSeparate reports whether one of two attempts was certainly sent after the crash at which
// the other one ended. Attempts that overlap may have been in flight at one crash, at one
// server or at several that were lost together, and reports of one attempt always overlap.
func (a Attempt) isSeparate(other Attempt) bool {
	return a.Sent >= other.Crashed+MaxAgeError || other.Sent >= a.Crashed+MaxAgeError
}

// Cleared is a digest that was removed from the table before it expired.
type Cleared struct {
	Digest   string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Snapshot is the state of a Table in serializable form.
type Snapshot struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Entries  []Entry   `cbor:"2,keyasint"`
	CrashIDs []string  `cbor:"3,keyasint"`
	Cleared  []Cleared `cbor:"4,keyasint"`
	// Watermark is the largest sequence number of a Cleared record that is no longer
	// kept.
	Watermark uint64 `cbor:"5,keyasint"`
}

// Table holds suspects and quarantined digests. Both lists are ordered by expiry,
// because each has one fixed duration and the clock is monotonic.
type Table struct {
	sequence    uint64
	entries     map[string]*list.Element
	suspects    *list.List
	quarantined *list.List
	crashIDs    []string
	seenCrashes map[string]bool
	cleared     []Cleared
	watermark   uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return Restore(Snapshot{}) }

// Restore returns a Table with the state of a snapshot.
func Restore(snapshot Snapshot) *Table {
	t := &Table{
		sequence: snapshot.Sequence, entries: map[string]*list.Element{}, suspects: list.New(),
		quarantined: list.New(), crashIDs: snapshot.CrashIDs, seenCrashes: map[string]bool{},
		cleared: snapshot.Cleared, watermark: snapshot.Watermark,
	}
	for _, e := range snapshot.Entries {
		t.entries[e.Digest] = t.listFor(e.Quarantined).PushBack(&e)
	}
	for _, id := range snapshot.CrashIDs {
		t.seenCrashes[id] = true
	}
	return t
}

// Snapshot returns the state of the table.
func (t *Table) Snapshot() Snapshot {
	snapshot := Snapshot{Sequence: t.sequence, CrashIDs: t.crashIDs, Cleared: t.cleared, Watermark: t.watermark}
	for _, l := range []*list.List{t.suspects, t.quarantined} {
		for e := l.Front(); e != nil; e = e.Next() {
			snapshot.Entries = append(snapshot.Entries, *e.Value.(*Entry))
		}
	}
	return snapshot
}

func (t *Table) listFor(quarantined bool) *list.List {
	if quarantined {
		return t.quarantined
	}
	return t.suspects
}

// RecordCrash records a crash of a backend server and the digests in flight at the
// crash. Repeated reports with the same crash ID count once.
func (t *Table) RecordCrash(now time.Duration, id string, inFlight []string) {
	if !t.addCrashID(now, id) {
		return
	}
	digests := uniqueDigests(inFlight)
	suspects := 0
	for _, d := range digests {
		if e, known := t.entries[d]; known && !e.Value.(*Entry).Quarantined {
			suspects++
		}
	}
	for _, d := range digests {
		t.countCrash(now, d, suspects == 1)
	}
}

// RecordCrashOf records that one digest was in flight at a crash of a backend server whose
// other requests are not known. It counts attempts that followed each other. The server does
// not matter: it may start again under its name, and equal requests can be in flight at
// several servers of a failure domain that is lost without having crashed them.
func (t *Table) RecordCrashOf(now time.Duration, digest string, attempt Attempt) {
	t.Expire(now)
	if digest == "" {
		return
	}
	var counted []Attempt
	if e, known := t.entries[digest]; known {
		counted = e.Value.(*Entry).Counted
	}
	for _, other := range counted {
		if !attempt.isSeparate(other) {
			return
		}
	}
	t.countCrash(now, digest, false)
	entry := t.entries[digest].Value.(*Entry)
	entry.Counted = append(slices.Clip(counted), attempt)
	if len(entry.Counted) > SharedSuspectCrashes {
		entry.Counted = entry.Counted[1:]
	}
}

// addCrashID records a crash ID and reports whether it is new.
func (t *Table) addCrashID(now time.Duration, id string) bool {
	t.Expire(now)
	if id == "" || t.seenCrashes[id] {
		return false
	}
	t.seenCrashes[id] = true
	t.crashIDs = append(t.crashIDs, id)
	if len(t.crashIDs) > MaxCrashIDs {
		delete(t.seenCrashes, t.crashIDs[0])
		t.crashIDs = t.crashIDs[1:]
	}
	return true
}

// minExportCrashes is the number of crashes from which a suspect is exported. A
// single crash makes suspects of all requests that were in flight at the server.
const minExportCrashes = 2

// Export returns at most limit digests that other members keep a copy of: first
// the quarantined ones, then suspects that were in flight at more than one crash,
// each group newest first.
func (t *Table) Export(now time.Duration, limit int) []message.Quarantine {
	t.Expire(now)
	var exported []message.Quarantine
	for _, l := range []*list.List{t.quarantined, t.suspects} {
		for e := l.Back(); e != nil && len(exported) < limit; e = e.Prev() {
			if entry := e.Value.(*Entry); entry.Crashes >= minExportCrashes {
				exported = append(exported, entry.toMessage(now))
			}
		}
	}
	return exported
}

// Import returns a Table with the digests that Export returned on another member. Attempts
// that were sent before the last crash that the other member counted do not count again.
func Import(now time.Duration, exported []message.Quarantine) *Table {
	t := NewTable()
	for i := len(exported) - 1; i >= 0; i-- {
		q := exported[i]
		if q.For <= 0 {
			continue
		}
		t.sequence++
		entry := &Entry{
			Digest: q.Digest, Sequence: t.sequence, Crashes: minExportCrashes, Quarantined: !q.Suspect, Expires: now + q.For,
		}
		ttl := SuspectTTL
		if entry.Quarantined {
			entry.Crashes, ttl = SharedSuspectCrashes, QuarantineTTL
		}
		entry.Counted = []Attempt{{Sent: math.MinInt64 / 2, Crashed: entry.Expires - ttl}}
		t.entries[q.Digest] = t.listFor(entry.Quarantined).PushBack(entry)
	}
	return t
}

func uniqueDigests(digests []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, d := range digests {
		if d != "" && !seen[d] && len(out) < MaxInFlight {
			seen[d] = true
			out = append(out, d)
		}
	}
	return out
}

// countCrash counts one crash of a digest. It is called with soleSuspect set if
// only one of the digests in flight was a suspect before the crash.
func (t *Table) countCrash(now time.Duration, digest string, soleSuspect bool) {
	t.sequence++
	entry := &Entry{Digest: digest, Sequence: t.sequence}
	if e, known := t.entries[digest]; known {
		entry.Crashes = e.Value.(*Entry).Crashes
		entry.Quarantined = e.Value.(*Entry).Quarantined
		t.remove(e)
	}
	entry.Crashes++
	entry.Quarantined = entry.Quarantined || entry.Crashes >= SharedSuspectCrashes ||
		soleSuspect && entry.Crashes >= SoleSuspectCrashes
	entry.Expires = now + SuspectTTL
	limit := MaxSuspects
	if entry.Quarantined {
		entry.Expires = now + QuarantineTTL
		limit = MaxQuarantined
	}
	target := t.listFor(entry.Quarantined)
	if target.Len() >= limit {
		t.clearEntry(target.Front())
	}
	t.entries[digest] = target.PushBack(entry)
}

func (t *Table) remove(e *list.Element) {
	entry := e.Value.(*Entry)
	t.listFor(entry.Quarantined).Remove(e)
	delete(t.entries, entry.Digest)
}

// clearEntry removes an entry before its expiry and keeps a Cleared record, which
// Since reports.
func (t *Table) clearEntry(e *list.Element) {
	t.remove(e)
	t.sequence++
	t.cleared = append(t.cleared, Cleared{e.Value.(*Entry).Digest, t.sequence})
	if len(t.cleared) > MaxCleared {
		t.watermark = t.cleared[0].Sequence
		t.cleared = t.cleared[1:]
	}
}

// RecordSuccess clears suspects whose requests completed. Quarantined digests stay
// quarantined.
func (t *Table) RecordSuccess(now time.Duration, digests []string) {
	t.Expire(now)
	for _, d := range digests {
		if e, known := t.entries[d]; known && !e.Value.(*Entry).Quarantined {
			t.clearEntry(e)
		}
	}
}

// Expire removes expired entries.
func (t *Table) Expire(now time.Duration) {
	for _, l := range []*list.List{t.suspects, t.quarantined} {
		for e := l.Front(); e != nil && e.Value.(*Entry).Expires <= now; e = l.Front() {
			t.remove(e)
		}
	}
}

// Lookup returns the state of a digest that is a suspect or quarantined.
func (t *Table) Lookup(now time.Duration, digest string) (message.Quarantine, bool) {
	e, known := t.entries[digest]
	if !known || e.Value.(*Entry).Expires <= now {
		return message.Quarantine{}, false
	}
	return e.Value.(*Entry).toMessage(now), true
}

func (e *Entry) toMessage(now time.Duration) message.Quarantine {
	return message.Quarantine{Digest: e.Digest, Suspect: !e.Quarantined, For: e.Expires - now}
}
