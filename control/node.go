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

// Defaults of NodeConfig. With these, the group replaces a failed leader within
// 4 s.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
)

// Capacities of the queues between the goroutines of a node.
const (
	inboxCapacity = 4096
	diskCapacity  = 256
	applyCapacity = 256
	peerCapacity  = 256
	// maxEvents bounds the events that are handled before their output is dispatched,
	// the writes in one group commit and the messages in one Step call.
	maxEvents = 256
)

// NodeConfig holds the parameters of one member of the control group.
type NodeConfig struct {
	// Folder is the data folder of the write-ahead log.
	Folder string
	ID     consensus.MemberID
	// Members maps the ids of the initial members of a new group to their peer
	// addresses. All of them must run for the first election. A node that joins a
	// group needs its own address only.
	Members map[consensus.MemberID]string
	// Join is set for a member that AddMember adds to an existing group.
	Join   bool
	Dial   wire.Dialer
	Logger *zap.Logger

	TickInterval    time.Duration
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries is the number of entries before a snapshot that are kept in memory.
	KeepEntries uint64
	// MaxMembers bounds the number of members. 0 means consensus.DefaultMaxMembers.
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

// validate returns an error if the configuration is invalid.
func (c *NodeConfig) validate() error {
	if c.Folder == "" {
		return errors.New("control: the data folder is not set")
	}
	if c.Members[c.ID] == "" {
		return errors.Errorf("control: member %d has no peer address", c.ID)
	}
	idByAddress := map[string]consensus.MemberID{}
	for id, address := range c.Members {
		if id == 0 || address == "" {
			return errors.Errorf("control: member %d with address %q: id and address are required", id, address)
		}
		if other, taken := idByAddress[address]; taken {
			return errors.Errorf("control: members %d and %d have the same address %s", other, id, address)
		}
		idByAddress[address] = id
	}
	if !c.Join && len(c.Members) > consensus.DefaultMaxVoters {
		return errors.Errorf("control: %d initial members, but at most %d voters are allowed",
			len(c.Members), consensus.DefaultMaxVoters)
	}
	return nil
}

// leaderInfo holds the results of Leader.
type leaderInfo struct {
	address string
	self    bool
}

// Node runs one member of the replicated log. The main goroutine owns the Raft
// instance. The ticker, the disk, the state machine and each peer have goroutines of
// their own. The main goroutine never blocks on a full queue.
type Node struct {
	config       NodeConfig
	address      string
	logger       *zap.Logger
	raft         *consensus.Raft
	stateMachine StateMachine
	log          *wal.Log

	inbox      *ring.Queue[event]
	diskQueue  *ring.Queue[*consensus.Write]
	applyQueue *ring.Queue[applyTask]
	// queuedWrites and queuedTasks wait for space in diskQueue and applyQueue.
	queuedWrites []*consensus.Write
	queuedTasks  []applyTask

	// The following fields belong to the main goroutine. proposals are keyed by log
	// index, pendingReads by read id.
	proposals       map[uint64][]proposal
	pendingReads    map[uint64]*nodeRequest
	pendingBarriers []pendingBarrier
	lastReadID      uint64
	senders         map[consensus.MemberID]*peerSender
	// senderAddresses are the addresses that members sent in their Step requests.
	senderAddresses map[consensus.MemberID]string
	incoming        partialSnapshot
	removalLogged   bool

	counters   counters
	leaderInfo atomic.Pointer[leaderInfo]
	status     atomic.Pointer[consensus.Status]
	members    atomic.Pointer[[]consensus.Member]
	highestID  atomic.Uint64
	// electionsLogged and electionLogTime limit the rate of log messages about lost
	// elections.
	electionsLogged uint64
	electionLogTime time.Time

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stopOnce sync.Once
	stopErr  error
}

var _ Log = (*Node)(nil)

// StartNode opens the data folder and starts a member. The state machine is restored
// in the background; Barrier waits until it is up to date. Peers can reach the
// member after Register.
func StartNode(config NodeConfig, stateMachine StateMachine) (*Node, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	log, restored, err := wal.Open(config.Folder, wal.Options{})
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, address: config.Members[config.ID],
		logger:       config.Logger.With(zap.Uint64("member", uint64(config.ID))),
		stateMachine: stateMachine, log: log,
		inbox: ring.New[event](inboxCapacity), diskQueue: ring.New[*consensus.Write](diskCapacity),
		applyQueue: ring.New[applyTask](applyCapacity),
		proposals:  map[uint64][]proposal{}, pendingReads: map[uint64]*nodeRequest{},
		senders: map[consensus.MemberID]*peerSender{}, senderAddresses: map[consensus.MemberID]string{}}
	if n.raft, err = newRaft(config, log.Disk(), restored); err != nil {
		_ = log.Close()
		return nil, err
	}
	if members := n.raft.Members().List; len(members) == 1 && members[0].ID == config.ID {
		// The only member of a group has no leader to wait for, so it starts an election
		// at once. The maximum election timeout is twice the minimum.
		n.raft.Tick(2 * consensus.DefaultElectionTicks)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.publishStatus()
	n.logger.Info("control member started", zap.Uint64("term", restored.Hard.Term),
		zap.Int("entries", len(restored.Entries)), zap.Bool("join", config.Join))
	for _, run := range []func(){n.run, n.runTicker, n.runDisk, n.runApply} {
		n.start(run)
	}
	return n, nil
}

// newRaft creates the Raft instance from the stored state.
func newRaft(config NodeConfig, disk uint64, restored consensus.PersistedState) (*consensus.Raft, error) {
	var initial []consensus.Member
	if !config.Join {
		for id, address := range config.Members {
			initial = append(initial, consensus.Member{ID: id, Address: address})
		}
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "control: generate random seed")
	}
	return consensus.New(consensus.Config{ID: config.ID, Disk: disk, Initial: initial,
		KeepEntries: config.KeepEntries, MaxMembers: config.MaxMembers,
		Rand: rand.New(rand.NewSource(int64(binary.BigEndian.Uint64(seed[:]))))}, restored)
}

// start runs a goroutine that Stop waits for.
func (n *Node) start(run func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
}

// shutDown cancels all goroutines of the node without waiting for them. err is the
// failure that stops the node, or nil. The node's own goroutines may call it.
func (n *Node) shutDown(err error) {
	n.stopOnce.Do(func() {
		n.stopErr = err
		if err != nil {
			n.logger.Error("control member stopped", zap.Error(err))
		}
		n.cancel()
	})
}

// Stop stops the member and closes its data folder. It flushes nothing: all
// commands that were reported as committed are durable already, so a crash has the
// same effect.
func (n *Node) Stop() {
	n.shutDown(nil)
	n.wg.Wait()
	_ = n.log.Close()
}

// Done returns a channel that is closed when Stop or a failure stops the node.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// Err returns the failure that stopped the node, nil if it runs or Stop stopped it.
func (n *Node) Err() error {
	select {
	case <-n.ctx.Done():
		return n.stopErr
	default:
		return nil
	}
}

// Leader implements Log.
func (n *Node) Leader() (address string, self bool) {
	info := n.leaderInfo.Load()
	return info.address, info.self
}

// Members returns the latest committed membership that this member knows.
func (n *Node) Members() []consensus.Member {
	return append([]consensus.Member(nil), *n.members.Load()...)
}

// HighestID returns the largest member id ever used that this member knows.
func (n *Node) HighestID() consensus.MemberID { return consensus.MemberID(n.highestID.Load()) }

// Status returns the state of the replicated log.
func (n *Node) Status() consensus.Status { return *n.status.Load() }

// publishStatus copies the state of the Raft instance for other goroutines and
// logs changes of leader and membership.
func (n *Node) publishStatus() {
	status := n.raft.Status()
	members := n.raft.CommittedMembers().List
	if old := n.members.Load(); old == nil || !slices.Equal(*old, members) {
		n.logMembers(members)
	}
	n.members.Store(&members)
	n.logLostElection(&status)
	n.highestID.Store(uint64(n.raft.Members().Highest))
	info := leaderInfo{self: status.Role == consensus.Leader}
	if status.Leader != 0 {
		info.address = n.peerAddress(status.Leader)
	}
	if old := n.leaderInfo.Load(); old == nil || *old != info {
		n.leaderInfo.Store(&info)
		n.logger.Info("control leader changed",
			zap.Uint64("leader", uint64(status.Leader)), zap.Uint64("term", status.Term))
	}
	if (status.Removed || status.LostDisk) && !n.removalLogged {
		n.removalLogged = true
		n.logger.Warn("the id of this member was removed or is bound to another disk")
	}
	n.status.Store(&status)
}

// electionLogInterval is the minimum interval between log messages about lost
// elections. Without a quorum, an election is lost about once per second.
const electionLogInterval = 3 * time.Second

// logMembers logs a committed membership.
func (n *Node) logMembers(members []consensus.Member) {
	var voters, learners []string
	for _, m := range members {
		member := fmt.Sprintf("%d at %s", m.ID, m.Address)
		if m.Learner {
			learners = append(learners, member)
		} else {
			voters = append(voters, member)
		}
	}
	n.logger.Info("control membership committed", zap.Strings("voters", voters), zap.Strings("learners", learners))
}

// logLostElection logs a lost election unless it logged one recently.
func (n *Node) logLostElection(status *consensus.Status) {
	if status.ElectionsLost == n.electionsLogged || time.Since(n.electionLogTime) < electionLogInterval {
		return
	}
	n.electionsLogged, n.electionLogTime = status.ElectionsLost, time.Now()
	n.logger.Warn("election not won", zap.Uint64("elections_lost", status.ElectionsLost),
		zap.Int("voters", n.raft.Members().Voters()), zap.Any("supporters", status.Supporters),
		zap.Uint64("log_index", status.Last))
}

// peerAddress returns the peer address of a member, or an empty string. The
// addresses that senders reported are needed by a joining member, which does not
// know the membership yet, and to answer a leader that removed itself.
func (n *Node) peerAddress(id consensus.MemberID) string {
	if m, ok := n.raft.Members().Find(id); ok {
		return m.Address
	}
	return n.senderAddresses[id]
}
