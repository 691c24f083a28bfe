package burn

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/google/go-cmp/cmp"
)

var (
	start      = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	objectives = []contract.Objective{
		{Name: "gap", Service: "s", Kind: contract.ObjectiveBetweenTokens, Bound: 59 * time.Millisecond, Target: 0.95},
		{Name: "whole-large", Service: "s", TeamClass: "large", Kind: contract.ObjectiveWhole, Target: 0.99},
		{Name: "preempted", Service: "s", Kind: contract.ObjectivePreemptions, MaxCount: 1, Target: 0.9},
	}
)

func newTestRecorder() *Recorder {
	r := NewRecorder(start)
	r.SetObjectives(objectives)
	return r
}

func tokenEvent(d time.Duration) Event {
	return Event{
		Kind: contract.ObjectiveBetweenTokens, Service: "s", Duration: d, Reason: verdict.ReasonTimeout, BackendServer: "b",
	}
}

func counts(s Status) []string {
	var out []string
	for _, w := range s.Windows {
		out = append(out, fmt.Sprintf("%d/%d", w.Good, w.Total))
	}
	return out
}

// TestIsGood guards against events that count for the wrong objective or on the wrong
// side of its bound.
func TestIsGood(t *testing.T) {
	tests := []struct {
		name      string
		event     Event
		objective int
		want      string
	}{
		{"at the bound", tokenEvent(59 * time.Millisecond), 0, "1/1"},
		{"above the bound", tokenEvent(59*time.Millisecond + 1), 0, "0/1"},
		{"failed", Event{Kind: contract.ObjectiveBetweenTokens, Service: "s", Failed: true}, 0, "0/1"},
		{"several equal events", Event{Kind: contract.ObjectiveBetweenTokens, Service: "s", Times: 7}, 0, "7/7"},
		{"other service", Event{Kind: contract.ObjectiveBetweenTokens, Service: "x"}, 0, "0/0"},
		{"other kind", Event{Kind: contract.ObjectiveStall, Service: "s"}, 0, "0/0"},
		{"team class", Event{Kind: contract.ObjectiveWhole, Service: "s", TeamClass: "large"}, 1, "1/1"},
		{"other team class", Event{Kind: contract.ObjectiveWhole, Service: "s", TeamClass: "small"}, 1, "0/0"},
		{"incomplete", Event{Kind: contract.ObjectiveWhole, Service: "s", TeamClass: "large", Failed: true}, 1, "0/1"},
		{"preempted once", Event{Kind: contract.ObjectivePreemptions, Service: "s", Count: 1}, 2, "1/1"},
		{"preempted twice", Event{Kind: contract.ObjectivePreemptions, Service: "s", Count: 2}, 2, "0/1"},
	}
	for _, tt := range tests {
		r := newTestRecorder()
		r.Record(start, tt.event)
		for _, s := range Evaluate(r.Snapshot(start, "e")).Objectives {
			if s.Objective == objectives[tt.objective] && counts(s)[0] != tt.want {
				t.Errorf("%s: good/total = %s, want %s", tt.name, counts(s)[0], tt.want)
			}
		}
	}
}

// TestMergeEqualsOneRecorder guards against merges that lose counts, average
// percentiles or misplace slots. The snapshots are encoded in JSON and decoded.
func TestMergeEqualsOneRecorder(t *testing.T) {
	for seed := range int64(5) {
		random := rand.New(rand.NewSource(seed))
		single, parts := newTestRecorder(), []*Recorder{newTestRecorder(), newTestRecorder(), newTestRecorder()}
		now := start
		for range 1000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(2*time.Minute)))
			e := tokenEvent(time.Duration(random.ExpFloat64() * float64(30*time.Millisecond)))
			e.Kind = objectives[random.Intn(3)].Kind
			e.Count, e.Failed, e.TeamClass = random.Intn(4), random.Intn(9) == 0, "large"
			e.BackendServer = fmt.Sprint("b", random.Intn(MaxCauses/2))
			single.Record(now, e)
			parts[random.Intn(len(parts))].Record(now, e)
		}
		var snapshots []Snapshot
		for _, p := range parts {
			data, err := json.Marshal(p.Snapshot(now, "e"))
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseSnapshot(data)
			if err != nil {
				t.Fatal(err)
			}
			snapshots = append(snapshots, s)
		}
		merged, err := Merge(snapshots...)
		if err != nil {
			t.Fatal(err)
		}
		want := single.Snapshot(now, "e")
		want.Sources = merged.Sources
		if diff := cmp.Diff(want, merged); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// TestWindowsAndClock guards against windows that keep old events or lose new ones,
// and against events that are lost in a future slot or count for days in a short
// window after the clock was set.
func TestWindowsAndClock(t *testing.T) {
	tests := []struct {
		name string
		// at has the times of one event each, relative to start, and snapshotAt is when
		// the snapshot is taken.
		at         []time.Duration
		snapshotAt time.Duration
		want       []string
	}{
		{"all windows", []time.Duration{0, time.Minute}, 2 * time.Minute, []string{"2/2", "2/2", "2/2", "2/2"}},
		{"outside 5 min", []time.Duration{0, 4 * time.Minute}, 6 * time.Minute, []string{"1/1", "2/2", "2/2", "2/2"}},
		{"outside 6 h", []time.Duration{0, 7 * time.Hour}, 7 * time.Hour, []string{"1/1", "1/1", "1/1", "2/2"}},
		{"outside all windows", []time.Duration{0}, 100 * time.Hour, []string{"0/0", "0/0", "0/0", "0/0"}},
		{"racing goroutines", []time.Duration{time.Minute, time.Minute - time.Millisecond}, time.Minute,
			[]string{"2/2", "2/2", "2/2", "2/2"}},
		{"set back 1 h", []time.Duration{0, -time.Hour, -time.Hour + 4*time.Minute}, -time.Hour + 6*time.Minute,
			[]string{"1/1", "3/3", "3/3", "3/3"}},
		{"set forward 2 h and back", []time.Duration{0, 2 * time.Hour, time.Minute}, 7 * time.Minute,
			[]string{"0/0", "2/2", "3/3", "3/3"}},
		{"before 1970", []time.Duration{-100 * 365 * 24 * time.Hour}, -100 * 365 * 24 * time.Hour,
			[]string{"1/1", "1/1", "1/1", "1/1"}},
	}
	for _, tt := range tests {
		r := newTestRecorder()
		for _, at := range tt.at {
			r.Record(start.Add(at), tokenEvent(0))
		}
		got := counts(Evaluate(r.Snapshot(start.Add(tt.snapshotAt), "e")).Objectives[0])
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
	}
}

// TestMergeAfterClockSetBack guards against an entry whose clock was set back, and
// whose slots are then ahead of those of all other entries.
func TestMergeAfterClockSetBack(t *testing.T) {
	corrected, other := newTestRecorder(), newTestRecorder()
	corrected.Record(start.Add(90*time.Minute), tokenEvent(0))
	now := start.Add(10 * time.Minute)
	for _, r := range []*Recorder{corrected, other} {
		r.Record(now, tokenEvent(0))
	}
	merged, err := Merge(corrected.Snapshot(now, "a"), other.Snapshot(now, "b"))
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range merged.Objectives[0].Windows {
		if !merged.At.Equal(now) || len(w.Slots) != 1 || w.Slots[0].Total != 3 || w.Slots[0].Start.After(now) {
			t.Errorf("%v at %v: %+v", w.Window, merged.At, w.Slots)
		}
	}
}

// TestAlerts guards against alerts that fire on a single failure, continue after the
// cause is gone, or report the wrong start.
func TestAlerts(t *testing.T) {
	tests := []struct {
		name string
		// From badFrom to badUntil, the ten events of each stepMinutes-th minute are bad.
		badFrom, badUntil time.Duration
		stepMinutes       int
		end               time.Duration
		severity          Severity
		since             time.Duration
	}{
		{"none", time.Hour, time.Hour, 1, 2 * time.Hour, SeverityNone, 0},
		{"one bad minute", 119 * time.Minute, 119*time.Minute + time.Second, 1, 2 * time.Hour, SeverityNone, 0},
		{"ongoing", time.Hour, 24 * time.Hour, 1, 2 * time.Hour, SeverityPage, time.Hour},
		{"ongoing for 24 h", 24 * time.Hour, 99 * time.Hour, 1, 48 * time.Hour, SeverityPage, 24 * time.Hour},
		{"one in ten", 12 * time.Hour, 99 * time.Hour, 10, 48 * time.Hour, SeverityTicket, 12 * time.Hour},
		{"resolved", time.Hour, 2 * time.Hour, 1, 24 * time.Hour, SeverityNone, 0},
	}
	for _, tt := range tests {
		r := newTestRecorder()
		for at := time.Duration(0); at < tt.end; at += time.Minute {
			e := tokenEvent(time.Millisecond)
			if at >= tt.badFrom && at < tt.badUntil && int(at/time.Minute)%tt.stepMinutes == 0 {
				e = tokenEvent(time.Second)
			}
			e.Times = 10
			r.Record(start.Add(at), e)
		}
		s := Evaluate(r.Snapshot(start.Add(tt.end), "e")).Objectives[0]
		if s.Severity() != tt.severity {
			t.Errorf("%s: severity %q, want %q: %+v", tt.name, s.Severity(), tt.severity, s.Alerts)
		}
		if tt.since > 0 && !s.Alerts[0].Since.Equal(start.Add(tt.since)) {
			t.Errorf("%s: since %v, want %v", tt.name, s.Alerts[0].Since, start.Add(tt.since))
		}
		if tt.severity != SeverityNone && (len(s.Causes) != 1 || s.Causes[0].BackendServer != "b") {
			t.Errorf("%s: causes %v", tt.name, s.Causes)
		}
	}
}

// TestLimits guards against memory that grows with the number of causes or
// objectives, and against a frequent cause that is lost because it starts late.
func TestLimits(t *testing.T) {
	r := newTestRecorder()
	const rare, frequent = 10 * MaxCauses, 500
	for i := range rare + frequent {
		e := tokenEvent(time.Second)
		if e.BackendServer = "late"; i < rare {
			e.BackendServer = fmt.Sprint("rare", i)
		}
		r.Record(start, e)
	}
	causes := r.Snapshot(start, "e").Objectives[0].Windows[0].Causes
	var sum, late int64
	for _, c := range causes {
		if sum += c.Bad; c.BackendServer == "late" {
			late = c.Bad
		}
	}
	if len(causes) > MaxCauses+1 || sum != rare+frequent || late != frequent {
		t.Errorf("%d causes, sum %d, %d of the frequent cause", len(causes), sum, late)
	}
	if omitted := r.SetObjectives(make([]contract.Objective, MaxObjectives+3)); omitted != 3 ||
		len(r.series) != MaxObjectives {
		t.Errorf("omitted = %d, series = %d", omitted, len(r.series))
	}
}

// TestSetObjectives guards against budgets that are reset whenever any objective
// changes, and against counts that are kept after a change of the bound.
func TestSetObjectives(t *testing.T) {
	target, bound := objectives[0], objectives[0]
	target.Target, bound.Bound = 0.5, time.Second
	for _, tt := range []struct {
		objective contract.Objective
		want      string
	}{{target, "1/1"}, {bound, "0/0"}} {
		r := newTestRecorder()
		r.Record(start, tokenEvent(0))
		r.SetObjectives([]contract.Objective{tt.objective})
		if got := counts(Evaluate(r.Snapshot(start, "e")).Objectives[0])[0]; got != tt.want {
			t.Errorf("%+v: %s, want %s", tt.objective, got, tt.want)
		}
	}
}

// FuzzParseSnapshot guards against a corrupt snapshot that crashes its reader.
func FuzzParseSnapshot(f *testing.F) {
	r := newTestRecorder()
	r.Record(start, tokenEvent(time.Second))
	data, err := json.Marshal(r.Snapshot(start, "e"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, err := ParseSnapshot(data)
		if err != nil {
			return
		}
		if merged, err := Merge(s, s); err == nil {
			Evaluate(merged)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r := newTestRecorder()
	b.ReportAllocs()
	for i := range b.N {
		r.Record(start.Add(time.Duration(i)*10*time.Microsecond), tokenEvent(time.Duration(i%100)*time.Millisecond))
	}
}

// BenchmarkSeries reports the memory of one objective in which every slot has widely
// spread durations and more causes than it keeps.
func BenchmarkSeries(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, random := newTestRecorder(), rand.New(rand.NewSource(1))
		for at := time.Duration(0); at < 80*time.Hour; at += 2 * time.Second {
			e := tokenEvent(time.Duration(random.ExpFloat64() * float64(time.Second)))
			e.BackendServer = causeNames[random.Intn(len(causeNames))]
			r.Record(start.Add(at), e)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes/objective")
		runtime.KeepAlive(r)
	}
}

var causeNames = func() (names [2 * MaxCauses]string) {
	for i := range names {
		names[i] = fmt.Sprint("backend-server-", i)
	}
	return names
}()
