// Package peer connects a daemon to the control group. It sends heartbeats and
// keeps copies of the configuration, the membership, the quarantine list and the
// evacuated failure domains. core/peerstate decides which calls to make; this package
// makes them and publishes the results to the rest of the daemon.
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

// maxEvents limits the events queued for the loop. Observed headers beyond the
// limit are dropped, because the next message carries the revision again.
const maxEvents = 256

// Options configures Start.
type Options struct {
	Settings    settings.Settings
	Pool        *wire.Pool
	Incarnation message.Incarnation
	Logger      *zap.Logger
	// AgentAddress and LinkAddress are the addresses at which other daemons reach
	// the agent.
	AgentAddress string
	LinkAddress  string
	// Statuses returns the state of the daemon's backend servers. It may be nil.
	Statuses func() []message.BackendServerStatus
	// Metrics registers the counters and gauges. It may be nil.
	Metrics *observe.Metrics
}

// State is a daemon's copy of the configuration, the membership, the quarantine list
// and the evacuated failure domains. Its methods are safe for concurrent use.
type State struct {
	options Options
	start   time.Time
	events  *ring.Queue[func(now time.Duration)]
	syncer  *peerstate.Syncer // accessed by the loop only
	done    chan struct{}
	service Service
	control controlClient
	metrics stateMetrics

	config     atomic.Pointer[contract.Config]
	members    atomic.Pointer[[]message.Member]
	quarantine atomic.Pointer[map[string]quarantineEntry]
	// evacuations is replaced before config and members, so that a reader of these
	// finds the evacuations that were sent with them.
	evacuations atomic.Pointer[message.EvacuationSet]
	// highestSeen is the highest revision seen in any message.
	highestSeen atomic.Uint64
	// confirmedAt is the time since start, in nanoseconds, at which a leader with a
	// quorum last replied to a heartbeat.
	confirmedAt atomic.Int64
	ready       atomic.Bool
	leaving     atomic.Bool

	// Accessed by the loop only.
	membershipSequence uint64
	quarantineSequence uint64
	onConfig           []func(*contract.Config)
	onMembers          []func([]message.Member)
	onEvacuations      []func(message.EvacuationSet)
	lastFetchError     string

	readyOnce sync.Once
	readyCh   chan struct{}
}

// quarantineEntry is the state of a digest. An entry that is not suspect is
// quarantined.
type quarantineEntry struct {
	suspect   bool
	expiresAt time.Time
}

// Start starts sending heartbeats and fetching configurations until ctx ends. It
// does not wait for a configuration.
func Start(ctx context.Context, o Options) (*State, error) {
	d := o.Settings.Daemon
	if d.Host == "" || o.Pool == nil || len(d.ControlAddresses) == 0 {
		return nil, errors.New("a daemon needs a host name, control addresses and a pool")
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	// The seed differs between daemons, so that their calls do not synchronize.
	rng := rand.New(rand.NewSource(time.Now().UnixNano() ^ int64(o.Incarnation)))
	s := &State{
		options: o, start: time.Now(), events: ring.New[func(time.Duration)](maxEvents),
		syncer: peerstate.New(d.ControlAddresses, rng), done: make(chan struct{}), readyCh: make(chan struct{}),
	}
	s.service.state = s
	s.metrics = newStateMetrics(o.Metrics, s)
	s.control.selector = peerstate.NewMemberSelector(d.ControlAddresses, rng.Intn(len(d.ControlAddresses)))
	s.members.Store(&[]message.Member{})
	s.quarantine.Store(&map[string]quarantineEntry{})
	s.evacuations.Store(&message.EvacuationSet{})
	s.service.publish(s.syncer)
	go s.run(ctx)
	return s, nil
}

func (s *State) now() time.Duration { return time.Since(s.start) }

// Config returns the configuration in force, or nil before the first one.
func (s *State) Config() *contract.Config { return s.config.Load() }

// Revision returns the revision in force, or 0 before the first one.
func (s *State) Revision() message.Revision {
	if c := s.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// Ready reports whether a control member with a quorum has confirmed a
// configuration since start.
func (s *State) Ready() bool { return s.ready.Load() }

// WaitReady waits until Ready reports true or ctx ends.
func (s *State) WaitReady(ctx context.Context) error {
	select {
	case <-s.readyCh:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a confirmed configuration")
	}
}

// Done returns a channel that is closed when the loop that sends heartbeats and
// fetches has ended.
func (s *State) Done() <-chan struct{} { return s.done }

// Header returns the header for an outgoing message.
func (s *State) Header() message.Header {
	return message.Header{
		Host: s.options.Settings.Daemon.Host, Incarnation: s.options.Incarnation, Revision: s.Revision(),
		PeerAddress: s.options.Settings.Daemon.PeerListen,
	}
}

// Observe records the header of a received message. It must be called for each
// message, so that the daemon learns of a newer revision from any peer.
func (s *State) Observe(h message.Header) {
	if h.Revision <= s.Revision() || uint64(h.Revision) < s.highestSeen.Load() {
		return
	}
	s.events.TryPush(func(now time.Duration) { s.syncer.ObserveHeader(now, h) })
}

// Members returns the membership sorted by host name. The caller must not modify
// it.
func (s *State) Members() []message.Member { return *s.members.Load() }

// Member returns the member with the given host name.
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

// Quarantined reports whether a request digest is suspected of crashing backend
// servers or is quarantined, and for how much longer.
func (s *State) Quarantined(digest string) (remaining time.Duration, suspect, quarantined bool) {
	entry, known := (*s.quarantine.Load())[digest]
	remaining = time.Until(entry.expiresAt)
	if !known || remaining <= 0 {
		return 0, false, false
	}
	return remaining, entry.suspect, !entry.suspect
}

// SetLeaving announces to the control group, without waiting for the next
// heartbeat, that this daemon is shutting down.
func (s *State) SetLeaving(ctx context.Context) {
	s.leaving.Store(true)
	s.HeartbeatNow(ctx)
}

// HeartbeatNow sends the next heartbeat without waiting for its interval. It is
// called after the state of a backend server changed.
func (s *State) HeartbeatNow(ctx context.Context) {
	s.events.Push(ctx, func(now time.Duration) { s.syncer.HeartbeatNow(now) })
}

// OnConfig registers f to be called with the configuration in force and with
// each later one, in order and from one goroutine. f must not block.
func (s *State) OnConfig(ctx context.Context, f func(*contract.Config)) {
	s.events.Push(ctx, func(time.Duration) {
		s.onConfig = append(s.onConfig, f)
		if c := s.Config(); c != nil {
			f(c)
		}
	})
}

// OnMembers registers f to be called with the membership and after each change
// of it, in order and from one goroutine. f must not block.
func (s *State) OnMembers(ctx context.Context, f func([]message.Member)) {
	s.events.Push(ctx, func(time.Duration) {
		s.onMembers = append(s.onMembers, f)
		f(s.Members())
	})
}

// run is the loop that makes the due calls and processes events. Only its
// goroutine accesses the syncer.
func (s *State) run(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		for _, action := range s.syncer.Tick(s.now()) {
			s.startCall(ctx, action)
		}
		// The minimum timeout prevents a busy loop while a call is already due.
		timeout := max(s.syncer.NextDue()-s.now(), time.Millisecond)
		popCtx, cancel := context.WithTimeout(ctx, timeout)
		event, ok := s.events.Pop(popCtx)
		cancel()
		if ok {
			event(s.now())
			s.publish()
		}
	}
}

// publish makes changes of the syncer visible to the rest of the daemon.
func (s *State) publish() {
	m := s.syncer
	s.highestSeen.Store(uint64(m.HighestSeen()))
	s.publishEvacuations(m.Evacuations())
	if m.Revision() > s.Revision() {
		s.service.publish(m)
		s.config.Store(m.Config())
		s.options.Logger.Info("configuration put in force", zap.Uint64("revision", uint64(m.Revision())))
		for _, f := range s.onConfig {
			f(m.Config())
		}
	}
	if m.Ready() {
		s.ready.Store(true)
		s.readyOnce.Do(func() { close(s.readyCh) })
	}
	if sequence := m.MembershipSequence(); sequence != s.membershipSequence {
		s.membershipSequence = sequence
		members := m.Members()
		s.members.Store(&members)
		for _, f := range s.onMembers {
			f(members)
		}
	}
	if sequence := m.QuarantineSequence(); sequence != s.quarantineSequence {
		s.quarantineSequence = sequence
		entries := map[string]quarantineEntry{}
		now := time.Now()
		for _, q := range m.Quarantine(s.now()) {
			entries[q.Digest] = quarantineEntry{q.Suspect, now.Add(q.For)}
		}
		s.quarantine.Store(&entries)
	}
	s.logFetchError(m.FetchError())
}

// logFetchError logs an error if it differs from the previous one.
func (s *State) logFetchError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != s.lastFetchError && err != nil {
		s.options.Logger.Warn("fetched configuration rejected", zap.Error(err))
	}
	s.lastFetchError = text
}
