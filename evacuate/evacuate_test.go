package evacuate

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// testEngine is a backend server whose first copy of each generation takes long.
type testEngine struct {
	mu sync.Mutex
	// onMove is called at each move before it takes effect. It may be nil.
	onMove func(target string, stop bool)
	status Status
	// statusErr is the error of statuses.
	statusErr error
	refuse    map[string]bool
	copied    map[string]int
	calls     []string
	// stopErr is the error of last moves. With keepCopy, the server keeps a copy nevertheless.
	stopErr  error
	keepCopy bool
	// made is the number of events in answers to moves.
	made int
}

func (e *testEngine) Status(context.Context) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.status
	status.ListsRuns = true
	return status, e.statusErr
}

func (e *testEngine) Move(ctx context.Context, generationID, target string, stop bool) (Copy, error) {
	e.mu.Lock()
	e.copied[generationID]++
	first := e.copied[generationID] == 1
	call := "copy "
	if stop {
		call = "stop "
	}
	e.calls = append(e.calls, call+generationID+" to "+target)
	refused, stopErr, name, made := e.refuse[target], error(nil), "", max(9, e.made)
	if stop {
		stopErr = e.stopErr
	}
	if e.keepCopy {
		name = "here/" + generationID
	}
	e.mu.Unlock()
	if e.onMove != nil {
		e.onMove(target, stop)
	}
	if err := ctx.Err(); err != nil {
		return Copy{}, err
	}
	if refused {
		return Copy{}, errors.New("no room")
	}
	if stopErr != nil {
		return Copy{Name: name, Events: made}, stopErr
	}
	if first {
		time.Sleep(2 * maxFinalCopy)
	}
	return Copy{Name: "here/" + generationID, Events: made}, nil
}

func (e *testEngine) ColdFor(context.Context, string) (time.Duration, error) {
	return 0, errors.New("no health path")
}

type testFleet struct {
	view fleet.View
	// evacuated holds the view after the evacuation of failure domains, if set.
	evacuated atomic.Pointer[fleet.View]
}

func (f *testFleet) View() *fleet.View {
	if v := f.evacuated.Load(); v != nil {
		return v
	}
	return &f.view
}
func (f *testFleet) Refresh(context.Context) error { return nil }

// evacuate makes these the evacuated failure domains.
func (f *testFleet) evacuate(domains ...string) {
	v := f.view
	v.Evacuations = map[string]time.Duration{}
	for _, d := range domains {
		v.Evacuations[d] = fleet.SinceBoot()
	}
	f.evacuated.Store(&v)
}

func newAgent(t *testing.T, engine *testEngine) (*Agent, *Locator) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(l)
	view := fleet.View{Servers: []backend.Server{
		{ID: "self", Service: "s", Address: "self", FailureDomain: "a", Slots: 24},
		{ID: "near", Service: "s", Address: "near", FailureDomain: "a", Slots: 24},
		{ID: "far", Service: "s", Address: "far", FailureDomain: "b", Slots: 24},
		{ID: "leaving", Service: "s", Address: "leaving", FailureDomain: "a", Slots: 24, Leaving: true},
		{ID: "other", Service: "o", Address: "other", FailureDomain: "a", Slots: 24},
	}, Reports: map[string]backend.Report{}}
	for _, s := range view.Servers {
		view.Reports[s.Address] = backend.Report{Address: s.Address, Load: backend.Load{TotalTokens: 30000}}
	}
	pool := wire.NewPool(nil)
	agent, err := New(Options{Address: "self", Service: "s", FailureDomain: "a", Engine: engine, Fleet: &testFleet{view: view},
		Pool: pool, Logger: zap.NewNop(), Metrics: observe.NewMetrics()}, server)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	go agent.Run(ctx)
	t.Cleanup(func() { cancel(); server.Close(); pool.Close() })
	return agent, &Locator{Pool: pool, AgentAddress: func(string) string { return l.Addr().String() }}
}

// waitForMove polls until the generation has moved and returns the address and name of
// the copy. The timeout only ends a test that hangs.
func waitForMove(t *testing.T, l *Locator, generationID string) string {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if address, name, err := l.Locate(context.Background(), backend.Server{Address: "self"}, generationID); err == nil {
			return address + " " + name
		}
	}
	t.Fatalf("%s never moved", generationID)
	return ""
}

func leavingStatus() Status {
	return Status{Leaving: true, LeavesIn: 10 * time.Second, LeavesKnown: true,
		Generations: []evacuation.Generation{{ID: "r1", Tokens: 3000}}}
}

// Guards against a generation that is stopped before its memory was copied, so that the
// caller waits for the complete copy, and against destinations that are leaving or
// belong to another service.
func TestGenerationStopsAfterPreCopy(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}}
	_, locator := newAgent(t, engine)
	if got := waitForMove(t, locator, "r1"); got != "near here/r1" {
		t.Errorf("moved to %q", got)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	want := []string{"copy r1 to near", "copy r1 to near", "stop r1 to near"}
	if len(engine.calls) < 3 || engine.calls[0] != want[0] || engine.calls[len(engine.calls)-1] != want[2] {
		t.Errorf("calls %q, want %q", engine.calls, want)
	}
}

// Guards against a generation that is lost because the first destination refused the
// copy.
func TestRefusedMoveIsReplanned(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}, refuse: map[string]bool{"near": true}}
	_, locator := newAgent(t, engine)
	if got := waitForMove(t, locator, "r1"); got != "far here/r1" {
		t.Errorf("moved to %q", got)
	}
}

// Guards against moves from a server that is not leaving.
func TestNothingMovesWithoutNotice(t *testing.T) {
	status := leavingStatus()
	status.Leaving = false
	engine := &testEngine{status: status, copied: map[string]int{}}
	agent, locator := newAgent(t, engine)
	for i := 0; i < 5; i++ {
		agent.mu.Lock()
		seen := agent.lastSeen["r1"]
		agent.mu.Unlock()
		if !seen {
			time.Sleep(statusInterval)
		}
	}
	if _, _, err := locator.Locate(context.Background(), backend.Server{Address: "self"}, "r1"); !errors.Is(err,
		ErrNotRunning) {
		t.Errorf("location of a generation that was not moved: %v", err)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if len(engine.calls) > 0 {
		t.Errorf("calls %q", engine.calls)
	}
}

// Guards against generations that are moved to a server with a limit while another one
// has none, and against generations that are cut off because all others have one.
func TestServersWithLimitsAreTheLastDestinations(t *testing.T) {
	a, _ := newAgent(t, &testEngine{copied: map[string]int{}})
	addresses := func() (list []string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, d := range a.destinations() {
			list = append(list, d.Address)
		}
		return list
	}
	view := a.options.Fleet.View()
	view.Limits = map[string]serverlimit.Observation{"near": {Limited: true}}
	if got := addresses(); !slices.Equal(got, []string{"far"}) {
		t.Errorf("one server with a limit: %v", got)
	}
	view.Limits["far"] = serverlimit.Observation{Limited: true}
	if got := addresses(); !slices.Equal(got, []string{"near", "far"}) {
		t.Errorf("all servers with limits: %v", got)
	}
}

// Guards against an agent that remembers each destination that ever refused a copy, under
// addresses that the platform never uses again.
func TestRefusalsAreForgotten(t *testing.T) {
	a, _ := newAgent(t, &testEngine{copied: map[string]int{}})
	now := time.Now()
	a.mu.Lock()
	for i := range 1000 {
		a.refusedAt[strconv.Itoa(i)] = now.Add(-refusalBackoff)
	}
	a.refusedAt["near"] = now.Add(time.Hour)
	a.mu.Unlock()
	a.planMoves(context.Background(), Status{})
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.refusedAt) != 1 {
		t.Errorf("%d refusals are remembered, want the one that still counts", len(a.refusedAt))
	}
}

// Guards against an evacuated failure domain as a destination, also if no other has room.
func TestEvacuatedDomainsAreNoDestinations(t *testing.T) {
	a, _ := newAgent(t, &testEngine{copied: map[string]int{}})
	for _, c := range []struct {
		domains, want []string
	}{{nil, []string{"near", "far"}}, {[]string{"a"}, []string{"far"}}, {[]string{"b"}, []string{"near"}}, {[]string{"a", "b"}, nil}} {
		a.options.Fleet.(*testFleet).evacuate(c.domains...)
		var got []string
		a.mu.Lock()
		for _, d := range a.destinations() {
			got = append(got, d.Address)
		}
		a.mu.Unlock()
		if !slices.Equal(got, c.want) {
			t.Errorf("evacuated %v: destinations %v, want %v", c.domains, got, c.want)
		}
	}
}

// Guards against a generation that is stopped for a last copy to a destination whose failure
// domain was evacuated during the move. It continues at another server, or runs on if there is
// none.
func TestMoveToEvacuatedDestinationIsPlannedAgain(t *testing.T) {
	for _, c := range []struct {
		evacuated []string
		// during is the copy during which the failure domains are evacuated. The second is short, so
		// the generation would be stopped after it.
		during int
		want   string
	}{{[]string{"a"}, 1, "stop r1 to far"}, {[]string{"a", "b"}, 1, ""}, {[]string{"a"}, 2, "stop r1 to far"},
		{[]string{"a", "b"}, 2, ""}} {
		engine := &testEngine{copied: map[string]int{}}
		a, _ := newAgent(t, engine)
		evacuated := make(chan struct{})
		copies := 0
		engine.mu.Lock()
		engine.onMove = func(string, bool) {
			if copies++; copies == c.during {
				a.options.Fleet.(*testFleet).evacuate(c.evacuated...)
				close(evacuated)
			}
		}
		engine.status = leavingStatus()
		engine.mu.Unlock()
		<-evacuated
		stops := func() (stops []string) {
			engine.mu.Lock()
			defer engine.mu.Unlock()
			for _, call := range engine.calls {
				if strings.HasPrefix(call, "stop") {
					stops = append(stops, call)
				}
			}
			return stops
		}
		for end := time.Now().Add(10 * time.Second); a.metrics.moved.Value()+a.metrics.movesFailed.Value() == 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		if got := strings.Join(stops(), ", "); got != c.want {
			t.Errorf("evacuated %v during copy %d: %q, want %q", c.evacuated, c.during, got, c.want)
		}
	}
}

// Guards against generations that are moved to a cold server, which bears few requests, while
// another one is warm.
func TestColdServersAreTheLastDestinations(t *testing.T) {
	a, _ := newAgent(t, &testEngine{copied: map[string]int{}})
	view := a.options.Fleet.View()
	for i := range view.Servers {
		if view.Servers[i].ID == "near" {
			view.Servers[i].ColdUntil = fleet.SinceBoot() + time.Hour
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if got := a.destinations(); len(got) != 1 || got[0].Address != "far" {
		t.Errorf("destinations %v", got)
	}
}
