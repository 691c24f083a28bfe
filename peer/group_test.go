package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// cutConn is a connection between two control members whose writes fail while one
// of them is cut off.
type cutConn struct {
	net.Conn
	cut []*atomic.Bool
}

func (c cutConn) Write(p []byte) (int, error) {
	for _, cut := range c.cut {
		if cut.Load() {
			return 0, errors.New("connection cut by the test")
		}
	}
	return c.Conn.Write(p)
}

// testGroup is a control group of three members. Daemons can still reach a member
// that is cut off from the others.
type testGroup struct {
	addresses []string
	nodes     []*control.Node
	services  []*control.Service
	cut       []atomic.Bool
}

func newTestGroup(ctx context.Context, t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{cut: make([]atomic.Bool, 3), nodes: make([]*control.Node, 3)}
	members := map[consensus.MemberID]string{}
	var listeners []net.Listener
	for i := range 3 {
		l := listen(t)
		listeners = append(listeners, l)
		g.addresses = append(g.addresses, l.Addr().String())
		members[consensus.MemberID(i+1)] = l.Addr().String()
	}
	for i, l := range listeners {
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := wire.DialTCP(ctx, address)
			return cutConn{conn, []*atomic.Bool{&g.cut[i], &g.cut[indexOf(g.addresses, address)]}}, err
		}
		machine := control.NewRegistryMachine()
		node, err := control.StartNode(control.NodeConfig{Folder: t.TempDir(), ID: consensus.MemberID(i + 1), Members: members,
			Dial: dial, TickInterval: 20 * time.Millisecond}, machine)
		if err != nil {
			t.Fatal(err)
		}
		service := control.NewService(control.Options{Log: node, Machine: machine,
			Header: func() message.Header {
				return message.Header{Host: fmt.Sprint("control", i), PeerAddress: g.addresses[i]}
			}})
		server := wire.NewServer(l)
		if err := server.Register(control.ServiceName, service); err != nil {
			t.Fatal(err)
		}
		if err := node.Register(server); err != nil {
			t.Fatal(err)
		}
		go server.Serve()
		go service.Run(ctx)
		g.nodes[i], g.services = node, append(g.services, service)
		t.Cleanup(func() { server.Close(); node.Stop() })
	}
	return g
}

func indexOf(list []string, want string) int {
	for i, s := range list {
		if s == want {
			return i
		}
	}
	return 0
}

// applyChange applies a change at any member that is not cut off and returns the
// index of the member that accepted it.
func (g *testGroup) applyChange(t *testing.T, expected message.Revision) (leader int) {
	t.Helper()
	request := &message.ApplyRequest{ChangeID: fmt.Sprint(expected), Operator: "op", Expected: expected,
		Sections: map[string]map[string]string{fmt.Sprint("service s", expected): {"kind": "plain"}}}
	eventually(t, "accepted change", func() bool {
		for i, s := range g.services {
			if reply, err := s.ApplySections(request); !g.cut[i].Load() && err == nil && reply.Accepted {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

func beginCall(ctx context.Context, s *State, request message.RequestID) (message.CallState, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var reply message.BeginCallReply
	err := s.CallControl(ctx, "BeginCall", &message.BeginCallRequest{
		Key: message.CallKey{Caller: "c", Key: "k"}, BodyDigest: "d", Request: request}, &reply)
	return reply.State, err
}

// TestPartitionedLeader guards against faults while the leader is partitioned from
// the other members but not from the daemons: a change that does not reach the
// daemons, a restarted daemon that rolls back its configuration or is ready too
// early, and a call that is assigned to two requests.
func TestPartitionedLeader(t *testing.T) {
	ctx := testContext(t)
	g := newTestGroup(ctx, t)
	oldLeader := g.applyChange(t, 0)
	all := newDaemon(ctx, t, "all", g.addresses...)
	isolated := newDaemon(ctx, t, "isolated", g.addresses[oldLeader])
	eventually(t, "ready", func() bool { return all.Ready() && isolated.Ready() })
	if state, err := beginCall(ctx, all, "r1"); err != nil || state != message.CallNew {
		t.Fatalf("%v %v", state, err)
	}
	g.cut[oldLeader].Store(true)
	if leader := g.applyChange(t, 1); leader == oldLeader {
		t.Fatal("the member that is cut off accepted a change")
	}
	eventually(t, "revision 2 at a daemon that reaches all members", func() bool { return all.Revision() == 2 })
	for request, want := range map[message.RequestID]message.CallState{"r1": message.CallNew, "r2": message.CallStarted} {
		if state, err := beginCall(ctx, all, request); err != nil || state != want {
			t.Errorf("request %s: state %v, %v", request, state, err)
		}
	}
	if _, err := beginCall(ctx, isolated, "r3"); err == nil || verdict.Of(err) == verdict.Ran {
		t.Errorf("call without a quorum: %v", err)
	}
	restarted := newDaemon(ctx, t, "restarted", g.addresses[oldLeader])
	time.Sleep(time.Second)
	if restarted.Revision() != 0 || restarted.Ready() || isolated.Revision() != 1 || !isolated.Ready() {
		t.Errorf("cut off: revisions %d and %d", restarted.Revision(), isolated.Revision())
	}
	restarted.Observe(all.Header())
	isolated.Observe(all.Header())
	eventually(t, "revision 2 from a peer", func() bool { return restarted.Revision() == 2 && isolated.Revision() == 2 })
	if restarted.Ready() {
		t.Error("ready without a confirmation")
	}
	g.cut[oldLeader].Store(false)
	eventually(t, "confirmation", restarted.Ready)
	if state, err := beginCall(ctx, restarted, "r4"); err != nil || state != message.CallStarted {
		t.Errorf("after the partition healed: state %v, %v", state, err)
	}
}
