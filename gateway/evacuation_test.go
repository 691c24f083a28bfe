package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/fleet"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// placeInDomains puts server i of the view into failure domain "d<i>".
func placeInDomains(h *harness) {
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		view.Servers = append([]backend.Server(nil), view.Servers...)
		for i := range view.Servers {
			view.Servers[i].FailureDomain = fmt.Sprint("d", i)
		}
		f.view = &view
	})
}

// evacuate makes these the evacuated failure domains, learned of some time ago.
func evacuate(h *harness, learnedAgo time.Duration, domains ...string) {
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		view.Evacuations = map[string]time.Duration{}
		for _, d := range domains {
			view.Evacuations[d] = fleet.SinceBoot() - learnedAgo
		}
		f.view = &view
	})
}

// expectCalls makes calls and checks how many reach each server.
func expectCalls(t *testing.T, h *harness, servers []*testServer, calls int, reached func(counts []int64) bool) {
	t.Helper()
	counts := make([]int64, len(servers))
	for i, s := range servers {
		counts[i] = -s.count.Load()
	}
	for range calls {
		if status, _, body, err := h.call("/once/x"); err != nil || status != 200 {
			t.Fatalf("%d %q %v", status, body, err)
		}
	}
	for i, s := range servers {
		counts[i] += s.count.Load()
	}
	if !reached(counts) {
		t.Errorf("requests by server: %v", counts)
	}
}

// Guards against requests that reach servers of an evacuated failure domain when only the set
// of evacuations changes, against servers that get none after it ends, and against changes that
// are not logged exactly once.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	servers := []*testServer{newTestServer(t, echo), newTestServer(t, echo)}
	h := newHarness(t, nil, servers...)
	placeInDomains(h)
	expectCalls(t, h, servers, 30, func(n []int64) bool { return n[0] > 0 && n[1] > 0 })
	evacuate(h, 0, "d0")
	expectCalls(t, h, servers, 30, func(n []int64) bool { return n[0] == 0 && n[1] == 30 })
	evacuate(h, 0, "d1")
	expectCalls(t, h, servers, 30, func(n []int64) bool { return n[0] == 30 && n[1] == 0 })
	evacuate(h, 0)
	expectCalls(t, h, servers, 30, func(n []int64) bool { return n[0] > 0 && n[1] > 0 })
}

// Guards against a request that is held, is refused without a time to return or may have run
// when all failure domains of its service are evacuated.
func TestAllFailureDomainsEvacuated(t *testing.T) {
	servers := []*testServer{newTestServer(t, echo), newTestServer(t, echo)}
	h := newHarness(t, nil, servers...)
	placeInDomains(h)
	evacuate(h, 0, "d0", "d1")
	for _, path := range []string{"/once/x", "/twice/x", "/stream/x"} {
		status, header, body, err := h.call(path)
		if err != nil || status != 503 || header.Get("Retry-After") == "" || header.Get(verdictHeader) != "not_run" ||
			!strings.Contains(body, "all failure domains of the service are evacuated") {
			t.Errorf("%s: %d %v %q %v", path, status, header, body, err)
		}
	}
	if n := servers[0].count.Load() + servers[1].count.Load(); n > 0 {
		t.Errorf("%d requests arrived", n)
	}
	if server, ok := h.gateway.services.choose(h.gateway.elapsed(), "s", placement.Query{Blocks: 1}); ok {
		t.Errorf("placement chooses %s", server.ID)
	}
}

// evacuatingReserver reserves memory and calls a function before it answers.
type evacuatingReserver struct{ before func(server string) }

func (r evacuatingReserver) Reserve(_ context.Context, s backend.Server, _ int) (Reservation, error) {
	r.before(s.ID)
	return Reservation{Name: "hold-" + s.ID}, nil
}

// Guards against a request that is sent to the server that was chosen for it although the
// failure domain was evacuated meanwhile, and against evidence or a refusal because of that.
func TestPlacedRequestIsPlacedAgain(t *testing.T) {
	servers := []*testServer{newTestServer(t, streamReservation), newTestServer(t, streamReservation)}
	var h *harness
	first := ""
	h = newEngineHarness(t, evacuatingReserver{func(server string) {
		if first == "" {
			first = server
			evacuate(h, 0, "d"+server[len("i-"):])
		}
	}}, servers...)
	placeInDomains(h)
	core, logs := observer.New(zap.InfoLevel)
	h.gateway.logger = zap.New(core)
	other := map[string]string{"i-0": "i-1", "i-1": "i-0"}
	status, _, body, err := h.call("/stream/x")
	if want := "data: " + other[first] + " hold-" + other[first] + "\n\n"; err != nil || status != 200 || body != want {
		t.Errorf("%d %q %v, want %q", status, body, err, want)
	}
	if n := servers[0].count.Load() + servers[1].count.Load(); n != 1 {
		t.Errorf("%d requests arrived", n)
	}
	if logs.FilterMessage("evidence against a backend server").Len() > 0 {
		t.Error("an evacuated server counts as failing")
	}
}

// Guards against a request that is sent to, or a reservation that is made at, a server whose
// failure domain is evacuated while a permit for the server is asked.
func TestEvacuationWhileAPermitIsAsked(t *testing.T) {
	permits := &testPermits{left: 10}
	h, servers, _ := newLimitHarness(t, permits, func() string { return "50" }, 2)
	placeInDomains(h)
	expectCalls(t, h, servers, 12, func(n []int64) bool { return n[0] > 0 && n[1] > 0 })
	evacuated := -1
	var before int64
	permits.mu.Lock()
	permits.left = 1000
	permits.onAsk = func(r serverlimit.Request, _ *serverlimit.Reply) {
		if evacuated < 0 {
			evacuated = int(r.Server[len("i-")] - '0')
			before = servers[evacuated].count.Load()
			evacuate(h, 0, fmt.Sprint("d", evacuated))
		}
	}
	permits.mu.Unlock()
	for range 10 {
		if status, _, body, err := h.call("/once/x"); err != nil || status != 200 {
			t.Errorf("%d %q %v", status, body, err)
		}
	}
	if evacuated < 0 || servers[evacuated].count.Load() != before {
		t.Errorf("server %d got requests after its evacuation", evacuated)
	}
}

// Guards against a generation that is lost because its copy was made in a failure domain that
// was evacuated just then, and against one that continues there later.
func TestResumeInEvacuatedDomain(t *testing.T) {
	for _, c := range []struct {
		name       string
		bound, ago time.Duration
		resumed    bool
	}{
		{"learned just now", 0, 0, true},
		{"learned before the limit", 5 * time.Second, 1200 * time.Millisecond, false},
		{"learned within a fifth of a short bound", 2 * time.Second, 0, true},
		{"learned before a fifth of a short bound", 2 * time.Second, 600 * time.Millisecond, false},
		{"learned within the limit of a long bound", time.Minute, 100 * time.Millisecond, true},
		{"learned before the limit of a long bound", time.Minute, 1100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("T-Copy") != "" {
					_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
					return
				}
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			destination := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
			})
			var h *harness
			h = newHarness(t, locatorFunc(func(backend.Server, string) (string, string, error) {
				evacuate(h, c.ago, "d1")
				return destination.address, "copy", nil
			}), source, destination)
			placeInDomains(h)
			h.fleet.set(func(f *testFleet) {
				view := *f.view
				view.Servers = append([]backend.Server(nil), view.Servers...)
				view.Servers[1].Leaving = true
				f.view = &view
			})
			h.gateway.options.EvacuationBound = c.bound
			_, _, body, _ := h.call("/stream/x")
			if resumed := destination.count.Load() > 0; resumed != c.resumed || c.resumed != strings.Contains(body, "data: b") {
				t.Errorf("resumed: %v, response %q", resumed, body)
			}
		})
	}
}

// Guards against failures of servers in an evacuated failure domain that are taken for those
// of servers that leave, and are not reported.
func TestFailuresInEvacuatedDomainsCount(t *testing.T) {
	pool := &recordingPool{}
	var h *harness
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		evacuate(h, 0, "d0")
		w.WriteHeader(http.StatusInternalServerError)
	})
	h = newHarness(t, nil, server)
	placeInDomains(h)
	h.gateway.outcomes.pool = pool
	if status, _, body, err := h.call("/once/x"); err != nil || status != 500 {
		t.Fatal(status, body, err)
	}
	if h.gateway.services.isLeaving("i-0") {
		t.Error("an evacuated server counts as leaving")
	}
	h.gateway.outcomes.mu.Lock()
	defer h.gateway.outcomes.mu.Unlock()
	if !h.gateway.outcomes.collector.Urgent() {
		t.Error("the failure was not recorded")
	}
}

// recordingPool is an OutcomePool that drops reports and allows no probes.
type recordingPool struct{}

func (*recordingPool) ReportOutcomes(string, []serverhealth.Batch)       {}
func (*recordingPool) AcquireProbe(context.Context, string, string) bool { return false }
