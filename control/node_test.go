package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
)

// countingState is a state machine that counts how often each command was applied.
type countingState struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *countingState) Apply(_ uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[string(command)]++
	return string(command)
}

func (s *countingState) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(s.counts)
}

func (s *countingState) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = map[string]int{}
	return json.Unmarshal(snapshot, &s.counts)
}

func (s *countingState) count(command string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[command]
}

// testGroup runs nodes that communicate over loopback. A disconnected member cannot
// reach the others, nor they it.
type testGroup struct {
	tb           testing.TB
	folder       string
	config       NodeConfig
	members      map[consensus.MemberID]string
	nodes        map[consensus.MemberID]*Node
	states       map[consensus.MemberID]*countingState
	servers      map[consensus.MemberID]*wire.Server
	disconnected [16]atomic.Bool
	bytes        [16]atomic.Int64
}

func newTestGroup(tb testing.TB, size int, config NodeConfig) *testGroup {
	g := &testGroup{tb: tb, folder: tb.TempDir(), config: config, members: map[consensus.MemberID]string{},
		nodes: map[consensus.MemberID]*Node{}, states: map[consensus.MemberID]*countingState{},
		servers: map[consensus.MemberID]*wire.Server{}}
	for i := range size {
		g.reserveAddress(consensus.MemberID(i + 1))
	}
	for id := range g.members {
		g.start(id, false)
	}
	tb.Cleanup(func() {
		for id := range g.nodes {
			g.kill(id)
		}
	})
	return g
}

// reserveAddress chooses a free port for a member.
func (g *testGroup) reserveAddress(id consensus.MemberID) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.tb.Fatal(err)
	}
	g.members[id] = l.Addr().String()
	_ = l.Close()
}

// groupConn counts the bytes of a connection for both ends. Writes fail while either
// end is disconnected.
type groupConn struct {
	net.Conn
	g        *testGroup
	from, to consensus.MemberID
}

func (c groupConn) count(n int, err error) (int, error) {
	c.g.bytes[c.from].Add(int64(n))
	c.g.bytes[c.to].Add(int64(n))
	return n, err
}

func (c groupConn) Write(p []byte) (int, error) {
	if c.g.disconnected[c.from].Load() || c.g.disconnected[c.to].Load() {
		return 0, errors.New("disconnected")
	}
	return c.count(c.Conn.Write(p))
}

func (c groupConn) Read(p []byte) (int, error) { return c.count(c.Conn.Read(p)) }

// start starts a member, with its previous data folder if there is one.
func (g *testGroup) start(id consensus.MemberID, join bool) {
	config := g.config
	config.ID, config.Join, config.Folder = id, join, filepath.Join(g.folder, fmt.Sprint(id))
	config.Members = maps.Clone(g.members)
	config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		for to, a := range config.Members {
			if a == address {
				return groupConn{conn, g, id, to}, err
			}
		}
		return conn, err
	}
	listener, err := net.Listen("tcp", g.members[id])
	if err != nil {
		g.tb.Fatal(err)
	}
	g.states[id], g.servers[id] = &countingState{counts: map[string]int{}}, wire.NewServer(listener)
	if g.nodes[id], err = StartNode(config, g.states[id]); err != nil {
		g.tb.Fatal(err)
	}
	if err := g.nodes[id].Register(g.servers[id]); err != nil {
		g.tb.Fatal(err)
	}
	go g.servers[id].Serve()
}

// kill stops a node without flushing anything, as a crash does.
func (g *testGroup) kill(id consensus.MemberID) {
	g.servers[id].Close()
	g.nodes[id].Stop()
	delete(g.nodes, id)
}

func (g *testGroup) eventually(condition string, reached func() bool) {
	g.tb.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if reached() {
			return
		}
	}
	g.tb.Fatalf("timed out waiting for: %s", condition)
}

// leader waits for a leader that a quorum confirms and returns it.
func (g *testGroup) leader() (found *Node) {
	g.tb.Helper()
	g.eventually("leader", func() bool {
		for id, n := range g.nodes {
			if _, self := n.Leader(); self && !g.disconnected[id].Load() && awaitBarrier(n) == nil {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func (g *testGroup) follower() *Node {
	leader := g.leader()
	for _, n := range g.nodes {
		if n != leader {
			return n
		}
	}
	return nil
}

func awaitBarrier(n *Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return n.Barrier(ctx)
}

func proposeOn(n *Node, command string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result, err := n.Propose(ctx, []byte(command))
	if err == nil && result != command {
		err = fmt.Errorf("result %v of command %s", result, command)
	}
	return err
}

// commitCommands commits n commands and returns them. It retries a command with the
// verdict NotRun; if that verdict is wrong, checkAppliedOnce finds the command
// applied twice.
func (g *testGroup) commitCommands(prefix string, n int) (commands []string) {
	leader := g.leader()
	for i := range n {
		commands = append(commands, fmt.Sprint(prefix, i))
		err := proposeOn(leader, commands[i], 10*time.Second)
		for ; err != nil && verdict.Of(err) == verdict.NotRun; err = proposeOn(leader, commands[i], 10*time.Second) {
			leader = g.leader()
		}
		if err != nil {
			g.tb.Fatal(err)
		}
	}
	return commands
}

// checkAppliedOnce checks that a member applied each command exactly once.
func (g *testGroup) checkAppliedOnce(id consensus.MemberID, commands []string) {
	g.eventually(fmt.Sprintf("barrier at %d", id), func() bool { return awaitBarrier(g.nodes[id]) == nil })
	for _, c := range commands {
		if n := g.states[id].count(c); n != 1 {
			g.tb.Fatalf("member %d applied %s %d times", id, c, n)
		}
	}
}

var fastConfig = NodeConfig{TickInterval: 20 * time.Millisecond, SnapshotEntries: 100, KeepEntries: 20}

// TestKillAndRestart guards against commands that are lost or applied twice when a
// follower catches up after hundreds of commands, and when all members crash.
func TestKillAndRestart(t *testing.T) {
	g := newTestGroup(t, 3, fastConfig)
	commands := g.commitCommands("a", 50)
	follower := g.follower().config.ID
	g.kill(follower)
	// These commands make the snapshot large enough to be sent in parts.
	commands = append(commands, g.commitCommands(strings.Repeat("b", 4*snapshotPartBytes/400), 400)...)
	g.start(follower, false)
	g.checkAppliedOnce(follower, commands)
	if m := g.nodes[follower].Metrics(); m.SnapshotsRestored == 0 || m.Syncs == 0 {
		t.Errorf("member %d caught up without a snapshot: %+v", follower, m)
	}
	for id := range g.members {
		g.kill(id)
	}
	for id := range g.members {
		g.start(id, false)
	}
	commands = append(commands, g.commitCommands("c", 5)...)
	for id := range g.members {
		g.checkAppliedOnce(id, commands)
	}
}

// TestLostDisk guards against a member that lost its disk and votes under its old
// id, and checks that it can be replaced by a member with a new id.
func TestLostDisk(t *testing.T) {
	g := newTestGroup(t, 3, fastConfig)
	commands := g.commitCommands("a", 150)
	leader, lost := g.leader(), g.follower().config.ID
	g.kill(lost)
	if err := os.RemoveAll(filepath.Join(g.folder, fmt.Sprint(lost))); err != nil {
		t.Fatal(err)
	}
	g.start(lost, false)
	g.eventually("the member without its disk is excluded", func() bool { return g.nodes[lost].Status().Removed })
	healthy := 1 + 2 + 3 - lost - leader.config.ID
	g.kill(healthy)
	if err := proposeOn(leader, "unsafe", 2*time.Second); verdict.Of(err) != verdict.MayHaveRun || err == nil {
		t.Errorf("command with one intact voter: %v, want the verdict MayHaveRun", err)
	}
	g.start(healthy, false)
	g.kill(lost)
	g.reserveAddress(4)
	g.start(4, true)
	ctx := context.Background()
	if err := g.leader().AddMember(ctx, 4, g.members[4]); err != nil {
		t.Fatal(err)
	}
	g.eventually("the new member becomes a voter", func() bool {
		m, ok := consensus.Members{List: g.leader().Members()}.Find(4)
		return ok && !m.Learner
	})
	if err := g.leader().RemoveMember(ctx, lost); err != nil {
		t.Fatal(err)
	}
	g.kill(g.leader().config.ID) // a second host fails right after the replacement
	g.checkAppliedOnce(4, append(commands, g.commitCommands("b", 20)...))
}

// TestCutOffLeader guards against a disconnected leader that serves stale
// state, and against a wrong verdict for a command that it could not commit.
func TestCutOffLeader(t *testing.T) {
	g := newTestGroup(t, 3, fastConfig)
	g.commitCommands("a", 10)
	oldLeader := g.leader()
	g.disconnected[oldLeader.config.ID].Store(true)
	proposeErr := make(chan error, 1)
	go func() { proposeErr <- proposeOn(oldLeader, "replaced", 30*time.Second) }()
	if err := awaitBarrier(oldLeader); verdict.Of(err) != verdict.NotRun || err == nil {
		t.Errorf("barrier on the disconnected leader: %v", err)
	}
	commands := g.commitCommands("b", 10)
	g.eventually("the old leader steps down", func() bool { _, self := oldLeader.Leader(); return !self })
	if err := proposeOn(oldLeader, "late", time.Second); verdict.Of(err) != verdict.NotRun ||
		!errors.Is(err, consensus.ErrNotLeader) {
		t.Errorf("command on the former leader: %v", err)
	}
	term := g.leader().Status().Term
	g.disconnected[oldLeader.config.ID].Store(false)
	if err := <-proposeErr; verdict.Of(err) != verdict.NotRun ||
		g.states[g.leader().config.ID].count("replaced") != 0 {
		t.Errorf("replaced command: %v", err)
	}
	g.checkAppliedOnce(oldLeader.config.ID, commands)
	if now := g.leader().Status().Term; now != term {
		t.Errorf("the term changed from %d to %d when the old leader reconnected", term, now)
	}
}

// BenchmarkGroup measures an idle group for 10 s: the payload bytes of a member's
// connections in both directions, and the processor time of all members. Then it
// measures commits of 256-byte commands by at least 64 concurrent callers, and the
// memory of the log after them.
func BenchmarkGroup(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			g := newTestGroup(b, size, NodeConfig{})
			leader := g.leader()
			transferred := [2]*atomic.Int64{&g.bytes[leader.config.ID], &g.bytes[g.follower().config.ID]}
			time.Sleep(time.Second)
			cpu, heap := processUsage()
			leaderBytes, followerBytes, start := transferred[0].Load(), transferred[1].Load(), time.Now()
			time.Sleep(10 * time.Second)
			seconds := time.Since(start).Seconds()
			cpuAfter, _ := processUsage()
			idle := [3]float64{float64(transferred[0].Load() - leaderBytes),
				float64(transferred[1].Load() - followerBytes), (cpuAfter - cpu).Seconds() * 100}
			b.SetParallelism(64/runtime.GOMAXPROCS(0) + 1)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.Propose(context.Background(), make([]byte, 256)); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(leader.Status().LogEntries), "log-entries")
			_, heapAfter := processUsage()
			b.ReportMetric(float64(heapAfter-heap)/float64(size)/(1<<20), "heap-MiB/member")
			for i, name := range []string{"leader-idle-B/s", "follower-idle-B/s", "all-idle-%core"} {
				b.ReportMetric(idle[i]/seconds, name)
			}
		})
	}
}

// processUsage returns the processor time and the heap size of this process.
func processUsage() (cpu time.Duration, heap int64) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), int64(m.HeapAlloc)
}

// TestAnswersALeaderThatLeaves guards against a member that cannot reply to a leader
// that removes itself, because the new membership lacks the leader's address.
func TestAnswersALeaderThatLeaves(t *testing.T) {
	raft, err := consensus.New(consensus.Config{ID: 1, Disk: 1, Rand: rand.New(rand.NewSource(1)),
		Initial: []consensus.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}},
		consensus.PersistedState{})
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{raft: raft, senderAddresses: map[consensus.MemberID]string{}}
	remaining := &consensus.Members{
		List: []consensus.Member{{ID: 1, Address: "a"}, {ID: 3, Address: "c"}}, Highest: 3}
	removal := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryMembers, Members: remaining}
	(&StepRequest{From: 2, Address: "b", Messages: []consensus.Message{
		{Kind: consensus.KindAppend, From: 2, To: 1, Disk: 2, Term: 1, Entries: []consensus.Entry{removal}},
	}}).handle(n)
	if _, known := raft.Members().Find(2); known {
		t.Fatal("the removal is not in the log")
	}
	if got := n.peerAddress(2); got != "b" {
		t.Errorf("the leader's address is %q after its removal, want b", got)
	}
}
