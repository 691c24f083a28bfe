package fleet

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/serverlimit"
)

// coldReport returns the report of a server that is cold for a time.
func coldReport(address string, remaining time.Duration, newRuns int) backend.Report {
	return backend.Report{Address: address, ColdFor: remaining, NewRuns: newRuns}
}

// Guards against a server that became cold without a restart and counts as warm because only its agent knows, or
// because a list that is older than the report does not show it; against a publication for each report of
// a server that stays cold; and against one that stays cold after its time.
func TestReportedColdServers(t *testing.T) {
	l := newServerList("a")
	l.coldStart = func(string) (time.Duration, bool) { return time.Second, true }
	read := func() {
		l.setServers([]backend.Server{{ID: "i", Service: "s", Address: "x", StartedAt: 1},
			{ID: "j", Service: "s", Address: "y", StartedAt: 1}}, SinceBoot())
	}
	if ids := l.recordReport(coldReport("x", time.Second, 3), SinceBoot()); len(ids) != 0 {
		t.Errorf("%v became cold in a list that was not read", ids)
	}
	read()
	if d := coldFor(coldReply(l, &View{})); d < 900*time.Millisecond || d > time.Second {
		t.Errorf("cold for %v after a report before the first list", d)
	}
	number := l.stamp.Number
	if ids := l.recordReport(coldReport("y", 300*time.Millisecond, 3), SinceBoot()); len(ids) != 1 || ids[0] != "j" {
		t.Errorf("%v became cold, want j", ids)
	}
	if l.stamp.Number != number+1 {
		t.Error("a server that became cold was not published at once")
	}
	entry := coldReply(l, &View{})
	for range 3 {
		read()
		if ids := l.recordReport(coldReport("y", 280*time.Millisecond, 3), SinceBoot()); len(ids) != 0 {
			t.Errorf("%v became cold again", ids)
		}
	}
	if l.stamp.Number != number+1 || entry.Servers[1].ColdUntil < SinceBoot() {
		t.Errorf("%d publications, cold until %v at an entry", l.stamp.Number-number, entry.Servers[1].ColdUntil-SinceBoot())
	}
	time.Sleep(310 * time.Millisecond)
	read()
	if v := coldReply(l, entry); v.Servers[1].ColdUntil > SinceBoot() || l.stamp.Number != number+2 {
		t.Errorf("cold for %v after its time", v.Servers[1].ColdUntil-SinceBoot())
	}
	if len(l.reportedCold) != 1 {
		t.Errorf("%d ends of cold times are kept, want 1", len(l.reportedCold))
	}
}

// Guards against a report that makes servers cold in a deployment, or of a service, without a bound.
func TestReportsWithoutABoundMakeNoServerCold(t *testing.T) {
	for _, coldStart := range []backend.ColdStart{nil, func(string) (time.Duration, bool) { return time.Second, false }} {
		l := newServerList("a")
		l.coldStart = coldStart
		l.setServers([]backend.Server{{ID: "i", Service: "s", Address: "x"}}, SinceBoot())
		if ids := l.recordReport(coldReport("x", time.Second, 3), SinceBoot()); len(ids) != 0 || coldFor(coldReply(l, &View{})) != 0 {
			t.Errorf("%v became cold", ids)
		}
	}
}

// Guards against remaining times that are handed out with the loads, where they are as old as the load, and against
// a change of a copy of the list that readers hold.
func TestColdReportsChangeNoLoadsAndNoCopies(t *testing.T) {
	l := newServerList("a")
	l.coldStart = func(string) (time.Duration, bool) { return time.Second, true }
	view := &View{Servers: []backend.Server{{ID: "i", Service: "s", Address: "x"}}, listStamp: Stamp{Source: "b", Number: 3}}
	l.copyFrom(view, SinceBoot())
	l.recordReport(coldReport("x", time.Second, 3), SinceBoot())
	l.publishLoads()
	if view.Servers[0].ColdUntil != 0 {
		t.Error("the copied list was changed")
	}
	next := coldReply(l, &View{})
	if r := next.Reports["x"]; r.Address != "x" || r.ColdFor != 0 || r.NewRuns != 0 || coldFor(next) == 0 {
		t.Errorf("load %+v, cold for %v", r, coldFor(next))
	}
}

// Guards against permits for a server that became cold with many requests, which together with those would crash it.
func TestReportedRunsCountAgainstTheBound(t *testing.T) {
	bound := serverlimit.Bound{Window: time.Second, Overage: 1.5, Slack: 5}
	now := time.Hour
	l := &limitTable{source: "m", notify: func() {}, coldBound: bound}
	l.countArrived(now, "i", 20, 30)
	l.lead(now, 3)
	now += maxConfirmationAge + 3*time.Second
	acquire := func(at time.Duration) (n int) {
		for range 100 {
			reply, _ := l.acquireCold(at, serverlimit.Request{Entry: "e", Server: "i", Want: 50, ColdPerSecond: 20}, 20)
			n += reply.Permits
		}
		return n
	}
	if acquire(now) == 0 {
		t.Fatal("no permits")
	}
	// The bucket is full again when the server becomes cold the second time.
	now += 10 * time.Second
	l.countArrived(now, "i", 20, 30)
	granted := 0
	for at := now; at < now+time.Second; at += 50 * time.Millisecond {
		granted += acquire(at)
	}
	if granted != 5 {
		t.Errorf("%d permits in the second after 30 requests, want the 5 that are left of 35", granted)
	}
	for at := now + time.Second; at < now+3*time.Second; at += 50 * time.Millisecond {
		granted += acquire(at)
	}
	if granted < 20 {
		t.Errorf("%d permits in 3 s", granted)
	}
}
