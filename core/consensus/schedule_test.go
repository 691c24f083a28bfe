package consensus

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/anishathalye/porcupine"
)

// profile weights the faults of one schedule.
type profile struct {
	steps, loss, reorder, stall, crash, cuts, churn, lost int
}

func profileOf(c *cluster) profile {
	pick := func(values ...int) int { return values[c.rng.Intn(len(values))] }
	return profile{steps: 1200, loss: pick(0, 2, 10), reorder: pick(0, 20, 60), stall: pick(0, 4, 10),
		crash: pick(0, 3, 8), cuts: pick(0, 4, 10), churn: pick(0, 4, 10), lost: pick(0, 2)}
}

// runSchedule runs one seeded schedule and returns the violation it found.
func runSchedule(seed int64, f faults) (err error) {
	defer func() {
		if v, ok := recover().(violation); ok {
			err = fmt.Errorf("seed %d: %s", seed, string(v))
		}
	}()
	c := newCluster(seed, 1+int(seed%5), f)
	// The other schedules draw as if there were no demotions: the error of
	// skipReadCheck shows in about one schedule of 500.
	c.demotes = seed%3 == 0
	p := profileOf(c)
	for c.step = 1; c.step <= p.steps; c.step++ {
		c.act(p)
	}
	c.finish()
	if r := c.client.check(); r == porcupine.Illegal {
		c.violate("history is not linearizable")
	}
	return nil
}

func (c *cluster) act(p profile) {
	ids := c.ids()
	h := c.hosts[ids[c.rng.Intn(len(ids))]]
	switch n := c.rng.Intn(1000); {
	case n < 450:
		for range 3 {
			c.deliverOne(p)
		}
	case n < 700:
		if missed, ok := c.stalled[h.id]; ok {
			c.stalled[h.id] = missed + 1
		} else {
			c.tick(h, 1)
		}
	case n < 850:
		c.sync(h)
	case n < 890:
		c.propose(h)
	case n < 910:
		c.client.read(c, h)
	case n < 930:
		if h.up && h.applied > 0 && len(h.writes) == 0 {
			if err := h.m.Compact(h.applied, []byte(h.value)); err != nil {
				c.violate("host %d: %v", h.id, err)
			}
			c.settle(h)
		}
	case n < 950:
		c.restart(h)
	default:
		c.disturb(p, h, c.hosts[ids[c.rng.Intn(len(ids))]])
	}
}

func (c *cluster) deliverOne(p profile) {
	if len(c.flight) == 0 {
		return
	}
	i := 0
	if c.rng.Intn(100) < p.reorder {
		i = c.rng.Intn(len(c.flight))
	}
	msg := c.flight[i]
	if c.rng.Intn(100) >= 2 { // otherwise it is duplicated
		c.flight = append(c.flight[:i], c.flight[i+1:]...)
	}
	if c.rng.Intn(100) >= p.loss {
		c.deliver(msg)
	}
	if len(c.flight) > 300 {
		c.flight = c.flight[100:]
	}
}

func (c *cluster) propose(h *testHost) {
	if l := c.leader(); l != nil && c.rng.Intn(4) > 0 {
		h = l
	}
	if h.up {
		c.write(h)
	}
}

func (c *cluster) write(h *testHost) {
	value := strconv.Itoa(c.step)
	if index, term, err := h.m.Propose([]byte(value)); err == nil {
		c.client.begin(&operation{host: h.id, write: true, value: value, index: index, term: term, call: c.step})
	}
	c.settle(h)
}

// disturb injects one fault or operator action.
func (c *cluster) disturb(p profile, a, b *testHost) {
	n := c.rng.Intn(50)
	switch {
	case n < p.crash:
		c.crash(a)
	case n < p.crash+p.cuts:
		switch c.rng.Intn(5) {
		case 0:
			c.isolate(a.id, true)
		case 1:
			c.cut[[2]MemberID{a.id, b.id}] = true
		case 2:
			c.split()
		case 3:
			// A leader whose timer stands still does not notice that it is cut off.
			if l := c.leader(); l != nil {
				c.isolate(l.id, true)
				if p.stall > 0 {
					c.stalled[l.id] += 0
				}
			}
		default:
			clear(c.cut)
		}
	case n < p.crash+p.cuts+p.churn:
		c.changeMembers()
	case n < p.crash+p.cuts+p.churn+p.lost:
		c.loseDisk(a)
	case n < p.crash+p.cuts+p.churn+p.lost+p.stall:
		if missed, ok := c.stalled[a.id]; ok {
			delete(c.stalled, a.id)
			c.tick(a, missed)
		} else {
			c.stalled[a.id] = 0
		}
	}
}

// split cuts the hosts into two random halves.
func (c *cluster) split() {
	sides := c.rng.Uint64()
	for _, a := range c.ids() {
		for _, b := range c.ids() {
			c.cut[[2]MemberID{a, b}] = (sides>>a)&1 != (sides>>b)&1
		}
	}
}

func (c *cluster) lostMember() MemberID {
	for _, m := range c.members.List {
		if c.hosts[m.ID].lost {
			return m.ID
		}
	}
	return 0
}

func (c *cluster) changeMembers() {
	l := c.leader()
	if l == nil {
		return
	}
	current := l.m.Members()
	victim := c.lostMember()
	if victim == 0 && c.rng.Intn(3) == 0 && current.Voters() > 2 {
		victim = current.List[c.rng.Intn(len(current.List))].ID
	}
	if victim != 0 {
		_, _, _ = l.m.RemoveMember(victim)
	} else if c.demotes && c.rng.Intn(2) == 0 && current.Voters() > 2 {
		_, _, _ = l.m.DemoteMember(current.List[c.rng.Intn(len(current.List))].ID)
	} else if _, _, err := l.m.AddMember(c.nextID+1, ""); err == nil {
		c.spawn(c.nextID+1, nil)
	}
	c.settle(l)
}

// loseDisk destroys one host, if the rest can go on without it. Once in a
// schedule its id may start again with a blank disk, against the rules. If all
// initial members did so, nothing could tell them from a new group.
func (c *cluster) loseDisk(h *testHost) {
	if c.lostMember() != 0 || c.members.Voters() < 3 || h.lost {
		return
	}
	if m, ok := c.members.Find(h.id); !ok || m.Disk == 0 {
		return
	}
	for _, other := range c.hosts {
		if other.m.log.config().index > uint64(len(c.chosen)) {
			return
		}
	}
	c.crash(h)
	h.lost = true
	if !c.rejoined && c.rng.Intn(2) == 0 && len(h.initial) != 1 {
		c.rejoined = true
		c.spawn(h.id, h.initial).lost = true
	}
}

// finish heals everything and checks that the group makes progress.
func (c *cluster) finish() {
	clear(c.cut)
	for _, id := range c.ids() {
		c.restart(c.hosts[id])
	}
	if !c.calm(400, func() bool { return c.caughtUp() }) {
		c.violate("no progress after all faults ended")
	}
}

// caughtUp proposes through the leader and tells whether all members of the
// committed membership applied an entry of its term.
func (c *cluster) caughtUp() bool {
	l := c.leader()
	if l == nil {
		return false
	}
	if c.step%20 == 0 {
		c.write(l)
	}
	for _, m := range c.members.List {
		h := c.hosts[m.ID]
		waiting := m.Learner && c.members.Voters() < 4
		if !h.lost && (h.m.term != l.m.term || h.applied < l.m.commit || waiting) {
			return false
		}
	}
	return l.m.committedInTerm() && l.m.commit == l.m.log.last()
}

var raceEnabled bool

// TestSchedules guards against lost commits, two leaders, diverging logs, state
// that reverts, stale reads and lost progress under random faults.
func TestSchedules(t *testing.T) {
	count := int64(3000)
	if testing.Short() || raceEnabled {
		count = 400 // the race detector makes a schedule about three times slower
	}
	const workers = 4
	for w := range int64(workers) {
		t.Run(fmt.Sprint("worker ", w), func(t *testing.T) {
			t.Parallel()
			for seed := w; seed < count; seed += workers {
				if err := runSchedule(seed, faults{}); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
