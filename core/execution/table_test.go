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

// TestNotRunIsTrue guards against an answer "not run" for an execution that may
// have run or may still start.
func TestNotRunIsTrue(t *testing.T) {
	now := time.Unix(1000, 0)
	one := id("entry-1", 1)
	start := func(tb *Table, at time.Time) string {
		duplicate, refusal := tb.Start(at, one, "team", self)
		if refusal != nil {
			return "refused " + refusal.Verdict.String()
		}
		return fmt.Sprintf("admitted duplicate=%t", duplicate)
	}
	bury := func(tb *Table, at time.Time, meant message.Incarnation) string {
		confirmed, v := tb.PlaceTombstone(at, one, meant)
		return fmt.Sprintf("confirmed=%t %s", confirmed, v)
	}
	cases := []struct {
		fault string
		run   func(tb *Table) string
		want  string
	}{
		{"start delayed past its tombstone", func(tb *Table) string { bury(tb, now, self); return start(tb, now) }, "refused not_run"},
		{"tombstone on a waiting execution", func(tb *Table) string { start(tb, now); return bury(tb, now, self) }, "confirmed=true not_run"},
		{"dispatch after a tombstone", func(tb *Table) string {
			start(tb, now)
			bury(tb, now, self)
			return fmt.Sprint(tb.Dispatch(now, one))
		}, "false"},
		{"tombstone on a running execution", func(tb *Table) string {
			start(tb, now)
			tb.Dispatch(now, one)
			return bury(tb, now, self)
		}, "confirmed=false may_have_run"},
		{"tombstone on an ended execution", func(tb *Table) string {
			start(tb, now)
			tb.Dispatch(now, one)
			tb.End(now, one, verdict.Ran)
			return bury(tb, now, self)
		}, "confirmed=true ran"},
		{"tombstone for an earlier incarnation", func(tb *Table) string { return bury(tb, now, self-1) }, "confirmed=true may_have_run"},
		{"duplicate of a start that ended without running", func(tb *Table) string {
			start(tb, now)
			tb.End(now, one, verdict.NotRun)
			return start(tb, now)
		}, "refused not_run"},
		{"duplicate of a running execution", func(tb *Table) string {
			start(tb, now)
			tb.Dispatch(now, one)
			return start(tb, now)
		}, "admitted duplicate=true"},
		{"tombstone after the record was dropped", func(tb *Table) string {
			start(tb, now)
			tb.End(now, one, verdict.Ran)
			late := now.Add(2 * Retention)
			_, _ = tb.Start(late, id("entry-1", 2), "team", self)
			return bury(tb, late, self)
		}, "confirmed=true may_have_run"},
		{"start after the record was dropped", func(tb *Table) string {
			start(tb, now)
			tb.End(now, one, verdict.Ran)
			late := now.Add(2 * Retention)
			_, _ = tb.Start(late, id("entry-1", 2), "team", self)
			return start(tb, late)
		}, "refused may_have_run"},
		{"tombstone after the entry host was forgotten", func(tb *Table) string {
			start(tb, now)
			tb.End(now, one, verdict.Ran)
			crowd(tb, now.Add(2*Retention))
			return bury(tb, now.Add(2*Retention), self)
		}, "confirmed=true may_have_run"},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			if got := c.run(New(self)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// crowd makes the table see as many other entry hosts as it remembers.
func crowd(tb *Table, at time.Time) {
	for i := range maxOrigins {
		_, _ = tb.PlaceTombstone(at, id(fmt.Sprintf("other-%d", i), 1), self)
	}
}

// TestManyEntryHosts guards against an agent that refuses all starts for good
// because replaced entry hosts filled its table.
func TestManyEntryHosts(t *testing.T) {
	tb := New(self)
	now := time.Unix(1000, 0)
	crowd(tb, now)
	fresh := message.ExecutionID{Request: message.NewRequestID("new-host", 2, 1), Attempt: 1}
	if _, refusal := tb.Start(now.Add(2*Retention), fresh, "team", self); refusal != nil {
		t.Fatalf("start of a new host was refused: %+v", refusal)
	}
}
