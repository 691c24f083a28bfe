package control

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/control/wal"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/ring"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Defaults of NodeConfig. With them a lost leader is replaced within 4 s.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
)

// Capacities of the rings between the goroutines of a node.
const (
	inboxCapacity = 4096
	diskCapacity  = 256
	applyCapacity = 256
	peerCapacity  = 256
	// maxEvents bounds the events handled before their output is sent, the writes
	// of one group commit and the messages of one Step call.
	maxEvents = 256
)

// NodeConfig holds the parameters of one member of the control group.
type NodeConfig struct {
	Folder string
	ID     consensus.MemberID
	// Members are the peer addresses by id. They are the first membership of a
	// new group, which elects its first leader only when all of them run. A node
	// that joins needs its own address only.
	Members map[consensus.MemberID]string
	// Join is set for a member that AddMember adds to a running group.
	Join   bool
	Dial   wire.Dialer
	Logger *zap.Logger

	TickInterval    time.Duration
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries is the number of entries kept in memory behind a snapshot.
	KeepEntries uint64
	// MaxMembers bounds the members, 0 for consensus.DefaultMaxMembers.
	MaxMembers int
}

func (c *NodeConfig) setDefaults() {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.TickInterval <= 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotEntries <= 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes <= 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
}

// validate tells what is wrong with a configuration.
func (c *NodeConfig) validate() error {
	if c.Folder == "" {
		return errors.New("control: the data folder is not set")
	}
	if c.Members[c.ID] == "" {
		return errors.Errorf("control: member %d has no peer address", c.ID)
	}
	users := map[string]consensus.MemberID{}
	for id, address := range c.Members {
		if id == 0 || address == "" {
			return errors.Errorf("control: member %d with address %q: id and address are required", id, address)
		}
		if other, taken := users[address]; taken {
			return errors.Errorf("control: members %d and %d have the same address %s", other, id, address)
		}
		users[address] = id
	}
	if !c.Join && len(c.Members) > consensus.DefaultMaxVoters {
		return errors.Errorf("control: %d initial members, at most %d can vote", len(c.Members), consensus.DefaultMaxVoters)
	}
	return nil
}

// leaderView is what Leader returns.
type leaderView struct {
	address string
	self    bool
}

// Node runs one member of the replicated log. The main goroutine owns the
// consensus machine; ticker, disk, state machine and each peer have their own
// goroutine. Full rings never block the main goroutine.
type Node struct {
	config  NodeConfig
	address string
	logger  *zap.Logger
	machine *consensus.Machine
	state   StateMachine
	disk    *wal.Log

	inbox     *ring.Queue[event]
	diskRing  *ring.Queue[*consensus.Write]
	applyRing *ring.Queue[applyTask]
	// writes and tasks did not fit into their rings yet.
	writes []*consensus.Write
	tasks  []applyTask

	// waiters, reads and barriers belong to the main goroutine.
	waiters  map[uint64][]waiter
	reads    map[uint64]*call
	barriers []barrier
	lastRead uint64
	peers    map[consensus.MemberID]*peerLink
	learned  map[consensus.MemberID]string
	partial  partial
	warned   bool

	counters counters
	leader   atomic.Pointer[leaderView]
	status   atomic.Pointer[consensus.Status]
	members  atomic.Pointer[[]consensus.Member]
	highest  atomic.Uint64
	// electionsLost and electionLogged limit the lines about lost elections.
	electionsLost  uint64
	electionLogged time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	once   sync.Once
	err    error
}

var _ Log = (*Node)(nil)

// StartNode opens the data folder and starts the member, which restores the
// state machine in the background; Barrier tells when the state is up to date.
// Register must be called for the peers to reach it.
func StartNode(config NodeConfig, state StateMachine) (*Node, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	disk, restored, err := wal.Open(config.Folder, wal.Options{})
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, address: config.Members[config.ID], logger: config.Logger.With(zap.Uint64("member", uint64(config.ID))),
		state: state, disk: disk,
		inbox: ring.New[event](inboxCapacity), diskRing: ring.New[*consensus.Write](diskCapacity),
		applyRing: ring.New[applyTask](applyCapacity), waiters: map[uint64][]waiter{}, reads: map[uint64]*call{},
		peers: map[consensus.MemberID]*peerLink{}, learned: map[consensus.MemberID]string{}}
	if n.machine, err = newMachine(config, disk.Disk(), restored); err != nil {
		_ = disk.Close()
		return nil, err
	}
	if members := n.machine.Members().List; len(members) == 1 && members[0].ID == config.ID {
		// The only member has no leader to wait for. The longest election time is
		// twice the shortest.
		n.machine.Tick(2 * consensus.DefaultElectionTicks)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.publish()
	n.logger.Info("control member started", zap.Uint64("term", restored.Hard.Term),
		zap.Int("entries", len(restored.Entries)), zap.Bool("join", config.Join))
	for _, run := range []func(){n.run, n.runTicker, n.runDisk, n.runApply} {
		n.start(run)
	}
	return n, nil
}

func newMachine(config NodeConfig, disk uint64, restored consensus.PersistedState) (*consensus.Machine, error) {
	var initial []consensus.Member
	if !config.Join {
		for id, address := range config.Members {
			initial = append(initial, consensus.Member{ID: id, Address: address})
		}
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "control: draw random seed")
	}
	return consensus.New(consensus.Config{ID: config.ID, Disk: disk, Initial: initial, KeepEntries: config.KeepEntries, MaxMembers: config.MaxMembers,
		Rand: rand.New(rand.NewSource(int64(binary.BigEndian.Uint64(seed[:]))))}, restored)
}

func (n *Node) start(run func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
}

// fail stops the node without waiting. It may be called by its goroutines.
func (n *Node) fail(err error) {
	n.once.Do(func() {
		n.err = err
		if err != nil {
			n.logger.Error("control member stopped", zap.Error(err))
		}
		n.cancel()
	})
}

// Stop ends the member. Everything reported as committed is durable without it,
// so that Stop and a crash have the same effect.
func (n *Node) Stop() {
	n.fail(nil)
	n.wg.Wait()
	_ = n.disk.Close()
}

// Done is closed when the node stopped, by Stop or by a failure of its disk.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// Err returns the failure that stopped the node. It is valid after Done.
func (n *Node) Err() error {
	select {
	case <-n.ctx.Done():
		return n.err
	default:
		return nil
	}
}

// Leader implements Log.
func (n *Node) Leader() (address string, self bool) {
	v := n.leader.Load()
	return v.address, v.self
}

// Members returns the newest committed membership that this member knows.
func (n *Node) Members() []consensus.Member {
	return append([]consensus.Member(nil), *n.members.Load()...)
}

// HighestID returns the largest member id that was ever used, as far as this
// member knows.
func (n *Node) HighestID() consensus.MemberID { return consensus.MemberID(n.highest.Load()) }

// Status returns the state of the log for operators.
func (n *Node) Status() consensus.Status { return *n.status.Load() }

// publish makes the machine's state visible to other goroutines.
func (n *Node) publish() {
	status := n.machine.Status()
	members := n.machine.CommittedMembers().List
	if old := n.members.Load(); old == nil || !slices.Equal(*old, members) {
		n.logMembers(members)
	}
	n.members.Store(&members)
	n.logLostElection(&status)
	n.highest.Store(uint64(n.machine.Members().Highest))
	view := leaderView{self: status.Role == consensus.Leader}
	if status.Leader != 0 {
		view.address = n.addressOf(status.Leader)
	}
	if old := n.leader.Load(); old == nil || *old != view {
		n.leader.Store(&view)
		n.logger.Info("control leader changed", zap.Uint64("leader", uint64(status.Leader)), zap.Uint64("term", status.Term))
	}
	if (status.Removed || status.LostDisk) && !n.warned {
		n.warned = true
		n.logger.Warn("this member id was removed or is bound to another disk")
	}
	n.status.Store(&status)
}

// electionLogInterval is the shortest pause between lines about lost elections,
// of which there is about one a second without a quorum.
const electionLogInterval = 3 * time.Second

func (n *Node) logMembers(members []consensus.Member) {
	var voters, learners []string
	for _, m := range members {
		name := fmt.Sprintf("%d at %s", m.ID, m.Address)
		if m.Learner {
			learners = append(learners, name)
		} else {
			voters = append(voters, name)
		}
	}
	n.logger.Info("control membership committed", zap.Strings("voters", voters), zap.Strings("learners", learners))
}

func (n *Node) logLostElection(status *consensus.Status) {
	if status.ElectionsLost == n.electionsLost || time.Since(n.electionLogged) < electionLogInterval {
		return
	}
	n.electionsLost, n.electionLogged = status.ElectionsLost, time.Now()
	n.logger.Warn("election not won", zap.Uint64("elections_lost", status.ElectionsLost), zap.Int("voters", n.machine.Members().Voters()),
		zap.Any("supporters", status.Supporters), zap.Uint64("log_index", status.Last))
}

// addressOf returns the peer address of a member. A member that joins knows
// others only by their messages, and so do all a leader that removes itself.
func (n *Node) addressOf(id consensus.MemberID) string {
	if m, ok := n.machine.Members().Find(id); ok {
		return m.Address
	}
	return n.learned[id]
}
