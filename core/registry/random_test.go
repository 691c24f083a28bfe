package registry

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
)

// checker runs random commands and checks the invariants of their results.
type checker struct {
	t           *testing.T
	rng         *rand.Rand
	registry    *Registry
	now         time.Duration // real time
	clockOffset time.Duration // offset of the proposer's clock
	proposer    uint64
	log         [][]byte
	winners     map[message.Revision]string
	owners      map[string]message.RequestID // key to the request that holds CallNew
	expires     map[string]time.Duration
	fencing     map[string]uint64
	leaseEnd    map[string]time.Duration // backend server to the end of the lease at its holder
	holder      map[string]string
}

func (c *checker) run(cmd Command) any {
	c.now += time.Duration(c.rng.Intn(400)) * time.Millisecond
	switch c.rng.Intn(600) {
	case 0: // The clock of the current leader jumps back.
		c.clockOffset -= time.Duration(c.rng.Intn(5000)) * time.Millisecond
	case 1: // The leader changes to one whose clock is ahead or behind.
		c.proposer = (c.proposer + uint64(c.rng.Intn(2)) + 1) % 3
		c.clockOffset = time.Duration(c.rng.Intn(100000)-50000) * time.Millisecond
	}
	cmd.Time, cmd.Proposer = c.now+c.clockOffset, c.proposer
	b, err := EncodeCommand(&cmd)
	if err != nil {
		c.t.Fatal(err)
	}
	revision, clock, sequence := c.registry.Revision(), c.registry.Clock(), c.registry.Members().Sequence
	c.log = append(c.log, b)
	result := c.registry.Apply(uint64(len(c.log)), b)
	if c.registry.Revision() < revision || c.registry.Clock() < clock || c.registry.Members().Sequence < sequence {
		c.t.Fatalf("command %d: revision, clock or membership sequence decreased", len(c.log))
	}
	return result
}

func (c *checker) runChange() {
	id := fmt.Sprintf("c%d", c.rng.Intn(400))
	expected := c.registry.Revision() - min(c.registry.Revision(), message.Revision(c.rng.Intn(3)))
	reply := c.run(Command{ChangeConfig: &ChangeConfig{ChangeID: id, Operator: "op", Expected: expected,
		Set: declareServers(c.rng.Intn(3) + 3)}}).(message.ApplyReply)
	if !reply.Accepted {
		return
	}
	if other, taken := c.winners[reply.Revision]; taken && other != id || reply.Revision != expected+1 {
		c.t.Fatalf("revision %d produced by %s and %s", reply.Revision, other, id)
	}
	c.winners[reply.Revision] = id
}

func (c *checker) runCall() {
	key := fmt.Sprintf("k%d", c.rng.Intn(30))
	request := message.RequestID(fmt.Sprintf("r%d", c.rng.Intn(60)))
	if c.rng.Intn(3) == 0 {
		result := c.run(Command{FinishCall: &FinishCall{Caller: "a", Key: key, Request: request,
			Release: c.rng.Intn(2) == 0}})
		if _, ok := result.(message.FinishCallReply); ok && c.owners[key] == request {
			if _, known := c.registry.calls.records[callKey{"a", key}]; !known {
				delete(c.owners, key)
			}
		}
		return
	}
	reply := c.run(Command{BeginCall: &BeginCall{Caller: "a", Key: key, BodyDigest: "d", Request: request,
		Retention: time.Minute}}).(message.BeginCallReply)
	owner, held := c.owners[key]
	if reply.State != message.CallNew {
		return
	}
	if held && owner != request && c.registry.Clock() < c.expires[key] {
		c.t.Fatalf("command %d: key %s given to %s while %s holds it", len(c.log), key, request, owner)
	}
	if !held || owner != request {
		c.owners[key], c.expires[key] = request, c.registry.Clock()+time.Minute
	}
}

// runLease acquires or renews a lease. Each holder counts its lease from the time
// of the request, with a clock that runs up to 1.5% slow.
func (c *checker) runLease() {
	server, name := fmt.Sprintf("s%d", c.rng.Intn(3)), fmt.Sprintf("h%d", c.rng.Intn(4))
	reply, ok := c.run(Command{Lease: &Lease{BackendServer: server, Host: name, Incarnation: 1,
		Duration: time.Duration(c.rng.Intn(20000)+1) * time.Millisecond, Renew: c.rng.Intn(2) == 0}}).(message.LeaseReply)
	if !ok || !reply.Granted {
		return
	}
	if c.holder[server] != name && c.now < c.leaseEnd[server] {
		c.t.Fatalf("command %d: %s granted to %s while %s holds it", len(c.log), server, name, c.holder[server])
	}
	if reply.Fencing < c.fencing[server] || reply.Fencing == c.fencing[server] && c.holder[server] != name {
		c.t.Fatalf("command %d: fencing number %d after %d", len(c.log), reply.Fencing, c.fencing[server])
	}
	c.holder[server], c.fencing[server] = name, reply.Fencing
	c.leaseEnd[server] = max(c.leaseEnd[server], c.now+reply.Duration+reply.Duration*15/1000)
}

func (c *checker) runOther() {
	name := fmt.Sprintf("h%d", c.rng.Intn(4))
	digest := fmt.Sprintf("d%d", c.rng.Intn(20))
	switch c.rng.Intn(7) {
	case 6:
		c.runEvacuate()
	case 0:
		c.run(Command{Reports: []host.Report{{Host: name, Incarnation: message.Incarnation(c.rng.Intn(3)),
			FailureDomain:  "far",
			BackendServers: []message.BackendServerStatus{{Name: "s1", Healthy: true, Leaving: c.rng.Intn(4) == 0}}}}})
	case 1:
		c.run(Command{SetLeaving: &SetLeaving{Host: name, Leaving: c.rng.Intn(2) == 0}})
	case 2:
		c.run(Command{DeadHosts: []DeadHost{{Host: name, Incarnation: 1}}})
	case 3:
		c.run(Command{RecordCrash: &RecordCrash{CrashID: fmt.Sprint(c.rng.Intn(1000)), InFlight: []string{digest, "d0"}}})
	case 4:
		c.run(Command{RecordCrash: &RecordCrash{Cleared: []string{digest}}})
	case 5:
		c.run(Command{LoadSlot: &LoadSlot{BackendServer: digest, Host: name, Duration: time.Second}})
		if n := len(c.registry.slots.ByServer); n > MaxLoadSlots {
			c.t.Fatalf("%d load slots in use", n)
		}
	}
}

// runEvacuate applies an order that is up to two orders late. An order takes effect only
// at the revision that it names, and only for a known failure domain.
func (c *checker) runEvacuate() {
	domain := []string{"d", "far", "unknown"}[c.rng.Intn(3)]
	before := c.registry.evacuations.DomainRevision(domain)
	evacuated := c.isEvacuated(domain)
	order := &Evacuate{Domain: domain, Evacuate: c.rng.Intn(2) == 0, Base: before - min(before, uint64(c.rng.Intn(3)))}
	known := c.registry.failureDomains()[domain]
	reply, ok := c.run(Command{Evacuate: order}).(message.EvacuateReply)
	effective := ok && !reply.Conflict
	if ok != known || domain == "unknown" && ok || ok && effective != (order.Base == before) {
		c.t.Fatalf("command %d: %+v at revision %d, known %v: %+v", len(c.log), order, before, known, reply)
	}
	want := evacuated
	if effective {
		want = order.Evacuate
	}
	if c.isEvacuated(domain) != want || effective && reply.Changed != (evacuated != want) {
		c.t.Fatalf("command %d: %+v, evacuated before %v: %+v", len(c.log), order, evacuated, reply)
	}
}

func (c *checker) isEvacuated(domain string) bool {
	set := c.registry.EvacuationsSince(0)
	return set != nil && set.Contains(domain)
}

// TestRandomCommands guards against a state that depends on anything other than the
// log, and against violations of the invariants that checker verifies.
func TestRandomCommands(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		c := &checker{t: t, rng: rand.New(rand.NewSource(seed)), registry: New(), now: 1e18,
			winners: map[message.Revision]string{}, owners: map[string]message.RequestID{},
			expires: map[string]time.Duration{}, fencing: map[string]uint64{},
			leaseEnd: map[string]time.Duration{}, holder: map[string]string{}}
		restored, from := New(), 0
		for step := 0; step < 2000; step++ {
			[]func(){c.runChange, c.runCall, c.runCall, c.runLease, c.runLease, c.runOther}[c.rng.Intn(6)]()
			if c.rng.Intn(300) == 0 {
				snapshot := mustSnapshot(t, c.registry)
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
				from = len(c.log)
			}
		}
		replayed := New()
		for i, b := range c.log {
			replayed.Apply(uint64(i+1), b)
			if i >= from {
				restored.Apply(uint64(i+1), b)
			}
		}
		want := mustSnapshot(t, c.registry)
		if !bytes.Equal(want, mustSnapshot(t, replayed)) || !bytes.Equal(want, mustSnapshot(t, restored)) {
			t.Fatalf("seed %d: state differs after replay or restore", seed)
		}
	}
}

func mustSnapshot(t *testing.T, r *Registry) []byte {
	t.Helper()
	b, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}
