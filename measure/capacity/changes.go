package capacity

import (
	"context"
	"fmt"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// measureChanges measures the bytes that a daemon receives in addition to an idle
// heartbeat when members or quarantined digests change.
func measureChanges(b *bench) error {
	f, err := startSimulatedFleet(b.ctx, 400)
	if err != nil {
		return err
	}
	defer f.close()
	observer := f.peers[0]
	idleBytes, err := f.exchangeBytes(b.ctx, observer)
	if err != nil {
		return err
	}
	var members, digests []Point
	incarnation := f.peers[1].request.Header.Incarnation
	for _, n := range b.sizes([]int{1, 10, 70, 200}, []int{1, 5, 20}) {
		incarnation++
		if err := f.restartPeers(b.ctx, n, incarnation); err != nil {
			return err
		}
		exchanged, err := f.exchangeBytes(b.ctx, observer)
		if err != nil {
			return err
		}
		members = append(members, Point{float64(n), float64(exchanged - idleBytes)})
	}
	for _, n := range b.sizes([]int{1, 10, 50, 100}, []int{1, 5, 10}) {
		if err := f.reportCrash(n); err != nil {
			return err
		}
		exchanged, err := f.exchangeBytes(b.ctx, observer)
		if err != nil {
			return err
		}
		digests = append(digests, Point{float64(n), float64(exchanged - idleBytes)})
	}
	b.addSlope(memberChangeBytes, "changed members", "bytes more at one daemon", members)
	b.addSlope(quarantineChangeBytes, "changed digests", "bytes more at one daemon", digests)
	return nil
}

// exchangeBytes sends one heartbeat of a peer and returns the payload bytes of the
// request and the reply.
func (f *simulatedFleet) exchangeBytes(ctx context.Context, p *simulatedPeer) (int64, error) {
	before := p.traffic.total()
	if err := p.sendHeartbeat(ctx); err != nil {
		return 0, err
	}
	return p.traffic.total() - before, nil
}

// restartPeers gives n peers a new incarnation and waits until the last peer knows
// it.
func (f *simulatedFleet) restartPeers(ctx context.Context, n int, incarnation message.Incarnation) error {
	observer := f.peers[0]
	seen := observer.request.MembershipSeen
	for _, p := range f.peers[1 : n+1] {
		p.request.Header.Incarnation = incarnation
		if err := p.sendHeartbeat(ctx); err != nil {
			return err
		}
	}
	// The last peer sends heartbeats until it has all changes. The observer sends
	// none, so that its next reply carries all of them.
	last := f.peers[len(f.peers)-1]
	for range 500 {
		if err := last.sendHeartbeat(ctx); err != nil {
			return err
		}
		if last.request.MembershipSeen >= seen+uint64(n) {
			return nil
		}
	}
	return errors.Errorf("%d restarts did not reach the last peer", n)
}

// reportCrash reports a backend server crash with n requests in flight.
func (f *simulatedFleet) reportCrash(n int) error {
	request := message.CrashReport{
		Header: f.peers[1].request.Header, BackendServer: serverName(2), Crash: fmt.Sprintf("crash-%d", n),
	}
	for i := range n {
		_, digest := callerKey(n<<16 | i)
		request.InFlight = append(request.InFlight, digest)
	}
	return f.service.ReportCrash(&request, &message.CrashReply{})
}
