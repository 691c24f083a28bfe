package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestThresholds guards against a request that crashes one backend server after
// another, and against the quarantine of requests that did not cause a crash.
func TestThresholds(t *testing.T) {
	type step struct {
		minute  float64
		crash   string
		digests []string
		succeed bool
		// want lists the known digests, suspects with "?" and quarantined ones with "!".
		want string
	}
	d := func(names ...string) []string { return names }
	tests := map[string][]step{
		"sole suspect at the second crash": {
			{0, "1", d("a"), false, "a?"}, {1, "2", d("a"), false, "a!"}, {60, "", nil, false, "a!"},
			{61, "", nil, false, ""}},
		"repeated report counts once": {
			{0, "1", d("a"), false, "a?"}, {0, "1", d("a"), false, "a?"}},
		"digest twice in one report": {{0, "1", d("a", "a"), false, "a?"}},
		"sole suspect with unrelated requests": {
			{0, "1", d("a", "b"), false, "a?b?"}, {1, "2", d("a", "c"), false, "a!b?c?"}},
		"shared suspects at the third crash": {
			{0, "1", d("a", "b"), false, "a?b?"}, {1, "2", d("a", "b"), false, "a?b?"},
			{2, "3", d("a", "b"), false, "a!b!"}},
		"cleared by one success": {
			{0, "1", d("a", "b"), false, "a?b?"}, {1, "", d("a"), true, "b?"},
			{2, "2", d("a"), false, "a?b?"}},
		"suspect expires": {
			{0, "1", d("a"), false, "a?"}, {9.9, "", nil, false, "a?"}, {10, "2", d("a"), false, "a?"}},
		"quarantine is not cleared by a success": {
			{0, "1", d("a"), false, "a?"}, {1, "2", d("a"), false, "a!"}, {2, "", d("a"), true, "a!"}},
	}
	for name, steps := range tests {
		table := NewTable()
		for i, s := range steps {
			now := time.Duration(s.minute * float64(time.Minute))
			if s.succeed {
				table.RecordSuccess(now, s.digests)
			} else {
				table.RecordCrash(now, s.crash, s.digests)
			}
			got := ""
			for _, digest := range d("a", "b", "c") {
				if q, known := table.Lookup(now, digest); known && q.Suspect {
					got += digest + "?"
				} else if known {
					got += digest + "!"
				}
			}
			if got != s.want {
				t.Errorf("%s, step %d: got %q, want %q", name, i, got, s.want)
			}
		}
	}
}

// TestLimitsAndSince guards against tables that grow without limit, and against a
// copy that misses a change.
func TestLimitsAndSince(t *testing.T) {
	table := NewTable()
	copied, seen := map[string]bool{}, uint64(0)
	update := func() {
		for seen != table.Sequence() {
			changes, upTo, reset := table.Since(1, seen, 100)
			if reset {
				copied = map[string]bool{}
			}
			for _, q := range changes {
				copied[q.Digest] = true
				if q.For == 0 {
					delete(copied, q.Digest)
				}
			}
			seen = upTo
		}
	}
	for i := range MaxSuspects + 3000 {
		table.RecordCrash(0, fmt.Sprint("crash", i), []string{fmt.Sprint("d", i)})
		if i == MaxSuspects/2 || i == MaxSuspects+50 {
			update()
		}
		if i%3 == 0 {
			table.RecordSuccess(0, []string{fmt.Sprint("d", i)})
		}
	}
	update()
	if len(copied) != table.suspects.Len() || len(table.entries) > MaxSuspects || len(table.crashIDs) != MaxCrashIDs {
		t.Fatalf("%d of %d suspects copied, %d crash IDs", len(copied), table.suspects.Len(), len(table.crashIDs))
	}
	if restored := Restore(table.Snapshot()).Snapshot(); !reflect.DeepEqual(restored, table.Snapshot()) {
		t.Fatal("the snapshot of a restored table differs")
	}
}

// TestRecordCrashOf guards against the quarantine of a request after two crashes at which the
// other requests are not known, against repeated and late reports that count more than once,
// against crashes that do not count because their server kept its id, and against a new
// leader whose table lacks what the previous leader exported.
func TestRecordCrashOf(t *testing.T) {
	const s = time.Second
	table := NewTable()
	record := func(table *Table, now time.Duration, digest string, sent, crashed time.Duration) {
		table.RecordCrashOf(now, digest, Attempt{Sent: sent, Crashed: crashed})
	}
	record(table, 1*s, "a", 900*time.Millisecond, 1*s)
	record(table, 2*s, "a", 900*time.Millisecond, 1*s)
	record(table, 2*s, "a", 1200*time.Millisecond, 1300*time.Millisecond)
	if got := table.Export(2*s, 10); len(got) != 0 {
		t.Fatalf("after one crash, reported again with other ages: %+v", got)
	}
	record(table, 4*s, "a", 3900*time.Millisecond, 4*s)
	record(table, 4*s, "b", 0, 1*s)
	if got := table.Export(4*s, 10); len(got) != 1 || got[0].Digest != "a" || !got[0].Suspect {
		t.Fatalf("after two crashes: %+v, want a as a suspect", got)
	}
	suspected := Import(time.Hour, table.Export(4*s, 10))
	record(suspected, time.Hour, "a", time.Hour-time.Second, time.Hour-100*time.Millisecond)
	record(suspected, time.Hour+s, "a", time.Hour+200*time.Millisecond, time.Hour+300*time.Millisecond)
	if q, known := suspected.Lookup(time.Hour+s, "a"); !known || !q.Suspect {
		t.Errorf("a repeated report after an import: %+v, %v", q, known)
	}
	record(suspected, time.Hour+2*s, "a", time.Hour+s, time.Hour+2*s)
	if q, known := suspected.Lookup(time.Hour+2*s, "a"); !known || q.Suspect {
		t.Errorf("the third crash after an import: %+v, %v", q, known)
	}
	table.RecordSuccess(4*s, []string{"b"})
	// A crash between the two counted ones, reported late.
	record(table, 5*s, "a", 2*s, 2100*time.Millisecond)
	exported := table.Export(5*s, 10)
	if len(exported) != 1 || exported[0].Suspect {
		t.Fatalf("after three crashes: %+v, want a quarantined", exported)
	}
	imported := Import(time.Hour, exported)
	if q, known := imported.Lookup(time.Hour, "a"); !known || q.Suspect || q.For > QuarantineTTL {
		t.Errorf("imported: %+v, %v", q, known)
	}
	if _, known := imported.Lookup(2*time.Hour, "a"); known {
		t.Error("the imported table quarantines the digest for longer than the exporting one")
	}
}

// TestConcurrentCrashes guards against the quarantine of a request because equal
// requests were in flight at several servers that were cut off at the same time.
func TestConcurrentCrashes(t *testing.T) {
	table := NewTable()
	for i := range 4 {
		crashed := 10*time.Second + time.Duration(i)*300*time.Millisecond
		table.RecordCrashOf(crashed+time.Second, "a", Attempt{Sent: 9 * time.Second, Crashed: crashed})
	}
	if exported := table.Export(20*time.Second, 10); len(exported) > 0 {
		t.Errorf("exported %+v after one failure", exported)
	}
}
