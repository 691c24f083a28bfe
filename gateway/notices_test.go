package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// noticeDialect also reads notices.
type noticeDialect struct{ testDialect }

func (d noticeDialect) ReadResponse(status int, h http.Header) ResponseMetadata {
	m := d.testDialect.ReadResponse(status, h)
	seconds, _ := strconv.ParseFloat(h.Get("T-Rest"), 64)
	m.Notice = Notice{Leaving: h.Get("T-Leaving") != "", Rest: time.Duration(seconds * float64(time.Second)),
		MalformedRest: h.Get("T-Malformed")}
	return m
}

// refuseForRest turns requests away and asks for rest.
func refuseForRest(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.Header().Set("T-Rest", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func newNoticeHarness(t *testing.T, servers ...*testServer) (*harness, *observer.ObservedLogs) {
	h := newHarness(t, nil, servers...)
	core, logs := observer.New(zap.InfoLevel)
	h.gateway.options.Dialect, h.gateway.logger, h.gateway.notices.logger = noticeDialect{}, zap.New(core), zap.New(core)
	return h, logs
}

// Guards against a request that is refused by a server at rest and not served by another
// one, and against a refusal without the time at which the rest ends.
func TestRestOfOneServerAndOfAll(t *testing.T) {
	resting, other := newTestServer(t, refuseForRest("2")), newTestServer(t, echo)
	h, logs := newNoticeHarness(t, resting, other)
	for range 20 {
		if status, _, _, err := h.call("/once/x"); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	if got := resting.count.Load(); got > 1 {
		t.Errorf("%d requests at the server at rest", got)
	}
	if got := logs.FilterMessage("backend server asks for rest").Len(); got != 1 {
		t.Errorf("the rest was logged %d times", got)
	}
	h.fleet.set(func(f *testFleet) {
		next := *f.view
		next.Servers = next.Servers[:1]
		f.view = &next
	})
	start := time.Now()
	status, header, body, err := h.call("/once/x")
	seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || status != 503 || header.Get(verdictHeader) != "not_run" || !strings.Contains(body, "rest") ||
		seconds < 1 || seconds > 3 || time.Since(start) > 200*time.Millisecond {
		t.Errorf("%d %v %q %v after %v", status, header, body, err, time.Since(start))
	}
}

// Guards against a mark or a rest that a new view of the list forgets, and against one that
// outlives the server.
func TestNewViewKeepsNotices(t *testing.T) {
	var leaving atomic.Bool
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("T-Leaving", "1")
		}
		echo(w, r)
	})
	h, logs := newNoticeHarness(t, server)
	leaving.Store(true)
	want := func(when string, status int) {
		t.Helper()
		if got, _, _, err := h.call("/once/x"); err != nil || got != status {
			t.Errorf("%s: %d %v, want %d", when, got, err, status)
		}
	}
	want("the answer that says it", 200)
	want("after it", 503)
	change := func(id string) {
		h.fleet.set(func(f *testFleet) {
			next := *f.view
			next.Servers = append([]backend.Server(nil), next.Servers...)
			next.Servers[0].ID = id
			f.view = &next
		})
	}
	change("i-0")
	want("after a new view", 503)
	if !h.gateway.services.isLeaving("i-0") || logs.FilterMessage("backend server says that it leaves").Len() != 1 {
		t.Error("the mark is not known or was not logged once")
	}
	leaving.Store(false)
	change("i-1")
	want("after a new start", 200)
}

// Guards against notices of a server that keep requests from it after it started again under
// its id, and against the loss of a notice while the start is not known.
func TestNoticesEndWithTheProcess(t *testing.T) {
	for name, says := range map[string]http.HandlerFunc{
		"leaving": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("T-Leaving", "1") },
		"rest":    refuseForRest("60"),
	} {
		t.Run(name, func(t *testing.T) {
			var restarted atomic.Bool
			h, _ := newNoticeHarness(t, newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
				if !restarted.Load() {
					says(w, r)
				}
			}))
			start := func(at int64) {
				h.fleet.set(func(f *testFleet) {
					next := *f.view
					next.Servers = append([]backend.Server(nil), next.Servers...)
					next.Servers[0].StartedAt = at
					f.view = &next
				})
			}
			start(1000)
			if _, _, _, err := h.call("/once/x"); err != nil {
				t.Fatal(err)
			}
			for _, c := range []struct {
				startedAt int64
				status    int
			}{{1000, 503}, {0, 503}, {900, 503}, {5000, 200}} {
				restarted.Store(c.status == http.StatusOK)
				start(c.startedAt)
				if status, _, _, err := h.call("/once/x"); err != nil || status != c.status {
					t.Errorf("listed start %d: %d %v, want %d", c.startedAt, status, err, c.status)
				}
			}
		})
	}
}

// restingReserver asks for rest at one server.
type restingReserver struct{ asked atomic.Int64 }

func (r *restingReserver) Reserve(_ context.Context, s backend.Server, _ int) (Reservation, error) {
	if s.ID == "i-0" {
		r.asked.Add(1)
		return Reservation{Notice: Notice{Rest: time.Minute}}, nil
	}
	return Reservation{Name: "hold-" + s.ID}, nil
}

// Guards against a server at rest that gets generations or more requests for reservations,
// because its refusal of a reservation is not read.
func TestReservationThatAsksForRest(t *testing.T) {
	resting, other := newTestServer(t, streamReservation), newTestServer(t, streamReservation)
	reserver := &restingReserver{}
	h := newEngineHarness(t, reserver, resting, other)
	for range 20 {
		if status, _, body, err := h.call("/stream/x"); err != nil || status != 200 || !strings.Contains(body, "i-1") {
			t.Errorf("%d %q %v", status, body, err)
		}
	}
	if reserver.asked.Load() > 1 || resting.count.Load() > 0 {
		t.Errorf("%d reservations and %d generations at the server at rest", reserver.asked.Load(), resting.count.Load())
	}
}

// Guards against a generation that continues at a server while that rests, and against one
// that is given up although the rest ends soon.
func TestGenerationContinuesAfterRest(t *testing.T) {
	for name, c := range map[string]struct {
		rest    time.Duration
		resumed bool
	}{"short": {400 * time.Millisecond, true}, "long": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			source := breakingServer(t, 3)
			target := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(events(4, 6))) })
			var h *harness
			var asked time.Time
			h = newHarness(t, locatorFunc(func(backend.Server, string) (string, string, error) {
				h.gateway.observeNotice(backend.Server{ID: "i-1", Service: "s"}, Notice{Rest: c.rest})
				asked = time.Now()
				return target.address, "copy", nil
			}), source, target)
			h.fleet.set(func(f *testFleet) {
				next := *f.view
				next.Servers = append([]backend.Server(nil), next.Servers...)
				next.Servers[1].Leaving = true
				f.view = &next
			})
			_, _, body, err := h.call("/stream/x")
			if c.resumed && (err != nil || body != events(1, 6) || time.Since(asked) < c.rest) {
				t.Errorf("%q %v after %v", body, err, time.Since(asked))
			}
			if !c.resumed && (err == nil || target.count.Load() > 0) {
				t.Errorf("%q, %d arrivals at the server at rest", body, target.count.Load())
			}
		})
	}
}

// Guards against a notice in an answer to another request or of another instance, and
// against a line for each malformed value.
func TestNoticesOfOthers(t *testing.T) {
	reply := func(status, header string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\n" + strings.ReplaceAll(header, "ID", r.Header.Get("T-Id")) +
				"T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
			_ = conn.Close()
		}
	}
	for name, c := range map[string]struct {
		status, header string
		rests          bool
	}{
		"its own answer":             {"503 Busy", "T-Id: ID\r\nT-Rest: 9\r\n", true},
		"answer to another request":  {"503 Busy", "T-Id: other\r\nT-Rest: 9\r\nT-Leaving: 1\r\n", false},
		"answer of another instance": {"421 Wrong", "T-Id: ID\r\nT-Rest: 9\r\nT-Leaving: 1\r\n", false},
		"malformed":                  {"503 Busy", "T-Id: ID\r\nT-Malformed: soon\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			h, logs := newNoticeHarness(t, newTestServer(t, reply(c.status, c.header)))
			for range 3 {
				_, _, _, _ = h.call("/once/x")
			}
			if got := h.gateway.notices.resting("i-0"); got != c.rests || h.gateway.notices.saysLeaving("i-0") {
				t.Errorf("rests: %v, want %v; leaving: %v", got, c.rests, h.gateway.notices.saysLeaving("i-0"))
			}
			if got := logs.FilterMessage("ignored a malformed rest of a backend server").Len(); got > 1 {
				t.Errorf("malformed value logged %d times", got)
			}
		})
	}
}
