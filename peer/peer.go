// Package peer is the part of the system that every daemon runs: heartbeats to
// the control group, and copies of configuration, membership and quarantine
// list. core/peerstate decides; this package calls and publishes.
package peer

import (
	"context"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/ring"
	"arbutusmast.example/arbutusmast/settings"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// maxEvents bounds events that wait for the loop. Observed headers beyond it
// are dropped, because the next message shows the revision again.
const maxEvents = 256

// Options of Start.
type Options struct {
	Settings    settings.Settings
	Pool        *wire.Pool
	Incarnation message.Incarnation
	Logger      *zap.Logger
	// AgentAddress and LinkAddress tell other daemons where an agent serves.
	AgentAddress string
	LinkAddress  string
	// Statuses returns the state of the daemon's backend servers. It may be nil.
	Statuses func() []message.BackendServerStatus
	// Metrics takes the counters. It may be nil.
	Metrics *observe.Metrics
}

// State is a daemon's copy of what the control group decided. Its methods are
// safe for concurrent use.
type State struct {
	options Options
	start   time.Time
	events  *ring.Queue[func(now time.Duration)]
	machine *peerstate.StateMachine // used by the loop only
	done    chan struct{}
	service Service
	control controlClient
	metrics stateMetrics

	config     atomic.Pointer[contract.Config]
	members    atomic.Pointer[[]message.Member]
	quarantine atomic.Pointer[map[string]suspicion]
	highest    atomic.Uint64
	// confirmedAt is when a leader with a quorum last answered a heartbeat.
	confirmedAt atomic.Int64
	ready       atomic.Bool
	leaving     atomic.Bool

	// Used by the loop only.
	membersSeen    uint64
	quarantineSeen uint64
	onConfig       []func(*contract.Config)
	onMembers      []func([]message.Member)
	problem        string

	readyOnce sync.Once
	readyChan chan struct{}
}

// suspicion is a digest that is suspect or held back until a time.
type suspicion struct {
	suspect bool
	until   time.Time
}

// Start begins heartbeats and fetches, which end with ctx. It does not wait for
// a configuration.
func Start(ctx context.Context, o Options) (*State, error) {
	d := o.Settings.Daemon
	if d.Host == "" || o.Pool == nil || len(d.ControlAddresses) == 0 {
		return nil, errors.New("a daemon needs a host name, control addresses and a pool")
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	// The seed differs from daemon to daemon, so that they do not call in step.
	rng := rand.New(rand.NewSource(time.Now().UnixNano() ^ int64(o.Incarnation)))
	s := &State{
		options: o, start: time.Now(), events: ring.New[func(time.Duration)](maxEvents),
		machine: peerstate.New(d.ControlAddresses, rng), done: make(chan struct{}), readyChan: make(chan struct{}),
	}
	s.service.state = s
	s.metrics = newStateMetrics(o.Metrics, s)
	s.control.targets = peerstate.NewMemberSelector(d.ControlAddresses, rng.Intn(len(d.ControlAddresses)))
	s.members.Store(&[]message.Member{})
	s.quarantine.Store(&map[string]suspicion{})
	s.service.publish(s.machine)
	go s.run(ctx)
	return s, nil
}

func (s *State) now() time.Duration { return time.Since(s.start) }

// Config returns the configuration in force, nil before the first one.
func (s *State) Config() *contract.Config { return s.config.Load() }

// Revision returns the revision in force.
func (s *State) Revision() message.Revision {
	if c := s.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// Ready tells whether a control member with a quorum confirmed a configuration
// since start.
func (s *State) Ready() bool { return s.ready.Load() }

// WaitReady waits until Ready.
func (s *State) WaitReady(ctx context.Context) error {
	select {
	case <-s.readyChan:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a confirmed configuration")
	}
}

// Done is closed when the daemon's heartbeats and fetches have ended.
func (s *State) Done() <-chan struct{} { return s.done }

// Header returns the header for an outgoing message.
func (s *State) Header() message.Header {
	return message.Header{
		Host: s.options.Settings.Daemon.Host, Incarnation: s.options.Incarnation, Revision: s.Revision(),
		PeerAddress: s.options.Settings.Daemon.PeerListen,
	}
}

// Observe takes the header of each received message, so that the daemon learns
// of a newer revision from anyone.
func (s *State) Observe(h message.Header) {
	if h.Revision <= s.Revision() || uint64(h.Revision) < s.highest.Load() {
		return
	}
	s.events.TryPush(func(now time.Duration) { s.machine.ObserveHeader(now, h) })
}

// Members returns the membership by host name. It must not be changed.
func (s *State) Members() []message.Member { return *s.members.Load() }

// Member returns one host of the membership.
func (s *State) Member(host string) (message.Member, bool) {
	members := s.Members()
	i, found := slices.BinarySearchFunc(members, host, func(m message.Member, host string) int {
		return strings.Compare(m.Host, host)
	})
	if !found {
		return message.Member{}, false
	}
	return members[i], true
}

// Quarantined returns for how long a digest is suspect of crashing backend
// servers, or held back.
func (s *State) Quarantined(digest string) (until time.Duration, suspect, held bool) {
	h, known := (*s.quarantine.Load())[digest]
	until = time.Until(h.until)
	if !known || until <= 0 {
		return 0, false, false
	}
	return until, h.suspect, !h.suspect
}

// SetLeaving tells the control group at once that this daemon shuts down.
func (s *State) SetLeaving(ctx context.Context) {
	s.leaving.Store(true)
	s.BeatNow(ctx)
}

// BeatNow sends the next heartbeat without waiting, because the state of a
// backend server changed.
func (s *State) BeatNow(ctx context.Context) {
	s.events.Push(ctx, func(now time.Duration) { s.machine.HeartbeatNow(now) })
}

// OnConfig calls f with the configuration in force and with each later one, in
// order, from one goroutine. f must not block.
func (s *State) OnConfig(ctx context.Context, f func(*contract.Config)) {
	s.events.Push(ctx, func(time.Duration) {
		s.onConfig = append(s.onConfig, f)
		if c := s.Config(); c != nil {
			f(c)
		}
	})
}

// OnMembers does the same for the membership.
func (s *State) OnMembers(ctx context.Context, f func([]message.Member)) {
	s.events.Push(ctx, func(time.Duration) {
		s.onMembers = append(s.onMembers, f)
		f(s.Members())
	})
}

// run is the only user of the machine.
func (s *State) run(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		for _, action := range s.machine.Tick(s.now()) {
			s.send(ctx, action)
		}
		// The pause keeps a machine that has something due from spinning.
		pause := max(s.machine.NextDue()-s.now(), time.Millisecond)
		wait, cancel := context.WithTimeout(ctx, pause)
		event, ok := s.events.Pop(wait)
		cancel()
		if ok {
			event(s.now())
			s.publish()
		}
	}
}

// publish makes what changed visible to the rest of the daemon.
func (s *State) publish() {
	m := s.machine
	s.highest.Store(uint64(m.HighestSeen()))
	if m.Revision() > s.Revision() {
		s.service.publish(m)
		s.config.Store(m.Config())
		s.options.Logger.Info("configuration in force", zap.Uint64("revision", uint64(m.Revision())))
		for _, f := range s.onConfig {
			f(m.Config())
		}
	}
	if m.Ready() {
		s.ready.Store(true)
		s.readyOnce.Do(func() { close(s.readyChan) })
	}
	if seen := m.MembershipSequence(); seen != s.membersSeen {
		s.membersSeen = seen
		members := m.Members()
		s.members.Store(&members)
		for _, f := range s.onMembers {
			f(members)
		}
	}
	if seen := m.QuarantineSequence(); seen != s.quarantineSeen {
		s.quarantineSeen = seen
		held := map[string]suspicion{}
		now := time.Now()
		for _, q := range m.Quarantine(s.now()) {
			held[q.Digest] = suspicion{q.Suspect, now.Add(q.For)}
		}
		s.quarantine.Store(&held)
	}
	s.logProblem(m.FetchError())
}

func (s *State) logProblem(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != s.problem && err != nil {
		s.options.Logger.Warn("configuration not put in force", zap.Error(err))
	}
	s.problem = text
}
