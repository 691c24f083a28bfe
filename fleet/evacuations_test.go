package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// order sends an order to a member as an operator does: with a limit of a second, and again until
// it is acknowledged.
func (m *testMember) order(t *testing.T, domain string, evacuate bool) {
	t.Helper()
	eventually(t, fmt.Sprintf("order for %s, evacuate %v, is acknowledged", domain, evacuate), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return m.takeOrder(ctx, domain, evacuate) == nil
	})
}

// evacuated returns the evacuated failure domains after the member confirmed them with a quorum.
func (m *testMember) evacuated(t *testing.T) (domains []string) {
	t.Helper()
	eventually(t, "the member is confirmed", func() bool {
		node := m.node.Load()
		if node == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return node.Barrier(ctx) == nil
	})
	m.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) {
		for _, s := range e.List() {
			if s.Evacuated {
				domains = append(domains, s.Domain)
			}
		}
	})
	return domains
}

// checkEvacuated checks that all members that run know exactly these evacuated failure domains.
func (g *testGroup) checkEvacuated(want ...string) {
	g.t.Helper()
	for address, m := range g.members {
		if got := m.evacuated(g.t); !slices.Equal(got, want) {
			g.t.Errorf("member %s: %q evacuated, want %q", address, got, want)
		}
	}
}

// leader waits until one of the members leads.
func (g *testGroup) leader() (address string) {
	g.t.Helper()
	eventually(g.t, "a member leads", func() bool {
		for a, m := range g.members {
			if m.leads() {
				address = a
				return true
			}
		}
		return false
	})
	return address
}

// startEvacuationGroup starts a group with a desired state in force. Orders may name the failure
// domains a, b and c.
func startEvacuationGroup(t *testing.T) *testGroup {
	g := newTestGroup(t, 3)
	g.configure = func(o *ControlOptions) {
		o.ServesEvacuations, o.FailureDomains = true, func() []string { return []string{"b", "a", "c"} }
	}
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.members[g.seeds[0]].put(t, document(1, "one"))
	return g
}

// Guards against daemons that do not learn of an evacuation or of its end, or only when their watch
// ends, with another kind of watch, or by a refresh.
func TestEvacuationReachesDaemons(t *testing.T) {
	g := startEvacuationGroup(t)
	entry := g.startWatcher(t)
	pool := wire.NewPool(nil)
	defer pool.Close()
	lazy := NewWatcher(WatcherOptions{Seeds: g.seedsOf(), Codec: testCodec{}, Pool: pool, Logger: zap.NewNop(), Lazy: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go lazy.Run(ctx)
	var announced atomic.Bool
	lazy.OnChange(func(v *View) { announced.Store(v.IsEvacuated("a")) })
	m := g.members[g.seeds[1]]
	for _, evacuate := range []bool{true, false, true} {
		before := SinceBoot()
		m.order(t, "a", evacuate)
		m.order(t, "b", !evacuate)
		for name, w := range map[string]*Watcher{"entry": entry, "lazy": lazy} {
			eventually(t, "the daemon knows", func() bool {
				return w.View().IsEvacuated("a") == evacuate && w.View().IsEvacuated("b") == !evacuate
			})
			if at, ok := w.View().Evacuations["a"]; ok && (at < before || at > SinceBoot()) {
				t.Errorf("%s: learned at %v, sent at %v", name, at, before)
			}
		}
		eventually(t, "the listener is called", func() bool { return announced.Load() == evacuate })
	}
	fresh := NewWatcher(WatcherOptions{Seeds: g.seedsOf(), Codec: testCodec{}, Pool: pool, Logger: zap.NewNop()})
	fresh.SetLeader(g.leader())
	if err := fresh.Refresh(ctx); err != nil || !fresh.View().IsEvacuated("a") || fresh.View().IsEvacuated("b") {
		t.Errorf("after a refresh: %v, %v", fresh.View().Evacuations, err)
	}
}

// Guards against a watch that gets no reply when an evacuation begins although the daemon asked for
// few replies, and against a change of the evacuations that is lost on a sender of an older set.
func TestEvacuationWakesWatches(t *testing.T) {
	g := startEvacuationGroup(t)
	m := g.members[g.seeds[0]]
	for name, request := range map[string]WatchRequest{
		"lazy": {Lazy: true}, "leader only": {LeaderOnly: true}, "full": {WantsLimits: true, WantsParts: true, WantsStandings: true},
	} {
		t.Run(name, func(t *testing.T) {
			// The member may not lead, and lag behind what the leader acknowledged.
			m.order(t, "a", false)
			m.evacuated(t)
			request.Version, request.WantsEvacuations, request.Evacuations = 1, true, m.evacuationRevision()
			eventually(t, "the list is known", func() bool {
				var reply WatchReply
				m.servers.fillReply(&WatchRequest{}, SinceBoot(), &reply)
				request.List = reply.List
				return reply.HasList
			})
			m.order(t, "a", true)
			m.evacuated(t)
			if !m.hasNewer(&request) {
				t.Error("the watch is not woken")
			}
			// A daemon of an earlier version would ask again at once and without end.
			request.WantsEvacuations = false
			if request.Lazy && m.hasNewer(&request) {
				t.Error("a watch that does not ask for evacuations is woken")
			}
			var reply WatchReply
			if m.fillEvacuations(request.Evacuations, &reply); !reply.HasEvacuations || len(reply.Evacuations) != 1 {
				t.Errorf("reply %+v", reply.Evacuations)
			}
		})
	}
}

// Guards against a view that forgets when the daemon learned of an evacuation, that goes back to an
// older set, or that takes a reply without a set for an empty one.
func TestViewOfEvacuations(t *testing.T) {
	w := NewWatcher(WatcherOptions{Codec: testCodec{}, Logger: zap.NewNop()})
	var set failuredomain.Evacuations
	merge := func(evacuations failuredomain.Evacuations, sent time.Duration) {
		t.Helper()
		reply := &WatchReply{HasEvacuations: true, EvacuationRevision: evacuations.Revision(), Evacuations: evacuations.List()}
		if err := w.mergeReply(reply, sent); err != nil {
			t.Fatal(err)
		}
	}
	set.Apply(failuredomain.Order{Domain: "a", Evacuate: true})
	before := SinceBoot()
	merge(set, before-time.Hour)
	learned := w.View().Evacuations["a"]
	if learned < before {
		t.Errorf("learned at %v, before the reply arrived at %v", learned, before)
	}
	old, _, err := failuredomain.DecodeEvacuations(set.Encode())
	if err != nil {
		t.Fatal(err)
	}
	set.Apply(failuredomain.Order{Domain: "a", Evacuate: true, Base: 1})
	set.Apply(failuredomain.Order{Domain: "b", Evacuate: true})
	merge(set, before)
	if v := w.View(); v.Evacuations["a"] != learned || !v.IsEvacuated("b") {
		t.Errorf("evacuations %v, want a as of %v", v.Evacuations, learned)
	}
	merge(old, before)
	if err := w.mergeReply(&WatchReply{Version: 1}, before); err != nil || !w.View().IsEvacuated("b") {
		t.Errorf("evacuations %v after an older set, %v", w.View().Evacuations, err)
	}
	// An end and a new beginning between two replies are a new evacuation.
	set.Apply(failuredomain.Order{Domain: "a", Base: 2})
	set.Apply(failuredomain.Order{Domain: "a", Evacuate: true, Base: 3})
	merge(set, before)
	if again := w.View().Evacuations["a"]; again <= learned {
		t.Errorf("the second evacuation was learned at %v, the first at %v", again, learned)
	}
}

// Guards against logs and snapshots of earlier versions that can't be read. The bytes are those
// that the programs wrote before evacuations existed.
func TestEarlierLogsAndSnapshots(t *testing.T) {
	oldCommand := []byte("\x00\x00\x00\x00\x00\x00\x01\x02document")
	newMachine := func() *stateMachine { return &stateMachine{onChange: func() {}, logger: zap.NewNop()} }
	m := newMachine()
	if got := m.Apply(1, oldCommand); got != uint64(0x102) {
		t.Errorf("an earlier command gives %v", got)
	}
	if snapshot, err := m.Snapshot(); err != nil || !slices.Equal(snapshot, oldCommand) {
		t.Errorf("a snapshot without evacuations is %q, want that of earlier versions, %v", snapshot, err)
	}
	for name, snapshot := range map[string][]byte{"empty": nil, "with a document": oldCommand} {
		m := newMachine()
		m.Apply(1, failuredomain.Order{Domain: "a", Evacuate: true}.Encode())
		if err := m.Restore(snapshot); err != nil {
			t.Fatal(name, err)
		}
		version, document := m.current()
		if want := snapshot != nil; (version == 0x102 && string(document) == "document") != want || !m.evacuations.IsEmpty() {
			t.Errorf("%s: version %d, document %q, %v", name, version, document, m.evacuations.List())
		}
	}
}

// Guards against a snapshot, taken before or after evacuations, that does not restore the desired
// state and the evacuations, and against commands that are taken for others.
func TestSnapshotsOfEvacuations(t *testing.T) {
	order := func(domain string, evacuate bool, base uint64) []byte {
		return failuredomain.Order{Domain: domain, Evacuate: evacuate, Base: base}.Encode()
	}
	commands := [][]byte{
		order("a", true, 0), desired.Command(5, []byte("five")), order("b", true, 0), order("a", false, 1), order("a", true, 0),
		desired.Command(7, []byte("seven")), order("c", false, 0), order("b", false, 1),
	}
	whole := &stateMachine{onChange: func() {}, logger: zap.NewNop()}
	for _, c := range commands {
		if err, failed := whole.Apply(0, c).(error); failed {
			t.Fatal(err)
		}
	}
	for n := range len(commands) + 1 {
		first, second := &stateMachine{onChange: func() {}, logger: zap.NewNop()}, &stateMachine{onChange: func() {}, logger: zap.NewNop()}
		for _, c := range commands[:n] {
			first.Apply(0, c)
		}
		snapshot, err := first.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := second.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		for _, c := range commands[n:] {
			second.Apply(0, c)
		}
		if diff := cmp.Diff(whole.evacuations.List(), second.evacuations.List()); diff != "" ||
			second.evacuations.Revision() != whole.evacuations.Revision() {
			t.Errorf("restored after %d commands: %s", n, diff)
		}
		if version, document := second.current(); version != 7 || string(document) != "seven" {
			t.Errorf("restored after %d commands: version %d, document %q", n, version, document)
		}
	}
	if _, failed := whole.Apply(0, []byte("\x80\x00\x00\x00\x00\x00\x00\x07x")).(error); !failed {
		t.Error("a command of an unknown kind is applied")
	}
	if err := whole.Restore([]byte("\x80\x00\x00\x00\x00\x00\x00\x07x")); err == nil {
		t.Error("a snapshot of an unknown kind is restored")
	}
}
