package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
)

// newSlowWorld returns a world whose plain service may take 20 s, with a proxy
// between entry and agent.
func newSlowWorld(t *testing.T) *world {
	w := newWorld(t, worldOptions{rpcProxy: true})
	sections := declare([]string{w.engines[0].Address()}, w.desk.Address())
	sections["service book-desk"]["timeout"] = "20s"
	w.fleet.update(func(f *fleet) { f.config = must2(contract.Build(2, sections)) })
	return w
}

// TestSilentCalls guards against calls that wait for their whole timeout on a
// connection between entry and agent that went silent.
func TestSilentCalls(t *testing.T) {
	const limit = 12 * time.Second
	t.Run("during a long call", func(t *testing.T) {
		t.Parallel()
		w := newSlowWorld(t)
		began := time.Now()
		go func() {
			eventually(t, "the call runs", func() bool { return w.desk.RunCount("long") == 1 })
			w.rpcProxy.silence()
		}()
		status, verdict, body := w.call("POST", "/services/book-desk/swaps?delay=19s", "long", "Idempotency-Key", "k")
		if status != http.StatusBadGateway || verdict != "may_have_run" || time.Since(began) > limit {
			t.Errorf("status %d, verdict %q after %v: %s", status, verdict, time.Since(began), body)
		}
		if status, _, _ := w.call("POST", "/services/book-desk/swaps", "next", "Idempotency-Key", "k2"); status != 200 {
			t.Errorf("next call: status %d", status)
		}
	})
	t.Run("while idle", func(t *testing.T) {
		t.Parallel()
		w := newSlowWorld(t)
		w.call("POST", "/services/book-desk/swaps", "first", "Idempotency-Key", "k1")
		w.rpcProxy.silence()
		began := time.Now()
		status, verdict, body := w.call("POST", "/services/book-desk/swaps", "second", "Idempotency-Key", "k2")
		if status != http.StatusBadGateway || verdict != "not_run" || time.Since(began) > limit {
			t.Errorf("status %d, verdict %q after %v: %s", status, verdict, time.Since(began), body)
		}
		if status, _, _ := w.call("POST", "/services/book-desk/swaps", "second", "Idempotency-Key", "k2"); status != 200 || w.desk.RunCount("second") != 1 {
			t.Errorf("sent again: status %d, %d runs", status, w.desk.RunCount("second"))
		}
		if status, _, _ := w.call("POST", "/v1/completions", completion("[tokens=3]", false)); status != 200 {
			t.Errorf("generation: status %d", status)
		}
	})
	t.Run("slow but alive", func(t *testing.T) {
		t.Parallel()
		w := newSlowWorld(t)
		if status, _, body := w.call("POST", "/services/book-desk/swaps?delay=6s", "slow", "Idempotency-Key", "k"); status != 200 {
			t.Errorf("status %d: %s", status, body)
		}
	})
}

// TestLostCallerLeavesOthers guards against calls that fail because another
// caller on the same connection between entry and agent went away.
func TestLostCallerLeavesOthers(t *testing.T) {
	w := newSlowWorld(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "both calls run", func() bool { return w.desk.RunCount("lost") == 1 && w.desk.RunCount("kept") == 1 })
		cancel()
	}()
	var lost sync.WaitGroup
	lost.Go(func() {
		req, _ := http.NewRequestWithContext(ctx, "POST", w.urls[0]+"/services/book-desk/slots?delay=5s", strings.NewReader("lost"))
		req.Header.Set("Authorization", "Bearer demo-key")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	})
	status, verdict, body := w.call("POST", "/services/book-desk/swaps?delay=1s", "kept", "Idempotency-Key", "k")
	if status != 200 || verdict != "ran" {
		t.Errorf("other call: status %d, verdict %q: %s", status, verdict, body)
	}
	lost.Wait()
}
