package host

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

func report(incarnation message.Incarnation, hostLeaving, serverLeaving bool) Report {
	return Report{Host: "h", Incarnation: incarnation, Leaving: hostLeaving,
		BackendServers: []message.BackendServerStatus{{Name: "s", Healthy: true, Leaving: serverLeaving}}}
}

func setMark(host, leaving bool) func(*Table) error {
	return func(tb *Table) error {
		if host {
			return tb.SetHostLeaving("h", "op", leaving)
		}
		return tb.SetServerLeaving("s", "op", leaving)
	}
}

func platformList(names ...string) func(*Table) error {
	return func(tb *Table) error { return tb.SetPlatformLeaving(names) }
}

func applyReport(r Report) func(*Table) error {
	return func(tb *Table) error { tb.Report(r); return nil }
}

func markDead(i message.Incarnation) func(*Table) error {
	return func(tb *Table) error { tb.MarkDead("h", i); return nil }
}

// TestTable guards against a delayed report that makes a leaving host or backend
// server live again, so that it gets new work, and against a change that is
// missing in the deltas.
func TestTable(t *testing.T) {
	live, leaving, dead := message.MemberLive, message.MemberLeaving, message.MemberDead
	steps := []struct {
		name          string
		apply         func(*Table) error
		state         message.MemberState
		serverLeaving bool
		changed       bool
	}{
		{"first report", applyReport(report(2, false, false)), live, false, true},
		{"same report", applyReport(report(2, false, false)), live, false, false},
		{"earlier incarnation", applyReport(report(1, true, true)), live, false, false},
		{"server leaves", applyReport(report(2, false, true)), live, true, true},
		{"late report of the server", applyReport(report(2, false, false)), live, true, false},
		{"next incarnation", applyReport(report(3, false, false)), live, false, true},
		{"host leaves", applyReport(report(3, true, false)), leaving, true, true},
		{"late live report", applyReport(report(3, false, false)), leaving, true, false},
		{"death of an earlier incarnation", markDead(2), leaving, true, false},
		{"death", markDead(3), dead, true, true},
		{"next incarnation after death", applyReport(report(4, false, false)), live, false, true},
		{"silent for a while", markDead(4), dead, false, true},
		{"the same incarnation is back", applyReport(report(4, false, false)), live, false, true},
		{"platform list", platformList("h"), leaving, true, true},
		{"restart does not clear the mark", applyReport(report(5, false, false)), leaving, true, true},
		{"left the platform list", platformList(), leaving, true, false},
		{"listed again", platformList("h"), leaving, true, false},
		{"operator clears", setMark(true, false), live, false, true},
		{"late platform list", platformList("h"), live, false, false},
		{"server marked", setMark(false, true), live, true, true},
		{"server restarts", applyReport(report(6, false, false)), live, true, true},
		{"server cleared", setMark(false, false), live, false, true},
		{"host marked", setMark(true, true), leaving, true, true},
	}
	tb := NewTable()
	for _, s := range steps {
		before := tb.Sequence
		if err := s.apply(tb); err != nil {
			t.Fatal(err)
		}
		m := tb.Members["h"]
		if m.State != s.state || m.BackendServers[0].Leaving != s.serverLeaving || (tb.Sequence != before) != s.changed {
			t.Errorf("%s: state %d, server leaving %v, sequence %d after %d", s.name, m.State,
				m.BackendServers[0].Leaving, tb.Sequence, before)
		}
		if got := countChangedSince(tb, before); (got == 1) != s.changed {
			t.Errorf("%s: %d deltas", s.name, got)
		}
	}
	if got := countChangedSince(tb, tb.Sequence+9); got != 1 {
		t.Errorf("a sequence above the table's returned %d members", got)
	}
}

// TestMemberBound guards against unbounded growth of the membership.
func TestMemberBound(t *testing.T) {
	tb := NewTable()
	for i := range MaxMembers {
		tb.Report(Report{Host: fmt.Sprint("h", i)})
	}
	if tb.WouldChange(Report{Host: "more"}) || tb.Report(Report{Host: "more"}) || len(tb.Members) != MaxMembers {
		t.Fatal("a live member was evicted for a new one")
	}
	tb.MarkDead("h7", 0)
	if !tb.Report(Report{Host: "more"}) || len(tb.Members) != MaxMembers {
		t.Fatal("a dead member was not evicted for a new one")
	}
}

// TestMonitor guards against a new leader that declares hosts dead before they
// had time to send it a heartbeat, and against a delayed heartbeat of an earlier
// incarnation that is counted.
func TestMonitor(t *testing.T) {
	tb := NewTable()
	tb.Report(report(2, false, false))
	m := NewMonitor(time.Minute)
	record := func(at time.Duration, incarnation message.Incarnation) {
		m.RecordHeartbeat(at, &message.HeartbeatRequest{Header: message.Header{Host: "h", Incarnation: incarnation}})
	}
	steps := []struct {
		after       time.Duration
		incarnation message.Incarnation
		want        int
	}{{DeadAfter, 0, 0}, {DeadAfter + 1, 0, 1}, {8 * time.Second, 2, 0}, {14 * time.Second, 1, 0},
		{15 * time.Second, 0, 0}, {15*time.Second + 1, 0, 1}}
	for i, s := range steps {
		if s.incarnation > 0 {
			record(time.Minute+s.after, s.incarnation)
		}
		if got := m.Overdue(time.Minute+s.after, tb); len(got) != s.want {
			t.Errorf("step %d: overdue %v", i, got)
		}
	}
}

func countChangedSince(t *Table, sequence uint64) int {
	changed, _ := t.ChangedSince(sequence)
	return len(changed)
}

// TestManyChangesComeInParts guards against a heartbeat reply that exceeds the
// traffic budget after a region returns, and against changes that are lost
// between two partial replies.
func TestManyChangesComeInParts(t *testing.T) {
	table := NewTable()
	report := func(i int, domain string) {
		table.Report(Report{Host: fmt.Sprint("h", i), Incarnation: 1, FailureDomain: domain})
	}
	report(0, "abdali")
	for i := range 3 * MaxChangesPerReply {
		report(i, "sahab")
	}
	if all, upTo := table.ChangedSince(0); len(all) != 3*MaxChangesPerReply || upTo != table.Sequence {
		t.Fatalf("a new daemon received %d members up to sequence %d", len(all), upTo)
	}
	seen, got := uint64(1), map[string]bool{}
	for range 4 {
		changed, upTo := table.ChangedSince(seen)
		if len(changed) > MaxChangesPerReply {
			t.Fatalf("%d changes in one reply", len(changed))
		}
		for _, m := range changed {
			got[m.Host] = true
		}
		seen = upTo
	}
	if len(got) != 3*MaxChangesPerReply || seen != table.Sequence {
		t.Fatalf("%d members up to %d, want %d up to %d", len(got), seen, 3*MaxChangesPerReply, table.Sequence)
	}
}
