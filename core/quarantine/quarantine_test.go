package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestRules guards against a request that crashes one backend server after the
// other, and against innocent requests that are held back.
func TestRules(t *testing.T) {
	type step struct {
		minute   float64
		crash    string
		digests  []string
		clear    bool
		suspects string
	}
	d := func(names ...string) []string { return names }
	tests := map[string][]step{
		"alone at the second crash": {
			{0, "1", d("a"), false, "a?"}, {1, "2", d("a"), false, "a!"}, {60, "", nil, false, "a!"}, {61, "", nil, false, ""}},
		"resent report counts once": {{0, "1", d("a"), false, "a?"}, {0, "1", d("a"), false, "a?"}},
		"digest twice in a report":  {{0, "1", d("a", "a"), false, "a?"}},
		"innocent fellow":           {{0, "1", d("a", "b"), false, "a?b?"}, {1, "2", d("a", "c"), false, "a!b?c?"}},
		"shared at the third": {{0, "1", d("a", "b"), false, "a?b?"}, {1, "2", d("a", "b"), false, "a?b?"},
			{2, "3", d("a", "b"), false, "a!b!"}},
		"cleared by one success": {{0, "1", d("a", "b"), false, "a?b?"}, {1, "", d("a"), true, "b?"},
			{2, "2", d("a"), false, "a?b?"}},
		"suspicion decays":          {{0, "1", d("a"), false, "a?"}, {9.9, "", nil, false, "a?"}, {10, "2", d("a"), false, "a?"}},
		"quarantine is not cleared": {{0, "1", d("a"), false, "a?"}, {1, "2", d("a"), false, "a!"}, {2, "", d("a"), true, "a!"}},
	}
	for name, steps := range tests {
		tb := NewTable()
		for i, s := range steps {
			now := time.Duration(s.minute * float64(time.Minute))
			if s.clear {
				tb.RecordSuccess(now, s.digests)
			} else {
				tb.RecordCrash(now, s.crash, s.digests)
			}
			got := ""
			for _, digest := range d("a", "b", "c") {
				if q, held := tb.Lookup(now, digest); held && q.Suspect {
					got += digest + "?"
				} else if held {
					got += digest + "!"
				}
			}
			if got != s.suspects {
				t.Errorf("%s, step %d: got %q, want %q", name, i, got, s.suspects)
			}
		}
	}
}

// TestBoundsAndSince guards against tables that grow without end, and against a
// copy elsewhere that misses a change.
func TestBoundsAndSince(t *testing.T) {
	tb := NewTable()
	copied, seen := map[string]bool{}, uint64(0)
	follow := func() {
		for seen != tb.Sequence() {
			changes, upTo, reset := tb.Since(1, seen, 100)
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
		tb.RecordCrash(0, fmt.Sprint("crash", i), []string{fmt.Sprint("d", i)})
		if i == MaxSuspects/2 || i == MaxSuspects+50 {
			follow()
		}
		if i%3 == 0 {
			tb.RecordSuccess(0, []string{fmt.Sprint("d", i)})
		}
	}
	follow()
	if len(copied) != tb.suspects.Len() || len(tb.entries) > MaxSuspects || len(tb.crashes) != MaxCrashIDs {
		t.Fatalf("%d copied of %d, %d crash ids", len(copied), tb.suspects.Len(), len(tb.crashes))
	}
	if again := Restore(tb.Snapshot()).Snapshot(); !reflect.DeepEqual(again, tb.Snapshot()) {
		t.Fatal("an image read back differs")
	}
}

// Guards against an innocent request that is held back because it shared two
// crashed servers, whose other requests are not known; against several reports
// of one crash that count more than once; and against a table that a new leader
// begins without what the last one told.
func TestCrashAmongOthers(t *testing.T) {
	tb := NewTable()
	for i, server := range []string{"i-1", "i-1", "i-2"} {
		at := time.Duration(i) * time.Second
		tb.RecordCrashOf(at, server+" a", "a", at-100*time.Millisecond, at)
	}
	tb.RecordCrashOf(time.Second, "i-1 b", "b", 0, time.Second)
	if got := tb.Export(3*time.Second, 10); len(got) != 1 || got[0].Digest != "a" || !got[0].Suspect {
		t.Fatalf("after two crashes: %+v, want a as a suspect", got)
	}
	tb.RecordSuccess(3*time.Second, []string{"b"})
	tb.RecordCrashOf(4*time.Second, "i-3 a", "a", 3*time.Second, 4*time.Second)
	told := tb.Export(5*time.Second, 10)
	if len(told) != 1 || told[0].Suspect {
		t.Fatalf("after three crashes: %+v, want a held back", told)
	}
	next := Import(time.Hour, told)
	if q, known := next.Lookup(time.Hour, "a"); !known || q.Suspect || q.For > QuarantineTTL {
		t.Errorf("adopted: %+v, %v", q, known)
	}
	if _, known := next.Lookup(2*time.Hour, "a"); known {
		t.Error("the adopted table holds the digest back for longer than the first one")
	}
}

// Guards against an innocent request that is held back for an hour, because equal
// ones were in flight at several servers that were cut off at one moment.
func TestCrashesAtOneMoment(t *testing.T) {
	tb := NewTable()
	for i, server := range []string{"i-1", "i-2", "i-3", "i-4"} {
		crashed := 10*time.Second + time.Duration(i)*300*time.Millisecond
		tb.RecordCrashOf(crashed+time.Second, server+" a", "a", 9*time.Second, crashed)
	}
	if told := tb.Export(20*time.Second, 10); len(told) > 0 {
		t.Errorf("told %+v after one cut", told)
	}
}
