package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

func id(s string) message.ExecutionID { return message.ExecutionID{Request: message.RequestID(s)} }

// fixture drives a Controller as an agent does, with an engine of constant speed.
type fixture struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
	lengths    map[message.ExecutionID]int
	generated  map[message.ExecutionID]int
	order      []message.ExecutionID
	running    map[message.ExecutionID]bool
	waiting    map[message.ExecutionID]time.Duration
	paused     map[message.ExecutionID]int
	refused    []Action
	ended      []message.ExecutionID
	// started holds the time in the queue of each started execution.
	started map[message.ExecutionID]time.Duration
}

func newFixture(t *testing.T, cfg Config) *fixture {
	return &fixture{
		t: t, controller: New(cfg, rand.New(rand.NewSource(1))),
		lengths: map[message.ExecutionID]int{}, generated: map[message.ExecutionID]int{},
		running: map[message.ExecutionID]bool{}, waiting: map[message.ExecutionID]time.Duration{},
		paused: map[message.ExecutionID]int{}, started: map[message.ExecutionID]time.Duration{},
	}
}

func (f *fixture) enqueue(r Request, tokens int) {
	f.lengths[r.ID] = tokens
	f.waiting[r.ID] = f.now
	f.apply(f.controller.Enqueue(f.now, r))
}

func (f *fixture) apply(actions []Action) {
	f.t.Helper()
	for _, a := range actions {
		since, isWaiting := f.waiting[a.ID]
		switch a.Kind {
		case Start, Resume:
			if (a.Kind == Start) != isWaiting || f.running[a.ID] {
				f.t.Fatalf("%v of %v in the wrong state", a.Kind, a.ID)
			}
			if a.Kind == Start {
				f.started[a.ID] = f.now - since
			}
			delete(f.waiting, a.ID)
			f.running[a.ID] = true
			f.order = append(f.order, a.ID)
		case Pause:
			if !f.running[a.ID] {
				f.t.Fatalf("pause of %v, which does not run", a.ID)
			}
			f.running[a.ID] = false
			f.paused[a.ID]++
		case Refuse:
			if !isWaiting || a.RetryAfter <= 0 || a.Reason == verdict.ReasonNone {
				f.t.Fatalf("invalid refusal %+v", a)
			}
			delete(f.waiting, a.ID)
			f.refused = append(f.refused, a)
		}
	}
}

// step generates one token for each running execution.
func (f *fixture) step(d time.Duration) {
	f.now += d
	for _, x := range append([]message.ExecutionID(nil), f.order...) {
		if !f.running[x] || f.generated[x] >= f.lengths[x] {
			continue
		}
		f.generated[x]++
		f.apply(f.controller.TokensGenerated(f.now, x, f.generated[x]))
		if f.generated[x] >= f.lengths[x] && f.running[x] {
			f.running[x] = false
			f.ended = append(f.ended, x)
			f.apply(f.controller.Finished(f.now, x))
		}
	}
	f.apply(f.controller.Tick(f.now))
	kept := f.order[:0]
	for _, x := range f.order {
		if f.running[x] {
			kept = append(kept, x)
		}
	}
	f.order = kept
}

// enqueueRandom adds a short urgent request or a long one.
func (f *fixture) enqueueRandom(rng *rand.Rand, i int) {
	n, class, priority := 1+rng.Intn(20), "check", 10
	if rng.Intn(3) == 0 {
		n, class, priority = 1+int(150*rng.ExpFloat64()), "plan", -rng.Intn(2)
	}
	f.enqueue(Request{
		ID: id(fmt.Sprint(i)), Caller: fmt.Sprint(rng.Intn(5)), Class: message.RequestClass(class),
		Priority: priority, PromptTokens: 1 + rng.Intn(200), MaxTokens: 2000,
	}, n)
}

// TestRandomLoad guards against executions that are lost, started twice or
// preempted without bound, against memory use far above the engine's memory,
// against a queue above its bound, and against requests that start after their time
// in the queue.
func TestRandomLoad(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		rng := rand.New(rand.NewSource(seed))
		cfg := Config{TotalBlocks: 300, MaxBatch: 16, MaxWaiting: 40, MaxQueueTime: 5 * time.Second,
			NominalTokensPerSecond: 300, MaxPreemptions: 2}
		f := newFixture(t, cfg)
		overfullSteps := 0
		for i := 0; i < 6000; i++ {
			if rng.Float64() < 0.15 {
				f.enqueueRandom(rng, i)
			}
			if rng.Intn(100) == 0 && len(f.order) > 0 {
				x := f.order[rng.Intn(len(f.order))]
				f.running[x] = false
				f.lengths[x] = 0
				f.apply(f.controller.Cancel(f.now, x))
			}
			f.step(20 * time.Millisecond)
			if f.controller.usedBlocks > cfg.TotalBlocks {
				overfullSteps++
			}
			if f.controller.queue.size > cfg.MaxWaiting {
				t.Fatalf("seed %d: %d requests wait", seed, f.controller.queue.size)
			}
		}
		for i := 0; i < 5000 && len(f.controller.executions) > 0; i++ {
			f.step(20 * time.Millisecond)
		}
		if len(f.controller.executions) > 0 || f.controller.usedBlocks != 0 || f.controller.prefills != 0 ||
			f.controller.queue.size != 0 || len(f.controller.running) > 0 {
			t.Errorf("seed %d: state is left over: %d executions, %d blocks, %d prefills",
				seed, len(f.controller.executions), f.controller.usedBlocks, f.controller.prefills)
		}
		for x, n := range f.paused {
			if n > 2 {
				t.Errorf("seed %d: %v was preempted %d times", seed, x, n)
			}
		}
		for x, wait := range f.started {
			if wait > cfg.MaxQueueTime+100*time.Millisecond {
				t.Errorf("seed %d: %v started after %v", seed, x, wait)
			}
		}
		if overfullSteps > 60 || len(f.ended) < 400 {
			t.Errorf("seed %d: memory was overfull in %d of 6000 steps, %d ended", seed, overfullSteps, len(f.ended))
		}
	}
}

// TestFairShares guards against a team that takes the share of another one by
// sending many requests, and against weights that have no effect.
func TestFairShares(t *testing.T) {
	f := newFixture(t, Config{TotalBlocks: 200, MaxBatch: 8,
		MaxExpectedDelay: [bands]time.Duration{time.Hour, time.Hour, time.Hour},
		MaxQueueTime:     time.Hour, AgingTime: time.Hour})
	share := map[string]int{}
	for i := 0; i < 900; i++ {
		caller, weight := "light", 1.0
		if i%3 > 0 {
			caller, weight = "heavy", 3
		}
		f.enqueue(Request{
			ID: id(fmt.Sprint(caller, i)), Caller: caller, Weight: weight, PromptTokens: 50, MaxTokens: 60,
		}, 40)
	}
	for len(f.ended) < 300 {
		f.step(20 * time.Millisecond)
	}
	for _, x := range f.ended[:300] {
		share[string(x.Request[:5])]++
	}
	if r := float64(share["heavy"]) / float64(share["light"]); r < 2.7 || r > 3.3 {
		t.Errorf("shares %v, want a ratio of 3 to 1", share)
	}
}

// TestUrgency guards against short urgent requests that wait behind long ones, and
// against urgent requests that starve the others.
func TestUrgency(t *testing.T) {
	cfg := Config{TotalBlocks: 200, MaxBatch: 4, UrgentSlots: 1, AgingTime: 2 * time.Second, MaxQueueTime: time.Hour,
		MaxExpectedDelay: [bands]time.Duration{time.Hour, time.Hour, time.Hour}}
	f := newFixture(t, cfg)
	for i := 0; i < 20; i++ {
		f.enqueue(Request{ID: id(fmt.Sprint("long", i)), Caller: "a", PromptTokens: 20, MaxTokens: 400}, 200)
	}
	for i := 0; i < 500; i++ {
		if i%4 == 0 {
			f.enqueue(Request{
				ID: id(fmt.Sprint("short", i)), Caller: "b", Class: "s", Priority: 10, PromptTokens: 20, MaxTokens: 20,
			}, 8)
		}
		f.step(20 * time.Millisecond)
	}
	shorts, longs := 0, 0
	for x, wait := range f.started {
		if f.lengths[x] == 8 {
			shorts++
			if wait > 500*time.Millisecond {
				t.Errorf("%v waited %v", x, wait)
			}
		} else {
			longs++
		}
	}
	if shorts < 120 || longs < 6 {
		t.Errorf("%d short and %d long requests started", shorts, longs)
	}
}

// TestOverload guards against a full queue that refuses an urgent request while
// less urgent ones wait, and against a refusal without a retry time.
func TestOverload(t *testing.T) {
	f := newFixture(t, Config{TotalBlocks: 100, MaxBatch: 1, MaxWaiting: 3,
		MaxExpectedDelay: [bands]time.Duration{time.Hour, time.Hour, time.Hour}})
	for _, r := range []struct {
		name     string
		priority int
		refused  string
	}{
		{"runs", 0, ""}, {"n1", 0, ""}, {"bg", -1, ""}, {"n2", 0, ""}, {"u1", 10, "bg"}, {"u2", 10, "n2"},
		{"n3", 0, "n3"}, {"bg2", -1, "bg2"}, {"u3", 10, "n1"}, {"u4", 10, "u4"},
	} {
		f.refused = nil
		f.enqueue(Request{ID: id(r.name), Caller: r.name, Priority: r.priority, PromptTokens: 10}, 100)
		got := ""
		for _, a := range f.refused {
			got += string(a.ID.Request)
		}
		if got != r.refused {
			t.Errorf("after the arrival of %s: refused %q, want %q", r.name, got, r.refused)
		}
	}
}

// TestPrefillCap guards against several long prompts in one engine step.
func TestPrefillCap(t *testing.T) {
	f := newFixture(t, Config{TotalBlocks: 4096, MaxPrefills: 2, MaxPrefillTokens: 1000})
	for i, prompt := range []int{600, 300, 50, 3000} {
		f.enqueue(Request{ID: id(fmt.Sprint(i)), Caller: "a", PromptTokens: prompt, MaxTokens: 200}, 100)
	}
	if len(f.started) != 2 {
		t.Fatalf("%d executions started at once, want 2", len(f.started))
	}
	f.step(20 * time.Millisecond)
	if _, ok := f.started[id("3")]; ok {
		t.Error("a prompt over the cap started alongside another one")
	}
	f.step(20 * time.Millisecond)
	f.step(20 * time.Millisecond)
	if _, ok := f.started[id("3")]; !ok {
		t.Error("a prompt over the cap never starts")
	}
}

// TestVictim guards against preempting urgent, protected or nearly finished
// executions while another one can be preempted.
func TestVictim(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a, b, c *execution)
		want   string
	}{
		"youngest":         {func(_, _, _ *execution) {}, "c"},
		"least urgent":     {func(a, _, _ *execution) { a.Priority = -1 }, "a"},
		"protected":        {func(_, _, c *execution) { c.preemptions = 2 }, "b"},
		"near its end":     {func(_, _, c *execution) { c.MaxTokens = 120 }, "b"},
		"preempted before": {func(_, b, c *execution) { c.preemptions, b.preemptions = 1, 1 }, "a"},
	} {
		f := newFixture(t, Config{TotalBlocks: 4096, MaxPrefills: 3})
		for i, x := range []string{"a", "b", "c"} {
			f.now = time.Duration(i) * time.Second
			f.enqueue(Request{ID: id(x), Caller: x, PromptTokens: 10, MaxTokens: 1000}, 1000)
			f.apply(f.controller.TokensGenerated(f.now, id(x), 100))
		}
		e := f.controller.executions
		c.change(e[id("a")], e[id("b")], e[id("c")])
		if v := f.controller.victim(); v == nil || string(v.ID.Request) != c.want {
			t.Errorf("%s: victim %v, want %s", name, v, c.want)
		}
	}
}

// TestEngineMemory guards against ignoring engine memory that is used for something
// else, and against a margin that does not react to preemptions by the engine.
func TestEngineMemory(t *testing.T) {
	f := newFixture(t, Config{TotalBlocks: 1000})
	before := f.controller.margin
	f.apply(f.controller.EngineLoad(0, Load{FreeBlocks: 200, TotalBlocks: 1000, Preemptions: 3}))
	if free := f.controller.LoadHint(0).FreeBlocks; free > 200 {
		t.Errorf("the load hint reports %d free blocks, but the engine has 200", free)
	}
	if f.controller.margin <= before {
		t.Error("the margin did not grow after preemptions of the engine")
	}
}

// TestIdleTeamsAreRemoved guards against a server that remembers every caller it ever had,
// while the callers with requests keep theirs.
func TestIdleTeamsAreRemoved(t *testing.T) {
	const busy, callers = 20, 20 * idleRemovalThreshold
	c := New(Config{TotalBlocks: 1 << 20, BlockTokens: 16, MaxBatch: 64}, rand.New(rand.NewSource(1)))
	enqueue := func(name string) {
		c.Enqueue(0, Request{ID: id(name), Caller: name, PromptTokens: 10, MaxTokens: 10})
	}
	for i := range busy {
		enqueue(fmt.Sprint("busy-", i))
	}
	for i := range callers {
		name := fmt.Sprint("idle-", i)
		enqueue(name)
		c.Finished(0, id(name))
		if n := len(c.queue.teams); n > idleRemovalThreshold {
			t.Fatalf("%d teams after %d callers with %d of them busy, want at most %d", n, busy+i+1, busy, idleRemovalThreshold)
		}
	}
	for i := range busy {
		if c.queue.teams[fmt.Sprint("busy-", i)] == nil {
			t.Fatalf("the team of busy caller %d is gone", i)
		}
	}
}
