package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/intake"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

const (
	memoryTestBody  = 256 << 10
	memoryTestBound = 1 << 20
)

// limitMemory sets the memory for requests and the limit of bodies.
func (h *harness) limitMemory(bytes, bodyBytes int64) {
	b := h.gateway.memory
	b.mu.Lock()
	b.limit, b.intakeLimit = bytes, bytes
	b.mu.Unlock()
	h.changeState(func(state *desired.State) { state.Limits.BodyBytes = bodyBytes })
	h.setTimeout(longTimeout)
}

// awaitReleased waits until no memory is counted.
func (h *harness) awaitReleased() {
	h.t.Helper()
	for end := time.Now().Add(longTimeout); h.gateway.memory.inUse() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("%d bytes are counted without requests", h.gateway.memory.inUse())
		}
	}
	if b := h.gateway.memory; b.freeing != 0 || b.responses != 0 || len(b.unfinished) != 0 {
		h.t.Errorf("%d bytes being freed, %d of responses, %d unfinished requests", b.freeing, b.responses, len(b.unfinished))
	}
}

// dialRaw connects to the gateway and sends text.
func (h *harness) dialRaw(text string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(longTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// checkRefused reads a response and checks that it is a refusal that allows another attempt.
func checkRefused(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(verdictHeader) != "not_run" ||
		response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("%d %v, close %v", response.StatusCode, response.Header, response.Close)
	}
}

// Guards against unfinished bodies that keep out an ordinary request, against evicted callers that
// get no answer or one that does not say that the request did not run, and against memory that is
// never released.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, len(text), " ", bytes.Count(text, []byte("y")))
	})
	h := newHarness(t, nil, server)
	h.limitMemory(memoryTestBound, memoryTestBody)
	unfinished := fmt.Sprintf(callFormat, "/once/x", longTimeout.Milliseconds(), memoryTestBody, strings.Repeat("x", memoryTestBody-1))
	var conns []net.Conn
	for range 3 {
		conns = append(conns, h.dialRaw(unfinished))
	}
	time.Sleep(2 * intake.MaxIdle)
	body := strings.Repeat("y", memoryTestBody)
	ordinary := h.dialRaw(fmt.Sprintf(callFormat, "/once/x", longTimeout.Milliseconds(), len(body), body))
	response, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("an ordinary request beside unfinished ones: %v, %v", response, err)
	}
	if text, err := io.ReadAll(response.Body); err != nil || string(text) != fmt.Sprint(len(body), " ", len(body)) {
		t.Errorf("the server got %q, %v", text, err)
	}
	refused := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		var first [1]byte
		if _, err := conn.Read(first[:]); err == nil {
			refused++
		}
	}
	if refused == 0 || refused == len(conns) {
		t.Errorf("%d of %d unfinished requests were refused, want as many as needed", refused, len(conns))
	}
	for _, conn := range append(conns, ordinary) {
		_ = conn.Close()
	}
	h.awaitReleased()
}

// Guards against the eviction of a request that was passed on, and against one beyond the memory
// that is not refused, or refused so that its caller can not tell that it did not run.
func TestPassedOnRequestsStay(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "done")
	})
	h := newHarness(t, nil, server)
	h.limitMemory(memoryTestBound, memoryTestBody)
	whole := fmt.Sprintf(callFormat, "/once/x", longTimeout.Milliseconds(), memoryTestBody, strings.Repeat("x", memoryTestBody))
	var passedOn []net.Conn
	for range 3 {
		passedOn = append(passedOn, h.dialRaw(whole))
		<-arrived
	}
	time.Sleep(2 * intake.MaxIdle)
	beyond := h.dialRaw(whole)
	checkRefused(t, beyond)
	close(release)
	for _, conn := range passedOn {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("a request that was passed on: %v, %v", response, err)
		}
	}
	for _, conn := range append(passedOn, beyond) {
		_ = conn.Close()
	}
	h.awaitReleased()
}

// Guards against a caller that still sends when its request is evicted and loses the answer by the
// close.
func TestEvictedCallerGetsItsAnswer(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, echo))
	h.limitMemory(memoryTestBound, memoryTestBody)
	conn := h.dialRaw(fmt.Sprintf(callFormat, "/once/x", longTimeout.Milliseconds(), memoryTestBody, "x"))
	for h.unfinished() == 0 {
		time.Sleep(time.Millisecond)
	}
	if !h.gateway.memory.evictOne() {
		t.Fatal("nothing was evicted")
	}
	_, _ = io.WriteString(conn, strings.Repeat("x", memoryTestBody/2))
	time.Sleep(50 * time.Millisecond)
	checkRefused(t, conn)
}

// unfinished returns the number of unfinished requests.
func (h *harness) unfinished() int {
	h.gateway.memory.mu.Lock()
	defer h.gateway.memory.mu.Unlock()
	return len(h.gateway.memory.unfinished)
}

// Guards against new callers that are refused while other connections are idle or unfinished, and
// against one beyond the bound that gets no answer.
func TestConnectionsAreBounded(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	server := newTestServer(t, func(http.ResponseWriter, *http.Request) { arrived <- struct{}{}; <-release })
	h := newHarness(t, nil, server)
	h.setTimeout(longTimeout)
	h.changeState(func(state *desired.State) { state.Limits.HeaderTimeout = longTimeout })
	const bound = 3
	h.gateway.mu.Lock()
	h.gateway.options.MaxConnections = bound
	h.gateway.mu.Unlock()
	idle, unfinished := h.dialRaw(""), h.dialRaw("POST /once/x HTTP/1.1\r\n")
	for h.unfinished() == 0 {
		time.Sleep(time.Millisecond)
	}
	whole := fmt.Sprintf(callFormat, "/once/x", longTimeout.Milliseconds(), 0, "")
	var serving []net.Conn
	for range bound {
		serving = append(serving, h.dialRaw(whole))
		<-arrived
		// The place of a closed connection is free once its caller has closed it too.
		for end := time.Now().Add(longTimeout); h.gateway.connections() > bound && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	if n, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %d bytes, %v, want its close", n, err)
	}
	checkRefused(t, unfinished)
	checkRefused(t, h.dialRaw(whole))
	close(release)
	for _, conn := range serving {
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("a request in progress: %v, %v", response, err)
		}
	}
}

// Guards against memory that is allocated by the announced size of a body or chunk instead of what
// has arrived.
func TestBodyIsAllocatedAsItArrives(t *testing.T) {
	const arrived = 10 << 10
	content := strings.Repeat("x", arrived)
	for name, c := range map[string]struct {
		f  framing
		in string
	}{
		"length": {framing{length: 4 << 20}, content},
		"chunk":  {framing{chunked: true}, "400000\r\n" + content},
	} {
		b := newMemoryBudget(memoryTestBound, func() time.Duration { return 0 })
		m := b.begin("a", func() {})
		_, err := readBody(bufio.NewReader(strings.NewReader(c.in)), c.f, bodyLimits{bytes: 4 << 20, framing: 1 << 10}, m)
		if !errors.Is(err, io.ErrUnexpectedEOF) || m.held > 2*arrived+minSegmentBytes || m.received.Load() != arrived {
			t.Errorf("%s: holds %d bytes after %d of %d, %v", name, m.held, m.received.Load(), arrived, err)
		}
		if m.release(); b.used != 0 {
			t.Errorf("%s: %d bytes are counted afterwards", name, b.used)
		}
	}
}

// Guards against chunk extensions and trailers without end, and against extensions within the
// limits that are refused.
func TestFramingIsBounded(t *testing.T) {
	extended := "1;e=" + strings.Repeat("x", 100) + "\r\nx\r\n"
	for name, c := range map[string]struct {
		in  string
		err error
	}{
		"trailers":   {"0\r\n" + strings.Repeat("A: "+strings.Repeat("x", 100)+"\r\n", 20), errFramingTooLarge},
		"extensions": {strings.Repeat(extended, 20), errFramingTooLarge},
		"a few":      {strings.Repeat(extended, 5) + "0\r\nA: b\r\n\r\n", nil},
		"long body":  {strings.Repeat("64;e="+strings.Repeat("x", 80)+"\r\n"+strings.Repeat("x", 100)+"\r\n", 100) + "0\r\n\r\n", nil},
	} {
		_, err := readBody(bufio.NewReader(strings.NewReader(c.in)), framing{chunked: true}, bodyLimits{bytes: 20000, framing: 1000}, nil)
		if !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", name, err, c.err)
		}
	}
}

// Guards against a bound that exceeds the descriptors or the memory of the process.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		budget      int64
		descriptors uint64
		want        int
	}{{64 << 20, 20000, 682}, {64 << 20, 1000, 400}, {1 << 10, 1000, 1}, {1 << 40, 1 << 62, 11184810}, {1 << 50, 1 << 62, 429496729}} {
		if got := maxConnections(c.budget, c.descriptors); got > c.want || got < c.want-1 {
			t.Errorf("%d bytes, %d descriptors: %d, want %d", c.budget, c.descriptors, got, c.want)
		}
	}
}

// Guards against a log that untrusted clients fill, and against causes that do not appear in it.
func TestRefusalLogIsBounded(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	now := time.Duration(0)
	l := newRefusalLog(zap.New(core), func() time.Duration { return now })
	for i := range 1000 {
		l.log([]string{reasonMemory, reasonTimeout}[i%2], 503, "text", "a")
	}
	now = refusalLogInterval
	l.log(reasonMemory, 503, "text", "a")
	all := lines.All()
	if len(all) != 3 || all[2].ContextMap()["not_logged"] != int64(499) {
		t.Errorf("%d lines: %v", len(all), all)
	}
}
