package serverlimit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// newColdSimulation returns a simulation whose first server is cold, as all entries know.
func newColdSimulation(seed int64, entries, servers int, rate, overage, slack float64) *simulation {
	s := newSimulation(seed, entries, servers)
	s.cold = &Bound{Window: time.Second, Overage: overage, Slack: slack}
	s.allocator = s.newAllocator(-time.Minute)
	for _, e := range s.entries {
		e.gate.Observe("s0", Observation{Limited: true, PerSecond: rate})
	}
	return s
}

// coldCap returns the requests that the first server may get in any second at a rate.
func (s *simulation) coldCap(rate float64) int {
	return int(math.Floor(s.cold.Overage*rate + s.cold.Slack))
}

// checkCold fails if the first server got more in any second than the bound allows.
func (s *simulation) checkCold(t *testing.T, rate float64) {
	t.Helper()
	arrivals, first, most := s.servers[0].arrivals, 0, 0
	for i, at := range arrivals {
		for at-arrivals[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	if allowed := s.coldCap(rate); most > allowed {
		t.Errorf("%d arrivals in a second at rate %v, overage %v, slack %v, allowed %d", most, rate, s.cold.Overage,
			s.cold.Slack, allowed)
	}
}

// checkColdUse fails if the first server got less than four fifths of the rate, or of the
// bound where that is lower.
func (s *simulation) checkColdUse(t *testing.T, rate float64, from, to time.Duration) {
	t.Helper()
	want := 0.8 * min(rate, float64(s.coldCap(rate))) * (to - from).Seconds()
	if got := s.servers[0].count(from, to); float64(got) < want {
		t.Errorf("%d arrivals in %v at rate %v, overage %v, slack %v, want %.1f", got, to-from, rate, s.cold.Overage,
			s.cold.Slack, want)
	}
}

var (
	coldRates    = []float64{0.4, 1, 1.5, 2.1, 7, 33, 100}
	coldOverages = []float64{1, 1.2, 1.5, 2}
	coldSlacks   = []float64{0, 1, 5, 10}
)

// Guards against a cold server that gets more requests in any second than it bears, over all
// entries, and against a rate that is not used while there is demand. While another server has
// room, no request may be refused.
func TestColdBoundHoldsAndIsUsed(t *testing.T) {
	for entries := 1; entries <= 12; entries++ {
		for _, rate := range coldRates {
			for _, overage := range coldOverages {
				for _, slack := range coldSlacks {
					t.Run(fmt.Sprint(entries, " entries, rate ", rate, ", overage ", overage, ", slack ", slack), func(t *testing.T) {
						s := newColdSimulation(int64(entries), entries, 3, rate, overage, slack)
						until := 30 * time.Second
						if rate > 10 {
							until = 10 * time.Second
						}
						s.load(max(60, 6*rate), until, s.entries...)
						s.run(until)
						s.checkCold(t, rate)
						s.checkColdUse(t, rate, 2*time.Second, until)
						if s.refused > 0 {
							t.Errorf("%d requests refused while other servers had room", s.refused)
						}
					})
				}
			}
		}
	}
}

// Guards against a broken bound when entries restart, freeze or are cut off, or when the
// allocator is lost or replaced while some entries still ask the previous one.
func TestColdBoundHoldsWhenProcessesFail(t *testing.T) {
	seed := int64(0)
	for _, rate := range coldRates {
		for _, overage := range coldOverages {
			for _, slack := range coldSlacks {
				seed++
				s := newColdSimulation(seed, 8, 3, rate, overage, slack)
				s.load(max(60, 6*rate), 90*time.Second, s.entries...)
				for range 25 {
					at, duration := time.Duration(s.rng.Int63n(int64(50*time.Second))), time.Duration(s.rng.Int63n(int64(5*time.Second)))
					e, kind := s.entries[s.rng.Intn(len(s.entries))], s.rng.Intn(5)
					s.after(at, func() {
						switch kind {
						case 0:
							e.cut = true
							s.after(duration, func() { e.cut = false })
						case 1:
							e.frozen = true
							s.after(duration, func() { e.frozen = false })
						case 2:
							e.gate = NewGate()
							e.gate.Observe("s0", Observation{Limited: true, PerSecond: rate})
						case 3:
							if s.deposed == nil {
								s.loseAllocator(duration)
							}
						case 4:
							if !s.down && s.deposed == nil {
								s.replaceAllocator()
							}
						}
					})
				}
				s.run(90 * time.Second)
				s.checkCold(t, rate)
				s.checkColdUse(t, rate, 60*time.Second, 90*time.Second)
			}
		}
	}
}

// Guards against permits that are kept while there is little traffic and are all used at once
// when it comes back.
func TestColdBoundHoldsWhenTrafficComesAndGoes(t *testing.T) {
	seed := int64(0)
	for _, rate := range coldRates {
		for _, overage := range coldOverages {
			for _, slack := range coldSlacks {
				seed++
				s := newColdSimulation(seed, 8, 2, rate, overage, slack)
				for at := time.Duration(0); at < 40*time.Second; at += time.Duration(s.rng.Int63n(int64(4 * time.Second))) {
					s.after(at, func() { s.load(max(200, 20*rate), s.now+time.Duration(s.rng.Int63n(int64(time.Second))), s.entries...) })
				}
				s.run(42 * time.Second)
				s.checkCold(t, rate)
			}
		}
	}
}

// Guards against an entry that is cut off and sends to a server that it knows to be cold.
func TestCutOffEntrySendsNothingToColdServers(t *testing.T) {
	s := newColdSimulation(1, 2, 2, 33, 1.5, 5)
	s.entries[0].cut, s.entries[1].cut = true, true
	s.load(100, 5*time.Second, s.entries...)
	s.run(5 * time.Second)
	if n := len(s.servers[0].arrivals); n > 0 || s.refused > 0 {
		t.Errorf("%d requests arrived at the cold server, %d were refused", n, s.refused)
	}
}

// Guards against a call for each request where one could ask for all that an entry needs in the
// lifetime of permits: as many calls at most as for a limit that a server names, and fewer than
// permits where an entry gets several at once.
func TestColdPermitsAreAskedForTogether(t *testing.T) {
	for _, entries := range []int{1, 3, 12} {
		for _, rate := range []float64{33, 100} {
			s := newColdSimulation(1, entries, 3, rate, 1.5, 5)
			s.load(6*rate, 30*time.Second, s.entries...)
			s.run(30 * time.Second)
			arrivals := len(s.servers[0].arrivals)
			t.Logf("%d entries, rate %v: %d requests for permits, %d arrivals in 30 s", entries, rate, s.asks, arrivals)
			if s.asks > 2*arrivals+30*entries || entries == 1 && s.asks > arrivals*3/5 {
				t.Errorf("%d entries, rate %v: %d requests for permits, %d arrivals", entries, rate, s.asks, arrivals)
			}
		}
	}
}
