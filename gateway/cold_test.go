package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// newColdHarness returns a harness before two servers in failure domains d0 and d1, whose
// service has a bound for cold servers, and the log.
func newColdHarness(t *testing.T, permits *testPermits, limit func() string) (*harness, []*testServer, *observer.ObservedLogs) {
	h, servers, logs := newLimitHarness(t, permits, limit, 2)
	h.gateway.cold.source, h.gateway.cold.logger = permits, h.gateway.logger
	placeInDomains(h)
	h.fleet.set(func(f *testFleet) {
		state := *f.view.Table.State
		state.Services = []desired.Service{{Name: "s", ColdStart: 300 * time.Millisecond, ColdPerSecond: 5}}
		// On a busy machine, a caller may send its first byte later than the 300 ms of other tests after it
		// connected, and then finds the connection closed.
		state.Limits.HeaderTimeout = 10 * time.Second
		view := *f.view
		view.Table = desired.NewTable(&state)
		f.view = &view
	})
	return h, servers, logs
}

// setCold makes servers cold for a time.
func setCold(h *harness, d time.Duration, ids ...string) {
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		view.Servers = append([]backend.Server(nil), view.Servers...)
		for i := range view.Servers {
			view.Servers[i].ColdUntil = 0
			for _, id := range ids {
				if view.Servers[i].ID == id {
					view.Servers[i].ColdUntil = fleet.SinceBoot() + d
				}
			}
		}
		f.view = &view
	})
}

func noLimit() string { return "" }

// asks returns how often permits were asked for.
func (p *testPermits) asks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// Guards against a cold server that gets requests without permits, against requests that are
// refused while another server has room, and against calls to the control group for servers
// that are not cold, also after they were.
func TestColdServerGetsPermittedRequests(t *testing.T) {
	permits := &testPermits{left: 3}
	h, servers, logs := newColdHarness(t, permits, noLimit)
	expectCalls(t, h, servers, 20, func(n []int64) bool { return n[0] > 0 && n[1] > 0 })
	if n := permits.asks(); n > 0 {
		t.Errorf("%d requests for permits for servers that are not cold", n)
	}
	setCold(h, time.Hour, "i-0")
	expectCalls(t, h, servers, 40, func(n []int64) bool { return n[0] <= 3 && n[0]+n[1] == 40 })
	if got := h.gateway.cold.metrics.limitedServers.String(); got != `{"s":1}` {
		t.Errorf("cold servers: %s", got)
	}
	setCold(h, 0)
	asked := permits.asks()
	expectCalls(t, h, servers, 40, func(n []int64) bool { return n[0] > 3 && n[1] > 0 })
	setCold(h, 20*time.Millisecond, "i-0")
	time.Sleep(30 * time.Millisecond)
	expectCalls(t, h, servers, 40, func(n []int64) bool { return n[0] > 3 && n[1] > 0 })
	if n := permits.asks(); n != asked {
		t.Errorf("%d requests for permits after the end of the cold time", n-asked)
	}
	if got := h.gateway.cold.metrics.limitedServers.String(); got != `{"s":0}` {
		t.Errorf("cold servers: %s", got)
	}
	for _, message := range []string{"learned", "ended"} {
		lines := logs.FilterMessage("limit of a backend server " + message).All()
		if len(lines) != 2 || lines[0].ContextMap()["limit_source"] != "cold" {
			t.Errorf("%s: %v", message, lines)
		}
	}
}

// Guards against refusals because all servers are cold that are held, are not marked as not
// run, or have no time to return; and against requests to cold servers without the control group.
func TestAllServersCold(t *testing.T) {
	for _, err := range []error{nil, errors.New("no leader is known")} {
		permits := &testPermits{err: err}
		h, servers, logs := newColdHarness(t, permits, noLimit)
		setCold(h, time.Hour, "i-0", "i-1")
		status, header, body, callErr := h.call("/once/x")
		seconds, parseErr := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if callErr != nil || status != 503 || header.Get(verdictHeader) != "not_run" || parseErr != nil || seconds <= 0 ||
			seconds > 10 || !strings.Contains(body, "the backend servers are cold") {
			t.Errorf("%d %v %q %v", status, header, body, callErr)
		}
		if n := servers[0].count.Load() + servers[1].count.Load(); n > 0 {
			t.Errorf("%d requests arrived", n)
		}
		refusals := logs.FilterMessage("request not served").All()
		if len(refusals) != 1 || refusals[0].ContextMap()["limit_source"] == nil {
			t.Errorf("refusals logged: %v", refusals)
		}
	}
}

// Guards against servers that get the requests of warm ones when the evacuation of their
// failure domain ends, before the list can show that they are cold.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	permits := &testPermits{left: 2}
	h, servers, _ := newColdHarness(t, permits, noLimit)
	evacuate(h, 0, "d0")
	evacuate(h, 0)
	expectCalls(t, h, servers, 30, func(n []int64) bool { return n[0] <= 2 })
	time.Sleep(300 * time.Millisecond)
	expectCalls(t, h, servers, 30, func(n []int64) bool { return n[0] > 2 })
}

// Guards against servers that get the requests of warm ones when an entry learns of the beginning
// and the end of an evacuation at once, against evacuations of before the entry's start that make
// servers cold, and against an end that shortens the time for which a server counts as cold.
func TestEndedEvacuationsMakeServersCold(t *testing.T) {
	h, _, _ := newColdHarness(t, &testPermits{}, noLimit)
	ended := func(l *limiter, revision uint64) {
		view := *h.fleet.View()
		view.EndedEvacuations = map[string]uint64{"d0": revision}
		l.updateCold(&view)
	}
	cold := func(l *limiter) []string { return l.limited([]string{"i-0", "i-1"}) }
	options := Options{Permits: &testPermits{}, BoundsColdServers: true, Logger: zap.NewNop(), Metrics: observe.NewMetrics()}
	started := newColdLimiter(&options)
	for range 2 {
		if ended(started, 2); len(cold(started)) > 0 {
			t.Errorf("cold because of an evacuation before the start: %v", cold(started))
		}
	}
	if ended(started, 4); len(cold(started)) != 1 || cold(started)[0] != "i-0" {
		t.Errorf("cold after an evacuation that the entry did not see: %v", cold(started))
	}
	view := h.fleet.View()
	started.assumeCold(view.Servers[0], view)
	until := started.cold.assumed["i-0"]
	if ended(started, 6); started.cold.assumed["i-0"] != until {
		t.Errorf("cold until %v, want %v", started.cold.assumed["i-0"], until)
	}
}

// Guards against a cold server with a limit that gets requests with a permit for only one of
// the two.
func TestColdServerWithLimitNeedsBothPermits(t *testing.T) {
	permits := &testPermits{}
	h, servers, _ := newColdHarness(t, permits, func() string { return "5" })
	expectCalls(t, h, servers[:1], 1, func([]int64) bool { return true })
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		now := fleet.SinceBoot()
		named := serverlimit.Observation{Limited: true, PerSecond: 5, SentAt: now, ReceivedAt: now}
		view.Limits = map[string]serverlimit.Observation{"i-0": named, "i-1": named}
		f.view = &view
	})
	setCold(h, time.Hour, "i-0", "i-1")
	arrived := servers[0].count.Load() + servers[1].count.Load()
	for _, granted := range []bool{true, false} {
		permits.mu.Lock()
		permits.onAsk = func(r serverlimit.Request, reply *serverlimit.Reply) {
			reply.Permits = 0
			if (r.ColdPerSecond > 0) == granted {
				reply.Permits = 1
			}
		}
		permits.mu.Unlock()
		if status, _, body, err := h.call("/once/x"); err != nil || status != 503 {
			t.Errorf("permits for cold servers only: %v: %d %q %v", granted, status, body, err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if n := servers[0].count.Load() + servers[1].count.Load(); n != arrived {
		t.Errorf("%d requests arrived with one of two permits", n-arrived)
	}
	permits.mu.Lock()
	permits.onAsk = func(_ serverlimit.Request, reply *serverlimit.Reply) { reply.Permits = 1 }
	permits.mu.Unlock()
	if status, _, body, err := h.call("/once/x"); err != nil || status != 200 {
		t.Errorf("both permits: %d %q %v", status, body, err)
	}
}

// Guards against a request that is sent after its permit ended, as after a suspension.
func TestNothingIsSentAfterThePermit(t *testing.T) {
	server := newTestServer(t, echo)
	h := newHarness(t, nil, server)
	parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	target := h.fleet.View().Servers[0]
	for _, c := range []struct {
		until time.Duration
		sent  bool
	}{{fleet.SinceBoot() - 1, false}, {0, true}, {fleet.SinceBoot() + time.Hour, true}} {
		before := server.count.Load()
		u, result, err := h.gateway.send(context.Background(), target, &request{Request: parsed}, ForwardMetadata{}, c.until)
		u.discard()
		if c.sent != (err == nil) || c.sent != (server.count.Load() > before) ||
			!c.sent && (result != dispatch.NotSent || !errors.Is(err, errPermitEnded)) {
			t.Errorf("permit until %v: %v %v", c.until, result, err)
		}
	}
}

// Guards against a server that was down and gets the requests of a warm one when it starts again,
// before the list shows that it is cold; and against the same for services without a bound.
func TestServersThatTookNoConnectionCountAsCold(t *testing.T) {
	for _, bounded := range []bool{true, false} {
		permits := &testPermits{left: 2}
		h, servers, _ := newColdHarness(t, permits, noLimit)
		if !bounded {
			h.fleet.set(func(f *testFleet) {
				state := *f.view.Table.State
				state.Services = []desired.Service{{Name: "s"}}
				view := *f.view
				view.Table = desired.NewTable(&state)
				f.view = &view
			})
		}
		address := servers[0].address
		_ = servers[0].Close()
		expectCalls(t, h, servers, 20, func(n []int64) bool { return n[1] == 20 })
		again := &http.Server{Handler: servers[0].Handler}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = again.Serve(l) }()
		t.Cleanup(func() { _ = again.Close() })
		// Placement sets a server that failed back for a while.
		time.Sleep(500 * time.Millisecond)
		expectCalls(t, h, servers, 40, func(n []int64) bool { return (n[0] > 2) != bounded })
	}
}

// Guards against servers that count as cold because callers gave up while the entry connected, and
// against one that took no connection and does not count as cold, for any kind of attempt.
func TestOnlyRefusedConnectionsMakeServersCold(t *testing.T) {
	h, servers, _ := newColdHarness(t, &testPermits{}, noLimit)
	parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	target := h.fleet.View().Servers[0]
	// A server that has not begun to serve keeps its listener open when it is closed.
	u, _, err := h.gateway.send(context.Background(), target, &request{Request: parsed}, ForwardMetadata{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	u.discard()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		ctx  context.Context
		copy string
		cold bool
	}{{canceled, "", false}, {context.Background(), "copy", true}} {
		if c.cold {
			_ = servers[0].Close()
		}
		_, result, err := h.gateway.send(c.ctx, target, &request{Request: parsed}, ForwardMetadata{Copy: c.copy}, 0)
		if result != dispatch.NotSent || err == nil {
			t.Errorf("%v %v", result, err)
		}
		if cold := len(h.gateway.cold.limited([]string{target.ID})) > 0; cold != c.cold {
			t.Errorf("cold %v, want %v after %v", cold, c.cold, err)
		}
	}
}

// BenchmarkPermitWithoutColdServers measures what the bound of cold servers costs a request
// while no server is cold: the permit and the list of servers that can get nothing.
func BenchmarkPermitWithoutColdServers(b *testing.B) {
	options := Options{Permits: &testPermits{}, BoundsColdServers: true, Logger: zap.NewNop(), Metrics: observe.NewMetrics()}
	l, server := newColdLimiter(&options), backend.Server{ID: "i-0", Service: "s"}
	for b.Loop() {
		if permitted, _, _ := l.permit(context.Background(), server, false); !permitted || l.waiting("s") != nil {
			b.Fatal("not permitted")
		}
	}
}

// Guards against generations that queue at a cold engine without a reservation although its rate
// leaves room for one, and are preempted later, and against reservations and generations that
// together exceed the permits.
func TestReservationsAtColdServers(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond               float64
		permits, calls          int
		reservations, delivered int
	}{
		"enough permits":                    {33, 20, 5, 5, 5},
		"no permit for the generation":      {33, 1, 1, 1, 0},
		"a rate that is too low to reserve": {5, 20, 5, 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			server, reserver := newTestServer(t, streamReservation), &testReserver{free: map[string]bool{"i-0": true}}
			permits := &testPermits{left: c.permits}
			h := newEngineHarness(t, reserver, server)
			h.gateway.cold.source = permits
			h.fleet.set(func(f *testFleet) {
				state := *f.view.Table.State
				state.Services = []desired.Service{{Name: "s", ColdStart: time.Second, ColdPerSecond: c.perSecond,
					Engine: &desired.Engine{MemoryTokens: 30000, CanReserve: true}}}
				f.view = &fleet.View{Table: desired.NewTable(&state), Version: 2, Servers: f.view.Servers}
			})
			setCold(h, time.Hour, "i-0")
			delivered := 0
			for range c.calls {
				status, header, _, err := h.call("/stream/x")
				if err != nil || status != http.StatusOK && header.Get(verdictHeader) != "not_run" {
					t.Errorf("%d %v %v", status, header, err)
				}
				if status == http.StatusOK {
					delivered++
				}
			}
			if len(reserver.asked) != c.reservations || delivered != c.delivered || int(server.count.Load()) != c.delivered {
				t.Errorf("%d reservations, %d arrivals, %d generations delivered", len(reserver.asked), server.count.Load(), delivered)
			}
			if arrived := len(reserver.asked) + int(server.count.Load()); arrived > c.permits {
				t.Errorf("%d arrivals with %d permits", arrived, c.permits)
			}
		})
	}
}
