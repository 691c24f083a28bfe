package execution

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

const self = message.Incarnation(7)

func id(host string, sequence uint64) message.ExecutionID {
	return message.ExecutionID{Request: message.NewRequestID(host, 1, sequence), Attempt: 1}
}

// TestNotRunIsProven guards against the verdict NotRun for an execution that may
// have run or may still start.
func TestNotRunIsProven(t *testing.T) {
	now := time.Unix(1000, 0)
	execution := id("entry-1", 1)
	start := func(table *Table, at time.Time) string {
		duplicate, refusal := table.Start(at, execution, "team", self)
		if refusal != nil {
			return "refused " + refusal.Verdict.String()
		}
		return fmt.Sprintf("admitted duplicate=%t", duplicate)
	}
	placeTombstone := func(table *Table, at time.Time, target message.Incarnation) string {
		confirmed, v := table.PlaceTombstone(at, execution, target)
		return fmt.Sprintf("confirmed=%t %s", confirmed, v)
	}
	cases := []struct {
		name string
		run  func(table *Table) string
		want string
	}{
		{"start that arrives after its tombstone", func(table *Table) string {
			placeTombstone(table, now, self)
			return start(table, now)
		}, "refused not_run"},
		{"tombstone on a waiting execution", func(table *Table) string {
			start(table, now)
			return placeTombstone(table, now, self)
		}, "confirmed=true not_run"},
		{"dispatch after a tombstone", func(table *Table) string {
			start(table, now)
			placeTombstone(table, now, self)
			return fmt.Sprint(table.Dispatch(now, execution))
		}, "false"},
		{"tombstone on a running execution", func(table *Table) string {
			start(table, now)
			table.Dispatch(now, execution)
			return placeTombstone(table, now, self)
		}, "confirmed=false may_have_run"},
		{"tombstone on an ended execution", func(table *Table) string {
			start(table, now)
			table.Dispatch(now, execution)
			table.End(now, execution, verdict.Ran)
			return placeTombstone(table, now, self)
		}, "confirmed=true ran"},
		{"tombstone for an earlier incarnation", func(table *Table) string {
			return placeTombstone(table, now, self-1)
		}, "confirmed=true may_have_run"},
		{"duplicate of a start that ended without running", func(table *Table) string {
			start(table, now)
			table.End(now, execution, verdict.NotRun)
			return start(table, now)
		}, "refused not_run"},
		{"duplicate of a running execution", func(table *Table) string {
			start(table, now)
			table.Dispatch(now, execution)
			return start(table, now)
		}, "admitted duplicate=true"},
		{"tombstone after the record expired", func(table *Table) string {
			start(table, now)
			table.End(now, execution, verdict.Ran)
			late := now.Add(2 * Retention)
			_, _ = table.Start(late, id("entry-1", 2), "team", self)
			return placeTombstone(table, late, self)
		}, "confirmed=true may_have_run"},
		{"start after the record expired", func(table *Table) string {
			start(table, now)
			table.End(now, execution, verdict.Ran)
			late := now.Add(2 * Retention)
			_, _ = table.Start(late, id("entry-1", 2), "team", self)
			return start(table, late)
		}, "refused may_have_run"},
		{"tombstone after the entry host was evicted", func(table *Table) string {
			start(table, now)
			table.End(now, execution, verdict.Ran)
			fillEntryHosts(table, now.Add(2*Retention))
			return placeTombstone(table, now.Add(2*Retention), self)
		}, "confirmed=true may_have_run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.run(New(self)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// fillEntryHosts makes the table record maxEntryHosts other entry hosts.
func fillEntryHosts(table *Table, at time.Time) {
	for i := range maxEntryHosts {
		_, _ = table.PlaceTombstone(at, id(fmt.Sprintf("other-%d", i), 1), self)
	}
}

// TestManyEntryHosts guards against an agent that refuses all starts permanently
// because its table is full of replaced entry hosts.
func TestManyEntryHosts(t *testing.T) {
	table := New(self)
	now := time.Unix(1000, 0)
	fillEntryHosts(table, now)
	fresh := message.ExecutionID{Request: message.NewRequestID("new-host", 2, 1), Attempt: 1}
	if _, refusal := table.Start(now.Add(2*Retention), fresh, "team", self); refusal != nil {
		t.Fatalf("a start from a new host was refused: %+v", refusal)
	}
}
