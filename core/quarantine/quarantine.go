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
	// AloneCrashes quarantines a digest that was the only suspect on the server.
	AloneCrashes = 2
	// SharedCrashes quarantines a digest that shared the server with another
	// suspect, because either may be the cause.
	SharedCrashes = 3
	// SuspectFor is how long a digest stays a suspect after its last crash.
	SuspectFor = 10 * time.Minute
	// QuarantineFor is how long a digest is held back.
	QuarantineFor = time.Hour
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
	// Last is when the last crash that CrashAmongOthers counted happened.
	Last time.Duration `cbor:"6,keyasint,omitempty"`
}

// Cleared is a digest that left the table before its expiry.
type Cleared struct {
	Digest   string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Image is the whole state of a Table for a snapshot.
type Image struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Entries  []Entry   `cbor:"2,keyasint"`
	Crashes  []string  `cbor:"3,keyasint"`
	Cleared  []Cleared `cbor:"4,keyasint"`
	// Floor is the largest sequence of a Cleared that was dropped.
	Floor uint64 `cbor:"5,keyasint"`
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
func NewTable() *Table { return FromImage(Image{}) }

// FromImage returns the table of a snapshot.
func FromImage(image Image) *Table {
	t := &Table{
		sequence: image.Sequence, entries: map[string]*list.Element{}, suspects: list.New(),
		quarantined: list.New(), crashes: image.Crashes, crashKnown: map[string]bool{},
		cleared: image.Cleared, floor: image.Floor,
	}
	for _, e := range image.Entries {
		t.entries[e.Digest] = t.listOf(e.Quarantined).PushBack(&e)
	}
	for _, id := range image.Crashes {
		t.crashKnown[id] = true
	}
	return t
}

// Image returns the state for a snapshot.
func (t *Table) Image() Image {
	image := Image{Sequence: t.sequence, Crashes: t.crashes, Cleared: t.cleared, Floor: t.floor}
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

// Crash records a crash of a backend server with digests in flight. A crash id
// that was seen before counts once.
func (t *Table) Crash(now time.Duration, id string, inFlight []string) {
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

// CrashAmongOthers records that a digest was in flight at a crash of a backend
// server whose other requests are not known. Id names the pair of both. A request
// that was sent before the last crash that counted does not count: equal
// requests that were in flight at several servers when a failure domain was cut
// off did not crash them one after another.
func (t *Table) CrashAmongOthers(now time.Duration, id, digest string, sent, crashed time.Duration) {
	if !t.first(now, id) || digest == "" {
		return
	}
	if e, known := t.entries[digest]; known && sent < e.Value.(*Entry).Last {
		return
	}
	t.suspect(now, digest, false)
	t.entries[digest].Value.(*Entry).Last = crashed
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

// Serious returns at most limit digests that are held back or were in flight at
// more than one crash, the newest first.
func (t *Table) Serious(now time.Duration, limit int) []message.Quarantine {
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

// Adopt returns a table that begins with what another told by Serious.
func Adopt(now time.Duration, told []message.Quarantine) *Table {
	t := NewTable()
	for i := len(told) - 1; i >= 0; i-- {
		q := told[i]
		if q.For <= 0 {
			continue
		}
		t.sequence++
		entry := &Entry{Digest: q.Digest, Sequence: t.sequence, Crashes: seriousCrashes, Quarantined: !q.Suspect, Expires: now + q.For}
		if entry.Quarantined {
			entry.Crashes = SharedCrashes
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
	entry.Quarantined = entry.Quarantined || entry.Crashes >= SharedCrashes || alone && entry.Crashes >= AloneCrashes
	entry.Expires = now + SuspectFor
	limit := MaxSuspects
	if entry.Quarantined {
		entry.Expires = now + QuarantineFor
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

// Succeeded clears suspects that completed. A quarantined digest stays.
func (t *Table) Succeeded(now time.Duration, digests []string) {
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
