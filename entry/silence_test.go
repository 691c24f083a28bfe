package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
)

// newSlowServiceCluster returns a test cluster whose plain service has a timeout of
// 20 s, with a proxy between entry and agent.
func newSlowServiceCluster(t *testing.T) *testCluster {
	tc := newTestCluster(t, clusterOptions{rpcProxy: true})
	sections := clusterSections([]string{tc.engines[0].Address()}, tc.desk.Address())
	sections["service book-desk"]["timeout"] = "20s"
	tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(contract.Build(2, sections)) })
	return tc
}

// TestCallsOnSilentConnection guards against calls that wait for their whole timeout
// on a connection between entry and agent that drops all bytes.
func TestCallsOnSilentConnection(t *testing.T) {
	const maxDuration = 12 * time.Second
	t.Run("during a long call", func(t *testing.T) {
		t.Parallel()
		tc := newSlowServiceCluster(t)
		start := time.Now()
		go func() {
			eventually(t, "the call runs", func() bool { return tc.desk.RunCount("long") == 1 })
			tc.rpcProxy.dropBytes()
		}()
		status, verdict, body := tc.call("POST", "/services/book-desk/swaps?delay=19s", "long", "Idempotency-Key", "k")
		if status != http.StatusBadGateway || verdict != "may_have_run" || time.Since(start) > maxDuration {
			t.Errorf("status %d, verdict %q after %v: %s", status, verdict, time.Since(start), body)
		}
		if status, _, _ := tc.call("POST", "/services/book-desk/swaps", "next", "Idempotency-Key", "k2"); status != 200 {
			t.Errorf("next call: status %d", status)
		}
	})
	t.Run("while idle", func(t *testing.T) {
		t.Parallel()
		tc := newSlowServiceCluster(t)
		tc.call("POST", "/services/book-desk/swaps", "first", "Idempotency-Key", "k1")
		tc.rpcProxy.dropBytes()
		start := time.Now()
		status, verdict, body := tc.call("POST", "/services/book-desk/swaps", "second", "Idempotency-Key", "k2")
		if status != http.StatusBadGateway || verdict != "not_run" || time.Since(start) > maxDuration {
			t.Errorf("status %d, verdict %q after %v: %s", status, verdict, time.Since(start), body)
		}
		if status, _, _ := tc.call("POST", "/services/book-desk/swaps",
			"second", "Idempotency-Key", "k2"); status != 200 || tc.desk.RunCount("second") != 1 {
			t.Errorf("repeated call: status %d, %d runs", status, tc.desk.RunCount("second"))
		}
		if status, _, _ := tc.call("POST", "/v1/completions", completion("[tokens=3]", false)); status != 200 {
			t.Errorf("generation: status %d", status)
		}
	})
	t.Run("slow but alive", func(t *testing.T) {
		t.Parallel()
		tc := newSlowServiceCluster(t)
		if status, _, body := tc.call("POST", "/services/book-desk/swaps?delay=6s",
			"slow", "Idempotency-Key", "k"); status != 200 {
			t.Errorf("status %d: %s", status, body)
		}
	})
}

// TestDisconnectedCallerDoesNotAffectOthers guards against calls that fail because
// another caller, whose call shares their connection between entry and agent,
// disconnects.
func TestDisconnectedCallerDoesNotAffectOthers(t *testing.T) {
	tc := newSlowServiceCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "both calls run", func() bool { return tc.desk.RunCount("lost") == 1 && tc.desk.RunCount("kept") == 1 })
		cancel()
	}()
	var lost sync.WaitGroup
	lost.Go(func() {
		req, _ := http.NewRequestWithContext(ctx, "POST", tc.urls[0]+"/services/book-desk/slots?delay=5s",
			strings.NewReader("lost"))
		req.Header.Set("Authorization", "Bearer demo-key")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	})
	status, verdict, body := tc.call("POST", "/services/book-desk/swaps?delay=1s", "kept", "Idempotency-Key", "k")
	if status != 200 || verdict != "ran" {
		t.Errorf("other call: status %d, verdict %q: %s", status, verdict, body)
	}
	lost.Wait()
}

// Guards against a stalled generation that occupies its backend server without end because
// bytes that are no events arrive, and against a slow but sound one that is cut.
func TestStalledAndSlowStreams(t *testing.T) {
	for _, c := range []struct {
		name, prompt  string
		tokenInterval time.Duration
		complete      bool
	}{
		{"stalled, goes on when it is resumed", "[tokens=20] [silent=5] [comments]", time.Millisecond, true},
		{"stalled for good", "[tokens=20] [silent=5] [comments] [stuck]", time.Millisecond, false},
		{"slow but sound", "[tokens=20] [comments]", 150 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const requestTimeout = 6 * time.Second
			tc := newTestCluster(t, clusterOptions{standin: standin.Options{TokenInterval: c.tokenInterval},
				agent: agent.Options{EngineIdleTimeout: 300 * time.Millisecond},
				entry: entry.Options{RequestTimeout: requestTimeout}})
			start := time.Now()
			r := tc.stream(0, c.prompt).read(0)
			if r.done != c.complete || c.complete && len(r.tokens) != 20 || !c.complete && len(r.tokens) != 5 {
				t.Errorf("complete %v, %d tokens, code %q", r.done, len(r.tokens), r.code)
			}
			if took := time.Since(start); !c.complete && (took > requestTimeout+3*time.Second || r.code != string(verdict.ReasonDeadline)) {
				t.Errorf("ended after %v with code %q, want the deadline of %v", took, r.code, requestTimeout)
			}
			eventually(t, "the engine is free", func() bool { return runningCount(tc) == 0 })
			if next := tc.stream(0, "[tokens=3]").read(0); !next.done {
				t.Errorf("the next request was not served: code %q", next.code)
			}
		})
	}
}
