package peerstate

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
)

// sectionsAt returns the sections of a revision, which has one service for each
// revision up to it.
func sectionsAt(revision message.Revision) contract.Sections {
	s := contract.Sections{}
	for i := message.Revision(1); i <= revision; i++ {
		s[fmt.Sprintf("service s%d", i)] = map[string]string{"kind": "plain"}
	}
	return s
}

func configReply(from, revision message.Revision, current, snapshot bool) *message.ConfigReply {
	reply := &message.ConfigReply{Revision: revision, Current: current}
	if snapshot {
		reply.Snapshot, _ = registry.EncodeSections(sectionsAt(revision))
		return reply
	}
	for i := from + 1; i <= revision; i++ {
		set, removed := registry.ComputeDelta(sectionsAt(i-1), sectionsAt(i))
		reply.Deltas = append(reply.Deltas, message.ConfigDelta{Revision: i, Set: set, Removed: removed})
	}
	return reply
}

// TestFaults guards against a configuration that is rolled back or older than a
// revision seen at a peer, and against a daemon that is ready before a control
// member with a quorum confirmed its configuration.
func TestFaults(t *testing.T) {
	observed := func(r message.Revision) func(*Syncer) {
		return func(s *Syncer) { s.ObserveHeader(0, message.Header{Revision: r, PeerAddress: "p"}) }
	}
	fetched := func(kind ActionKind, reply *message.ConfigReply, failed bool) func(*Syncer) {
		return func(s *Syncer) {
			s.FinishFetch(0, Action{Kind: kind, Address: "x"}, reply, Outcome{Failed: failed})
		}
	}
	control, peer := FetchFromControl, FetchFromPeer
	tests := map[string]struct {
		events []func(*Syncer)
		want   string // revision in force, ready, services
	}{
		"confirmed": {[]func(*Syncer){
			fetched(control, configReply(0, 3, true, false), false),
		}, "3 true 3"},
		"snapshot": {[]func(*Syncer){
			fetched(control, configReply(0, 3, true, true), false),
		}, "3 true 3"},
		"reply of a partitioned member": {[]func(*Syncer){
			fetched(control, configReply(0, 3, false, true), false),
		}, "0 false 0"},
		"older than a revision seen at a peer": {[]func(*Syncer){
			observed(5),
			fetched(control, configReply(0, 3, true, true), false),
		}, "0 false 0"},
		"newest revision from a peer": {[]func(*Syncer){
			observed(5),
			fetched(peer, configReply(0, 5, false, true), false),
		}, "5 false 5"},
		"older revision from a peer": {[]func(*Syncer){
			observed(5),
			fetched(peer, configReply(0, 4, false, true), false),
		}, "0 false 0"},
		"peer, then partitioned member": {[]func(*Syncer){
			observed(5),
			fetched(peer, configReply(0, 5, false, true), false),
			fetched(control, configReply(0, 4, false, true), false),
		}, "5 false 5"},
		"peer, then delayed reply": {[]func(*Syncer){
			observed(5),
			fetched(peer, configReply(0, 5, false, true), false),
			fetched(control, configReply(0, 4, true, true), false),
		}, "5 true 5"},
		"partitioned member is ahead": {[]func(*Syncer){
			fetched(control, configReply(0, 7, false, true), false),
			fetched(peer, configReply(0, 6, false, true), false),
		}, "0 false 0"},
		"delta": {[]func(*Syncer){
			fetched(control, configReply(0, 2, true, true), false),
			observed(4),
			fetched(control, configReply(2, 4, true, false), false),
		}, "4 true 4"},
		"no new revision": {[]func(*Syncer){
			fetched(control, configReply(0, 2, true, true), false),
			fetched(control, configReply(2, 2, true, false), false),
		}, "2 true 2"},
		"gap in the deltas": {[]func(*Syncer){
			fetched(control, configReply(0, 2, true, true), false),
			observed(5),
			fetched(control, configReply(3, 5, true, false), false),
		}, "2 true 2"},
		"gap, then all deltas": {[]func(*Syncer){
			fetched(control, configReply(0, 2, true, true), false),
			observed(5),
			fetched(control, configReply(3, 5, true, false), false),
			fetched(control, configReply(0, 5, true, false), false),
		}, "5 true 5"},
		"malformed snapshot": {[]func(*Syncer){
			fetched(control, &message.ConfigReply{Revision: 3, Current: true, Snapshot: []byte{0xff}}, false),
		}, "0 false 0"},
		"failed call": {[]func(*Syncer){
			fetched(control, configReply(0, 3, true, true), true),
		}, "0 false 0"},
		"group without a configuration": {[]func(*Syncer){
			fetched(control, configReply(0, 0, true, true), false),
		}, "0 false 0"},
		"older reply to a running daemon": {[]func(*Syncer){
			fetched(control, configReply(0, 4, true, true), false),
			fetched(control, configReply(0, 3, true, true), false),
		}, "4 true 4"},
	}
	for name, test := range tests {
		s := New([]string{"x"}, rand.New(rand.NewSource(1)))
		for _, event := range test.events {
			event(s)
		}
		if state := fmt.Sprint(s.Revision(), s.Ready(), len(s.Config().Services)); state != test.want {
			t.Errorf("%s: got %s, want %s (%v)", name, state, test.want, s.FetchError())
		}
	}
}

// TestSources guards against a daemon that calls only unresponsive control
// members, or that requests deltas again that it could not apply.
func TestSources(t *testing.T) {
	s := New([]string{"x", "y"}, rand.New(rand.NewSource(1)))
	s.FinishFetch(0, Action{Kind: FetchFromControl}, configReply(0, 2, true, true), Outcome{})
	s.ObserveHeader(0, message.Header{Revision: 4, PeerAddress: "late"})
	s.ObserveHeader(0, message.Header{Revision: 5, PeerAddress: "p"})
	asked := map[string]bool{}
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		for _, a := range s.Tick(now) {
			if a.Kind == SendHeartbeat {
				continue
			}
			asked[a.Address] = true
			if from := message.Revision(2); len(asked) == 1 && a.From != from || len(asked) > 1 && a.From != 0 {
				t.Errorf("%+v after %v", a, asked)
			}
			// Deltas without revision 3 cannot be applied.
			s.FinishFetch(now, a, configReply(3, 5, a.Kind == FetchFromControl, false), Outcome{})
		}
	}
	if !asked["x"] || !asked["y"] || !asked["p"] {
		t.Errorf("asked %v", asked)
	}
}

// TestSource guards against a daemon that serves a snapshot that differs from its
// own configuration.
func TestSource(t *testing.T) {
	control := FetchFromControl
	for _, snapshot := range []bool{false, true} {
		s := New([]string{"x"}, rand.New(rand.NewSource(1)))
		s.FinishFetch(0, Action{Kind: control}, configReply(0, 2, true, snapshot), Outcome{})
		for revision := message.Revision(3); revision < 2*maxDeltas+9; revision++ {
			reply := configReply(revision-1, revision, true, false)
			reply.Deltas[0].Removed = append(reply.Deltas[0].Removed, fmt.Sprintf("service s%d", revision-2))
			s.FinishFetch(0, Action{Kind: control}, reply, Outcome{})
			other := New([]string{"x"}, rand.New(rand.NewSource(1)))
			copied := &message.ConfigReply{Revision: revision, Current: true}
			copied.Snapshot, _ = s.Snapshot()
			other.FinishFetch(0, Action{Kind: control}, copied, Outcome{})
			if len(s.Deltas()) > maxDeltas || s.Deltas()[len(s.Deltas())-1].Revision != revision ||
				s.Revision() != revision || len(s.Config().Services) != 2 ||
				!reflect.DeepEqual(s.Config(), other.Config()) {
				t.Fatalf("revision %d: %d services, the other daemon %d (%v, %v)", revision, len(s.Config().Services),
					len(other.Config().Services), s.FetchError(), other.FetchError())
			}
		}
	}
}

// TestTargets guards against a daemon that keeps calling an unresponsive member,
// or that loops between two members that name each other as the leader.
func TestTargets(t *testing.T) {
	targets := NewMemberSelector([]string{"a", "b", "c"}, 0)
	steps := []struct {
		do   func(at string)
		want string
	}{
		{func(string) {}, "a"},
		{func(at string) { targets.Failed(at) }, "b"},
		{func(at string) { targets.Redirected(at, "c") }, "c"},
		{func(at string) { targets.Succeeded(at) }, "c"},
		{func(at string) { targets.Failed(at) }, "b"},
		{func(at string) { targets.Redirected(at, "a") }, "a"},
		{func(at string) { targets.Redirected(at, "b") }, "b"},
		{func(at string) { targets.Redirected(at, "a") }, "c"},
		{func(at string) { targets.Redirected(at, "") }, "a"},
		{func(at string) { targets.Redirected(at, "new") }, "new"},
		{func(at string) { targets.Failed(at) }, "b"},
	}
	for i, s := range steps {
		s.do(targets.Pick())
		if got := targets.Pick(); got != s.want {
			t.Fatalf("step %d: %s, want %s", i, got, s.want)
		}
	}
}

// TestCopies guards against a membership or quarantine list that the reply of an
// outdated leader rolls back.
func TestCopies(t *testing.T) {
	s := New([]string{"x"}, rand.New(rand.NewSource(1)))
	beat := func(sequence uint64, state message.MemberState, quarantine uint64, hold time.Duration, reset bool) {
		s.FinishHeartbeat(0, "x", &message.HeartbeatReply{
			Sequence: sequence, QuarantineSequence: quarantine, QuarantineReset: reset,
			Members:    []message.Member{{Host: "h", Sequence: sequence, State: state}},
			Quarantine: []message.Quarantine{{Digest: fmt.Sprint("d", quarantine), For: hold}}}, Outcome{})
	}
	beat(5, message.MemberLeaving, 5, time.Minute, false)
	beat(4, message.MemberLive, 4, time.Minute, true)
	if got := s.Members(); got[0].State != message.MemberLeaving || len(s.Quarantine(0)) != 1 {
		t.Errorf("an older reply changed the copy: %+v %v", got, s.Quarantine(0))
	}
	if a := s.Tick(time.Hour)[0]; a.MembershipSeen != 5 || a.QuarantineSeen != 5 {
		t.Errorf("an older reply lowered the sequences: %+v", a)
	}
	beat(6, message.MemberLive, 6, time.Hour, false)
	if s.Members()[0].State != message.MemberLive || len(s.Quarantine(0)) != 2 || len(s.Quarantine(2*time.Minute)) != 1 {
		t.Errorf("%+v %v", s.Members(), s.Quarantine(0))
	}
	beat(7, message.MemberLive, 7, time.Hour, true)
	if len(s.Quarantine(0)) != 1 {
		t.Errorf("reset kept %v", s.Quarantine(0))
	}
}

// TestEvacuations guards against an evacuation that a delayed reply ends or starts
// again, and against a daemon that is ready before it knows the evacuations.
func TestEvacuations(t *testing.T) {
	set := func(revision uint64, domains ...string) *message.EvacuationSet {
		return &message.EvacuationSet{Revision: revision, Domains: domains}
	}
	beat := func(current bool, e *message.EvacuationSet) func(*Syncer) {
		return func(s *Syncer) {
			s.FinishHeartbeat(0, "x", &message.HeartbeatReply{Current: current, Evacuations: e}, Outcome{})
		}
	}
	fetched := func(current bool, e *message.EvacuationSet) func(*Syncer) {
		return func(s *Syncer) {
			reply := configReply(0, 1, current, true)
			reply.Evacuations = e
			s.FinishFetch(0, Action{Kind: FetchFromControl, Address: "x"}, reply, Outcome{})
		}
	}
	lost := func(s *Syncer) {
		s.FinishHeartbeat(0, "x", &message.HeartbeatReply{Evacuations: set(9, "lost")}, Outcome{Failed: true})
	}
	tests := map[string]struct {
		events []func(*Syncer)
		want   string // revision, domains, ready
	}{
		"nothing known":                    {nil, "0 [] false"},
		"with the first configuration":     {[]func(*Syncer){fetched(true, set(3, "a"))}, "3 [a] true"},
		"start and end":                    {[]func(*Syncer){beat(true, set(1, "a")), beat(true, set(2))}, "2 [] false"},
		"delayed start":                    {[]func(*Syncer){beat(true, set(2)), beat(true, set(1, "a"))}, "2 [] false"},
		"delayed configuration":            {[]func(*Syncer){beat(true, set(2)), fetched(true, set(1, "a"))}, "2 [] true"},
		"unchanged":                        {[]func(*Syncer){beat(true, set(1, "a")), beat(true, nil)}, "1 [a] false"},
		"older programs send none":         {[]func(*Syncer){fetched(true, nil), beat(true, nil)}, "0 [] true"},
		"member without a quorum, newer":   {[]func(*Syncer){beat(false, set(1, "a")), beat(false, set(2, "b"))}, "2 [b] false"},
		"member without a quorum, older":   {[]func(*Syncer){beat(true, set(2, "a")), beat(false, set(1))}, "2 [a] false"},
		"fetch at a member that lags":      {[]func(*Syncer){fetched(false, set(1, "a"))}, "1 [a] false"},
		"failed call carries nothing":      {[]func(*Syncer){beat(true, set(1, "a")), lost}, "1 [a] false"},
		"two domains, one of them returns": {[]func(*Syncer){beat(true, set(2, "a", "b")), beat(true, set(3, "b"))}, "3 [b] false"},
	}
	for name, test := range tests {
		s := New([]string{"x"}, rand.New(rand.NewSource(1)))
		for _, event := range test.events {
			event(s)
		}
		e := s.Evacuations()
		if got := fmt.Sprint(e.Revision, e.Domains, s.Ready()); got != test.want {
			t.Errorf("%s: got %s, want %s", name, got, test.want)
		}
		if a := s.Tick(time.Hour)[0]; a.Kind != SendHeartbeat || a.EvacuationsSeen != e.Revision {
			t.Errorf("%s: the next heartbeat names revision %d, want %d", name, a.EvacuationsSeen, e.Revision)
		}
	}
}

// TestRandomFleet guards against daemons whose revision decreases, or that do not
// converge on the newest revision after the faults end. Control member 0 is
// partitioned from the others.
func TestRandomFleet(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		rng := rand.New(rand.NewSource(seed))
		revision := message.Revision(1)
		fleet := make([]*Syncer, 6)
		restart := func(i int) {
			fleet[i] = New([]string{"c0", "c1", "c2"}, rand.New(rand.NewSource(rng.Int63())))
		}
		for i := range fleet {
			restart(i)
		}
		for now := time.Duration(0); now < 5*time.Minute; now += 50 * time.Millisecond {
			faults := now < 4*time.Minute
			if faults && rng.Intn(100) == 0 {
				revision++
			}
			if faults && rng.Intn(500) == 0 {
				restart(rng.Intn(len(fleet)))
			}
			for i, s := range fleet {
				before, ready := s.Revision(), s.Ready()
				step(rng, now, s, fleet, revision, faults)
				if s.Revision() < before || s.Revision() > before && s.Revision() < s.HighestSeen() || ready && !s.Ready() {
					t.Fatalf("seed %d, daemon %d: revision %d after %d, highest seen %d",
						seed, i, s.Revision(), before, s.HighestSeen())
				}
			}
		}
		for i, s := range fleet {
			if s.Revision() != revision || !s.Ready() {
				t.Errorf("seed %d, daemon %d: revision %d of %d, ready %v: %v",
					seed, i, s.Revision(), revision, s.Ready(), s.FetchError())
			}
		}
	}
}

func step(rng *rand.Rand, now time.Duration, s *Syncer, fleet []*Syncer, revision message.Revision, faults bool) {
	if other := rng.Intn(len(fleet)); rng.Intn(10) == 0 {
		s.ObserveHeader(now, message.Header{Revision: fleet[other].Revision(), PeerAddress: fmt.Sprint("p", other)})
	}
	for _, a := range s.Tick(now) {
		lost := faults && rng.Intn(3) == 0
		old := message.Revision(1) // the revision of the partitioned member
		switch {
		case a.Kind == FetchFromPeer:
			var other int
			_, _ = fmt.Sscanf(a.Address, "p%d", &other)
			s.FinishFetch(now, a, configReply(0, fleet[other].Revision(), false, true), Outcome{Failed: lost})
		case a.Kind == FetchFromControl && a.Address == "c0":
			s.FinishFetch(now, a, configReply(0, old, false, true), Outcome{Failed: lost})
		case a.Kind == FetchFromControl:
			s.FinishFetch(now, a, configReply(a.From, revision, true, rng.Intn(2) == 0), Outcome{Failed: lost})
		case a.Address == "c0":
			s.FinishHeartbeat(now, a.Address, &message.HeartbeatReply{Revision: old}, Outcome{Failed: lost})
		case a.Address == "c1":
			s.FinishHeartbeat(now, a.Address, &message.HeartbeatReply{Revision: revision, Current: true}, Outcome{Failed: lost})
		default:
			s.FinishHeartbeat(now, a.Address, nil, Outcome{Failed: true, NotLeader: true, Leader: "c1"})
		}
	}
}
