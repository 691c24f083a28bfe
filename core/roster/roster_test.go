package roster

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/google/go-cmp/cmp"
)

// TestInitialMembersIgnoresSeedOrder guards against hosts that form two groups
// because they read the same seeds in different orders.
func TestInitialMembersIgnoresSeedOrder(t *testing.T) {
	want := map[consensus.MemberID]string{1: "10.1.0.1:1", 2: "10.2.0.1:1", 3: "10.3.0.1:1"}
	for _, seeds := range [][]string{
		{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}, {"10.3.0.1:1", "10.1.0.1:1", "10.2.0.1:1", "10.1.0.1:1"},
	} {
		if diff := cmp.Diff(want, InitialMembers(seeds)); diff != "" {
			t.Error(diff)
		}
	}
}

// TestMinVoters guards against a group that shrinks below the number of voters
// needed for the tolerated losses.
func TestMinVoters(t *testing.T) {
	for _, c := range []struct{ losses, domains, want int }{{0, 0, 1}, {1, 0, 3}, {2, 0, 5}, {0, 1, 3}, {2, 1, 5}} {
		if got := MinVoters(c.losses, c.domains); got != c.want {
			t.Errorf("%d hosts or %d failure domains: %d voters, want %d", c.losses, c.domains, got, c.want)
		}
	}
}

// voters returns voters with the given times since their last reply, in seconds.
// The first one is the leader.
func voters(silent ...float64) []Member { return makeMembers(1, false, silent) }

// learners returns learners with ids from first on.
func learners(first int, silent ...float64) []Member { return makeMembers(first, true, silent) }

func makeMembers(first int, learner bool, silent []float64) []Member {
	var list []Member
	for i, s := range silent {
		list = append(list, Member{Member: consensus.Member{ID: consensus.MemberID(first + i), Learner: learner},
			Silent: time.Duration(s * float64(time.Second))})
	}
	return list
}

func group(minimum int, lists ...[]Member) Group {
	g := Group{MinVoters: minimum, MaxVoters: 5, MaxMembers: 8}
	for _, list := range lists {
		g.Members = append(g.Members, list...)
	}
	return g
}

// TestSilentMembers guards against a lost voter that still counts towards the
// majority after its replacement, so that the next loss stops the group, and
// against demotions that leave too few voters to tolerate a loss.
func TestSilentMembers(t *testing.T) {
	for _, c := range []struct {
		name           string
		group          Group
		demote, forget consensus.MemberID
	}{
		{"all answer", group(3, voters(0, 0.1, 0.2, 0.1)), 0, 0},
		{"voter silent during a restart", group(3, voters(0, 1.9, 0.2, 0.1)), 0, 0},
		{"voter silent, successor votes", group(3, voters(0, 2, 0.2, 0.1)), 2, 0},
		{"voter silent, no successor", group(3, voters(0, 0.1, 100)), 0, 0},
		{"two voters silent, one can be demoted", group(3, voters(0, 3, 5, 0.1)), 3, 0},
		{"voter silent, successor has not caught up", group(3, voters(0, 3, 0.1), learners(4, 0.1)), 0, 0},
		{"voter silent, learner waits at MaxVoters", group(5, voters(0, 3, 0.1, 0, 0), learners(6, 0.1)), 2, 0},
		{"voter and learner silent", group(5, voters(0, 3, 0.1, 0, 0), learners(6, 3)), 0, 0},
		{"more voters than needed", group(3, voters(0, 3, 3, 0.1, 0.1)), 2, 0},
		{"learner silent for the removal timeout", group(3, voters(0, 0.1, 0.1), learners(4, 20)), 0, 4},
		{"learner silent below the removal timeout", group(3, voters(0, 0.1, 0.1), learners(4, 19)), 0, 0},
		{"learner silent in a full group", group(5, voters(0, 0, 0, 0, 0), learners(6, 0, 4, 3)), 0, 7},
		{"no loss tolerance", group(1, voters(0, 3)), 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.group.VoterToDemote(); got != c.demote {
				t.Errorf("demotes %d, want %d", got, c.demote)
			}
			if got := c.group.LearnerToRemove(); got != c.forget {
				t.Errorf("removes %d, want %d", got, c.forget)
			}
		})
	}
}

// TestDepartureOf guards against a member that stops for good but stays a voter, and
// against one that leaves the group for a restart although its vote is needed.
func TestDepartureOf(t *testing.T) {
	for _, c := range []struct {
		name  string
		group Group
		id    consensus.MemberID
		want  Departure
	}{
		{"a successor votes", group(3, voters(0, 0, 0, 0)), 2, LeaveGroup},
		{"the leader, a successor votes", group(3, voters(0, 0, 0, 0)), 1, LeaveGroup},
		{"the successor has not caught up", group(3, voters(0, 0, 0), learners(4, 0)), 2, WaitForSuccessor},
		{"no successor", group(3, voters(0, 0, 0)), 2, KeepMembership},
		{"the successor is silent", group(3, voters(0, 0, 0), learners(4, 5)), 2, KeepMembership},
		{"a learner waits at MaxVoters", group(5, voters(0, 0, 0, 0, 0), learners(6, 0)), 2, LeaveGroup},
		{"another voter was lost at the same time", group(3, voters(0, 0, 9, 0)), 2, LeaveGroup},
		{"a learner", group(3, voters(0, 0, 0), learners(4, 0)), 4, KeepMembership},
		{"removed by an earlier request", group(3, voters(0, 0, 0)), 7, LeaveGroup},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.group.DepartureOf(c.id); got != c.want {
				t.Errorf("departure %v, want %v", got, c.want)
			}
		})
	}
}

// TestReplacementKeepsLossTolerance guards against a replacement that leaves the
// group unable to tolerate the next losses. Whichever member is replaced, the
// group must tolerate the loss of any further ones once the leader's decisions
// are carried out.
func TestReplacementKeepsLossTolerance(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		minimum := 2*tolerance + 1
		for hosts := minimum; hosts <= 8; hosts++ {
			for lost := 1; lost < hosts; lost++ {
				g := Group{MinVoters: minimum, MaxVoters: 5, MaxMembers: 16}
				for i := range hosts + 1 { // the last one is the successor
					m := Member{Member: consensus.Member{ID: consensus.MemberID(i + 1), Learner: i >= 5}}
					if i == lost {
						m.Silent = silentTimeout
					}
					g.Members = append(g.Members, m)
				}
				g.applyDecisions()
				running, total := 0, 0
				for _, m := range g.Members {
					if !m.Learner {
						total++
						if m.Silent == 0 {
							running++
						}
					}
				}
				if running-tolerance <= total/2 {
					t.Errorf("%d hosts, member %d replaced: %d of %d voters run, which does not tolerate the loss of %d",
						hosts, lost+1, running, total, tolerance)
				}
			}
		}
	}
}

// applyDecisions demotes voters and promotes running learners until nothing
// changes.
func (g *Group) applyDecisions() {
	for changed := true; changed; {
		changed = false
		if id := g.VoterToDemote(); id != 0 {
			g.Members[id-1].Learner, changed = true, true
		}
		for i := range g.Members {
			if voters, _ := g.count(); g.Members[i].Learner && g.Members[i].Silent == 0 && voters < g.MaxVoters {
				g.Members[i].Learner, changed = false, true
			}
		}
	}
}
