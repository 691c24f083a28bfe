package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// credential is the operator credential of the simulated control group.
const credential = "key-of-team-00000"

// credentialSHA256 is the SHA-256 digest of credential.
var credentialSHA256 = func() string {
	_, digest := callerKey(0)
	return digest
}()

// controlLeader is a control member that serves on loopback.
type controlLeader struct {
	service *control.Service
	machine *control.RegistryMachine
	server  *wire.Server
	address string
	stop    context.CancelFunc
}

// startControlLeader starts the only member of a control group.
func startControlLeader() (*controlLeader, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	l := &controlLeader{machine: control.NewRegistryMachine(), address: listener.Addr().String(),
		server: wire.NewServer(listener)}
	l.service = control.NewService(control.Options{
		Log: control.NewLocalLog(l.address, l.machine), Machine: l.machine,
		OperatorKeySHA256: credentialSHA256,
		Header: func() message.Header {
			return message.Header{Host: "control-0", Incarnation: 1, PeerAddress: l.address}
		},
	})
	if err := l.server.Register(control.ServiceName, l.service); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	withRole(roleLeader, func() {
		go l.service.Run(ctx)
		go l.server.Serve()
	})
	return l, nil
}

func (l *controlLeader) close() {
	l.stop()
	l.server.Close()
}

// applySections puts the sections in force.
func (l *controlLeader) applySections(changeID string, s contract.Sections) error {
	var revision message.Revision
	l.machine.View(func(r *registry.Registry) { revision = r.Revision() })
	reply, err := l.service.ApplySections(&message.ApplyRequest{
		ChangeID: changeID, Operator: "capacity", Expected: revision, Sections: s,
	})
	if err == nil && !reply.Accepted {
		err = errors.Errorf("configuration was not accepted: %v", reply.Faults)
	}
	return err
}

// simulatedPeer sends heartbeats as a daemon does.
type simulatedPeer struct {
	client  *wire.Client
	traffic traffic
	request message.HeartbeatRequest
	members int
}

func newSimulatedPeer(i int, address string) *simulatedPeer {
	p := &simulatedPeer{request: heartbeatRequest(i)}
	p.client = wire.NewClient(address, p.traffic.dialer())
	return p
}

// sendHeartbeat sends one heartbeat and keeps the sequence numbers of the reply
// for the next one.
func (p *simulatedPeer) sendHeartbeat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var reply message.HeartbeatReply
	if err := p.client.Call(ctx, "Control.Heartbeat", p.request, &reply); err != nil {
		return err
	}
	p.request.MembershipSeen, p.request.QuarantineSeen = reply.Sequence, reply.QuarantineSequence
	p.members += len(reply.Members)
	return nil
}

// simulatedFleet is a control leader with simulated peers.
type simulatedFleet struct {
	*controlLeader
	peers []*simulatedPeer
}

func startSimulatedFleet(ctx context.Context, n int) (*simulatedFleet, error) {
	l, err := startControlLeader()
	if err != nil {
		return nil, err
	}
	f := &simulatedFleet{controlLeader: l}
	for i := range n {
		f.peers = append(f.peers, newSimulatedPeer(i, l.address))
	}
	if err := f.waitForMembership(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// waitForMembership sends heartbeats until all peers know all members.
func (f *simulatedFleet) waitForMembership(ctx context.Context) error {
	for range 200 {
		var sequence uint64
		f.machine.View(func(r *registry.Registry) { sequence = r.Members().Sequence })
		settled := true
		for _, p := range f.peers {
			if err := p.sendHeartbeat(ctx); err != nil {
				return err
			}
			settled = settled && p.request.MembershipSeen == sequence
		}
		if settled && sequence >= uint64(len(f.peers)) {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return errors.New("membership did not converge")
}

func (f *simulatedFleet) close() {
	for _, p := range f.peers {
		p.client.Close()
	}
	f.controlLeader.close()
}

// totalBytes returns the payload bytes of all peers' connections.
func (f *simulatedFleet) totalBytes() (sum int64) {
	for _, p := range f.peers {
		sum += p.traffic.total()
	}
	return sum
}

// heartbeatsPerSecond is the rate of all simulated peers together. It exceeds the
// 205 heartbeats/s of 410 daemons, so that a phase of a few seconds has enough
// profile samples.
const heartbeatsPerSecond = 6000

// measureHeartbeats measures the heartbeats of idle daemons, between which nothing
// changes.
func measureHeartbeats(b *bench) error {
	var bytes, leaderCPU, daemonCPU, memory []Point
	for _, n := range b.sizes([]int{10, 50, 100, 200, 400}, []int{2, 4, 6}) {
		before := liveBytes()
		f, err := startSimulatedFleet(b.ctx, n)
		if err != nil {
			return err
		}
		fleetMemory := liveBytes() - before
		sent, u, payload, err := f.sendHeartbeats(b, b.duration(phaseDuration))
		f.close()
		if err != nil {
			return err
		}
		size := float64(n)
		bytes = append(bytes, Point{size, float64(payload) / float64(sent)})
		leaderCPU = append(leaderCPU, Point{size, microsecondsPerOperation(u.cpuSecondsByRole[roleLeader], sent)})
		daemonCPU = append(daemonCPU, Point{size, microsecondsPerOperation(u.cpuSecondsByRole[roleDaemon], sent)})
		memory = append(memory, Point{size, fleetMemory})
	}
	b.addSlope(heartbeatBytes, "daemons", "bytes/heartbeat and reply", bytes)
	b.addSlope(heartbeatLeaderCPU, "daemons", "µs/heartbeat at the leader", leaderCPU)
	b.addSlope(heartbeatDaemonCPU, "daemons", "µs/heartbeat at the daemon", daemonCPU)
	b.addSlope(heartbeatMemory, "daemons", "bytes at leader and stand-in together", memory)
	return nil
}

// sendHeartbeats sends heartbeats from all peers at heartbeatsPerSecond for the
// duration d.
func (f *simulatedFleet) sendHeartbeats(b *bench, d time.Duration) (sent int64, u usage, payload int64, err error) {
	var count, failures atomic.Int64
	before := f.totalBytes()
	interval := time.Duration(len(f.peers)) * time.Second / heartbeatsPerSecond
	u, err = b.measurePhase(func() error {
		ctx, cancel := context.WithTimeout(b.ctx, d)
		defer cancel()
		var wg sync.WaitGroup
		withRole(roleDaemon, func() {
			for _, p := range f.peers {
				wg.Go(func() {
					for ctx.Err() == nil {
						if p.sendHeartbeat(b.ctx) != nil {
							failures.Add(1)
							return
						}
						count.Add(1)
						time.Sleep(interval)
					}
				})
			}
		})
		wg.Wait()
		return nil
	})
	if err == nil && failures.Load() > 0 {
		err = errors.Errorf("%d simulated peers failed", failures.Load())
	}
	return count.Load(), u, f.totalBytes() - before, err
}
