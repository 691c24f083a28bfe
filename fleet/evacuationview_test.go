package fleet

import (
	"fmt"
	"slices"
	"testing"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"go.uber.org/zap"
)

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

// Guards against entries that do not get the loads of the servers that they use instead of evacuated
// ones, with the reply that tells them of the evacuation.
func TestLoadsOfServersUsedInsteadOfEvacuatedOnes(t *testing.T) {
	l := newServerList("a")
	var servers []backend.Server
	for i := range 200 {
		domain := "evacuated"
		if i < 5 {
			domain = "open"
		}
		address := fmt.Sprint("10.0.0.1:", i)
		servers = append(servers, backend.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: address, FailureDomain: domain})
		l.recordReport(backend.Report{Address: address}, SinceBoot())
	}
	l.setServers(servers, SinceBoot())
	l.publishLoads()
	request := &WatchRequest{Entry: "e", WantsEvacuations: true}
	openLoads := func() (n int) {
		var reply WatchReply
		l.fillReply(request, SinceBoot(), &reply)
		request.List = reply.List
		for _, r := range reply.Reports {
			if slices.ContainsFunc(servers[:5], func(s backend.Server) bool { return s.Address == r.Address }) {
				n++
			}
		}
		return n
	}
	if n := openLoads(); n == 5 {
		t.Fatal("the usual subset holds all servers outside the failure domain")
	}
	l.evacuations = func() (map[string]bool, uint64) { return map[string]bool{"evacuated": true}, 1 }
	if n := openLoads(); n != 5 {
		t.Errorf("loads of %d of the 5 servers that the entry uses", n)
	}
	request.Evacuations = 1
	if n := openLoads(); n != 0 {
		t.Errorf("%d loads sent again", n)
	}
}
