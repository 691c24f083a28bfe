package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/settings"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// member is a control member that has a quorum by itself, unless it is cut off.
type member struct {
	*control.LocalLog
	*control.Service
	address string
	leader  string
	cutOff  atomic.Bool
}

func (m *member) Leader() (string, bool) { return m.leader, m.leader == m.address }

func (m *member) Barrier(ctx context.Context) error {
	if m.cutOff.Load() {
		return errors.New("no quorum")
	}
	return nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(t *testing.T, l net.Listener, name string, service any) {
	t.Helper()
	server := wire.NewServer(l)
	if err := server.Register(name, service); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
}

// newMember starts a control member. If leader is the address of another member,
// it is a follower.
func newMember(ctx context.Context, t *testing.T, leader string) *member {
	t.Helper()
	l := listen(t)
	machine := control.NewRegistryMachine()
	m := &member{address: l.Addr().String(), leader: leader}
	if leader == "" {
		m.leader = m.address
	}
	m.LocalLog = control.NewLocalLog(m.address, machine)
	m.Service = control.NewService(control.Options{Log: m, Machine: machine,
		Header: func() message.Header { return message.Header{Host: "control", PeerAddress: m.address} }})
	serve(t, l, control.ServiceName, m.Service)
	go m.Run(ctx)
	return m
}

func (m *member) applyChange(t *testing.T, expected message.Revision) {
	t.Helper()
	sections := map[string]map[string]string{}
	for i := range expected + 1 {
		sections[fmt.Sprintf("service s%d", i)] = map[string]string{"kind": "plain"}
	}
	reply, err := m.ApplySections(&message.ApplyRequest{ChangeID: fmt.Sprint(expected), Operator: "op",
		Expected: expected, Sections: sections})
	if err != nil || !reply.Accepted {
		t.Fatalf("%+v %v", reply, err)
	}
}

func newDaemon(ctx context.Context, t *testing.T, name string, controlAddresses ...string) *State {
	t.Helper()
	l := listen(t)
	pool := wire.NewPool(nil)
	ctx, cancel := context.WithCancel(ctx)
	s, err := Start(ctx, Options{Pool: pool, Incarnation: 1, Settings: settings.Settings{Daemon: settings.Daemon{
		Host: name, PeerListen: l.Addr().String(), ControlAddresses: controlAddresses,
		Roles: []settings.Role{settings.RoleEntry}}}})
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l, ServiceName, s.Service())
	t.Cleanup(func() { cancel(); <-s.Done(); pool.Close() })
	return s
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(11 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 11 s: %s", description)
		}
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx
}

// TestChangeReachesDaemons guards against changes that do not come into force or
// come into force out of order, and against membership and quarantine changes that
// daemons do not see.
func TestChangeReachesDaemons(t *testing.T) {
	ctx := testContext(t)
	leader := newMember(ctx, t, "")
	follower := newMember(ctx, t, leader.address)
	a, b := newDaemon(ctx, t, "a", follower.address, leader.address), newDaemon(ctx, t, "b", "127.0.0.1:1", follower.address)
	var last atomic.Uint64
	a.OnConfig(ctx, func(c *contract.Config) {
		if uint64(c.Revision) < last.Load() {
			t.Errorf("revision %d after %d", c.Revision, last.Load())
		}
		last.Store(uint64(c.Revision))
	})
	if a.Ready() || a.Config() != nil {
		t.Error("ready without a configuration")
	}
	for revision := message.Revision(0); revision < 3; revision++ {
		leader.applyChange(t, revision)
		start := time.Now()
		eventually(t, "revision in force", func() bool { return a.Revision() > revision && b.Revision() > revision })
		t.Logf("revision %d in force at both after %v", revision+1, time.Since(start))
	}
	eventually(t, "callback, membership and readiness", func() bool {
		_, known := a.Member("b")
		return known && last.Load() == 3 && len(a.Members()) == 2 && len(b.Members()) == 2 && a.Ready() && b.Ready()
	})
	for _, crash := range []string{"1", "2"} {
		request, reply := &message.CrashReport{BackendServer: "s", Crash: crash, InFlight: []string{"d"}}, &message.CrashReply{}
		if err := a.CallControl(ctx, "ReportCrash", request, reply); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "quarantine seen", func() bool {
		until, suspect, held := b.Quarantined("d")
		return until > 59*time.Minute && !suspect && held
	})
	a.SetLeaving(ctx)
	eventually(t, "leaving seen", func() bool { return b.Members()[0].State == message.MemberLeaving })
}

// TestCutOffControl guards against a daemon that reaches only a control member
// without a quorum after a restart, and then puts an older revision in force than
// its peers show or is ready before a confirmation.
func TestCutOffControl(t *testing.T) {
	ctx := testContext(t)
	leader, cutOff := newMember(ctx, t, ""), newMember(ctx, t, "")
	leader.applyChange(t, 0)
	cutOff.applyChange(t, 0)
	cutOff.cutOff.Store(true)
	leader.applyChange(t, 1)
	running := newDaemon(ctx, t, "running", leader.address)
	eventually(t, "ready", running.Ready)
	restarted := newDaemon(ctx, t, "restarted", cutOff.address)
	eventually(t, "heartbeat at the cut-off member", func() bool { return len(restarted.Members()) == 1 })
	if restarted.Revision() != 0 || restarted.Ready() {
		t.Fatalf("revision %d in force from a cut-off member", restarted.Revision())
	}
	restarted.Observe(running.Header())
	eventually(t, "revision from the peer", func() bool { return restarted.Revision() == 2 })
	if restarted.Ready() {
		t.Error("ready without a confirmation")
	}
	cutOff.cutOff.Store(false)
	cutOff.applyChange(t, 1)
	eventually(t, "confirmation", restarted.Ready)
}

// TestCallControl guards against a call that retries only at a dead member or a
// follower, and against a verdict that ignores an earlier attempt.
func TestCallControl(t *testing.T) {
	ctx := testContext(t)
	leader := newMember(ctx, t, "")
	follower := newMember(ctx, t, leader.address)
	s := newDaemon(ctx, t, "a", "127.0.0.1:1", follower.address)
	beginCall := func(key string, timeout time.Duration) (message.BeginCallReply, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var reply message.BeginCallReply
		return reply, s.CallControl(ctx, "BeginCall",
			&message.BeginCallRequest{Key: message.CallKey{Key: key}, Request: "r"}, &reply)
	}
	if _, err := beginCall("", 5*time.Second); verdict.From(err).Reason != verdict.ReasonInvalid ||
		verdict.Of(err) != verdict.NotRun {
		t.Errorf("refusal by the leader: %v", err)
	}
	var reply message.BeginCallReply
	if err := s.CallControl(ctx, "BeginCall",
		&message.BeginCallRequest{Key: message.CallKey{Key: "k"}, Request: "r"}, &reply); err != nil ||
		reply.State != message.CallNew {
		t.Errorf("%+v %v", reply, err)
	}
	unconnected := newDaemon(ctx, t, "b", "127.0.0.1:1")
	s = unconnected
	if _, err := beginCall("k", 300*time.Millisecond); verdict.Of(err) != verdict.NotRun ||
		verdict.From(err).RetryAfter <= 0 {
		t.Errorf("no reachable member: %v", err)
	}
	silent := listen(t)
	defer silent.Close()
	s = newDaemon(ctx, t, "c", silent.Addr().String())
	if _, err := beginCall("k", 300*time.Millisecond); verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("member that does not reply: %v", err)
	}
}
