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

// TestPreemptedAnswersAreComplete guards against tokens that are lost, repeated or
// of another generation when the agent preempts an answer because memory runs out
// and resumes it later.
func TestPreemptedAnswersAreComplete(t *testing.T) {
	var mu sync.Mutex
	preemptions := 0
	tc := newTestCluster(t, clusterOptions{
		standin: standin.Options{TokenInterval: time.Millisecond, MemoryBlocks: 100},
		entry: entry.Options{RecordEvent: func(e burn.Event) {
			if e.Kind == contract.ObjectivePreemptions {
				mu.Lock()
				preemptions += e.Count
				mu.Unlock()
			}
		}},
	})
	s := clusterSections([]string{tc.engines[0].Address()}, tc.desk.Address())
	s["backend-server coach-1"]["memory_blocks"] = "100"
	tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(s)) })
	tc.agent.Reconcile()
	// Short answers without max_tokens make the agent expect short ones.
	for range 60 {
		if status, _, body := tc.call("POST", "/v1/completions",
			`{"model":"coach","prompt":"[trace] [tokens=4]"}`); status != 200 {
			t.Fatalf("short request: status %d: %s", status, body)
		}
	}
	var long sync.WaitGroup
	for range 4 {
		long.Go(func() {
			resp := tc.send(t.Context(), tc.urls[0], "POST", "/v1/completions",
				`{"model":"coach","stream":true,"prompt":"[trace] [tokens=600]"}`)
			checkTokens(t, newEventReader(resp).read(0).tokens, 0, 600)
		})
	}
	long.Wait()
	mu.Lock()
	defer mu.Unlock()
	if preemptions == 0 {
		t.Error("no answer was preempted, so the test checks nothing")
	}
	t.Logf("%d preemptions", preemptions)
}
