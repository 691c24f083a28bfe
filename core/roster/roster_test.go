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
		if diff := cmp.Diff(want, Initial(seeds)); diff != "" {
			t.Error(diff)
		}
	}
}

func members(addresses ...string) []consensus.Member {
	var list []consensus.Member
	for i, a := range addresses {
		list = append(list, consensus.Member{ID: consensus.MemberID(i + 1), Address: a})
	}
	return list
}

// learner makes one member a learner.
func learner(list []consensus.Member, id consensus.MemberID) []consensus.Member {
	list[id-1].Learner = true
	return list
}

// Guards against a member that stays in the group for good after another took
// its place, so that the next loss stops the group; and against removing one
// that is only frozen, or so many that the group bears no loss any more.
func TestRemove(t *testing.T) {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, c := range []struct {
		name    string
		members []consensus.Member
		silent  map[string]float64
		joined  map[consensus.MemberID]float64
		now     float64
		minimum int
		want    consensus.MemberID
	}{
		{"all heard", members("a", "b", "c"), nil, nil, 100, 3, 0},
		{"silent for a freeze", members("a", "b", "c", "d"), map[string]float64{"d": 95}, nil, 100, 3, 0},
		{"silent for good", members("a", "b", "c", "d"), map[string]float64{"d": 75}, nil, 100, 3, 4},
		{"silent for good, but none to spare", members("a", "b", "c"), map[string]float64{"c": 75}, nil, 100, 3, 0},
		{"replaced", members("a", "b", "c", "d"), map[string]float64{"c": 95}, map[consensus.MemberID]float64{4: 96}, 100, 3, 3},
		{"replaced a moment ago", members("a", "b", "c", "d"), map[string]float64{"c": 97}, map[consensus.MemberID]float64{4: 98}, 100, 3, 0},
		{"silent after the last one joined", members("a", "b", "c", "d"), map[string]float64{"c": 95}, map[consensus.MemberID]float64{4: 90}, 100, 3, 0},
		{"two silent, too few left", members("a", "b", "c", "d"), map[string]float64{"c": 75, "d": 75}, nil, 100, 3, 0},
		{"replaced, while the newcomer can not vote yet", learner(members("a", "b", "c", "d", "e", "f"), 6), map[string]float64{"c": 95}, map[consensus.MemberID]float64{6: 96}, 100, 5, 3},
		{"silent for good with learners to take its place", learner(members("a", "b", "c", "d", "e", "f"), 6), map[string]float64{"c": 75}, nil, 100, 5, 3},
		{"silent for good without learners", members("a", "b", "c", "d", "e"), map[string]float64{"c": 75}, nil, 100, 5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewKeeper(0)
			for _, m := range c.members {
				at, silent := c.silent[m.Address]
				if !silent {
					at = c.now
				}
				if joined, ok := c.joined[m.ID]; ok {
					k.Joined(second(joined), m.ID, m.Address)
				}
				k.Heard(second(at), m.Address)
			}
			if got := k.Remove(second(c.now), 1, c.members, c.minimum); got != c.want {
				t.Errorf("removes %d, want %d", got, c.want)
			}
		})
	}
}
