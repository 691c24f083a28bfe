package fleet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// coldReply returns what a daemon that knows a list up to known gets, and the view after it.
func coldReply(l *serverList, v *View) *View {
	var reply WatchReply
	l.fillReply(&WatchRequest{List: v.listStamp}, SinceBoot(), &reply)
	next := *v
	next.applyList(&reply)
	return &next
}

// coldFor returns how much longer the first server of a view is cold.
func coldFor(v *View) time.Duration { return max(0, v.Servers[0].ColdUntil-SinceBoot()) }

// Guards against a server that is cold and not known as such at another daemon or at the next
// leader, against one that stays cold there, and against a publication for each read of the
// list.
func TestColdTimesTravelWithTheList(t *testing.T) {
	l := newServerList("a")
	l.coldStart = func(string) (time.Duration, bool) { return time.Second, true }
	read := func(cold time.Duration) {
		l.setServers([]backend.Server{{ID: "i", Service: "s", Address: "a", StartedAt: 1, ColdFor: cold}}, SinceBoot())
	}
	read(0)
	entry := coldReply(l, &View{})
	if coldFor(entry) != 0 {
		t.Error("a server of the first list counts as cold")
	}
	number := l.stamp.Number
	read(3 * time.Second)
	if l.stamp.Number != number+1 {
		t.Error("a server that became cold was not published")
	}
	entry = coldReply(l, entry)
	if d := coldFor(entry); d < 2900*time.Millisecond || d > 3100*time.Millisecond {
		t.Errorf("cold for %v at an entry", d)
	}
	read(3*time.Second - 20*time.Millisecond)
	if l.stamp.Number != number+1 {
		t.Error("a read that tells nothing new was published")
	}
	follower := newServerList("b")
	follower.coldStart = l.coldStart
	follower.copyFrom(entry, SinceBoot())
	if d := coldFor(coldReply(follower, &View{})); d < 2800*time.Millisecond || d > 3200*time.Millisecond {
		t.Errorf("cold for %v at an entry of another member", d)
	}
	follower.setServers([]backend.Server{{ID: "i", Service: "s", Address: "a", StartedAt: 2}}, SinceBoot())
	if d := coldFor(coldReply(follower, &View{})); d < 900*time.Millisecond || d > time.Second {
		t.Errorf("after a restart that the next leader sees: cold for %v", d)
	}
	read(5 * time.Millisecond)
	time.Sleep(6 * time.Millisecond)
	number = l.stamp.Number
	read(0)
	if l.stamp.Number != number+1 || coldFor(coldReply(l, entry)) != 0 {
		t.Error("a server that became warm was not published")
	}
}

// Guards against servers of deployments without a bound that cause publications because they
// are cold.
func TestColdTimesWithoutABoundAreNotPublished(t *testing.T) {
	l := newServerList("a")
	for i := range 5 {
		l.setServers([]backend.Server{{ID: "i", Service: "s", ColdFor: time.Duration(i%2) * time.Second}}, SinceBoot())
	}
	if l.stamp.Number != 2 || coldFor(coldReply(l, &View{})) != 0 {
		t.Errorf("number %d, cold for %v", l.stamp.Number, coldFor(coldReply(l, &View{})))
	}
}

// Guards against permits for cold servers from a member that does not lead, or from a new
// leader while the previous one may still grant some, and against permits of cold servers that
// count against the limits that they name.
func TestColdPermitsNeedALeader(t *testing.T) {
	l := &limitTable{source: "m", notify: func() {}, coldBound: serverlimit.Bound{Window: time.Second, Overage: 1.5, Slack: 5}}
	request := serverlimit.Request{Entry: "e", Server: "i-1", Want: 1, ColdPerSecond: 33}
	now := time.Hour
	if _, leads := l.acquireCold(now, request, 33); leads {
		t.Error("a member that does not lead granted a permit")
	}
	l.lead(now, 3)
	if reply, leads := l.acquireCold(now+maxConfirmationAge-1, request, 33); !leads || reply.Permits != 0 {
		t.Errorf("permits before the previous leader's end: %+v", reply)
	}
	now += maxConfirmationAge + 2*time.Second
	if reply, _ := l.acquireCold(now, request, 33); reply.Permits != 1 || reply.Lifetime <= 0 {
		t.Errorf("no permit: %+v", reply)
	}
	if reply, _ := l.acquireCold(now, request, 0); reply.Known == nil || reply.Known.Limited {
		t.Errorf("a service without a bound: %+v", reply)
	}
	if len(l.allocator.Known()) != 0 {
		t.Error("a cold server counts as one that names a limit")
	}
	l.copyFrom(&View{})
	if _, leads := l.acquireCold(now, request, 33); leads {
		t.Error("a member that stopped leading granted a permit")
	}
}

// Guards against a log line for each permit and each server of the list while a desired state is in
// force that this version of the program can not decode, and against a bound that stays unknown
// with the next desired state.
func TestUndecodableStateIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	c := &Control{options: ControlOptions{Logger: zap.New(core)}, stateMachine: &stateMachine{onChange: func() {}},
		watcher: NewWatcher(WatcherOptions{Codec: testCodec{}, Logger: zap.NewNop()})}
	put := func(version uint64, document []byte) {
		t.Helper()
		command := desired.Command(version, document)
		if err, failed := c.stateMachine.Apply(1, command).(error); failed {
			t.Fatal(err)
		}
	}
	put(1, []byte("not compressed"))
	for range 5 {
		if _, bounded := c.coldStart("s"); bounded {
			t.Error("a service of an unknown desired state has a bound")
		}
	}
	if n := logs.Len(); n != 1 {
		t.Errorf("%d log lines", n)
	}
	compressed, err := compress(document(2, "one"))
	if err != nil {
		t.Fatal(err)
	}
	put(2, compressed)
	if c.coldStart("s"); c.table.Load().State.Version != 2 || logs.Len() != 1 {
		t.Errorf("version %d, %d log lines", c.table.Load().State.Version, logs.Len())
	}
}

// Guards against servers that count as cold because a daemon without the control group first read the
// list of its own failure domain, and against new servers there that do not.
func TestFirstListsWithoutTheControlGroup(t *testing.T) {
	w := NewWatcher(WatcherOptions{Codec: testCodec{}, Logger: zap.NewNop()})
	w.view.Store(&View{Table: desired.NewTable(&desired.State{Services: []desired.Service{
		{Name: "s", ColdStart: time.Minute, ColdPerSecond: 5}}})})
	var list []backend.Server
	for i, read := range []struct{ added, domain, cold string }{
		{"own", "d0", ""}, {"other", "", ""}, {"new", "", "new"}, {"", "", "new"}} {
		if read.added != "" {
			list = append(list, backend.Server{ID: read.added, Service: "s", Address: read.added, FailureDomain: "d1"})
		}
		if i == 0 {
			list[0].FailureDomain = "d0"
		}
		w.setFallbackList(slices.Clone(list), read.domain, SinceBoot())
		cold := ""
		for _, server := range w.View().Servers {
			if server.ColdUntil > SinceBoot() {
				cold += server.ID
			}
		}
		if len(w.View().Servers) != len(list) || cold != read.cold {
			t.Errorf("read %d: %d servers, %q cold, want %q", i, len(w.View().Servers), cold, read.cold)
		}
	}
}

// BenchmarkColdPermits measures the bytes of one request for permits for a cold server.
func BenchmarkColdPermits(b *testing.B) {
	var request, reply bytes.Buffer
	out, in := gob.NewEncoder(&request), gob.NewEncoder(&reply)
	first, size := true, 0
	for b.Loop() {
		request.Reset()
		reply.Reset()
		if err := out.Encode(&PermitRequest{Request: serverlimit.Request{Entry: "front-hall-1", Server: "i-ed304b004c",
			Want: 12, ColdPerSecond: 33}}); err != nil {
			b.Fatal(err)
		}
		if err := in.Encode(&PermitReply{Decided: true, Reply: serverlimit.Reply{Known: limitOf(33), Permits: 8, Askers: 3,
			Lifetime: 387 * time.Millisecond}}); err != nil {
			b.Fatal(err)
		}
		if !first {
			size = request.Len() + reply.Len()
		}
		first = false
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkPublishedColdServers measures the bytes of a watch reply that says of servers that
// they are cold.
func BenchmarkPublishedColdServers(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			var servers []backend.Server
			for i := range n {
				servers = append(servers, backend.Server{ID: fmt.Sprintf("i-%010x", i), Service: "coach-llm",
					Address: fmt.Sprintf("10.2.0.%d:8105", i), FailureDomain: "pinecrest", Slots: 24, ColdFor: 987654321,
					StartedAt: 1765000000000})
			}
			size := 0
			for b.Loop() {
				var without, with bytes.Buffer
				if err := gob.NewEncoder(&without).Encode(&WatchReply{}); err != nil {
					b.Fatal(err)
				}
				if err := gob.NewEncoder(&with).Encode(&WatchReply{Servers: servers}); err != nil {
					b.Fatal(err)
				}
				size = with.Len() - without.Len()
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
