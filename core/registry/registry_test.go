package registry

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// declareServers declares backend servers s0 to s(n-1).
func declareServers(n int) map[string]map[string]string {
	set := map[string]map[string]string{
		"failure-domain d": {"region": "r"}, "host h": {"failure_domain": "d"}, "service plain": {"kind": "plain"},
	}
	for i := range n {
		set[fmt.Sprintf("backend-server s%d", i)] = map[string]string{
			"host": "h", "service": "plain", "address": fmt.Sprintf("127.0.0.1:%d", 7000+i)}
	}
	return set
}

// commandRunner applies commands in turn, each at a time in seconds after the start.
type commandRunner struct {
	registry *Registry
	index    uint64
}

func (c *commandRunner) run(t *testing.T, second float64, command Command) any {
	t.Helper()
	command.Time = time.Duration(1e18 + second*1e9)
	b, err := EncodeCommand(&command)
	if err != nil {
		t.Fatal(err)
	}
	c.index++
	return c.registry.Apply(c.index, b)
}

func changeCommand(id string, expected message.Revision, set map[string]map[string]string) Command {
	return Command{ChangeConfig: &ChangeConfig{ChangeID: id, Operator: "op-" + id, Comment: "why " + id,
		Expected: expected, Set: set}}
}

// TestChangeConfig guards against two changes that produce the same revision, a
// result that is not kept for retries, and a change that is applied twice.
func TestChangeConfig(t *testing.T) {
	runner := &commandRunner{registry: New()}
	bad := map[string]map[string]string{"host x": {"failure_domain": "none"}}
	steps := []struct {
		name    string
		command Command
		want    string
	}{
		{"first", changeCommand("a", 0, declareServers(1)), "true 1 false  0"},
		{"conflict names the current change", changeCommand("b", 0, declareServers(2)), "false 1 false op-a/a/why a 0"},
		{"invalid", changeCommand("c", 1, bad), "false 1 false  1"},
		{"second", changeCommand("d", 1, declareServers(2)), "true 2 false  0"},
		{"first sent again", changeCommand("a", 0, declareServers(1)), "true 1 true  0"},
		{"conflict sent again gets the same reply", changeCommand("b", 0, declareServers(2)), "false 1 true op-a/a/why a 0"},
		{"change id of another change", changeCommand("a", 2, declareServers(1)), "false 2 false  1"},
		{"no change id", changeCommand("", 2, declareServers(1)), "false 2 false  1"},
		{"stale proposer", Command{ChangeConfig: &ChangeConfig{ChangeID: "s", Operator: "o", Expected: 2, Stale: true}},
			"false 2 false op-d/d/why d 0"},
		{"expected revision above the current one", changeCommand("e", 7, declareServers(1)), "false 2 false op-d/d/why d 0"},
	}
	for _, s := range steps {
		got := runner.run(t, 0, s.command).(message.ApplyReply)
		winner := ""
		if got.WinnerChangeID != "" {
			winner = got.WinnerOperator + "/" + got.WinnerChangeID + "/" + got.WinnerComment
		}
		text := fmt.Sprint(got.Accepted, got.Revision, got.Duplicate, " ", winner, " ", len(got.Faults))
		if text != fmt.Sprint(s.want) {
			t.Errorf("%s: got %q, want %q", s.name, text, s.want)
		}
	}
	for from, want := range map[message.Revision]int{0: 2, 1: 1, 2: 0, 3: -1} {
		deltas, ok := runner.registry.Deltas(from)
		if ok != (want >= 0) || ok && len(deltas) != want {
			t.Errorf("deltas from %d: %d, %v", from, len(deltas), ok)
		}
	}
}

// TestHistoryBounds guards against unbounded tables of change results and deltas,
// and against a list of deltas with a gap.
func TestHistoryBounds(t *testing.T) {
	runner := &commandRunner{registry: New()}
	for i := range MaxChangeResults + 10 {
		runner.run(t, 0, changeCommand(fmt.Sprint("id", i), message.Revision(i), declareServers(1)))
	}
	if n, m, d := len(runner.registry.config.results), len(runner.registry.config.byID),
		len(runner.registry.config.deltas); n != MaxChangeResults || m != n || d != MaxDeltas {
		t.Fatalf("%d results, %d ids, %d deltas", n, m, d)
	}
	newest := runner.registry.Revision()
	if deltas, ok := runner.registry.Deltas(newest - MaxDeltas); !ok || deltas[0].Revision != newest-MaxDeltas+1 {
		t.Fatal("the oldest kept delta is missing")
	}
	if _, ok := runner.registry.Deltas(newest - MaxDeltas - 1); ok {
		t.Fatal("returned deltas from before the oldest kept one")
	}
}

func beginCommand(caller, key, body, request string) Command {
	return Command{BeginCall: &BeginCall{Caller: caller, Key: key, BodyDigest: body,
		Request: message.RequestID(request), Retention: time.Hour}}
}

func finishCommand(key, request string, release bool, size int) Command {
	return Command{FinishCall: &FinishCall{Caller: "a", Key: key, Request: message.RequestID(request), Release: release,
		Response: message.RecordedResponse{Status: 201, Body: make([]byte, size)}}}
}

// TestCalls guards against a second dispatch of a call with a recorded key.
func TestCalls(t *testing.T) {
	runner := &commandRunner{registry: New()}
	steps := []struct {
		second  float64
		command Command
		want    string
	}{
		{0, beginCommand("a", "k", "d", "r1"), "new r1 0"},
		{1, beginCommand("a", "k", "d", "r1"), "new r1 0"},
		{1, beginCommand("a", "k", "d", "r2"), "started r1 0"},
		{1, beginCommand("a", "k", "other", "r2"), "conflict r1 0"},
		{1, beginCommand("b", "k", "other", "r3"), "new r3 0"},
		{2, finishCommand("k", "r2", true, 0), "not_run"},
		{2, finishCommand("k", "r2", false, 0), "not_run"},
		{2, finishCommand("k", "r1", true, 0), "done"},
		{2, finishCommand("k", "r1", true, 0), "done"},
		{3, beginCommand("a", "k", "d", "r2"), "new r2 0"},
		{4, finishCommand("k", "r2", false, MaxResponseBytes), "done"},
		{4, finishCommand("k", "r2", true, 0), "ran"},
		{4, finishCommand("k", "r2", false, 5), "done"},
		{5, beginCommand("a", "k", "d", "r4"), "finished r2 16384"},
		{5, beginCommand("a", "large", "d", "r5"), "new r5 0"},
		{5, finishCommand("large", "r5", false, MaxResponseBytes+1), "done"},
		{5, beginCommand("a", "large", "d", "r6"), "finished r5 truncated"},
		{-9e5, beginCommand("a", "k", "d", "r7"), "finished r2 16384"},
		{3602.9, beginCommand("a", "k", "d", "r7"), "finished r2 16384"},
		{3603, beginCommand("a", "k", "d", "r7"), "new r7 0"},
		{3604, beginCommand("a", "", "d", "r7"), "not_run"},
	}
	names := map[message.CallState]string{message.CallNew: "new", message.CallStarted: "started",
		message.CallFinished: "finished", message.CallConflict: "conflict"}
	for i, s := range steps {
		got := ""
		switch result := runner.run(t, s.second, s.command).(type) {
		case message.BeginCallReply:
			got = fmt.Sprintf("%s %s %d", names[result.State], result.Request, len(result.Response.Body))
			if result.Response.Truncated {
				got = fmt.Sprintf("%s %s truncated", names[result.State], result.Request)
			}
		case message.FinishCallReply:
			got = "done"
		case error:
			got = verdict.Of(result).String()
		}
		if got != s.want {
			t.Errorf("step %d: got %q, want %q", i, got, s.want)
		}
	}
}

// TestLeases guards against two holders of a lease and against a fencing number that
// is assigned twice.
func TestLeases(t *testing.T) {
	leaseCommand := func(server, host string, incarnation message.Incarnation, renew bool) Command {
		return Command{Lease: &Lease{BackendServer: server, Host: host, Incarnation: incarnation,
			Duration: 10 * time.Second, Renew: renew}}
	}
	runner := &commandRunner{registry: New()}
	runner.run(t, 0, changeCommand("a", 0, declareServers(2)))
	steps := []struct {
		second  float64
		command Command
		want    string
	}{
		{0, leaseCommand("s0", "h1", 1, true), "false 0 0s"},
		{0, leaseCommand("s0", "h1", 1, false), "true 1 0s"},
		{1, leaseCommand("s1", "h1", 1, false), "true 2 0s"},
		{2, leaseCommand("s0", "h1", 1, false), "true 1 0s"},
		{3, leaseCommand("s0", "h1", 2, false), "false 0 10s"},
		{3, leaseCommand("s0", "h2", 1, false), "false 0 10s"},
		{11, leaseCommand("s0", "h1", 1, true), "true 1 0s"},
		{12, leaseCommand("s0", "h2", 1, true), "false 0 10s"},
		{21.5, leaseCommand("s0", "h2", 1, false), "false 0 500ms"},
		{21.5, leaseCommand("s0", "h1", 1, true), "false 0 500ms"},
		{22, leaseCommand("s0", "h2", 1, false), "true 3 0s"},
		{40, leaseCommand("s0", "h2", 1, false), "true 4 0s"},
	}
	for i, s := range steps {
		reply := runner.run(t, s.second, s.command).(message.LeaseReply)
		if got := fmt.Sprint(reply.Granted, reply.Fencing, reply.RetryAfter); got != fmt.Sprint(s.want) {
			t.Errorf("step %d: got %q, want %q", i, got, s.want)
		}
	}
	if _, refused := runner.run(t, 50, leaseCommand("undeclared", "h", 1, false)).(error); !refused {
		t.Error("a lease for an undeclared backend server was granted")
	}
}

// TestDeclaredAgain guards against a backend server that is still marked as leaving
// after an operator removed it from the configuration and declared it again.
func TestDeclaredAgain(t *testing.T) {
	runner := &commandRunner{registry: New()}
	runner.run(t, 0, changeCommand("a", 0, declareServers(2)))
	runner.run(t, 0, Command{SetLeaving: &SetLeaving{Host: "h", BackendServer: "s1", Leaving: true}})
	without := changeCommand("b", 1, declareServers(1))
	without.ChangeConfig.Removed = []string{"backend-server s1"}
	runner.run(t, 1, without)
	runner.run(t, 2, changeCommand("c", 2, declareServers(2)))
	if m := runner.registry.Members(); len(m.ServerMarks) != 0 || len(m.HostMarks) != 1 {
		t.Fatalf("marks %v %v", m.HostMarks, m.ServerMarks)
	}
}

// TestApplyFaults guards against an index that is applied twice and against a
// corrupt command or snapshot that is accepted or stops the process.
func TestApplyFaults(t *testing.T) {
	r := New()
	for _, b := range [][]byte{nil, {0xff}, {0x60}} {
		if _, failed := r.Apply(r.Index()+1, b).(error); !failed {
			t.Errorf("%x was accepted", b)
		}
	}
	if r.Apply(r.Index(), nil) != ErrAlreadyApplied {
		t.Error("an index was applied twice")
	}
	if err := r.Restore([]byte{0xa0}); err == nil {
		t.Error("an empty snapshot was accepted")
	}
}

// TestClock guards against a clock that decreases, counts time twice if two commands
// are reordered, or jumps if the clock of a new leader is ahead.
func TestClock(t *testing.T) {
	r := New()
	for i, s := range []struct {
		proposer       uint64
		elapsed, clock time.Duration
	}{{1, 100, 0}, {1, 110, 10}, {1, 105, 10}, {1, 120, 20}, {2, 9000, 20}, {2, 9001, 21}, {1, 200, 21}, {1, 205, 26}} {
		b, err := EncodeCommand(&Command{Proposer: s.proposer, Time: s.elapsed})
		if err != nil {
			t.Fatal(err)
		}
		r.Apply(uint64(i+1), b)
		if r.Clock() != s.clock {
			t.Errorf("step %d: clock %d, want %d", i, r.Clock(), s.clock)
		}
	}
}
