package consensus

import (
	"errors"
	"math/rand"
	"slices"
	"testing"
)

// newClusterWithLeader returns a cluster with a leader and some committed writes.
func newClusterWithLeader(t *testing.T, size int) (*cluster, *testHost) {
	c := newCluster(1, size, faults{})
	c.runUntil(t, "first leader", c.caughtUp)
	for range 30 {
		c.write(c.leader())
		c.runWithoutFaults(1, nil)
	}
	return c, c.leader()
}

// runUntil runs the hosts without faults until done, and fails the test if that
// does not happen.
func (c *cluster) runUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	if !c.runWithoutFaults(400, done) {
		t.Fatalf("not reached: %s", what)
	}
}

// otherHost returns a running host that is not in the list.
func (c *cluster) otherHost(not ...MemberID) *testHost {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.up && !slices.Contains(not, id) {
			return h
		}
	}
	return nil
}

// changeMember adds or removes one member and waits until the change has taken
// effect.
func (c *cluster) changeMember(t *testing.T, add, remove MemberID) {
	t.Helper()
	var err error
	if l := c.leader(); add != 0 {
		c.startNewHost(add, nil)
		_, _, err = l.raft.AddMember(add, "")
	} else {
		_, _, err = l.raft.RemoveMember(remove)
	}
	if err != nil {
		t.Fatal(err)
	}
	c.runUntil(t, "membership change", func() bool {
		m, ok := c.members.Find(add)
		_, still := c.members.Find(remove)
		return (add == 0 || ok && !m.Learner) && !still && c.caughtUp()
	})
}

// mustWrite writes through the leader and fails the test if nothing is committed.
func (c *cluster) mustWrite(t *testing.T) {
	before := len(c.committed)
	c.runUntil(t, "a leader", func() bool { return c.leader() != nil && c.leader().raft.committedInTerm() })
	c.write(c.leader())
	c.runUntil(t, "commit of a write", func() bool { return len(c.committed) > before })
}

// TestSecondHostLostAfterRepair guards against a replacement that leaves data on
// too few disks. After host 3 is replaced by host 4, the loss of any host must be
// tolerated.
func TestSecondHostLostAfterRepair(t *testing.T) {
	for _, victim := range []MemberID{1, 2, 4} {
		c, _ := newClusterWithLeader(t, 3)
		c.crash(c.hosts[3])
		c.hosts[3].diskLost = true
		c.mustWrite(t)
		c.changeMember(t, 4, 0)
		c.changeMember(t, 0, 3)
		c.crash(c.hosts[victim])
		c.hosts[victim].diskLost = true
		c.mustWrite(t)
		c.runUntil(t, "progress of the remaining hosts", c.caughtUp)
	}
}

// TestIsolatedHostReturns guards against a host that serves stale reads while it is
// isolated for an hour, or deposes the leader when it returns.
func TestIsolatedHostReturns(t *testing.T) {
	for _, leader := range []bool{true, false} {
		c, l := newClusterWithLeader(t, 3)
		victim := l
		if !leader {
			victim = c.otherHost(l.id)
		}
		c.isolate(victim.id, true)
		for range 36000 {
			c.tick(victim, 1)
			c.sync(victim)
			c.inFlight = nil
		}
		c.history.read(c, victim)
		if read := c.history.ops[len(c.history.ops)-1]; !read.ended || read.returned != 0 {
			t.Errorf("isolated host answered a read: %+v", read)
		}
		c.mustWrite(t)
		c.runUntil(t, "stable leader", func() bool { return c.leader().id != victim.id })
		before := c.leader().raft.term
		c.isolate(victim.id, false)
		c.runUntil(t, "return", c.caughtUp)
		c.runWithoutFaults(100, nil)
		if now := c.leader().raft.term; now != before {
			t.Errorf("term moved from %d to %d after the return (leader isolated: %v)", before, now, leader)
		}
	}
}

// TestSnapshotIsSent guards against a leader that never finds a matching entry for
// a member whose log conflicts at the leader's first entry, and against a snapshot
// that is not sent again after its message was lost.
func TestSnapshotIsSent(t *testing.T) {
	r, err := New(Config{ID: 1, Disk: 1, Rand: rand.New(rand.NewSource(1))}, PersistedState{Snapshot: &Snapshot{
		Index: 10, Term: 3, Members: newMembers([]Member{{ID: 1}, {ID: 2, Learner: true}})}})
	if err != nil {
		t.Fatal(err)
	}
	r.role, r.term, r.peers = Leader, 3, map[MemberID]*peer{2: {next: 11, probing: true}}
	r.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Disk: 1, Term: 3, Reject: true, Index: 10,
		Hint: 10, HintTerm: 2})
	var sent []int
	for tick := range 2*snapshotRetryFactor*DefaultElectionTicks + 1 {
		for _, msg := range r.TakeOutput().Messages {
			if msg.Kind == KindSnapshot {
				sent = append(sent, tick)
			}
		}
		r.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Disk: 1, Term: 3})
		r.Tick(1)
	}
	if len(sent) != 3 || sent[0] != 0 {
		t.Errorf("snapshots were sent at ticks %v", sent)
	}
}

// TestMembershipRules guards against reused ids, concurrent changes, removal of the
// last voter, and removed leaders and members that continue to take part.
func TestMembershipRules(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	for _, bad := range []struct {
		host        *testHost
		add, remove MemberID
		want        error
	}{
		{l, 3, 0, ErrMemberIDUsed}, {l, 0, 9, ErrNoSuchMember}, {c.otherHost(l.id), 0, 1, ErrNotLeader},
		{l, 7, 0, nil}, {l, 8, 0, ErrChangePending},
	} {
		_, _, err := bad.host.raft.RemoveMember(bad.remove)
		if bad.add != 0 {
			_, _, err = bad.host.raft.AddMember(bad.add, "")
		}
		if !errors.Is(err, bad.want) {
			t.Errorf("add %d, remove %d: got %v, want %v", bad.add, bad.remove, err, bad.want)
		}
	}
	c.runUntil(t, "learner committed", func() bool { return l.raft.changeAllowed() })
	c.changeMember(t, 0, 7)
	old := l.id
	c.changeMember(t, 0, old)
	c.runWithoutFaults(100, nil)
	if s := c.hosts[old].raft.Status(); s.Role == Leader || !s.Removed {
		t.Errorf("removed leader continues: %+v", s)
	}
	c.mustWrite(t)
	follower := c.otherHost(old, c.leader().id)
	c.changeMember(t, 0, follower.id)
	c.runWithoutFaults(100, nil)
	if s := follower.raft.Status(); !s.Removed {
		t.Errorf("removed follower continues: %+v", s)
	}
	if _, _, err := c.leader().raft.RemoveMember(c.leader().id); !errors.Is(err, ErrLastVoter) {
		t.Errorf("removing the last voter: %v", err)
	}
}

// TestOneWayPartitionKeepsLeader guards against a host that deposes a working
// leader because it receives no messages while its own are delivered.
func TestOneWayPartitionKeepsLeader(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	inboundCut := c.otherHost(l.id)
	for _, id := range c.ids() {
		c.blockedLinks[[2]MemberID{id, inboundCut.id}] = true
	}
	term := l.raft.term
	c.runWithoutFaults(200, nil)
	if l.raft.role != Leader || l.raft.term != term || inboundCut.raft.term != term {
		t.Errorf("leader %+v, host without inbound messages %+v", l.raft.Status(), inboundCut.raft.Status())
	}
}

// TestLostDiskNeverVotes guards against an id that restarts with a blank disk and
// takes part in an election or in the quorum of a commit.
func TestLostDiskNeverVotes(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	blank := c.otherHost(l.id)
	c.crash(blank)
	c.startNewHost(blank.id, blank.initial)
	healthy := c.otherHost(l.id, blank.id)
	c.crash(healthy)
	before := len(c.committed)
	c.write(l)
	c.runWithoutFaults(200, nil)
	if len(c.committed) != before || c.leader() != nil {
		t.Errorf("%d entries were committed with the vote of a lost disk; leader %v", len(c.committed)-before, c.leader())
	}
	c.start(healthy)
	c.mustWrite(t)
	c.runWithoutFaults(100, nil)
	if s := c.hosts[blank.id].raft.Status(); !s.Removed {
		t.Errorf("the host with the blank disk was not notified: %+v", s)
	}
}

// TestDemotedMemberVotesAgain guards against a demoted member that is never
// promoted again, or is promoted before it replies.
func TestDemotedMemberVotesAgain(t *testing.T) {
	c, l := newClusterWithLeader(t, 4)
	silent := c.otherHost(l.id)
	c.isolate(silent.id, true)
	c.runWithoutFaults(100, nil)
	if ticks := l.raft.TicksSinceReply()[silent.id]; ticks < 50 {
		t.Errorf("no reply for %d ticks, want about 100", ticks)
	}
	if _, _, err := l.raft.DemoteMember(silent.id); err != nil {
		t.Fatal(err)
	}
	c.runUntil(t, "the member is demoted", func() bool { return c.members.Voters() == 3 })
	c.runWithoutFaults(100, nil)
	if c.members.Voters() != 3 {
		t.Error("an unresponsive member was promoted")
	}
	// Two of four voters would not be a majority.
	lost := c.otherHost(l.id, silent.id)
	c.crash(lost)
	c.mustWrite(t)
	c.isolate(silent.id, false)
	c.runUntil(t, "the member votes again", func() bool { m, _ := c.members.Find(silent.id); return !m.Learner })
	if _, _, err := l.raft.DemoteMember(9); !errors.Is(err, ErrNoSuchMember) {
		t.Errorf("demoting an unknown member: %v", err)
	}
}
