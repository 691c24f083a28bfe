package quarantine

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

// partStep is one input of a table of parts.
type partStep struct {
	at time.Duration
	// crash is the server that crashed, empty for a beginning or only a look.
	crash string
	// parts are the parts of a request; "+" marks those that the reporter knows as sound.
	parts string
	// sentBefore is how long before at the request was sent.
	sentBefore time.Duration
	begun      bool
	// want lists what is known afterwards: "!" held, "?" suspected, "-" cleared.
	want string
}

func describeParts(t *Parts, now time.Duration) string {
	var list []string
	for _, s := range t.Statuses(now, 100) {
		list = append(list, s.ID+map[PartState]string{PartHeld: "!", PartSuspected: "?", PartCleared: "-"}[s.State])
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// Guards against a part that crashes one server after another, and against a verdict on a
// part that was only in flight beside it or at crashes of another cause.
func TestPartVerdicts(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, steps := range map[string][]partStep{
		"two requests that share nothing else": {
			{1 * s, "1", "a d", 300 * ms, false, "a? d?"}, {2 * s, "2", "b d", 300 * ms, false, "a- b- d!"}},
		"a report that arrives twice": {
			{1 * s, "1", "a d", 300 * ms, false, "a? d?"}, {1 * s, "1", "a d", 300 * ms, false, "a? d?"}},
		"a popular part, known as sound": {
			{1 * s, "1", "a+ d", 300 * ms, false, "a? d?"}, {2 * s, "2", "a+ d", 300 * ms, false, "a- d!"}},
		"always together, neither known": {
			{1 * s, "1", "a d", 300 * ms, false, "a? d?"}, {2 * s, "2", "a d", 300 * ms, false, "a! d!"}},
		"always together, one begins meanwhile": {
			{1 * s, "1", "a d", 300 * ms, false, "a? d?"}, {1500 * ms, "", "a", 100 * ms, true, "a- d?"},
			{2 * s, "2", "a d", 300 * ms, false, "a- d!"}},
		"servers of one failure domain lost at once": {
			{1000 * ms, "1", "a", 300 * ms, false, "a?"}, {1100 * ms, "2", "a", 400 * ms, false, "a?"},
			{1200 * ms, "3", "a", 500 * ms, false, "a?"}},
		"other crashes, the part begins between them": {
			{1 * s, "1", "a", 300 * ms, false, "a?"}, {1500 * ms, "", "a", 100 * ms, true, "a-"},
			{2 * s, "2", "a", 300 * ms, false, "a?"}, {2500 * ms, "", "a", 100 * ms, true, "a-"},
			{3 * s, "3", "a", 300 * ms, false, "a?"}},
		"a sound part that becomes harmful": {
			{1 * s, "1", "a+", 300 * ms, false, "a?"}, {2 * s, "2", "a+", 300 * ms, false, "a?"},
			{3 * s, "3", "a+", 300 * ms, false, "a?"}, {4 * s, "4", "a+", 300 * ms, false, "a!"}},
		"another request at a crash that is explained": {
			{1 * s, "1", "d", 300 * ms, false, "d?"}, {2 * s, "2", "d", 300 * ms, false, "d!"},
			{3 * s, "3", "d", 900 * ms, false, "d!"}, {3 * s, "3", "a", 300 * ms, false, "d!"}},
		"another request, reported before the cause": {
			{1 * s, "1", "d", 300 * ms, false, "d?"}, {2 * s, "2", "d", 300 * ms, false, "d!"},
			{3 * s, "3", "a", 300 * ms, false, "a? d!"}, {3 * s, "3", "d", 900 * ms, false, "a- d!"}},
		"a held part is cleared by a request sent after the last crash only": {
			{1 * s, "1", "a", 300 * ms, false, "a?"}, {2 * s, "2", "a", 300 * ms, false, "a!"},
			{2100 * ms, "", "a", 200 * ms, true, "a!"}, {2500 * ms, "", "a", 100 * ms, true, "a-"}},
		"a hold ends, and the next crash begins it again": {
			{1 * s, "1", "a", 300 * ms, false, "a?"}, {2 * s, "2", "a", 300 * ms, false, "a!"},
			{firstHold, "", "", 0, false, "a!"}, {firstHold + 3*s, "", "", 0, false, "a?"},
			{firstHold + 4*s, "3", "a", 300 * ms, false, "a!"}, {3*firstHold + 3*s, "", "", 0, false, "a!"},
			{3*firstHold + 5*s, "", "", 0, false, "a?"}},
		"one server that keeps its id": {
			{1 * s, "1", "a d", 30 * ms, false, "a? d?"}, {4500 * ms, "1", "b d", 30 * ms, false, "a- b- d!"}},
		"one server that keeps its id, a sound part that becomes harmful": {
			{1 * s, "1", "a+", 30 * ms, false, "a?"}, {4 * s, "1", "a+", 30 * ms, false, "a?"},
			{7 * s, "1", "a+", 30 * ms, false, "a?"}, {10 * s, "1", "a+", 30 * ms, false, "a!"}},
		"late reports of one crash, other requests with the part": {
			{1000 * ms, "1", "a d", 30 * ms, false, "a? d?"}, {1200 * ms, "1", "b d", 30 * ms, false, "a? b? d?"},
			{1100 * ms, "1", "c d", 30 * ms, false, "a? b? c? d?"}},
		"a later crash of another cause at a server whose crash was explained": {
			{1 * s, "1", "d", 30 * ms, false, "d?"}, {4 * s, "2", "d", 30 * ms, false, "d!"},
			{8 * s, "2", "a", 30 * ms, false, "a? d!"}, {12 * s, "2", "a", 30 * ms, false, "a! d!"}},
		"a failure domain lost twice, servers keep their ids": {
			{1000 * ms, "1", "a+", 30 * ms, false, "a?"}, {1100 * ms, "2", "a+", 130 * ms, false, "a?"},
			{3500 * ms, "", "a", 30 * ms, true, "a-"}, {5000 * ms, "1", "a+", 30 * ms, false, "a?"},
			{5100 * ms, "2", "a+", 130 * ms, false, "a?"}, {8 * s, "", "a", 30 * ms, true, "a-"}},
		"a suspicion is forgotten": {
			{1 * s, "1", "a", 300 * ms, false, "a?"}, {partSuspectTTL + 2*s, "2", "a", 300 * ms, false, "a?"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewParts()
			for i, step := range steps {
				c := PartCrash{Server: step.crash, Sent: step.at - step.sentBefore, Crashed: step.at}
				for _, id := range strings.Fields(step.parts) {
					bare := strings.TrimSuffix(id, "+")
					c.Parts = append(c.Parts, bare)
					if bare != id {
						c.Sound = append(c.Sound, bare)
					}
					if step.begun {
						table.RecordBegun(step.at, bare, c.Sent, step.at)
					}
				}
				if step.crash != "" {
					table.RecordCrash(step.at, c)
				}
				if got := describeParts(table, step.at); got != step.want {
					t.Fatalf("step %d: %q, want %q", i, got, step.want)
				}
			}
		})
	}
}

// Guards against refusals of requests with only one of two parts that are always together at
// crashes, and against a verdict that stays on the wrong one.
func TestPartsHeldTogether(t *testing.T) {
	const s = time.Second
	newTable := func() *Parts {
		table := NewParts()
		for i := range 2 {
			at := time.Duration(1+i) * s
			table.RecordCrash(at, PartCrash{Server: fmt.Sprint(i), Parts: []string{"a", "d"}, Sent: at, Crashed: at})
		}
		return table
	}
	expect := func(table *Parts, at time.Duration, refused, served string) {
		t.Helper()
		if _, held := table.Held(at, strings.Fields(refused)); !held {
			t.Errorf("a request with %q is not refused", refused)
		}
		if _, held := table.Held(at, strings.Fields(served)); held {
			t.Errorf("a request with %q is refused", served)
		}
	}
	table := newTable()
	expect(table, 3*s, "a x d", "a x")
	expect(table, 3*s, "d a", "d")
	if key := table.IsolationKey([]string{"a", "x"}); key != "a" {
		t.Errorf("isolation key %q of a request with one of the parts", key)
	}
	copied := NewParts()
	for _, status := range table.Statuses(3*s, 10) {
		copied.Merge(3*s, status)
	}
	expect(copied, 3*s, "a d", "a")

	table.RecordBegun(5*s, "a", 4*s, 5*s)
	expect(table, 5*s, "d", "a")
	for _, status := range table.Statuses(5*s, 10) {
		copied.Merge(5*s, status)
	}
	expect(copied, 5*s, "d", "a")

	table = newTable()
	// A request with one of the parts at the crash of another cause, and reports of it that
	// come late.
	table.RecordCrash(5*s, PartCrash{Server: "3", Parts: []string{"x", "a"}, Sent: 4 * s, Crashed: 5 * s})
	table.RecordCrash(5*s, PartCrash{Server: "4", Parts: []string{"x", "a"}, Sent: 4 * s, Crashed: 5 * s})
	expect(table, 5*s, "a d", "a x")
	for i := range 2 {
		at := time.Duration(7+i) * s
		table.RecordCrash(at, PartCrash{Server: fmt.Sprint("alone", i), Parts: []string{fmt.Sprint("y", i), "d"}, Sent: at, Crashed: at})
	}
	expect(table, 9*s, "d y", "a y")
}

// Guards against a verdict that another table does not take over, and against one that
// comes back after it was released.
func TestPartVerdictIsMerged(t *testing.T) {
	const now = time.Hour
	one, two := NewParts(), NewParts()
	one.RecordCrash(now, PartCrash{Server: "1", Parts: []string{"d"}, Sent: now, Crashed: now})
	merge := func(at time.Duration) {
		for _, s := range one.Statuses(at, 10) {
			two.Merge(at, s.Relative(at).Absolute(at))
		}
	}
	merge(now)
	one.RecordCrash(now+time.Second, PartCrash{Server: "2", Parts: []string{"d"}, Sent: now + time.Second, Crashed: now + time.Second})
	merge(now + time.Second)
	if _, held := two.Held(now+2*time.Second, []string{"a", "d"}); !held {
		t.Fatal("the verdict was not merged")
	}
	old := one.Statuses(now+time.Second, 10)
	if _, known := one.Release(now+3*time.Second, "d"); !known {
		t.Fatal("the part was not known")
	}
	merge(now + 3*time.Second)
	two.Merge(now+4*time.Second, old[0])
	if _, held := two.Held(now+4*time.Second, []string{"d"}); held {
		t.Error("an old verdict came back after the release")
	}
	if third := NewParts(); !third.Merge(now, old[0]) || third.Merge(now, old[0]) {
		t.Error("a merged verdict counts as a change more than once")
	}
}

// Guards against tables that grow with the number of parts, and against held parts that
// are lost among suspects.
func TestPartTableIsBounded(t *testing.T) {
	table := NewParts()
	for i := range 2 {
		at := time.Duration(i) * time.Second
		table.RecordCrash(at, PartCrash{Server: fmt.Sprint("held ", i), Parts: []string{"d"}, Sent: at, Crashed: at})
	}
	for i := range 200 {
		var parts []string
		for j := range 3 * MaxPartsPerCrash {
			parts = append(parts, fmt.Sprint(i, "/", j))
		}
		at := time.Duration(2+i) * time.Second
		table.RecordCrash(at, PartCrash{Server: fmt.Sprint(i), Parts: parts, Sent: at, Crashed: at})
	}
	if _, held := table.Held(300*time.Second, []string{"d"}); !held || len(table.records) > maxParts {
		t.Errorf("%d records, held: %v", len(table.records), held)
	}
	if statuses := table.Statuses(300*time.Second, 256); len(statuses) != 256 || statuses[0].ID != "d" {
		t.Errorf("%d statuses", len(statuses))
	}
}

// Guards against isolation of requests without suspects, and against equal keys of requests
// that tell suspects apart.
func TestIsolationKey(t *testing.T) {
	table := NewParts()
	table.RecordCrash(time.Second, PartCrash{Server: "1", Parts: []string{"a", "d", "s"}, Sound: []string{"s"}, Crashed: time.Second})
	for parts, want := range map[string]string{"": "", "x s": "", "a x": "a", "d a x": "a,d", "a d s": "a,d"} {
		if got := table.IsolationKey(strings.Fields(parts)); got != want {
			t.Errorf("%q: %q, want %q", parts, got, want)
		}
	}
}

// Guards against blame for crashes of another cause in any order of reports: servers are
// lost at random with popular and rare parts in flight, and answers begin everywhere else.
func TestRandomCrashesBlameNoPart(t *testing.T) {
	for seed := range int64(50) {
		rng, table := rand.New(rand.NewSource(seed)), NewParts()
		begun := map[string]bool{}
		for i := range 300 {
			at := time.Duration(i) * 200 * time.Millisecond
			parts := []string{fmt.Sprint("first", rng.Intn(20)), fmt.Sprint("second", rng.Intn(1000))}
			if rng.Intn(20) == 0 {
				lost := at - time.Duration(rng.Intn(100))*time.Millisecond
				c := PartCrash{Server: fmt.Sprint(i), Parts: parts, Sent: lost - 300*time.Millisecond, Crashed: lost}
				for _, id := range parts {
					if begun[id] {
						c.Sound = append(c.Sound, id)
					}
				}
				table.RecordCrash(at, c)
				continue
			}
			for _, id := range parts {
				begun[id] = true
				table.RecordBegun(at, id, at-300*time.Millisecond, at)
			}
		}
		for _, s := range table.Statuses(time.Minute, 100) {
			if s.State == PartHeld && strings.HasPrefix(s.ID, "first") {
				t.Errorf("seed %d: %+v", seed, s)
			}
		}
	}
}
