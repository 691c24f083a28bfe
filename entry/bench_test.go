package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/entry"
)

// burstStream is an engine stream in this process that generates without delay,
// so that a benchmark measures the path and not the stand-in. With a gate it
// pauses after the first token.
type burstStream struct {
	ctx         context.Context
	next, count uint64
	gate        <-chan struct{}
	pace        time.Duration
}

func (s *burstStream) Next() (engine.Event, error) {
	if s.pace > 0 && s.next > 0 {
		time.Sleep(s.pace)
	}
	if s.gate != nil && s.next == 1 {
		select {
		case <-s.gate:
		case <-s.ctx.Done():
			return engine.Event{}, engine.ErrConnectionLost
		}
	}
	e := engine.Event{Generation: "g", Index: s.next, HasToken: true, Token: message.Token{Text: "slope "}}
	if s.next++; s.next == s.count {
		e.FinishReason = "stop"
	}
	return e, nil
}

func (s *burstStream) Close() error { return nil }

// newBurstWorld returns a world with an engine in this process.
func newBurstWorld(b *testing.B, count uint64, pace time.Duration, gate <-chan struct{}) *world {
	backend := &scriptedBackend{generate: func(ctx context.Context, _ engine.Request) (engine.Stream, error) {
		return &burstStream{ctx: ctx, count: count, pace: pace, gate: gate}, nil
	}}
	w := newWorld(b, worldOptions{
		agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend { return backend }, EngineIdleTimeout: time.Hour, ReaderGrace: time.Hour, MaxQueue: 1 << 16},
		entry: entry.Options{MaxStreams: 1 << 16},
	})
	s := declare([]string{w.engines[0].Address()}, w.desk.Address())
	// Neither slots nor memory bound the path here.
	s["backend-server coach-1"]["max_batch"], s["backend-server coach-1"]["memory_blocks"] = "60000", "1000000000"
	s["caller demo"]["max_concurrent"] = "100000"
	w.fleet.update(func(f *fleet) { f.config = must2(buildConfig(s)) })
	w.agent.Reconcile()
	return w
}

// rawCaller sends requests on one connection and reads answers without decoding
// them, so that the caller's share of the cost stays small.
type rawCaller struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

func newRawCaller(b testing.TB, url string, stream bool) *rawCaller {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	must(b, conn, err)
	body := completion("x", stream)
	request := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return &rawCaller{conn: conn, in: bufio.NewReaderSize(conn, 32<<10), request: []byte(request)}
}

// do reads one answer to its last chunk.
func (c *rawCaller) do() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	status, err := c.in.ReadString('\n')
	if err != nil || !strings.Contains(status, " 200 ") {
		rest := make([]byte, 1024)
		n, _ := c.in.Read(rest)
		return fmt.Errorf("status line %q: %v: %s", status, err, rest[:n])
	}
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if bytes.Equal(line, []byte("0\r\n")) {
			_, err = c.in.Discard(2)
			return err
		}
	}
}

// saturate runs a number of answers by many callers.
func saturate(b *testing.B, answers int, url string, callers int) {
	var left atomic.Int64
	left.Store(int64(answers))
	var wait sync.WaitGroup
	for range callers {
		c := newRawCaller(b, url, true)
		defer c.conn.Close()
		wait.Go(func() {
			for left.Add(-1) >= 0 {
				if err := c.do(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
}

// BenchmarkTokens measures tokens at saturation through one entry and one agent,
// with the callers in the same process.
func BenchmarkTokens(b *testing.B) {
	const count = 2000
	w := newBurstWorld(b, count, 0, nil)
	b.ReportAllocs()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	saturate(b, b.N, w.urls[0], 64)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	tokens := float64(b.N) * count
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/tokens, "ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/token")
}

// BenchmarkPacedTokens measures the cost of tokens that arrive one by one, as
// from engines that generate 50 tokens a second for each of 4,000 streams: each
// token is a write of its own to its caller.
func BenchmarkPacedTokens(b *testing.B) {
	const streams, count = 4000, 50
	w := newBurstWorld(b, count, 20*time.Millisecond, nil)
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ResetTimer()
	for range b.N {
		saturate(b, streams, w.urls[0], streams)
	}
	b.StopTimer()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	tokens := float64(b.N) * streams * count
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(cpu)/tokens, "cpu-ns/token")
}

// BenchmarkRequests measures requests with one token each at saturation.
func BenchmarkRequests(b *testing.B) {
	w := newBurstWorld(b, 1, 0, nil)
	b.ResetTimer()
	saturate(b, b.N, w.urls[0], 64)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkAddedLatency compares requests with one token each through entry and
// agent with requests to the same engine on a direct connection, in turns.
func BenchmarkAddedLatency(b *testing.B) {
	answer := []byte(`data: {"generation":"g","index":0,"choices":[{"text":"slope ","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
		_ = http.NewResponseController(w).Flush()
	}))
	defer server.Close()
	w := newWorld(b, worldOptions{agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend {
		return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
	}}})
	direct, path := newRawCaller(b, server.URL, true), newRawCaller(b, w.urls[0], true)
	defer direct.conn.Close()
	defer path.conn.Close()
	times := map[*rawCaller][]time.Duration{}
	b.ResetTimer()
	for range b.N {
		for _, c := range []*rawCaller{direct, path} {
			began := time.Now()
			if err := c.do(); err != nil {
				b.Fatal(err)
			}
			times[c] = append(times[c], time.Since(began))
		}
	}
	for c, name := range map[*rawCaller]string{direct: "direct", path: "path"} {
		sort.Slice(times[c], func(i, j int) bool { return times[c][i] < times[c][j] })
		for _, p := range []int{50, 99} {
			at := times[c][len(times[c])*p/100]
			b.ReportMetric(float64(at.Microseconds()), name+"-p"+strconv.Itoa(p)+"-µs")
		}
	}
}

// BenchmarkIdleStreams measures the memory of streams that wait for their next
// token, without the sockets' buffers in the kernel. The callers' connections are
// counted with the entry.
func BenchmarkIdleStreams(b *testing.B) {
	for _, count := range []int{1000, 8000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			gate := make(chan struct{})
			w := newBurstWorld(b, 2, 0, gate)
			idle := memory()
			for i := range count {
				var reply message.StartReply
				request := message.StartRequest{BackendServer: "coach-1", AgentIncarnation: 1, Caller: "demo", Execution: executionID(uint64(i + 1)), Body: []byte(completion("x", true))}
				_ = w.agent.Service().Start(request, &reply)
			}
			eventually(b, "the executions run", func() bool { return running(w) == count })
			ofAgent := memory()
			callers := make([]*rawCaller, count)
			for i := range callers {
				c := newRawCaller(b, w.urls[0], true)
				defer c.conn.Close()
				// Drops the caller's own buffer from the figure.
				c.in = nil
				callers[i] = c
				_, _ = c.conn.Write(c.request)
			}
			head := make([]byte, 4096)
			for _, c := range callers {
				if n, err := c.conn.Read(head); err != nil || !bytes.Contains(head[:n], []byte("200 OK")) {
					b.Fatalf("answer %q: %v", head[:n], err)
				}
			}
			// The callers' executions cost the agent as much as those without one.
			agentShare, total := float64(ofAgent-idle)/float64(count), float64(memory()-ofAgent)/float64(count)
			b.ReportMetric(agentShare, "agent-B/stream")
			b.ReportMetric(total-agentShare, "entry-B/stream")
			close(gate)
		})
	}
}

// memory returns the heap and stacks in use.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
