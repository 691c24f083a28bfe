package gateway

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serviceroom"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"go.uber.org/zap"
)

// RoomSource grants the memory of services, for all entries together.
type RoomSource interface {
	// AcquireRoom renews this entry's lease of the memory of a service.
	AcquireRoom(ctx context.Context, service string, r serviceroom.Renewal) (serviceroom.Grant, error)
}

// roomTick is the interval at which the account of a tight service is asked for decisions and
// renewals, see serviceroom.Account.
const roomTick = 50 * time.Millisecond

// roomBoard holds the accounts of the memory that generations need at services of engines. It is
// nil if the deployment has no service-wide admission.
type roomBoard struct {
	source  RoomSource
	entry   string
	logger  *zap.Logger
	metrics roomMetrics
	// stopping is closed when the entry begins to drain.
	stopping chan struct{}

	mu       sync.Mutex
	services map[string]*serviceRoom
	// tight are the services that were last published as tight, as of stamp. table is the desired
	// state then.
	tight map[string]bool
	stamp fleet.Stamp
	table *desired.Table
}

// roomMetrics are labeled by service, except for the number of renewals and the histogram.
type roomMetrics struct {
	waited, refused, tight   *observe.Counters
	renewals, failedRenewals *expvar.Int
	wait                     *observe.Histogram
}

func newRoomBoard(options *Options) *roomBoard {
	if options.Rooms == nil {
		return nil
	}
	m := options.Metrics
	return &roomBoard{source: options.Rooms, entry: options.Name, logger: options.Logger, stopping: make(chan struct{}),
		services: map[string]*serviceRoom{}, metrics: roomMetrics{
			waited: m.Counters("gateway_room_waited_total", maxServices), refused: m.Counters("gateway_room_refused_total", maxServices),
			tight: m.Counters("gateway_room_tight_count", maxServices), renewals: m.Counter("gateway_room_renewals_total"),
			failedRenewals: m.Counter("gateway_room_renewals_failed_total"), wait: m.Histogram("gateway_room_wait_seconds"),
		}}
}

// update passes the published flags to the accounts when they changed, and forgets services that
// are no longer declared.
func (b *roomBoard) update(v *fleet.View) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.Table != b.table && v.Table != nil {
		b.table = v.Table
		for name, s := range b.services {
			if v.Table.Service(name) == nil && s.isIdle() {
				delete(b.services, name)
			}
		}
	}
	if v.TightStamp == b.stamp {
		return
	}
	b.tight, b.stamp = v.Tight, v.TightStamp
	for name, s := range b.services {
		s.setTight(b.tight[name])
	}
}

// service returns the account of a service, creating it if needed.
func (b *roomBoard) service(name string) *serviceRoom {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil {
		s = &serviceRoom{name: name, board: b, account: serviceroom.NewAccount(b.entry), kick: make(chan struct{}, 1),
			waiters: map[uint64]chan serviceroom.Decision{}}
		b.services[name] = s
		if b.isStopping() {
			s.account.Stop()
		}
		s.setTight(b.tight[name])
	}
	return s
}

func (b *roomBoard) isStopping() bool {
	select {
	case <-b.stopping:
		return true
	default:
		return false
	}
}

// stop returns what the entry holds beyond what runs and waits, because it begins to drain.
func (b *roomBoard) stop() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isStopping() {
		return
	}
	close(b.stopping)
	for _, s := range b.services {
		s.mu.Lock()
		s.account.Stop()
		s.mu.Unlock()
		s.wake()
	}
}

// serviceRoom drives the account of one service.
type serviceRoom struct {
	name  string
	board *roomBoard
	// tight is whether the account holds the service for tight.
	tight atomic.Bool
	// kick makes run ask the account at once.
	kick chan struct{}

	mu      sync.Mutex
	account *serviceroom.Account
	lastID  uint64
	// waiters get the decisions about the generations that wait.
	waiters map[uint64]chan serviceroom.Decision
	// running is set while run runs, unanswered after a renewal that was not answered.
	running, unanswered bool
}

// isIdle reports whether nothing runs or waits.
func (s *serviceRoom) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.account.Stats(fleet.SinceBoot())
	return !s.running && stats.Running+stats.Waiting+stats.Short == 0
}

// setTight passes the published flag to the account.
func (s *serviceRoom) setTight(tight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := fleet.SinceBoot()
	s.account.SetTight(now, tight)
	s.deliverLocked(now, s.account.Poll(now))
}

// deliverLocked passes decisions on, and starts run when the service became tight. The caller
// holds s.mu.
func (s *serviceRoom) deliverLocked(now time.Duration, list []serviceroom.Decided) {
	for _, d := range list {
		if waiter := s.waiters[d.ID]; waiter != nil {
			waiter <- d.Decision
			delete(s.waiters, d.ID)
		}
	}
	stats := s.account.Stats(now)
	if s.tight.Swap(stats.Tight) != stats.Tight {
		value := int64(0)
		if stats.Tight {
			value = 1
		}
		s.board.metrics.tight.Set(s.name, value)
		s.board.logger.Info("tightness of a service changed", zap.String("service", s.name), zap.Bool("tight", stats.Tight),
			zap.Int("running", stats.Running), zap.Int("in_use_tokens", stats.InUse), zap.Int("short_tokens", stats.Short))
	}
	if stats.Tight && !s.running {
		s.running = true
		go s.run()
	}
}

// wake makes run ask the account at once.
func (s *serviceRoom) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// run renews the lease and polls the account until the service is no longer tight.
func (s *serviceRoom) run() {
	ticker := time.NewTicker(roomTick)
	defer ticker.Stop()
	for s.step() {
		select {
		case <-ticker.C:
		case <-s.kick:
		}
	}
}

// step polls the account and sends a renewal in the background if one is due. It returns false if
// the service is no longer tight.
func (s *serviceRoom) step() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := fleet.SinceBoot()
	s.deliverLocked(now, s.account.Poll(now))
	if !s.tight.Load() {
		s.running = false
		return false
	}
	if renewal, due := s.account.Renewal(now); due {
		go s.renew(now, renewal)
	}
	return true
}

// renew sends a renewal and passes the grant to the account. Renewals go on while the entry
// drains, so they do not depend on a request.
func (s *serviceRoom) renew(sentAt time.Duration, renewal serviceroom.Renewal) {
	s.board.metrics.renewals.Add(1)
	grant, err := s.board.source.AcquireRoom(context.Background(), s.name, renewal)
	s.mu.Lock()
	defer s.mu.Unlock()
	if unanswered := err != nil; unanswered != s.unanswered {
		s.unanswered = unanswered
		s.board.logger.Info("renewals of leases answered or not", zap.String("service", s.name), zap.Bool("answered", !unanswered),
			zap.Int("waiting", len(renewal.Waiting)), zap.Error(err))
	}
	if err != nil {
		s.board.metrics.failedRenewals.Add(1)
		return
	}
	now := fleet.SinceBoot()
	s.deliverLocked(now, s.account.Granted(now, sentAt, grant))
}

// addShort adds to the memory that short generations need.
func (s *serviceRoom) addShort(need int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Short(need)
}

// arrive passes a generation to the account, and returns its id and, if it waits, the channel that
// gets the decision.
func (s *serviceRoom) arrive(d serviceroom.Demand) (id uint64, waiter <-chan serviceroom.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	d.ID = s.lastID
	now := fleet.SinceBoot()
	if !s.account.Arrive(now, d) {
		return d.ID, nil
	}
	decision := make(chan serviceroom.Decision, 1)
	s.waiters[d.ID] = decision
	s.deliverLocked(now, s.account.Poll(now))
	s.wake()
	return d.ID, decision
}

// end tells the account that a generation ended, or no longer waits.
func (s *serviceRoom) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
	s.account.End(fleet.SinceBoot(), id)
}

// leaseAndShare returns the entry's lease and the need of a caller's generations that run here.
func (s *serviceRoom) leaseAndShare(caller string) (lease, share int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account.Stats(fleet.SinceBoot()).Lease, s.account.Share(caller)
}
