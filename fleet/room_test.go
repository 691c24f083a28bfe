package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serviceroom"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// engineTokens is the memory of an engine in these tests.
const engineTokens = 10000

// engineCodec decodes documents like testCodec, and adds a service of engines and a plain one.
type engineCodec struct{ testCodec }

func (c engineCodec) Decode(document []byte) (*desired.State, error) {
	s, err := c.testCodec.Decode(document)
	if err == nil {
		s.Services = []desired.Service{{Name: "llm", Engine: &desired.Engine{MemoryTokens: engineTokens}}, {Name: "desk"}}
	}
	return s, err
}

// engines returns n listed engines in two failure domains.
func engines(n int) (servers []backend.Server) {
	for i := range n {
		servers = append(servers, backend.Server{ID: fmt.Sprint("i-", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i),
			FailureDomain: fmt.Sprint("z", i%2)})
	}
	return servers
}

// loadReport is an agent's report of the memory in use.
func loadReport(address string, used int, leaving bool) backend.Report {
	return backend.Report{Address: address, Leaving: leaving, Load: backend.Load{Running: 1, UsedTokens: used, TotalTokens: engineTokens}}
}

// Guards against room that is granted at engines which leave, are evacuated, fail or belong to
// another service, against memory on leaving engines for which no room is kept, and against a wait
// for room at other engines because of what runs at evacuated or failing ones.
func TestCapacityOfAService(t *testing.T) {
	table := desired.NewTable(&desired.State{Services: []desired.Service{
		{Name: "llm", Engine: &desired.Engine{MemoryTokens: 7000}}, {Name: "idle", Engine: &desired.Engine{}}, {Name: "desk"}}})
	l := newServerList("a")
	servers := engines(7)
	servers[1].Leaving = true
	servers[5].FailureDomain = "evacuated"
	servers = append(servers, backend.Server{ID: "d-1", Service: "desk", Address: "10.0.1.1:1"})
	for i, used := range []int{1000, 2000, 4000, 0, 300, 8000, 9000} {
		if i != 3 {
			l.recordReport(loadReport(servers[i].Address, used, i == 2), time.Second)
		}
	}
	l.setServers(servers, time.Second)
	got := l.capacities(table, map[string]bool{"evacuated": true, "z0": false}, map[string]bool{"i-6": true})
	want := map[string]serviceroom.Capacity{"idle": {}, "llm": {Engines: 3, Total: 2*engineTokens + 7000 + 8000 + 9000, Used: 1300,
		Leaving: 6000, Fullest: 1000}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// newRoomTable returns the table of a member that leads in term 1 since a time, with the capacity
// of four engines.
func newRoomTable(now time.Duration, used int) *roomTable {
	t := &roomTable{source: "m", notify: func() {}, logger: zap.NewNop(), metrics: newRoomMetrics(observe.NewMetrics())}
	t.lead(now, 1)
	t.setCapacities(now, fourEngines(used))
	return t
}

// fourEngines returns the capacity of four engines, of each of which so much is in use.
func fourEngines(used int) map[string]serviceroom.Capacity {
	return map[string]serviceroom.Capacity{"llm": {Engines: 4, Total: 4 * engineTokens, Used: 4 * used, Fullest: used}}
}

// received returns the view of a watcher of this table.
func (t *roomTable) received() *View {
	var reply WatchReply
	t.fillReply(Stamp{}, &reply)
	w := NewWatcher(WatcherOptions{Logger: zap.NewNop()})
	_ = w.mergeReply(&reply, 0)
	return w.View()
}

// waitingRenewal is the renewal of an entry at which one generation waits.
func waitingRenewal(entry string, need int) serviceroom.Renewal {
	return serviceroom.Renewal{Entry: entry, Waiting: []serviceroom.Demand{{ID: 1, Caller: "team", Digest: 7, Need: need,
		Patience: 30 * time.Second}}}
}

// Guards against leases of two leaders at the same time, against a full service that entries take
// for one with room because the leader changed, and against a flag that outlasts its reason.
func TestNewLeaderLearnsBeforeItGrants(t *testing.T) {
	now := time.Hour
	const s = time.Second
	old := newRoomTable(now, 9000)
	old.setCapacities(now+2*s, fourEngines(9000))
	view := old.received()
	if !view.Tight["llm"] {
		t.Fatalf("a full service is not tight: %v", view)
	}
	next := &roomTable{source: "n", notify: func() {}, logger: zap.NewNop(), metrics: newRoomMetrics(observe.NewMetrics())}
	next.copyFrom(view)
	if _, leads := next.renew(now, "llm", waitingRenewal("e1", 2000)); leads {
		t.Error("a member that does not lead granted a lease")
	}
	now += 3 * s
	next.lead(now, 2)
	// The agents have not reported to the new leader yet.
	next.setCapacities(now, fourEngines(0))
	if view := next.received(); !view.Tight["llm"] {
		t.Error("the new leader forgot that the service is tight")
	}
	grant, leads := next.renew(now+s/2, "llm", waitingRenewal("e1", 2000))
	if !leads || len(grant.Decisions) > 0 || !grant.Tight {
		t.Errorf("granted %+v, leads: %v", grant, leads)
	}
	next.lead(now+s/2, 2)
	next.setCapacities(now+s/2, fourEngines(9000))
	next.setCapacities(now+s, fourEngines(9000))
	admitted := false
	for at := now + s; at < now+5*s; at += s / 10 {
		next.setCapacities(at, fourEngines(9000))
		grant, _ := next.renew(at, "llm", waitingRenewal("e1", 2000))
		admitted = admitted || grant.Decisions[1].Admit
	}
	if !admitted {
		t.Error("the new leader admits nothing")
	}
	for at := now + 5*s; at < now+9*s; at += s / 10 {
		next.setCapacities(at, fourEngines(0))
	}
	if view := next.received(); view.Tight["llm"] || view.TightStamp.Source != "n/2" {
		t.Errorf("after the load: %v, %v", view.Tight, view.TightStamp)
	}
	next.copyFrom(&View{})
	if _, leads := next.renew(now+9*s, "llm", waitingRenewal("e1", 2000)); leads {
		t.Error("a member that stopped leading granted a lease")
	}
}

// Guards against entries that admit everything after all control members were lost, because none
// knows any more which services are tight.
func TestLeaderWithoutMemoryLearnsBeforeItGrants(t *testing.T) {
	table := newRoomTable(0, 9000)
	if grant, leads := table.renew(time.Second/2, "llm", waitingRenewal("e1", 2000)); !leads || !grant.Tight || len(grant.Decisions) > 0 {
		t.Errorf("granted %+v, leads: %v", grant, leads)
	}
	if table.stamp != (Stamp{}) {
		t.Errorf("published as %v before it knew", table.stamp)
	}
	for at := serviceroom.LeaseLifetime; at < 4*time.Second; at += loadPublishInterval {
		table.setCapacities(at, fourEngines(100))
	}
	if view := table.received(); view.Tight["llm"] || view.TightStamp == (Stamp{}) {
		t.Errorf("with room: %v, %v", view.Tight, view.TightStamp)
	}
}

// Guards against publications without a change, which each entry would receive, against services
// that stay tight after they are gone, and against gauges of a member that no longer leads.
func TestTightServicesArePublishedOnce(t *testing.T) {
	table := newRoomTable(0, 9000)
	table.setCapacities(2*time.Second, fourEngines(9000))
	stamp := table.stamp
	for at := 2 * time.Second; at < 3*time.Second; at += loadPublishInterval {
		table.setCapacities(at, fourEngines(9000))
	}
	if table.stamp != stamp || stamp.Number == 0 {
		t.Errorf("published as %v, then as %v", stamp, table.stamp)
	}
	if got := table.metrics.tight.String(); got != `{"llm":1}` {
		t.Errorf("tight: %s", got)
	}
	table.setCapacities(3*time.Second, map[string]serviceroom.Capacity{})
	if view := table.received(); len(view.Tight) > 0 || len(table.ledgers) > 0 {
		t.Errorf("%v tight, %d ledgers", view.Tight, len(table.ledgers))
	}
	table.setCapacities(3*time.Second, fourEngines(0))
	table.copyFrom(&View{})
	if got := table.metrics.grantable.String(); got != `{}` {
		t.Errorf("grantable: %s", got)
	}
}

// roomGroup is a group of three members, with four engines that report.
type roomGroup struct {
	*testGroup
	used atomic.Int64
}

func newRoomGroup(t *testing.T, on bool) *roomGroup {
	g := &roomGroup{testGroup: newTestGroup(t, 3)}
	g.directory.servers = engines(4)
	g.configure = func(o *ControlOptions) { o.Codec, o.AdmitsServiceWide = engineCodec{}, on }
	for _, address := range g.seeds {
		g.start(address, true)
	}
	return g
}

// startEntry starts the watcher of an entry that needs to know which services are tight.
func (g *roomGroup) startEntry(t *testing.T) *Watcher {
	pool := wire.NewPool(nil)
	w := NewWatcher(WatcherOptions{Seeds: g.seedsOf(), Codec: engineCodec{}, Pool: pool, Logger: zap.NewNop(), WantsTight: true})
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	t.Cleanup(func() { cancel(); pool.Close() })
	return w
}

// report sends the engines' reports to the leader that a watcher knows, until the test ends.
func (g *roomGroup) report(t *testing.T, w *Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	pool := wire.NewPool(nil)
	var done sync.WaitGroup
	done.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
			for _, s := range engines(4) {
				report := &ReportRequest{Report: loadReport(s.Address, int(g.used.Load()), false)}
				callCtx, stop := context.WithTimeout(ctx, time.Second)
				_ = pool.Call(callCtx, w.View().Leader, ServiceName+".Report", report, &ReportReply{})
				stop()
			}
		}
	})
	t.Cleanup(func() { cancel(); pool.Close(); done.Wait() })
}

// Guards against entries that do not learn, or learn only after a wait, that a service is tight,
// that lose this with the leader, or that get no room from the next one or after the load.
func TestTightFlagReachesEntriesAndSurvivesTheLeader(t *testing.T) {
	g := newRoomGroup(t, true)
	one, other := g.startEntry(t), g.startEntry(t)
	g.members[g.seeds[0]].put(t, document(1, "one"))
	g.report(t, one)
	eventually(t, "the daemons have the list", func() bool { return len(one.View().Servers) == 4 && len(other.View().Servers) == 4 })
	if len(one.View().Tight) > 0 {
		t.Errorf("tight without load: %v", one.View().Tight)
	}
	g.used.Store(9000)
	eventually(t, "the entries know that the service is tight", func() bool { return one.View().Tight["llm"] && other.View().Tight["llm"] })
	admits := func(w *Watcher, entry string) bool {
		grant, err := w.AcquireRoom(context.Background(), "llm", waitingRenewal(entry, 2000))
		return err == nil && grant.Tight && grant.Decisions[1].Admit
	}
	eventually(t, "a generation is admitted", func() bool { return admits(one, "e1") })

	follower, leader := "", one.View().Leader
	for _, address := range g.seeds {
		if address != leader {
			follower = address
		}
	}
	var reply RoomReply
	request := &RoomRequest{Service: "llm", Renewal: waitingRenewal("e1", 2000)}
	if err := one.options.Pool.Call(context.Background(), follower, ServiceName+".AcquireRoom", request, &reply); err != nil ||
		reply.Decided || reply.Leader != leader {
		t.Errorf("a member that does not lead replied %+v, %v", reply, err)
	}

	var lost atomic.Bool
	other.OnChange(func(v *View) {
		if !v.Tight["llm"] {
			lost.Store(true)
		}
	})
	g.kill(leader)
	eventually(t, "another member leads", func() bool { v := other.View().Leader; return v != "" && v != leader })
	eventually(t, "the new leader admits a generation", func() bool { return admits(other, "e2") })
	if lost.Load() {
		t.Error("the entry took the service for one with room while the leader changed")
	}
	g.used.Store(100)
	eventually(t, "the entries know that there is room", func() bool { return !one.View().Tight["llm"] && !other.View().Tight["llm"] })
}

// Guards against leases of a leader that a quorum no longer follows.
func TestNoLeasesWithoutAQuorum(t *testing.T) {
	g := newRoomGroup(t, true)
	w := g.startEntry(t)
	g.members[g.seeds[0]].put(t, document(1, "one"))
	leader := ""
	eventually(t, "the leader renews leases", func() bool {
		leader = w.View().Leader
		_, err := w.AcquireRoom(context.Background(), "llm", waitingRenewal("e1", 2000))
		return err == nil && leader != ""
	})
	for _, address := range g.seeds {
		if address != leader {
			g.kill(address)
		}
	}
	eventually(t, "the confirmation is too old", func() bool { _, ok := g.members[leader].confirmedTerm(); return !ok })
	w.SetLeader(leader)
	if grant, err := w.AcquireRoom(context.Background(), "llm", waitingRenewal("e1", 2000)); err == nil {
		t.Errorf("granted %+v", grant)
	}
}

// Guards against watches that grow, or members that grant, where the settings do not ask for it.
func TestNoTightFlagWhenSwitchedOff(t *testing.T) {
	g := newRoomGroup(t, false)
	w := g.startEntry(t)
	g.members[g.seeds[0]].put(t, document(1, "one"))
	g.used.Store(9900)
	g.report(t, w)
	eventually(t, "the loads are known", func() bool { return len(w.View().Reports) == 4 })
	member := g.members[w.View().Leader]
	eventually(t, "the leader knows the loads", func() bool {
		var reply WatchReply
		member.fillReply(&WatchRequest{WantsTight: true}, SinceBoot(), &reply)
		if reply.HasTight || len(reply.Tight) > 0 {
			t.Fatalf("published %v", reply.Tight)
		}
		return len(reply.Reports) == 4
	})
	if _, err := w.AcquireRoom(context.Background(), "llm", waitingRenewal("e1", 2000)); err == nil {
		t.Error("granted a lease")
	}
}

// BenchmarkAcquireRoomMessage measures the bytes of a renewal of a busy entry and its answer.
func BenchmarkAcquireRoomMessage(b *testing.B) {
	renewal := serviceroom.Renewal{Entry: "front-hall-12", Seq: 1 << 40, Running: map[string]int{}, Generations: 6, Lease: 30000}
	grant := serviceroom.Grant{Lease: 30000, Valid: time.Second, Tight: true, FreeIn: time.Second, Decisions: map[uint64]serviceroom.Decision{}}
	for i := range 8 {
		renewal.Running[fmt.Sprint("caller-", i)] = 3800
		renewal.Waiting = append(renewal.Waiting, serviceroom.Demand{ID: uint64(i), Caller: fmt.Sprint("caller-", i), Digest: 1 << 62,
			Need: 3800, Age: time.Second, Patience: time.Second})
		grant.Decisions[uint64(i)] = serviceroom.Decision{RetryAfter: time.Second, Room: 4000, Share: 8000}
	}
	size := 0
	for b.Loop() {
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		if encoder.Encode(&RoomRequest{"llm", renewal}) != nil || encoder.Encode(&RoomReply{Decided: true, Grant: grant}) != nil {
			b.Fatal("not encoded")
		}
		size = buffer.Len()
	}
	b.ReportMetric(float64(size), "bytes")
}
