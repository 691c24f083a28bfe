package fleet

import (
	"context"
	"expvar"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// tickInterval replaces a lost leader within 0.6 s to 1.2 s, which is shorter
	// than the time in which an operator expects an acknowledgment.
	tickInterval = 30 * time.Millisecond
	// snapshotBytes keeps the log far below the size of a small disk.
	snapshotBytes = 1 << 20
	// confirmInterval is the pause between confirmations by a quorum, and
	// confirmTimeout bounds one.
	confirmInterval = 200 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
	// keepInterval is the pause between looks at silent members.
	keepInterval = 250 * time.Millisecond
	// maxMembers leaves a place for the successor of each of the eight hosts that
	// a group is meant for.
	maxMembers = 16

	// listInterval is the pause between readings of the platform's list, which
	// lags by about as much itself.
	listInterval = 400 * time.Millisecond
	// flushInterval bounds how often changed loads are published.
	flushInterval = 150 * time.Millisecond
	// leaderInterval is the pause between looks at who leads.
	leaderInterval = 100 * time.Millisecond
)

// ErrRemoved tells that the group removed this member, whose data folder has
// been emptied. The process joins under a new id when it starts again.
var ErrRemoved = errors.New("the control group removed this member")

// ControlOptions holds the parameters of a Control.
type ControlOptions struct {
	// Address is the own peer address.
	Address       string
	FailureDomain string
	// DataFolder is empty on a host without a disk, which forwards calls only.
	DataFolder string
	Seeds      func() []string
	// Bootstrap is set at the very first start of the whole system.
	Bootstrap bool
	// MinVoters is the number of voters below which the group does not shrink.
	MinVoters int
	Codec     Codec
	Directory Directory
	Pool      *wire.Pool
	Dial      wire.Dialer
	Server    *wire.Server
	Logger    *zap.Logger
	Metrics   *observe.Metrics
}

// Control is one member of the control group, or a forwarder to it.
type Control struct {
	options  ControlOptions
	register *register
	board    *board
	follower *Watcher
	node     atomic.Pointer[control.Node]
	// confirmed is the reading of Elapsed at which the last confirmation began.
	confirmed atomic.Int64

	metrics controlMetrics

	// left tells that the group removed this member because it stops.
	left atomic.Bool

	mu     sync.Mutex
	nonces map[string]consensus.MemberID
}

// controlMetrics counts what a member did.
type controlMetrics struct {
	acknowledged, refused, unsure, watches, listReads, listFailures *expvar.Int
}

func newControlMetrics(m *observe.Metrics, c *Control) controlMetrics {
	m.Gauge("control_confirmed_age_seconds", func() float64 {
		at, ok := age(&c.confirmed)
		if !ok {
			return -1
		}
		return at.Seconds()
	})
	m.Gauge("control_voter_count", func() float64 { voters, _ := c.countMembers(); return float64(voters) })
	m.Gauge("control_learner_count", func() float64 { _, learners := c.countMembers(); return float64(learners) })
	return controlMetrics{
		acknowledged: m.Counter("control_states_acknowledged_total"), refused: m.Counter("control_states_refused_total"),
		unsure: m.Counter("control_states_unanswered_total"), watches: m.Counter("control_watches_total"),
		listReads: m.Counter("control_list_reads_total"), listFailures: m.Counter("control_list_failures_total"),
	}
}

// countMembers returns the committed members that vote and those that do not.
func (c *Control) countMembers() (voters, learners int) {
	node := c.node.Load()
	if node == nil {
		return 0, 0
	}
	for _, m := range node.Members() {
		if m.Learner {
			learners++
		} else {
			voters++
		}
	}
	return voters, learners
}

// NewControl registers the services of a member. Run makes it take part.
func NewControl(options ControlOptions) (*Control, error) {
	c := &Control{options: options, board: newBoard(options.Address + "/" + newNonce()), nonces: map[string]consensus.MemberID{}}
	c.metrics = newControlMetrics(options.Metrics, c)
	c.register = &register{changed: c.board.signal}
	member := options.Address
	if options.DataFolder == "" {
		member = ""
	}
	c.follower = NewWatcher(WatcherOptions{Seeds: options.Seeds, Codec: options.Codec, Pool: options.Pool, Logger: options.Logger, MemberAddress: member})
	c.follower.OnChange(func(*View) { c.copyList() })
	return c, errors.Wrap(options.Server.Register(ServiceName, &service{c}), "register the fleet service")
}

// Run takes part in the group until ctx ends or the member fails. A member that
// left the group before keeps nothing on its disk.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.options.DataFolder == "" {
		c.follower.Run(ctx)
		return nil
	}
	id, err := c.identify(ctx)
	if err != nil {
		return err
	}
	node, err := c.startNode(id)
	if err != nil {
		return err
	}
	defer node.Stop()
	c.node.Store(node)
	for _, run := range []func(context.Context){c.follower.Run, c.runConfirm, c.runKeep, c.runList, c.runFlush, c.runLeader} {
		go run(ctx)
	}
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if !c.left.Load() {
				return nil
			}
			node.Stop()
			return discard(c.options.DataFolder)
		case <-node.Done():
			return errors.Wrap(node.Err(), "the control member failed")
		case <-ticker.C:
		}
		if status := node.Status(); (status.LostDisk || status.Removed) && !c.left.Load() {
			node.Stop()
			if err := discard(c.options.DataFolder); err != nil {
				return err
			}
			return ErrRemoved
		}
	}
}

func (c *Control) startNode(id *identity) (*control.Node, error) {
	members := map[consensus.MemberID]string{id.ID: c.options.Address}
	for member, address := range id.Initial {
		members[member] = address
	}
	node, err := control.StartNode(control.NodeConfig{
		Folder: filepath.Join(c.options.DataFolder, logFolder), ID: id.ID, Members: members, Join: len(id.Initial) == 0,
		Dial: c.options.Dial, Logger: c.options.Logger, TickInterval: tickInterval, SnapshotBytes: snapshotBytes,
		MaxMembers: maxMembers,
	}, c.register)
	if err != nil {
		return nil, err
	}
	if err := node.Register(c.options.Server); err != nil {
		node.Stop()
		return nil, err
	}
	return node, nil
}

// every calls a function at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runConfirm keeps the time at which a quorum last confirmed this member's
// state.
func (c *Control) runConfirm(ctx context.Context) {
	every(ctx, confirmInterval, func() {
		began := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if err := c.node.Load().Barrier(callCtx); err == nil {
			raise(&c.confirmed, began)
		}
	})
}

// copyList takes over the list that the follower got from the leader, and the
// time at which it was read.
func (c *Control) copyList() {
	if at := c.follower.listRead.Load(); at != 0 && !c.leads() {
		c.board.copy(c.follower.View(), time.Duration(at))
	}
}

// runLeader tells the follower whom to watch. It also keeps the time at which
// an unchanged list was read.
func (c *Control) runLeader(ctx context.Context) {
	every(ctx, leaderInterval, func() {
		address, _ := c.node.Load().Leader()
		if address != c.follower.View().Leader {
			c.follower.SetLeader(address)
		}
		c.copyList()
	})
}

func (c *Control) runFlush(ctx context.Context) {
	every(ctx, flushInterval, func() {
		if c.leads() {
			c.board.flush()
		}
	})
}

// leads tells whether this member leads the group.
func (c *Control) leads() bool {
	node := c.node.Load()
	if node == nil {
		return false
	}
	_, self := node.Leader()
	return self
}

// runList reads the platform's list while this member leads with a quorum. One
// reader serves all daemons, because calls of the list are limited.
func (c *Control) runList(ctx context.Context) {
	failed := false
	every(ctx, listInterval, func() {
		if at, ok := age(&c.confirmed); !c.leads() || !ok || at > staleConfirmation {
			return
		}
		began := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		servers, err := c.options.Directory.List(callCtx)
		if (err != nil) != failed {
			failed = err != nil
			c.options.Logger.Info("reading the list of backend servers", zap.Bool("succeeded", !failed), zap.Error(err))
		}
		if err != nil {
			c.metrics.listFailures.Add(1)
			return
		}
		c.metrics.listReads.Add(1)
		c.board.read(servers, began)
	})
}
