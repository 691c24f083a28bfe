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

// deskService counts the calls it has run by idempotency key and shows faults.
type deskService struct {
	mu   sync.Mutex
	runs map[string]int
	keys []string
}

func (d *deskService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/load" {
		_, _ = io.WriteString(w, "{}")
		return
	}
	d.mu.Lock()
	d.runs[r.URL.RawQuery]++
	d.keys = append(d.keys, r.Header.Get("Idempotency-Key"))
	d.mu.Unlock()
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

func (d *deskService) ran(query string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[query]
}

// TestRunsAtMostOnce guards against a second run of a call that may not be
// repeated, and against a wrong verdict for it. Each case sends requests and
// tells the expected verdicts.
func TestRunsAtMostOnce(t *testing.T) {
	type step struct {
		via                int
		method, path, body string
		want               string
		status             int
	}
	kill := step{method: "kill agent"}
	begun := step{method: "begin elsewhere"}
	cases := []struct {
		fault string
		query string
		steps []step
		runs  int
	}{
		{"reused connection breaks after the request", "break", []step{{0, "GET", "/swaps?ok", "", "ran", 200}, {0, "GET", "/swaps?break", "", "may_have_run", 502}, {1, "GET", "/swaps?break", "", "may_have_run", 409}}, 1},
		{"redirect that repeats the method", "redirect", []step{{0, "POST", "/swaps?redirect", "", "ran", 307}}, 1},
		{"escaped path hides the pattern", "x", []step{{0, "POST", "/%73waps?x", "b", "not_run", 400}, {0, "POST", "//swaps?x", "b", "not_run", 400}, {0, "POST", "/a/../swaps?x", "b", "not_run", 400}, {0, "POST", "/a%2F..%2Fswaps?x", "b", "not_run", 400}}, 0},
		{"one key with two queries", "b", []step{{0, "POST", "/swaps?a", "x", "ran", 200}, {1, "POST", "/swaps?b", "x", "not_run", 422}}, 0},
		{"one key with two bodies", "a", []step{{0, "POST", "/swaps?a", "x", "ran", 200}, {1, "POST", "/swaps?a", "y", "not_run", 422}}, 1},
		{"sent again after its end, via another entry", "a", []step{{0, "POST", "/swaps?a", "x", "ran", 200}, {1, "POST", "/swaps?a", "x", "ran", 200}}, 1},
		{"service breaks after the call", "break", []step{{0, "POST", "/swaps?break", "x", "may_have_run", 502}, {1, "POST", "/swaps?break", "x", "may_have_run", 409}}, 1},
		{"agent killed during the call", "slow", []step{kill, {0, "POST", "/swaps?slow", "x", "may_have_run", 502}, {1, "POST", "/swaps?slow", "x", "may_have_run", 409}}, 1},
		{"entry killed after the record", "a", []step{begun, {1, "POST", "/swaps?a", "x", "may_have_run", 409}}, 0},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			desk := &deskService{runs: map[string]int{}}
			server := httptest.NewServer(desk)
			t.Cleanup(server.Close)
			w := newWorld(t, worldOptions{entries: 2, rpcProxy: true, agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend {
				return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
			}}})
			for _, s := range c.steps {
				switch s.method {
				case "kill agent":
					go func() {
						eventually(t, "the call runs", func() bool { return desk.ran(c.query) > 0 })
						w.rpcProxy.cut()
					}()
					continue
				case "begin elsewhere":
					w.beginElsewhere("k")
					continue
				}
				key := "k"
				if strings.Contains(s.path, "?ok") {
					key = "k-ok"
				}
				if s.status == 400 {
					key = ""
				}
				resp := w.send(context.Background(), w.urls[s.via], s.method, "/services/book-desk"+s.path, s.body, "Idempotency-Key", key)
				if got := resp.Header.Get(entry.VerdictHeader); got != s.want || resp.StatusCode != s.status {
					t.Errorf("%s %s: status %d, verdict %q; want %d, %q", s.method, s.path, resp.StatusCode, got, s.status, s.want)
				}
			}
			if got := desk.ran(c.query); got != c.runs {
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

// beginElsewhere records a call as an entry does that is killed before its
// dispatch. The digest is taken from a call that the ledger refuses.
func (w *world) beginElsewhere(key string) {
	catch := &digestCatcher{ledger: w.ledger}
	pool := entry.Options{Fleet: w.fleet, Ledger: catch}
	e := entry.New(pool)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	defer e.Close()
	w.send(context.Background(), server.URL, "POST", "/services/book-desk/swaps?a", "x", "Idempotency-Key", key)
}

// digestCatcher commits the record of a call and refuses the entry, which is
// gone by then.
type digestCatcher struct{ *ledger }

func (d *digestCatcher) BeginCall(ctx context.Context, r message.BeginCallRequest) (message.BeginCallReply, error) {
	r.Request = message.NewRequestID("killed", 1, 1)
	_, _ = d.ledger.BeginCall(ctx, r)
	return message.BeginCallReply{State: message.CallStarted, Request: r.Request}, nil
}

// TestCallSentAgain guards against a second run when callers send a call again
// while it runs, via two entries, or after they lost their connection.
func TestCallSentAgain(t *testing.T) {
	w := newWorld(t, worldOptions{entries: 2})
	const path = "/services/book-desk/swaps?delay=300ms"
	var senders sync.WaitGroup
	var mu sync.Mutex
	verdicts := map[string]int{}
	for i := range 20 {
		senders.Go(func() {
			resp := w.send(context.Background(), w.urls[i%2], "POST", path, "together", "Idempotency-Key", "k1")
			mu.Lock()
			verdicts[resp.Header.Get(entry.VerdictHeader)]++
			mu.Unlock()
		})
	}
	senders.Wait()
	if w.desk.RunCount("together") != 1 || verdicts["ran"] != 1 || verdicts["may_have_run"] != 19 {
		t.Errorf("%d runs, verdicts %v", w.desk.RunCount("together"), verdicts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		eventually(t, "the call runs", func() bool { return w.desk.RunCount("lost") == 1 })
		cancel()
	}()
	req, _ := http.NewRequestWithContext(ctx, "POST", w.urls[0]+path, strings.NewReader("lost"))
	req.Header.Set("Authorization", "Bearer demo-key")
	req.Header.Set("Idempotency-Key", "k2")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the caller did not lose its connection")
	}
	eventually(t, "the recorded answer", func() bool {
		resp := w.send(context.Background(), w.urls[1], "POST", path, "lost", "Idempotency-Key", "k2")
		return resp.Header.Get(entry.VerdictHeader) == "ran"
	})
	if runs := w.desk.RunCount("lost"); runs != 1 {
		t.Errorf("the call of a lost caller ran %d times", runs)
	}
}

// movedBackend is a backend server that appears at another address.
type movedBackend struct {
	*engine.Client
	now atomic.Pointer[engine.Client]
}

func (b *movedBackend) Forward(ctx context.Context, r *message.ForwardRequest) (engine.Response, error) {
	if c := b.now.Load(); c != nil {
		return c.Forward(ctx, r)
	}
	return b.Client.Forward(ctx, r)
}

// TestKeyIsFreeAfterNotRun guards against a key that stays blocked after a call
// that provably was not run: its service was away.
func TestKeyIsFreeAfterNotRun(t *testing.T) {
	desk := &deskService{runs: map[string]int{}}
	server := httptest.NewServer(desk)
	defer server.Close()
	// Nothing listens on the discard port.
	service := &movedBackend{Client: engine.NewClient("127.0.0.1:9")}
	w := newWorld(t, worldOptions{entries: 2, agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend { return service }}})
	send := func(via int) string {
		resp := w.send(context.Background(), w.urls[via], "POST", "/services/book-desk/swaps?a", "x", "Idempotency-Key", "k")
		return resp.Header.Get(entry.VerdictHeader)
	}
	if got := send(0); got != "not_run" {
		t.Errorf("service away: verdict %q", got)
	}
	service.now.Store(engine.NewClient(strings.TrimPrefix(server.URL, "http://")))
	if got := send(1); got != "ran" || desk.ran("a") != 1 {
		t.Errorf("sent again via another entry: verdict %q, %d runs", got, desk.ran("a"))
	}
	if got := send(0); got != "ran" || desk.ran("a") != 1 {
		t.Errorf("sent a third time: verdict %q, %d runs", got, desk.ran("a"))
	}
}
