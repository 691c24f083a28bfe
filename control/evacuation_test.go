package control

import (
	"context"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

// declareDomain declares the failure domain "pinecrest".
func (f *fixture) declareDomain(t *testing.T) {
	t.Helper()
	reply, err := f.ApplySections(&message.ApplyRequest{ChangeID: "d", Operator: "op",
		Sections: map[string]map[string]string{"failure-domain pinecrest": {"region": "r"}}})
	if err != nil || !reply.Accepted {
		t.Fatalf("%+v %v", reply, err)
	}
}

// TestEvacuationOrders guards against orders that are accepted without the credential, a
// commit or a known failure domain, and against orders that no counter shows.
func TestEvacuationOrders(t *testing.T) {
	f := newFixture(t)
	f.declareDomain(t)
	quorumLost := verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "timed out")
	steps := []struct {
		name       string
		follower   bool
		proposeErr error
		request    message.EvacuateRequest
		want       message.EvacuateReply
		text       string // of the error
		counter    string
	}{
		{"wrong credential", false, nil, message.EvacuateRequest{Credential: "x", Domain: "pinecrest", Evacuate: true},
			message.EvacuateReply{}, "unauthorized", "refused"},
		{"unknown domain", false, nil, message.EvacuateRequest{Domain: "pine", Evacuate: true},
			message.EvacuateReply{}, `"pine" is not known; known are pinecrest`, "refused"},
		{"long name", false, nil, message.EvacuateRequest{Domain: strings.Repeat("x", 2000), Evacuate: true},
			message.EvacuateReply{}, "more than 1024 bytes", "refused"},
		{"follower", true, nil, message.EvacuateRequest{Domain: "pinecrest", Evacuate: true},
			message.EvacuateReply{}, "not leader 127.0.0.1:7", ""},
		{"no quorum", false, quorumLost, message.EvacuateRequest{Domain: "pinecrest", Evacuate: true},
			message.EvacuateReply{}, "no_quorum", "unanswered"},
		{"start", false, nil, message.EvacuateRequest{Domain: "pinecrest", Evacuate: true},
			message.EvacuateReply{Changed: true, Revision: 1}, "", "acknowledged"},
		{"start again", false, nil, message.EvacuateRequest{Domain: "pinecrest", Evacuate: true, Base: 1},
			message.EvacuateReply{Revision: 2}, "", "acknowledged"},
		{"no quorum, already in effect", false, quorumLost,
			message.EvacuateRequest{Domain: "pinecrest", Evacuate: true, Base: 2},
			message.EvacuateReply{}, "no_quorum", "unanswered"},
		{"delayed end", false, nil, message.EvacuateRequest{Domain: "pinecrest", Base: 1},
			message.EvacuateReply{Conflict: true, Revision: 2}, "", "conflicting"},
	}
	counters := func() map[string]int64 {
		m := f.metrics
		return map[string]int64{"refused": m.evacuationsRefused.Value(), "unanswered": m.evacuationsUnanswered.Value(),
			"acknowledged": m.evacuationsAcknowledged.Value(), "conflicting": m.evacuationConflicts.Value()}
	}
	for _, s := range steps {
		f.log.follower, f.log.proposeErr = s.follower, s.proposeErr
		if s.request.Credential == "" {
			s.request.Credential = "secret"
		}
		before := counters()
		var reply message.EvacuateReply
		err := f.call("Evacuate", &s.request, &reply)
		reply.Header = message.Header{}
		if (err == nil) != (s.text == "") || err != nil && !strings.Contains(err.Error(), s.text) || reply != s.want {
			t.Errorf("%s: %+v, %v", s.name, reply, err)
		}
		for name, n := range counters() {
			if (n-before[name] == 1) != (name == s.counter) || n-before[name] > 1 {
				t.Errorf("%s: counter %s went from %d to %d", s.name, name, before[name], n)
			}
		}
	}
}

// TestEvacuationsReachDaemons guards against a heartbeat or a first configuration without
// the evacuations, and against a list that is called current without a quorum.
func TestEvacuationsReachDaemons(t *testing.T) {
	f := newFixture(t)
	f.declareDomain(t)
	beat := func(seen uint64) *message.EvacuationSet {
		t.Helper()
		var reply message.HeartbeatReply
		request := &message.HeartbeatRequest{Header: message.Header{Host: "h", Incarnation: 1}, EvacuationsSeen: seen}
		if err := f.call("Heartbeat", request, &reply); err != nil {
			t.Fatal(err)
		}
		return reply.Evacuations
	}
	if set := beat(0); set != nil {
		t.Errorf("before the first order: %+v", set)
	}
	request := message.EvacuateRequest{Credential: "secret", Domain: "pinecrest", Evacuate: true}
	if err := f.call("Evacuate", &request, &message.EvacuateReply{}); err != nil {
		t.Fatal(err)
	}
	if set := beat(0); set == nil || set.Revision != 1 || !set.Contains("pinecrest") {
		t.Errorf("heartbeat after the order: %+v", set)
	}
	if set := beat(1); set != nil {
		t.Errorf("heartbeat of a daemon that knows the order: %+v", set)
	}
	var config message.ConfigReply
	if err := f.call("Config", &message.ConfigRequest{}, &config); err != nil ||
		config.Evacuations == nil || !config.Evacuations.Contains("pinecrest") {
		t.Errorf("configuration: %+v %v", config.Evacuations, err)
	}
	request.Evacuate, request.Base = false, 1
	if err := f.call("Evacuate", &request, &message.EvacuateReply{}); err != nil {
		t.Fatal(err)
	}
	if set := beat(1); set == nil || set.Revision != 2 || len(set.Domains) != 0 {
		t.Errorf("heartbeat after the end: %+v", set)
	}
	for _, barrierErr := range []error{nil, errors.New("no quorum"), context.DeadlineExceeded} {
		f.log.barrierErr = barrierErr
		var list message.EvacuationsReply
		if err := f.call("Evacuations", &message.EvacuationsRequest{}, &list); err != nil ||
			list.Current != (barrierErr == nil) || len(list.Domains) != 1 || list.Domains[0].Revision != 2 {
			t.Errorf("barrier %v: %+v %v", barrierErr, list, err)
		}
	}
}
