package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// faultyLog is a LocalLog with faults that a test injects.
type faultyLog struct {
	*LocalLog
	follower   bool
	barrierErr error
	proposeErr error
	proposed   atomic.Int64
	blocked    chan struct{}
}

func (l *faultyLog) Leader() (string, bool) { return l.address, !l.follower }

func (l *faultyLog) Barrier(context.Context) error { return l.barrierErr }

func (l *faultyLog) Propose(ctx context.Context, command []byte) (any, error) {
	l.proposed.Add(1)
	if l.blocked != nil {
		<-l.blocked
	}
	if l.proposeErr != nil {
		return nil, l.proposeErr
	}
	return l.LocalLog.Propose(ctx, command)
}

// fixture is a service with an RPC client.
type fixture struct {
	*Service
	log    *faultyLog
	client *wire.Client
	now    atomic.Int64
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	machine := NewRegistryMachine()
	f := &fixture{log: &faultyLog{LocalLog: NewLocalLog("127.0.0.1:7", machine)}}
	digest := sha256.Sum256([]byte("secret"))
	f.Service = NewService(Options{
		Log: f.log, Machine: machine, OperatorKeySHA256: hex.EncodeToString(digest[:]),
		Header:  func() message.Header { return message.Header{Host: "control-1", Incarnation: 1} },
		Elapsed: func() time.Duration { return time.Duration(f.now.Load()) },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(listener)
	if err := server.Register(ServiceName, f.Service); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	f.client = wire.NewClient(listener.Addr().String(), nil)
	t.Cleanup(func() { f.client.Close(); server.Close() })
	return f
}

func (f *fixture) call(method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.client.Call(ctx, "Control."+method, request, reply)
}

func newSections(n int) map[string]map[string]string {
	s := map[string]map[string]string{}
	for i := range n {
		s[fmt.Sprintf("service s%d", i)] = map[string]string{"kind": "plain"}
	}
	return s
}

func (f *fixture) apply(t testing.TB, id string, expected message.Revision, n int) message.ApplyReply {
	t.Helper()
	var reply message.ApplyReply
	if err := f.call("Apply", &message.ApplyRequest{Credential: "secret", ChangeID: id, Operator: "op",
		Expected: expected, Sections: newSections(n)}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestCredential guards against operator requests that are accepted without the
// credential.
func TestCredential(t *testing.T) {
	f := newFixture(t)
	for _, credential := range []string{"", "secre", "secret2"} {
		applyErr := f.call("Apply",
			&message.ApplyRequest{Credential: credential, ChangeID: "a", Operator: "o"}, &message.ApplyReply{})
		leavingErr := f.call("SetLeaving",
			&message.LeavingRequest{Credential: credential, Host: "h", Leaving: true}, &message.LeavingReply{})
		for _, err := range []error{applyErr, leavingErr} {
			if e := verdict.From(err); err == nil || e.Reason != verdict.ReasonUnauthorized ||
				e.Verdict != verdict.NotRun {
				t.Errorf("credential %q: %v", credential, err)
			}
		}
	}
	if err := f.call("ApplySections",
		&message.ApplyRequest{ChangeID: "a", Operator: "o"}, &message.ApplyReply{}); err == nil ||
		!strings.Contains(err.Error(), "can't find method") {
		t.Errorf("net/rpc exposes ApplySections: %v", err)
	}
	if reply := f.apply(t, "a", 0, 1); !reply.Accepted || reply.Revision != 1 {
		t.Errorf("%+v", reply)
	}
	f.options.OperatorKeySHA256 = ""
	if f.authorize("") == nil {
		t.Error("a control member without a credential digest accepts operator requests")
	}
}

// TestConfig guards against a member that reports its configuration as current
// without a quorum, and against deltas that do not lead to the latest revision.
func TestConfig(t *testing.T) {
	f := newFixture(t)
	f.apply(t, "a", 0, 5)
	f.apply(t, "b", 1, 6)
	f.apply(t, "c", 2, 7)
	tests := []struct {
		from     message.Revision
		noQuorum bool
		deltas   int
		snapshot bool
	}{
		{2, false, 1, false}, {1, false, 2, false}, {3, false, 0, false},
		{0, false, 3, false}, {9, false, 0, true}, {1, true, 2, false},
	}
	for _, test := range tests {
		f.log.barrierErr = nil
		if test.noQuorum {
			f.log.barrierErr = errors.New("no quorum")
		}
		var reply message.ConfigReply
		if err := f.call("Config", &message.ConfigRequest{From: test.from}, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Current == test.noQuorum || reply.Revision != 3 || len(reply.Deltas) != test.deltas ||
			(reply.Snapshot != nil) != test.snapshot {
			t.Errorf("%+v: current %v, %d deltas, snapshot %d bytes",
				test, reply.Current, len(reply.Deltas), len(reply.Snapshot))
		}
		if test.snapshot {
			if s, err := registry.DecodeSections(reply.Snapshot); err != nil || len(s) != 7 {
				t.Errorf("snapshot of %d sections: %v", len(s), err)
			}
		}
	}
	f.log.barrierErr = errors.New("no quorum")
	if _, err := f.ApplySections(&message.ApplyRequest{
		ChangeID: "d", Operator: "o", Expected: 3}); verdict.Of(err) != verdict.NotRun {
		t.Errorf("a change without a quorum: %v", err)
	}
}

// TestVerdicts guards against the verdict NotRun for a proposal that may have been
// committed.
func TestVerdicts(t *testing.T) {
	f := newFixture(t)
	tests := map[string]struct {
		follower bool
		err      error
		want     verdict.Verdict
		text     string
	}{
		"no error":   {false, nil, verdict.MayHaveRun, ""},
		"not leader": {true, nil, verdict.MayHaveRun, "not leader 127.0.0.1:7"},
		"never proposed": {false, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader"),
			verdict.NotRun, "no_quorum"},
		"unknown commit": {false, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "timed out"),
			verdict.MayHaveRun, "no_quorum"},
		"no verdict": {false, context.DeadlineExceeded, verdict.MayHaveRun, "no_quorum"},
	}
	for name, test := range tests {
		f.log.follower, f.log.proposeErr = test.follower, test.err
		err := f.call("BeginCall", &message.BeginCallRequest{
			Key: message.CallKey{Caller: "a", Key: name}, Request: "r"}, &message.BeginCallReply{})
		if (err == nil) != (test.text == "") {
			t.Fatalf("%s: %v", name, err)
		}
		if err != nil && (verdict.Of(err) != test.want || !strings.Contains(err.Error(), test.text)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestProposalBound guards against an unbounded queue of proposals while there is no
// quorum.
func TestProposalBound(t *testing.T) {
	f := newFixture(t)
	f.log.blocked = make(chan struct{})
	results := make(chan error, MaxPendingProposals)
	beginCall := func(i int) error {
		return f.BeginCall(&message.BeginCallRequest{
			Key: message.CallKey{Key: fmt.Sprint(i)}, Request: "r"}, &message.BeginCallReply{})
	}
	for i := range MaxPendingProposals {
		go func() { results <- beginCall(i) }()
	}
	for f.log.proposed.Load() < MaxPendingProposals {
		time.Sleep(time.Millisecond)
	}
	e, ok := verdict.Decode(beginCall(MaxPendingProposals).Error())
	if !ok || e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonOverloaded || e.RetryAfter <= 0 ||
		f.metrics.refused.Value() != 1 {
		t.Errorf("the proposal above the limit: %v", e)
	}
	close(f.log.blocked)
	for range MaxPendingProposals {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}

// TestMembership guards against a host that stays live without heartbeats, and
// against a log entry for every heartbeat.
func TestMembership(t *testing.T) {
	f := newFixture(t)
	request := &message.HeartbeatRequest{
		Header: message.Header{Host: "h", Incarnation: 1}, ConfigApplied: 4, Roles: []string{"entry"}}
	steps := []struct {
		name      string
		elapsed   time.Duration
		heartbeat bool
		follower  bool
		state     message.MemberState
		entries   int64
	}{
		{"first heartbeat", 0, true, false, message.MemberLive, 1},
		{"second heartbeat", 2 * time.Second, true, false, message.MemberLive, 1},
		{"no heartbeat", host.DeadAfter, false, false, message.MemberLive, 1},
		{"no heartbeat for too long", time.Second, false, false, message.MemberDead, 2},
		{"heartbeat of the dead host", time.Second, true, false, message.MemberLive, 3},
		{"another leader", time.Minute, false, true, message.MemberLive, 3},
		{"leader again", time.Second, false, false, message.MemberLive, 3},
	}
	for _, s := range steps {
		f.now.Add(int64(s.elapsed))
		f.log.follower = s.follower
		var reply message.HeartbeatReply
		if s.heartbeat {
			if err := f.call("Heartbeat", request, &reply); err != nil {
				t.Fatal(err)
			}
		}
		f.runLeaderTasks()
		var status message.StatusReply
		if err := f.call("Status", &message.StatusRequest{}, &status); err != nil {
			t.Fatal(err)
		}
		if status.Hosts[0].Member.State != s.state || f.log.proposed.Load() != s.entries ||
			s.heartbeat && status.Hosts[0].Revision != 4 {
			t.Errorf("%s: %+v, %d log entries", s.name, status.Hosts, f.log.proposed.Load())
		}
	}
	f.log.follower = true
	if address, ok := peerstate.ParseLeaderHint(
		f.Heartbeat(request, &message.HeartbeatReply{}).Error()); !ok || address != "127.0.0.1:7" {
		t.Errorf("leader hint %q", address)
	}
}
