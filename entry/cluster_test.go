package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/wire"
)

// fakeFleet is an entry.Fleet and agent.Fleet whose state a test sets.
type fakeFleet struct {
	mu          sync.Mutex
	config      *contract.Config
	members     []message.Member
	quarantined map[string]time.Duration
	suspect     map[string]bool
	evacuations message.EvacuationSet
	host        string
}

func (f *fakeFleet) Config() *contract.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}
func (f *fakeFleet) Header() message.Header { return message.Header{Host: f.host, Incarnation: 1} }
func (f *fakeFleet) Observe(message.Header) {}
func (f *fakeFleet) Ready() bool            { return true }
func (f *fakeFleet) Members() []message.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]message.Member(nil), f.members...)
}

// Quarantined implements entry.QuarantineList.
func (f *fakeFleet) Quarantined(digest string) (time.Duration, bool, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining, quarantined := f.quarantined[digest]
	return remaining, f.suspect[digest], quarantined
}

// Evacuations implements entry.EvacuationList and agent.EvacuationList.
func (f *fakeFleet) Evacuations() message.EvacuationSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations
}

func (f *fakeFleet) update(change func(*fakeFleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeLedger is an entry.Ledger on an in-memory control service. A test may set
// faults.
type fakeLedger struct {
	control *control.Service
	mu      sync.Mutex
	// lostReplies is the number of upcoming BeginCall replies that are lost after the
	// commit.
	lostReplies int
	// unavailable makes FinishCall fail.
	unavailable bool
}

func (l *fakeLedger) BeginCall(_ context.Context, r message.BeginCallRequest) (reply message.BeginCallReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err = l.control.BeginCall(&r, &reply)
	if l.lostReplies > 0 {
		l.lostReplies--
		return message.BeginCallReply{}, fmt.Errorf("reply lost")
	}
	return reply, err
}

func (l *fakeLedger) FinishCall(_ context.Context, r message.FinishCallRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return fmt.Errorf("no quorum")
	}
	return l.control.FinishCall(&r, &message.FinishCallReply{})
}

func (l *fakeLedger) setFaults(lostReplies int, unavailable bool) {
	l.mu.Lock()
	l.lostReplies, l.unavailable = lostReplies, unavailable
	l.mu.Unlock()
}

type clusterOptions struct {
	engines   int
	standin   standin.Options
	agent     agent.Options
	entry     entry.Options
	entries   int
	linkProxy bool
	rpcProxy  bool
}

// testCluster is one agent with its backend servers, and the entries in front of it.
type testCluster struct {
	t                   testing.TB
	fleet               *fakeFleet
	ledger              *fakeLedger
	engines             []*standin.Server
	desk                *standin.Server
	agent               *agent.Agent
	entries             []*entry.Entry
	urls                []string
	linkProxy, rpcProxy *faultProxy
}

// SHA-256 digests of the bearer keys "demo-key" and "other-key".
const (
	keySHA   = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
	otherSHA = "580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca"
)

// clusterSections returns the declaration of a test cluster.
func clusterSections(engines []string, plainAddress string) contract.Sections {
	s := contract.Sections{
		"failure-domain pinecrest": {"region": "great-lakes"}, "host h1": {"failure_domain": "pinecrest"},
		"service coach-llm": {"kind": "generation"},
		"service book-desk": {"kind": "plain", "non_repeatable": "* /swaps", "timeout": "2s"},
		"model coach":       {"service": "coach-llm", "versions": "v1"},
		"route r":           {"service": "coach-llm", "model": "coach", "version": "v1"},
		"caller demo":       {"key_sha256": keySHA}, "caller other": {"key_sha256": otherSHA},
		"backend-server desk-1": {"host": "h1", "service": "book-desk", "address": plainAddress},
	}
	for i, address := range engines {
		s[fmt.Sprintf("backend-server coach-%d", i+1)] = map[string]string{
			"host": "h1", "service": "coach-llm", "address": address,
		}
	}
	return s
}

func must[T any](t testing.TB, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func buildConfig(s contract.Sections) (*contract.Config, []contract.Fault) {
	return contract.Build(2, s)
}

// mustConfig returns config and panics if it has faults.
func mustConfig(config *contract.Config, faults []contract.Fault) *contract.Config {
	if len(faults) > 0 {
		panic(faults)
	}
	return config
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return must(t, l, err)
}

func newTestCluster(t testing.TB, options clusterOptions) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, fleet: &fakeFleet{
		host: "h1", quarantined: map[string]time.Duration{}, suspect: map[string]bool{},
	}}
	tc.ledger = &fakeLedger{}
	var addresses []string
	if options.standin.TokenInterval == 0 {
		options.standin.TokenInterval = time.Millisecond
	}
	for range max(options.engines, 1) {
		options.standin.Listen = "127.0.0.1:0"
		s, err := standin.Start(options.standin)
		tc.engines = append(tc.engines, must(t, s, err))
		addresses = append(addresses, s.Address())
		t.Cleanup(s.Close)
	}
	desk, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", Kind: standin.KindPlain})
	tc.desk = must(t, desk, err)
	t.Cleanup(desk.Close)
	sections := clusterSections(addresses, desk.Address())
	config, faults := contract.Build(1, sections)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	tc.fleet.config = config
	machine := control.NewRegistryMachine()
	tc.ledger.control = control.NewService(control.Options{
		Log: control.NewLocalLog("", machine), Machine: machine, Header: func() message.Header { return message.Header{} },
	})
	tc.startAgent(options)
	for range max(options.entries, 1) {
		tc.addEntry(options.entry)
	}
	return tc
}

func (tc *testCluster) startAgent(options clusterOptions) {
	links, calls := listen(tc.t), listen(tc.t)
	options.agent.Host, options.agent.Incarnation, options.agent.Fleet = "h1", 1, tc.fleet
	tc.agent = agent.New(options.agent)
	server := wire.NewServer(calls)
	if err := server.Register("Agent", tc.agent.Service()); err != nil {
		tc.t.Fatal(err)
	}
	go server.Serve()
	go tc.agent.ServeLinks(links)
	tc.t.Cleanup(func() { server.Close(); _ = links.Close(); tc.agent.Close() })
	link, rpc := links.Addr().String(), calls.Addr().String()
	if options.linkProxy {
		tc.linkProxy = newFaultProxy(tc.t, link)
		link = tc.linkProxy.address()
	}
	if options.rpcProxy {
		tc.rpcProxy = newFaultProxy(tc.t, rpc)
		rpc = tc.rpcProxy.address()
	}
	tc.fleet.members = []message.Member{{
		Host: "h1", Incarnation: 1, AgentAddress: rpc, LinkAddress: link, State: message.MemberLive,
	}}
}

// addEntry starts an entry. Each entry has its own host name, because request ids
// contain it.
func (tc *testCluster) addEntry(o entry.Options) {
	pool := wire.NewPool(nil)
	if o.Fleet == nil {
		o.Fleet = &entryFleet{tc.fleet, fmt.Sprintf("e%d", len(tc.entries)+1), 1}
	}
	o.Ledger, o.Pool = tc.ledger, pool
	e := entry.New(o)
	server := httptest.NewServer(e.Handler())
	tc.entries, tc.urls = append(tc.entries, e), append(tc.urls, server.URL)
	tc.t.Cleanup(func() { e.Close(); server.CloseClientConnections(); server.Close(); pool.Close() })
}

type entryFleet struct {
	*fakeFleet
	name        string
	incarnation message.Incarnation
}

func (f *entryFleet) Header() message.Header {
	return message.Header{Host: f.name, Incarnation: f.incarnation}
}

// send sends a request of the caller "demo", with headers given as pairs of name and
// value, and returns the response with an open body.
func (tc *testCluster) send(ctx context.Context, url, method, path, body string, headers ...string) *http.Response {
	tc.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		tc.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// call sends a request to the first entry and returns status, verdict and body.
func (tc *testCluster) call(method, path, body string, headers ...string) (int, string, string) {
	tc.t.Helper()
	resp := tc.send(context.Background(), tc.urls[0], method, path, body, headers...)
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(entry.VerdictHeader), string(text)
}

// completion returns a completion request. Its max_tokens is the length that its
// prompt asks for, as from a caller that knows a bound.
func completion(prompt string, stream bool) string {
	bound := ""
	if _, rest, ok := strings.Cut(prompt, "[tokens="); ok {
		n, _, _ := strings.Cut(rest, "]")
		bound = `,"max_tokens":` + n
	}
	return fmt.Sprintf(`{"model":"coach","prompt":%q,"stream":%t%s}`, prompt, stream, bound)
}

// eventually waits up to 20 s until condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// scriptedBackend is an engine backend that is implemented by functions. A nil load
// reports an idle engine.
type scriptedBackend struct {
	engine.Backend
	generate func(ctx context.Context, r engine.Request) (engine.Stream, error)
	load     func() (engine.Load, error)
}

func (b *scriptedBackend) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	return b.generate(ctx, r)
}
func (b *scriptedBackend) Cancel(context.Context, string) error { return nil }
func (b *scriptedBackend) Load(context.Context) (engine.Load, error) {
	if b.load == nil {
		return engine.Load{}, nil
	}
	return b.load()
}
