package serviceroom

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

// The load of docs/design/service-room.md.
const (
	simEngines    = 44
	simMemory     = 26947
	simEntries    = 33
	simCallers    = 24
	longPrompt    = 3079
	longExpected  = 744
	longDeclared  = 1756
	shortPrompt   = 2550
	shortNeed     = shortPrompt + 9
	longPerSecond = 18.4
	shortPerSec   = 35.4
	longTokenTime = 8 * time.Second / longExpected
	shortDuration = 400 * time.Millisecond
	longPatience  = 3500 * time.Millisecond
	longGivesUp   = 39 * time.Second
	driverPeriod  = 20 * time.Millisecond
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs entries, callers, engines and a leader on virtual time.
type simulation struct {
	now     time.Duration
	rng     *rand.Rand
	events  simEvents
	seq     int
	ledger  *Ledger
	entries []*simEntry
	engines []*simEngine
	callers []*simCaller
	nextID  uint64
	digests uint64
	// wide is whether the leader's flag reaches entries. down is set while there is no leader.
	wide, down bool
	lossRate   float64
	lateRate   float64
	// movedAt and noRoomAt are when generations moved, and when some found no engine with room.
	movedAt, noRoomAt        []time.Duration
	shortArrived, shortNoWay int
	// overGranted counts grants beyond what is grantable, beyondLease entries that were seen with
	// more running than the ledger counts for them.
	overGranted, beyondLease int
	factor                   func(now time.Duration) float64
}

type simEntry struct {
	account  *Account
	requests map[uint64]*simRequest
	sends    []time.Duration
	cut      bool
	gone     bool
	// unboundedAt is when the entry last admitted without a valid grant.
	unboundedAt time.Duration
}

type simEngine struct {
	usable, leaving bool
	used            int
	running         map[*simRequest]bool
}

// simRequest is a long or short generation.
type simRequest struct {
	id                        uint64
	caller                    *simCaller
	digest                    uint64
	first, arrived, decidedAt time.Duration
	output                    int
	held                      int
	engine                    *simEngine
	entry                     *simEntry
	short, admitted, ended    bool
	attempts                  int
}

// simCaller has a part of the load. An eager one repeats at once what is refused.
type simCaller struct {
	name                               string
	part                               float64
	eager                              bool
	arrived, admitted, waited, refused int
	calls, gaveUp                      int
	// served is the need of what was admitted.
	served  int
	longest time.Duration
	retries []time.Duration
}

func newSimulation(seed int64) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(seed)), ledger: NewLedger(0), wide: true, lossRate: 0.01, lateRate: 0.02,
		factor: func(time.Duration) float64 { return 1 }}
	for i := range simEntries {
		s.entries = append(s.entries, &simEntry{account: NewAccount(fmt.Sprint("entry-", i)), requests: map[uint64]*simRequest{}})
	}
	for range simEngines {
		s.engines = append(s.engines, &simEngine{usable: true, running: map[*simRequest]bool{}})
	}
	// Three callers have 60 % of the load.
	for i := range simCallers {
		c := &simCaller{name: fmt.Sprintf("caller-%02d", i), part: 0.4 / (simCallers - 3)}
		if i < 3 {
			c.part = 0.2
		}
		s.callers = append(s.callers, c)
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func (s *simulation) run(until time.Duration) {
	for _, c := range s.callers {
		s.arrivals(c, until)
	}
	s.shorts(until)
	for i, e := range s.entries {
		s.after(time.Duration(i)*driverPeriod/simEntries, func() { s.drive(e) })
	}
	s.lead()
	for len(s.events) > 0 && s.events[0].at <= until {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}

func (s *simulation) exponential(perSecond float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (s *simulation) entry() *simEntry {
	for {
		if e := s.entries[s.rng.Intn(len(s.entries))]; !e.gone {
			return e
		}
	}
}

// arrivals starts the long generations of a caller.
func (s *simulation) arrivals(c *simCaller, until time.Duration) {
	s.after(s.exponential(longPerSecond*c.part*s.factor(s.now)), func() {
		if s.now < until {
			s.digests++
			output := min(longDeclared, max(1, int(longExpected*(0.4+1.2*s.rng.Float64()))))
			c.arrived++
			s.arrive(&simRequest{caller: c, digest: s.digests, first: s.now, output: output})
			s.arrivals(c, until)
		}
	})
}

func (s *simulation) shorts(until time.Duration) {
	s.after(s.exponential(shortPerSec*s.factor(s.now)), func() {
		r := &simRequest{short: true, entry: s.entry(), output: 9, arrived: s.now}
		s.shortArrived++
		r.entry.account.Short(shortNeed)
		s.place(r)
		if r.engine == nil {
			s.shortNoWay++
		}
		s.after(shortDuration, func() {
			r.entry.account.Short(-shortNeed)
			s.release(r)
		})
		if s.now < until {
			s.shorts(until)
		}
	})
}

// arrive brings a long generation to an entry.
func (s *simulation) arrive(r *simRequest) {
	s.nextID++
	r.id, r.entry, r.arrived, r.admitted = s.nextID, s.entry(), s.now, false
	r.attempts++
	r.caller.calls++
	r.entry.requests[r.id] = r
	d := Demand{ID: r.id, Caller: r.caller.name, Digest: r.digest, Need: longPrompt + longExpected, Priority: 2, Patience: longPatience}
	if !r.entry.account.Arrive(s.now, d) {
		s.start(r)
		return
	}
	s.renew(r.entry)
	s.decided(r.entry, r.entry.account.Poll(s.now))
}

func (s *simulation) decided(e *simEntry, list []Decided) {
	for _, d := range list {
		r := e.requests[d.ID]
		if r == nil || r.admitted {
			panic(fmt.Sprint("decided ", d, " which does not wait"))
		}
		wait := s.now - r.arrived
		r.caller.longest = max(r.caller.longest, wait)
		if d.Admit {
			if wait > 0 {
				r.caller.waited++
			}
			s.start(r)
			continue
		}
		delete(e.requests, r.id)
		r.caller.refused++
		r.caller.retries = append(r.caller.retries, d.RetryAfter)
		s.back(r, d.RetryAfter)
	}
}

// back brings a refused request back as told, or at once if its caller is eager.
func (s *simulation) back(r *simRequest, after time.Duration) {
	if r.caller.eager {
		after = 50 * time.Millisecond
	} else {
		after += time.Duration(s.rng.Int63n(int64(50 * time.Millisecond)))
	}
	if s.now+after-r.first > longGivesUp {
		r.caller.gaveUp++
		return
	}
	s.after(after, func() { s.arrive(r) })
}

// start places an admitted generation.
func (s *simulation) start(r *simRequest) {
	r.admitted, r.decidedAt = true, s.now
	r.caller.admitted++
	r.caller.served += longPrompt + longExpected
	if !r.entry.account.known(s.now) {
		r.entry.unboundedAt = s.now
	}
	s.place(r)
	if r.engine == nil {
		s.noRoomAt = append(s.noRoomAt, s.now)
	}
	s.grow(r, 0)
}

// renew sends the renewal of an entry if one is due.
func (s *simulation) renew(e *simEntry) {
	r, due := e.account.Renewal(s.now)
	if !due {
		return
	}
	sentAt := s.now
	e.sends = append(e.sends, sentAt)
	way := func() time.Duration {
		if s.rng.Float64() < s.lateRate {
			return time.Duration(200+s.rng.Intn(600)) * time.Millisecond
		}
		return time.Duration(1000+s.rng.Intn(7000)) * time.Microsecond
	}
	if e.cut || s.rng.Float64() < s.lossRate {
		return
	}
	s.after(way(), func() {
		if s.down || e.gone {
			return
		}
		g := s.ledgerRenews(r)
		if s.rng.Float64() < s.lossRate {
			return
		}
		s.after(way(), func() {
			if !e.cut && !e.gone {
				s.decided(e, e.account.Granted(s.now, sentAt, g))
			}
		})
	})
}

// ledgerRenews passes a renewal to the ledger and checks that a new grant keeps within the room.
func (s *simulation) ledgerRenews(r Renewal) Grant {
	lost := map[uint64]bool{}
	if e := s.ledger.entries[r.Entry]; e != nil {
		for id := range e.admitted {
			lost[id] = true
		}
	}
	g := s.ledger.Renew(s.now, r)
	fresh := g.Valid > 0 && g.Lease > r.Lease
	for id, d := range g.Decisions {
		fresh = fresh || d.Admit && !lost[id]
		if d.Admit && lost[id] {
			fresh = false
			break
		}
	}
	if fresh && g.Tight && s.now >= s.ledger.grantsFrom && s.ledger.sums().leased > s.ledger.free(s.now).grantable {
		s.overGranted++
	}
	return g
}

// drive is the entry's loop.
func (s *simulation) drive(e *simEntry) {
	if e.gone {
		return
	}
	s.decided(e, e.account.Poll(s.now))
	s.renew(e)
	s.after(driverPeriod, func() { s.drive(e) })
}

// lead passes the capacity as it was half a second ago to the leader, and its flag to the entries.
func (s *simulation) lead() {
	var c Capacity
	for _, e := range s.engines {
		switch {
		case e.usable:
			c.Engines++
			c.Total += simMemory
			c.Used += e.used
			c.Fullest = max(c.Fullest, e.used)
		case e.leaving:
			c.Leaving += e.used
		}
	}
	s.after(500*time.Millisecond, func() {
		if !s.down {
			s.ledger.SetCapacity(s.now, c)
		}
	})
	if !s.down && s.wide && s.now >= s.ledger.grantsFrom {
		tight := s.ledger.Tight(s.now)
		for _, e := range s.entries {
			if !e.cut {
				s.after(time.Duration(s.rng.Intn(100))*time.Millisecond, func() { e.account.SetTight(s.now, tight) })
			}
		}
	}
	s.measure()
	s.after(100*time.Millisecond, s.lead)
}

// measure compares what entries run with what the ledger counts for them.
func (s *simulation) measure() {
	for _, e := range s.entries {
		if e.unboundedAt > 0 && s.now-e.unboundedAt < 2*time.Second {
			continue // It reports what it admitted meanwhile.
		}
		counted := s.ledger.entries[e.account.entry]
		if counted != nil && e.account.known(s.now) && !e.cut && !e.gone && e.account.inUse > counted.leased {
			s.beyondLease++
		}
	}
}
