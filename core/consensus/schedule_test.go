package consensus

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/anishathalye/porcupine"
)

// faultProfile holds the number of steps and the weights of the faults of one
// schedule.
type faultProfile struct {
	steps, loss, reorder, stall, crash, partitions, memberChange, diskLoss int
}

func newFaultProfile(c *cluster) faultProfile {
	pick := func(values ...int) int { return values[c.rng.Intn(len(values))] }
	return faultProfile{steps: 1200, loss: pick(0, 2, 10), reorder: pick(0, 20, 60), stall: pick(0, 4, 10),
		crash: pick(0, 3, 8), partitions: pick(0, 4, 10), memberChange: pick(0, 4, 10), diskLoss: pick(0, 2)}
}

// runSchedule runs one seeded schedule and returns the violation it found.
func runSchedule(seed int64, f faults) (err error) {
	defer func() {
		if v, ok := recover().(violation); ok {
			err = fmt.Errorf("seed %d: %s", seed, string(v))
		}
	}()
	c := newCluster(seed, 1+int(seed%5), f)
	// The other schedules keep the random draws that they have without demotions,
	// because the violation of skipReadCheck shows in only about one schedule of 500.
	c.demotionsEnabled = seed%3 == 0
	p := newFaultProfile(c)
	for c.step = 1; c.step <= p.steps; c.step++ {
		c.randomStep(p)
	}
	c.checkRecovery()
	if r := c.history.check(); r == porcupine.Illegal {
		c.reportViolation("history is not linearizable")
	}
	return nil
}

// randomStep takes one random step at a random host.
func (c *cluster) randomStep(p faultProfile) {
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
		c.history.read(c, h)
	case n < 930:
		if h.up && h.applied > 0 && len(h.writes) == 0 {
			if err := h.raft.Compact(h.applied, []byte(h.value)); err != nil {
				c.reportViolation("host %d: %v", h.id, err)
			}
			c.processOutput(h)
		}
	case n < 950:
		c.restart(h)
	default:
		c.injectFault(p, h, c.hosts[ids[c.rng.Intn(len(ids))]])
	}
}

func (c *cluster) deliverOne(p faultProfile) {
	if len(c.inFlight) == 0 {
		return
	}
	i := 0
	if c.rng.Intn(100) < p.reorder {
		i = c.rng.Intn(len(c.inFlight))
	}
	msg := c.inFlight[i]
	if c.rng.Intn(100) >= 2 { // otherwise the message is duplicated
		c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	}
	if c.rng.Intn(100) >= p.loss {
		c.deliver(msg)
	}
	if len(c.inFlight) > 300 {
		c.inFlight = c.inFlight[100:]
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

// write proposes a new value at a host.
func (c *cluster) write(h *testHost) {
	value := strconv.Itoa(c.step)
	if index, term, err := h.raft.Propose([]byte(value)); err == nil {
		c.history.begin(&operation{host: h.id, write: true, value: value, index: index, term: term, call: c.step})
	}
	c.processOutput(h)
}

// injectFault injects a random fault or operator action.
func (c *cluster) injectFault(p faultProfile, a, b *testHost) {
	n := c.rng.Intn(50)
	switch {
	case n < p.crash:
		c.crash(a)
	case n < p.crash+p.partitions:
		switch c.rng.Intn(5) {
		case 0:
			c.isolate(a.id, true)
		case 1:
			c.blockedLinks[[2]MemberID{a.id, b.id}] = true
		case 2:
			c.partition()
		case 3:
			// A leader whose ticker is stalled does not notice that it is isolated.
			if l := c.leader(); l != nil {
				c.isolate(l.id, true)
				if p.stall > 0 {
					c.stalled[l.id] += 0
				}
			}
		default:
			clear(c.blockedLinks)
		}
	case n < p.crash+p.partitions+p.memberChange:
		c.changeMembers()
	case n < p.crash+p.partitions+p.memberChange+p.diskLoss:
		c.loseDisk(a)
	case n < p.crash+p.partitions+p.memberChange+p.diskLoss+p.stall:
		if missed, ok := c.stalled[a.id]; ok {
			delete(c.stalled, a.id)
			c.tick(a, missed)
		} else {
			c.stalled[a.id] = 0
		}
	}
}

// partition blocks the links between two random sets of hosts.
func (c *cluster) partition() {
	sides := c.rng.Uint64()
	for _, a := range c.ids() {
		for _, b := range c.ids() {
			c.blockedLinks[[2]MemberID{a, b}] = (sides>>a)&1 != (sides>>b)&1
		}
	}
}

// lostMember returns a committed member whose disk was lost, or 0.
func (c *cluster) lostMember() MemberID {
	for _, m := range c.members.List {
		if c.hosts[m.ID].diskLost {
			return m.ID
		}
	}
	return 0
}

// changeMembers makes the leader propose a random membership change. A member whose
// disk was lost is removed first.
func (c *cluster) changeMembers() {
	l := c.leader()
	if l == nil {
		return
	}
	current := l.raft.Members()
	victim := c.lostMember()
	if victim == 0 && c.rng.Intn(3) == 0 && current.Voters() > 2 {
		victim = current.List[c.rng.Intn(len(current.List))].ID
	}
	if victim != 0 {
		_, _, _ = l.raft.RemoveMember(victim)
	} else if c.demotionsEnabled && c.rng.Intn(2) == 0 && current.Voters() > 2 {
		_, _, _ = l.raft.DemoteMember(current.List[c.rng.Intn(len(current.List))].ID)
	} else if _, _, err := l.raft.AddMember(c.nextID+1, ""); err == nil {
		c.startNewHost(c.nextID+1, nil)
	}
	c.processOutput(l)
}

// loseDisk destroys the disk of a host, if the remaining hosts can make progress.
// Once in a schedule the id may restart with a blank disk, which is not allowed in
// operation. If all initial members did so, they could not be told from a new
// group.
func (c *cluster) loseDisk(h *testHost) {
	if c.lostMember() != 0 || c.members.Voters() < 3 || h.diskLost {
		return
	}
	if m, ok := c.members.Find(h.id); !ok || m.Disk == 0 {
		return
	}
	for _, other := range c.hosts {
		if other.raft.log.config().index > uint64(len(c.committed)) {
			return
		}
	}
	c.crash(h)
	h.diskLost = true
	if !c.rejoined && c.rng.Intn(2) == 0 && len(h.initial) != 1 {
		c.rejoined = true
		c.startNewHost(h.id, h.initial).diskLost = true
	}
}

// checkRecovery removes all faults and checks that the group makes progress.
func (c *cluster) checkRecovery() {
	clear(c.blockedLinks)
	for _, id := range c.ids() {
		c.restart(c.hosts[id])
	}
	if !c.runWithoutFaults(400, func() bool { return c.caughtUp() }) {
		c.reportViolation("no progress after all faults ended")
	}
}

// caughtUp proposes through the leader, and reports whether all members of the
// committed membership have applied an entry of its term.
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
		awaitsPromotion := m.Learner && c.members.Voters() < 4
		if !h.diskLost && (h.raft.term != l.raft.term || h.applied < l.raft.commit || awaitsPromotion) {
			return false
		}
	}
	return l.raft.committedInTerm() && l.raft.commit == l.raft.log.last()
}

var raceEnabled bool

// TestSchedules guards against lost commits, two leaders in a term, diverging logs,
// decreasing terms and commit indexes, stale reads and lost progress under random
// faults.
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
