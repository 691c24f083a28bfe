package peer

import (
	"context"
	"testing"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
)

// evacuate commits an order.
func (m *member) evacuate(t *testing.T, domain string, evacuate bool, base uint64) {
	t.Helper()
	command, err := registry.EncodeCommand(&registry.Command{
		Evacuate: &registry.Evacuate{Domain: domain, Evacuate: evacuate, Base: base}})
	if err != nil {
		t.Fatal(err)
	}
	result, err := m.Propose(context.Background(), command)
	if reply, ok := result.(message.EvacuateReply); err != nil || !ok || !reply.Changed {
		t.Fatalf("%+v %v", result, err)
	}
}

// TestEvacuationReachesDaemons guards against a running daemon that does not learn of an
// evacuation, a starting one that knows configuration or members before it, and a daemon
// that forgets it when the control group is out of reach.
func TestEvacuationReachesDaemons(t *testing.T) {
	ctx := testContext(t)
	leader := newMember(ctx, t, "")
	reply, err := leader.ApplySections(&message.ApplyRequest{ChangeID: "c", Operator: "op",
		Sections: map[string]map[string]string{"failure-domain pinecrest": {"region": "r"}}})
	if err != nil || !reply.Accepted {
		t.Fatalf("%+v %v", reply, err)
	}
	running := newDaemon(ctx, t, "running", leader.address)
	eventually(t, "ready", running.Ready)
	changes := make(chan message.EvacuationSet, 8)
	running.OnEvacuations(ctx, func(set message.EvacuationSet) { changes <- set })
	if first := <-changes; first.Revision != 0 {
		t.Errorf("before the order: %+v", first)
	}
	leader.evacuate(t, "pinecrest", true, 0)
	eventually(t, "evacuation known", func() bool { return running.Evacuations().Contains("pinecrest") })

	starting := newDaemon(ctx, t, "starting", leader.address)
	starting.OnConfig(ctx, func(c *contract.Config) {
		if !starting.Evacuations().Contains("pinecrest") {
			t.Errorf("revision %d is in force before the evacuation is known", c.Revision)
		}
	})
	starting.OnMembers(ctx, func(members []message.Member) {
		if len(members) > 0 && !starting.Evacuations().Contains("pinecrest") {
			t.Error("members are known before the evacuation")
		}
	})
	eventually(t, "ready with members", func() bool { return starting.Ready() && len(starting.Members()) == 2 })

	leader.evacuate(t, "pinecrest", false, 1)
	eventually(t, "end known", func() bool {
		return len(running.Evacuations().Domains) == 0 && len(starting.Evacuations().Domains) == 0
	})
	for _, want := range []uint64{1, 2} {
		if set := <-changes; set.Revision != want {
			t.Errorf("revision %d was announced, want %d", set.Revision, want)
		}
	}
	leader.evacuate(t, "pinecrest", true, 2)
	eventually(t, "evacuation known again", func() bool { return running.Evacuations().Contains("pinecrest") })
	leader.cutOff.Store(true)
	behind := newDaemon(ctx, t, "behind", leader.address)
	eventually(t, "heartbeat without a quorum", func() bool { return len(behind.Members()) > 0 })
	if !running.Evacuations().Contains("pinecrest") || behind.Ready() {
		t.Errorf("%+v known without a quorum, starting daemon ready: %v", running.Evacuations(), behind.Ready())
	}
}
