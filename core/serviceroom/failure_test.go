package serviceroom

import (
	"fmt"
	"testing"
	"time"
)

// The tests of this file are those of the table of failures in docs/design/service-room.md, and of
// messages that are lost, repeated or reordered. That a leader which is cut off from the quorum
// grants nothing is tested where the term is confirmed, in fleet.

// Guards against leases that overlap between leaders: a new one that grants before the leases of
// its predecessor have ended and before it knows what runs.
func TestNewLeaderGrantsNothingUntilItKnowsWhatRuns(t *testing.T) {
	l := NewLedger(start + LeaseLifetime)
	c := Capacity{Engines: 1, Total: 1050, Used: 900}
	l.SetCapacity(start, c)
	r := func(at time.Duration, running, lease int) Grant {
		return l.Renew(start+at, Renewal{Entry: "e", Running: map[string]int{"c": running}, Generations: running / 100, Lease: lease,
			Waiting: []Demand{waiting(1, "c", 100)}})
	}
	g := r(0, 300, 500)
	expect(t, "lease of the predecessor", []int{g.Lease, len(g.Decisions)}, []int{500, 0})
	fill(l, start+500*time.Millisecond, "d", 500)
	g = r(990*time.Millisecond, 500, 500)
	expect(t, "just before the time", []int{g.Lease, len(g.Decisions)}, []int{500, 0})
	if !g.Tight || g.Valid != LeaseLifetime {
		t.Errorf("%+v", g)
	}
	g = r(LeaseLifetime, 500, 500)
	expect(t, "while all is in use", []any{len(admitted(g)), g.Lease, g.Tight}, []any{0, 500, true})
	g = r(LeaseLifetime+100*time.Millisecond, 400, 400)
	expect(t, "when room became free", admitted(g), []uint64{1})
}

// Guards against grants in a service that has just become tight on the part of it that was
// reported first.
func TestUnreportedWorkIsCountedWhenAServiceBecomesTight(t *testing.T) {
	l := NewLedger(0)
	l.SetCapacity(start, Capacity{Engines: 1, Total: 1050, Used: 900})
	g := l.Renew(start, Renewal{Entry: "e", Running: map[string]int{"c": 200}, Generations: 2,
		Waiting: []Demand{waiting(1, "c", 100), waiting(2, "c", 100)}})
	expect(t, "admitted beside 700 that are not reported", admitted(g), []uint64{1})
}

// Guards against room that is lost with an entry for longer than the lifetime of its lease.
func TestLeasesOfALostEntryEnd(t *testing.T) {
	l := tightLedger(1050)
	lost := Renewal{Entry: "lost", Running: map[string]int{"c": 1000}, Generations: 10, Lease: 1000,
		Waiting: []Demand{waiting(1, "c", 100)}}
	l.Renew(start, lost)
	r := Renewal{Entry: "e", Waiting: []Demand{waiting(2, "d", 100)}}
	expect(t, "before the end", admitted(l.Renew(start+LeaseLifetime-1, r)), []uint64{})
	expect(t, "after the end", admitted(l.Renew(start+LeaseLifetime, r)), []uint64{2})
	expect(t, "entries", l.Stats(start+LeaseLifetime).Entries, 1)
}

// Guards against need that is counted both as leased and as running.
func TestNeedIsCountedOnce(t *testing.T) {
	l := tightLedger(1050)
	g := l.Renew(start, Renewal{Entry: "e", Seq: 1, Waiting: []Demand{waiting(1, "c", 400)}})
	expect(t, "admitted", admitted(g), []uint64{1})
	before := l.Stats(start).Leased
	g = l.Renew(start+250*time.Millisecond, Renewal{Entry: "e", Seq: 2, Running: map[string]int{"c": 400}, Generations: 1, Lease: g.Lease})
	if s := l.Stats(start + 250*time.Millisecond); s.Running != 400 || s.Leased > max(before, 800) || g.Lease < 400 {
		t.Errorf("leased %d, then %+v", before, s)
	}
	g = l.Renew(start+500*time.Millisecond, Renewal{Entry: "e", Seq: 3, Ended: 400, Lease: 0, Stopping: true, Running: map[string]int{"c": 0}, Generations: 1})
	expect(t, "lease after the end", []int{g.Lease, l.Stats(start + 500*time.Millisecond).Leased}, []int{0, 0})
}

// Guards against a generation that loses its room, or gets it twice, when the answer that admitted
// it was lost.
func TestLostAnswerIsRepeated(t *testing.T) {
	l := tightLedger(1050)
	fill(l, start, "d", 800)
	r := Renewal{Entry: "e", Seq: 1, Waiting: []Demand{waiting(1, "c", 100)}}
	expect(t, "first", admitted(l.Renew(start, r)), []uint64{1})
	fill(l, start+400*time.Millisecond, "d", 800)
	l.Renew(start+400*time.Millisecond, Renewal{Entry: "f", Waiting: []Demand{waiting(2, "a", 100)}})
	r.Seq = 2
	g := l.Renew(start+500*time.Millisecond, r)
	expect(t, "again", []any{admitted(g), g.Lease}, []any{[]uint64{1}, 100})
	s := l.Stats(start + 500*time.Millisecond)
	expect(t, "leased", s.Leased, 800+100+100)
	g = l.Renew(start+600*time.Millisecond, Renewal{Entry: "e", Seq: 3, Running: map[string]int{"c": 100}, Generations: 1, Lease: 100})
	expect(t, "running", l.Stats(start+600*time.Millisecond).Leased, 1000)
}

// Guards against a refused request that loses its turn because the refusal was lost.
func TestLostRefusalKeepsTheTurn(t *testing.T) {
	l := tightLedger(1050)
	fill(l, start, "d", 1000)
	d := waiting(1, "c", 100)
	d.Patience = 200 * time.Millisecond
	first := l.Renew(start, Renewal{Entry: "e", Waiting: []Demand{d}}).Decisions[1]
	d.Age, d.Patience = 100*time.Millisecond, 100*time.Millisecond
	l.Renew(start+100*time.Millisecond, Renewal{Entry: "e", Waiting: []Demand{d}})
	if r, known := l.memory.get("c", 1); !known || r.first != start || first.Admit {
		t.Errorf("remembered %+v, %v", r, known)
	}
}

// Guards against a refusal by an entry itself, whose turn the leader does not know.
func TestRefusalOfAnEntryIsRemembered(t *testing.T) {
	l := tightLedger(1150)
	fill(l, start, "d", 1050)
	a := NewAccount("e")
	a.SetTight(start, true)
	d := waiting(1, "c", 100)
	d.Patience = time.Second
	a.Arrive(start, d)
	g := l.Renew(start, renew(t, a, start))
	expect(t, "decided", len(a.Granted(start, start, g)), 0)
	at := start + 500*time.Millisecond
	fill(l, at, "d", 1050)
	g = l.Renew(at, renew(t, a, at))
	a.Granted(at, at, g)
	at = start + time.Second
	decided := a.Poll(at)
	if len(decided) != 1 || decided[0].Admit {
		t.Fatalf("%+v", decided)
	}
	l.Renew(at, renew(t, a, at))
	r, known := l.memory.get("c", 1)
	expect(t, "remembered", []any{known, r.first, r.notBefore}, []any{true, start, at + decided[0].RetryAfter})
}

// Guards against a renewal that arrives twice or after a newer one and takes back what the newer
// one was granted.
func TestReorderedRenewalsAreIgnored(t *testing.T) {
	l := tightLedger(1050)
	old := Renewal{Entry: "e", Seq: 1, Lease: 0, Waiting: []Demand{waiting(1, "c", 500)}}
	newer := Renewal{Entry: "e", Seq: 2, Running: map[string]int{"c": 200}, Generations: 2, Lease: 200, Waiting: []Demand{waiting(1, "c", 500)}}
	l.Renew(start, newer)
	before := l.Stats(start)
	for _, r := range []Renewal{old, newer} {
		g := l.Renew(start, r)
		expect(t, "answer", []any{g.Lease, g.Valid, len(g.Decisions)}, []any{0, time.Duration(0), 0})
	}
	after := l.Stats(start)
	expect(t, "leased", after.Leased, before.Leased)
	g := l.Renew(start+LeaseLifetime, Renewal{Entry: "e", Seq: 1})
	expect(t, "entry that started again", g.Valid, LeaseLifetime)
}

// Guards against room that is kept for a caller who has left.
func TestRoomOfACallerWhoLeftIsReturned(t *testing.T) {
	l := tightLedger(1050)
	fill(l, start, "d", 800)
	a := NewAccount("e")
	a.SetTight(start, true)
	a.Arrive(start, waiting(1, "c", 100))
	a.Arrive(start, waiting(2, "c", 100))
	g := l.Renew(start, renew(t, a, start))
	a.End(start, 1)
	decided := a.Granted(start+time.Millisecond, start, g)
	expect(t, "decided", len(decided), 1)
	a.End(start+50*time.Millisecond, 2)
	expect(t, "in use", a.inUse, 0)
	fill(l, start+renewInterval, "d", 800)
	l.Renew(start+renewInterval, renew(t, a, start+renewInterval))
	s := l.Stats(start + renewInterval)
	if s.Waiting != 0 || s.Running != 800 || s.Room+s.Leased-800 < 200 {
		t.Errorf("%+v", s)
	}
}

// Guards against leases of an entry that stops, and against calls after its last generation ended.
func TestStoppingEntryReturnsItsLeases(t *testing.T) {
	l := tightLedger(1050)
	a := NewAccount("e")
	a.Arrive(0, waiting(1, "c", 100))
	a.SetTight(start, true)
	a.Granted(start, start, l.Renew(start, renew(t, a, start)))
	if a.lease <= 100 {
		t.Fatalf("lease %d", a.lease)
	}
	a.Stop()
	at := start + renewSpacing
	a.Granted(at, at, l.Renew(at, renew(t, a, at)))
	expect(t, "leased while it drains", []int{a.lease, l.Stats(at).Leased}, []int{100, 100})
	a.End(at, 1)
	at += renewSpacing
	a.Granted(at, at, l.Renew(at, renew(t, a, at)))
	expect(t, "entries", l.Stats(at).Entries, 0)
	if _, due := a.Renewal(at + time.Hour); due {
		t.Error("a renewal is due")
	}
}

// Guards against memory that grows with what entries and callers send.
func TestMemoryOfTheLedgerIsBounded(t *testing.T) {
	l := tightLedger(1050)
	fill(l, start, "d", 1000)
	id := uint64(0)
	for i := range maxEntries + 100 {
		r := Renewal{Entry: fmt.Sprint(i), Running: map[string]int{}}
		for range 20 {
			id++
			d := waiting(id, fmt.Sprint("caller-", id%40), 1)
			d.Patience = time.Minute
			if id%2 == 0 {
				d.Patience = 0
			}
			r.Waiting = append(r.Waiting, d)
		}
		if i == 0 {
			for c := range 3 * maxCallers {
				r.Running[fmt.Sprint("running-", c)] = 0
			}
		}
		l.Renew(start+time.Duration(i)*time.Microsecond, r)
	}
	s := l.Stats(start)
	if s.Entries > maxEntries || s.Waiting > maxWaiting || s.Remembered > maxRemembered || len(s.Shares) > maxCallers+42 ||
		s.Waiting < 1000 || s.Remembered < 1000 {
		t.Errorf("%d entries, %d waiting, %d remembered, %d callers", s.Entries, s.Waiting, s.Remembered, len(s.Shares))
	}
	for name, c := range l.memory.callers {
		if len(c.records) > maxRememberedPerCaller {
			t.Errorf("%d records of %s", len(c.records), name)
		}
	}
	later := start + 2*maxRetryAfter + returnWindow
	l.SetCapacity(later, l.capacity)
	s = l.Stats(later)
	expect(t, "later", []int{s.Entries, s.Waiting, s.Remembered, len(l.memory.callers)}, []int{0, 0, 0, 0})
}

// Guards against memory that grows with the refusals of one caller or with the number of callers.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	for _, c := range []struct{ callers, each, want int }{{1, 1000, maxRememberedPerCaller}, {100, 100, maxRemembered}} {
		m := newMemory()
		for i := range c.each {
			for caller := range c.callers {
				m.put(fmt.Sprint(caller), uint64(i), record{notBefore: time.Duration(i), need: 10})
			}
		}
		count := 0
		for name, c := range m.callers {
			count += len(c.records)
			expect(t, "need of "+name, c.need, 10*len(c.records))
		}
		expect(t, "remembered", []int{count, m.count}, []int{c.want, c.want})
		if _, known := m.get("0", uint64(c.each-1)); !known {
			t.Error("the last refusal was forgotten before older ones")
		}
	}
}

// Guards against one caller whose waiting generations fill the queue at all entries together.
func TestWaitingGenerationsOfACallerAreBounded(t *testing.T) {
	l := tightLedger(1050)
	fill(l, start, "d", 1000)
	refused := 0
	for i := range 10 {
		r := Renewal{Entry: fmt.Sprint(i)}
		for j := range maxWaitingAtEntry {
			d := waiting(uint64(j), "c", 1)
			d.Digest = uint64(i*1000 + j)
			r.Waiting = append(r.Waiting, d)
		}
		for _, d := range l.Renew(start+time.Duration(i), r).Decisions {
			if d.Reason == TooManyWaiting && d.RetryAfter > 0 {
				refused++
			}
		}
	}
	s := l.Stats(start)
	if s.Waiting > maxWaitingPerCaller || refused < 10*maxWaitingAtEntry-maxWaitingPerCaller-50 || s.Remembered > 0 {
		t.Errorf("%d wait, %d refused, %d remembered", s.Waiting, refused, s.Remembered)
	}
}
