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

// countState counts how often each command was applied.
type countState struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *countState) Apply(_ uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[string(command)]++
	return string(command)
}

func (s *countState) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(s.counts)
}

func (s *countState) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = map[string]int{}
	return json.Unmarshal(snapshot, &s.counts)
}

func (s *countState) count(command string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[command]
}

// group runs real nodes on loopback; hosts in cut reach nobody.
type group struct {
	tb      testing.TB
	folder  string
	config  NodeConfig
	members map[consensus.MemberID]string
	nodes   map[consensus.MemberID]*Node
	states  map[consensus.MemberID]*countState
	servers map[consensus.MemberID]*wire.Server
	cut     [16]atomic.Bool
	bytes   [16]atomic.Int64
}

func newGroup(tb testing.TB, size int, config NodeConfig) *group {
	g := &group{tb: tb, folder: tb.TempDir(), config: config, members: map[consensus.MemberID]string{},
		nodes: map[consensus.MemberID]*Node{}, states: map[consensus.MemberID]*countState{}, servers: map[consensus.MemberID]*wire.Server{}}
	for i := range size {
		g.reserve(consensus.MemberID(i + 1))
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

func (g *group) reserve(id consensus.MemberID) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.tb.Fatal(err)
	}
	g.members[id] = l.Addr().String()
	_ = l.Close()
}

// link counts the bytes of a connection at both ends and breaks when cut.
type link struct {
	net.Conn
	g        *group
	from, to consensus.MemberID
}

func (l link) count(n int, err error) (int, error) {
	l.g.bytes[l.from].Add(int64(n))
	l.g.bytes[l.to].Add(int64(n))
	return n, err
}

func (l link) Write(p []byte) (int, error) {
	if l.g.cut[l.from].Load() || l.g.cut[l.to].Load() {
		return 0, errors.New("cut")
	}
	return l.count(l.Conn.Write(p))
}

func (l link) Read(p []byte) (int, error) { return l.count(l.Conn.Read(p)) }

func (g *group) start(id consensus.MemberID, join bool) {
	config := g.config
	config.ID, config.Join, config.Folder = id, join, filepath.Join(g.folder, fmt.Sprint(id))
	config.Members = maps.Clone(g.members)
	config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		for to, a := range config.Members {
			if a == address {
				return link{conn, g, id, to}, err
			}
		}
		return conn, err
	}
	listener, err := net.Listen("tcp", g.members[id])
	if err != nil {
		g.tb.Fatal(err)
	}
	g.states[id], g.servers[id] = &countState{counts: map[string]int{}}, wire.NewServer(listener)
	if g.nodes[id], err = StartNode(config, g.states[id]); err != nil {
		g.tb.Fatal(err)
	}
	if err := g.nodes[id].Register(g.servers[id]); err != nil {
		g.tb.Fatal(err)
	}
	go g.servers[id].Serve()
}

// kill stops a node as a crash does: nothing is flushed.
func (g *group) kill(id consensus.MemberID) {
	g.servers[id].Close()
	g.nodes[id].Stop()
	delete(g.nodes, id)
}

func (g *group) until(what string, done func() bool) {
	g.tb.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	g.tb.Fatalf("not reached: %s", what)
}

// leader waits for a leader that a quorum confirms.
func (g *group) leader() (found *Node) {
	g.tb.Helper()
	g.until("leader", func() bool {
		for id, n := range g.nodes {
			if _, self := n.Leader(); self && !g.cut[id].Load() && confirm(n) == nil {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func (g *group) follower() *Node {
	leader := g.leader()
	for _, n := range g.nodes {
		if n != leader {
			return n
		}
	}
	return nil
}

func confirm(n *Node) error {
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

// fill commits n commands and returns them. It repeats a command that did not
// run; if that verdict is wrong, holds finds the command applied twice.
func (g *group) fill(prefix string, n int) (commands []string) {
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

// holds checks that a node applied each command exactly once.
func (g *group) holds(id consensus.MemberID, commands []string) {
	g.until(fmt.Sprintf("barrier at %d", id), func() bool { return confirm(g.nodes[id]) == nil })
	for _, c := range commands {
		if n := g.states[id].count(c); n != 1 {
			g.tb.Fatalf("member %d applied %s %d times", id, c, n)
		}
	}
}

var quick = NodeConfig{TickInterval: 20 * time.Millisecond, SnapshotEntries: 100, KeepEntries: 20}

// TestKillAndRestart guards against lost or repeated commands when a follower
// misses hundreds of them, and when all members crash.
func TestKillAndRestart(t *testing.T) {
	g := newGroup(t, 3, quick)
	commands := g.fill("a", 50)
	behind := g.follower().config.ID
	g.kill(behind)
	// The snapshot becomes large enough to be sent in parts.
	commands = append(commands, g.fill(strings.Repeat("b", 4*partBytes/400), 400)...)
	g.start(behind, false)
	g.holds(behind, commands)
	if m := g.nodes[behind].Metrics(); m.SnapshotsRestored == 0 || m.Syncs == 0 {
		t.Errorf("member %d caught up without a snapshot: %+v", behind, m)
	}
	for id := range g.members {
		g.kill(id)
	}
	for id := range g.members {
		g.start(id, false)
	}
	commands = append(commands, g.fill("c", 5)...)
	for id := range g.members {
		g.holds(id, commands)
	}
}

// TestLostDisk guards against a member with a blank disk that votes under its
// old id, and checks the repair under a new id.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3, quick)
	commands := g.fill("a", 150)
	leader, lost := g.leader(), g.follower().config.ID
	g.kill(lost)
	if err := os.RemoveAll(filepath.Join(g.folder, fmt.Sprint(lost))); err != nil {
		t.Fatal(err)
	}
	g.start(lost, false)
	g.until("the lost member is told", func() bool { return g.nodes[lost].Status().Removed })
	healthy := 1 + 2 + 3 - lost - leader.config.ID
	g.kill(healthy)
	if err := proposeOn(leader, "unsafe", 2*time.Second); verdict.Of(err) != verdict.MayHaveRun || err == nil {
		t.Errorf("commit with a blank disk: %v", err)
	}
	g.start(healthy, false)
	g.kill(lost)
	g.reserve(4)
	g.start(4, true)
	ctx := context.Background()
	if err := g.leader().AddMember(ctx, 4, g.members[4]); err != nil {
		t.Fatal(err)
	}
	g.until("new member votes", func() bool {
		m, ok := consensus.Members{List: g.leader().Members()}.Find(4)
		return ok && !m.Learner
	})
	if err := g.leader().RemoveMember(ctx, lost); err != nil {
		t.Fatal(err)
	}
	g.kill(g.leader().config.ID) // a second host is lost right after the repair
	g.holds(4, append(commands, g.fill("b", 20)...))
}

// TestCutOffLeader guards against a cut-off leader that serves old state, and
// against a wrong verdict for a command that it could not commit.
func TestCutOffLeader(t *testing.T) {
	g := newGroup(t, 3, quick)
	g.fill("a", 10)
	old := g.leader()
	g.cut[old.config.ID].Store(true)
	verdicts := make(chan error, 1)
	go func() { verdicts <- proposeOn(old, "replaced", 30*time.Second) }()
	if err := confirm(old); verdict.Of(err) != verdict.NotRun || err == nil {
		t.Errorf("barrier at the cut-off leader: %v", err)
	}
	commands := g.fill("b", 10)
	g.until("the old leader steps down", func() bool { _, self := old.Leader(); return !self })
	if err := proposeOn(old, "late", time.Second); verdict.Of(err) != verdict.NotRun || !errors.Is(err, consensus.ErrNotLeader) {
		t.Errorf("command at the deposed leader: %v", err)
	}
	term := g.leader().Status().Term
	g.cut[old.config.ID].Store(false)
	if err := <-verdicts; verdict.Of(err) != verdict.NotRun || g.states[g.leader().config.ID].count("replaced") != 0 {
		t.Errorf("replaced command: %v", err)
	}
	g.holds(old.config.ID, commands)
	if now := g.leader().Status().Term; now != term {
		t.Errorf("term moved from %d to %d when the old leader returned", term, now)
	}
}

// BenchmarkGroup reports what an idle group spends in 10 s: payload bytes of a
// member's connections, both directions, and the processor time of all members.
// Then it reports commits of 256-byte commands by at least 64 callers and the
// memory of the log after them.
func BenchmarkGroup(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			g := newGroup(b, size, NodeConfig{})
			leader := g.leader()
			sent := [2]*atomic.Int64{&g.bytes[leader.config.ID], &g.bytes[g.follower().config.ID]}
			time.Sleep(time.Second)
			cpu, heap := usage()
			l, f, start := sent[0].Load(), sent[1].Load(), time.Now()
			time.Sleep(10 * time.Second)
			seconds := time.Since(start).Seconds()
			cpuAfter, _ := usage()
			idle := [3]float64{float64(sent[0].Load() - l), float64(sent[1].Load() - f), (cpuAfter - cpu).Seconds() * 100}
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
			_, heapAfter := usage()
			b.ReportMetric(float64(heapAfter-heap)/float64(size)/(1<<20), "heap-MiB/member")
			for i, name := range []string{"leader-idle-B/s", "follower-idle-B/s", "all-idle-%core"} {
				b.ReportMetric(idle[i]/seconds, name)
			}
		})
	}
}

// usage returns the processor time and the heap of this process.
func usage() (cpu time.Duration, heap int64) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), int64(m.HeapAlloc)
}

// Guards against a member that can not answer a leader that removes itself,
// because the removal takes the leader's address out of the membership.
func TestAnswersALeaderThatLeaves(t *testing.T) {
	machine, err := consensus.New(consensus.Config{ID: 1, Disk: 1, Rand: rand.New(rand.NewSource(1)),
		Initial: []consensus.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}}, consensus.PersistedState{})
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{machine: machine, learned: map[consensus.MemberID]string{}}
	left := &consensus.Members{List: []consensus.Member{{ID: 1, Address: "a"}, {ID: 3, Address: "c"}}, Highest: 3}
	removal := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryMembers, Members: left}
	(&StepRequest{From: 2, Address: "b", Messages: []consensus.Message{
		{Kind: consensus.KindAppend, From: 2, To: 1, Disk: 2, Term: 1, Entries: []consensus.Entry{removal}}}}).handle(n)
	if _, known := machine.Members().Find(2); known {
		t.Fatal("the removal is not in the log")
	}
	if got := n.addressOf(2); got != "b" {
		t.Errorf("the leader's address is %q after its removal, want b", got)
	}
}
