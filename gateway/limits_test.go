package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// testPermits is a PermitSource that grants a number of permits.
type testPermits struct {
	mu       sync.Mutex
	left     int
	err      error
	asked    int
	reported []serverlimit.Observation
	// onAsk is called before a request for permits is answered and may change the reply.
	// It may be nil.
	onAsk func(serverlimit.Request, *serverlimit.Reply)
}

func (p *testPermits) AcquirePermits(_ context.Context, r serverlimit.Request) (serverlimit.Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.err != nil {
		return serverlimit.Reply{}, p.err
	}
	reply := serverlimit.Reply{Known: r.Known, Askers: 1, RetryIn: 200 * time.Millisecond, SlotIn: 300 * time.Millisecond}
	if p.left > 0 {
		p.left--
		reply.Permits = 1
	}
	if p.onAsk != nil {
		p.onAsk(r, &reply)
	}
	return reply, nil
}

func (p *testPermits) ReportLimit(_, _ string, o serverlimit.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = append(p.reported, o)
}

// limitDialect also reads limits.
type limitDialect struct{ testDialect }

func (d limitDialect) ReadResponse(status int, h http.Header) ResponseMetadata {
	m := d.testDialect.ReadResponse(status, h)
	if text := h.Get("T-Limit"); text != "" {
		m.Limit.PerSecond, _ = strconv.ParseFloat(text, 64)
		m.Limit.Limited = true
	}
	return m
}

// limitedHandler echoes and names the limit that limit returns, empty for none.
func limitedHandler(limit func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if text := limit(); text != "" {
			w.Header().Set("T-Limit", text)
		}
		echo(w, r)
	}
}

// newLimitHarness returns a harness before servers that name the limit that limit
// returns, and the log.
func newLimitHarness(t *testing.T, permits *testPermits, limit func() string, servers int) (
	*harness, []*testServer, *observer.ObservedLogs) {
	var list []*testServer
	for range servers {
		list = append(list, newTestServer(t, limitedHandler(limit)))
	}
	h := newHarness(t, nil, list...)
	core, logs := observer.New(zap.InfoLevel)
	h.gateway.options.Dialect, h.gateway.options.Logger = limitDialect{}, zap.New(core)
	h.gateway.logger, h.gateway.limits.logger = zap.New(core), zap.New(core)
	h.gateway.options.Permits, h.gateway.limits.source = permits, permits
	return h, list, logs
}

// Guards against refusals for a limit that come late, are not marked as not run, have
// no time to return or leave no trace of the limit in the log; and against a limit
// whose start, change and end is not logged exactly once.
func TestRefusalForLimit(t *testing.T) {
	limit := "2.5"
	permits := &testPermits{left: 1}
	h, servers, logs := newLimitHarness(t, permits, func() string { return limit }, 1)
	expect := func(status int) http.Header {
		t.Helper()
		got, header, body, err := h.call("/once/x")
		if err != nil || got != status {
			t.Fatalf("%d %q %v, want %d", got, body, err, status)
		}
		return header
	}
	expect(200) // names the limit
	expect(200) // takes the permit
	header := expect(503)
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || seconds < 0.25 || seconds > 10 ||
		header.Get(verdictHeader) != "not_run" {
		t.Errorf("refused with %v", header)
	}
	if n := servers[0].count.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
	refusals := logs.FilterMessage("request not served").All()
	if len(refusals) != 1 {
		t.Fatalf("%d refusals logged", len(refusals))
	}
	fields := refusals[0].ContextMap()
	for _, name := range []string{"limited_servers", "limit_per_second", "limit_age_seconds", "limit_source"} {
		if fields[name] == nil {
			t.Errorf("no %s in %v", name, fields)
		}
	}
	if got := h.gateway.limits.metrics.limitedServers.String(); got != `{"s":1}` {
		t.Errorf("limited servers: %s", got)
	}
	limit = "4"
	time.Sleep(250 * time.Millisecond)
	permits.mu.Lock()
	permits.left = 2
	permits.mu.Unlock()
	expect(200)
	limit = ""
	expect(200)
	expect(200)
	for _, message := range []string{"learned", "changed", "ended"} {
		if n := logs.FilterMessage("limit of a backend server " + message).Len(); n != 1 {
			t.Errorf("%s logged %d times", message, n)
		}
	}
	if len(permits.reported) != 3 {
		t.Errorf("reported %v", permits.reported)
	}
}

// Guards against requests that are held or sent without a permit while the control
// group does not answer, and against a call to it for each of them.
func TestLimitWithoutControlGroup(t *testing.T) {
	permits := &testPermits{err: errors.New("no leader is known")}
	h, servers, _ := newLimitHarness(t, permits, func() string { return "5" }, 1)
	for i := range 10 {
		want := 503
		if i == 0 {
			want = 200
		}
		if status, _, body, err := h.call("/once/x"); err != nil || status != want {
			t.Errorf("call %d: %d %q %v, want %d", i, status, body, err, want)
		}
	}
	if n := servers[0].count.Load(); n != 1 || permits.asked > 2 {
		t.Errorf("%d requests arrived, the control group was asked %d times", n, permits.asked)
	}
}

// Guards against a request that is refused although another server has no limit, and
// against limits that the control group published and the entry does not keep.
func TestPublishedLimitSendsRequestsElsewhere(t *testing.T) {
	permits := &testPermits{}
	h, servers, _ := newLimitHarness(t, permits, func() string { return "" }, 2)
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		now := fleet.SinceBoot()
		view.Limits = map[string]serverlimit.Observation{"i-0": {Limited: true, SentAt: now, ReceivedAt: now}}
		f.view = &view
	})
	for range 20 {
		if status, _, body, err := h.call("/once/x"); err != nil || status != 200 {
			t.Errorf("%d %q %v", status, body, err)
		}
	}
	if a, b := servers[0].count.Load(), servers[1].count.Load(); a != 0 || b != 20 {
		t.Errorf("%d and %d requests arrived", a, b)
	}
}

// Guards against a change of a limit that an entry learns with a denied permit and does
// not log.
func TestLimitLearnedWithAPermit(t *testing.T) {
	permits := &testPermits{}
	h, servers, logs := newLimitHarness(t, permits, func() string { return "5" }, 1)
	if status, _, body, err := h.call("/once/x"); err != nil || status != 200 {
		t.Fatal(status, body, err)
	}
	permits.onAsk = func(_ serverlimit.Request, r *serverlimit.Reply) {
		r.Known = &serverlimit.Age{Limited: true, PerSecond: 3, SentAgo: -time.Second, ReceivedAgo: -time.Second}
	}
	if status, _, body, err := h.call("/once/x"); err != nil || status != 503 {
		t.Errorf("%d %q %v", status, body, err)
	}
	if n := servers[0].count.Load(); n != 1 || logs.FilterMessage("limit of a backend server changed").Len() != 1 {
		t.Errorf("%d requests arrived, %v", n, logs.All())
	}
}

// Guards against a crash when a server leaves the list while a permit for it is asked.
func TestServerLeavesWhileAPermitIsAsked(t *testing.T) {
	permits := &testPermits{}
	h, _, _ := newLimitHarness(t, permits, func() string { return "5" }, 2)
	for range 4 {
		if status, _, body, err := h.call("/once/x"); err != nil || status != 200 && status != 503 {
			t.Fatal(status, body, err)
		}
	}
	permits.mu.Lock()
	permits.onAsk = func(r serverlimit.Request, _ *serverlimit.Reply) {
		h.fleet.set(func(f *testFleet) {
			view := *f.view
			view.Servers = slices.DeleteFunc(slices.Clone(view.Servers), func(s backend.Server) bool { return s.ID == r.Server })
			f.view = &view
		})
	}
	permits.mu.Unlock()
	time.Sleep(250 * time.Millisecond)
	for range 3 {
		if status, _, body, err := h.call("/once/x"); err != nil || status != 503 {
			t.Errorf("%d %q %v", status, body, err)
		}
	}
}
