package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// testFleet is a Fleet with a view that the test sets.
type testFleet struct {
	mu        sync.Mutex
	view      *fleet.View
	age       time.Duration
	confirmed bool
	// beforeAge is called before the age is returned. It may be nil.
	beforeAge func()
	listeners []func(*fleet.View)
}

func (f *testFleet) View() *fleet.View { f.mu.Lock(); defer f.mu.Unlock(); return f.view }
func (f *testFleet) OnChange(l func(*fleet.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, l)
}
func (f *testFleet) ConfirmedAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforeAge != nil {
		f.beforeAge()
	}
	return f.age, f.confirmed
}
func (f *testFleet) set(change func(*testFleet)) {
	f.mu.Lock()
	change(f)
	view, listeners := f.view, f.listeners
	f.mu.Unlock()
	for _, l := range listeners {
		l(view)
	}
}

// testDialect is a Dialect with header names for tests.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) RequestMetadata {
	ms, _ := strconv.Atoi(h.Get("T-Budget"))
	hint, _ := strconv.Atoi(h.Get("T-Hint"))
	return RequestMetadata{ID: h.Get("T-Id"), Key: h.Get("T-Key"), Timeout: time.Duration(ms) * time.Millisecond,
		LengthHint: hint, LastEventID: h.Values("T-Last")}
}
func (testDialect) WriteForward(h http.Header, f ForwardMetadata) {
	h.Del("T-Key")
	h.Set("T-Budget", strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	h.Set("T-Server", f.ServerID)
	h.Set("T-Caller", f.Caller)
	h.Set("T-Copy", f.Copy)
	if f.Copy != "" {
		h["T-Last"] = f.LastEventID
	}
}
func (testDialect) ReadResponse(_ int, h http.Header) ResponseMetadata {
	return ResponseMetadata{ID: h.Get("T-Id"), Sealed: h.Get("T-Seal") != "", NotRun: h.Get("T-Not-Run") != "",
		Encoded: h.Get("Content-Encoding") != ""}
}

// testServer is a backend server that runs a handler and counts requests.
type testServer struct {
	*http.Server
	address string
	count   atomic.Int64
}

func newTestServer(t testing.TB, handler http.HandlerFunc) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: l.Addr().String()}
	s.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.count.Add(1)
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		w.Header().Set("T-Seal", "seal")
		handler(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// echo responds with what the backend server received.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s caller=%s key=%s body=%s", r.Method, r.RequestURI, r.Header.Get("T-Caller"),
		r.Header.Get("T-Key"), body)
}

// harness runs a Gateway on a listener.
type harness struct {
	t       testing.TB
	fleet   *testFleet
	gateway *Gateway
	address string
	listen  net.Listener
}

// locatorFunc implements Locator.
type locatorFunc func(server backend.Server, generationID string) (string, string, error)

func (f locatorFunc) Locate(_ context.Context, s backend.Server, generationID string) (string, string, error) {
	return f(s, generationID)
}

// newHarness starts a Gateway with routes of each kind to a service with servers.
// StreamEnd implements Locator. It knows nothing of how streams end.
func (f locatorFunc) StreamEnd(context.Context, backend.Server, StreamEnd) (streamend.Verdict, string, error) {
	return streamend.Unknown, "no agent", nil
}

func newHarness(t testing.TB, locator Locator, servers ...*testServer) *harness {
	t.Helper()
	target := []desired.Target{{Service: "s", Weight: 1}}
	route := func(name string, kind desired.RouteKind, attempts int) desired.Route {
		return desired.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Targets: target,
			Timeout: 400 * time.Millisecond, MaxAttempts: attempts}
	}
	stream := route("stream", desired.Stream, 1)
	stream.Timeout = 5 * time.Second
	open := route("open", desired.AtMostOnce, 1)
	open.Anonymous = true
	state := &desired.State{Version: 1,
		Routes:   []desired.Route{route("once", desired.AtMostOnce, 1), route("twice", desired.Repeatable, 2), stream, open},
		Services: []desired.Service{{Name: "s"}}, HasCallers: true,
		Callers: []desired.Caller{{Name: "team", Keys: []string{"key"}}},
		Limits:  desired.Limits{HeaderBytes: 2000, BodyBytes: 1000, HeaderTimeout: 300 * time.Millisecond}}
	view := &fleet.View{Table: desired.NewTable(state), Version: 1}
	for i, s := range servers {
		view.Servers = append(view.Servers,
			backend.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: s.address, Slots: 4})
	}
	f := &testFleet{view: view, confirmed: true}
	g := New(Options{Fleet: f, Dialect: testDialect{}, Locator: locator, Regions: failuredomain.NewMap(nil),
		MaxConfirmedAge: 4 * time.Second, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second,
		Logger: zap.NewNop(), Metrics: observe.NewMetrics()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return &harness{t, f, g, l.Addr().String(), l}
}

// call sends a request and returns the status, headers and body of the response.
func (h *harness) call(path string, header ...string) (int, http.Header, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.address+path, strings.NewReader("data"))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("T-Id", "id-1")
	r.Header.Set("T-Key", "key")
	r.Header.Set("T-Budget", "3000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

// Guards against requests that reach a backend server modified or with the caller's
// key, and against callers that are wrongly accepted or rejected.
func TestForward(t *testing.T) {
	server := newTestServer(t, echo)
	h := newHarness(t, nil, server)
	for _, c := range []struct {
		path   string
		header []string
		status int
		body   string
	}{
		{"/once/a%2Fb?x=%20y", nil, 200, "POST /once/a%2Fb?x=%20y caller=team key= body=data"},
		{"/once/x", []string{"T-Key", "other"}, 401, ""},
		{"/open/x", []string{"T-Key", "other"}, 200, "POST /open/x caller= key= body=data"},
		{"/none/x", nil, 404, ""},
		{"/once/x", []string{"T-Caller", "forged"}, 200, "POST /once/x caller=team key= body=data"},
	} {
		status, _, body, err := h.call(c.path, c.header...)
		if err != nil || status != c.status || c.body != "" && body != c.body {
			t.Errorf("%s: %d %q %v, want %d %q", c.path, status, body, err, c.status, c.body)
		}
	}
}

// Guards against 404 and 401 responses based on a state that may be stale, and
// against keys that are accepted for longer than MaxConfirmedAge after contact with the
// control group is lost.
func TestStaleStateRefuses(t *testing.T) {
	server := newTestServer(t, echo)
	h := newHarness(t, nil, server)
	check := func(name, path, key string, want int) {
		t.Helper()
		status, header, _, err := h.call(path, "T-Key", key)
		if err != nil || status != want {
			t.Errorf("%s: %d %v, want %d", name, status, err, want)
		}
		if status == 503 && (header.Get("Retry-After") == "" || header.Get(verdictHeader) != "not_run") {
			t.Errorf("%s: refusal without Retry-After or verdict: %v", name, header)
		}
	}
	h.fleet.set(func(f *testFleet) { f.age = 2 * time.Second })
	check("known key within the limit", "/once/x", "key", 200)
	check("unknown key", "/once/x", "other", 503)
	check("unknown route", "/none/x", "key", 503)
	h.fleet.set(func(f *testFleet) { f.age = 4100 * time.Millisecond })
	check("known key after the limit", "/once/x", "key", 503)
	check("route without keys", "/open/x", "", 200)
	h.fleet.set(func(f *testFleet) { f.view = &fleet.View{}; f.confirmed = false })
	check("no desired state", "/once/x", "key", 503)
}

// Guards against a request that runs twice but must not, a response that is not the
// complete response of the server, and a refusal of a request that may have run.
func TestFaultyServers(t *testing.T) {
	hijack := func(response string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("T-Id")))
				_ = conn.Close()
			}
		}
	}
	const head = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: s\r\n"
	for _, c := range []struct {
		name, path string
		handler    http.HandlerFunc
		status     int
		runs       int64
		sealed     bool
	}{
		{"server error", "/once/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 500, 1, true},
		{"server error, repeatable", "/twice/x",
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 500, 2, true},
		{"no response", "/once/x", hijack(""), 502, 1, false},
		{"no response, repeatable", "/twice/x", hijack(""), 502, 2, false},
		{"truncated body", "/once/x", hijack(head + "Content-Length: 10\r\n\r\nhello"), 502, 1, false},
		{"not HTTP", "/once/x", hijack("garbage\r\n\r\n"), 502, 1, false},
		{"response to another request", "/once/x",
			hijack("HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Seal: s\r\nContent-Length: 2\r\n\r\nok"), 502, 1, false},
		{"refusal of another request", "/once/x",
			hijack("HTTP/1.1 503 Busy\r\nT-Id: other\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 502, 1, false},
		{"without a seal", "/once/x", hijack("HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 2\r\n\r\nok"), 502, 1, false},
		{"encoded", "/once/x", hijack(head + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502, 1, false},
		{"503 that may have run", "/once/x",
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 502, 1, false},
		{"body ended by the connection", "/once/x", hijack(head + "\r\nwhole"), 200, 1, true},
		{"extra bytes", "/once/x", hijack(head + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nmore"), 200, 1, true},
		{"refused", "/once/x",
			func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("T-Not-Run", "1"); w.WriteHeader(503) },
			503, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := newTestServer(t, c.handler), newTestServer(t, c.handler)
			status, header, body, err := newHarness(t, nil, one, two).call(c.path)
			if err != nil || status != c.status {
				t.Fatalf("%d %q %v, want %d", status, body, err, c.status)
			}
			if runs := one.count.Load() + two.count.Load(); runs != c.runs {
				t.Errorf("the request arrived %d times, want %d", runs, c.runs)
			}
			if (header.Get("T-Seal") != "") != c.sealed {
				t.Errorf("sealed %v, want %v", !c.sealed, c.sealed)
			}
		})
	}
}

// Guards against a caller that waits longer than the timeout of the route, and
// against a server that continues to work after the caller disconnected.
func TestTimeoutAndDisconnectedCaller(t *testing.T) {
	ended := make(chan struct{}, 4)
	server := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		ended <- struct{}{}
	})
	h := newHarness(t, nil, server)
	if status, _, body, err := h.call("/once/x"); status != 504 || !strings.Contains(body, "may_have_run") {
		t.Errorf("%d %q %v, want 504 that may have run", status, body, err)
	}
	<-ended
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nContent-Length: 0\r\n\r\n")
	for server.count.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Error("the server still works for a caller that disconnected")
	}
}

// Guards against a failure while one server is unreachable and another is not. A
// connection that was never established proves that the request did not run, so it can
// be retried.
func TestUnreachableServerIsSkipped(t *testing.T) {
	dead, alive := newTestServer(t, echo), newTestServer(t, echo)
	_ = dead.Close()
	h := newHarness(t, nil, dead, alive)
	for i := 0; i < 10; i++ {
		if status, _, _, err := h.call("/once/x"); err != nil || status != 200 {
			t.Errorf("%d %v", status, err)
		}
	}
}

// events returns the events from one id to another, both included.
func events(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: part-%d\n\n", i, i)
	}
	return s.String()
}

// breakingServer sends the events up to last and closes the connection within the next
// one.
func breakingServer(t *testing.T, last int) *testServer {
	return newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, events(1, last)+"id: 99\ndata: ha")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// Guards against a stream that looks complete to the caller although the server closed
// the connection before its end.
func TestBrokenStreamIsAborted(t *testing.T) {
	h := newHarness(t, nil, breakingServer(t, 3))
	status, _, body, err := h.call("/stream/x")
	if status != 200 || err == nil {
		t.Errorf("%d %q, error %v; want an error", status, body, err)
	}
}

// Guards against missing or repeated events when a generation resumes at another
// server, and against a wrong copy name or last event id.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	var resumed atomic.Pointer[string]
	source := breakingServer(t, 3)
	target := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		asked := r.Header.Get("T-Copy") + " " + r.Header.Get("T-Last") + " " + r.Header.Get("T-Server")
		resumed.Store(&asked)
		_, _ = io.WriteString(w, events(4, 6))
	})
	locate := locatorFunc(func(s backend.Server, generationID string) (string, string, error) {
		if s.Address != source.address || generationID != "id-1" {
			return "", "", errors.New("asked for another generation")
		}
		return target.address, "copy-7", nil
	})
	h := newHarness(t, locate, source, target)
	h.fleet.set(func(f *testFleet) {
		next := *f.view
		next.Servers = append([]backend.Server(nil), next.Servers...)
		next.Servers[1].Leaving = true
		f.view = &next
	})
	status, _, body, err := h.call("/stream/x")
	if err != nil || status != 200 || body != events(1, 6) {
		t.Errorf("%d %q %v", status, body, err)
	}
	if asked := resumed.Load(); asked == nil || *asked != "copy-7 3 i-1" {
		t.Errorf("resumed with %v", asked)
	}
}

// Guards against generations that a draining entry accepts and cannot complete, and
// against requests that it rejects although it can complete them.
func TestDrain(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, events(1, 2)) })
	h := newHarness(t, nil, server)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() { h.gateway.Drain(ctx, 500*time.Millisecond, h.listen); close(done) }()
	for h.gateway.drain.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	if ready, _ := h.gateway.Ready(); ready {
		t.Error("a draining entry is ready")
	}
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn,
		"POST /stream/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nT-Hint: 20\r\nContent-Length: 0\r\n\r\n")
	if response, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 200 OK") ||
		!strings.Contains(string(response), "Connection: close\r\n") {
		t.Errorf("a short generation: %q %v", response, err)
	}
	if status, _, _, err := h.call("/stream/x", "T-Hint", "2000"); err != nil || status != 503 {
		t.Errorf("a long generation: %d %v, want 503", status, err)
	}
	<-done
	if _, err := net.Dial("tcp", h.address); err == nil {
		t.Error("the listener is still open")
	}
}

// Guards against limits that are not enforced, and against limits that reject another
// caller's valid request.
func TestLimits(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, echo))
	send := func(text string) string {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return strings.TrimSpace(line)
	}
	const validHead = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\n"
	for _, c := range []struct{ name, text, want string }{
		{"head", validHead + "X: " + strings.Repeat("x", 3000) + "\r\n\r\n", "HTTP/1.1 431 Request Header Fields Too Large"},
		{"body", validHead + "Content-Length: 5000\r\n\r\n", "HTTP/1.1 413 Request Entity Too Large"},
		{"slow head", validHead, "HTTP/1.1 408 Request Timeout"},
		{"two framings", validHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"HTTP/1.1 400 Bad Request"},
		{"valid", validHead + "Content-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK"},
	} {
		if got := send(c.text); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against responses that are mixed up between the requests of one connection.
func TestKeepAlive(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, echo))
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for i := 0; i < 5; i++ {
		// Two pipelined requests: the second is in the buffer while the first runs.
		for j := 0; j < 2; j++ {
			fmt.Fprintf(conn,
				"POST /once/%d-%d HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
				i, j)
		}
		for j := 0; j < 2; j++ {
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			if want := fmt.Sprintf("POST /once/%d-%d caller=team key= body=x", i, j); string(body) != want {
				t.Errorf("%q, want %q", body, want)
			}
		}
	}
}

// Guards against an old state that is taken for a confirmed one because a newer state
// and its confirmation arrive while the request is admitted.
func TestStateChangesDuringAdmission(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, echo))
	h.fleet.set(func(f *testFleet) {
		newer, state := f.view, *f.view.Table.State
		state.Routes = nil
		f.view = &fleet.View{Table: desired.NewTable(&state), Servers: newer.Servers}
		f.beforeAge = func() { f.view = newer }
	})
	if status, _, body, err := h.call("/once/x"); err != nil || status != 200 {
		t.Errorf("%d %q %v", status, body, err)
	}
}
