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
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// tickInterval is the unit of the consensus timeouts. With this value a lost
	// leader is replaced within 0.6 s to 1.2 s, which is shorter than the time in
	// which operators expect an acknowledgment.
	tickInterval = 30 * time.Millisecond
	// snapshotBytes is the log size that triggers a snapshot. It keeps the log far
	// below the size of a small disk.
	snapshotBytes = 1 << 20
	// confirmInterval is the interval between confirmations by a quorum, and
	// confirmTimeout limits one of them.
	confirmInterval = 200 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
	// membershipInterval is the interval between checks for silent members.
	membershipInterval = 250 * time.Millisecond
	// maxMembers leaves room for a replacement of each host in a group of eight, the
	// intended size.
	maxMembers = 16

	// listPollInterval is the interval between reads of the platform's list, which
	// itself lags by about as much.
	listPollInterval = 400 * time.Millisecond
	// firstListPollInterval is the interval until a new leader has a list.
	firstListPollInterval = 50 * time.Millisecond
	// loadPublishInterval is the least interval between publications of changed loads.
	loadPublishInterval = 150 * time.Millisecond
	// leaderPollInterval is the interval between checks for a new leader.
	leaderPollInterval = 100 * time.Millisecond
)

// ErrRemoved is returned by Run after the group removed this member and its data was
// deleted. When the process restarts, it joins the group under a new id.
var ErrRemoved = errors.New("the control group removed this member")

// ControlOptions holds the parameters of a Control.
type ControlOptions struct {
	// Address is the peer address of this process.
	Address       string
	FailureDomain string
	// DataFolder is empty on a host without a disk, which only forwards calls to
	// members.
	DataFolder string
	Seeds      func() []string
	// Bootstrap is set at the first start of the whole deployment.
	Bootstrap bool
	// MinVoters is the number of voters below which the group does not shrink when a
	// member is silent or stops.
	MinVoters int
	// RetrySlack is the number of retries that all entries together may make in each
	// RetryWindow beyond a share of their requests.
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdBound bounds the requests to cold servers, if its window is not 0.
	ColdBound serverlimit.Bound
	// ServesEvacuations is set where operators may evacuate failure domains, and FailureDomains
	// returns those that they may name. If there are none, they may name any.
	ServesEvacuations bool
	// AdmitsServiceWide is set if the memory of services is granted for all entries together.
	AdmitsServiceWide bool
	FailureDomains    func() []string
	Codec             Codec
	Directory         Directory
	Pool              *wire.Pool
	Dial              wire.Dialer
	Server            *wire.Server
	Logger            *zap.Logger
	Metrics           *observe.Metrics
}

// Control is one member of the control group, or on a host without a disk a proxy that
// forwards calls to the group.
type Control struct {
	options      ControlOptions
	stateMachine *stateMachine
	servers      *serverList
	limits       *limitTable
	parts        *partTable
	standings    *standingTable
	retries      *retryGrants
	// rooms is nil if the deployment has no service-wide admission.
	rooms   *roomTable
	watcher *Watcher
	// table is the desired state that was last decoded for cold servers.
	table atomic.Pointer[desired.Table]
	node  atomic.Pointer[control.Node]
	// confirmed is the time since boot at which the last successful confirmation by
	// a quorum started, 0 before the first.
	confirmed atomic.Int64

	metrics controlMetrics

	// leftGroup is set if the group removed this member because the process stops.
	leftGroup atomic.Bool

	mu sync.Mutex
	// nonces maps the nonces of join requests to the ids that were assigned.
	nonces map[string]consensus.MemberID
}

// controlMetrics holds the counters of a member.
type controlMetrics struct {
	acknowledged, refused, unanswered, watches, listReads, listFailures, permitRequests, permits *expvar.Int
	coldReports                                                                                  *expvar.Int
	evacuationsAcknowledged, evacuationsRefused, evacuationsUnanswered                           *expvar.Int
}

// newControlMetrics registers the gauges of a member and returns its counters.
func newControlMetrics(m *observe.Metrics, c *Control) controlMetrics {
	m.Gauge("control_confirmed_age_seconds", func() float64 {
		at, ok := readingAge(&c.confirmed)
		if !ok {
			return -1
		}
		return at.Seconds()
	})
	m.Gauge("control_voter_count", func() float64 { voters, _ := c.countMembers(); return float64(voters) })
	m.Gauge("control_learner_count", func() float64 { _, learners := c.countMembers(); return float64(learners) })
	m.Gauge("control_evacuated_failure_domains_count", func() float64 { return float64(c.countEvacuated()) })
	return controlMetrics{
		evacuationsAcknowledged: m.Counter("control_evacuations_acknowledged_total"),
		evacuationsRefused:      m.Counter("control_evacuations_refused_total"),
		evacuationsUnanswered:   m.Counter("control_evacuations_unanswered_total"),
		acknowledged:            m.Counter("control_states_acknowledged_total"), refused: m.Counter("control_states_refused_total"),
		unanswered: m.Counter("control_states_unanswered_total"), watches: m.Counter("control_watches_total"),
		listReads: m.Counter("control_list_reads_total"), listFailures: m.Counter("control_list_failures_total"),
		permitRequests: m.Counter("control_permit_requests_total"), permits: m.Counter("control_permits_total"),
		coldReports: m.Counter("control_cold_reports_total"),
	}
}

// countMembers returns the numbers of committed voters and learners.
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

// NewControl returns a Control and registers its service. Run starts it.
func NewControl(options ControlOptions) (*Control, error) {
	c := &Control{options: options, servers: newServerList(options.Address + "/" + newNonce()),
		nonces: map[string]consensus.MemberID{}}
	c.limits = &limitTable{source: c.servers.source, notify: c.servers.notify, coldBound: options.ColdBound}
	if options.ColdBound.Window > 0 {
		c.servers.coldStart = c.coldStart
	}
	c.parts = &partTable{source: c.servers.source, notify: c.servers.notify, logger: options.Logger}
	c.standings = &standingTable{source: c.servers.source, notify: c.servers.notify, logger: options.Logger}
	c.retries = &retryGrants{slack: options.RetrySlack, window: options.RetryWindow}
	if options.AdmitsServiceWide {
		c.rooms = &roomTable{source: c.servers.source, notify: c.servers.notify, logger: options.Logger,
			metrics: newRoomMetrics(options.Metrics)}
	}
	c.metrics = newControlMetrics(options.Metrics, c)
	c.stateMachine = &stateMachine{onChange: c.servers.notify, logger: options.Logger}
	c.servers.evacuations = c.evacuatedDomains
	member := options.Address
	if options.DataFolder == "" {
		member = ""
	}
	c.watcher = NewWatcher(WatcherOptions{Seeds: options.Seeds, Codec: options.Codec, Pool: options.Pool,
		Logger: options.Logger, FailureDomain: options.FailureDomain, MemberAddress: member, LeaderOnly: member == "",
		WantsTight: options.AdmitsServiceWide})
	c.watcher.OnChange(func(*View) { c.copyLeaderList() })
	return c, errors.Wrap(options.Server.Register(ServiceName, &service{c}), "register the fleet service")
}

// Run takes part in the group until ctx ends or the member fails. If the member left
// the group, Run deletes its data before it returns.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.options.DataFolder == "" {
		c.watcher.Run(ctx)
		return nil
	}
	id, err := c.obtainIdentity(ctx)
	if err != nil {
		return err
	}
	node, err := c.startNode(id)
	if err != nil {
		return err
	}
	defer node.Stop()
	c.node.Store(node)
	for _, run := range []func(context.Context){
		c.watcher.Run, c.runConfirm, c.runMembership, c.runListPoll, c.runLoadPublish, c.runLeaderPoll,
		c.runAnnounce,
	} {
		go run(ctx)
	}
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if !c.leftGroup.Load() {
				return nil
			}
			node.Stop()
			return removeMemberData(c.options.DataFolder)
		case <-node.Done():
			return errors.Wrap(node.Err(), "control member failed")
		case <-ticker.C:
		}
		if status := node.Status(); (status.LostDisk || status.Removed) && !c.leftGroup.Load() {
			node.Stop()
			if err := removeMemberData(c.options.DataFolder); err != nil {
				return err
			}
			return ErrRemoved
		}
	}
}

// startNode starts the consensus node of this member and registers its service.
func (c *Control) startNode(id *identity) (*control.Node, error) {
	members := map[consensus.MemberID]string{id.ID: c.options.Address}
	for member, address := range id.Initial {
		members[member] = address
	}
	node, err := control.StartNode(control.NodeConfig{
		Folder: filepath.Join(c.options.DataFolder, logFolder), ID: id.ID, Members: members, Join: len(id.Initial) == 0,
		Dial: c.options.Dial, Logger: c.options.Logger, TickInterval: tickInterval, SnapshotBytes: snapshotBytes,
		MaxMembers: maxMembers,
	}, c.stateMachine)
	if err != nil {
		return nil, err
	}
	if err := node.Register(c.options.Server); err != nil {
		node.Stop()
		return nil, err
	}
	return node, nil
}

// every calls do at once and then at each interval until ctx ends.
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

// runConfirm records the time at which a quorum last confirmed that this member's
// state is current.
func (c *Control) runConfirm(ctx context.Context) {
	every(ctx, confirmInterval, func() {
		start := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if err := c.node.Load().Barrier(callCtx); err == nil {
			wasSure := c.isSure()
			storeMax(&c.confirmed, start)
			if !wasSure {
				// Daemons that start wait for it, see mayServeState.
				c.servers.notify()
			}
		}
	})
}

// copyLeaderList copies the list that the watcher received from the leader, with the
// time at which it was read, the limits of backend servers and the parts of prompts that
// may crash them, unless this member leads.
func (c *Control) copyLeaderList() {
	if c.leads() {
		return
	}
	if at := c.watcher.listRead.Load(); at != 0 {
		c.servers.copyFrom(c.watcher.View(), time.Duration(at))
	}
	c.limits.copyFrom(c.watcher.View())
	c.parts.copyFrom(c.watcher.View())
	c.standings.copyFrom(c.watcher.View())
	if c.rooms != nil {
		c.rooms.copyFrom(c.watcher.View())
	}
}

// runLeaderPoll sets the leader that the watcher watches. It also copies the read time
// of the list, because an unchanged list triggers no OnChange call.
func (c *Control) runLeaderPoll(ctx context.Context) {
	every(ctx, leaderPollInterval, func() {
		address, _ := c.node.Load().Leader()
		if address != c.watcher.View().Leader {
			c.watcher.SetLeader(address)
		}
		c.copyLeaderList()
		if status := c.node.Load().Status(); status.Role == consensus.Leader {
			c.limits.lead(SinceBoot(), status.Term)
			c.retries.lead(SinceBoot(), status.Term)
			c.parts.lead(SinceBoot())
			c.standings.lead(SinceBoot())
			if c.rooms != nil {
				c.rooms.lead(SinceBoot(), status.Term)
			}
		}
	})
}

// runLoadPublish publishes changed loads, servers that fail and services that are tight while this
// member leads.
func (c *Control) runLoadPublish(ctx context.Context) {
	every(ctx, loadPublishInterval, func() {
		if c.leads() {
			c.servers.publishLoads()
			c.standings.publish(SinceBoot())
			c.updateRooms(SinceBoot())
		}
	})
}

// leads reports whether this member leads the group.
func (c *Control) leads() bool {
	node := c.node.Load()
	if node == nil {
		return false
	}
	_, self := node.Leader()
	return self
}

// runListPoll reads the platform's list while this member leads with a quorum. Only the
// leader reads it for all daemons, because the platform limits the rate of calls. A leader
// without a list does not wait for the quorum, because no daemon serves before it has one.
func (c *Control) runListPoll(ctx context.Context) {
	failed := false
	readAt := time.Duration(0)
	every(ctx, firstListPollInterval, func() {
		first := !c.servers.isLoaded()
		if at, ok := readingAge(&c.confirmed); !c.leads() || !first && (!ok || at > maxConfirmationAge ||
			SinceBoot()-readAt < listPollInterval) {
			return
		}
		readAt = SinceBoot()
		start := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		servers, err := c.options.Directory.List(callCtx, "")
		if (err != nil) != failed {
			failed = err != nil
			c.options.Logger.Info("status of platform list reads changed", zap.Bool("succeeded", !failed), zap.Error(err))
		}
		if err != nil {
			c.metrics.listFailures.Add(1)
			return
		}
		c.metrics.listReads.Add(1)
		if c.servers.coldStart != nil {
			// A new desired state is decoded here and not while the list is locked.
			c.declaredService("")
		}
		c.servers.setServers(servers, start)
		c.standings.setServers(servers)
		ids := make(map[string]bool, len(servers))
		for _, server := range servers {
			ids[server.ID] = true
		}
		c.limits.retain(SinceBoot(), func(server string) bool { return ids[server] })
	})
}
