package peerstate

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Reasons for which a fetched configuration is rejected.
var (
	ErrNotCurrent = errors.New("the control member could not confirm that its configuration is current")
	ErrStale      = errors.New("the configuration is older than a revision already seen")
	ErrDeltaGap   = errors.New("the deltas do not lead to the revision of the reply")
)

// FinishFetch records the outcome of a fetch and applies the fetched
// configuration if it is acceptable.
func (m *StateMachine) FinishFetch(now time.Duration, a Action, reply *message.ConfigReply, outcome Outcome) {
	m.fetchInFlight = false
	if !outcome.Failed {
		m.fetchError = m.acceptReply(a, reply)
		if m.fetchError == nil {
			m.fetchFailures, m.nextFetch = 0, now
			return
		}
	}
	if a.Kind == FetchFromPeer {
		delete(m.sources, a.Address)
	} else {
		m.fetchTargets.Failed(a.Address)
	}
	m.nextFetch = now + m.jitter(min(maxFetchBackoff, minFetchBackoff<<min(m.fetchFailures, 8)))
	m.fetchFailures++
}

// acceptReply checks a reply and applies it if its configuration is newer than
// the one in force.
func (m *StateMachine) acceptReply(a Action, reply *message.ConfigReply) error {
	// Revisions in the registry are committed, so even the reply of a partitioned
	// member proves that its revision exists.
	m.highestSeen = max(m.highestSeen, reply.Revision)
	switch {
	case a.Kind == FetchFromControl && !reply.Current:
		return ErrNotCurrent
	case reply.Revision < m.highestSeen && m.Revision() < m.highestSeen:
		return ErrStale
	}
	if reply.Revision > m.Revision() {
		if err := m.installReply(reply); err != nil {
			m.needSnapshot = true
			return err
		}
		m.needSnapshot = false
	}
	if a.Kind == FetchFromControl {
		m.confirmed = true
	}
	return nil
}

// installReply applies a reply and deletes the sources that are no longer newer.
func (m *StateMachine) installReply(reply *message.ConfigReply) error {
	if err := m.current.applyReply(reply); err != nil {
		return err
	}
	for address, s := range m.sources {
		if s.revision <= m.Revision() {
			delete(m.sources, address)
		}
	}
	return nil
}
