// Package peerstate decides how a daemon keeps its copies of the configuration,
// the membership, the quarantine list and the evacuated failure domains up to date.
// It does no I/O: Tick returns the calls to make, and FinishHeartbeat and FinishFetch
// take their outcomes.
//
// Two rules prevent a rollback of the configuration. A configuration is put in
// force only if it is newer than the current one and not older than any revision
// that a peer has shown. The daemon is ready only after a control member that
// confirmed its view with a quorum has replied once since start.
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
	From            message.Revision
	MembershipSeen  uint64
	QuarantineSeen  uint64
	EvacuationsSeen uint64
}

// Outcome is the result of a call. The zero value means that a reply arrived.
type Outcome struct {
	Failed bool
	// NotLeader is set if the member replied that it is not the leader. Leader is
	// the address that it named, if any.
	NotLeader bool
	Leader    string
}

// Syncer keeps the copies of one daemon up to date. It is not safe for concurrent
// use.
type Syncer struct {
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

	members     membership
	quarantine  quarantineList
	evacuations message.EvacuationSet
}

// source is a peer that showed a newer revision.
type source struct {
	address  string
	revision message.Revision
}

// New returns the Syncer of a daemon that starts now. control lists the addresses
// of the control members.
func New(control []string, rng *rand.Rand) *Syncer {
	first := rng.Intn(max(1, len(control)))
	return &Syncer{
		rng: rng, heartbeatTargets: NewMemberSelector(control, first), fetchTargets: NewMemberSelector(control, first),
		current: configCopy{config: &contract.Config{}, sections: registry.EncodedSections{}}, sources: map[string]source{},
		members: newMembership(), quarantine: newQuarantineList(),
	}
}

// Config returns the configuration in force. It is empty before the first one.
func (s *Syncer) Config() *contract.Config { return s.current.config }

// Deltas returns the most recent deltas up to the revision in force. The caller
// must not modify them.
func (s *Syncer) Deltas() []message.ConfigDelta { return s.current.deltas }

// Snapshot returns the encoded configuration in force. The encoding is not
// cached, because daemons rarely request it from a peer.
func (s *Syncer) Snapshot() ([]byte, error) { return s.current.sections.Encode() }

// Revision returns the revision in force.
func (s *Syncer) Revision() message.Revision { return s.current.config.Revision }

// HighestSeen returns the highest revision seen in any message.
func (s *Syncer) HighestSeen() message.Revision { return s.highestSeen }

// Ready reports whether a control member with a quorum has confirmed the
// configuration since start.
func (s *Syncer) Ready() bool { return s.confirmed && s.Revision() > 0 }

// FetchError returns the reason why the last fetched configuration was rejected,
// or nil.
func (s *Syncer) FetchError() error { return s.fetchError }

// Tick returns the calls that are due.
func (s *Syncer) Tick(now time.Duration) []Action {
	var out []Action
	if address := s.heartbeatTargets.Pick(); !s.heartbeatInFlight && now >= s.nextHeartbeat && address != "" {
		s.heartbeatInFlight = true
		out = append(out, Action{
			Kind: SendHeartbeat, Address: address, MembershipSeen: s.members.sequence,
			QuarantineSeen: s.quarantine.sequence, EvacuationsSeen: s.evacuations.Revision,
		})
	}
	if s.fetchInFlight || now < s.nextFetch || s.confirmed && s.Revision() >= s.highestSeen {
		return out
	}
	if a := s.chooseFetch(); a.Address != "" {
		s.fetchInFlight = true
		out = append(out, a)
	}
	return out
}

// chooseFetch returns the next fetch. It asks the control group first; after a
// failure it alternates between a peer that showed a newer revision and the
// control group.
func (s *Syncer) chooseFetch() Action {
	a := Action{Kind: FetchFromControl, Address: s.fetchTargets.Pick(), From: s.Revision()}
	if s.needSnapshot {
		a.From = 0
	}
	if s.fetchFailures%2 == 1 || a.Address == "" {
		if peer := s.bestSource(); peer != "" {
			a.Kind, a.Address = FetchFromPeer, peer
		}
	}
	return a
}

// bestSource returns the peer that showed the highest revision newer than the one
// in force, or "".
func (s *Syncer) bestSource() string {
	best := source{}
	for _, src := range s.sources {
		if src.revision > s.Revision() &&
			(src.revision > best.revision || src.revision == best.revision && src.address < best.address) {
			best = src
		}
	}
	return best.address
}

// NextDue returns the earliest time at which Tick may return a call. The outcome
// of a call in flight may bring it forward.
func (s *Syncer) NextDue() time.Duration {
	next := s.nextHeartbeat
	if s.heartbeatInFlight {
		next = s.nextHeartbeat + HeartbeatInterval
	}
	if !s.fetchInFlight && s.nextFetch < next && !(s.confirmed && s.Revision() >= s.highestSeen) {
		next = s.nextFetch
	}
	return next
}

// HeartbeatNow makes the next heartbeat due at now, to report an urgent change.
func (s *Syncer) HeartbeatNow(now time.Duration) { s.nextHeartbeat = min(s.nextHeartbeat, now) }

// ObserveHeader records the revision in the header of a received message and the
// sender as a source for it.
func (s *Syncer) ObserveHeader(now time.Duration, h message.Header) {
	if h.Revision <= s.Revision() || h.Revision < s.highestSeen {
		return
	}
	if h.Revision > s.highestSeen {
		s.highestSeen = h.Revision
		s.nextFetch = min(s.nextFetch, now)
	}
	if h.PeerAddress == "" {
		return
	}
	if _, known := s.sources[h.PeerAddress]; !known && len(s.sources) >= maxSources && !s.evictSource(h.Revision) {
		return
	}
	s.sources[h.PeerAddress] = source{h.PeerAddress, h.Revision}
}

// evictSource deletes the source with the lowest revision, if that is less than
// below, and reports whether it deleted one.
func (s *Syncer) evictSource(below message.Revision) bool {
	lowest := source{revision: below}
	for _, src := range s.sources {
		if src.revision < lowest.revision ||
			src.revision == lowest.revision && lowest.address != "" && src.address < lowest.address {
			lowest = src
		}
	}
	delete(s.sources, lowest.address)
	return lowest.address != ""
}

// FinishHeartbeat records the outcome of a heartbeat and applies its reply.
func (s *Syncer) FinishHeartbeat(now time.Duration, address string, reply *message.HeartbeatReply, outcome Outcome) {
	s.heartbeatInFlight = false
	switch {
	case outcome.NotLeader:
		s.heartbeatTargets.Redirected(address, outcome.Leader)
	case outcome.Failed:
		s.heartbeatTargets.Failed(address)
	default:
		s.members.merge(reply)
		s.quarantine.merge(now, reply)
		s.mergeEvacuations(reply.Evacuations)
		s.ObserveHeader(now, message.Header{Revision: max(reply.Revision, reply.Header.Revision)})
		if reply.Current {
			s.heartbeatTargets.Succeeded(address)
			s.fetchTargets.Succeeded(address)
			s.heartbeatFailures = 0
			s.nextHeartbeat = now + s.jitter(HeartbeatInterval)
			return
		}
		// The member may have lost its leadership without noticing it yet.
		s.heartbeatTargets.Failed(address)
	}
	// All members are tried in a row before the next pause. Following a leader hint
	// counts as an attempt.
	s.heartbeatFailures++
	if s.heartbeatFailures > s.heartbeatTargets.Len() {
		s.heartbeatFailures = 0
		s.nextHeartbeat = now + s.jitter(HeartbeatInterval)
	}
}

// jitter randomizes d by 5 % in each direction, to spread the calls of many
// daemons over time.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(s.rng.Int63n(int64(d/10)))
}

// Members returns the membership sorted by host.
func (s *Syncer) Members() []message.Member { return s.members.list() }

// MembershipSequence returns the sequence number of the membership. It changes
// whenever the membership does.
func (s *Syncer) MembershipSequence() uint64 { return s.members.sequence }

// QuarantineSequence returns the sequence number of the quarantine list. It
// changes whenever the list does.
func (s *Syncer) QuarantineSequence() uint64 { return s.quarantine.sequence }

// Quarantine returns the digests that are quarantined or suspect at now.
func (s *Syncer) Quarantine(now time.Duration) []message.Quarantine {
	return s.quarantine.list(now)
}

// mergeEvacuations replaces the set of evacuated failure domains by a newer one. Each
// revision is committed, so a newer set of a member without a quorum counts as well.
func (s *Syncer) mergeEvacuations(set *message.EvacuationSet) {
	if set != nil && set.Revision > s.evacuations.Revision {
		s.evacuations = *set
	}
}

// Evacuations returns the newest known set of evacuated failure domains. The caller
// must not modify it.
func (s *Syncer) Evacuations() message.EvacuationSet { return s.evacuations }
