package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
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

// eventReader reads the server-sent events of one response.
type eventReader struct {
	resp    *http.Response
	scanner *bufio.Scanner
	tokens  []string
	lastID  string
	code    string
	verdict string
	done    bool
}

func newEventReader(resp *http.Response) *eventReader {
	return &eventReader{resp: resp, scanner: bufio.NewScanner(resp.Body)}
}

// read reads until limit tokens were read or the stream ends. A limit of zero reads
// the whole stream.
func (r *eventReader) read(limit int) *eventReader {
	for (limit == 0 || len(r.tokens) < limit) && r.scanner.Scan() {
		line := r.scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			r.done = true
		}
		var body struct {
			Choices []struct{ Text string }
			Error   struct{ Code, Verdict string }
		}
		if !ok || json.Unmarshal([]byte(data), &body) != nil {
			continue
		}
		if len(body.Choices) > 0 && body.Choices[0].Text != "" {
			r.tokens = append(r.tokens, body.Choices[0].Text)
		}
		r.code, r.verdict = body.Error.Code, body.Error.Verdict
	}
	return r
}

func (r *eventReader) streamID() string { return r.lastID[:strings.LastIndex(r.lastID, ":")] }

// checkTokens verifies that traced tokens belong to one generation and have count
// consecutive indexes, starting at first.
func checkTokens(t testing.TB, tokens []string, first, count int) {
	t.Helper()
	if len(tokens) != count {
		t.Errorf("%d tokens, want %d", len(tokens), count)
	}
	generation := ""
	for i, token := range tokens {
		g, index, _ := strings.Cut(strings.TrimSpace(token), ":")
		if generation == "" {
			generation = g
		}
		if g != generation || index != fmt.Sprint(first+i) {
			t.Fatalf("token %d is %q, want %s:%d", i, token, generation, first+i)
		}
	}
}

func (tc *testCluster) stream(entryIndex int, prompt string) *eventReader {
	return newEventReader(tc.send(context.Background(), tc.urls[entryIndex],
		"POST", "/v1/completions", completion(prompt, true)))
}

func (tc *testCluster) resume(entryIndex int, id string, headers ...string) *eventReader {
	return newEventReader(tc.send(context.Background(), tc.urls[entryIndex], "GET", "/v1/streams/"+id, "", headers...))
}

// TestEachTokenExactlyOnce guards against tokens that are lost, repeated, reordered
// or mixed with those of another generation when a connection fails.
func TestEachTokenExactlyOnce(t *testing.T) {
	const count = 400
	prompt := fmt.Sprintf("[trace] [tokens=%d]", count)
	cases := []struct {
		fault string
		run   func(t *testing.T, tc *testCluster, engineProxy *faultProxy)
	}{
		{"token link closed", func(t *testing.T, tc *testCluster, _ *faultProxy) {
			r := tc.stream(0, prompt).read(20)
			tc.linkProxy.closeConnections()
			checkTokens(t, r.read(0).tokens, 0, count)
		}},
		{"token link silent", func(t *testing.T, tc *testCluster, _ *faultProxy) {
			r := tc.stream(0, prompt).read(20)
			tc.linkProxy.dropBytes()
			checkTokens(t, r.read(0).tokens, 0, count)
		}},
		{"engine stream closed", func(t *testing.T, tc *testCluster, engine *faultProxy) {
			r := tc.stream(0, prompt).read(20)
			engine.closeConnections()
			checkTokens(t, r.read(0).tokens, 0, count)
		}},
		{"engine stream silent", func(t *testing.T, tc *testCluster, engine *faultProxy) {
			r := tc.stream(0, prompt).read(20)
			engine.dropBytes()
			checkTokens(t, r.read(0).tokens, 0, count)
		}},
		{"caller connection lost, resumed at another entry", func(t *testing.T, tc *testCluster, _ *faultProxy) {
			r := tc.stream(0, prompt).read(20)
			_ = r.resp.Body.Close()
			time.Sleep(200 * time.Millisecond)
			checkTokens(t, tc.resume(1, r.streamID(), "Last-Event-ID", r.lastID).read(0).tokens, 20, count-20)
		}},
		{"caller resumes before the entry notices the lost connection", func(t *testing.T, tc *testCluster, _ *faultProxy) {
			r := tc.stream(0, prompt).read(20)
			checkTokens(t, tc.resume(0, r.streamID(), "Last-Event-ID", r.lastID).read(0).tokens, 20, count-20)
			if r.read(0); r.done || r.code != string(verdict.ReasonSuperseded) {
				t.Errorf("earlier reader: done=%t code=%q", r.done, r.code)
			}
		}},
		{"end lost, resumed after the last token", func(t *testing.T, tc *testCluster, _ *faultProxy) {
			r := tc.stream(0, prompt).read(0)
			if again := tc.resume(1, r.streamID(), "Last-Event-ID", r.lastID).read(0); !again.done || len(again.tokens) > 0 {
				t.Errorf("done=%t, %d tokens, code %q", again.done, len(again.tokens), again.code)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			tc, proxy := newProxiedCluster(t, clusterOptions{
				entries: 2, linkProxy: true, agent: agent.Options{EngineIdleTimeout: 300 * time.Millisecond},
			})
			c.run(t, tc, proxy)
		})
	}
}

// newProxiedCluster returns a test cluster with a proxy between agent and engine.
func newProxiedCluster(t *testing.T, options clusterOptions) (*testCluster, *faultProxy) {
	var proxy *faultProxy
	options.agent.Connect = func(s contract.BackendServer) engine.Backend {
		if s.Service == "coach-llm" {
			proxy = newFaultProxy(t, s.Address)
			return engine.NewClient(proxy.address())
		}
		return engine.NewClient(s.Address)
	}
	tc := newTestCluster(t, options)
	return tc, proxy
}

// TestStalledCaller guards against a caller that reads nothing and thereby blocks
// other streams, or occupies a slot of the engine indefinitely.
func TestStalledCaller(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{
		standin: standin.Options{TokenInterval: 100 * time.Microsecond, MaxBatch: 2},
		agent:   agent.Options{ReaderGrace: 500 * time.Millisecond},
	})
	// The tokens fill the buffers of the caller's connection.
	conn, err := net.Dial("tcp", strings.TrimPrefix(tc.urls[0], "http://"))
	must(t, conn, err)
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	body := completion("[tokens=32000]", true)
	_, _ = fmt.Fprintf(conn,
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
	head := make([]byte, 2048)
	n, _ := conn.Read(head)
	_, id, _ := strings.Cut(string(head[:n]), "id: ")
	id, _, _ = strings.Cut(id, "\n")
	id = id[:strings.LastIndex(id, ":")]
	checkTokens(t, tc.stream(0, "[trace] [tokens=50]").read(0).tokens, 0, 50)
	eventually(t, "the engine slot is free", func() bool { return runningCount(tc) == 0 })
	r := tc.resume(0, id).read(0)
	if r.verdict != "ran" || r.code != string(verdict.ReasonSlowReader) || len(r.tokens) < 1024 {
		t.Errorf("resumed stream: %d tokens, code %q, verdict %q", len(r.tokens), r.code, r.verdict)
	}
}

func runningCount(tc *testCluster) int {
	var reply message.LoadReply
	_ = tc.agent.Service().Load(message.LoadRequest{}, &reply)
	total := 0
	for _, l := range reply.Loads {
		total += l.Running
	}
	return total
}

// scriptedLink serves a token link that answers the n-th subscription with the n-th
// list of frames, and an Agent service that accepts all starts. From the second
// subscription on, it waits for proceed before it answers.
func scriptedLink(t *testing.T, tc *testCluster, script [][]message.Frame, proceed <-chan struct{}) {
	links, calls := listen(t), listen(t)
	server := wire.NewServer(calls)
	_ = server.Register("Agent", &scriptedAgent{
		reply: message.StartReply{State: message.StartAccepted}, tombstoneReply: &message.BuryReply{},
	})
	go server.Serve()
	t.Cleanup(func() { server.Close(); _ = links.Close() })
	tc.fleet.members = []message.Member{{
		Host: "h1", Incarnation: 1, AgentAddress: calls.Addr().String(), LinkAddress: links.Addr().String(),
		State: message.MemberLive,
	}}
	go func() {
		conn, err := links.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in, out := wire.NewFrameReader(conn, time.Minute), wire.NewFrameWriter(conn, time.Minute)
		for first := true; ; {
			frame, err := in.Read()
			if err != nil {
				return
			}
			if frame.Subscribe == nil || len(script) == 0 {
				continue
			}
			if !first {
				<-proceed
			}
			first = false
			for _, f := range script[0] {
				if f.Tokens != nil && f.Tokens.Execution.Request == "" {
					copied := *f.Tokens
					copied.Execution = frame.Subscribe.Execution
					f.Tokens = &copied
				}
				if f.End != nil {
					copied := *f.End
					copied.Execution = frame.Subscribe.Execution
					f.End = &copied
				}
				_ = out.Write(&f)
			}
			script = script[1:]
			_ = out.Flush()
		}
	}()
}

func tokensFrame(first uint64, text string) message.Frame {
	f := message.Tokens{First: first}
	for _, c := range text {
		f.Tokens = append(f.Tokens, message.Token{Text: string(c)})
	}
	return message.Frame{Tokens: &f}
}

func endFrame(count uint64, finish string, v verdict.Verdict) message.Frame {
	return message.Frame{End: &message.End{
		Count: count, FinishReason: finish, Verdict: v,
		Refusal: message.Refusal{Verdict: v, Reason: verdict.ReasonBackendCrashed},
	}}
}

// TestFramesOutOfOrder guards against wrong text when frames are repeated, missing,
// reordered or belong to another execution, or when an attempt was given up.
func TestFramesOutOfOrder(t *testing.T) {
	otherExecution := tokensFrame(0, "xyz")
	otherExecution.Tokens.Execution = executionID(99)
	lastEnd := endFrame(3, "stop", verdict.Ran)
	cases := []struct {
		fault  string
		script [][]message.Frame
		want   string
		code   string
		// tokenFirst is set if the first token has to reach the caller before the
		// second subscription is answered.
		tokenFirst bool
	}{
		{"repeated", [][]message.Frame{
			{tokensFrame(0, "ab"), tokensFrame(0, "ab"), tokensFrame(1, "bc"), lastEnd},
		}, "abc", "", false},
		{"missing", [][]message.Frame{
			{tokensFrame(0, "a"), tokensFrame(2, "c")},
			{tokensFrame(1, "bc"), lastEnd},
		}, "abc", "", false},
		{"reordered", [][]message.Frame{
			{tokensFrame(1, "b"), tokensFrame(0, "a")},
			{tokensFrame(0, "abc"), lastEnd},
		}, "abc", "", false},
		{"of another execution", [][]message.Frame{
			{otherExecution, tokensFrame(0, "a"), otherExecution, tokensFrame(1, "bc"), lastEnd},
		}, "abc", "", false},
		{"end before the last token", [][]message.Frame{
			{tokensFrame(0, "a"), lastEnd},
			{tokensFrame(1, "bc"), lastEnd},
		}, "abc", "", false},
		{"failed end before the last token", [][]message.Frame{
			{tokensFrame(0, "a"), endFrame(3, "", verdict.Ran)},
			{tokensFrame(1, "bc"), endFrame(3, "", verdict.Ran)},
		}, "abc", "backend_server_crashed", true},
		{"failed before a token was delivered", [][]message.Frame{
			{endFrame(0, "", verdict.MayHaveRun)},
			{tokensFrame(0, "abc"), lastEnd},
		}, "abc", "", false},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			tc := &testCluster{t: t, fleet: &fakeFleet{host: "h1"}}
			tc.fleet.config, _ = contract.Build(1, clusterSections(unreachableAddresses(2), "127.0.0.1:9"))
			proceed := make(chan struct{})
			scriptedLink(t, tc, c.script, proceed)
			tc.addEntry(entry.Options{})
			var r *eventReader
			if c.tokenFirst {
				r = tc.stream(0, "x").read(1)
				close(proceed)
			} else {
				close(proceed)
				r = tc.stream(0, "x")
			}
			r.read(0)
			if got := strings.Join(r.tokens, ""); got != c.want || r.code != c.code {
				t.Errorf("got %q, code %q; want %q, code %q", got, r.code, c.want, c.code)
			}
		})
	}
}
