// Package peerstate decides how a daemon keeps its copies of the configuration,
// the membership and the quarantine list. It sends nothing itself: Tick and the
// other methods return what to send.
//
// Two rules keep a revision from going back. A configuration is put in force
// only if it is newer than the present one and not older than any revision
// that a peer showed. And the daemon is ready only after a control member that
// confirmed its view with a quorum has answered once since start.
package peerstate

import (
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
)

// Times of a daemon's calls.
const (
	HeartbeatInterval = 2 * time.Second
	// HeartbeatTimeout lets a daemon try three members within DeadAfter.
	HeartbeatTimeout = time.Second
	// FetchTimeout leaves time for a second source within the 11 s in which a
	// change has to be in force everywhere.
	FetchTimeout  = 3 * time.Second
	fetchPause    = 200 * time.Millisecond
	maxFetchPause = 2 * time.Second
	// maxSources bounds the peers kept as sources of a configuration.
	maxSources = 8
)

// ActionKind tells what to send.
type ActionKind uint8

// Kinds of actions.
const (
	SendHeartbeat ActionKind = iota + 1
	FetchFromControl
	FetchFromPeer
)

// Action is one call to make. At most one heartbeat and one fetch are under way.
type Action struct {
	Kind    ActionKind
	Address string
	// From is the revision that a fetch starts from.
	From           message.Revision
	MembershipSeen uint64
	QuarantineSeen uint64
}

// Outcome tells how a call ended. The zero value is an answer.
type Outcome struct {
	Failed bool
	// NotLeader is set when a member named the leader, or none, instead.
	NotLeader bool
	Leader    string
}

// StateMachine is the state of one daemon.
type StateMachine struct {
	rng        *rand.Rand
	beats      MemberSelector
	fetches    MemberSelector
	beating    bool
	fetching   bool
	nextBeat   time.Duration
	nextFetch  time.Duration
	beatFails  int
	fetchFails int

	copied    image
	confirmed bool
	// whole asks for a snapshot after deltas that did not fit.
	whole   bool
	highest message.Revision
	sources map[string]source
	problem error

	members    membership
	quarantine quarantineList
}

// source is a peer that showed a revision.
type source struct {
	address  string
	revision message.Revision
}

// New returns the state of a daemon that has just started.
func New(control []string, rng *rand.Rand) *StateMachine {
	first := rng.Intn(max(1, len(control)))
	return &StateMachine{
		rng: rng, beats: NewMemberSelector(control, first), fetches: NewMemberSelector(control, first),
		copied: image{config: &contract.Config{}, sections: registry.Encoded{}}, sources: map[string]source{},
		members: newMembership(), quarantine: newQuarantineList(),
	}
}

// Config returns the configuration in force, empty before the first one.
func (m *StateMachine) Config() *contract.Config { return m.copied.config }

// Deltas returns the last changes up to the revision in force, which must not
// be changed.
func (m *StateMachine) Deltas() []message.ConfigDelta { return m.copied.deltas }

// Snapshot returns the whole configuration for another daemon. It is encoded
// anew each time, because few daemons ever ask a peer for it.
func (m *StateMachine) Snapshot() ([]byte, error) { return m.copied.sections.Encode() }

// Revision returns the revision in force.
func (m *StateMachine) Revision() message.Revision { return m.copied.config.Revision }

// HighestSeen returns the highest revision that anyone showed.
func (m *StateMachine) HighestSeen() message.Revision { return m.highest }

// Ready tells whether a control member with a quorum confirmed a configuration
// since start.
func (m *StateMachine) Ready() bool { return m.confirmed && m.Revision() > 0 }

// FetchError returns why the last fetched configuration was not put in force.
func (m *StateMachine) FetchError() error { return m.problem }

// Tick returns the calls that are due.
func (m *StateMachine) Tick(now time.Duration) []Action {
	var out []Action
	if address := m.beats.Pick(); !m.beating && now >= m.nextBeat && address != "" {
		m.beating = true
		out = append(out, Action{
			Kind: SendHeartbeat, Address: address, MembershipSeen: m.members.sequence, QuarantineSeen: m.quarantine.sequence,
		})
	}
	if m.fetching || now < m.nextFetch || m.confirmed && m.Revision() >= m.highest {
		return out
	}
	if a := m.fetch(); a.Address != "" {
		m.fetching = true
		out = append(out, a)
	}
	return out
}

// fetch chooses the next source. The control group comes first; after a
// failure the peers that showed a newer revision take turns with it.
func (m *StateMachine) fetch() Action {
	a := Action{Kind: FetchFromControl, Address: m.fetches.Pick(), From: m.Revision()}
	if m.whole {
		a.From = 0
	}
	if m.fetchFails%2 == 1 || a.Address == "" {
		if peer := m.bestSource(); peer != "" {
			a.Kind, a.Address = FetchFromPeer, peer
		}
	}
	return a
}

func (m *StateMachine) bestSource() string {
	best := source{}
	for _, s := range m.sources {
		if s.revision > m.Revision() && (s.revision > best.revision || s.revision == best.revision && s.address < best.address) {
			best = s
		}
	}
	return best.address
}

// NextDue returns when Tick has something to do at the earliest. An answer that is
// under way may make it earlier.
func (m *StateMachine) NextDue() time.Duration {
	next := m.nextBeat
	if m.beating {
		next = m.nextBeat + HeartbeatInterval
	}
	if !m.fetching && m.nextFetch < next && !(m.confirmed && m.Revision() >= m.highest) {
		next = m.nextFetch
	}
	return next
}

// HeartbeatNow makes the next heartbeat due, for a change that can not wait.
func (m *StateMachine) HeartbeatNow(now time.Duration) { m.nextBeat = min(m.nextBeat, now) }

// ObserveHeader takes the header of any received message.
func (m *StateMachine) ObserveHeader(now time.Duration, h message.Header) {
	if h.Revision <= m.Revision() || h.Revision < m.highest {
		return
	}
	if h.Revision > m.highest {
		m.highest = h.Revision
		m.nextFetch = min(m.nextFetch, now)
	}
	if h.PeerAddress == "" {
		return
	}
	if _, known := m.sources[h.PeerAddress]; !known && len(m.sources) >= maxSources && !m.dropSource(h.Revision) {
		return
	}
	m.sources[h.PeerAddress] = source{h.PeerAddress, h.Revision}
}

// dropSource forgets a source that showed a lower revision.
func (m *StateMachine) dropSource(than message.Revision) bool {
	lowest := source{revision: than}
	for _, s := range m.sources {
		if s.revision < lowest.revision || s.revision == lowest.revision && lowest.address != "" && s.address < lowest.address {
			lowest = s
		}
	}
	delete(m.sources, lowest.address)
	return lowest.address != ""
}

// FinishHeartbeat takes the end of a heartbeat.
func (m *StateMachine) FinishHeartbeat(now time.Duration, address string, reply *message.HeartbeatReply, outcome Outcome) {
	m.beating = false
	switch {
	case outcome.NotLeader:
		m.beats.Redirected(address, outcome.Leader)
	case outcome.Failed:
		m.beats.Failed(address)
	default:
		m.members.merge(reply)
		m.quarantine.merge(now, reply)
		m.ObserveHeader(now, message.Header{Revision: max(reply.Revision, reply.Header.Revision)})
		if reply.Current {
			m.beats.Succeeded(address)
			m.fetches.Succeeded(address)
			m.beatFails = 0
			m.nextBeat = now + m.jitter(HeartbeatInterval)
			return
		}
		// The member may lead no more without knowing it.
		m.beats.Failed(address)
	}
	// All members are tried at once before the next pause. A hint costs a try.
	m.beatFails++
	if m.beatFails > m.beats.Len() {
		m.beatFails = 0
		m.nextBeat = now + m.jitter(HeartbeatInterval)
	}
}

// jitter spreads calls of many daemons by a tenth.
func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(m.rng.Int63n(int64(d/10)))
}

// Members returns the membership in no order.
func (m *StateMachine) Members() []message.Member { return m.members.list() }

// MembershipSequence changes with the membership.
func (m *StateMachine) MembershipSequence() uint64 { return m.members.sequence }

// QuarantineSequence changes with the quarantine list.
func (m *StateMachine) QuarantineSequence() uint64 { return m.quarantine.sequence }

// Quarantine returns the digests that are held back or suspect.
func (m *StateMachine) Quarantine(now time.Duration) []message.Quarantine {
	return m.quarantine.list(now)
}
