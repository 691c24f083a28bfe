package consensus

import (
	"errors"
	"math/rand"
	"slices"
	"testing"
)

// settled returns a cluster with a leader and some committed writes.
func settled(t *testing.T, size int) (*cluster, *testHost) {
	c := newCluster(1, size, faults{})
	c.until(t, "first leader", c.caughtUp)
	for range 30 {
		c.write(c.leader())
		c.calm(1, nil)
	}
	return c, c.leader()
}

func (c *cluster) until(t *testing.T, what string, done func() bool) {
	t.Helper()
	if !c.calm(400, done) {
		t.Fatalf("not reached: %s", what)
	}
}

func (c *cluster) other(not ...MemberID) *testHost {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.up && !slices.Contains(not, id) {
			return h
		}
	}
	return nil
}

// change runs one membership change to its end.
func (c *cluster) change(t *testing.T, add, remove MemberID) {
	t.Helper()
	var err error
	if l := c.leader(); add != 0 {
		c.spawn(add, nil)
		_, _, err = l.m.AddMember(add, "")
	} else {
		_, _, err = l.m.RemoveMember(remove)
	}
	if err != nil {
		t.Fatal(err)
	}
	c.until(t, "membership change", func() bool {
		m, ok := c.members.Find(add)
		_, still := c.members.Find(remove)
		return (add == 0 || ok && !m.Learner) && !still && c.caughtUp()
	})
}

func (c *cluster) mustWrite(t *testing.T) {
	before := len(c.chosen)
	c.until(t, "a leader", func() bool { return c.leader() != nil && c.leader().m.committedInTerm() })
	c.write(c.leader())
	c.until(t, "commit of a write", func() bool { return len(c.chosen) > before })
}

// TestSecondHostLostAfterRepair guards against a repair that leaves data on too
// few disks: after host 3 was replaced by host 4, any host may be lost.
func TestSecondHostLostAfterRepair(t *testing.T) {
	for _, victim := range []MemberID{1, 2, 4} {
		c, _ := settled(t, 3)
		c.crash(c.hosts[3])
		c.hosts[3].lost = true
		c.mustWrite(t)
		c.change(t, 4, 0)
		c.change(t, 0, 3)
		c.crash(c.hosts[victim])
		c.hosts[victim].lost = true
		c.mustWrite(t)
		c.until(t, "progress of the rest", c.caughtUp)
	}
}

// TestIsolatedHostReturns guards against a host that was cut off for an hour
// and serves old state or disturbs the leader on its return.
func TestIsolatedHostReturns(t *testing.T) {
	for _, leader := range []bool{true, false} {
		c, l := settled(t, 3)
		victim := l
		if !leader {
			victim = c.other(l.id)
		}
		c.isolate(victim.id, true)
		for range 36000 {
			c.tick(victim, 1)
			c.sync(victim)
			c.flight = nil
		}
		c.client.read(c, victim)
		if read := c.client.ops[len(c.client.ops)-1]; !read.end || read.returned != 0 {
			t.Errorf("isolated host answered a read: %+v", read)
		}
		c.mustWrite(t)
		c.until(t, "stable leader", func() bool { return c.leader().id != victim.id })
		before := c.leader().m.term
		c.isolate(victim.id, false)
		c.until(t, "return", c.caughtUp)
		c.calm(100, nil)
		if now := c.leader().m.term; now != before {
			t.Errorf("term moved from %d to %d after the return (leader isolated: %v)", before, now, leader)
		}
	}
}

// TestSnapshotIsSent guards against two faults found by schedules: a leader that
// never finds the match with a member whose log conflicts at the leader's first
// entry, and one that does not repeat a snapshot whose message was lost.
func TestSnapshotIsSent(t *testing.T) {
	m, err := New(Config{ID: 1, Disk: 1, Rand: rand.New(rand.NewSource(1))}, PersistedState{Snapshot: &Snapshot{
		Index: 10, Term: 3, Members: newMembers([]Member{{ID: 1}, {ID: 2, Learner: true}})}})
	if err != nil {
		t.Fatal(err)
	}
	m.role, m.term, m.peers = Leader, 3, map[MemberID]*peer{2: {next: 11, probing: true}}
	m.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Disk: 1, Term: 3, Reject: true, Index: 10, Hint: 10, HintTerm: 2})
	var sent []int
	for tick := range 2*snapshotRetryFactor*DefaultElectionTicks + 1 {
		for _, msg := range m.TakeOutput().Messages {
			if msg.Kind == KindSnapshot {
				sent = append(sent, tick)
			}
		}
		m.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Disk: 1, Term: 3})
		m.Tick(1)
	}
	if len(sent) != 3 || sent[0] != 0 {
		t.Errorf("snapshots were sent at ticks %v", sent)
	}
}

// TestMembershipRules guards against reused ids, concurrent changes, the loss of
// the last voter and a removed leader or member that goes on.
func TestMembershipRules(t *testing.T) {
	c, l := settled(t, 3)
	for _, bad := range []struct {
		host        *testHost
		add, remove MemberID
		want        error
	}{
		{l, 3, 0, ErrMemberIDUsed}, {l, 0, 9, ErrNoSuchMember}, {c.other(l.id), 0, 1, ErrNotLeader}, {l, 7, 0, nil}, {l, 8, 0, ErrChangePending},
	} {
		_, _, err := bad.host.m.RemoveMember(bad.remove)
		if bad.add != 0 {
			_, _, err = bad.host.m.AddMember(bad.add, "")
		}
		if !errors.Is(err, bad.want) {
			t.Errorf("add %d, remove %d: got %v, want %v", bad.add, bad.remove, err, bad.want)
		}
	}
	c.until(t, "learner committed", func() bool { return l.m.changeAllowed() })
	c.change(t, 0, 7)
	old := l.id
	c.change(t, 0, old)
	c.calm(100, nil)
	if s := c.hosts[old].m.Status(); s.Role == Leader || !s.Removed {
		t.Errorf("removed leader goes on: %+v", s)
	}
	c.mustWrite(t)
	follower := c.other(old, c.leader().id)
	c.change(t, 0, follower.id)
	c.calm(100, nil)
	if s := follower.m.Status(); !s.Removed {
		t.Errorf("removed follower goes on: %+v", s)
	}
	if _, _, err := c.leader().m.RemoveMember(c.leader().id); !errors.Is(err, ErrLastVoter) {
		t.Errorf("removing the last voter: %v", err)
	}
}

// TestOneWayCutKeepsLeader guards against a host that hears nobody, but is
// heard, and deposes a working leader.
func TestOneWayCutKeepsLeader(t *testing.T) {
	c, l := settled(t, 3)
	deaf := c.other(l.id)
	for _, id := range c.ids() {
		c.cut[[2]MemberID{id, deaf.id}] = true
	}
	term := l.m.term
	c.calm(200, nil)
	if l.m.role != Leader || l.m.term != term || deaf.m.term != term {
		t.Errorf("leader %+v, deaf host %+v", l.m.Status(), deaf.m.Status())
	}
}

// TestLostDiskNeverVotes guards against an id that starts again with a blank
// disk: it must not elect anybody, nor help an old leader to commit.
func TestLostDiskNeverVotes(t *testing.T) {
	c, l := settled(t, 3)
	blank := c.other(l.id)
	c.crash(blank)
	c.spawn(blank.id, blank.initial)
	healthy := c.other(l.id, blank.id)
	c.crash(healthy)
	before := len(c.chosen)
	c.write(l)
	c.calm(200, nil)
	if len(c.chosen) != before || c.leader() != nil {
		t.Errorf("%d entries were committed with the help of a lost disk; leader %v", len(c.chosen)-before, c.leader())
	}
	c.start(healthy)
	c.mustWrite(t)
	c.calm(100, nil)
	if s := c.hosts[blank.id].m.Status(); !s.Removed {
		t.Errorf("the host with the blank disk was not told: %+v", s)
	}
}

// TestDemotedMemberVotesAgain guards against a member whose vote was taken and
// that never gets it back, or gets it back before it answers.
func TestDemotedMemberVotesAgain(t *testing.T) {
	c, l := settled(t, 4)
	silent := c.other(l.id)
	c.isolate(silent.id, true)
	c.calm(100, nil)
	if ticks := l.m.TicksSinceReply()[silent.id]; ticks < 50 {
		t.Errorf("silent for %d ticks, want about 100", ticks)
	}
	if _, _, err := l.m.DemoteMember(silent.id); err != nil {
		t.Fatal(err)
	}
	c.until(t, "the vote is taken", func() bool { return c.members.Voters() == 3 })
	c.calm(100, nil)
	if c.members.Voters() != 3 {
		t.Error("a silent member got its vote back")
	}
	// Of four voters two would not be enough.
	lost := c.other(l.id, silent.id)
	c.crash(lost)
	c.mustWrite(t)
	c.isolate(silent.id, false)
	c.until(t, "the member votes again", func() bool { m, _ := c.members.Find(silent.id); return !m.Learner })
	if _, _, err := l.m.DemoteMember(9); !errors.Is(err, ErrNoSuchMember) {
		t.Errorf("demoting an unknown member: %v", err)
	}
}
