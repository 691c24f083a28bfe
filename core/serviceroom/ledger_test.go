package serviceroom

import (
	"fmt"
	"testing"
	"time"
)

// start is when the tests of a ledger begin. By then all that is in use has been reported.
const start = 10 * time.Second

// tightLedger returns the ledger of a tight service with one engine.
func tightLedger(total int) *Ledger {
	l := NewLedger(0)
	c := Capacity{Engines: 1, Total: total, Used: total * 8 / 10}
	l.SetCapacity(0, c)
	l.SetCapacity(start, c)
	return l
}

// fill reports that a caller runs generations of 100 tokens at an entry of its own.
func fill(l *Ledger, now time.Duration, caller string, need int) {
	l.Renew(now, Renewal{Entry: "runs-" + caller, Running: map[string]int{caller: need}, Generations: need / 100, Stopping: true})
}

func waiting(id uint64, caller string, need int) Demand {
	return Demand{ID: id, Caller: caller, Digest: id, Need: need, Priority: 2, Patience: 4 * time.Second}
}

// admitted returns the IDs below 32 that a grant admits.
func admitted(g Grant) (ids []uint64) {
	for id := range uint64(32) {
		if g.Decisions[id].Admit {
			ids = append(ids, id)
		}
	}
	return ids
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Guards against an order other than priority, share of the caller, first arrival.
func TestOrder(t *testing.T) {
	demand := func(id uint64, caller string, priority int, age time.Duration) Demand {
		d := waiting(id, caller, 100)
		d.Priority, d.Age = priority, age
		return d
	}
	for name, c := range map[string]struct {
		demands []Demand
		want    uint64
	}{
		"priority":               {[]Demand{demand(1, "small", 2, time.Second), demand(2, "large", 1, 0)}, 2},
		"share":                  {[]Demand{demand(1, "large", 2, time.Second), demand(2, "small", 2, 0)}, 2},
		"first arrival":          {[]Demand{demand(1, "small", 2, 0), demand(2, "small", 2, time.Second)}, 2},
		"half of the wait":       {[]Demand{demand(1, "small", 1, 0), demand(2, "small", 2, 5*time.Second)}, 2},
		"more than an equal use": {[]Demand{demand(1, "small", 2, 0), demand(2, "large", 2, 5*time.Second)}, 1},
	} {
		l := tightLedger(1150)
		fill(l, start, "large", 900)
		fill(l, start, "small", 100)
		g := l.Renew(start, Renewal{Entry: "e", Waiting: c.demands})
		expect(t, name, admitted(g), []uint64{c.want})
	}
}

// Guards against room that an entry takes out of turn because it renews first.
func TestRoomIsKeptForEarlierDemandsOfOtherEntries(t *testing.T) {
	l := tightLedger(1150)
	fill(l, start, "c", 1000)
	fill(l, start, "c", 1100)
	l.Renew(start, Renewal{Entry: "first", Waiting: []Demand{waiting(1, "c", 100)}})
	fill(l, start, "c", 1000)
	later := Renewal{Entry: "second", Waiting: []Demand{waiting(2, "c", 100)}}
	expect(t, "later arrival", admitted(l.Renew(start+50*time.Millisecond, later)), []uint64{})
	g := l.Renew(start+100*time.Millisecond, Renewal{Entry: "first", Waiting: []Demand{waiting(1, "c", 100)}})
	expect(t, "first arrival", admitted(g), []uint64{1})
}

// Guards against a refused request that loses its turn although it comes back as told, and against
// one that keeps it although it comes back earlier.
func TestRefusedRequestComesBack(t *testing.T) {
	for _, early := range []bool{false, true} {
		l := tightLedger(1150)
		fill(l, start, "a", 500)
		fill(l, start, "b", 600)
		impatient := waiting(1, "a", 100)
		impatient.Patience = 200 * time.Millisecond
		d := l.Renew(start, Renewal{Entry: "e", Waiting: []Demand{impatient}}).Decisions[1]
		if d.Admit || d.Reason != NoRoomInTime || d.RetryAfter < minRetryAfter {
			t.Fatalf("decision %+v", d)
		}
		now := start + d.RetryAfter
		if early {
			now -= 200 * time.Millisecond
		}
		fill(l, now, "a", 500)
		fill(l, now, "b", 500)
		back, other := waiting(2, "a", 100), waiting(3, "b", 100)
		back.Digest, other.Age = 1, 500*time.Millisecond
		g := l.Renew(now, Renewal{Entry: "f", Waiting: []Demand{back, other}})
		want := uint64(2)
		if early {
			want = 3
		}
		expect(t, fmt.Sprint("early ", early), admitted(g), []uint64{want})
		// What waits or runs is no longer expected to come back.
		expect(t, "remembered", l.Stats(now).Remembered, 0)
	}
}

// Guards against a large demand that smaller ones pass until it is refused, and against one that
// stops them from the start.
func TestSmallerDemandsPassForHalfOfTheWait(t *testing.T) {
	for _, age := range []time.Duration{0, 4 * time.Second} {
		l := tightLedger(1150)
		fill(l, start, "a", 500)
		fill(l, start, "b", 500)
		large, small := waiting(1, "a", 300), waiting(2, "b", 50)
		large.Age, large.Priority = age, 0
		g := l.Renew(start, Renewal{Entry: "e", Waiting: []Demand{large, small}})
		want := []uint64{2}
		if age > 0 {
			want = nil
		}
		expect(t, fmt.Sprint("age ", age), admitted(g), want)
	}
}

// Guards against room that is collected for a large demand which can not get it in time.
func TestNoRoomIsCollectedInVain(t *testing.T) {
	l := tightLedger(1150)
	fill(l, start, "a", 500)
	fill(l, start, "b", 500)
	large, small := waiting(1, "a", 600), waiting(2, "b", 50)
	large.Age, large.Patience = 10*time.Second, time.Minute
	l.Renew(start, Renewal{Entry: "e", Waiting: []Demand{large}})
	now := start + 500*time.Millisecond
	fill(l, now, "a", 500)
	fill(l, now, "b", 500)
	large.Age, large.Patience = 10500*time.Millisecond, time.Second
	expect(t, "admitted", admitted(l.Renew(now, Renewal{Entry: "e", Waiting: []Demand{large, small}})), []uint64{2})
}

// Guards against a generation that waits for ever because it can never fit, and against one that
// is refused although it could run alone.
func TestDemandsLargerThanTheCapacity(t *testing.T) {
	l := tightLedger(1000)
	l.SetCapacity(start, Capacity{Engines: 1, Total: 1000, Used: 700, Fullest: 700})
	g := l.Renew(start, Renewal{Entry: "e", Waiting: []Demand{waiting(1, "c", 1001), waiting(2, "c", 900)}})
	expect(t, "larger than the total", g.Decisions[1].Reason, TooLarge)
	expect(t, "larger than what can be granted", admitted(g), []uint64{2})
	if g.Decisions[1].RetryAfter <= 0 {
		t.Errorf("refused without a time: %+v", g.Decisions[1])
	}
	g = l.Renew(start+200*time.Millisecond, Renewal{Entry: "f", Waiting: []Demand{waiting(3, "c", 100)}})
	expect(t, "beside it", admitted(g), []uint64{})
}

// Guards against grants while more runs than the capacity, after engines have left, and against a
// lease below what runs.
func TestCapacityBelowWhatRuns(t *testing.T) {
	l := tightLedger(2000)
	fill(l, start, "c", 1500)
	l.SetCapacity(start, Capacity{Engines: 1, Total: 1000, Used: 800, Leaving: 500})
	r := Renewal{Entry: "e", Running: map[string]int{"c": 200}, Generations: 2, Lease: 400, Waiting: []Demand{waiting(1, "c", 100)}}
	r.Waiting[0].Patience = time.Second
	g := l.Renew(start, r)
	expect(t, "lease", g.Lease, 200)
	if d := g.Decisions[1]; d.Admit || d.RetryAfter < 2*time.Second || d.Room >= 0 {
		t.Errorf("decision %+v", d)
	}
}

// Guards against a division by zero and against refusals when there are no engines: placement
// refuses by itself.
func TestNoEngines(t *testing.T) {
	l := tightLedger(1000)
	l.SetCapacity(start, Capacity{})
	g := l.Renew(start, Renewal{Entry: "e", Waiting: []Demand{waiting(1, "c", 100)}})
	if g.Tight || l.Tight(start) || g.Valid == 0 || l.Stats(start).Grantable != 0 {
		t.Errorf("%+v", g)
	}
}

// Guards against a service that flaps between tight and not tight, and against one that never
// stops being tight.
func TestTightWithHysteresis(t *testing.T) {
	l := NewLedger(0)
	for i, c := range []struct {
		used int
		want bool
	}{{0, false}, {690, false}, {700, true}, {650, true}, {600, true}, {599, false}, {650, false}, {700, true}} {
		now := time.Duration(i+1) * 2 * time.Second
		l.SetCapacity(now, Capacity{Engines: 2, Total: 1000, Used: c.used})
		if l.Tight(now) != c.want {
			t.Errorf("tight %v at %d of 1000", !c.want, c.used)
		}
	}
}

// Guards against headroom for moves that ends with the evacuation, that is larger than a quarter,
// that does not hold the fullest engine, or that is kept a second time for what leaves now.
func TestHeadroomForMoves(t *testing.T) {
	l := NewLedger(0)
	for i, c := range []struct {
		at            time.Duration
		leaving, full int
		want          int
	}{{0, 0, 30, 30}, {time.Second, 200, 30, 0}, {2 * time.Second, 150, 30, 50}, {10 * time.Second, 0, 30, 200},
		{59 * time.Second, 0, 30, 200}, {62 * time.Second, 0, 30, 30}, {70 * time.Second, 400, 30, 0}, {71 * time.Second, 0, 30, 250}} {
		l.SetCapacity(c.at, Capacity{Engines: 10, Total: 1000, Leaving: c.leaving, Fullest: c.full})
		if got := l.Stats(c.at).Headroom; got != c.want {
			t.Errorf("%d: %d, want %d", i, got, c.want)
		}
	}
}

// Guards against room of short generations that is granted to long ones between two peaks.
func TestRoomOfShortGenerationsIsKeptFree(t *testing.T) {
	l := tightLedger(1000)
	l.Renew(start, Renewal{Entry: "e", Short: 300})
	l.Renew(start, Renewal{Entry: "f", Short: 100})
	l.Renew(start+time.Second, Renewal{Entry: "e"})
	expect(t, "a second later", l.Stats(start+time.Second).ShortPeak, 400)
	l.Renew(start+6*time.Second, Renewal{Entry: "e", Short: 50})
	expect(t, "six seconds later", l.Stats(start+6*time.Second).ShortPeak, 50)
}

// Guards against callers that come back together, and against a time that does not follow from the
// rate at which room becomes free.
func TestRetryAfterFollowsTheRateAndIsSpread(t *testing.T) {
	l := tightLedger(1000)
	ended := 0
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		ended += 10
		l.Renew(start+at, Renewal{Entry: "e", Running: map[string]int{"c": 1000}, Generations: 10, Ended: ended})
	}
	times, first, last := map[time.Duration]bool{}, time.Hour, time.Duration(0)
	for i := range uint64(20) {
		d := waiting(i+1, "c", 100)
		d.Patience = 100 * time.Millisecond
		at := start + 5*time.Second + time.Duration(i)
		after := l.Renew(at, Renewal{Entry: "f", Waiting: []Demand{d}}).Decisions[i+1].RetryAfter
		times[after.Round(10*time.Millisecond)] = true
		first, last = min(first, after), max(last, after)
	}
	// About 100 tokens a second become free, so each of the 20 takes a second.
	if len(times) < 15 || first > 4*time.Second || last < 15*time.Second || last > 30*time.Second {
		t.Errorf("%d times from %v to %v", len(times), first, last)
	}
}
