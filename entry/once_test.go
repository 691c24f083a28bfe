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

// reader reads the server-sent events of one response.
type reader struct {
	resp    *http.Response
	scanner *bufio.Scanner
	tokens  []string
	lastID  string
	code    string
	verdict string
	done    bool
}

func newReader(resp *http.Response) *reader {
	return &reader{resp: resp, scanner: bufio.NewScanner(resp.Body)}
}

// read reads until the given number of tokens or the end. Zero reads all.
func (r *reader) read(limit int) *reader {
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

func (r *reader) streamID() string { return r.lastID[:strings.LastIndex(r.lastID, ":")] }

// check verifies that traced tokens are each index from a first one on, once
// and in order, of one generation.
func check(t testing.TB, tokens []string, first, count int) {
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

func (w *world) stream(entryIndex int, prompt string) *reader {
	return newReader(w.send(context.Background(), w.urls[entryIndex], "POST", "/v1/completions", completion(prompt, true)))
}

func (w *world) resume(entryIndex int, id string, headers ...string) *reader {
	return newReader(w.send(context.Background(), w.urls[entryIndex], "GET", "/v1/streams/"+id, "", headers...))
}

// TestEachTokenOnce guards against lost, repeated, reordered and spliced tokens
// when a connection on the way fails.
func TestEachTokenOnce(t *testing.T) {
	const count = 400
	prompt := fmt.Sprintf("[trace] [tokens=%d]", count)
	cases := []struct {
		fault string
		run   func(t *testing.T, w *world, engineProxy *silentProxy)
	}{
		{"token link closed", func(t *testing.T, w *world, _ *silentProxy) {
			r := w.stream(0, prompt).read(20)
			w.linkProxy.cut()
			check(t, r.read(0).tokens, 0, count)
		}},
		{"token link silent", func(t *testing.T, w *world, _ *silentProxy) {
			r := w.stream(0, prompt).read(20)
			w.linkProxy.silence()
			check(t, r.read(0).tokens, 0, count)
		}},
		{"engine stream closed", func(t *testing.T, w *world, engine *silentProxy) {
			r := w.stream(0, prompt).read(20)
			engine.cut()
			check(t, r.read(0).tokens, 0, count)
		}},
		{"engine stream silent", func(t *testing.T, w *world, engine *silentProxy) {
			r := w.stream(0, prompt).read(20)
			engine.silence()
			check(t, r.read(0).tokens, 0, count)
		}},
		{"caller connection lost, read on at another entry", func(t *testing.T, w *world, _ *silentProxy) {
			r := w.stream(0, prompt).read(20)
			_ = r.resp.Body.Close()
			time.Sleep(200 * time.Millisecond)
			check(t, w.resume(1, r.streamID(), "Last-Event-ID", r.lastID).read(0).tokens, 20, count-20)
		}},
		{"caller reads on while the entry has not noticed the loss", func(t *testing.T, w *world, _ *silentProxy) {
			r := w.stream(0, prompt).read(20)
			check(t, w.resume(0, r.streamID(), "Last-Event-ID", r.lastID).read(0).tokens, 20, count-20)
			if r.read(0); r.done || r.code != string(verdict.ReasonSuperseded) {
				t.Errorf("earlier reader: done=%t code=%q", r.done, r.code)
			}
		}},
		{"end lost, read on after the last token", func(t *testing.T, w *world, _ *silentProxy) {
			r := w.stream(0, prompt).read(0)
			if again := w.resume(1, r.streamID(), "Last-Event-ID", r.lastID).read(0); !again.done || len(again.tokens) > 0 {
				t.Errorf("done=%t, %d tokens, code %q", again.done, len(again.tokens), again.code)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			w, proxy := newProxiedWorld(t, worldOptions{entries: 2, linkProxy: true, agent: agent.Options{EngineIdleTimeout: 300 * time.Millisecond}})
			c.run(t, w, proxy)
		})
	}
}

// newProxiedWorld returns a world with a proxy between agent and engine.
func newProxiedWorld(t *testing.T, o worldOptions) (*world, *silentProxy) {
	var proxy *silentProxy
	o.agent.Connect = func(s contract.BackendServer) engine.Backend {
		if s.Service == "coach-llm" {
			proxy = newSilentProxy(t, s.Address)
			return engine.NewClient(proxy.address())
		}
		return engine.NewClient(s.Address)
	}
	w := newWorld(t, o)
	return w, proxy
}

// TestStalledCaller guards against a caller that reads nothing and holds up
// other streams, or its place on the engine for good.
func TestStalledCaller(t *testing.T) {
	w := newWorld(t, worldOptions{
		standin: standin.Options{TokenInterval: 100 * time.Microsecond, MaxBatch: 2},
		agent:   agent.Options{ReaderGrace: 500 * time.Millisecond},
	})
	// Large tokens fill the buffers of the caller's connection.
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.urls[0], "http://"))
	must(t, conn, err)
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	body := completion("[tokens=32000]", true)
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	head := make([]byte, 2048)
	n, _ := conn.Read(head)
	_, id, _ := strings.Cut(string(head[:n]), "id: ")
	id, _, _ = strings.Cut(id, "\n")
	id = id[:strings.LastIndex(id, ":")]
	check(t, w.stream(0, "[trace] [tokens=50]").read(0).tokens, 0, 50)
	eventually(t, "the engine's place is free", func() bool { return running(w) == 0 })
	r := w.resume(0, id).read(0)
	if r.verdict != "ran" || r.code != string(verdict.ReasonSlowReader) || len(r.tokens) < 1024 {
		t.Errorf("answer so far: %d tokens, code %q, verdict %q", len(r.tokens), r.code, r.verdict)
	}
}

func running(w *world) int {
	var reply message.LoadReply
	_ = w.agent.Service().Load(message.LoadRequest{}, &reply)
	total := 0
	for _, l := range reply.Loads {
		total += l.Running
	}
	return total
}

// scriptedLink answers the n-th subscription with the n-th list of frames. Its
// Agent service accepts all starts.
func scriptedLink(t *testing.T, w *world, script [][]message.Frame) {
	links, calls := listen(t), listen(t)
	server := wire.NewServer(calls)
	_ = server.Register("Agent", &scriptedAgent{reply: message.StartReply{State: message.StartAccepted}, bury: &message.BuryReply{}})
	go server.Serve()
	t.Cleanup(func() { server.Close(); _ = links.Close() })
	w.fleet.members = []message.Member{{Host: "h1", Incarnation: 1, AgentAddress: calls.Addr().String(), LinkAddress: links.Addr().String(), State: message.MemberLive}}
	go func() {
		conn, err := links.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in, out := wire.NewFrameReader(conn, time.Minute), wire.NewFrameWriter(conn, time.Minute)
		for {
			frame, err := in.Read()
			if err != nil {
				return
			}
			if frame.Subscribe == nil || len(script) == 0 {
				continue
			}
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

func tokens(first uint64, text string) message.Frame {
	f := message.Tokens{First: first}
	for _, c := range text {
		f.Tokens = append(f.Tokens, message.Token{Text: string(c)})
	}
	return message.Frame{Tokens: &f}
}

func end(count uint64, finish string, v verdict.Verdict) message.Frame {
	return message.Frame{End: &message.End{Count: count, FinishReason: finish, Verdict: v, Refusal: message.Refusal{Verdict: v, Reason: verdict.ReasonBackendCrashed}}}
}

// TestFramesOutOfOrder guards against frames that are repeated, left out or
// belong to another execution, and against text of an attempt that was given up.
func TestFramesOutOfOrder(t *testing.T) {
	crossed := tokens(0, "xyz")
	crossed.Tokens.Execution = executionID(99)
	ends := end(3, "stop", verdict.Ran)
	cases := []struct {
		fault  string
		script [][]message.Frame
		want   string
		code   string
	}{
		{"repeated", [][]message.Frame{{tokens(0, "ab"), tokens(0, "ab"), tokens(1, "bc"), ends}}, "abc", ""},
		{"left out", [][]message.Frame{{tokens(0, "a"), tokens(2, "c")}, {tokens(1, "bc"), ends}}, "abc", ""},
		{"reordered", [][]message.Frame{{tokens(1, "b"), tokens(0, "a")}, {tokens(0, "abc"), ends}}, "abc", ""},
		{"crossed", [][]message.Frame{{crossed, tokens(0, "a"), crossed, tokens(1, "bc"), ends}}, "abc", ""},
		{"end before the last token", [][]message.Frame{{tokens(0, "a"), ends}, {tokens(1, "bc"), ends}}, "abc", ""},
		{"failed end before the last token", [][]message.Frame{{tokens(0, "a"), end(3, "", verdict.Ran)}, {tokens(1, "bc"), end(3, "", verdict.Ran)}}, "abc", "backend_server_crashed"},
		{"failed before a token was delivered", [][]message.Frame{{end(0, "", verdict.MayHaveRun)}, {tokens(0, "abc"), ends}}, "abc", ""},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			w := &world{t: t, fleet: &fleet{host: "h1"}}
			w.fleet.config, _ = contract.Build(1, declare(make127(2), "127.0.0.1:9"))
			scriptedLink(t, w, c.script)
			w.addEntry(entry.Options{})
			r := w.stream(0, "x").read(0)
			if got := strings.Join(r.tokens, ""); got != c.want || r.code != c.code {
				t.Errorf("got %q, code %q; want %q, code %q", got, r.code, c.want, c.code)
			}
		})
	}
}
