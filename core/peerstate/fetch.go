package peerstate

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Reasons why a fetched configuration is not put in force.
var (
	ErrNotCurrent = errors.New("the control member could not confirm that its configuration is current")
	ErrStale      = errors.New("the configuration is older than a revision that a peer showed")
	ErrDeltaGap   = errors.New("the changes do not lead to the revision")
)

// FinishFetch takes the end of a fetch and puts the configuration in force if it
// may be.
func (m *StateMachine) FinishFetch(now time.Duration, a Action, reply *message.ConfigReply, outcome Outcome) {
	m.fetching = false
	if !outcome.Failed {
		m.problem = m.accept(a, reply)
		if m.problem == nil {
			m.fetchFails, m.nextFetch = 0, now
			return
		}
	}
	if a.Kind == FetchFromPeer {
		delete(m.sources, a.Address)
	} else {
		m.fetches.Failed(a.Address)
	}
	m.nextFetch = now + m.jitter(min(maxFetchPause, fetchPause<<min(m.fetchFails, 8)))
	m.fetchFails++
}

func (m *StateMachine) accept(a Action, reply *message.ConfigReply) error {
	// The registry's revisions are committed, so even a member that is cut off
	// shows which revisions exist.
	m.highest = max(m.highest, reply.Revision)
	switch {
	case a.Kind == FetchFromControl && !reply.Current:
		return ErrNotCurrent
	case reply.Revision < m.highest && m.Revision() < m.highest:
		return ErrStale
	}
	if reply.Revision > m.Revision() {
		if err := m.install(reply); err != nil {
			m.whole = true
			return err
		}
		m.whole = false
	}
	if a.Kind == FetchFromControl {
		m.confirmed = true
	}
	return nil
}

func (m *StateMachine) install(reply *message.ConfigReply) error {
	if err := m.copied.advance(reply); err != nil {
		return err
	}
	for address, s := range m.sources {
		if s.revision <= m.Revision() {
			delete(m.sources, address)
		}
	}
	return nil
}
