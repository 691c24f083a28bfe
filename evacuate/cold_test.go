package evacuate

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// reportSink is a control leader that records reports.
type reportSink struct {
	mu      sync.Mutex
	reports []backend.Report
}

// Report implements Fleet.Report.
func (s *reportSink) Report(request *fleet.ReportRequest, _ *fleet.ReportReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, request.Report)
	return nil
}

// cold returns the reports that tell of a cold server.
func (s *reportSink) cold() (list []backend.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reports {
		if r.ColdFor > 0 {
			list = append(list, r)
		}
	}
	return list
}

// coldEngine is a server whose status shows further runs each time, and whose health path answers.
type coldEngine struct {
	testEngine
	perStatus int
	coldUntil time.Time
	err       error
	delay     time.Duration
	statuses  int
	asked     []time.Time
	paths     map[string]bool
}

func (e *coldEngine) Status(context.Context) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{Load: backend.Load{TotalTokens: 30000}}
	for i := range e.perStatus {
		s.Generations = append(s.Generations, evacuation.Generation{ID: fmt.Sprint(e.statuses, "-", i)})
	}
	e.statuses++
	return s, nil
}

func (e *coldEngine) ColdFor(_ context.Context, path string) (time.Duration, error) {
	e.mu.Lock()
	e.asked = append(e.asked, time.Now())
	e.paths[path] = true
	remaining, err, delay := time.Until(e.coldUntil), e.err, e.delay
	e.mu.Unlock()
	time.Sleep(delay)
	return max(0, remaining), err
}

// calls returns the number of health calls.
func (e *coldEngine) calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.asked)
}

// startColdAgent runs an agent for a time before an engine of a service, and returns what the leader got.
func startColdAgent(t *testing.T, engine *coldEngine, service desired.Service, bounds bool, logger *zap.Logger) *reportSink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, sink, pool := wire.NewServer(l), &reportSink{}, wire.NewPool(nil)
	if err := server.Register(fleet.ServiceName, sink); err != nil {
		t.Fatal(err)
	}
	engine.paths = map[string]bool{}
	view := fleet.View{Leader: l.Addr().String(), Table: desired.NewTable(&desired.State{Services: []desired.Service{service}})}
	agent, err := New(Options{Address: "self", Service: "s", Engine: engine, Fleet: &testFleet{view: view}, Pool: pool,
		Logger: logger, Metrics: observe.NewMetrics(), BoundsColdServers: bounds}, server)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { agent.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; server.Close(); pool.Close() })
	return sink
}

var coldService = desired.Service{Name: "s", HealthPath: "/h", ColdStart: time.Second, ColdPerSecond: 20}

// Guards against an engine that becomes cold while it gets many requests and of which the leader does not learn, or
// learns late, and against a leader that follows and is not told.
func TestAgentReportsThatItsEngineIsCold(t *testing.T) {
	engine := &coldEngine{perStatus: 3}
	sink := startColdAgent(t, engine, coldService, true, zap.NewNop())
	time.Sleep(1500 * time.Millisecond)
	if n := engine.calls(); n < 2 || n > 6 || len(sink.cold()) != 0 {
		t.Fatalf("%d calls in 1.5 s, %d reports of a cold server", n, len(sink.cold()))
	}
	coldAt := time.Now()
	engine.mu.Lock()
	engine.coldUntil = coldAt.Add(3 * time.Second)
	engine.mu.Unlock()
	for len(sink.cold()) == 0 && time.Since(coldAt) < 5*time.Second {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(coldAt)
	first := sink.cold()[0]
	end := coldAt.Add(took + first.ColdFor)
	t.Logf("reported after %v: %+v", took, first)
	if d := end.Sub(coldAt.Add(3 * time.Second)); d.Abs() > 300*time.Millisecond {
		t.Errorf("cold for %v, which ends %v late", first.ColdFor, d)
	}
	if first.NewRuns < 10 {
		t.Errorf("%d new runs reported, want about 30", first.NewRuns)
	}
	calls := engine.calls()
	time.Sleep(time.Until(coldAt.Add(2500 * time.Millisecond)))
	if n := engine.calls() - calls; n > 0 {
		t.Errorf("%d calls while the end of the cold time was known", n)
	}
	if n := len(sink.cold()); n < 2 {
		t.Errorf("%d reports while the server was cold; a leader that follows is not told", n)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if len(engine.paths) != 1 || !engine.paths["/h"] {
		t.Errorf("paths %v", engine.paths)
	}
	for i, at := range engine.asked[1:] {
		if d := at.Sub(engine.asked[i]); d < 150*time.Millisecond {
			t.Errorf("two calls within %v", d)
		}
	}
}

// Guards against health calls, which users pay for, where the bound does not matter.
func TestNoHealthCallsWithoutNeed(t *testing.T) {
	for _, c := range []struct {
		name      string
		perStatus int
		bounds    bool
		change    func(*desired.Service)
	}{
		{"no settings", 9, false, func(*desired.Service) {}},
		{"no rate", 9, true, func(s *desired.Service) { s.ColdPerSecond = 0 }},
		{"no health path", 9, true, func(s *desired.Service) { s.HealthPath = "" }},
		{"another service", 9, true, func(s *desired.Service) { s.Name = "o" }},
		{"no requests", 0, true, func(*desired.Service) {}},
		{"few requests", 1, true, func(s *desired.Service) { s.ColdPerSecond = 30 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			service := coldService
			c.change(&service)
			engine := &coldEngine{perStatus: c.perStatus, coldUntil: time.Now().Add(time.Hour)}
			sink := startColdAgent(t, engine, service, c.bounds, zap.NewNop())
			time.Sleep(1500 * time.Millisecond)
			if n := engine.calls(); n != 0 || len(sink.cold()) != 0 {
				t.Errorf("%d calls, %d reports of a cold server", n, len(sink.cold()))
			}
		})
	}
}

// Guards against a log line for each health call that fails, against an agent that stops asking or reads the status late
// because calls fail or hang, and against a failed call that counts as an answer.
func TestFailedHealthCalls(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	engine := &coldEngine{perStatus: 5, err: errors.New("broken"), coldUntil: time.Now().Add(time.Hour), delay: 300 * time.Millisecond}
	sink := startColdAgent(t, engine, coldService, true, zap.New(core))
	time.Sleep(2 * time.Second)
	if n := engine.calls(); n < 3 || n > 7 {
		t.Errorf("%d calls in 2 s, each of which takes 0.3 s", n)
	}
	if n := logs.FilterMessageSnippet("health").Len(); n != 1 || len(sink.cold()) != 0 {
		t.Errorf("%d log lines, %d reports of a cold server", n, len(sink.cold()))
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.statuses < 10 {
		t.Errorf("the status was read %d times in 2 s", engine.statuses)
	}
}
