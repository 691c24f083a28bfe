package roster

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/google/go-cmp/cmp"
)

// Guards against hosts that begin two groups, because they read the same seeds
// in another order.
func TestInitialDoesNotDependOnTheOrder(t *testing.T) {
	want := map[consensus.MemberID]string{1: "10.1.0.1:1", 2: "10.2.0.1:1", 3: "10.3.0.1:1"}
	for _, seeds := range [][]string{{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}, {"10.3.0.1:1", "10.1.0.1:1", "10.2.0.1:1", "10.1.0.1:1"}} {
		if diff := cmp.Diff(want, InitialMembers(seeds)); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a group that shrinks below what the tolerated losses need.
func TestMinVoters(t *testing.T) {
	for _, c := range []struct{ losses, domains, want int }{{0, 0, 1}, {1, 0, 3}, {2, 0, 5}, {0, 1, 3}, {2, 1, 5}} {
		if got := MinVoters(c.losses, c.domains); got != c.want {
			t.Errorf("%d hosts or %d failure domains: %d voters, want %d", c.losses, c.domains, got, c.want)
		}
	}
}

// voters and learners make members that are silent for a number of seconds; the
// first one is the leader.
func voters(silent ...float64) []Member { return makeMembers(1, false, silent) }

func learners(first int, silent ...float64) []Member { return makeMembers(first, true, silent) }

func makeMembers(first int, learner bool, silent []float64) []Member {
	var list []Member
	for i, s := range silent {
		list = append(list, Member{Member: consensus.Member{ID: consensus.MemberID(first + i), Learner: learner}, Silent: time.Duration(s * float64(time.Second))})
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

// Guards against a member that still counts after another took its place, so
// that the next loss stops the group; and against votes that are taken from so
// many that the group bears no loss any more.
func TestSilentMembers(t *testing.T) {
	for _, c := range []struct {
		name           string
		group          Group
		demote, forget consensus.MemberID
	}{
		{"all answer", group(3, voters(0, 0.1, 0.2, 0.1)), 0, 0},
		{"silent for a restart", group(3, voters(0, 1.9, 0.2, 0.1)), 0, 0},
		{"silent, with a successor", group(3, voters(0, 2, 0.2, 0.1)), 2, 0},
		{"silent, none to spare", group(3, voters(0, 0.1, 100)), 0, 0},
		{"two silent, one to spare", group(3, voters(0, 3, 5, 0.1)), 3, 0},
		{"silent, the successor is behind", group(3, voters(0, 3, 0.1), learners(4, 0.1)), 0, 0},
		{"silent, learners wait for the place", group(5, voters(0, 3, 0.1, 0, 0), learners(6, 0.1)), 2, 0},
		{"silent, the learner as well", group(5, voters(0, 3, 0.1, 0, 0), learners(6, 3)), 0, 0},
		{"more voters than needed", group(3, voters(0, 3, 3, 0.1, 0.1)), 2, 0},
		{"learner silent for long", group(3, voters(0, 0.1, 0.1), learners(4, 20)), 0, 4},
		{"learner silent for a while", group(3, voters(0, 0.1, 0.1), learners(4, 19)), 0, 0},
		{"learner silent in a full group", group(5, voters(0, 0, 0, 0, 0), learners(6, 0, 4, 3)), 0, 7},
		{"no losses to bear", group(1, voters(0, 3)), 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.group.VoterToDemote(); got != c.demote {
				t.Errorf("takes the vote of %d, want %d", got, c.demote)
			}
			if got := c.group.LearnerToRemove(); got != c.forget {
				t.Errorf("removes %d, want %d", got, c.forget)
			}
		})
	}
}

// Guards against a member that stops for good and leaves its vote behind, and
// against one that gives up its vote and data for a restart when it is needed.
func TestDepart(t *testing.T) {
	for _, c := range []struct {
		name  string
		group Group
		id    consensus.MemberID
		want  Departure
	}{
		{"a successor votes", group(3, voters(0, 0, 0, 0)), 2, LeaveGroup},
		{"the leader, a successor votes", group(3, voters(0, 0, 0, 0)), 1, LeaveGroup},
		{"a successor is behind", group(3, voters(0, 0, 0), learners(4, 0)), 2, WaitForSuccessor},
		{"no successor", group(3, voters(0, 0, 0)), 2, KeepMembership},
		{"the successor is silent", group(3, voters(0, 0, 0), learners(4, 5)), 2, KeepMembership},
		{"a successor waits for the place", group(5, voters(0, 0, 0, 0, 0), learners(6, 0)), 2, LeaveGroup},
		{"another voter was lost at the same moment", group(3, voters(0, 0, 9, 0)), 2, LeaveGroup},
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

// Guards against a loss that stops the group although no more are lost than it
// is meant to bear: whatever member is replaced, by whatever order of joining
// and going, after the leader's decisions any further one may be lost.
func TestReplacementLeavesTheGroupWhole(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		minimum := 2*tolerance + 1
		for hosts := minimum; hosts <= 8; hosts++ {
			for gone := 1; gone < hosts; gone++ {
				g := Group{MinVoters: minimum, MaxVoters: 5, MaxMembers: 16}
				for i := range hosts + 1 { // the last one is the successor
					m := Member{Member: consensus.Member{ID: consensus.MemberID(i + 1), Learner: i >= 5}}
					if i == gone {
						m.Silent = silentAfter
					}
					g.Members = append(g.Members, m)
				}
				g.settle()
				running, all := 0, 0
				for _, m := range g.Members {
					if !m.Learner {
						all++
						if m.Silent == 0 {
							running++
						}
					}
				}
				if running-tolerance <= all/2 {
					t.Errorf("%d hosts, member %d replaced: %d of %d voters run, which does not bear the loss of %d", hosts, gone+1, running, all, tolerance)
				}
			}
		}
	}
}

// settle carries decisions out, and lets learners that run vote.
func (g *Group) settle() {
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
