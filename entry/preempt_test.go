package entry_test

import (
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
)

// TestPreemptedAnswersStayWhole guards against tokens that are lost, repeated or
// of another generation when the agent pauses an answer because memory fills,
// and resumes it later.
func TestPreemptedAnswersStayWhole(t *testing.T) {
	var mu sync.Mutex
	preemptions := 0
	w := newWorld(t, worldOptions{
		standin: standin.Options{TokenInterval: time.Millisecond, MemoryBlocks: 100},
		entry: entry.Options{RecordEvent: func(e burn.Event) {
			if e.Kind == contract.ObjectivePreemptions {
				mu.Lock()
				preemptions += e.Count
				mu.Unlock()
			}
		}},
	})
	s := declare([]string{w.engines[0].Address()}, w.desk.Address())
	s["backend-server coach-1"]["memory_blocks"] = "100"
	w.fleet.update(func(f *fleet) { f.config = must2(buildConfig(s)) })
	w.agent.Reconcile()
	// Short answers of unknown length teach the agent to expect short ones.
	for range 60 {
		if status, _, body := w.call("POST", "/v1/completions", `{"model":"coach","prompt":"[trace] [tokens=4]"}`); status != 200 {
			t.Fatalf("short request: status %d: %s", status, body)
		}
	}
	var long sync.WaitGroup
	for range 4 {
		long.Go(func() {
			resp := w.send(t.Context(), w.urls[0], "POST", "/v1/completions", `{"model":"coach","stream":true,"prompt":"[trace] [tokens=600]"}`)
			check(t, newReader(resp).read(0).tokens, 0, 600)
		})
	}
	long.Wait()
	mu.Lock()
	defer mu.Unlock()
	if preemptions == 0 {
		t.Error("no answer was preempted, so the test shows nothing")
	}
	t.Logf("%d preemptions", preemptions)
}
