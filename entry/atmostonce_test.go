package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/entry"
)

// countingService is a plain service that counts its calls by query and injects
// faults that the query names. It also collects the idempotency keys.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
	keys []string
}

func (s *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/load" {
		_, _ = io.WriteString(w, "{}")
		return
	}
	s.mu.Lock()
	s.runs[r.URL.RawQuery]++
	s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	s.mu.Unlock()
	switch r.URL.RawQuery {
	case "break":
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	case "redirect":
		http.Redirect(w, r, "/swaps?redirect", http.StatusTemporaryRedirect)
	case "slow":
		time.Sleep(400 * time.Millisecond)
	}
}

func (s *countingService) runCount(query string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[query]
}

// TestRunsAtMostOnce guards against a non-repeatable call that runs twice or gets a
// wrong verdict. Each case sends requests and checks their verdicts.
func TestRunsAtMostOnce(t *testing.T) {
	type step struct {
		entryIndex         int
		method, path, body string
		want               string
		status             int
	}
	killAgent := step{method: "kill agent"}
	recordOfKilledEntry := step{method: "begin elsewhere"}
	cases := []struct {
		fault string
		query string
		steps []step
		runs  int
	}{
		{"reused connection closed after the request", "break", []step{
			{0, "GET", "/swaps?ok", "", "ran", 200},
			{0, "GET", "/swaps?break", "", "may_have_run", 502},
			{1, "GET", "/swaps?break", "", "may_have_run", 409},
		}, 1},
		{"redirect that repeats the method", "redirect", []step{{0, "POST", "/swaps?redirect", "", "ran", 307}}, 1},
		{"escaped path hides the pattern", "x", []step{
			{0, "POST", "/%73waps?x", "b", "not_run", 400},
			{0, "POST", "//swaps?x", "b", "not_run", 400},
			{0, "POST", "/a/../swaps?x", "b", "not_run", 400},
			{0, "POST", "/a%2F..%2Fswaps?x", "b", "not_run", 400},
		}, 0},
		{"one key with two queries", "b", []step{
			{0, "POST", "/swaps?a", "x", "ran", 200},
			{1, "POST", "/swaps?b", "x", "not_run", 422},
		}, 0},
		{"one key with two bodies", "a", []step{
			{0, "POST", "/swaps?a", "x", "ran", 200},
			{1, "POST", "/swaps?a", "y", "not_run", 422},
		}, 1},
		{"repeated after its end, via another entry", "a", []step{
			{0, "POST", "/swaps?a", "x", "ran", 200},
			{1, "POST", "/swaps?a", "x", "ran", 200},
		}, 1},
		{"service closes the connection after the call", "break", []step{
			{0, "POST", "/swaps?break", "x", "may_have_run", 502},
			{1, "POST", "/swaps?break", "x", "may_have_run", 409},
		}, 1},
		{"agent killed during the call", "slow", []step{
			killAgent,
			{0, "POST", "/swaps?slow", "x", "may_have_run", 502},
			{1, "POST", "/swaps?slow", "x", "may_have_run", 409},
		}, 1},
		{"entry killed after recording the call", "a", []step{
			recordOfKilledEntry, {1, "POST", "/swaps?a", "x", "may_have_run", 409},
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			desk := &countingService{runs: map[string]int{}}
			server := httptest.NewServer(desk)
			t.Cleanup(server.Close)
			tc := newTestCluster(t, clusterOptions{entries: 2, rpcProxy: true, agent: agent.Options{
				Connect: func(contract.BackendServer) engine.Backend {
					return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
				},
			}})
			for _, s := range c.steps {
				switch s.method {
				case "kill agent":
					go func() {
						eventually(t, "the call runs", func() bool { return desk.runCount(c.query) > 0 })
						tc.rpcProxy.closeConnections()
					}()
					continue
				case "begin elsewhere":
					tc.recordCallOfKilledEntry("k")
					continue
				}
				key := "k"
				if strings.Contains(s.path, "?ok") {
					key = "k-ok"
				}
				if s.status == 400 {
					key = ""
				}
				resp := tc.send(context.Background(), tc.urls[s.entryIndex],
					s.method, "/services/book-desk"+s.path, s.body, "Idempotency-Key", key)
				if got := resp.Header.Get(entry.VerdictHeader); got != s.want || resp.StatusCode != s.status {
					t.Errorf("%s %s: status %d, verdict %q; want %d, %q",
						s.method, s.path, resp.StatusCode, got, s.status, s.want)
				}
			}
			if got := desk.runCount(c.query); got != c.runs {
				t.Errorf("the call ran %d times, want %d", got, c.runs)
			}
			for _, key := range desk.keys {
				if !strings.HasPrefix(key, "k") {
					t.Errorf("the service got the idempotency key %q", key)
				}
			}
		})
	}
}

// recordCallOfKilledEntry records a call like an entry that is killed before it
// dispatches the call. It takes the digest from a request through an entry whose
// ledger rejects the call.
func (tc *testCluster) recordCallOfKilledEntry(key string) {
	interceptor := &killedEntryLedger{fakeLedger: tc.ledger}
	options := entry.Options{Fleet: tc.fleet, Ledger: interceptor}
	e := entry.New(options)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	defer e.Close()
	tc.send(context.Background(), server.URL, "POST", "/services/book-desk/swaps?a", "x", "Idempotency-Key", key)
}

// killedEntryLedger commits the record of each call under the request id of another
// entry and rejects the call.
type killedEntryLedger struct{ *fakeLedger }

func (l *killedEntryLedger) BeginCall(ctx context.Context, r message.BeginCallRequest) (message.BeginCallReply, error) {
	r.Request = message.NewRequestID("killed", 1, 1)
	_, _ = l.fakeLedger.BeginCall(ctx, r)
	return message.BeginCallReply{State: message.CallStarted, Request: r.Request}, nil
}

// TestCallSentAgain guards against a call that runs twice because callers repeat it
// while it runs, via two entries, or after they lost their connection.
func TestCallSentAgain(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{entries: 2})
	const path = "/services/book-desk/swaps?delay=300ms"
	var senders sync.WaitGroup
	var mu sync.Mutex
	verdicts := map[string]int{}
	for i := range 20 {
		senders.Go(func() {
			resp := tc.send(context.Background(), tc.urls[i%2], "POST", path, "together", "Idempotency-Key", "k1")
			mu.Lock()
			verdicts[resp.Header.Get(entry.VerdictHeader)]++
			mu.Unlock()
		})
	}
	senders.Wait()
	if tc.desk.RunCount("together") != 1 || verdicts["ran"] != 1 || verdicts["may_have_run"] != 19 {
		t.Errorf("%d runs, verdicts %v", tc.desk.RunCount("together"), verdicts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "the call runs", func() bool { return tc.desk.RunCount("lost") == 1 })
		cancel()
	}()
	req, _ := http.NewRequestWithContext(ctx, "POST", tc.urls[0]+path, strings.NewReader("lost"))
	req.Header.Set("Authorization", "Bearer demo-key")
	req.Header.Set("Idempotency-Key", "k2")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the caller got a response before it disconnected")
	}
	eventually(t, "the recorded answer", func() bool {
		resp := tc.send(context.Background(), tc.urls[1], "POST", path, "lost", "Idempotency-Key", "k2")
		return resp.Header.Get(entry.VerdictHeader) == "ran"
	})
	if runs := tc.desk.RunCount("lost"); runs != 1 {
		t.Errorf("the call of a disconnected caller ran %d times", runs)
	}
}

// relocatedBackend is a backend server that moves to the address of current.
type relocatedBackend struct {
	*engine.Client
	current atomic.Pointer[engine.Client]
}

func (b *relocatedBackend) Forward(ctx context.Context, r *message.ForwardRequest) (engine.Response, error) {
	if c := b.current.Load(); c != nil {
		return c.Forward(ctx, r)
	}
	return b.Client.Forward(ctx, r)
}

// TestKeyReusableAfterNotRun guards against an idempotency key that stays blocked
// after a call that provably did not run, because its service was unreachable.
func TestKeyReusableAfterNotRun(t *testing.T) {
	desk := &countingService{runs: map[string]int{}}
	server := httptest.NewServer(desk)
	defer server.Close()
	// Nothing listens on the discard port.
	service := &relocatedBackend{Client: engine.NewClient("127.0.0.1:9")}
	tc := newTestCluster(t, clusterOptions{entries: 2, agent: agent.Options{
		Connect: func(contract.BackendServer) engine.Backend { return service },
	}})
	send := func(entryIndex int) string {
		resp := tc.send(context.Background(), tc.urls[entryIndex],
			"POST", "/services/book-desk/swaps?a", "x", "Idempotency-Key", "k")
		return resp.Header.Get(entry.VerdictHeader)
	}
	if got := send(0); got != "not_run" {
		t.Errorf("unreachable service: verdict %q", got)
	}
	service.current.Store(engine.NewClient(strings.TrimPrefix(server.URL, "http://")))
	if got := send(1); got != "ran" || desk.runCount("a") != 1 {
		t.Errorf("repeated via another entry: verdict %q, %d runs", got, desk.runCount("a"))
	}
	if got := send(0); got != "ran" || desk.runCount("a") != 1 {
		t.Errorf("third request: verdict %q, %d runs", got, desk.runCount("a"))
	}
}
