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

// grantingControl is a Control that grants all requests.
type grantingControl struct {
	mu      sync.Mutex
	fencing uint64
}

func (g *grantingControl) AcquireLease(context.Context, message.LeaseRequest) (message.LeaseReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fencing++
	return message.LeaseReply{Granted: true, Fencing: g.fencing, Duration: coreorder.LeaseDuration}, nil
}

func (g *grantingControl) RenewLease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	return g.AcquireLease(ctx, r)
}

func (g *grantingControl) LoadSlot(context.Context, message.LoadSlotRequest) (message.LoadSlotReply, error) {
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

// TestRunnerLoadsRouteTargets guards against a version that a route refers to, such
// as that of an experiment, but that is never loaded.
func TestRunnerLoadsRouteTargets(t *testing.T) {
	server, err := standin.Start(standin.Options{Name: "d-1", Listen: "127.0.0.1:0", ChecksFencing: true})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	config := testConfig(t, server.Address())
	r := NewRunner(Options{
		Host: "h1", Config: func() *contract.Config { return config },
		Header:  func() message.Header { return message.Header{} },
		Control: &grantingControl{}, Logger: zap.NewNop(), TickInterval: time.Millisecond,
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

// TestGuardPreventsOrder guards against an order that is sent after the lease
// expired, because the process was stopped between the decision and the write.
func TestGuardPreventsOrder(t *testing.T) {
	tests := []struct {
		name          string
		checksFencing bool
		holdsLease    bool
		want          error
		orders        int
	}{
		{"holder", false, true, nil, 1},
		{"lease expired, engine ignores fencing numbers", false, false, engine.ErrLeaseExpired, 0},
		{"lease expired, engine checks fencing numbers", true, false, engine.ErrLeaseExpired, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", ChecksFencing: test.checksFencing})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := engine.NewClient(server.Address())
			err = client.OrderGuarded(context.Background(),
				engine.Order{Kind: engine.OrderLoadModel, Target: "m", Fencing: 3},
				func() bool { return test.holdsLease })
			if !errors.Is(err, test.want) || len(server.Orders()) != test.orders {
				t.Fatalf("error %v, %d orders; want %v, %d", err, len(server.Orders()), test.want, test.orders)
			}
		})
	}
}

// TestExpiredLeasePreventsOrder guards against an order under an expired lease. One
// of the host's clocks may overstate the remaining time: the monotonic clock after
// a suspension of the host, the wall clock after it was set back.
func TestExpiredLeasePreventsOrder(t *testing.T) {
	now := time.Now()
	issuer := coreorder.New()
	issuer.LeaseGranted(now.Add(-coreorder.LeaseDuration), 1, coreorder.LeaseDuration)
	if maySend(issuer, now, 1) {
		t.Fatal("an expired lease permits an order")
	}
	issuer.LeaseGranted(now, 2, coreorder.LeaseDuration)
	if !maySend(issuer, now, 2) {
		t.Fatal("a new lease does not permit an order")
	}
}
