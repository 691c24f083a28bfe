package placement

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/serverhealth"
)

func makeServers(n int) []Server {
	all := make([]Server, n)
	for i := range all {
		all[i] = Server{Name: fmt.Sprintf("s%03d", i), Distance: failuredomain.SameRegion, Blocks: 4096}
	}
	return all
}

func newBalancer(cfg Config, servers []Server) *Balancer {
	b := New(cfg, rand.New(rand.NewSource(1)))
	b.SetServers(0, servers)
	return b
}

// hintAll applies the same load hint to all servers.
func hintAll(b *Balancer, now time.Duration, servers []Server, free int) {
	for _, s := range servers {
		b.Hint(now, message.LoadHint{BackendServer: s.Name, FreeBlocks: free, TotalBlocks: 4096}, 0)
	}
}

// suspectFirst makes the first server one that all entries together suspect.
func suspectFirst(b *Balancer, s []Server) {
	b.SetStandings(0, map[string]serverhealth.Status{s[0].Name: {Server: s[0].Name, State: serverhealth.Suspected, ProbeDue: true}})
}

// chooseCases holds the cases of TestChoose.
var chooseCases = map[string]struct {
	change    func(b *Balancer, s []Server)
	query     Query
	low, high float64
}{
	"equal servers":                     {func(*Balancer, []Server) {}, Query{}, 0.05, 0.16},
	"suspected by all entries together": {suspectFirst, Query{}, 0, 0.005},
	"probe of a suspected server":       {suspectFirst, Query{Probe: "s000"}, 1, 1},
	"own failure domain with free memory": {func(b *Balancer, s []Server) {
		s[0].Distance = failuredomain.SameDomain
		b.SetServers(0, s)
	}, Query{}, 0.99, 1},
	"own failure domain is full": {func(b *Balancer, s []Server) {
		s[0].Distance = failuredomain.SameDomain
		b.SetServers(0, s)
		b.Hint(0, message.LoadHint{BackendServer: "s000", TotalBlocks: 4096, QueueDelay: time.Second}, 0)
	}, Query{}, 0, 0.005},
	"other region, own one has free memory": {func(b *Balancer, s []Server) {
		s[0].Distance = failuredomain.OtherRegion
		b.SetServers(0, s)
	}, Query{}, 0, 0},
	"other region, own one is full": {func(b *Balancer, s []Server) {
		s[0].Distance = failuredomain.OtherRegion
		b.SetServers(0, s)
		for _, x := range s[1:] {
			b.Hint(0, message.LoadHint{BackendServer: x.Name, TotalBlocks: 4096, QueueDelay: time.Second}, 0)
		}
	}, Query{}, 0.25, 0.45},
	"leaving": {func(b *Balancer, s []Server) {
		s[0].Leaving = true
		b.SetServers(0, s)
	}, Query{}, 0, 0},
	"leaving by its load hint": {func(b *Balancer, _ []Server) {
		b.Hint(0, message.LoadHint{BackendServer: "s000", Leaving: true}, 0)
	}, Query{}, 0, 0},
	"excluded": {func(*Balancer, []Server) {}, Query{Exclude: []string{"s000"}}, 0, 0},
	"ejected after failures": {func(b *Balancer, _ []Server) {
		for i := 0; i < 3; i++ {
			b.Report(0, Outcome{Server: "s000", Result: Failed})
		}
	}, Query{}, 0, 0},
	"refused recently": {func(b *Balancer, _ []Server) {
		b.Report(0, Outcome{Server: "s000", Result: Refused, RetryAfter: time.Second})
	}, Query{}, 0, 0},
	"refused a less urgent request": {func(b *Balancer, _ []Server) {
		b.Report(0, Outcome{Server: "s000", Result: Refused, RetryAfter: time.Second})
	}, Query{Priority: 10}, 0.05, 0.16},
	"slow": {func(b *Balancer, s []Server) {
		for i := 0; i < 200; i++ {
			first := 50 * time.Millisecond
			if i%10 == 0 {
				first = 500 * time.Millisecond
			}
			b.Report(0, Outcome{Server: s[i%10].Name, Result: Completed, FirstToken: first})
		}
	}, Query{}, 0, 0.05},
	"new server": {func(b *Balancer, s []Server) {
		b.SetServers(0, s[1:])
		b.SetServers(0, s)
	}, Query{}, 0, 0.04},
}

// TestChoose guards against preferences that are ignored or applied too strongly.
// Each case places 1,000 requests and bounds the share of server s000.
func TestChoose(t *testing.T) {
	for name, c := range chooseCases {
		t.Run(name, func(t *testing.T) {
			servers := makeServers(10)
			b := newBalancer(Config{}, servers)
			hintAll(b, 0, servers, 4000)
			c.change(b, servers)
			hits := 0
			for i := 0; i < 1000; i++ {
				got, ok := b.Choose(time.Millisecond, c.query)
				if !ok {
					t.Fatal("no server")
				}
				if got == "s000" {
					hits++
				}
				b.Report(time.Millisecond, Outcome{Server: got, Result: Canceled})
				// Drop the pending request, so that the next choice sees an idle
				// server.
				b.servers[got].pending.remove(1)
			}
			if share := float64(hits) / 1000; share < c.low || share > c.high {
				t.Errorf("s000 got %.3f, want %.2f to %.2f", share, c.low, c.high)
			}
		})
	}
}

// TestAffinity guards against a prefix that moves between servers, and against a
// popular prefix that overloads its server.
func TestAffinity(t *testing.T) {
	servers := makeServers(10)
	b := newBalancer(Config{}, servers)
	hintAll(b, 0, servers, 4000)
	counts := map[string]int{}
	for i := 0; i < 200; i++ {
		name, _ := b.Choose(0, Query{PrefixKey: "popular", Blocks: 40})
		counts[name]++
	}
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	if highest < 22 || highest > 40 {
		t.Errorf("the preferred server got %d of 200, want slightly more than its share of 20", highest)
	}
}

// TestLaggingHints guards against herding: between two hints the entry must count
// its own requests, so that no server gets far more than its share.
func TestLaggingHints(t *testing.T) {
	servers := makeServers(10)
	b := newBalancer(Config{}, servers)
	hintAll(b, 0, servers, 1000)
	b.Hint(0, message.LoadHint{BackendServer: "s003", FreeBlocks: 1400, TotalBlocks: 4096}, 0)
	counts := map[string]int{}
	for i := 0; i < 100; i++ {
		name, _ := b.Choose(time.Duration(i)*time.Millisecond, Query{Blocks: 40})
		counts[name]++
	}
	if n := counts["s003"]; n < 10 || n > 25 {
		t.Errorf("the server with 400 more free blocks got %d of 100", n)
	}
	// A hint that was measured before the requests and arrives late must not hide
	// them.
	b.Hint(200*time.Millisecond, message.LoadHint{BackendServer: "s003", FreeBlocks: 1400, TotalBlocks: 4096},
		190*time.Millisecond)
	if b.servers["s003"].pending.blocks == 0 {
		t.Error("a hint that was measured before the requests hides them")
	}
}

// TestEjection guards against a server that never returns after a fault, against
// one that returns to full load at once, and against ejecting most servers if the
// fault is elsewhere.
func TestEjection(t *testing.T) {
	servers := makeServers(4)
	b := newBalancer(Config{}, servers)
	fail := func(now time.Duration, name string) {
		for i := 0; i < 3; i++ {
			b.Report(now, Outcome{Server: name, Result: Failed})
		}
	}
	for _, s := range servers {
		fail(0, s.Name)
	}
	if b.outcomes.Failing() != 2 {
		t.Errorf("%d of 4 servers ejected, want 2", b.outcomes.Failing())
	}
	probes := 0
	for i := 0; i < 100; i++ {
		name, ok := b.Choose(3*time.Second, Query{})
		if !ok {
			t.Fatal("no server")
		}
		if b.outcomes.State(3*time.Second, name) == serverhealth.Failing {
			probes++
		}
	}
	if probes > 2 {
		t.Errorf("%d requests went to ejected servers, want one probe each", probes)
	}
	for _, s := range servers {
		b.Report(4*time.Second, Outcome{Server: s.Name, Result: Completed})
	}
	if b.outcomes.Failing() != 0 {
		t.Errorf("%d servers still ejected after a success", b.outcomes.Failing())
	}
}

// TestSubset guards against a subset that changes a lot when one server joins, and
// against servers that are in no subset.
func TestSubset(t *testing.T) {
	servers := makeServers(810)
	covered := map[string]int{}
	for e := 0; e < 300; e++ {
		b := newBalancer(Config{Entry: fmt.Sprint("entry", e)}, servers[:809])
		before := map[string]bool{}
		for name := range b.servers {
			covered[name]++
			before[name] = true
		}
		b.SetServers(time.Second, servers)
		changed := 0
		for name := range b.servers {
			if !before[name] {
				changed++
			}
		}
		if len(b.servers) != DefaultSubsetSize || changed > 1 {
			t.Fatalf("%d servers, %d changed by one join", len(b.servers), changed)
		}
	}
	if len(covered) < 805 {
		t.Errorf("only %d of 809 servers are in a subset", len(covered))
	}
}

// Guards against requests that find no server while servers outside the evacuated failure domain
// have room, against requests to evacuated servers, and against a subset that stays changed or
// servers that start slowly again after the evacuation.
func TestEvacuatedServersTakeNoPlaceOfTheSubset(t *testing.T) {
	servers := makeServers(400)
	for e := range 50 {
		b := newBalancer(Config{Entry: fmt.Sprint("entry", e)}, servers)
		before := maps.Clone(b.servers)
		evacuated := slices.Clone(servers)
		open := map[string]bool{}
		for i := range evacuated {
			if evacuated[i].Evacuated = i >= 5; !evacuated[i].Evacuated {
				open[evacuated[i].Name] = true
			}
		}
		b.SetServers(time.Second, evacuated)
		for range 20 {
			if name, ok := b.Choose(time.Second, Query{}); !ok || !open[name] {
				t.Fatalf("entry %d: chose %q, %v, want one of %v", e, name, ok, open)
			}
		}
		b.SetServers(2*time.Second, servers)
		if !maps.Equal(b.servers, before) {
			t.Fatalf("entry %d: the subset changed by an evacuation that ended", e)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 150, 810} {
		for _, subset := range slices.Compact([]int{min(n, DefaultSubsetSize), n}) {
			b.Run(fmt.Sprintf("servers=%d/subset=%d", n, subset), func(b *testing.B) {
				servers := makeServers(n)
				balancer := newBalancer(Config{SubsetSize: subset}, servers)
				hintAll(balancer, 0, servers, 2000)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := time.Duration(i) * time.Millisecond
					name, _ := balancer.Choose(now, Query{PrefixKey: "prefix", Blocks: 40})
					balancer.Report(now, Outcome{Server: name, Result: Completed, Blocks: 40, FirstToken: 50 * time.Millisecond})
					balancer.Hint(now, message.LoadHint{BackendServer: name, FreeBlocks: 2000, TotalBlocks: 4096}, 0)
				}
			})
		}
	}
}

// TestPickRoute guards against weights that have no effect, such as an experiment
// with weight 0 that still gets requests.
func TestPickRoute(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	routes := []contract.Route{{Name: "a", Weight: 90}, {Name: "b", Weight: 10}, {Name: "c", Weight: 0}}
	counts := map[string]int{}
	for i := 0; i < 10000; i++ {
		r, _ := PickRoute(routes, rng)
		counts[r.Name]++
	}
	if b := counts["b"]; b < 900 || b > 1100 || counts["c"] > 0 {
		t.Errorf("counts %v", counts)
	}
	if _, ok := PickRoute(routes[2:], rng); ok {
		t.Error("a route without weight was chosen")
	}
}

// TestStaleState guards against a server that gets no further requests because its
// last known state was bad. Load hints arrive only with replies, so that state
// would never be updated.
func TestStaleState(t *testing.T) {
	full := message.LoadHint{BackendServer: "s000", TotalBlocks: 4096, QueueDelay: time.Minute}
	leaving := message.LoadHint{BackendServer: "s000", TotalBlocks: 4096, FreeBlocks: 4096, Leaving: true}
	for name, c := range map[string]struct {
		observe     func(b *Balancer)
		at          time.Duration
		incarnation uint64
		chosen      bool
	}{
		"full, fresh hint":    {func(b *Balancer) { b.Hint(0, full, 0) }, time.Second, 0, false},
		"full, stale hint":    {func(b *Balancer) { b.Hint(0, full, 0) }, 11 * time.Second, 0, true},
		"full, restarted":     {func(b *Balancer) { b.Hint(0, full, 0) }, 12 * time.Second, 1, true},
		"leaving, fresh hint": {func(b *Balancer) { b.Hint(0, leaving, 0) }, time.Second, 0, false},
		"leaving, stale hint": {func(b *Balancer) { b.Hint(0, leaving, 0) }, 11 * time.Second, 0, true},
		"ejected":             {ejectFirst, time.Second, 0, false},
		"ejected, restarted":  {ejectFirst, time.Second, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			servers := makeServers(2)
			b := newBalancer(Config{SlowStart: time.Millisecond, Choices: 64}, servers)
			c.observe(b)
			servers[0].Incarnation = c.incarnation
			b.SetServers(c.at-2*time.Millisecond, servers)
			chosen := false
			for range 20 {
				got, _ := b.Choose(c.at, Query{Exclude: nil, Blocks: 64})
				chosen = chosen || got == "s000"
			}
			if chosen != c.chosen {
				t.Errorf("chosen %v, want %v", chosen, c.chosen)
			}
		})
	}
}

func ejectFirst(b *Balancer) {
	for range 3 {
		b.Report(0, Outcome{Server: "s000", Result: Failed})
	}
}

// TestChooseComparesAllOfFew guards against choosing a busy server over an idle one
// when there are no more servers than Choices. Eight draws with replacement missed
// the idle one of two servers.
func TestChooseComparesAllOfFew(t *testing.T) {
	for seed := int64(0); seed < 2000; seed++ {
		b := New(Config{Choices: 4}, rand.New(rand.NewSource(seed)))
		b.SetServers(0, []Server{{Name: "busy", Blocks: 100}, {Name: "idle", Blocks: 100}})
		b.Hint(0, message.LoadHint{BackendServer: "busy", TotalBlocks: 100, FreeBlocks: 10}, 0)
		b.Hint(0, message.LoadHint{BackendServer: "idle", TotalBlocks: 100, FreeBlocks: 90}, 0)
		if got, ok := b.Choose(0, Query{Blocks: 1}); !ok || got != "idle" {
			t.Fatalf("seed %d: chose %q", seed, got)
		}
	}
}

// Guards against a server that draws requests because it refuses them at once and reports
// no load, and against one that is not tried again.
func TestRefusingServerHasNoRoom(t *testing.T) {
	b := New(Config{Entry: "e", Choices: 8}, rand.New(rand.NewSource(1)))
	b.SetServers(0, []Server{{Name: "a", Distance: failuredomain.SameDomain, Blocks: 100},
		{Name: "b", Distance: failuredomain.OtherRegion, Blocks: 100}})
	refused, now := 0, time.Duration(0)
	for range 400 {
		now += 10 * time.Millisecond
		name, ok := b.Choose(now, Query{Blocks: 10})
		if !ok {
			t.Fatal("no server")
		}
		free := 50
		result := Completed
		if name == "a" {
			free, result = 100, Refused
			refused++
		}
		b.Report(now, Outcome{Server: name, Result: result, Blocks: 10})
		b.Hint(now, message.LoadHint{BackendServer: name, FreeBlocks: free, TotalBlocks: 100}, 0)
	}
	if refused < 2 || refused > 8 {
		t.Errorf("%d of 400 requests in 4 s to the server that refuses", refused)
	}
	b.Report(now, Outcome{Server: "a", Result: Completed})
	if name, _ := b.Choose(now, Query{Blocks: 10}); name != "a" {
		t.Errorf("chose %s after a completed a request", name)
	}
	b.SetServers(now, []Server{{Name: "a", Blocks: 100}})
	b.Report(now, Outcome{Server: "a", Result: Refused, Blocks: 10})
	if _, ok := b.Choose(now, Query{Blocks: 10}); !ok {
		t.Error("the only server is not used after it refused")
	}
}
