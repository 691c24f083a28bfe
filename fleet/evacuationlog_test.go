package fleet

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against evacuations that take effect or end without a log line, or with one for each
// new view.
func TestEvacuationLog(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := NewEvacuationLog(zap.New(core))
	for _, domains := range [][]string{nil, {"a"}, {"a"}, {"a", "b"}, {"b"}, {"b"}, nil, nil} {
		v := &View{Evacuations: map[string]time.Duration{}}
		for _, d := range domains {
			v.Evacuations[d] = SinceBoot()
		}
		l.Update(v)
	}
	want := []string{"evacuation of a failure domain in effect a", "evacuation of a failure domain in effect b",
		"evacuation of a failure domain ended a", "evacuation of a failure domain ended b"}
	entries := logs.All()
	if len(entries) != len(want) {
		t.Fatalf("%d log lines, want %d: %v", len(entries), len(want), entries)
	}
	for i, e := range entries {
		if got := e.Message + " " + e.ContextMap()["failure_domain"].(string); got != want[i] {
			t.Errorf("line %d: %q, want %q", i, got, want[i])
		}
	}
}

// Guards against a daemon that does not learn of an evacuation that began and ended between two
// replies, or takes another order for an evacuation that ended.
func TestEvacuationsThatEndedBetweenReplies(t *testing.T) {
	var set failuredomain.Evacuations
	v := &View{}
	for i, c := range []struct {
		orders []bool
		want   uint64
	}{{[]bool{true, false}, 2}, {[]bool{true, false}, 4}, {[]bool{false}, 4}, {[]bool{true}, 0}, {[]bool{false}, 6}} {
		for _, evacuate := range c.orders {
			set.Apply(failuredomain.Order{Domain: "a", Evacuate: evacuate, Base: set.DomainRevision("a")})
		}
		next := *v
		next.applyEvacuations(&WatchReply{HasEvacuations: true, EvacuationRevision: set.Revision(), Evacuations: set.List()},
			SinceBoot(), zap.NewNop())
		if v = &next; v.EndedEvacuations["a"] != c.want {
			t.Errorf("reply %d: ended at %d, want %d", i, v.EndedEvacuations["a"], c.want)
		}
	}
}

// Guards against a daemon that learns of no evacuation while it cannot decode the desired state in
// force, as a daemon of an earlier version.
func TestEvacuationsReachADaemonThatCannotDecodeTheState(t *testing.T) {
	w := NewWatcher(WatcherOptions{Codec: testCodec{}, Logger: zap.NewNop()})
	called := 0
	w.OnChange(func(v *View) { called++ })
	reply := &WatchReply{Document: []byte("not compressed"), Version: 1, HasEvacuations: true, EvacuationRevision: 1,
		Evacuations: []failuredomain.Status{{Domain: "a", Evacuated: true, Revision: 1, Changed: 1}}}
	for range 2 {
		if err := w.mergeReply(reply, SinceBoot()); err == nil {
			t.Error("no error for a desired state that cannot be decoded")
		}
		if !w.View().IsEvacuated("a") || w.View().Table != nil || called != 1 {
			t.Errorf("evacuated %v, %d calls of the listener", w.View().Evacuations, called)
		}
	}
}
