package serverlimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

const (
	window = 4 * time.Second
	// learnTime is the time after the first statement of a limit from which arrivals
	// count.
	learnTime = 500 * time.Millisecond
	// handover is the time after a loss of the allocator in which the next one grants
	// nothing.
	handover = time.Second
	// publishDelay is the time in which entries learn what the allocator knows.
	publishDelay = 50 * time.Millisecond
)

// event is a step of a simulation.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs entries before servers of one service on virtual time.
type simulation struct {
	// cold is the bound of the first server, which is cold, nil if servers name limits.
	cold      *Bound
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	allocator *Allocator
	// deposed is the allocator that some entries still ask after it was replaced, nil
	// if there is none.
	deposed *Allocator
	// down is set while no allocator answers.
	down    bool
	entries []*simEntry
	servers []*simServer
	// served, refused and returned count requests. Refused ones return after the
	// delay that they were told, if they were not refused before.
	served, refused, returned, returnedServed int
	// asks counts the requests for permits that reached an allocator.
	asks int
}

type simEntry struct {
	name   string
	gate   *Gate
	cut    bool
	frozen bool
	// asksDeposed is set while the entry reaches the deposed allocator only.
	asksDeposed bool
	// toldAt is when each server first told this entry of its limit, since the entry
	// started.
	toldAt map[string]time.Duration
}

type simServer struct {
	name string
	// limit is the limit that the server names, negative for none.
	limit    float64
	named    time.Duration
	arrivals []time.Duration
	// told are the arrivals from entries that had been told of the limit for at least
	// learnTime.
	told []time.Duration
}

func newSimulation(seed int64, entries, servers int) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(seed)), allocator: NewAllocator(0)}
	for i := range entries {
		s.entries = append(s.entries, &simEntry{name: fmt.Sprint("e", i), gate: NewGate(), toldAt: map[string]time.Duration{}})
	}
	for i := range servers {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i), limit: -1})
	}
	return s
}

func (s *simulation) after(delay time.Duration, do func()) {
	heap.Push(&s.events, event{s.now + delay, do})
}

// run executes events until a time.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// load starts requests at a mean rate, at random entries, until a time.
func (s *simulation) load(perSecond float64, until time.Duration, entries ...*simEntry) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.request(entries[s.rng.Intn(len(entries))], nil, false)
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// request sends a request to a random server that may get it.
func (s *simulation) request(e *simEntry, tried []string, returned bool) {
	if e.frozen {
		return
	}
	excluded := map[string]bool{}
	for _, name := range append(append([]string(nil), tried...), e.gate.Waiting(s.now)...) {
		excluded[name] = true
	}
	var usable []*simServer
	for _, server := range s.servers {
		if !excluded[server.name] {
			usable = append(usable, server)
		}
	}
	if len(usable) == 0 {
		s.refuse(e, returned)
		return
	}
	server := usable[s.rng.Intn(len(usable))]
	switch e.gate.Take(s.now, server.name, false) {
	case Send:
		s.send(e, server, returned)
	case Wait:
		s.request(e, append(tried, server.name), returned)
	case Ask:
		s.ask(e, server, func(granted bool) {
			if granted {
				s.send(e, server, returned)
				return
			}
			s.request(e, append(tried, server.name), returned)
		})
	}
}

// ask asks the allocator for permits.
func (s *simulation) ask(e *simEntry, server *simServer, then func(granted bool)) {
	asked, r := s.now, e.gate.Request(s.now, server.name, false)
	r.Entry = e.name
	s.after(s.delay(4), func() {
		if s.down || e.cut {
			s.after(100*time.Millisecond, func() {
				e.gate.Unreachable(s.now)
				then(false)
			})
			return
		}
		allocator := s.allocator
		if e.asksDeposed && s.deposed != nil {
			allocator = s.deposed
		}
		s.asks++
		if s.cold != nil {
			allocator.Observe(s.now, server.name, Observation{Limited: true, PerSecond: r.Known.PerSecond, SentAt: s.now, ReceivedAt: s.now})
			r.Known = nil
		}
		reply, _ := allocator.Acquire(s.now, r)
		if s.cold == nil {
			s.publish()
		}
		s.after(s.delay(4), func() {
			if reply.Known != nil {
				e.gate.Observe(server.name, reply.Known.At(asked))
			}
			then(e.gate.Replied(asked, s.now, server.name, reply))
		})
	})
}

// delay returns a random delay with a mean in milliseconds.
func (s *simulation) delay(mean float64) time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * mean * float64(time.Millisecond))
}

func (s *simulation) send(e *simEntry, server *simServer, returned bool) {
	sent := s.now
	s.after(s.delay(2), func() {
		server.arrivals = append(server.arrivals, s.now)
		if at, told := e.toldAt[server.name]; told && sent >= at+learnTime {
			server.told = append(server.told, s.now)
		}
		if s.cold != nil {
			s.served++
			return
		}
		statedAfter := s.delay(30)
		s.after(statedAfter, func() {
			statement := Observation{Limited: server.limit >= 0, PerSecond: max(0, server.limit), SentAt: sent}
			s.after(s.delay(2), func() {
				s.served++
				if returned {
					s.returnedServed++
				}
				statement.ReceivedAt = s.now
				if _, told := e.toldAt[server.name]; statement.Limited && !told {
					e.toldAt[server.name] = s.now
				}
				if e.gate.Observe(server.name, statement) {
					s.report(e, server.name, statement)
				}
			})
		})
	})
}

// report tells the allocator what an entry learned.
func (s *simulation) report(e *simEntry, server string, o Observation) {
	s.after(s.delay(4), func() {
		if !s.down && !e.cut && s.allocator.Observe(s.now, server, o) {
			s.publish()
		}
	})
}

// publish tells all entries what the allocator knows.
func (s *simulation) publish() {
	known := s.allocator.Known()
	s.after(publishDelay, func() {
		for _, e := range s.entries {
			for server, o := range known {
				if !e.cut && !e.frozen {
					e.gate.Observe(server, o)
				}
			}
		}
	})
}

// refuse refuses a request, whose caller then returns once.
func (s *simulation) refuse(e *simEntry, returned bool) {
	s.refused++
	if returned {
		return
	}
	names := []string{}
	for _, server := range s.servers {
		names = append(names, server.name)
	}
	s.returned++
	s.after(e.gate.RetryAfter(s.now, "service", names, s.rng.Float64()), func() { s.request(e, nil, true) })
}

// name makes a server name a limit, negative for none.
func (s *simulation) name(server int, limit float64) {
	s.servers[server].limit, s.servers[server].named = limit, s.now
}

// newAllocator returns an allocator that grants nothing before a time.
func (s *simulation) newAllocator(grantsFrom time.Duration) *Allocator {
	if s.cold != nil {
		return NewBoundedAllocator(*s.cold, grantsFrom)
	}
	return NewAllocator(grantsFrom)
}

// loseAllocator replaces the allocator after a time. The next one knows nothing.
func (s *simulation) loseAllocator(downFor time.Duration) {
	s.down = true
	s.after(downFor, func() { s.down, s.allocator = false, s.newAllocator(s.now+handover) })
}

// replaceAllocator lets every other entry ask the previous allocator until its lease
// ends.
func (s *simulation) replaceAllocator() {
	s.deposed, s.allocator = s.allocator, s.newAllocator(s.now+handover)
	for i, e := range s.entries {
		e.asksDeposed = i%2 == 0
	}
	s.after(handover, func() { s.deposed = nil })
}

// most returns the largest number of arrivals in a window inside a span.
func most(arrivals []time.Duration, from, to time.Duration) int {
	most := 0
	for i, at := range arrivals {
		if at < from || at >= to {
			continue
		}
		n := 0
		for _, later := range arrivals[i:] {
			if later < min(at+window, to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (s *simServer) count(from, to time.Duration) (n int) {
	for _, at := range s.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func allowed(limit float64) int { return int(math.Floor(1.5*limit*window.Seconds() + 5)) }

// checkBound fails if a server got more than its limit allows in any window.
func (s *simulation) checkBound(t *testing.T, server int, limit float64, from, to time.Duration) {
	t.Helper()
	if got := most(s.servers[server].arrivals, from, to); got > allowed(limit) {
		t.Errorf("%d arrivals in a window at a limit of %v, allowed %d", got, limit, allowed(limit))
	}
}

// checkUse fails if a server got less than four fifths of its limit.
func (s *simulation) checkUse(t *testing.T, server int, limit float64, from, to time.Duration) {
	t.Helper()
	want := 0.8 * limit * (to - from).Seconds()
	if got := s.servers[server].count(from, to); float64(got) < want {
		t.Errorf("%d arrivals in %v at a limit of %v, want %.1f", got, to-from, limit, want)
	}
}

// Guards against more requests than the limit allows over all entries, and against a
// limit that is not used, with few and many entries and any limit. While another
// server has room, no request may be refused.
func TestLimitHoldsAndIsUsed(t *testing.T) {
	for _, entries := range []int{1, 2, 8, 12, 30} {
		for _, limit := range []float64{0, 0.4, 1, 2.1, 7, 40} {
			for seed := range int64(5) {
				t.Run(fmt.Sprint(entries, " entries, limit ", limit, ", seed ", seed), func(t *testing.T) {
					s := newSimulation(seed, entries, 3)
					const second = time.Second
					s.load(max(40, 6*limit), 40*second, s.entries...)
					s.run(2 * second)
					s.name(0, limit)
					s.run(40 * second)
					s.checkBound(t, 0, limit, 2*second+learnTime, 40*second)
					s.checkUse(t, 0, limit, 4*second, 40*second)
					if s.refused > 0 {
						t.Errorf("%d requests refused while other servers had room", s.refused)
					}
				})
			}
		}
	}
}

// Guards against shares of entries without traffic that are lost to the others.
func TestLimitIsUsedByOneEntry(t *testing.T) {
	for _, limit := range []float64{0.4, 2.1, 7, 40} {
		s := newSimulation(1, 12, 2)
		s.load(max(20, 6*limit), 40*time.Second, s.entries[3])
		s.name(0, limit)
		s.run(40 * time.Second)
		s.checkBound(t, 0, limit, learnTime, 40*time.Second)
		s.checkUse(t, 0, limit, 2*time.Second, 40*time.Second)
	}
}

// Guards against refusals by which callers return all at once or too early, when
// every server has a limit and more is asked for than all allow.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	for seed := range int64(10) {
		s := newSimulation(seed, 8, 3)
		limits := []float64{4.5, 2.3, 7}
		for i, limit := range limits {
			s.name(i, limit)
		}
		s.load(30, 60*time.Second, s.entries...)
		s.run(60 * time.Second)
		for i, limit := range limits {
			s.checkBound(t, i, limit, learnTime, 60*time.Second)
			s.checkUse(t, i, limit, 2*time.Second, 60*time.Second)
		}
		if s.returned == 0 || float64(s.returnedServed) < 0.2*float64(s.returned) {
			t.Errorf("seed %d: %d of %d returning callers were served", seed, s.returnedServed, s.returned)
		}
	}
}

// Guards against callers of one burst that are all turned away again when they
// return as told.
func TestBurstOfRefusedCallersIsServedLater(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.name(0, 2)
	s.name(1, 2)
	s.load(20, 5*time.Second, s.entries...)
	s.run(5 * time.Second)
	s.refused, s.returned, s.returnedServed = 0, 0, 0
	for i := range 20 {
		s.request(s.entries[i%4], nil, false)
	}
	s.run(30 * time.Second)
	if s.returned == 0 || s.returnedServed < s.returned/2 {
		t.Errorf("%d of %d returning callers were served", s.returnedServed, s.returned)
	}
}

// Guards against permits that are kept while there is little traffic and are all used
// at once when it comes back.
func TestLimitHoldsWhenTrafficComesAndGoes(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 2.1, 7, 40} {
		for seed := range int64(10) {
			s := newSimulation(seed, 8, 2)
			s.name(0, limit)
			for at := time.Duration(0); at < 60*time.Second; {
				length := time.Duration(s.rng.Int63n(int64(6 * time.Second)))
				perSecond := max(200, 20*limit)
				if s.rng.Intn(2) == 0 {
					perSecond = max(2, limit/2)
				}
				s.after(at, func() { s.load(perSecond, s.now+length, s.entries...) })
				at += length
				if s.rng.Intn(3) == 0 {
					at += time.Duration(s.rng.Int63n(int64(6 * time.Second)))
				}
			}
			s.run(60 * time.Second)
			s.checkBound(t, 0, limit, learnTime, 60*time.Second)
		}
	}
}

// Guards against a deposed allocator and its successor that both grant the whole
// limit.
func TestLimitHoldsWhenTheAllocatorIsReplaced(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 2.1, 7, 40} {
		for seed := range int64(10) {
			s := newSimulation(seed, 8, 2)
			s.load(max(60, 6*limit), 60*time.Second, s.entries...)
			s.name(0, limit)
			for at := 5 * time.Second; at < 60*time.Second; at += 3 * time.Second {
				s.after(at, s.replaceAllocator)
			}
			s.run(60 * time.Second)
			s.checkBound(t, 0, limit, learnTime, 60*time.Second)
		}
	}
}

// Guards against calls to the control group that grow faster than the entries and the
// limit: twice a permit, and once a second for each entry that is denied.
func TestRequestsForPermitsAreBounded(t *testing.T) {
	for _, entries := range []int{16, 32, 128, 410} {
		for _, limit := range []float64{0, 2, 10, 40} {
			s := newSimulation(1, entries, 3)
			const seconds = 30
			s.load(max(60, 6*limit, 2*float64(entries)), seconds*time.Second, s.entries...)
			s.name(0, limit)
			s.run(seconds * time.Second)
			s.checkBound(t, 0, limit, learnTime, seconds*time.Second)
			perSecond := float64(s.asks) / seconds
			t.Logf("%d entries, limit %v: %.0f requests for permits a second", entries, limit, perSecond)
			if perSecond > 2*limit+float64(entries) {
				t.Errorf("%d entries, limit %v: %.0f requests for permits a second", entries, limit, perSecond)
			}
		}
	}
}

// Guards against a limit that changes while it stands.
func TestLimitChanges(t *testing.T) {
	for seed := range int64(20) {
		s := newSimulation(seed, 8, 3)
		s.load(60, 60*time.Second, s.entries...)
		limits := []float64{2, 12, 0.4, 5, 0, 9}
		for i, limit := range limits {
			from := time.Duration(i) * 10 * time.Second
			s.name(0, limit)
			s.run(from + 10*time.Second)
			s.checkBound(t, 0, limit, from+3*time.Second, from+10*time.Second)
			s.checkUse(t, 0, limit, from+4*time.Second, from+10*time.Second)
		}
	}
}

// Guards against a limit that outlives its statements: the full rate must come back
// within 3 s, also when no request was sent for a while.
func TestLimitEnds(t *testing.T) {
	for seed := range int64(20) {
		for _, limit := range []float64{0, 0.4, 2, 20} {
			for _, idle := range []bool{false, true} {
				s := newSimulation(seed, 12, 2)
				loadUntil := 60 * time.Second
				if idle {
					loadUntil = 10 * time.Second
				}
				s.load(60, loadUntil, s.entries...)
				s.name(0, limit)
				s.run(20 * time.Second)
				s.name(0, -1)
				if idle {
					s.run(25 * time.Second)
					s.load(60, 60*time.Second, s.entries...)
				}
				ended := s.now
				s.run(ended + 10*time.Second)
				if got := s.servers[0].count(ended+3*time.Second, ended+10*time.Second); got < 150 {
					t.Errorf("limit %v, idle %v, seed %d: %d arrivals in 7 s, want about 210", limit, idle, seed, got)
				}
				for _, e := range s.entries {
					if known, _ := e.gate.Known("s0"); known.Limited {
						t.Errorf("limit %v, idle %v, seed %d: %s still has the limit", limit, idle, seed, e.name)
					}
				}
			}
		}
	}
}

// Guards against a broken bound when entries start, stop, freeze or are cut off, or
// the allocator and its state are lost, at random and overlapping; and against
// shares of lost entries that do not come back.
func TestLimitHoldsWhenProcessesFail(t *testing.T) {
	for seed := range int64(60) {
		s := newSimulation(seed, 8, 3)
		limit := []float64{0, 0.4, 2, 7, 25}[seed%5]
		s.load(max(60, 6*limit), 80*time.Second, s.entries...)
		s.name(0, limit)
		for range 25 {
			at, duration := time.Duration(s.rng.Int63n(int64(55*time.Second))), time.Duration(s.rng.Int63n(int64(6*time.Second)))
			e, kind := s.entries[s.rng.Intn(len(s.entries))], s.rng.Intn(4)
			s.after(at, func() {
				switch kind {
				case 0:
					e.cut = true
					s.after(duration, func() { e.cut = false })
				case 1:
					e.frozen = true
					s.after(duration, func() { e.frozen = false })
				case 2:
					e.gate, e.toldAt = NewGate(), map[string]time.Duration{}
				case 3:
					s.loseAllocator(duration)
				}
			})
		}
		s.run(80 * time.Second)
		// Requests that an entry sends before it is told of the limit do not count.
		if got := most(s.servers[0].told, 0, 80*time.Second); got > allowed(limit) {
			t.Errorf("seed %d: %d arrivals in a window at a limit of %v, allowed %d", seed, got, limit, allowed(limit))
		}
		s.checkUse(t, 0, limit, 66*time.Second, 80*time.Second)
	}
}
