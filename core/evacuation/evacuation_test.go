package evacuation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var link = Link{BytesPerToken: 163840, Mbps: 24000}

// Guards against a wrong estimate, by which moves would not fit the notice:
// 3,500 tokens of 160 KiB take about 0.2 s over 24 Gbit/s.
func TestDuration(t *testing.T) {
	if d := link.Duration(3500, true).Round(time.Millisecond); d != 191*time.Millisecond {
		t.Errorf("%v within the domain", d)
	}
	if d := link.Duration(3500, false).Round(time.Millisecond); d != 382*time.Millisecond {
		t.Errorf("%v between domains", d)
	}
}

// Guards against a reclaimed engine whose generations all go to one other, to
// one without room, or to another domain while the own one has room; and against
// moves that begin though the notice is too short for them.
func TestPlan(t *testing.T) {
	run := func(id string, tokens, priority int) Generation {
		return Generation{ID: id, Tokens: tokens, Priority: priority}
	}
	near := func(address string, tokens int) Destination {
		return Destination{Address: address, SameDomain: true, FreeTokens: tokens, FreeSlots: 24}
	}
	far := func(address string, tokens int) Destination {
		return Destination{Address: address, FreeTokens: tokens, FreeSlots: 24}
	}
	full := near("full", 30000)
	full.FreeSlots = 0
	type moves = map[string]string
	for _, c := range []struct {
		name         string
		runs         []Generation
		destinations []Destination
		left         time.Duration
		want         moves
	}{
		{"spread", []Generation{run("a", 3500, 0), run("b", 3000, 0)}, []Destination{near("x", 30000), near("y", 29000)}, time.Second, moves{"a": "x", "b": "y"}},
		{"no slot", []Generation{run("a", 3500, 0)}, []Destination{full, near("y", 5000)}, time.Second, moves{"a": "y"}},
		{"other domain only without room", []Generation{run("a", 3500, 0), run("b", 3000, 0)}, []Destination{near("x", 4000), far("z", 30000)}, time.Second, moves{"a": "x", "b": "z"}},
		{"no room at all", []Generation{run("a", 3500, 0)}, []Destination{near("x", 3000)}, time.Second, moves{}},
		{"urgent first, then what fits", []Generation{run("large", 6000, 1), run("small", 1000, 1), run("urgent", 2000, 0)}, []Destination{near("x", 30000)},
			200 * time.Millisecond, moves{"urgent": "x", "small": "x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := moves{}
			for _, m := range Plan(c.runs, c.destinations, link, c.left) {
				got[m.Generation.ID] = m.Destination
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
