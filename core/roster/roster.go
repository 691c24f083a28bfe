// Package roster decides how the control group changes its members without an
// operator: who starts the group, who loses its vote, and who is removed. It has
// no I/O.
package roster

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
)

const (
	// silentAfter is the silence from which a member does not count as running:
	// longer than a restart of its process, shorter than the 4 s in which a host
	// that replaces a lost one must let the group bear the next loss.
	silentAfter = 2 * time.Second
	// forgottenAfter is the silence from which a member without a vote is
	// removed. It has to join anew when it returns after all.
	forgottenAfter = 20 * time.Second
)

// votersAcrossDomains is the least number of voters that bears the loss of a
// failure domain.
const votersAcrossDomains = 3

// MinVoters returns the number of voters that bears the loss of some hosts, or
// of some failure domains, at once.
func MinVoters(losses, domains int) int {
	if domains > 0 {
		return max(2*losses+1, votersAcrossDomains)
	}
	return 2*losses + 1
}

// InitialMembers returns the first members of a group for its seed addresses, which
// all hosts know in the same form at the first start.
func InitialMembers(seeds []string) map[consensus.MemberID]string {
	sorted := append([]string(nil), seeds...)
	sort.Strings(sorted)
	members := map[consensus.MemberID]string{}
	for _, address := range sorted {
		if len(members) == 0 || members[consensus.MemberID(len(members))] != address {
			members[consensus.MemberID(len(members)+1)] = address
		}
	}
	return members
}

// Member is one member as the leader sees it.
type Member struct {
	consensus.Member
	// Silent is how long ago it last answered, 0 for the leader.
	Silent time.Duration
}

// Group is what the leader knows when it decides.
//
// A voter that is gone raises the number of votes that a majority needs, so the
// group bears fewer losses with it than without it. It does not matter for that
// whether a successor joined before or after it went, or which leader saw it.
type Group struct {
	Members []Member
	// MinVoters is the number of voters below which the group does not shrink,
	// because it could not bear the losses any more that it is meant to bear.
	MinVoters int
	// MaxVoters bounds the voters, MaxMembers all members. A learner that runs
	// votes as soon as there is a place for it.
	MaxVoters, MaxMembers int
}

// VoterToDemote returns the voter that loses its vote because it is silent, 0 when
// there is none.
func (g Group) VoterToDemote() consensus.MemberID {
	if !g.hasVoteToSpare() {
		return 0
	}
	return g.mostSilent(silentAfter, false)
}

// LearnerToRemove returns the silent learner to remove, 0 when there is none.
func (g Group) LearnerToRemove() consensus.MemberID {
	after := forgottenAfter
	if len(g.Members) >= g.MaxMembers {
		// A host that wants to join needs the place.
		after = silentAfter
	}
	return g.mostSilent(after, true)
}

// mostSilent returns the member that has been silent for longest, among those
// that have been for a time.
func (g Group) mostSilent(after time.Duration, learner bool) consensus.MemberID {
	id, longest := consensus.MemberID(0), time.Duration(0)
	for _, m := range g.Members {
		if m.Learner == learner && m.Silent >= after && m.Silent > longest {
			id, longest = m.ID, m.Silent
		}
	}
	return id
}

// hasVoteToSpare tells whether enough members vote when one voter no longer does.
func (g Group) hasVoteToSpare() bool {
	voters, waiting := g.count()
	if voters < g.MaxVoters {
		// A learner that does not vote yet although there is a place is behind.
		waiting = 0
	}
	return voters-1+waiting >= g.MinVoters
}

// count returns the voters and the learners that run.
func (g Group) count() (voters, learners int) {
	for _, m := range g.Members {
		switch {
		case !m.Learner:
			voters++
		case m.Silent < silentAfter:
			learners++
		}
	}
	return voters, learners
}

// Departure is what a member does that was told to stop.
type Departure int

// Departures of a member.
const (
	// KeepMembership keeps the membership: too few vote without this member, and it is
	// expected to start again with its disk.
	KeepMembership Departure = iota
	// WaitForSuccessor asks again: a learner that may take its place is catching up.
	WaitForSuccessor
	// LeaveGroup removes the member before it stops.
	LeaveGroup
)

// DepartureOf decides about a member that was told to stop and still runs. The
// signal does not tell whether it starts again.
func (g Group) DepartureOf(id consensus.MemberID) Departure {
	for _, m := range g.Members {
		if m.ID != id {
			continue
		}
		if _, learners := g.count(); m.Learner {
			// Without a vote it harms nobody by its absence.
			return KeepMembership
		} else if g.hasVoteToSpare() {
			return LeaveGroup
		} else if learners > 0 {
			return WaitForSuccessor
		}
		return KeepMembership
	}
	// An earlier request removed it.
	return LeaveGroup
}
