package policy

import (
	"math/rand"
	"testing"
	"time"
)

// TestEngineMemory guards against blocks that leak or are allocated twice,
// sequences that a preemption loses, and tokens that are counted without memory for
// them.
func TestEngineMemory(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	cfg := generationEngine
	cfg.blocks = 200
	e := newEngine(cfg)
	preempted := 0
	e.onPreempt = func(*sequence) { preempted++ }
	live := map[*sequence]bool{}
	ended := 0
	for i := 0; i < 20000 && ended < 300; i++ {
		if rng.Intn(10) == 0 && len(live) < 60 {
			s := &sequence{
				request: &request{promptTokens: 1 + rng.Intn(100), outputTokens: 1 + rng.Intn(400)}, priority: rng.Intn(2),
			}
			live[s] = true
			e.submit(s)
		}
		e.step()
		for _, s := range append([]*sequence(nil), e.emitting...) {
			s.generated++
			if s.generated == s.request.outputTokens {
				e.remove(s)
				delete(live, s)
				ended++
			}
		}
		used := 0
		for _, s := range e.running {
			used += s.blocks
			if s.prefillLeft <= 0 && s.blocks < e.blocksFor(s.context()) {
				t.Fatalf("step %d: %d blocks hold %d tokens", i, s.blocks, s.context())
			}
		}
		if used+e.freeBlocks != cfg.blocks || e.freeBlocks < 0 || len(e.running)+len(e.waiting) != len(live) {
			t.Fatalf("step %d: %d used, %d free, %d sequences of %d",
				i, used, e.freeBlocks, len(e.running)+len(e.waiting), len(live))
		}
	}
	if ended < 300 || preempted == 0 || e.preemptions != preempted {
		t.Errorf("%d ended, %d preempted (counted %d)", ended, preempted, e.preemptions)
	}
}

// TestEngineStep guards against a step duration that ignores the batch, the prompts
// or the prefix cache, and against admission to the batch that ignores priority.
func TestEngineStep(t *testing.T) {
	e := newEngine(generationEngine)
	step := func(rs ...*request) time.Duration {
		for _, r := range rs {
			e.submit(&sequence{request: r, priority: r.priority})
		}
		return e.step()
	}
	long := &request{promptTokens: 1000, outputTokens: 10, prefixTokens: 900, prefixKey: "p"}
	first := step(long)
	decode := step()
	second := step(&request{promptTokens: 1000, outputTokens: 10, prefixTokens: 900, prefixKey: "p"})
	if d := first - decode; d < 25*time.Millisecond {
		t.Errorf("1,000 prompt tokens add %v", d)
	}
	if d := second - decode; d <= 0 || d > 6*time.Millisecond {
		t.Errorf("100 tokens after a cached prefix add %v", d)
	}
	step(&request{promptTokens: 3000, outputTokens: 1}, &request{promptTokens: 10, outputTokens: 1, priority: 5})
	if r := e.running[2].request; r.priority != 5 {
		t.Errorf("the sequence with the higher priority is not admitted first: %+v", r)
	}
}

// TestStall guards against a computation of the stall that differs from its
// definition in docs/policy.md.
func TestStall(t *testing.T) {
	c := newCollector()
	r := &request{outputTokens: 3, arrival: time.Second, lastTokenAt: time.Second}
	s := &sequence{request: r}
	for _, at := range []time.Duration{
		3 * time.Second, 3*time.Second + 40*time.Millisecond, 3*time.Second + 200*time.Millisecond,
	} {
		s.generated++
		c.recordToken(at, s)
	}
	if want := 400*time.Millisecond + 101*time.Millisecond; r.stall != want {
		t.Errorf("stall %v, want %v", r.stall, want)
	}
	r.addUnfinishedStall(4*time.Second + 200*time.Millisecond)
	if want := 501*time.Millisecond + 941*time.Millisecond; r.stall != want {
		t.Errorf("stall at the cutoff %v, want %v", r.stall, want)
	}
	waiting := &request{outputTokens: 3}
	waiting.addUnfinishedStall(2 * time.Second)
	if want := 400 * time.Millisecond; waiting.stall != want {
		t.Errorf("stall of a waiting request %v, want %v", waiting.stall, want)
	}
}
