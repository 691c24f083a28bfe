package serviceroom

import (
	"fmt"
	"testing"
	"time"
)

// heavyDay runs a load that rises to 1.7 times, an evacuation of a third of the engines, a removal
// of 13 % and a crash, for 90 s.
func heavyDay(seed int64, wide bool) *simulation {
	s := newSimulation(seed)
	s.wide = wide
	s.factor = func(now time.Duration) float64 {
		if now > 10*time.Second && now < 65*time.Second {
			return 1.7
		}
		return 1
	}
	s.callers[0].eager, s.callers[3].eager, s.callers[4].eager = true, true, true
	s.after(30*time.Second, func() { s.leave(s.engines[:15], Notice) })
	s.after(38*time.Second, func() { s.join(s.engines[:15]) })
	s.after(50*time.Second, func() { s.leave(s.engines[15:21], Notice) })
	s.after(60*time.Second, func() { s.leave(s.engines[21:22], time.Millisecond) })
	s.run(75 * time.Second)
	return s
}

// mostInASecond returns the most times in any second.
func mostInASecond(times []time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// between returns how many times are in a span.
func between(times []time.Duration, from, to time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// total returns the sums over callers.
func (s *simulation) total(callers []*simCaller) (sum simCaller) {
	for _, c := range callers {
		sum.arrived, sum.admitted, sum.waited = sum.arrived+c.arrived, sum.admitted+c.admitted, sum.waited+c.waited
		sum.refused, sum.gaveUp, sum.longest = sum.refused+c.refused, sum.gaveUp+c.gaveUp, max(sum.longest, c.longest)
		sum.calls += c.calls
	}
	return sum
}

// check fails if a grant went beyond the room, an entry ran more than it was leased, a generation
// waited for longer than allowed, or an entry made more than ten calls in a second.
func (s *simulation) check(t *testing.T) {
	t.Helper()
	if s.overGranted > 0 || s.beyondLease > 0 {
		t.Errorf("%d grants beyond the room, %d times more ran than was leased", s.overGranted, s.beyondLease)
	}
	if longest := s.total(s.callers).longest; longest > longPatience+2*driverPeriod {
		t.Errorf("a generation waited for %v", longest)
	}
	for _, e := range s.entries {
		if most := mostInASecond(e.sends); most > 10 {
			t.Errorf("%d calls of %s in a second", most, e.account.entry)
		}
	}
}

func (s *simulation) String() string {
	c, calls := s.total(s.callers), 0
	for _, e := range s.entries {
		calls += len(e.sends)
	}
	return fmt.Sprintf("%d arrived, %d admitted (%d after a wait), %d refusals, %d gave up, longest wait %v, %d calls; %d moved, "+
		"%d without room; %d of %d short without room", c.arrived, c.admitted, c.waited, c.refused, c.gaveUp, c.longest, calls,
		len(s.movedAt), len(s.noRoomAt), s.shortNoWay, s.shortArrived)
}

// Guards against a service that fills all of its memory with new generations, so that those of
// leaving engines and short ones find no room.
func TestHeavyDay(t *testing.T) {
	const seed = 0
	before, s := heavyDay(seed, false), heavyDay(seed, true)
	t.Logf("without: %v", before)
	t.Logf("with: %v", s)
	for _, at := range []time.Duration{30 * time.Second, 50 * time.Second, 60 * time.Second} {
		t.Logf("  without room in 8 s from %v: %d before, %d now", at, between(before.noRoomAt, at, at+8*time.Second),
			between(s.noRoomAt, at, at+8*time.Second))
	}
	if len(s.noRoomAt)*2 > len(before.noRoomAt) || s.shortNoWay*2 > before.shortNoWay {
		t.Errorf("%d of %d without room, %d short ones", len(s.noRoomAt), len(before.noRoomAt), s.shortNoWay)
	}
	if n := between(s.noRoomAt, 50*time.Second, 75*time.Second); n > 0 {
		t.Errorf("%d without room after the headroom is known", n)
	}
	s.check(t)
}

// Guards against waits, refusals and calls while a service is far from full, and against more than
// the wait for a call while there is room.
func TestNoWaitWhileThereIsRoom(t *testing.T) {
	for _, factor := range []float64{0.8, 1.4} {
		s := newSimulation(1)
		s.lossRate, s.lateRate = 0, 0
		s.factor = func(time.Duration) float64 { return factor }
		s.run(40 * time.Second)
		c := s.total(s.callers)
		t.Logf("load %.1f: %v", factor, s)
		if c.refused > 0 || c.longest > renewSpacing+2*driverPeriod {
			t.Errorf("load %.1f: %d refused, longest wait %v", factor, c.refused, c.longest)
		}
		for _, e := range s.entries {
			if factor < 1 && len(e.sends) > 0 {
				t.Errorf("%d calls of %s", len(e.sends), e.account.entry)
			}
		}
		s.check(t)
	}
}

// Guards against callers that get more, or leave less to others, because they retry immediately and
// often, and against small callers that are refused because large ones use the service up.
func TestSharesOfCallers(t *testing.T) {
	small := map[bool]float64{}
	for _, eager := range []bool{false, true} {
		s := newSimulation(2)
		s.factor = func(time.Duration) float64 { return 2.5 }
		s.callers[0].eager, s.callers[3].eager, s.callers[4].eager = eager, eager, eager
		s.run(30 * time.Second)
		polite := s.total(s.callers[5:])
		small[eager] = float64(polite.admitted) / float64(polite.arrived)
		t.Logf("eager %v: %v", eager, s)
		t.Logf("  large callers admitted %d, %d, %d; calls %d, %d, %d; others %+.3f of %d, waited %d, refused %d", s.callers[0].admitted,
			s.callers[1].admitted, s.callers[2].admitted, s.callers[0].calls, s.callers[1].calls, s.callers[2].calls,
			small[eager], polite.arrived, polite.waited, polite.refused)
		others := float64(s.callers[1].admitted+s.callers[2].admitted) / 2
		if ratio := float64(s.callers[0].admitted) / others; ratio > 1.15 || ratio < 0.85 {
			t.Errorf("eager %v: the first large caller gets %.2f of what the others get", eager, ratio)
		}
		s.check(t)
	}
	if small[true] < 0.9 || small[true] < small[false]-0.05 {
		t.Errorf("small callers: %.3f admitted without and %.3f with callers that retry at once", small[false], small[true])
	}
}

// Guards against a leader's end in the middle of the load that costs refusals without knowledge or
// grants beyond the room.
func TestLeaderIsReplacedUnderLoad(t *testing.T) {
	for _, gap := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		s := newSimulation(3)
		s.factor = func(time.Duration) float64 { return 1.9 }
		s.after(25*time.Second, func() { s.down = true })
		refusedAt := 0
		s.after(25*time.Second+time.Second, func() { refusedAt = s.total(s.callers).refused })
		s.after(25*time.Second+gap, func() {
			s.down, s.ledger = false, NewLedger(s.now+LeaseLifetime)
			if gap > time.Second {
				if n := s.total(s.callers).refused - refusedAt; n > 0 {
					t.Errorf("%d refused without a leader", n)
				}
			}
		})
		s.after(25*time.Second+gap+5*time.Second, func() {
			stats := s.ledger.Stats(s.now)
			t.Logf("gap %v, 5 s later: tight %v, grantable %d, running %d, waiting %d", gap, stats.Tight, stats.Grantable,
				stats.Running, stats.Waiting)
			if !stats.Tight {
				t.Error("the service is not tight for the new leader")
			}
		})
		s.run(38 * time.Second)
		t.Logf("gap %v: %v", gap, s)
		s.check(t)
	}
}

// Guards against room that lost entries keep, and against generations that wait or are refused at
// entries that are cut off.
func TestEntriesAreLostAndCutOffUnderLoad(t *testing.T) {
	s := newSimulation(4)
	s.lossRate, s.lateRate = 0, 0
	s.factor = func(time.Duration) float64 { return 1.9 }
	s.after(20*time.Second, func() {
		for _, e := range s.entries[:5] {
			e.gone = true
			for _, r := range e.requests {
				r.ended = true
				s.release(r)
			}
		}
		for _, e := range s.entries[5:8] {
			e.cut = true
		}
	})
	s.after(21*time.Second+100*time.Millisecond, func() {
		if stats := s.ledger.Stats(s.now); stats.Entries != simEntries-8 {
			t.Errorf("%d entries", stats.Entries)
		}
		for _, e := range s.entries[5:8] {
			if e.account.Arrive(s.now, waiting(1<<40, "c", 1)) {
				t.Errorf("a generation waits at %s", e.account.entry)
			}
			e.account.End(s.now, 1<<40)
		}
	})
	s.after(30*time.Second, func() {
		for _, e := range s.entries[5:8] {
			e.cut = false
		}
	})
	s.run(38 * time.Second)
	t.Logf("%v", s)
	if stats := s.ledger.Stats(s.now); stats.Entries != simEntries-5 || stats.Room < -stats.Grantable/20 {
		t.Errorf("%+v", stats)
	}
	s.check(t)
}
