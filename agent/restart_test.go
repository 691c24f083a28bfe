package agent

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	coreorder "arbutusmast.example/arbutusmast/core/order"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/order"
	"go.uber.org/zap"
)

// testFleet is a Fleet with a configuration that tests replace.
type testFleet struct {
	config atomic.Pointer[contract.Config]
}

func newTestFleet(config *contract.Config) *testFleet {
	f := &testFleet{}
	f.config.Store(config)
	return f
}

func (f *testFleet) Config() *contract.Config  { return f.config.Load() }
func (f *testFleet) Header() message.Header    { return message.Header{} }
func (f *testFleet) Observe(message.Header)    {}
func (f *testFleet) Members() []message.Member { return nil }

// buildTestConfig declares backend server d-1 of host h1 or h2.
func buildTestConfig(t *testing.T, host, address string) *contract.Config {
	t.Helper()
	config, faults := contract.Build(1, contract.Sections{
		"failure-domain abdali": {"region": "amman"}, "host h1": {"failure_domain": "abdali"},
		"host h2": {"failure_domain": "abdali"}, "service drafting-llm": {},
		"model drafting":     {"service": "drafting-llm", "versions": "v1"},
		"route main":         {"service": "drafting-llm", "model": "drafting", "version": "v1"},
		"backend-server d-1": {"host": host, "service": "drafting-llm", "address": address},
	})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return config
}

// grantingControl grants all leases and load slots.
type grantingControl struct{}

func (grantingControl) AcquireLease(context.Context, message.LeaseRequest) (message.LeaseReply, error) {
	return message.LeaseReply{Granted: true, Fencing: 1, Duration: coreorder.LeaseDuration}, nil
}

func (g grantingControl) RenewLease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	return g.AcquireLease(ctx, r)
}

func (grantingControl) LoadSlot(context.Context, message.LoadSlotRequest) (message.LoadSlotReply, error) {
	return message.LoadSlotReply{Granted: true}, nil
}

// Guards against a backend server that restarts without its models and gets no orders to load
// them, so that it fails all requests until the agent restarts.
func TestRestartedServerGetsItsOrdersAgain(t *testing.T) {
	server, err := standin.Start(standin.Options{Name: "d-1", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	f := newTestFleet(buildTestConfig(t, "h1", server.Address()))
	orders := order.NewRunner(order.Options{Host: "h1", Config: f.Config, Header: f.Header, Control: grantingControl{},
		Logger: zap.NewNop(), TickInterval: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go orders.Run(ctx)
	a := New(Options{Host: "h1", Fleet: f, OnRestart: orders.ResetLoaded})
	defer a.Close()
	waitForOrders := func(want int) {
		t.Helper()
		// The timeout only ends a test that hangs.
		for end := time.Now().Add(20 * time.Second); len(server.Orders()) < want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d orders, want %d: %v", len(server.Orders()), want, server.Orders())
			}
		}
	}
	waitForOrders(2)
	a.mu.Lock()
	detector := a.backends["d-1"].detector
	a.mu.Unlock()
	detector.probe()
	server.Close()
	detector.probe()
	if server, err = standin.Start(standin.Options{Name: "d-1", Listen: server.Address()}); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	waitForOrders(2)
}

// Guards against an agent that still runs requests at a backend server which the configuration
// has given to another host, beside the agent there.
func TestServerOfAnotherHostIsLeft(t *testing.T) {
	f := newTestFleet(buildTestConfig(t, "h1", "127.0.0.1:1"))
	a := New(Options{Host: "h1", Fleet: f})
	defer a.Close()
	for _, move := range []struct {
		host    string
		refused bool
	}{{"h1", false}, {"h2", true}, {"h1", false}} {
		f.config.Store(buildTestConfig(t, move.host, "127.0.0.1:1"))
		a.Reconcile()
		a.mu.Lock()
		_, refusal := a.findBackend("d-1")
		a.mu.Unlock()
		if refused := refusal != nil; refused != move.refused {
			t.Errorf("server declared for %s: refused %v, want %v", move.host, refused, move.refused)
		}
	}
}

// Guards against an agent that goes on sending requests to the previous address of a backend
// server, and one that keeps polling each address it ever had.
func TestServerAtANewAddress(t *testing.T) {
	addresses := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	f := newTestFleet(buildTestConfig(t, "h1", addresses[0]))
	var connected []string
	a := New(Options{Host: "h1", Fleet: f, Connect: func(s contract.BackendServer) engine.Backend {
		connected = append(connected, s.Address)
		return engine.NewClient(s.Address)
	}})
	defer a.Close()
	var previous []*backendServer
	for _, address := range addresses[1:] {
		a.mu.Lock()
		b := a.backends["d-1"]
		a.mu.Unlock()
		previous = append(previous, b)
		// The first one has a request when its address changes.
		b.mu.Lock()
		b.runs[message.ExecutionID{}] = nil
		b.mu.Unlock()
		f.config.Store(buildTestConfig(t, "h1", address))
		a.Reconcile()
	}
	if !slices.Equal(connected, addresses) {
		t.Errorf("connected to %v, want %v", connected, addresses)
	}
	for _, b := range previous {
		if !b.leaving() || b.ctx.Err() != nil {
			t.Errorf("%s runs a request: leaving %v, stopped %v", b.address, b.leaving(), b.ctx.Err() != nil)
		}
		b.mu.Lock()
		clear(b.runs)
		b.mu.Unlock()
	}
	a.Reconcile()
	for _, b := range previous {
		if b.ctx.Err() == nil {
			t.Errorf("%s is idle and still polled", b.address)
		}
	}
	if len(a.replaced) > 0 {
		t.Errorf("%d replaced servers are kept", len(a.replaced))
	}
}

// Guards against backend servers of one agent that make the same random choices, such as the
// delays that they ask refused callers for.
func TestServersHaveSeedsOfTheirOwn(t *testing.T) {
	seen := map[int64]string{}
	for _, incarnation := range []message.Incarnation{1, 2} {
		for _, name := range []string{"d-1", "d-2", "e-1", "d-10"} {
			key, seed := fmt.Sprint(incarnation, " ", name), randomSeed(incarnation, name)
			if other, taken := seen[seed]; taken {
				t.Errorf("%s has the seed of %s", key, other)
			}
			seen[seed] = key
		}
	}
}
