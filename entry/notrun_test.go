package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/wire"
)

// scriptedAgent is an Agent service that answers its first call of each method
// after a silence.
type scriptedAgent struct {
	reply  message.StartReply
	silent time.Duration
	bury   *message.BuryReply

	starts, forwards atomic.Int32
}

func (a *scriptedAgent) Start(_ message.StartRequest, reply *message.StartReply) error {
	if a.starts.Add(1) == 1 {
		time.Sleep(a.silent)
	}
	*reply = a.reply
	return nil
}

func (a *scriptedAgent) Forward(_ message.ForwardRequest, reply *message.ForwardReply) error {
	if a.forwards.Add(1) == 1 {
		time.Sleep(a.silent)
	}
	*reply = message.ForwardReply{Refusal: a.reply.Refusal, Verdict: a.reply.Refusal.Verdict}
	return nil
}

func (a *scriptedAgent) Bury(_ message.BuryRequest, reply *message.BuryReply) error {
	if a.bury == nil {
		time.Sleep(time.Second)
		return nil
	}
	*reply = *a.bury
	return nil
}

func (a *scriptedAgent) Cancel(message.CancelRequest, *message.CancelReply) error { return nil }

// TestVerdictOfStart guards against a request reported as not run without a
// proof for each of its attempts.
func TestVerdictOfStart(t *testing.T) {
	refused := message.StartReply{State: message.StartRefused, Refusal: message.NewRefusal(verdict.ReasonOverloaded, "full", time.Second)}
	confirmed := &message.BuryReply{Confirmed: true, Verdict: verdict.NotRun}
	started := &message.BuryReply{Verdict: verdict.MayHaveRun}
	cases := []struct {
		fault  string
		agent  *scriptedAgent
		engine int
		want   string
	}{
		{"the agent can not be reached", nil, 1, "not_run"},
		{"refused by the agent", &scriptedAgent{reply: refused}, 1, "not_run"},
		{"no reply, tombstone confirmed", &scriptedAgent{silent: time.Second, bury: confirmed, reply: refused}, 1, "not_run"},
		{"no reply, tombstone without reply", &scriptedAgent{silent: time.Second, reply: refused}, 1, "may_have_run"},
		{"no reply, execution had started", &scriptedAgent{silent: time.Second, bury: started, reply: refused}, 1, "may_have_run"},
		{"no reply, then refused by another backend server", &scriptedAgent{silent: time.Second, bury: started, reply: refused}, 2, "may_have_run"},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			w := &world{t: t, fleet: &fleet{host: "h1"}}
			listener := listen(t)
			sections := declare(make127(c.engine), "127.0.0.1:9")
			sections["service book-desk"]["timeout"] = "400ms"
			config, faults := contract.Build(1, sections)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			w.fleet.config = config
			w.fleet.members = []message.Member{{Host: "h1", Incarnation: 1, AgentAddress: listener.Addr().String(), LinkAddress: "127.0.0.1:9", State: message.MemberLive}}
			if c.agent == nil {
				_ = listener.Close()
			} else {
				server := wire.NewServer(listener)
				_ = server.Register("Agent", c.agent)
				go server.Serve()
				t.Cleanup(server.Close)
			}
			w.addEntry(entry.Options{StartTimeout: 100 * time.Millisecond})
			for _, r := range [][2]string{{"/v1/completions", completion("x", true)}, {"/services/book-desk/slots", "body"}} {
				if _, got, body := w.call("POST", r[0], r[1]); got != c.want {
					t.Errorf("%s: verdict %q, want %q: %s", r[0], got, c.want, body)
				}
			}
		})
	}
}

func make127(n int) []string { return strings.Fields(strings.Repeat("127.0.0.1:9 ", n)) }

// startOn starts an execution at the agent of a world.
func startOn(t *testing.T, w *world, sequence uint64, body string) message.StartReply {
	var reply message.StartReply
	// The bound keeps the admission from expecting a long answer.
	request := message.StartRequest{BackendServer: "coach-1", AgentIncarnation: 1, Caller: "demo", Execution: executionID(sequence), Body: []byte(body), MaxTokens: 2}
	if err := w.agent.Service().Start(request, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

func executionID(sequence uint64) message.ExecutionID {
	return message.ExecutionID{Request: message.NewRequestID("test", 1, sequence), Attempt: 1}
}

func waiting(t *testing.T, w *world) int {
	var reply message.LoadReply
	_ = w.agent.Service().Load(message.LoadRequest{}, &reply)
	for _, l := range reply.Loads {
		if l.BackendServer == "coach-1" {
			return l.Waiting
		}
	}
	t.Fatal("no load hint")
	return 0
}

// TestWithdrawnRunsLeaveTheQueue guards against buried or canceled executions
// that hold a place in the agent's queue, or run for nobody.
func TestWithdrawnRunsLeaveTheQueue(t *testing.T) {
	for _, fault := range []string{"buried", "canceled"} {
		t.Run(fault, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			starts := make(chan string, 8)
			backend := &scriptedBackend{generate: func(ctx context.Context, r engine.Request) (engine.Stream, error) {
				starts <- r.ID
				select {
				case <-release:
				case <-ctx.Done():
				}
				return nil, engine.ErrRefused
			}}
			w := newWorld(t, worldOptions{agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend { return backend }}})
			config, _ := contract.Build(2, oneSlot(w))
			w.fleet.update(func(f *fleet) { f.config = config })
			w.agent.Reconcile()
			startOn(t, w, 1, "{}")
			<-starts
			if got := startOn(t, w, 2, "{}").State; got != message.StartQueued {
				t.Fatalf("second start: state %d, want queued", got)
			}
			if fault == "buried" {
				var reply message.BuryReply
				_ = w.agent.Service().Bury(message.BuryRequest{Execution: executionID(2), AgentIncarnation: 1}, &reply)
				if !reply.Confirmed || reply.Verdict != verdict.NotRun {
					t.Errorf("tombstone: %+v", reply)
				}
			} else {
				_ = w.agent.Service().Cancel(message.CancelRequest{Execution: executionID(2)}, &message.CancelReply{})
			}
			eventually(t, "the queue is empty", func() bool { return waiting(t, w) == 0 })
			if got := startOn(t, w, 2, "{}"); got.State != message.StartRefused || got.Refusal.Verdict != verdict.NotRun {
				t.Errorf("duplicate of a withdrawn start: %+v", got)
			}
			w.fleet.update(func(f *fleet) { f.config, _ = contract.Build(3, leaving(w)) })
			w.agent.Reconcile()
			if got := startOn(t, w, 1, "{}"); got.State == message.StartRefused && got.Refusal.Verdict == verdict.NotRun {
				t.Errorf("duplicate of a running start on a leaving backend server: %+v", got)
			}
		})
	}
}

func oneSlot(w *world) contract.Sections {
	s := declare([]string{w.engines[0].Address()}, w.desk.Address())
	s["backend-server coach-1"]["max_batch"] = "1"
	return s
}

func leaving(w *world) contract.Sections {
	s := oneSlot(w)
	s["backend-server coach-1"]["state"] = "leaving"
	return s
}

// TestEngineStatusIsNoProof guards against taking an error status that may
// follow work for a refusal.
func TestEngineStatusIsNoProof(t *testing.T) {
	for status, want := range map[int]string{400: "not_run", 429: "not_run", 503: "not_run", 500: "may_have_run", 502: "may_have_run", 409: "may_have_run"} {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			rw.WriteHeader(status)
		}))
		w := newWorld(t, worldOptions{agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend {
			return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
		}}})
		if _, got, _ := w.call("POST", "/v1/completions", completion("x", false)); got != want {
			t.Errorf("engine status %d: verdict %q, want %q", status, got, want)
		}
		server.Close()
	}
}

// TestUnrecordedCallCanBeSentAgain guards against a key that is blocked by the
// record of a call that was reported as not run.
func TestUnrecordedCallCanBeSentAgain(t *testing.T) {
	cases := []struct {
		fault string
		lose  int
		want  []string
	}{
		{"one reply of the ledger lost", 1, []string{"ran"}},
		{"all replies of the ledger lost", 1 << 20, []string{"not_run", "ran"}},
	}
	for _, c := range cases {
		for _, via := range []int{0, 1} {
			w := newWorld(t, worldOptions{entries: 2, standin: standin.Options{}})
			w.ledger.set(c.lose, c.lose > 1)
			for i, want := range c.want {
				url := w.urls[0]
				if i > 0 {
					w.ledger.set(0, false)
					url = w.urls[via]
				}
				var got string
				eventually(t, "the key is free", func() bool {
					resp := w.send(context.Background(), url, "POST", "/services/book-desk/swaps", "swap", "Idempotency-Key", "k1")
					got = resp.Header.Get(entry.VerdictHeader)
					return got == want || via == 0
				})
				if got != want {
					t.Errorf("%s, sent via entry %d: verdict %q, want %q", c.fault, via+1, got, want)
				}
			}
			if runs := w.desk.RunCount("swap"); runs != 1 {
				t.Errorf("%s: the call ran %d times", c.fault, runs)
			}
		}
	}
}
