// Package peerstate decides how a daemon keeps its copies of the configuration,
// the membership and the quarantine list up to date. It does no I/O: Tick returns
// the calls to make, and FinishHeartbeat and FinishFetch take their outcomes.
//
// Two rules prevent a rollback of the configuration. A configuration is put in
// force only if it is newer than the current one and not older than any revision
// that a peer has shown. The daemon is ready only after a control member that
// confirmed its view with a quorum has answered once since start.
package peerstate

import (
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
)

// Timing of a daemon's calls.
const (
	HeartbeatInterval = 2 * time.Second
	// HeartbeatTimeout lets a daemon try three members within host.DeadAfter.
	HeartbeatTimeout = time.Second
	// FetchTimeout leaves time to ask a second source within 11 s, the time within
	// which a change must be in force on all daemons.
	FetchTimeout    = 3 * time.Second
	minFetchBackoff = 200 * time.Millisecond
	maxFetchBackoff = 2 * time.Second
	// maxSources limits the peers kept as sources of a newer configuration.
	maxSources = 8
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	SendHeartbeat ActionKind = iota + 1
	FetchFromControl
	FetchFromPeer
)

// Action is one call to make. At most one heartbeat and one fetch are in flight.
type Action struct {
	Kind    ActionKind
	Address string
	// From is the revision after which a fetch requests changes.
	From           message.Revision
	MembershipSeen uint64
	QuarantineSeen uint64
}

// Outcome is the result of a call. The zero value means that a reply arrived.
type Outcome struct {
	Failed bool
	// NotLeader is set if the member replied that it is not the leader. Leader is
	// the address that it named, if any.
	NotLeader bool
	Leader    string
}

// StateMachine is the state of one daemon. It is not safe for concurrent use.
type StateMachine struct {
	rng               *rand.Rand
	heartbeatTargets  MemberSelector
	fetchTargets      MemberSelector
	heartbeatInFlight bool
	fetchInFlight     bool
	nextHeartbeat     time.Duration
	nextFetch         time.Duration
	heartbeatFailures int
	fetchFailures     int

	current   configCopy
	confirmed bool
	// needSnapshot is set after a failed update, so that the next fetch requests
	// the complete configuration.
	needSnapshot bool
	highestSeen  message.Revision
	sources      map[string]source
	fetchError   error

	members    membership
	quarantine quarantineList
}

// source is a peer that showed a newer revision.
type source struct {
	address  string
	revision message.Revision
}

// New returns the state of a daemon that starts now. control lists the addresses
// of the control members.
func New(control []string, rng *rand.Rand) *StateMachine {
	first := rng.Intn(max(1, len(control)))
	return &StateMachine{
		rng: rng, heartbeatTargets: NewMemberSelector(control, first), fetchTargets: NewMemberSelector(control, first),
		current: configCopy{config: &contract.Config{}, sections: registry.EncodedSections{}}, sources: map[string]source{},
		members: newMembership(), quarantine: newQuarantineList(),
	}
}

// Config returns the configuration in force. It is empty before the first one.
func (m *StateMachine) Config() *contract.Config { return m.current.config }

// Deltas returns the most recent deltas up to the revision in force. The caller
// must not modify them.
func (m *StateMachine) Deltas() []message.ConfigDelta { return m.current.deltas }

// Snapshot returns the encoded configuration in force. The encoding is not
// cached, because daemons rarely request it from a peer.
func (m *StateMachine) Snapshot() ([]byte, error) { return m.current.sections.Encode() }

// Revision returns the revision in force.
func (m *StateMachine) Revision() message.Revision { return m.current.config.Revision }

// HighestSeen returns the highest revision seen in any message.
func (m *StateMachine) HighestSeen() message.Revision { return m.highestSeen }

// Ready reports whether a control member with a quorum has confirmed the
// configuration since start.
func (m *StateMachine) Ready() bool { return m.confirmed && m.Revision() > 0 }

// FetchError returns the reason why the last fetched configuration was rejected,
// or nil.
func (m *StateMachine) FetchError() error { return m.fetchError }

// Tick returns the calls that are due.
func (m *StateMachine) Tick(now time.Duration) []Action {
	var out []Action
	if address := m.heartbeatTargets.Pick(); !m.heartbeatInFlight && now >= m.nextHeartbeat && address != "" {
		m.heartbeatInFlight = true
		out = append(out, Action{
			Kind: SendHeartbeat, Address: address, MembershipSeen: m.members.sequence, QuarantineSeen: m.quarantine.sequence,
		})
	}
	if m.fetchInFlight || now < m.nextFetch || m.confirmed && m.Revision() >= m.highestSeen {
		return out
	}
	if a := m.chooseFetch(); a.Address != "" {
		m.fetchInFlight = true
		out = append(out, a)
	}
	return out
}

// chooseFetch returns the next fetch. It asks the control group first; after a
// failure it alternates between a peer that showed a newer revision and the
// control group.
func (m *StateMachine) chooseFetch() Action {
	a := Action{Kind: FetchFromControl, Address: m.fetchTargets.Pick(), From: m.Revision()}
	if m.needSnapshot {
		a.From = 0
	}
	if m.fetchFailures%2 == 1 || a.Address == "" {
		if peer := m.bestSource(); peer != "" {
			a.Kind, a.Address = FetchFromPeer, peer
		}
	}
	return a
}

// bestSource returns the peer that showed the highest revision newer than the one
// in force, or "".
func (m *StateMachine) bestSource() string {
	best := source{}
	for _, s := range m.sources {
		if s.revision > m.Revision() && (s.revision > best.revision || s.revision == best.revision && s.address < best.address) {
			best = s
		}
	}
	return best.address
}

// NextDue returns the earliest time at which Tick may return a call. The outcome
// of a call in flight may bring it forward.
func (m *StateMachine) NextDue() time.Duration {
	next := m.nextHeartbeat
	if m.heartbeatInFlight {
		next = m.nextHeartbeat + HeartbeatInterval
	}
	if !m.fetchInFlight && m.nextFetch < next && !(m.confirmed && m.Revision() >= m.highestSeen) {
		next = m.nextFetch
	}
	return next
}

// HeartbeatNow makes the next heartbeat due at now, to report an urgent change.
func (m *StateMachine) HeartbeatNow(now time.Duration) { m.nextHeartbeat = min(m.nextHeartbeat, now) }

// ObserveHeader records the revision in the header of a received message and the
// sender as a source for it.
func (m *StateMachine) ObserveHeader(now time.Duration, h message.Header) {
	if h.Revision <= m.Revision() || h.Revision < m.highestSeen {
		return
	}
	if h.Revision > m.highestSeen {
		m.highestSeen = h.Revision
		m.nextFetch = min(m.nextFetch, now)
	}
	if h.PeerAddress == "" {
		return
	}
	if _, known := m.sources[h.PeerAddress]; !known && len(m.sources) >= maxSources && !m.evictSource(h.Revision) {
		return
	}
	m.sources[h.PeerAddress] = source{h.PeerAddress, h.Revision}
}

// evictSource deletes the source with the lowest revision, if that is less than
// below, and reports whether it deleted one.
func (m *StateMachine) evictSource(below message.Revision) bool {
	lowest := source{revision: below}
	for _, s := range m.sources {
		if s.revision < lowest.revision || s.revision == lowest.revision && lowest.address != "" && s.address < lowest.address {
			lowest = s
		}
	}
	delete(m.sources, lowest.address)
	return lowest.address != ""
}

// FinishHeartbeat records the outcome of a heartbeat and applies its reply.
func (m *StateMachine) FinishHeartbeat(now time.Duration, address string, reply *message.HeartbeatReply, outcome Outcome) {
	m.heartbeatInFlight = false
	switch {
	case outcome.NotLeader:
		m.heartbeatTargets.Redirected(address, outcome.Leader)
	case outcome.Failed:
		m.heartbeatTargets.Failed(address)
	default:
		m.members.merge(reply)
		m.quarantine.merge(now, reply)
		m.ObserveHeader(now, message.Header{Revision: max(reply.Revision, reply.Header.Revision)})
		if reply.Current {
			m.heartbeatTargets.Succeeded(address)
			m.fetchTargets.Succeeded(address)
			m.heartbeatFailures = 0
			m.nextHeartbeat = now + m.jitter(HeartbeatInterval)
			return
		}
		// The member may have lost its leadership without noticing it yet.
		m.heartbeatTargets.Failed(address)
	}
	// All members are tried in a row before the next pause. Following a leader hint
	// counts as an attempt.
	m.heartbeatFailures++
	if m.heartbeatFailures > m.heartbeatTargets.Len() {
		m.heartbeatFailures = 0
		m.nextHeartbeat = now + m.jitter(HeartbeatInterval)
	}
}

// jitter randomizes d by 5 % in each direction, to spread the calls of many
// daemons over time.
func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(m.rng.Int63n(int64(d/10)))
}

// Members returns the membership sorted by host.
func (m *StateMachine) Members() []message.Member { return m.members.list() }

// MembershipSequence returns the sequence number of the membership. It changes
// whenever the membership does.
func (m *StateMachine) MembershipSequence() uint64 { return m.members.sequence }

// QuarantineSequence returns the sequence number of the quarantine list. It
// changes whenever the list does.
func (m *StateMachine) QuarantineSequence() uint64 { return m.quarantine.sequence }

// Quarantine returns the digests that are quarantined or suspect at now.
func (m *StateMachine) Quarantine(now time.Duration) []message.Quarantine {
	return m.quarantine.list(now)
}
