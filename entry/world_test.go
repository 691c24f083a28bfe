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

// fleet is a view of the system that a test sets.
type fleet struct {
	mu      sync.Mutex
	config  *contract.Config
	members []message.Member
	held    map[string]time.Duration
	suspect map[string]bool
	host    string
}

func (f *fleet) Config() *contract.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}
func (f *fleet) Header() message.Header { return message.Header{Host: f.host, Incarnation: 1} }
func (f *fleet) Observe(message.Header) {}
func (f *fleet) Ready() bool            { return true }
func (f *fleet) Members() []message.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]message.Member(nil), f.members...)
}

// Quarantined implements entry.Quarantines.
func (f *fleet) Quarantined(digest string) (time.Duration, bool, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, held := f.held[digest]
	return d, f.suspect[digest], held
}

func (f *fleet) update(change func(*fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// ledger is the in-memory control service; a test may set faults.
type ledger struct {
	control *control.Service
	mu      sync.Mutex
	// lose counts the next BeginCall replies that are lost after the commit.
	lose int
	// down makes FinishCall fail.
	down bool
}

func (l *ledger) BeginCall(_ context.Context, r message.BeginCallRequest) (reply message.BeginCallReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err = l.control.BeginCall(&r, &reply)
	if l.lose > 0 {
		l.lose--
		return message.BeginCallReply{}, fmt.Errorf("reply lost")
	}
	return reply, err
}

func (l *ledger) FinishCall(_ context.Context, r message.FinishCallRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return fmt.Errorf("no quorum")
	}
	return l.control.FinishCall(&r, &message.FinishCallReply{})
}

func (l *ledger) set(lose int, down bool) {
	l.mu.Lock()
	l.lose, l.down = lose, down
	l.mu.Unlock()
}

type worldOptions struct {
	engines   int
	standin   standin.Options
	agent     agent.Options
	entry     entry.Options
	entries   int
	linkProxy bool
	rpcProxy  bool
}

// world is one agent with its backend servers, and entries before it.
type world struct {
	t                   testing.TB
	fleet               *fleet
	ledger              *ledger
	engines             []*standin.Server
	desk                *standin.Server
	agent               *agent.Agent
	entries             []*entry.Entry
	urls                []string
	linkProxy, rpcProxy *silentProxy
}

// Digests of the bearer keys "demo-key" and "other-key".
const (
	keySHA   = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
	otherSHA = "580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca"
)

// declare returns the declaration of a world.
func declare(engines []string, desk string) contract.Sections {
	s := contract.Sections{
		"failure-domain pinecrest": {"region": "great-lakes"}, "host h1": {"failure_domain": "pinecrest"},
		"service coach-llm": {"kind": "generation"}, "service book-desk": {"kind": "plain", "non_repeatable": "* /swaps", "timeout": "2s"},
		"model coach": {"service": "coach-llm", "versions": "v1"}, "route r": {"service": "coach-llm", "model": "coach", "version": "v1"},
		"caller demo": {"key_sha256": keySHA}, "caller other": {"key_sha256": otherSHA},
		"backend-server desk-1": {"host": "h1", "service": "book-desk", "address": desk},
	}
	for i, address := range engines {
		s[fmt.Sprintf("backend-server coach-%d", i+1)] = map[string]string{"host": "h1", "service": "coach-llm", "address": address}
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

// must2 returns a configuration without faults.
func must2(config *contract.Config, faults []contract.Fault) *contract.Config {
	if len(faults) > 0 {
		panic(faults)
	}
	return config
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return must(t, l, err)
}

func newWorld(t testing.TB, o worldOptions) *world {
	t.Helper()
	w := &world{t: t, fleet: &fleet{host: "h1", held: map[string]time.Duration{}, suspect: map[string]bool{}}}
	w.ledger = &ledger{}
	var addresses []string
	if o.standin.TokenInterval == 0 {
		o.standin.TokenInterval = time.Millisecond
	}
	for range max(o.engines, 1) {
		o.standin.Listen = "127.0.0.1:0"
		s, err := standin.Start(o.standin)
		w.engines = append(w.engines, must(t, s, err))
		addresses = append(addresses, s.Address())
		t.Cleanup(s.Close)
	}
	desk, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", Kind: standin.KindPlain})
	w.desk = must(t, desk, err)
	t.Cleanup(desk.Close)
	sections := declare(addresses, desk.Address())
	config, faults := contract.Build(1, sections)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	w.fleet.config = config
	machine := control.NewRegistryMachine()
	w.ledger.control = control.NewService(control.Options{
		Log: control.NewLocalLog("", machine), Machine: machine, Header: func() message.Header { return message.Header{} },
	})
	w.startAgent(o)
	for range max(o.entries, 1) {
		w.addEntry(o.entry)
	}
	return w
}

func (w *world) startAgent(o worldOptions) {
	links, calls := listen(w.t), listen(w.t)
	o.agent.Host, o.agent.Incarnation, o.agent.Fleet = "h1", 1, w.fleet
	w.agent = agent.New(o.agent)
	server := wire.NewServer(calls)
	if err := server.Register("Agent", w.agent.Service()); err != nil {
		w.t.Fatal(err)
	}
	go server.Serve()
	go w.agent.ServeLinks(links)
	w.t.Cleanup(func() { server.Close(); _ = links.Close(); w.agent.Close() })
	link, rpc := links.Addr().String(), calls.Addr().String()
	if o.linkProxy {
		w.linkProxy = newSilentProxy(w.t, link)
		link = w.linkProxy.address()
	}
	if o.rpcProxy {
		w.rpcProxy = newSilentProxy(w.t, rpc)
		rpc = w.rpcProxy.address()
	}
	w.fleet.members = []message.Member{{Host: "h1", Incarnation: 1, AgentAddress: rpc, LinkAddress: link, State: message.MemberLive}}
}

// addEntry starts an entry with its own host name, because request ids contain
// it.
func (w *world) addEntry(o entry.Options) {
	pool := wire.NewPool(nil)
	if o.Fleet == nil {
		o.Fleet = &entryFleet{w.fleet, fmt.Sprintf("e%d", len(w.entries)+1), 1}
	}
	o.Ledger, o.Pool = w.ledger, pool
	e := entry.New(o)
	server := httptest.NewServer(e.Handler())
	w.entries, w.urls = append(w.entries, e), append(w.urls, server.URL)
	w.t.Cleanup(func() { e.Close(); server.CloseClientConnections(); server.Close(); pool.Close() })
}

type entryFleet struct {
	*fleet
	name        string
	incarnation message.Incarnation
}

func (f *entryFleet) Header() message.Header {
	return message.Header{Host: f.name, Incarnation: f.incarnation}
}

// send sends a request of the caller "demo" and returns the open response.
func (w *world) send(ctx context.Context, url, method, path, body string, headers ...string) *http.Response {
	w.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// call sends a request to the first entry and returns status, verdict and body.
func (w *world) call(method, path, body string, headers ...string) (int, string, string) {
	w.t.Helper()
	resp := w.send(context.Background(), w.urls[0], method, path, body, headers...)
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(entry.VerdictHeader), string(text)
}

// completion returns a request that states the length its prompt asks for, as
// callers do who know a bound.
func completion(prompt string, stream bool) string {
	bound := ""
	if _, rest, ok := strings.Cut(prompt, "[tokens="); ok {
		n, _, _ := strings.Cut(rest, "]")
		bound = `,"max_tokens":` + n
	}
	return fmt.Sprintf(`{"model":"coach","prompt":%q,"stream":%t%s}`, prompt, stream, bound)
}

// eventually waits for a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// scriptedBackend answers with functions; nil ones mean an engine without
// faults that ends at once.
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
