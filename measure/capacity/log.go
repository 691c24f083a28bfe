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

// concurrentCalls is the number of concurrent calls while the size of the group
// varies.
const concurrentCalls = 64

// leaderTimeout limits the wait for the first leader of a group.
const leaderTimeout = 20 * time.Second

// groupMember is one member of a replicated control group.
type groupMember struct {
	role    string
	node    *control.Node
	service *control.Service
	server  *wire.Server
}

// controlGroup is a control group whose members sync their logs to a temporary
// directory.
type controlGroup struct {
	members []*groupMember
	dir     string
	traffic traffic
	cancel  context.CancelFunc
}

func startControlGroup(size int) (*controlGroup, error) {
	dir, err := os.MkdirTemp("", "capacity-log")
	if err != nil {
		return nil, errors.Wrap(err, "create log directory")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &controlGroup{dir: dir, cancel: cancel}
	addresses := map[consensus.MemberID]string{}
	listeners := make([]net.Listener, size)
	for i := range listeners {
		if listeners[i], err = listenLoopback(); err != nil {
			g.close()
			return nil, err
		}
		addresses[consensus.MemberID(i+1)] = listeners[i].Addr().String()
	}
	for i, listener := range listeners {
		if err := g.startMember(ctx, i+1, listener, addresses); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

func (g *controlGroup) startMember(ctx context.Context, id int, listener net.Listener,
	addresses map[consensus.MemberID]string) (err error) {
	m := &groupMember{role: fmt.Sprintf("member-%d", id), server: wire.NewServer(listener)}
	machine := control.NewRegistryMachine()
	address := listener.Addr().String()
	withRole(m.role, func() {
		m.node, err = control.StartNode(control.NodeConfig{
			Folder: filepath.Join(g.dir, fmt.Sprint(id)), ID: consensus.MemberID(id), Members: addresses,
			Dial: g.traffic.dialer(),
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

func (g *controlGroup) close() {
	g.cancel()
	for _, m := range g.members {
		m.node.Stop()
		m.server.Close()
	}
	// The system's directory for temporary files holds whatever is not removed.
	_ = os.RemoveAll(g.dir)
}

// waitForLeader waits until a member is the leader and a barrier at it succeeds.
func (g *controlGroup) waitForLeader(ctx context.Context) (*groupMember, error) {
	for deadline := time.Now().Add(leaderTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		for _, m := range g.members {
			if _, self := m.node.Leader(); self && m.node.Barrier(ctx) == nil {
				return m, nil
			}
		}
	}
	return nil, errors.New("the group has no leader")
}

// commitCost is the commit rate and the cost of one commit.
type commitCost struct {
	perSecond, bytes, leader, follower, p99 float64
}

// measureLog measures non-repeatable calls at a replicated group whose members
// share the disk and the processors of this machine.
func measureLog(b *bench) error {
	var commits, bytes, leaderCPU, followerCPU, p99, groupBytes, groupLeaderCPU []Point
	for _, callers := range b.sizes([]int{1, 16, 64, 256}, []int{1, 2, 4}) {
		cost, err := b.measureCommits(3, callers)
		if err != nil {
			return err
		}
		size := float64(callers)
		commits = append(commits, Point{size, cost.perSecond})
		bytes = append(bytes, Point{size, cost.bytes})
		leaderCPU = append(leaderCPU, Point{size, cost.leader})
		followerCPU = append(followerCPU, Point{size, cost.follower})
		p99 = append(p99, Point{size, cost.p99})
	}
	for _, members := range []int{3, 4, 5} {
		cost, err := b.measureCommits(members, concurrentCalls)
		if err != nil {
			return err
		}
		groupBytes = append(groupBytes, Point{float64(members), cost.bytes})
		groupLeaderCPU = append(groupLeaderCPU, Point{float64(members), cost.leader})
	}
	b.addSlope(logCommitsPerSecond, "calls at work", "commits/s of 3 members", commits)
	b.addSlope(logCommitBytes, "calls at work", "bytes/commit between 3 members", bytes)
	b.addSlope(logCommitLeaderCPU, "calls at work", "µs/commit at the leader, 3 members", leaderCPU)
	b.addSlope(logCommitFollowerCPU, "calls at work", "µs/commit at a follower, 3 members", followerCPU)
	b.addSlope(logCommitP99, "calls at work", "ms from BeginCall to its end, 99 in 100", p99)
	b.addSlope(logCommitBytesByMembers, "members", "bytes/commit between members, 64 calls at work", groupBytes)
	b.addSlope(logCommitLeaderCPUByMembers, "members", "µs/commit at the leader, 64 calls at work", groupLeaderCPU)
	return nil
}

// measureCommits runs concurrent calls at the leader of a new group for one phase.
func (b *bench) measureCommits(members, callers int) (commitCost, error) {
	g, err := startControlGroup(members)
	if err != nil {
		return commitCost{}, err
	}
	defer g.close()
	leader, err := g.waitForLeader(b.ctx)
	if err != nil {
		return commitCost{}, err
	}
	var sequence atomic.Int64
	var mu sync.Mutex
	var times []float64
	var failures []error
	before := g.traffic.total()
	u, err := b.measurePhase(func() error {
		deadline := time.Now().Add(b.duration(phaseDuration))
		var wg sync.WaitGroup
		withRole(leader.role, func() {
			for range callers {
				wg.Go(func() {
					workerTimes, err := commitLoop(leader.service, &sequence, deadline)
					mu.Lock()
					defer mu.Unlock()
					times = append(times, workerTimes...)
					if err != nil {
						failures = append(failures, err)
					}
				})
			}
		})
		wg.Wait()
		return nil
	})
	if err == nil && len(failures) > 0 {
		err = errors.Wrapf(failures[0], "%d of %d simulated callers failed, the first with", len(failures), callers)
	}
	if err == nil && len(times) == 0 {
		err = errors.Errorf("no call of %d simulated callers ended", callers)
	}
	if err != nil {
		return commitCost{}, err
	}
	n := int64(len(times))
	followers := 0.0
	for _, m := range g.members {
		if m != leader {
			followers += u.cpuSecondsByRole[m.role] / float64(members-1)
		}
	}
	return commitCost{
		perSecond: float64(n) / u.wallSeconds, bytes: float64(g.traffic.total()-before) / float64(n),
		leader:   microsecondsPerOperation(u.cpuSecondsByRole[leader.role], n),
		follower: microsecondsPerOperation(followers, n), p99: percentile(times, 99),
	}, nil
}

// commitLoop records calls until the deadline and returns the time of each commit
// in ms.
func commitLoop(service *control.Service, sequence *atomic.Int64, deadline time.Time) (times []float64, err error) {
	for time.Now().Before(deadline) {
		begin := beginRequest(sequence.Add(1))
		started := time.Now()
		if err := service.BeginCall(&begin, &message.BeginCallReply{}); err != nil {
			return times, err
		}
		finishStarted := time.Now()
		finish := finishRequest(begin)
		if err := service.FinishCall(&finish, &message.FinishCallReply{}); err != nil {
			return times, err
		}
		times = append(times, finishStarted.Sub(started).Seconds()*1e3, time.Since(finishStarted).Seconds()*1e3)
	}
	return times, nil
}
