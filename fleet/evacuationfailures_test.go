package fleet

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against loss of an acknowledged evacuation or of its end when all members are killed, when
// the disks that the group tolerates to lose are lost, and when a member joins afterwards.
func TestEvacuationsSurvive(t *testing.T) {
	g := startEvacuationGroup(t)
	g.members[g.seeds[0]].order(t, "a", true)
	g.members[g.seeds[1]].order(t, "b", true)
	g.members[g.seeds[2]].order(t, "a", false)
	for _, address := range g.seeds {
		g.kill(address)
	}
	for _, address := range g.seeds {
		g.start(address, false)
	}
	g.checkEvacuated("b")
	g.members[g.seeds[0]].order(t, "c", true)
	lost := g.leader()
	g.kill(lost)
	if err := os.RemoveAll(g.members[lost].folder); err != nil {
		t.Fatal(err)
	}
	g.start(lost, false)
	g.checkEvacuated("b", "c")
	g.start(freeAddress(t), false)
	g.checkEvacuated("b", "c")
	if got := g.members[lost].get(t); got != string(document(1, "one")) {
		t.Errorf("desired state %s", got)
	}
}

// putUntilSnapshot publishes documents until the log has passed the size that triggers a snapshot.
func (m *testMember) putUntilSnapshot(t *testing.T) {
	t.Helper()
	noise := make([]byte, snapshotBytes/2)
	rng := rand.New(rand.NewSource(1))
	for v := uint64(2); v <= 8; v++ {
		for i := range noise {
			noise[i] = byte('0' + rng.Intn(64))
		}
		m.put(t, document(v, string(noise)))
	}
}

// Guards against a daemon that starts to serve with the desired state of a member's old snapshot,
// and without the evacuations that were acknowledged since.
func TestStartingDaemonGetsBoth(t *testing.T) {
	g := startEvacuationGroup(t)
	g.members[g.seeds[0]].putUntilSnapshot(t)
	for _, address := range g.seeds {
		eventually(t, "the member has a snapshot", func() bool {
			return g.members[address].node.Load().Status().SnapshotIndex > 0
		})
	}
	g.members[g.seeds[0]].order(t, "a", true)
	g.checkEvacuated("a")
	for _, address := range g.seeds {
		g.kill(address)
	}
	w := g.startWatcher(t)
	var unknown, ready atomic.Bool
	w.OnChange(func(v *View) {
		if v.Table != nil && !ready.Swap(true) {
			unknown.Store(!v.IsEvacuated("a"))
		}
	})
	g.start(g.seeds[0], false)
	time.Sleep(unconfirmedHold / 4)
	g.start(g.seeds[1], false)
	eventually(t, "the daemon has a desired state", ready.Load)
	if unknown.Load() {
		t.Error("the daemon has a desired state and does not know the evacuation")
	}
	// Without a quorum, daemons that start get what the member knows.
	g.kill(g.seeds[1])
	g.kill(g.seeds[0])
	g.start(g.seeds[0], false)
	late := g.startWatcher(t)
	eventually(t, "the daemon has a desired state", func() bool { return late.View().Table != nil })
}

// Guards against a daemon that starts to serve with what a member knew when it was cut off.
func TestStartingDaemonAvoidsAMemberThatIsCutOff(t *testing.T) {
	g := startEvacuationGroup(t)
	cutOff := g.members[g.seeds[0]]
	cutOff.evacuated(t)
	g.kill(g.seeds[1])
	g.kill(g.seeds[2])
	eventually(t, "the member is not sure", func() bool { return !cutOff.isSure() })
	for _, request := range []WatchRequest{{}, {AcceptsUnconfirmed: true}, {Version: 0, WantsEvacuations: true}} {
		var reply WatchReply
		if err := (&service{cutOff.Control}).Watch(&request, &reply); err != nil {
			t.Fatal(err)
		}
		if given := reply.Document != nil; given != request.AcceptsUnconfirmed {
			t.Errorf("accepts unconfirmed %v: desired state given %v", request.AcceptsUnconfirmed, given)
		}
	}
	w := g.startWatcher(t)
	eventually(t, "the daemon has a desired state", func() bool { return w.View().Table != nil })
	if waited := SinceBoot() - w.startedAt; waited < unconfirmedHold {
		t.Errorf("the daemon had an unconfirmed desired state after %v", waited)
	}
}

// Guards against a process without a disk that does not know the evacuations, which it needs for
// orders that it forwards, or that does not forward them.
func TestProcessWithoutDiskForwardsOrders(t *testing.T) {
	g := startEvacuationGroup(t)
	members := g.members
	configure := g.configure
	g.configure = func(o *ControlOptions) {
		configure(o)
		o.DataFolder = ""
	}
	g.members = map[string]*testMember{}
	proxy := g.start(freeAddress(t), false)
	for address, m := range members {
		g.members[address] = m
	}
	for _, evacuate := range []bool{true, false, false, true} {
		proxy.order(t, "a", evacuate)
		eventually(t, "the process knows it", func() bool {
			return proxy.watcher.View().IsEvacuated("a") == evacuate && (proxy.countEvacuated() == 1) == evacuate
		})
	}
	delayed, err := proxy.newOrder("a", false)
	if err != nil {
		t.Fatal(err)
	}
	if delayed.Base == 0 {
		t.Error("orders that the process forwards have no base")
	}
	if err := proxy.EndEvacuation(context.Background(), "d"); !errors.Is(err, failuredomain.ErrUnknown) {
		t.Errorf("order for d: %v", err)
	}
}

// Guards against a member that gets the desired state by a snapshot without the evacuations.
func TestJoiningMemberGetsEvacuationsBySnapshot(t *testing.T) {
	g := startEvacuationGroup(t)
	m := g.members[g.seeds[0]]
	m.order(t, "a", true)
	m.putUntilSnapshot(t)
	// Members that run keep entries from before a snapshot in memory, and would send these.
	for _, address := range g.seeds {
		g.kill(address)
	}
	for _, address := range g.seeds {
		g.start(address, false)
	}
	g.checkEvacuated("a")
	joined := g.start(freeAddress(t), false)
	if got := joined.evacuated(t); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%q evacuated", got)
	}
	if joined.node.Load().Status().SnapshotIndex == 0 {
		t.Error("the member joined without a snapshot")
	}
}

// Guards against an order that is lost or refused because the leader died between commit and
// acknowledgment, or because only the acknowledgment was lost.
func TestRepeatedOrders(t *testing.T) {
	g := startEvacuationGroup(t)
	// The order is committed, and nobody hears of it.
	first := g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := g.members[first].proposeOrder(ctx, failuredomain.Order{Domain: "a", Evacuate: true}); err != nil {
		t.Fatal(err)
	}
	g.kill(first)
	for address, m := range g.members {
		if address != first {
			m.order(t, "a", true)
		}
	}
	restarted := g.start(first, false)
	g.checkEvacuated("a")
	// An order of a member that lags behind conflicts, and is acknowledged within the same call.
	if _, err := restarted.commitOrder(ctx, failuredomain.Order{Domain: "a", Evacuate: true}); err != nil {
		t.Errorf("an order with an old base: %v", err)
	}
	for _, m := range g.members {
		if m.evacuationRevision() != 1 {
			t.Errorf("revision %d of the set after one change and its repeats", m.evacuationRevision())
		}
	}
}

// Guards against an order that waits for a lost leader although the next one is known.
func TestOrderFollowsTheLeader(t *testing.T) {
	g := startEvacuationGroup(t)
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	server, pool := wire.NewServer(l), wire.NewPool(nil)
	defer func() { server.Close(); pool.Close() }()
	c, err := NewControl(ControlOptions{Address: l.Addr().String(), Seeds: g.seedsOf(), Codec: testCodec{}, Pool: pool,
		Dial: wire.DialTCP, Server: server, Logger: zap.NewNop(), Metrics: observe.NewMetrics()})
	if err != nil {
		t.Fatal(err)
	}
	leader := g.leader()
	eventually(t, "an order is acknowledged while its operator waits", func() bool {
		c.watcher.SetLeader(newUnresponsiveListener(t))
		time.AfterFunc(5*evacuationSettleDelay, func() { c.watcher.SetLeader(leader) })
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		return c.StartEvacuation(ctx, "a") == nil
	})
	g.checkEvacuated("a")
}

// Guards against orders of two operators at once of which one is never acknowledged, and against
// members that differ afterwards.
func TestConcurrentOrders(t *testing.T) {
	g := startEvacuationGroup(t)
	for round := range 5 {
		var calls sync.WaitGroup
		for i, m := range []*testMember{g.members[g.seeds[0]], g.members[g.seeds[1]], g.members[g.seeds[2]]} {
			for j := range 2 {
				calls.Go(func() { m.order(t, "a", (i+j+round)%2 == 0) })
			}
		}
		calls.Wait()
		want := g.members[g.seeds[0]].evacuated(t)
		g.checkEvacuated(want...)
		g.members[g.seeds[round%3]].order(t, "a", false)
		g.checkEvacuated()
	}
}

// Guards against an order that takes effect after a later one was acknowledged: one that was delayed
// on its way to the leader, and one of an operator whose call ended before it was proposed.
func TestDelayedOrders(t *testing.T) {
	g := startEvacuationGroup(t)
	pool := wire.NewPool(nil)
	defer pool.Close()
	deliver := func(order failuredomain.Order) EvacuateReply {
		t.Helper()
		var reply EvacuateReply
		eventually(t, "the leader answers", func() bool {
			reply = EvacuateReply{}
			err := pool.Call(context.Background(), g.leader(), ServiceName+".Evacuate", &EvacuateRequest{order}, &reply)
			return err == nil
		})
		return reply
	}
	m := g.members[g.seeds[0]]
	neverBegun, err := m.newOrder("a", true)
	if err != nil {
		t.Fatal(err)
	}
	m.order(t, "a", false)
	if reply := deliver(neverBegun); !reply.Outcome.Conflict {
		t.Errorf("an order from before an acknowledged end: %+v", reply)
	}
	m.order(t, "a", true)
	m.evacuated(t)
	delayedStart, err := m.newOrder("a", true)
	if err != nil {
		t.Fatal(err)
	}
	m.order(t, "a", false)
	if reply := deliver(delayedStart); !reply.Outcome.Conflict {
		t.Errorf("a delayed order: %+v", reply)
	}
	// The end of the operator's connection is read just after the order.
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(evacuationSettleDelay/4, cancel)
	if err := m.StartEvacuation(ctx, "a"); err == nil {
		t.Error("an order whose operator is gone is acknowledged")
	}
	time.Sleep(100 * time.Millisecond)
	g.checkEvacuated()
}

// Guards against an acknowledgment without a quorum, also of an order that holds already.
func TestNoAcknowledgmentWithoutQuorum(t *testing.T) {
	g := startEvacuationGroup(t)
	survivor := g.members[g.seeds[0]]
	survivor.order(t, "a", true)
	survivor.evacuated(t)
	g.kill(g.seeds[1])
	g.kill(g.seeds[2])
	for _, evacuate := range []bool{true, false} {
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		if err := survivor.takeOrder(ctx, "a", evacuate); err == nil || errors.Is(err, failuredomain.ErrUnknown) {
			t.Errorf("evacuate %v: %v", evacuate, err)
		}
		cancel()
	}
}

// Guards against orders for failure domains that do not exist, at a member and at a leader, and
// against log lines as long as a name that is refused.
func TestUnknownFailureDomain(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	c := &Control{options: ControlOptions{DataFolder: "d", Logger: zap.New(core)}, stateMachine: &stateMachine{},
		metrics: controlMetrics{evacuationsRefused: &expvar.Int{}}}
	if err := c.StartEvacuation(context.Background(), strings.Repeat("d", 1<<16)); !errors.Is(err, failuredomain.ErrUnknown) {
		t.Errorf("order for a name of 64 KiB: %v", err)
	}
	if lines := logs.All(); len(lines) != 1 || len(fmt.Sprint(lines[0].ContextMap())) > 4096 {
		t.Errorf("%d log lines, the first of %d bytes", len(lines), len(fmt.Sprint(lines[0].ContextMap())))
	}
	g := startEvacuationGroup(t)
	for _, m := range g.members {
		if err := m.StartEvacuation(context.Background(), "d"); !errors.Is(err, failuredomain.ErrUnknown) {
			t.Errorf("order for d: %v", err)
		}
	}
	g.checkEvacuated()
	// Settings without failure domains: the leader counts those that orders named.
	g = newTestGroup(t, 1)
	m := g.start(g.seeds[0], true)
	for i := range 64 {
		m.order(t, fmt.Sprint(i), i%2 == 0)
	}
	if err := m.StartEvacuation(context.Background(), "another"); !errors.Is(err, failuredomain.ErrUnknown) {
		t.Errorf("order for the 65th failure domain: %v", err)
	}
	var reply EvacuateReply
	request := &EvacuateRequest{failuredomain.Order{Domain: "another", Evacuate: true}}
	if err := (&service{m.Control}).Evacuate(request, &reply); err != nil || reply.Refused == "" ||
		strings.Contains(reply.Refused, failuredomain.ErrUnknown.Error()) {
		t.Errorf("the leader takes the 65th failure domain, or repeats the cause: %+v, %v", reply, err)
	}
}
