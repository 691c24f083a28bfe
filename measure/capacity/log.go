package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// logCallers is the number of calls at work while the size of the group varies.
const logCallers = 64

// leaderLimit bounds the wait for the first leader of a group.
const leaderLimit = 20 * time.Second

// groupMember is one member of a replicated control group.
type groupMember struct {
	role    string
	node    *control.Node
	service *control.Service
	server  *wire.Server
}

// logGroup is a control group whose members sync to a temporary folder.
type logGroup struct {
	members []*groupMember
	folder  string
	traffic traffic
	tick    time.Duration
	cancel  context.CancelFunc
}

// quickTick is the tick of the members in a quick run, which elects faster.
const quickTick = 20 * time.Millisecond

func startGroup(size int, tick time.Duration) (*logGroup, error) {
	folder, err := os.MkdirTemp("", "capacity-log")
	if err != nil {
		return nil, errors.Wrap(err, "folder of the log")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &logGroup{folder: folder, cancel: cancel, tick: tick}
	addresses := map[consensus.MemberID]string{}
	listeners := make([]net.Listener, size)
	for i := range listeners {
		if listeners[i], err = listen(); err != nil {
			g.close()
			return nil, err
		}
		addresses[consensus.MemberID(i+1)] = listeners[i].Addr().String()
	}
	for i, listener := range listeners {
		if err := g.start(ctx, i+1, listener, addresses); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

func (g *logGroup) start(ctx context.Context, id int, listener net.Listener, addresses map[consensus.MemberID]string) (err error) {
	m := &groupMember{role: fmt.Sprintf("member-%d", id), server: wire.NewServer(listener)}
	machine := control.NewRegistryMachine()
	address := listener.Addr().String()
	as(m.role, func() {
		m.node, err = control.StartNode(control.NodeConfig{
			Folder: filepath.Join(g.folder, fmt.Sprint(id)), ID: consensus.MemberID(id), Members: addresses, Dial: g.traffic.dialer(), TickInterval: g.tick,
		}, machine)
		if err != nil {
			return
		}
		m.service = control.NewService(control.Options{Log: m.node, Machine: machine, Header: func() message.Header {
			return message.Header{Host: m.role, Incarnation: 1, PeerAddress: address}
		}})
		if err = m.node.Register(m.server); err == nil {
			go m.service.Run(ctx)
			go m.server.Serve()
		}
	})
	if m.node != nil {
		g.members = append(g.members, m)
	}
	return err
}

func (g *logGroup) close() {
	g.cancel()
	for _, m := range g.members {
		m.node.Stop()
		m.server.Close()
	}
	// What is left of the folder is in the system's folder for temporary files.
	_ = os.RemoveAll(g.folder)
}

// leading waits for the leader.
func (g *logGroup) leading(ctx context.Context) (*groupMember, error) {
	for deadline := time.Now().Add(leaderLimit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		for _, m := range g.members {
			if _, self := m.node.Leader(); self && m.node.Barrier(ctx) == nil {
				return m, nil
			}
		}
	}
	return nil, errors.New("the group has no leader")
}

// logCost is what one commit costs, and how many there are.
type logCost struct {
	perSecond, bytes, leader, follower, p99 float64
}

// measureLog measures calls that may not be repeated on a replicated group
// whose members share the disk and the processors of this machine.
func measureLog(b *bench) error {
	var commits, bytes, atLeader, atFollower, late, groupBytes, groupLeader []Point
	for _, callers := range b.sizes([]int{1, 16, 64, 256}, []int{1, 2, 4}) {
		c, err := b.commit(3, callers)
		if err != nil {
			return err
		}
		size := float64(callers)
		commits = append(commits, Point{size, c.perSecond})
		bytes = append(bytes, Point{size, c.bytes})
		atLeader = append(atLeader, Point{size, c.leader})
		atFollower = append(atFollower, Point{size, c.follower})
		late = append(late, Point{size, c.p99})
	}
	for _, members := range []int{3, 4, 5} {
		c, err := b.commit(members, logCallers)
		if err != nil {
			return err
		}
		groupBytes = append(groupBytes, Point{float64(members), c.bytes})
		groupLeader = append(groupLeader, Point{float64(members), c.leader})
	}
	b.slope(logCommits, "calls at work", "commits/s of 3 members", commits)
	b.slope(logBytes, "calls at work", "bytes/commit between 3 members", bytes)
	b.slope(logLeader, "calls at work", "µs/commit at the leader, 3 members", atLeader)
	b.slope(logFollower, "calls at work", "µs/commit at a follower, 3 members", atFollower)
	b.slope(logLate, "calls at work", "ms from BeginCall to its end, 99 in 100", late)
	b.slope(logGroupBytes, "members", "bytes/commit between members, 64 calls at work", groupBytes)
	b.slope(logGroupLeader, "members", "µs/commit at the leader, 64 calls at work", groupLeader)
	return nil
}

// commit runs calls at the leader of a new group for a time.
func (b *bench) commit(members, callers int) (logCost, error) {
	tick := time.Duration(0)
	if b.quick {
		tick = quickTick
	}
	g, err := startGroup(members, tick)
	if err != nil {
		return logCost{}, err
	}
	defer g.close()
	leader, err := g.leading(b.ctx)
	if err != nil {
		return logCost{}, err
	}
	var sequence, failures atomic.Int64
	var mu sync.Mutex
	var times []float64
	before := g.traffic.total()
	u, err := b.phase(func() error {
		deadline := time.Now().Add(b.lasting(phaseTime))
		var all sync.WaitGroup
		as(leader.role, func() {
			for range callers {
				all.Go(func() {
					own, err := commitLoop(leader.service, &sequence, deadline)
					if err != nil {
						failures.Add(1)
					}
					mu.Lock()
					times = append(times, own...)
					mu.Unlock()
				})
			}
		})
		all.Wait()
		return nil
	})
	if err == nil && (failures.Load() > 0 || len(times) == 0) {
		err = errors.Errorf("%d of %d stand-in callers failed", failures.Load(), callers)
	}
	if err != nil {
		return logCost{}, err
	}
	n := int64(len(times))
	followers := 0.0
	for _, m := range g.members {
		if m != leader {
			followers += u.byRole[m.role] / float64(members-1)
		}
	}
	return logCost{
		perSecond: float64(n) / u.wall, bytes: float64(g.traffic.total()-before) / float64(n),
		leader: perOperation(u.byRole[leader.role], n), follower: perOperation(followers, n), p99: percentile(times, 99),
	}, nil
}

// commitLoop records calls until a deadline and returns the time of each commit
// in ms.
func commitLoop(service *control.Service, sequence *atomic.Int64, deadline time.Time) (times []float64, err error) {
	for time.Now().Before(deadline) {
		begin := beginRequest(sequence.Add(1))
		started := time.Now()
		if err := service.BeginCall(&begin, &message.BeginCallReply{}); err != nil {
			return times, err
		}
		begun := time.Now()
		finish := finishRequest(begin)
		if err := service.FinishCall(&finish, &message.FinishCallReply{}); err != nil {
			return times, err
		}
		times = append(times, begun.Sub(started).Seconds()*1e3, time.Since(begun).Seconds()*1e3)
	}
	return times, nil
}
