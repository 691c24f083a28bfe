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

// scriptedAgent is an Agent service with fixed replies. It delays the reply to the
// first call of Start and of Forward.
type scriptedAgent struct {
	reply          message.StartReply
	delay          time.Duration
	tombstoneReply *message.BuryReply

	starts, forwards atomic.Int32
}

func (a *scriptedAgent) Start(_ message.StartRequest, reply *message.StartReply) error {
	if a.starts.Add(1) == 1 {
		time.Sleep(a.delay)
	}
	*reply = a.reply
	return nil
}

func (a *scriptedAgent) Forward(_ message.ForwardRequest, reply *message.ForwardReply) error {
	if a.forwards.Add(1) == 1 {
		time.Sleep(a.delay)
	}
	*reply = message.ForwardReply{Refusal: a.reply.Refusal, Verdict: a.reply.Refusal.Verdict}
	return nil
}

func (a *scriptedAgent) Bury(_ message.BuryRequest, reply *message.BuryReply) error {
	if a.tombstoneReply == nil {
		time.Sleep(time.Second)
		return nil
	}
	*reply = *a.tombstoneReply
	return nil
}

func (a *scriptedAgent) Cancel(message.CancelRequest, *message.CancelReply) error { return nil }

// TestVerdictOfStart guards against a request that is reported as not run without
// proof for each of its attempts.
func TestVerdictOfStart(t *testing.T) {
	refused := message.StartReply{
		State: message.StartRefused, Refusal: message.NewRefusal(verdict.ReasonOverloaded, "full", time.Second),
	}
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
		{"no reply, tombstone confirmed",
			&scriptedAgent{delay: time.Second, tombstoneReply: confirmed, reply: refused}, 1, "not_run"},
		{"no reply, no reply to the tombstone request",
			&scriptedAgent{delay: time.Second, reply: refused}, 1, "may_have_run"},
		{"no reply, execution had started",
			&scriptedAgent{delay: time.Second, tombstoneReply: started, reply: refused}, 1, "may_have_run"},
		{"no reply, then refused by another backend server",
			&scriptedAgent{delay: time.Second, tombstoneReply: started, reply: refused}, 2, "may_have_run"},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			tc := &testCluster{t: t, fleet: &fakeFleet{host: "h1"}}
			listener := listen(t)
			sections := clusterSections(unreachableAddresses(c.engine), "127.0.0.1:9")
			sections["service book-desk"]["timeout"] = "400ms"
			config, faults := contract.Build(1, sections)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			tc.fleet.config = config
			tc.fleet.members = []message.Member{{
				Host: "h1", Incarnation: 1, AgentAddress: listener.Addr().String(), LinkAddress: "127.0.0.1:9",
				State: message.MemberLive,
			}}
			if c.agent == nil {
				_ = listener.Close()
			} else {
				server := wire.NewServer(listener)
				_ = server.Register("Agent", c.agent)
				go server.Serve()
				t.Cleanup(server.Close)
			}
			tc.addEntry(entry.Options{StartTimeout: 100 * time.Millisecond})
			for _, r := range [][2]string{{"/v1/completions", completion("x", true)}, {"/services/book-desk/slots", "body"}} {
				if _, got, body := tc.call("POST", r[0], r[1]); got != c.want {
					t.Errorf("%s: verdict %q, want %q: %s", r[0], got, c.want, body)
				}
			}
		})
	}
}

// unreachableAddresses returns n addresses that nothing listens on.
func unreachableAddresses(n int) []string { return strings.Fields(strings.Repeat("127.0.0.1:9 ", n)) }

// startExecution starts an execution at the agent of a test cluster.
func startExecution(t *testing.T, tc *testCluster, sequence uint64, body string) message.StartReply {
	var reply message.StartReply
	// MaxTokens keeps admission from expecting a long answer.
	request := message.StartRequest{
		BackendServer: "coach-1", AgentIncarnation: 1, Caller: "demo", Execution: executionID(sequence),
		Body: []byte(body), MaxTokens: 2,
	}
	if err := tc.agent.Service().Start(request, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

func executionID(sequence uint64) message.ExecutionID {
	return message.ExecutionID{Request: message.NewRequestID("test", 1, sequence), Attempt: 1}
}

func waitingCount(t *testing.T, tc *testCluster) int {
	var reply message.LoadReply
	_ = tc.agent.Service().Load(message.LoadRequest{}, &reply)
	for _, l := range reply.Loads {
		if l.BackendServer == "coach-1" {
			return l.Waiting
		}
	}
	t.Fatal("no load hint")
	return 0
}

// TestWithdrawnExecutionsLeaveQueue guards against executions that keep a place in
// the agent's queue, or run without a reader, after a tombstone or a cancellation.
func TestWithdrawnExecutionsLeaveQueue(t *testing.T) {
	for _, withdrawal := range []string{"buried", "canceled"} {
		t.Run(withdrawal, func(t *testing.T) {
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
			tc := newTestCluster(t, clusterOptions{agent: agent.Options{
				Connect: func(contract.BackendServer) engine.Backend { return backend },
			}})
			config, _ := contract.Build(2, oneSlotSections(tc))
			tc.fleet.update(func(f *fakeFleet) { f.config = config })
			tc.agent.Reconcile()
			startExecution(t, tc, 1, "{}")
			<-starts
			if got := startExecution(t, tc, 2, "{}").State; got != message.StartQueued {
				t.Fatalf("second start: state %d, want queued", got)
			}
			if withdrawal == "buried" {
				var reply message.BuryReply
				_ = tc.agent.Service().Bury(message.BuryRequest{Execution: executionID(2), AgentIncarnation: 1}, &reply)
				if !reply.Confirmed || reply.Verdict != verdict.NotRun {
					t.Errorf("tombstone: %+v", reply)
				}
			} else {
				_ = tc.agent.Service().Cancel(message.CancelRequest{Execution: executionID(2)}, &message.CancelReply{})
			}
			eventually(t, "the queue is empty", func() bool { return waitingCount(t, tc) == 0 })
			if got := startExecution(t, tc, 2, "{}"); got.State != message.StartRefused ||
				got.Refusal.Verdict != verdict.NotRun {
				t.Errorf("duplicate of a withdrawn start: %+v", got)
			}
			tc.fleet.update(func(f *fakeFleet) { f.config, _ = contract.Build(3, leavingSections(tc)) })
			tc.agent.Reconcile()
			if got := startExecution(t, tc, 1, "{}"); got.State == message.StartRefused &&
				got.Refusal.Verdict == verdict.NotRun {
				t.Errorf("duplicate of a running start on a leaving backend server: %+v", got)
			}
		})
	}
}

// oneSlotSections returns the declaration of a cluster whose engine has one slot.
func oneSlotSections(tc *testCluster) contract.Sections {
	s := clusterSections([]string{tc.engines[0].Address()}, tc.desk.Address())
	s["backend-server coach-1"]["max_batch"] = "1"
	return s
}

// leavingSections returns the declaration of oneSlotSections with a leaving engine.
func leavingSections(tc *testCluster) contract.Sections {
	s := oneSlotSections(tc)
	s["backend-server coach-1"]["state"] = "leaving"
	return s
}

// TestVerdictOfEngineStatus guards against treating an error status that an engine
// may send after it has done work as proof that the request did not run.
func TestVerdictOfEngineStatus(t *testing.T) {
	for status, want := range map[int]string{
		400: "not_run", 429: "not_run", 503: "not_run", 500: "may_have_run", 502: "may_have_run", 409: "may_have_run",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			rw.WriteHeader(status)
		}))
		tc := newTestCluster(t, clusterOptions{agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend {
			return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
		}}})
		if _, got, _ := tc.call("POST", "/v1/completions", completion("x", false)); got != want {
			t.Errorf("engine status %d: verdict %q, want %q", status, got, want)
		}
		server.Close()
	}
}

// TestUnrecordedCallCanBeRepeated guards against an idempotency key that stays
// blocked by the record of a call that was reported as not run.
func TestUnrecordedCallCanBeRepeated(t *testing.T) {
	cases := []struct {
		fault       string
		lostReplies int
		want        []string
	}{
		{"one reply of the ledger lost", 1, []string{"ran"}},
		{"all replies of the ledger lost", 1 << 20, []string{"not_run", "ran"}},
	}
	for _, c := range cases {
		for _, entryIndex := range []int{0, 1} {
			tc := newTestCluster(t, clusterOptions{entries: 2, standin: standin.Options{}})
			tc.ledger.setFaults(c.lostReplies, c.lostReplies > 1)
			for i, want := range c.want {
				url := tc.urls[0]
				if i > 0 {
					tc.ledger.setFaults(0, false)
					url = tc.urls[entryIndex]
				}
				var got string
				eventually(t, "the key is free", func() bool {
					resp := tc.send(context.Background(), url,
						"POST", "/services/book-desk/swaps", "swap", "Idempotency-Key", "k1")
					got = resp.Header.Get(entry.VerdictHeader)
					return got == want || entryIndex == 0
				})
				if got != want {
					t.Errorf("%s, sent via entry %d: verdict %q, want %q", c.fault, entryIndex+1, got, want)
				}
			}
			if runs := tc.desk.RunCount("swap"); runs != 1 {
				t.Errorf("%s: the call ran %d times", c.fault, runs)
			}
		}
	}
}
