package daemon

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/peer"
)

// controlTimeout limits one request to the control group, including retries. It
// is long enough for a leader election in progress; a longer loss of the quorum
// is reported to the caller.
const controlTimeout = 3 * time.Second

// controlClient sends requests of this daemon's roles to the leader of the
// control group. It implements entry.Ledger, agent.CrashReporter and
// order.Control.
type controlClient struct{ state *peer.State }

func (c controlClient) call(ctx context.Context, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.state.CallControl(ctx, method, request, reply)
}

// BeginCall implements entry.Ledger.
func (c controlClient) BeginCall(
	ctx context.Context, request message.BeginCallRequest,
) (message.BeginCallReply, error) {
	var reply message.BeginCallReply
	err := c.call(ctx, "BeginCall", &request, &reply)
	return reply, err
}

// FinishCall implements entry.Ledger.
func (c controlClient) FinishCall(ctx context.Context, request message.FinishCallRequest) error {
	return c.call(ctx, "FinishCall", &request, &message.FinishCallReply{})
}

// ReportCrash implements agent.CrashReporter.
func (c controlClient) ReportCrash(ctx context.Context, report message.CrashReport) (message.CrashReply, error) {
	var reply message.CrashReply
	err := c.call(ctx, "ReportCrash", &report, &reply)
	return reply, err
}

// AcquireLease implements order.Control.
func (c controlClient) AcquireLease(ctx context.Context, request message.LeaseRequest) (message.LeaseReply, error) {
	var reply message.LeaseReply
	err := c.call(ctx, "AcquireLease", &request, &reply)
	return reply, err
}

// RenewLease implements order.Control.
func (c controlClient) RenewLease(ctx context.Context, request message.LeaseRequest) (message.LeaseReply, error) {
	var reply message.LeaseReply
	err := c.call(ctx, "RenewLease", &request, &reply)
	return reply, err
}

// LoadSlot implements order.Control.
func (c controlClient) LoadSlot(ctx context.Context, request message.LoadSlotRequest) (message.LoadSlotReply, error) {
	var reply message.LoadSlotReply
	err := c.call(ctx, "LoadSlot", &request, &reply)
	return reply, err
}
