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
func (s *Syncer) FinishFetch(now time.Duration, a Action, reply *message.ConfigReply, outcome Outcome) {
	s.fetchInFlight = false
	if !outcome.Failed {
		s.fetchError = s.acceptReply(a, reply)
		if s.fetchError == nil {
			s.fetchFailures, s.nextFetch = 0, now
			return
		}
	}
	if a.Kind == FetchFromPeer {
		delete(s.sources, a.Address)
	} else {
		s.fetchTargets.Failed(a.Address)
	}
	s.nextFetch = now + s.jitter(min(maxFetchBackoff, minFetchBackoff<<min(s.fetchFailures, 8)))
	s.fetchFailures++
}

// acceptReply checks a reply and applies it if its configuration is newer than
// the one in force.
func (s *Syncer) acceptReply(a Action, reply *message.ConfigReply) error {
	// Revisions in the registry are committed, so even the reply of a partitioned
	// member proves that its revision exists.
	s.highestSeen = max(s.highestSeen, reply.Revision)
	s.mergeEvacuations(reply.Evacuations)
	switch {
	case a.Kind == FetchFromControl && !reply.Current:
		return ErrNotCurrent
	case reply.Revision < s.highestSeen && s.Revision() < s.highestSeen:
		return ErrStale
	}
	if reply.Revision > s.Revision() {
		if err := s.installReply(reply); err != nil {
			s.needSnapshot = true
			return err
		}
		s.needSnapshot = false
	}
	if a.Kind == FetchFromControl {
		s.confirmed = true
	}
	return nil
}

// installReply applies a reply and deletes the sources that are no longer newer.
func (s *Syncer) installReply(reply *message.ConfigReply) error {
	if err := s.current.applyReply(reply); err != nil {
		return err
	}
	for address, src := range s.sources {
		if src.revision <= s.Revision() {
			delete(s.sources, address)
		}
	}
	return nil
}
