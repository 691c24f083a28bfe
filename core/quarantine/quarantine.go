// Package quarantine suspects requests, by digest, of crashing backend servers
// and holds back those that did so repeatedly.
package quarantine

import (
	"container/list"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Rules of suspicion.
const (
	// SoleSuspectCrashes quarantines a digest that was the only suspect on the server.
	SoleSuspectCrashes = 2
	// SharedSuspectCrashes quarantines a digest that shared the server with another
	// suspect, because either may be the cause.
	SharedSuspectCrashes = 3
	// SuspectTTL is how long a digest stays a suspect after its last crash.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is how long a digest is held back.
	QuarantineTTL = time.Hour
)

// Bounds of the tables.
const (
	MaxSuspects    = 8192
	MaxQuarantined = 4096
	MaxCrashIDs    = 4096
	MaxCleared     = 1024
	// MaxInFlight bounds the digests of one report; a batch of an engine is
	// smaller.
	MaxInFlight = 2048
)

// Entry is one digest under suspicion.
type Entry struct {
	Digest      string        `cbor:"1,keyasint"`
	Crashes     int           `cbor:"2,keyasint"`
	Quarantined bool          `cbor:"3,keyasint"`
	Expires     time.Duration `cbor:"4,keyasint"`
	Sequence    uint64        `cbor:"5,keyasint"`
	// LastCrash is when the last crash that RecordCrashOf counted happened.
	LastCrash time.Duration `cbor:"6,keyasint,omitempty"`
}

// Cleared is a digest that left the table before its expiry.
type Cleared struct {
	Digest   string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Snapshot is the whole state of a Table for a snapshot.
type Snapshot struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Entries  []Entry   `cbor:"2,keyasint"`
	CrashIDs []string  `cbor:"3,keyasint"`
	Cleared  []Cleared `cbor:"4,keyasint"`
	// Watermark is the largest sequence of a Cleared that was dropped.
	Watermark uint64 `cbor:"5,keyasint"`
}

// Table holds suspects and quarantined digests. Both lists are in order of
// expiry, because each kind has one fixed duration and the clock never goes
// back.
type Table struct {
	sequence    uint64
	entries     map[string]*list.Element
	suspects    *list.List
	quarantined *list.List
	crashes     []string
	crashKnown  map[string]bool
	cleared     []Cleared
	floor       uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return Restore(Snapshot{}) }

// Restore returns the table of a snapshot.
func Restore(image Snapshot) *Table {
	t := &Table{
		sequence: image.Sequence, entries: map[string]*list.Element{}, suspects: list.New(),
		quarantined: list.New(), crashes: image.CrashIDs, crashKnown: map[string]bool{},
		cleared: image.Cleared, floor: image.Watermark,
	}
	for _, e := range image.Entries {
		t.entries[e.Digest] = t.listOf(e.Quarantined).PushBack(&e)
	}
	for _, id := range image.CrashIDs {
		t.crashKnown[id] = true
	}
	return t
}

// Snapshot returns the state for a snapshot.
func (t *Table) Snapshot() Snapshot {
	image := Snapshot{Sequence: t.sequence, CrashIDs: t.crashes, Cleared: t.cleared, Watermark: t.floor}
	for _, l := range []*list.List{t.suspects, t.quarantined} {
		for e := l.Front(); e != nil; e = e.Next() {
			image.Entries = append(image.Entries, *e.Value.(*Entry))
		}
	}
	return image
}

func (t *Table) listOf(quarantined bool) *list.List {
	if quarantined {
		return t.quarantined
	}
	return t.suspects
}

// RecordCrash records a crash of a backend server with digests in flight. A crash id
// that was seen before counts once.
func (t *Table) RecordCrash(now time.Duration, id string, inFlight []string) {
	if !t.first(now, id) {
		return
	}
	digests := unique(inFlight)
	suspects := 0
	for _, d := range digests {
		if e, known := t.entries[d]; known && !e.Value.(*Entry).Quarantined {
			suspects++
		}
	}
	for _, d := range digests {
		t.suspect(now, d, suspects == 1)
	}
}

// RecordCrashOf records that a digest was in flight at a crash of a backend
// server whose other requests are not known. Id names the pair of both. A request
// that was sent before the last crash that counted does not count: equal
// requests that were in flight at several servers when a failure domain was cut
// off did not crash them one after another.
func (t *Table) RecordCrashOf(now time.Duration, id, digest string, sent, crashed time.Duration) {
	if !t.first(now, id) || digest == "" {
		return
	}
	if e, known := t.entries[digest]; known && sent < e.Value.(*Entry).LastCrash {
		return
	}
	t.suspect(now, digest, false)
	t.entries[digest].Value.(*Entry).LastCrash = crashed
}

// first tells whether a crash id is new, and keeps it.
func (t *Table) first(now time.Duration, id string) bool {
	t.Expire(now)
	if id == "" || t.crashKnown[id] {
		return false
	}
	t.crashKnown[id] = true
	t.crashes = append(t.crashes, id)
	if len(t.crashes) > MaxCrashIDs {
		delete(t.crashKnown, t.crashes[0])
		t.crashes = t.crashes[1:]
	}
	return true
}

// seriousCrashes is the number of crashes from which a suspect is told to
// others: one crash makes suspects of all that the server was at work on.
const seriousCrashes = 2

// Export returns at most limit digests that are held back or were in flight at
// more than one crash, the newest first.
func (t *Table) Export(now time.Duration, limit int) []message.Quarantine {
	t.Expire(now)
	var told []message.Quarantine
	for _, l := range []*list.List{t.quarantined, t.suspects} {
		for e := l.Back(); e != nil && len(told) < limit; e = e.Prev() {
			if entry := e.Value.(*Entry); entry.Crashes >= seriousCrashes {
				told = append(told, entry.reply(now))
			}
		}
	}
	return told
}

// Import returns a table that begins with what another told by Export.
func Import(now time.Duration, told []message.Quarantine) *Table {
	t := NewTable()
	for i := len(told) - 1; i >= 0; i-- {
		q := told[i]
		if q.For <= 0 {
			continue
		}
		t.sequence++
		entry := &Entry{Digest: q.Digest, Sequence: t.sequence, Crashes: seriousCrashes, Quarantined: !q.Suspect, Expires: now + q.For}
		if entry.Quarantined {
			entry.Crashes = SharedSuspectCrashes
		}
		t.entries[q.Digest] = t.listOf(entry.Quarantined).PushBack(entry)
	}
	return t
}

func unique(digests []string) []string {
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

// suspect counts one crash of a digest. Alone tells that at most one digest on
// the server was a suspect before the crash.
func (t *Table) suspect(now time.Duration, digest string, alone bool) {
	t.sequence++
	entry := &Entry{Digest: digest, Sequence: t.sequence}
	if e, known := t.entries[digest]; known {
		entry.Crashes = e.Value.(*Entry).Crashes
		entry.Quarantined = e.Value.(*Entry).Quarantined
		t.drop(e)
	}
	entry.Crashes++
	entry.Quarantined = entry.Quarantined || entry.Crashes >= SharedSuspectCrashes || alone && entry.Crashes >= SoleSuspectCrashes
	entry.Expires = now + SuspectTTL
	limit := MaxSuspects
	if entry.Quarantined {
		entry.Expires = now + QuarantineTTL
		limit = MaxQuarantined
	}
	target := t.listOf(entry.Quarantined)
	if target.Len() >= limit {
		t.forget(target.Front())
	}
	t.entries[digest] = target.PushBack(entry)
}

func (t *Table) drop(e *list.Element) {
	entry := e.Value.(*Entry)
	t.listOf(entry.Quarantined).Remove(e)
	delete(t.entries, entry.Digest)
}

// forget drops an entry before its expiry and keeps a record for Since.
func (t *Table) forget(e *list.Element) {
	t.drop(e)
	t.sequence++
	t.cleared = append(t.cleared, Cleared{e.Value.(*Entry).Digest, t.sequence})
	if len(t.cleared) > MaxCleared {
		t.floor = t.cleared[0].Sequence
		t.cleared = t.cleared[1:]
	}
}

// RecordSuccess clears suspects that completed. A quarantined digest stays.
func (t *Table) RecordSuccess(now time.Duration, digests []string) {
	t.Expire(now)
	for _, d := range digests {
		if e, known := t.entries[d]; known && !e.Value.(*Entry).Quarantined {
			t.forget(e)
		}
	}
}

// Expire drops entries whose time has run out.
func (t *Table) Expire(now time.Duration) {
	for _, l := range []*list.List{t.suspects, t.quarantined} {
		for e := l.Front(); e != nil && e.Value.(*Entry).Expires <= now; e = l.Front() {
			t.drop(e)
		}
	}
}

// Lookup returns what holds for a digest.
func (t *Table) Lookup(now time.Duration, digest string) (message.Quarantine, bool) {
	e, known := t.entries[digest]
	if !known || e.Value.(*Entry).Expires <= now {
		return message.Quarantine{}, false
	}
	return e.Value.(*Entry).reply(now), true
}

func (e *Entry) reply(now time.Duration) message.Quarantine {
	return message.Quarantine{Digest: e.Digest, Suspect: !e.Quarantined, For: e.Expires - now}
}
