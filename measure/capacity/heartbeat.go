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

// credential is that of the operators of the stand-in control group.
const credential = "key-of-team-00000"

// credentialSHA256 is the digest of credential.
var credentialSHA256 = func() string {
	_, digest := callerKey(0)
	return digest
}()

// leader is a control member that serves on loopback.
type leader struct {
	service *control.Service
	machine *control.RegistryMachine
	server  *wire.Server
	address string
	stop    context.CancelFunc
}

// startLeader starts the only member of a control group.
func startLeader() (*leader, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	l := &leader{machine: control.NewRegistryMachine(), address: listener.Addr().String(), server: wire.NewServer(listener)}
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
	as(roleLeader, func() {
		go l.service.Run(ctx)
		go l.server.Serve()
	})
	return l, nil
}

func (l *leader) close() {
	l.stop()
	l.server.Close()
}

// declare puts sections in force.
func (l *leader) declare(changeID string, s contract.Sections) error {
	var revision message.Revision
	l.machine.View(func(r *registry.Registry) { revision = r.Revision() })
	reply, err := l.service.ApplySections(&message.ApplyRequest{
		ChangeID: changeID, Operator: "capacity", Expected: revision, Sections: s,
	})
	if err == nil && !reply.Accepted {
		err = errors.Errorf("the configuration was not accepted: %v", reply.Faults)
	}
	return err
}

// standinPeer sends heartbeats as a daemon does.
type standinPeer struct {
	client  *wire.Client
	traffic traffic
	request message.HeartbeatRequest
	members int
}

func newStandinPeer(i int, address string) *standinPeer {
	p := &standinPeer{request: heartbeat(i)}
	p.client = wire.NewClient(address, p.traffic.dialer())
	return p
}

// beat sends one heartbeat and notes what its reply showed.
func (p *standinPeer) beat(ctx context.Context) error {
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

// fleet is a leader with stand-in peers that know each other.
type fleet struct {
	*leader
	peers []*standinPeer
}

func startFleet(ctx context.Context, n int) (*fleet, error) {
	l, err := startLeader()
	if err != nil {
		return nil, err
	}
	f := &fleet{leader: l}
	for i := range n {
		f.peers = append(f.peers, newStandinPeer(i, l.address))
	}
	if err := f.settle(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// settle sends heartbeats until all peers know all members.
func (f *fleet) settle(ctx context.Context) error {
	for range 200 {
		var sequence uint64
		f.machine.View(func(r *registry.Registry) { sequence = r.Members().Sequence })
		current := true
		for _, p := range f.peers {
			if err := p.beat(ctx); err != nil {
				return err
			}
			current = current && p.request.MembershipSeen == sequence
		}
		if current && sequence >= uint64(len(f.peers)) {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return errors.New("the membership did not settle")
}

func (f *fleet) close() {
	for _, p := range f.peers {
		p.client.Close()
	}
	f.leader.close()
}

// bytes returns the payload of all peers' connections.
func (f *fleet) bytes() (sum int64) {
	for _, p := range f.peers {
		sum += p.traffic.total()
	}
	return sum
}

// heartbeatsPerSecond is the rate of all stand-in peers. It is above the 205 a
// second of 410 daemons, so that a phase of seconds has enough samples.
const heartbeatsPerSecond = 6000

// measureHeartbeats measures idle daemons: nothing changes between heartbeats.
func measureHeartbeats(b *bench) error {
	var bytes, atLeader, atDaemon, memory []Point
	for _, n := range b.sizes([]int{10, 50, 100, 200, 400}, []int{2, 4, 6}) {
		before := heldBytes()
		f, err := startFleet(b.ctx, n)
		if err != nil {
			return err
		}
		held := heldBytes() - before
		sent, u, payload, err := f.beatAll(b, b.lasting(phaseTime))
		f.close()
		if err != nil {
			return err
		}
		size := float64(n)
		bytes = append(bytes, Point{size, float64(payload) / float64(sent)})
		atLeader = append(atLeader, Point{size, perOperation(u.byRole[roleLeader], sent)})
		atDaemon = append(atDaemon, Point{size, perOperation(u.byRole[roleDaemon], sent)})
		memory = append(memory, Point{size, held})
	}
	b.slope(heartbeatBytes, "daemons", "bytes/heartbeat and reply", bytes)
	b.slope(heartbeatLeader, "daemons", "µs/heartbeat at the leader", atLeader)
	b.slope(heartbeatDaemon, "daemons", "µs/heartbeat at the daemon", atDaemon)
	b.slope(heartbeatMemory, "daemons", "bytes at leader and stand-in together", memory)
	return nil
}

// beatAll sends heartbeats of all peers at heartbeatsPerSecond.
func (f *fleet) beatAll(b *bench, d time.Duration) (sent int64, u usage, payload int64, err error) {
	var count, failures atomic.Int64
	before := f.bytes()
	interval := time.Duration(len(f.peers)) * time.Second / heartbeatsPerSecond
	u, err = b.phase(func() error {
		ctx, cancel := context.WithTimeout(b.ctx, d)
		defer cancel()
		var all sync.WaitGroup
		as(roleDaemon, func() {
			for _, p := range f.peers {
				all.Go(func() {
					for ctx.Err() == nil {
						if p.beat(b.ctx) != nil {
							failures.Add(1)
							return
						}
						count.Add(1)
						time.Sleep(interval)
					}
				})
			}
		})
		all.Wait()
		return nil
	})
	if err == nil && failures.Load() > 0 {
		err = errors.Errorf("%d stand-in peers failed", failures.Load())
	}
	return count.Load(), u, f.bytes() - before, err
}
