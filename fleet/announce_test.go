package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

// startForwarder starts a control process on a host without a disk.
func (g *testGroup) startForwarder(address string) *Control {
	g.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		g.t.Fatal(err)
	}
	server, pool := wire.NewServer(l), wire.NewPool(nil)
	c, err := NewControl(ControlOptions{Address: address, Seeds: g.seedsOf(), MinVoters: 3,
		Codec: testCodec{}, Directory: g.directory, Pool: pool, Dial: wire.DialTCP, Server: server, Logger: zap.NewNop(),
		Metrics: observe.NewMetrics()})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve()
	go func() { _ = c.Run(ctx) }()
	g.t.Cleanup(func() { cancel(); server.Close(); pool.Close() })
	return c
}

// Guards against a deployment that never serves again after a loss of all processes, because
// all seeds have been exchanged for control processes without a disk, which know no member.
func TestSeedsWithoutADisk(t *testing.T) {
	g := newTestGroup(t, 3)
	members := g.seeds
	for _, address := range members {
		g.start(address, true)
	}
	g.members[members[0]].put(t, document(1, "one"))
	for _, address := range members {
		g.kill(address)
	}
	g.seeds = nil
	for range 3 {
		g.seeds = append(g.seeds, freeAddress(t))
	}
	var forwarders []*Control
	for _, address := range g.seeds {
		forwarders = append(forwarders, g.startForwarder(address))
	}
	w := g.startWatcher(t)
	for _, address := range members {
		g.start(address, false)
	}
	eventually(t, "a daemon gets the desired state", func() bool { return w.View().Version == 1 })
	eventually(t, "a confirmation", func() bool { _, ok := w.ConfirmedAge(); return ok })
	for _, c := range forwarders {
		eventually(t, "a process without a disk forwards a read", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			got, err := c.Get(ctx)
			return err == nil && string(got) == string(document(1, "one"))
		})
	}
	// A member whose disk was lost finds the group by the same seeds.
	g.kill(members[2])
	delete(g.members, members[2])
	lost := g.start(members[2], false)
	eventually(t, "a member with an empty disk joins", func() bool { return lost.node.Load() != nil })
}
