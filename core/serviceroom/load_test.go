package serviceroom

import (
	"testing"
	"time"
)

// heavyDay runs a load that rises to 1.7 times, an evacuation of a third of the engines, a removal
// of 13 % and a crash, for 90 s.
func heavyDay(seed int64, wide bool) *simulation {
	s := newSimulation(seed)
	s.wide = wide
	s.factor = func(now time.Duration) float64 {
		if now > 10*time.Second && now < 70*time.Second {
			return 1.7
		}
		return 1
	}
	s.callers[3].eager, s.callers[4].eager = true, true
	s.after(30*time.Second, func() { s.leave(s.engines[:15], Notice) })
	s.after(38*time.Second, func() { s.join(s.engines[:15]) })
	s.after(50*time.Second, func() { s.leave(s.engines[15:21], Notice) })
	s.after(60*time.Second, func() { s.leave(s.engines[21:22], time.Millisecond) })
	s.run(90 * time.Second)
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

// Guards against a service that fills all of its memory with new generations, so that those of
// leaving engines find no room; against waits longer than allowed; against more than ten calls a
// second of an entry; and against more that waits or is remembered than the bounds.
func TestHeavyDay(t *testing.T) {
	for seed := range int64(2) {
		before, s := heavyDay(seed, false), heavyDay(seed, true)
		arrived, admitted, waited, refused, gaveUp, longest := 0, 0, 0, 0, 0, time.Duration(0)
		for _, c := range s.callers {
			arrived, admitted, waited = arrived+c.arrived, admitted+c.admitted, waited+c.waited
			refused, gaveUp, longest = refused+c.refused, gaveUp+c.gaveUp, max(longest, c.longest)
		}
		calls, most := 0, 0
		for _, e := range s.entries {
			calls, most = calls+len(e.sends), max(most, mostInASecond(e.sends))
		}
		t.Logf("seed %d: %d arrived, %d admitted (%d after a wait), %d refusals, %d gave up, longest wait %v, %d calls", seed,
			arrived, admitted, waited, refused, gaveUp, longest, calls)
		t.Logf("  moved %d, without room %d; with entries that admit everything: moved %d, without room %d, short without room %d to %d",
			len(s.movedAt), len(s.noRoomAt), len(before.movedAt), len(before.noRoomAt), before.shortNoWay, s.shortNoWay)
		if s.overGranted > 0 || s.beyondLease > 0 {
			t.Errorf("%d grants beyond the room, %d times more ran than was leased", s.overGranted, s.beyondLease)
		}
		if len(s.noRoomAt)*2 > len(before.noRoomAt) || s.shortNoWay*2 > before.shortNoWay {
			t.Errorf("%d of %d without room, %d short", len(s.noRoomAt), len(before.noRoomAt), s.shortNoWay)
		}
		if longest > longPatience+2*driverPeriod {
			t.Errorf("a generation waited for %v", longest)
		}
		if most > 10 {
			t.Errorf("%d calls of an entry in a second", most)
		}
	}
}
