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

// burstStream is an in-process engine stream that generates without delay, so that
// a benchmark measures entry and agent rather than the engine. With a tokenInterval
// it waits before each further token, and with a gate it pauses after the first
// token until the gate is closed.
type burstStream struct {
	ctx           context.Context
	next, count   uint64
	gate          <-chan struct{}
	tokenInterval time.Duration
}

func (s *burstStream) Next() (engine.Event, error) {
	if s.tokenInterval > 0 && s.next > 0 {
		time.Sleep(s.tokenInterval)
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

// newBurstCluster returns a test cluster with an in-process engine.
func newBurstCluster(b *testing.B, count uint64, tokenInterval time.Duration, gate <-chan struct{}) *testCluster {
	backend := &scriptedBackend{generate: func(ctx context.Context, _ engine.Request) (engine.Stream, error) {
		return &burstStream{ctx: ctx, count: count, tokenInterval: tokenInterval, gate: gate}, nil
	}}
	tc := newTestCluster(b, clusterOptions{
		agent: agent.Options{
			Connect:           func(contract.BackendServer) engine.Backend { return backend },
			EngineIdleTimeout: time.Hour, ReaderGrace: time.Hour, MaxQueue: 1 << 16,
		},
		entry: entry.Options{MaxStreams: 1 << 16},
	})
	s := clusterSections([]string{tc.engines[0].Address()}, tc.desk.Address())
	// Neither slots nor memory limit the throughput.
	s["backend-server coach-1"]["max_batch"], s["backend-server coach-1"]["memory_blocks"] = "60000", "1000000000"
	s["caller demo"]["max_concurrent"] = "100000"
	tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(s)) })
	tc.agent.Reconcile()
	return tc
}

// rawClient sends requests on one connection and reads responses without decoding
// them, so that the client adds little to the measured cost.
type rawClient struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

func newRawClient(b testing.TB, url string, stream bool) *rawClient {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	must(b, conn, err)
	body := completion("x", stream)
	request := fmt.Sprintf(
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
	return &rawClient{conn: conn, in: bufio.NewReaderSize(conn, 32<<10), request: []byte(request)}
}

// do sends the request and reads its response up to the last chunk.
func (c *rawClient) do() error {
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

// saturate makes a number of requests by many concurrent callers.
func saturate(b *testing.B, answers int, url string, callers int) {
	var remaining atomic.Int64
	remaining.Store(int64(answers))
	var workers sync.WaitGroup
	for range callers {
		c := newRawClient(b, url, true)
		defer c.conn.Close()
		workers.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := c.do(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	workers.Wait()
}

// BenchmarkTokens measures the token throughput of one entry and one agent at
// saturation, with the callers in the same process.
func BenchmarkTokens(b *testing.B) {
	const count = 2000
	tc := newBurstCluster(b, count, 0, nil)
	b.ReportAllocs()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	saturate(b, b.N, tc.urls[0], 64)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	tokens := float64(b.N) * count
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/tokens, "ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/token")
}

// BenchmarkPacedTokens measures the CPU time per token for tokens that arrive one by
// one, as from engines that generate 50 tokens per second for each of 4,000 streams.
// Each token is then a separate write to its caller.
func BenchmarkPacedTokens(b *testing.B) {
	const streams, count = 4000, 50
	tc := newBurstCluster(b, count, 20*time.Millisecond, nil)
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ResetTimer()
	for range b.N {
		saturate(b, streams, tc.urls[0], streams)
	}
	b.StopTimer()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	tokens := float64(b.N) * streams * count
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(cpu)/tokens, "cpu-ns/token")
}

// BenchmarkRequests measures the throughput of one-token requests at saturation.
func BenchmarkRequests(b *testing.B) {
	tc := newBurstCluster(b, 1, 0, nil)
	b.ResetTimer()
	saturate(b, b.N, tc.urls[0], 64)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkAddedLatency compares the latency of one-token requests through entry and
// agent with that of direct requests to the same engine, alternating between both.
func BenchmarkAddedLatency(b *testing.B) {
	answer := []byte(`data: {"generation":"g","index":0,"choices":[{"text":"slope ","finish_reason":"stop"}]}` +
		"\n\ndata: [DONE]\n\n")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
		_ = http.NewResponseController(w).Flush()
	}))
	defer server.Close()
	tc := newTestCluster(b, clusterOptions{agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend {
		return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
	}}})
	direct, routed := newRawClient(b, server.URL, true), newRawClient(b, tc.urls[0], true)
	defer direct.conn.Close()
	defer routed.conn.Close()
	times := map[*rawClient][]time.Duration{}
	b.ResetTimer()
	for range b.N {
		for _, c := range []*rawClient{direct, routed} {
			start := time.Now()
			if err := c.do(); err != nil {
				b.Fatal(err)
			}
			times[c] = append(times[c], time.Since(start))
		}
	}
	for c, name := range map[*rawClient]string{direct: "direct", routed: "path"} {
		sort.Slice(times[c], func(i, j int) bool { return times[c][i] < times[c][j] })
		for _, p := range []int{50, 99} {
			at := times[c][len(times[c])*p/100]
			b.ReportMetric(float64(at.Microseconds()), name+"-p"+strconv.Itoa(p)+"-µs")
		}
	}
}

// BenchmarkIdleStreams measures the memory of streams that wait for their next
// token, without the socket buffers in the kernel. The callers' connections count
// towards the entry.
func BenchmarkIdleStreams(b *testing.B) {
	for _, count := range []int{1000, 8000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			gate := make(chan struct{})
			tc := newBurstCluster(b, 2, 0, gate)
			idle := memoryInUse()
			for i := range count {
				var reply message.StartReply
				request := message.StartRequest{
					BackendServer: "coach-1", AgentIncarnation: 1, Caller: "demo",
					Execution: executionID(uint64(i + 1)), Body: []byte(completion("x", true)),
				}
				_ = tc.agent.Service().Start(request, &reply)
			}
			eventually(b, "the executions run", func() bool { return runningCount(tc) == count })
			withExecutions := memoryInUse()
			callers := make([]*rawClient, count)
			for i := range callers {
				c := newRawClient(b, tc.urls[0], true)
				defer c.conn.Close()
				// Excludes the client's own buffer from the measurement.
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
			// An execution costs the agent the same memory with and without a caller.
			agentShare, total := float64(withExecutions-idle)/float64(count),
				float64(memoryInUse()-withExecutions)/float64(count)
			b.ReportMetric(agentShare, "agent-B/stream")
			b.ReportMetric(total-agentShare, "entry-B/stream")
			close(gate)
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
