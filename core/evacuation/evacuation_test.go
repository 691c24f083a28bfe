package evacuation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var link = Link{BytesPerToken: 163840, Mbps: 24000}

// TestDuration guards against a wrong estimate, which would plan moves that do not
// fit the notice: 3,500 tokens of 160 KiB take about 0.2 s over 24 Gbit/s.
func TestDuration(t *testing.T) {
	if d := link.Duration(3500, true).Round(time.Millisecond); d != 191*time.Millisecond {
		t.Errorf("%v within a failure domain", d)
	}
	if d := link.Duration(3500, false).Round(time.Millisecond); d != 382*time.Millisecond {
		t.Errorf("%v between failure domains", d)
	}
}

// TestPlan guards against moves of all generations to the same server, to a server
// without capacity, or to another failure domain while the same one has
// capacity, and against moves that do not fit the notice.
func TestPlan(t *testing.T) {
	generation := func(id string, tokens, priority int) Generation {
		return Generation{ID: id, Tokens: tokens, Priority: priority}
	}
	sameDomain := func(address string, tokens int) Destination {
		return Destination{Address: address, SameDomain: true, FreeTokens: tokens, FreeSlots: 24}
	}
	otherDomain := func(address string, tokens int) Destination {
		return Destination{Address: address, FreeTokens: tokens, FreeSlots: 24}
	}
	full := sameDomain("full", 30000)
	full.FreeSlots = 0
	type moves = map[string]string
	for _, c := range []struct {
		name         string
		generations  []Generation
		destinations []Destination
		remaining    time.Duration
		want         moves
	}{
		{"spread", []Generation{generation("a", 3500, 0), generation("b", 3000, 0)},
			[]Destination{sameDomain("x", 30000), sameDomain("y", 29000)}, time.Second, moves{"a": "x", "b": "y"}},
		{"no free slot", []Generation{generation("a", 3500, 0)},
			[]Destination{full, sameDomain("y", 5000)}, time.Second, moves{"a": "y"}},
		{"other domain if the same one is full", []Generation{generation("a", 3500, 0), generation("b", 3000, 0)},
			[]Destination{sameDomain("x", 4000), otherDomain("z", 30000)}, time.Second, moves{"a": "x", "b": "z"}},
		{"no capacity", []Generation{generation("a", 3500, 0)},
			[]Destination{sameDomain("x", 3000)}, time.Second, moves{}},
		{"urgent first, then those that fit",
			[]Generation{generation("large", 6000, 1), generation("small", 1000, 1), generation("urgent", 2000, 0)},
			[]Destination{sameDomain("x", 30000)}, 200 * time.Millisecond, moves{"urgent": "x", "small": "x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := moves{}
			for _, m := range Plan(c.generations, c.destinations, link, c.remaining) {
				got[m.Generation.ID] = m.Destination
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
