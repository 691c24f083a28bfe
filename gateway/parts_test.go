package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/fleet"
)

// partDialect also reads the shared parts of prompts.
type partDialect struct{ testDialect }

func (d partDialect) ReadRequest(h http.Header) RequestMetadata {
	m := d.testDialect.ReadRequest(h)
	m.Parts = strings.Fields(h.Get("T-Parts"))
	return m
}

// testReporter records reports of crashes.
type testReporter struct {
	mu      sync.Mutex
	reports []*fleet.CrashRequest
}

func (r *testReporter) Crashed(c *fleet.CrashRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, c)
}

// await waits for a report that a function accepts.
func (r *testReporter) await(accept func(*fleet.CrashRequest) bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		found := slices.ContainsFunc(r.reports, accept)
		r.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

func newPartHarness(t *testing.T, servers ...*testServer) (*harness, *testReporter) {
	h, reporter := newHarness(t, nil, servers...), &testReporter{}
	h.gateway.options.Dialect, h.gateway.options.CrashReporter = partDialect{}, reporter
	h.gateway.parts.reporter = reporter
	return h, reporter
}

// publish makes the control group publish statuses of parts.
func (h *harness) publish(statuses ...quarantine.PartStatus) {
	h.fleet.set(func(f *testFleet) {
		next := *f.view
		next.Parts = statuses
		f.view = &next
	})
}

func heldPart(id string) quarantine.PartStatus {
	now := fleet.SinceBoot()
	return quarantine.PartStatus{ID: id, State: quarantine.PartHeld, Crashes: 2, Holds: 1, ServerCrashes: []quarantine.ServerCrash{{Server: "1"}, {Server: "2"}},
		LastCrash: now, Until: now + time.Minute}
}

// Guards against a request with a part that crashes servers reaching one, against a refusal
// of it that gives hope or is untrue, and against refusals of requests that share its
// other parts.
func TestHeldPartIsRefused(t *testing.T) {
	server := newTestServer(t, echo)
	h, reporter := newPartHarness(t, server)
	h.publish(heldPart("d"))
	for _, path := range []string{"/once/x", "/twice/x", "/stream/x"} {
		status, header, body, err := h.call(path, "T-Parts", "a d b")
		if err != nil || status != 503 || header.Get("Retry-After") != "" || header.Get(verdictHeader) != "not_run" ||
			server.count.Load() != 0 {
			t.Errorf("%s: %d %v %q %v, %d arrivals", path, status, header, body, err, server.count.Load())
		}
	}
	if status, _, _, err := h.call("/once/x", "T-Parts", "a b"); err != nil || status != 200 {
		t.Errorf("without the part: %d %v", status, err)
	}
	h.publish()
	if status, _, _, err := h.call("/once/x", "T-Parts", "a d b"); err != nil || status != 503 {
		t.Errorf("after the group forgot the part: %d %v", status, err)
	}
	if !reporter.await(func(r *fleet.CrashRequest) bool { return len(r.HeldParts) == 1 && r.HeldParts[0].ID == "d" }) {
		t.Error("the group was not told of the part that it forgot")
	}
	h.publish(quarantine.PartStatus{ID: "d", State: quarantine.PartCleared, ClearedAt: fleet.SinceBoot()})
	if status, _, _, err := h.call("/once/x", "T-Parts", "a d b"); err != nil || status != 200 {
		t.Errorf("after the release: %d %v", status, err)
	}
}

// Guards against a verdict that arrives while the request is being placed or waits for its
// second attempt.
func TestPartHeldDuringTheRequest(t *testing.T) {
	var h *harness
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		h.publish(heldPart("d"))
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	other := newTestServer(t, echo)
	h, _ = newPartHarness(t, server, other)
	h.fleet.set(func(f *testFleet) {
		next := *f.view
		next.Servers = next.Servers[:1]
		f.view = &next
	})
	status, header, body, err := h.call("/once/x", "T-Parts", "d")
	if err != nil || status != 503 || !strings.Contains(body, "part of the prompt") || header.Get("Retry-After") != "" {
		t.Errorf("%d %v %q %v", status, header, body, err)
	}
	if server.count.Load()+other.count.Load() != 1 {
		t.Errorf("%d and %d arrivals, want one", server.count.Load(), other.count.Load())
	}
}

// Guards against suspected requests that crash several servers at once, and against other
// requests that are moved away with them.
func TestSuspectedPartsGoToOneServer(t *testing.T) {
	servers := []*testServer{newTestServer(t, echo), newTestServer(t, echo), newTestServer(t, echo), newTestServer(t, echo)}
	h, reporter := newPartHarness(t, servers...)
	h.publish(quarantine.PartStatus{ID: "d", State: quarantine.PartSuspected, Crashes: 2, ServerCrashes: []quarantine.ServerCrash{{Server: "1"}, {Server: "2"}},
		LastCrash: fleet.SinceBoot() + time.Hour})
	used := func() (count int) {
		for _, s := range servers {
			if s.count.Swap(0) > 0 {
				count++
			}
		}
		return count
	}
	for range 12 {
		if status, _, _, err := h.call("/once/x", "T-Parts", "a d"); err != nil || status != 200 {
			t.Fatal(status, err)
		}
	}
	if got := used(); got != 1 {
		t.Errorf("%d servers got requests with the suspect, want 1", got)
	}
	for range 40 {
		if status, _, _, err := h.call("/once/x", "T-Parts", "a"); err != nil || status != 200 {
			t.Fatal(status, err)
		}
	}
	if got := used(); got != len(servers) {
		t.Errorf("%d servers got other requests, want all", got)
	}
	if !reporter.await(func(r *fleet.CrashRequest) bool { return len(r.PartsBegun) == 1 && r.PartsBegun[0].Part == "d" }) {
		t.Error("the beginning of an answer on the suspect was not reported")
	}
}

// Guards against blame for a request whose answer had begun when its server crashed, and
// against a crash of which the control group learns nothing.
func TestCrashSuspectsPartsWithoutAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path, sent string
		want       bool
	}{
		"before the answer":          {"/once/x", "", true},
		"before the first event":     {"/stream/x", "", true},
		"inside the first event":     {"/stream/x", "id: 1\ndata: x\n", true},
		"after an event of a stream": {"/stream/x", "id: 1\ndata: x\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var server *testServer
			server = newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if strings.HasPrefix(c.path, "/stream") {
					_, _ = io.WriteString(w, c.sent)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(30 * time.Millisecond)
				}
				_ = server.Close()
			})
			h, reporter := newPartHarness(t, server)
			_, _, _, _ = h.call(c.path, "T-Parts", "a d")
			isReport := func(r *fleet.CrashRequest) bool { return len(r.Crashes) == 1 }
			blames := func(r *fleet.CrashRequest) bool {
				return len(r.PartCrashes) == 1 && slices.Equal(r.PartCrashes[0].Parts, []string{"a", "d"}) &&
					r.PartCrashes[0].Sent >= r.PartCrashes[0].Crashed
			}
			if !reporter.await(isReport) || c.want && !reporter.await(blames) {
				t.Fatalf("reports: %+v", reporter.reports)
			}
			time.Sleep(20 * time.Millisecond)
			reporter.mu.Lock()
			defer reporter.mu.Unlock()
			if !c.want && slices.ContainsFunc(reporter.reports, blames) {
				t.Error("parts were blamed although the answer had begun")
			}
		})
	}
}

// Guards against refusals of requests that share everything but a part of the prompt with
// one that crashes servers.
func TestDigestTellsPromptsApart(t *testing.T) {
	digest := func(parts ...string) string {
		r := &request{Request: &http.Request{Method: http.MethodGet, Host: "h", RequestURI: "/x"}}
		return (&exchange{r: r, metadata: RequestMetadata{Parts: parts}}).digest()
	}
	harmful := digest("a", "d")
	if harmful == digest("a", "b") || harmful == digest("a") || harmful != digest("a", "d") {
		t.Error("digests do not tell prompts apart, or repeats")
	}
}

// Guards against an entry that does not hold back a part which crashed servers before its
// eyes, because it can not reach the control group.
func TestEntryDecidesWithoutTheGroup(t *testing.T) {
	server := newTestServer(t, echo)
	h, _ := newPartHarness(t, server)
	h.gateway.parts.reporter = nil
	for i, instance := range []string{"gone-1", "gone-2"} {
		now := fleet.SinceBoot() + time.Duration(i)*time.Second
		h.gateway.parts.crashed(instance, []string{"a", "d"}[i:], now-100*time.Millisecond, now)
	}
	if status, _, _, err := h.call("/once/x", "T-Parts", "d"); err != nil || status != 503 || server.count.Load() > 0 {
		t.Errorf("%d %v, %d arrivals", status, err, server.count.Load())
	}
	if status, _, _, err := h.call("/once/x", "T-Parts", "a"); err != nil || status != 200 {
		t.Errorf("without the part: %d %v", status, err)
	}
}

// Guards against a generation with a held part that reaches a server because it continues
// there.
func TestHeldPartDoesNotContinue(t *testing.T) {
	source := breakingServer(t, 3)
	target := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, events(4, 6)) })
	h := newHarness(t, locatorFunc(func(backend.Server, string) (string, string, error) {
		return target.address, "copy", nil
	}), source, target)
	h.gateway.options.Dialect = partDialect{}
	h.fleet.set(func(f *testFleet) {
		next := *f.view
		next.Servers = append([]backend.Server(nil), next.Servers...)
		next.Servers[1].Leaving = true
		f.view = &next
	})
	// The part is held back when the generation has begun, and its last crash is later.
	held := heldPart("d")
	held.LastCrash += time.Minute
	h.publish(held)
	x := &exchange{g: h.gateway, metadata: RequestMetadata{ID: "id-1", Parts: []string{"d"}}}
	if _, err := x.resume(context.Background(), backend.Server{ID: "i-0", Address: source.address}); err == nil ||
		target.count.Load() > 0 {
		t.Errorf("resumed: %v, %d arrivals", err, target.count.Load())
	}
}

// Guards against a memory of beginnings that grows with the number of parts.
func TestBeginningsAreBounded(t *testing.T) {
	h, _ := newPartHarness(t)
	for i := range 5 * maxBeginnings {
		h.gateway.parts.began([]string{fmt.Sprint(i)}, 0)
	}
	p := h.gateway.parts
	if kept := len(p.recent) + len(p.older); kept > 2*maxBeginnings || kept < maxBeginnings {
		t.Errorf("%d beginnings kept, want %d to %d", kept, maxBeginnings, 2*maxBeginnings)
	}
	if _, known := p.beginning(fmt.Sprint(5*maxBeginnings - 1)); !known {
		t.Error("the last beginning was forgotten")
	}
}
