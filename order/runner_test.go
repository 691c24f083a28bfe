package order

import (
	"context"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	coreorder "arbutusmast.example/arbutusmast/core/order"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/engine/standin"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// grants is a control group that grants everything.
type grants struct {
	mu      sync.Mutex
	fencing uint64
}

func (g *grants) AcquireLease(context.Context, message.LeaseRequest) (message.LeaseReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fencing++
	return message.LeaseReply{Granted: true, Fencing: g.fencing, Duration: coreorder.LeaseDuration}, nil
}

func (g *grants) RenewLease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	return g.AcquireLease(ctx, r)
}

func (g *grants) LoadSlot(context.Context, message.LoadSlotRequest) (message.LoadSlotReply, error) {
	return message.LoadSlotReply{Granted: true}, nil
}

func testConfig(t *testing.T, address string) *contract.Config {
	t.Helper()
	config, faults := contract.Build(1, contract.Sections{
		"failure-domain abdali": {"region": "amman"}, "host h1": {"failure_domain": "abdali"},
		"service drafting-llm": {}, "model drafting": {"service": "drafting-llm", "versions": "v1,v2"},
		"route main":         {"service": "drafting-llm", "model": "drafting", "version": "v1"},
		"route trial":        {"service": "drafting-llm", "model": "drafting", "version": "v2"},
		"backend-server d-1": {"host": "h1", "service": "drafting-llm", "address": address},
	})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return config
}

// TestRunnerLoadsWhatRoutesNeed guards against an experiment whose version is
// routed to but never loaded.
func TestRunnerLoadsWhatRoutesNeed(t *testing.T) {
	server, err := standin.Start(standin.Options{Name: "d-1", Listen: "127.0.0.1:0", ChecksFencing: true})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	config := testConfig(t, server.Address())
	r := NewRunner(Options{
		Host: "h1", Config: func() *contract.Config { return config }, Header: func() message.Header { return message.Header{} },
		Control: &grants{}, Logger: zap.NewNop(), Tick: time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go r.Run(ctx)
	for !r.Loaded("d-1") && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	var got []string
	for _, o := range server.Orders() {
		got = append(got, string(o.Kind)+" "+o.Target)
	}
	want := []string{"load_model drafting", "load_version drafting/v1", "load_version drafting/v2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestGuardStopsOrderOnTheWire guards against an order that leaves after the
// lease because the process was stopped between its decision and the write.
func TestGuardStopsOrderOnTheWire(t *testing.T) {
	tests := []struct {
		name          string
		checksFencing bool
		holds         bool
		want          error
		orders        int
	}{
		{"holder", false, true, nil, 1},
		{"lease ran out, engine ignores numbers", false, false, engine.ErrLeaseExpired, 0},
		{"lease ran out, engine checks numbers", true, false, engine.ErrLeaseExpired, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", ChecksFencing: test.checksFencing})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := engine.NewClient(server.Address())
			err = client.OrderGuarded(context.Background(), engine.Order{Kind: engine.OrderLoadModel, Target: "m", Fencing: 3}, func() bool { return test.holds })
			if !errors.Is(err, test.want) || len(server.Orders()) != test.orders {
				t.Fatalf("error %v, %d orders; want %v, %d", err, len(server.Orders()), test.want, test.orders)
			}
		})
	}
}

// TestClockJumpsEndTheLease guards against a lease that looks longer because
// one of the host's two clocks stood still or was set back.
func TestClockJumpsEndTheLease(t *testing.T) {
	now := time.Now()
	i := coreorder.New()
	i.LeaseGranted(now.Add(-coreorder.LeaseDuration), 1, coreorder.LeaseDuration)
	if maySend(i, now, 1) {
		t.Fatal("an expired lease admits an order")
	}
	i.LeaseGranted(now, 2, coreorder.LeaseDuration)
	if !maySend(i, now, 2) {
		t.Fatal("a fresh lease admits no order")
	}
}
