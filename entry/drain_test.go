package entry_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
)

// TestAgentDrain guards against a shutdown of the agent that aborts running or
// queued executions, or an answer whose caller reconnects.
func TestAgentDrain(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{standin: standin.Options{TokenInterval: 2 * time.Millisecond}})
	tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(oneSlotSections(tc))) })
	tc.agent.Reconcile()
	lost := tc.stream(0, "[trace] [tokens=200]").read(10)
	var queued sync.WaitGroup
	for range 2 {
		queued.Go(func() { checkTokens(t, tc.stream(0, "[trace] [tokens=50]").read(0).tokens, 0, 50) })
	}
	eventually(t, "two requests are queued", func() bool { return waitingCount(t, tc) == 2 })
	_ = lost.resp.Body.Close()
	drained := make(chan error, 1)
	go func() { drained <- tc.agent.Drain(context.Background()) }()
	queued.Wait()
	if resp := tc.send(context.Background(), tc.urls[0], "POST", "/v1/completions",
		completion("x", false)); resp.Header.Get(entry.VerdictHeader) != "not_run" {
		text, _ := io.ReadAll(resp.Body)
		t.Errorf("new request: status %d: %s", resp.StatusCode, text)
	}
	select {
	case err := <-drained:
		t.Fatalf("the agent finished draining before the lost caller reconnected: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	checkTokens(t, tc.resume(0, lost.streamID(), "Last-Event-ID", lost.lastID).read(0).tokens, 10, 190)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestEntryDrain guards against requests that an entry takes after its notice and cuts off,
// against refusals of requests that end in time, and against connections that are closed
// without an answer at the end of a drain.
func TestEntryDrain(t *testing.T) {
	const notice, limit = 100 * time.Millisecond, 2 * time.Second
	tc := newTestCluster(t, clusterOptions{standin: standin.Options{TokenInterval: 20 * time.Millisecond}})
	type answer struct {
		status  int
		verdict string
	}
	send := func(path, body string) answer {
		resp := tc.send(context.Background(), tc.urls[0], "POST", path, body)
		_, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			t.Error(err)
		}
		return answer{resp.StatusCode, resp.Header.Get(entry.VerdictHeader)}
	}
	remaining := make(chan answer, 1)
	go func() { remaining <- send("/v1/completions", completion("[tokens=300]", false)) }()
	eventually(t, "a generation is in progress", func() bool { return tc.entries[0].ActiveRequests() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	tc.entries[0].StartDraining(ctx, notice)
	if got := send("/v1/completions", completion("[tokens=2]", false)); got.status != 200 {
		t.Errorf("a request within the notice: %v", got)
	}
	time.Sleep(notice)
	if got := send("/v1/completions", completion("[tokens=2]", false)); got != (answer{503, "not_run"}) {
		t.Errorf("a request after the notice: %v", got)
	}
	if err := tc.entries[0].Drain(ctx); err == nil {
		t.Error("the drain did not report that a request remained")
	}
	if got := <-remaining; got != (answer{504, "may_have_run"}) {
		t.Errorf("the request that remained: %v", got)
	}
}
