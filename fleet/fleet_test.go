package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/roster"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// testCodec decodes documents like {"version": 3, "note": "x"}.
type testCodec struct{}

// testDocument is the JSON form of a document.
type testDocument struct {
	Version uint64
	Note    string
	Invalid bool
}

func (testCodec) Decode(document []byte) (*desired.State, error) {
	var d testDocument
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, err
	}
	s := &desired.State{Version: d.Version}
	if d.Invalid {
		s.Routes = []desired.Route{{Name: d.Note}}
	}
	return s, nil
}

// document returns an encoded document.
func document(version uint64, note string) []byte {
	data, err := json.Marshal(testDocument{Version: version, Note: note})
	if err != nil {
		panic(err)
	}
	return data
}

// testDirectory is a Directory with a fixed list that counts calls.
type testDirectory struct {
	mu      sync.Mutex
	servers []backend.Server
	calls   int
}

func (d *testDirectory) List(context.Context, string) ([]backend.Server, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return append([]backend.Server(nil), d.servers...), nil
}

// testGroup is a control group whose members listen on the loopback interface.
type testGroup struct {
	t         *testing.T
	seeds     []string
	directory *testDirectory
	members   map[string]*testMember
	// configure changes the options of members that start later, if it is not nil.
	configure func(*ControlOptions)
}

// testMember is one member of a testGroup.
type testMember struct {
	*Control
	folder string
	stop   context.CancelFunc
	server *wire.Server
	pool   *wire.Pool
	done   chan struct{}
}

// newTestGroup returns a group with the given number of seed addresses and no running
// member.
func newTestGroup(t *testing.T, seeds int) *testGroup {
	g := &testGroup{t: t, directory: &testDirectory{servers: []backend.Server{{ID: "i-1", Address: "10.0.0.1:1"}}},
		members: map[string]*testMember{}}
	for i := 0; i < seeds; i++ {
		g.seeds = append(g.seeds, freeAddress(t))
	}
	return g
}

// nextPort is the port that was tried last. Ports are below the range that the kernel uses
// for outgoing connections, so that a chosen port stays free until a member listens on it.
var nextPort atomic.Int32

func init() { nextPort.Store(27000 + int32(os.Getpid()%50)*100) }

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// seedsOf returns a function that returns the seeds as of now. Goroutines of a member that
// was killed may still call it when a test has changed the seeds.
func (g *testGroup) seedsOf() func() []string {
	seeds := g.seeds
	return func() []string { return seeds }
}

// start starts a member with the data folder of its previous start, or with an empty
// one.
func (g *testGroup) start(address string, bootstrap bool) *testMember {
	g.t.Helper()
	folder := filepath.Join(g.t.TempDir(), "data")
	if old := g.members[address]; old != nil {
		folder = old.folder
	}
	var l net.Listener
	var err error
	for i := 0; i < 100; i++ {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		g.t.Fatal(err)
	}
	m := &testMember{folder: folder, server: wire.NewServer(l), pool: wire.NewPool(nil), done: make(chan struct{})}
	options := ControlOptions{Address: address, DataFolder: folder,
		Seeds: g.seedsOf(), Bootstrap: bootstrap,
		MinVoters: 3, Codec: testCodec{}, Directory: g.directory, Pool: m.pool,
		Dial: wire.DialTCP, Server: m.server, Logger: zap.NewNop(), Metrics: observe.NewMetrics()}
	if g.configure != nil {
		g.configure(&options)
	}
	if m.Control, err = NewControl(options); err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.server.Serve()
	go func() {
		defer close(m.done)
		if err := m.Run(ctx); err != nil {
			g.t.Logf("member %s ended: %v", address, err)
		}
	}()
	g.members[address] = m
	g.t.Cleanup(func() { g.kill(address) })
	return m
}

// kill stops a member without a request to leave the group.
func (g *testGroup) kill(address string) {
	m := g.members[address]
	m.stop()
	m.server.Close()
	m.pool.Close()
	<-m.done
}

// startWatcher starts the watcher of a daemon.
func (g *testGroup) startWatcher(t *testing.T) *Watcher {
	pool := wire.NewPool(nil)
	w := NewWatcher(WatcherOptions{Seeds: g.seedsOf(), Codec: testCodec{},
		Pool: pool, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	t.Cleanup(func() { cancel(); pool.Close() })
	return w
}

// eventually waits for a condition. The timeout only ends a test that hangs.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("never: %s", description)
}

// put publishes a document and waits for its acknowledgment.
func (m *testMember) put(t *testing.T, d []byte) {
	t.Helper()
	eventually(t, "the document is acknowledged", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := m.Put(ctx, d)
		return err == nil
	})
}

// get returns the newest document after the member confirmed it with a quorum.
func (m *testMember) get(t *testing.T) string {
	t.Helper()
	var got []byte
	eventually(t, "the document is read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		got, err = m.Get(ctx)
		return err == nil
	})
	return string(got)
}

// Guards against a group that does not form without an operator, and against a desired
// state that does not reach all daemons, reverts to an older version, or is replaced by
// another document with the same version.
func TestGroupFormsAndSpreads(t *testing.T) {
	g := newTestGroup(t, 3)
	w := g.startWatcher(t)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	joined := g.start(freeAddress(t), true)
	first := g.members[g.seeds[0]]
	first.put(t, document(5, "five"))
	for _, m := range g.members {
		if got := m.get(t); got != string(document(5, "five")) {
			t.Errorf("read %s", got)
		}
	}
	joined.put(t, document(5, "other five"))
	joined.put(t, document(4, "four"))
	first.put(t, document(5, "five"))
	if got := joined.get(t); got != string(document(5, "five")) {
		t.Errorf("in force: %s", got)
	}
	if _, err := first.Put(context.Background(), []byte(`{"Version": 6, "Invalid": true}`)); !errors.Is(err, ErrInvalid) {
		t.Errorf("an invalid state: %v", err)
	}
	eventually(t, "the daemon follows", func() bool { return w.View().Version == 5 && len(w.View().Members) == 4 })
	eventually(t, "the daemon has the list", func() bool { return len(w.View().Servers) == 1 })
	// The confirmation is stored after the view that it confirms.
	eventually(t, "the daemon has a confirmation", func() bool {
		age, ok := w.ConfirmedAge()
		if ok && age < 0 {
			t.Fatalf("confirmed %v ago", age)
		}
		return ok
	})
}

// Guards against a delay of a backend server's leaving notice until the platform's list
// shows it, although the agent on the server's host reported it.
func TestReportReachesDaemons(t *testing.T) {
	g := newTestGroup(t, 1)
	m := g.start(g.seeds[0], true)
	w := g.startWatcher(t)
	m.put(t, document(1, "one"))
	eventually(t, "the daemon has the list", func() bool { return len(w.View().Servers) == 1 && w.View().Leader != "" })
	pool := wire.NewPool(nil)
	defer pool.Close()
	report := &ReportRequest{Report: backend.Report{Address: "10.0.0.1:1", Leaving: true}}
	if err := pool.Call(context.Background(), w.View().Leader, ServiceName+".Report", report, &ReportReply{}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemon sees the notice", func() bool { return w.View().Servers[0].Leaving })
}

// Guards against loss of an acknowledged desired state after all members were killed at
// once.
func TestWholeGroupRestarts(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	for v := uint64(1); v <= 20; v++ {
		g.members[g.seeds[v%3]].put(t, document(v, fmt.Sprint("note ", v)))
	}
	for _, address := range g.seeds {
		g.kill(address)
	}
	for _, address := range g.seeds {
		g.start(address, false)
	}
	for _, m := range g.members {
		if got := m.get(t); got != string(document(20, "note 20")) {
			t.Errorf("read %s", got)
		}
	}
}

// Guards against a member that votes without the entries that it acknowledged before.
// A member that lost its disk, twice in a row, and a replacement at a new address must
// join under new ids.
func TestLostDisksAndReplacements(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	lost := g.seeds[1]
	for round := uint64(1); round <= 2; round++ {
		g.members[g.seeds[0]].put(t, document(round, "before"))
		g.kill(lost)
		if err := os.RemoveAll(g.members[lost].folder); err != nil {
			t.Fatal(err)
		}
		m := g.start(lost, false)
		if got := m.get(t); got != string(document(round, "before")) {
			t.Errorf("round %d: read %s", round, got)
		}
		eventually(t, "the member votes under a new id", func() bool {
			node := m.node.Load()
			if node == nil {
				return false
			}
			voters := 0
			for _, member := range node.Members() {
				if !member.Learner {
					voters++
				}
			}
			return voters == 3 && !node.Status().Learning
		})
	}
	// The leader's host is lost permanently, and a replacement without data starts at
	// another address.
	var lostLeader string
	eventually(t, "a member leads", func() bool {
		for address, m := range g.members {
			if m.leads() {
				lostLeader = address
				return true
			}
		}
		return false
	})
	g.kill(lostLeader)
	added := g.start(freeAddress(t), false)
	if got := added.get(t); got != string(document(2, "before")) {
		t.Errorf("read %s", got)
	}
	eventually(t, "the lost member is removed", func() bool {
		for _, member := range added.node.Load().Members() {
			if member.Address == lostLeader {
				return false
			}
		}
		return true
	})
	added.put(t, document(3, "after"))
}

// voters returns the addresses of the voters by id, as known to this member.
func (m *testMember) voters() map[consensus.MemberID]string {
	voters := map[consensus.MemberID]string{}
	if node := m.node.Load(); node != nil {
		for _, member := range node.Members() {
			if !member.Learner {
				voters[member.ID] = member.Address
			}
		}
	}
	return voters
}

// Guards against a restart that removes a member which the group needs, and against a
// stopped member that stays a voter although the group does not need it.
func TestStoppedMember(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.members[g.seeds[0]].put(t, document(1, "one"))
	stop := func(address string) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		g.members[address].Leave(ctx)
		g.kill(address)
	}
	stop(g.seeds[2])
	g.start(g.seeds[2], false)
	want := map[consensus.MemberID]string{1: "", 2: "", 3: ""}
	for id, address := range roster.InitialMembers(g.seeds) {
		want[id] = address
	}
	eventually(t, "the restarted member takes part under its id", func() bool {
		node := g.members[g.seeds[2]].node.Load()
		return node != nil && node.Status().Leader != 0 && cmp.Equal(want, g.members[g.seeds[2]].voters())
	})

	added := g.start(freeAddress(t), false)
	eventually(t, "the fourth member votes", func() bool { return len(added.voters()) == 4 })
	for _, address := range g.seeds {
		stop(address)
		if _, err := os.Stat(filepath.Join(g.members[address].folder, identityFile)); !os.IsNotExist(err) {
			t.Errorf("a member that left keeps its identity: %v", err)
		}
		eventually(t, "its vote is gone", func() bool { return len(added.voters()) == 3 })
		g.start(address, false)
		eventually(t, "it votes under a new id", func() bool { return len(added.voters()) == 4 })
	}
	if got := added.get(t); got != string(document(1, "one")) {
		t.Errorf("read %s", got)
	}
}

// Guards against a group with as many members as hosts that refuses a replacement until
// the replaced member is removed.
func TestSuccessorJoinsAFullGroup(t *testing.T) {
	const hosts = 8
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.members[g.seeds[0]].put(t, document(1, "one"))
	for range hosts - len(g.seeds) {
		g.start(freeAddress(t), false).get(t)
	}
	if got := g.start(freeAddress(t), false).get(t); got != string(document(1, "one")) {
		t.Errorf("read %s", got)
	}
}

// Guards against a member without a quorum that returns a possibly old state or renews
// the leases of daemons.
func TestMemberWithoutQuorumIsNotSure(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	survivor := g.members[g.seeds[0]]
	survivor.put(t, document(1, "one"))
	survivor.get(t)
	g.kill(g.seeds[1])
	g.kill(g.seeds[2])
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if got, err := survivor.Get(ctx); err == nil {
		t.Errorf("read %s without a quorum", got)
	}
	w := g.startWatcher(t)
	eventually(t, "the daemon has the state", func() bool { return w.View().Table != nil })
	before, _ := w.ConfirmedAge()
	time.Sleep(500 * time.Millisecond)
	if after, ok := w.ConfirmedAge(); ok && after < before+300*time.Millisecond {
		t.Errorf("the lease was renewed without a quorum: age %v, then %v", before, after)
	}
}

// Guards against a lease that starts when a reply arrives. A delayed reply only confirms
// the state at the time of the quorum's confirmation.
func TestLeaseBeginsWhenTheQuorumConfirmed(t *testing.T) {
	packed, err := compress(document(1, "one"))
	if err != nil {
		t.Fatal(err)
	}
	w := NewWatcher(WatcherOptions{Codec: testCodec{}, Logger: zap.NewNop()})
	sent := SinceBoot() - 10*time.Second
	reply := &WatchReply{Version: 1, Document: packed, Confirmed: true,
		ConfirmedAge: 300 * time.Millisecond, Held: 100 * time.Millisecond}
	if err := w.mergeReply(reply, sent); err != nil {
		t.Fatal(err)
	}
	if age, ok := w.ConfirmedAge(); !ok || age < 10*time.Second {
		t.Errorf("confirmed %v ago, want 10.2 s", age)
	}
	// A late reply with an older state must change nothing.
	newer := *w.View()
	newer.Version = 7
	w.view.Store(&newer)
	if err := w.mergeReply(&WatchReply{Version: 1, Document: packed}, SinceBoot()); err != nil || w.View().Version != 7 {
		t.Errorf("version %d after an older reply, %v", w.View().Version, err)
	}
}

// Guards against use of a data folder as a member's after a write or removal of the
// identity was interrupted.
func TestIdentity(t *testing.T) {
	folder := t.TempDir()
	if id, err := loadIdentity(folder); id != nil || err != nil {
		t.Errorf("an empty folder has identity %v, %v", id, err)
	}
	if err := (&identity{ID: 7}).save(folder); err != nil {
		t.Fatal(err)
	}
	if id, err := loadIdentity(folder); err != nil || id.ID != 7 {
		t.Errorf("identity %v, %v", id, err)
	}
	if err := removeMemberData(folder); err != nil {
		t.Fatal(err)
	}
	if id, err := loadIdentity(folder); id != nil || err != nil {
		t.Errorf("a discarded folder has identity %v, %v", id, err)
	}
}

// newUnresponsiveListener returns the address of a listener that accepts connections and
// never replies, like a network path that lost the connections' state.
func newUnresponsiveListener(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}

// Guards against a daemon that waits forever for an unresponsive member, or whose lease
// is not renewed because of it.
func TestWatcherLeavesASilentMember(t *testing.T) {
	g := newTestGroup(t, 1)
	m := g.start(g.seeds[0], true)
	m.put(t, document(1, "one"))
	unresponsive := newUnresponsiveListener(t)
	w := g.startWatcher(t)
	eventually(t, "the daemon has the state", func() bool { return w.View().Version == 1 })
	// All known members are replaced by the unresponsive one, so only the seed leads to
	// the real member.
	w.mu.Lock()
	next := *w.View()
	next.Members = []string{unresponsive, unresponsive, unresponsive}
	w.view.Store(&next)
	w.mu.Unlock()
	m.put(t, document(2, "two"))
	eventually(t, "the daemon has the newer state", func() bool { return w.View().Version == 2 })
	eventually(t, "the lease is renewed", func() bool { age, ok := w.ConfirmedAge(); return ok && age < time.Second })
}

// Guards against daemons that consider an unchanged list outdated and then all read it
// from the platform.
func TestUnchangedListStaysFresh(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	age := func(m *testMember) time.Duration {
		var reply WatchReply
		m.servers.fillReply(&WatchRequest{}, SinceBoot(), &reply)
		if !reply.HasList {
			return time.Hour
		}
		return reply.ListAge
	}
	for _, m := range g.members {
		eventually(t, "the member has the list", func() bool { return age(m) < time.Second })
	}
	time.Sleep(listFallbackAge + time.Second)
	for address, m := range g.members {
		if got := age(m); got >= listFallbackAge {
			t.Errorf("member %s has a list of %v ago", address, got)
		}
	}
}

// Guards against a daemon that learns of changes late because every second watch goes to
// a lost member in its own failure domain.
func TestWatcherAvoidsALostMemberOfItsDomain(t *testing.T) {
	w := NewWatcher(WatcherOptions{FailureDomain: "a", Seeds: func() []string { return nil }, Logger: zap.NewNop()})
	v := &View{Members: []string{"near", "far"}}
	w.view.Store(v)
	w.memberDomains["near"], w.memberDomains["far"] = "a", "b"
	if got := w.nextMember(); got != "near" {
		t.Errorf("watches %q, want the member of its own domain", got)
	}
	w.watched, w.failedAt["near"] = "far", SinceBoot()
	w.preferOwnDomain(v, "b")
	if got := w.nextMember(); got != "far" {
		t.Errorf("watches %q, which failed a moment ago", got)
	}
	w.failedAt["near"] = SinceBoot() - failedMemberBackoff
	w.preferOwnDomain(v, "b")
	if got := w.nextMember(); got != "near" {
		t.Errorf("watches %q, want the member of its own domain again", got)
	}
}
