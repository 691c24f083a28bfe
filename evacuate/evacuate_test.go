package evacuate

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// testEngine is a backend server whose first copies take long.
type testEngine struct {
	mu     sync.Mutex
	status Status
	refuse map[string]bool
	copied map[string]int
	calls  []string
}

func (e *testEngine) Status(context.Context) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status, nil
}

func (e *testEngine) Move(_ context.Context, run, target string, stop bool) (Copy, error) {
	e.mu.Lock()
	e.copied[run]++
	first := e.copied[run] == 1
	call := "copy "
	if stop {
		call = "stop "
	}
	e.calls = append(e.calls, call+run+" to "+target)
	refused := e.refuse[target]
	e.mu.Unlock()
	if refused {
		return Copy{}, errors.New("no room")
	}
	if first {
		time.Sleep(2 * shortCopy)
	}
	return Copy{Name: "here/" + run, Events: 9}, nil
}

type testFleet struct{ view fleet.View }

func (f *testFleet) View() *fleet.View             { return &f.view }
func (f *testFleet) Refresh(context.Context) error { return nil }

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
	agent, err := New(Options{Address: "self", Service: "s", FailureDomain: "a", Engine: engine, Fleet: &testFleet{view}, Pool: pool, Logger: zap.NewNop(), Metrics: observe.NewMetrics()}, server)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	go agent.Run(ctx)
	t.Cleanup(func() { cancel(); server.Close(); pool.Close() })
	return agent, &Locator{Pool: pool, AgentAddress: func(string) string { return l.Addr().String() }}
}

// where asks until the generation has moved. The bound only ends a test that
// hangs.
func where(t *testing.T, l *Locator, run string) string {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if address, name, err := l.Locate(context.Background(), backend.Server{Address: "self"}, run); err == nil {
			return address + " " + name
		}
	}
	t.Fatalf("%s never moved", run)
	return ""
}

func leavingStatus() Status {
	return Status{Leaving: true, LeavesIn: 10 * time.Second, LeavesKnown: true, Runs: []evacuation.Run{{ID: "r1", Tokens: 3000}}}
}

// Guards against a generation that is stopped before its memory was copied, so
// that its caller waits for the whole copy, and against destinations that leave
// or belong to another service.
func TestMovesAreStoppedLast(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}}
	_, locator := newAgent(t, engine)
	if got := where(t, locator, "r1"); got != "near here/r1" {
		t.Errorf("moved to %q", got)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	want := []string{"copy r1 to near", "copy r1 to near", "stop r1 to near"}
	if len(engine.calls) < 3 || engine.calls[0] != want[0] || engine.calls[len(engine.calls)-1] != want[2] {
		t.Errorf("calls %q, want %q", engine.calls, want)
	}
}

// Guards against a generation that is lost because its first destination had no
// room.
func TestRefusedMoveIsPlannedAgain(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}, refuse: map[string]bool{"near": true}}
	_, locator := newAgent(t, engine)
	if got := where(t, locator, "r1"); got != "far here/r1" {
		t.Errorf("moved to %q", got)
	}
}

// Guards against moves off a server that stays.
func TestNothingMovesWithoutNotice(t *testing.T) {
	status := leavingStatus()
	status.Leaving = false
	engine := &testEngine{status: status, copied: map[string]int{}}
	agent, locator := newAgent(t, engine)
	for i := 0; i < 5; i++ {
		agent.mu.Lock()
		seen := agent.previous["r1"]
		agent.mu.Unlock()
		if !seen {
			time.Sleep(statusInterval)
		}
	}
	if _, _, err := locator.Locate(context.Background(), backend.Server{Address: "self"}, "r1"); !errors.Is(err, ErrNotRunning) {
		t.Errorf("whereabouts of a run that stays: %v", err)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if len(engine.calls) > 0 {
		t.Errorf("calls %q", engine.calls)
	}
}
