// Package roster decides on automatic membership changes of the control group:
// the initial members, which voter is demoted and which member is removed. It
// does no I/O.
package roster

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
)

const (
	// silentTimeout is the time without a reply after which a member no longer
	// counts as running. It is longer than a process restart and shorter than the
	// 4 s within which a replacement host must restore the group's tolerance of a
	// further loss.
	silentTimeout = 2 * time.Second
	// removalTimeout is the time without a reply after which a learner is removed.
	// A removed member that comes back has to join again.
	removalTimeout = 20 * time.Second
)

// minVotersAcrossDomains is the smallest number of voters that tolerates the loss
// of a failure domain.
const minVotersAcrossDomains = 3

// MinVoters returns the number of voters that a group needs to tolerate the
// simultaneous loss of the given number of hosts or failure domains.
func MinVoters(losses, domains int) int {
	if domains > 0 {
		return max(2*losses+1, minVotersAcrossDomains)
	}
	return 2*losses + 1
}

// InitialMembers returns the first members of a group, with ids in the order of
// the sorted seed addresses. All hosts must be given the same spelling of the
// addresses at the first start.
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

// Member is a member with what the leader knows about its availability.
type Member struct {
	consensus.Member
	// Silent is the time since its last reply, 0 for the leader.
	Silent time.Duration
}

// Group is the leader's view of the control group, on which membership decisions
// are based.
//
// A lost voter still counts towards the size of a majority, so the group
// tolerates fewer losses with it than without it. This holds whether a successor
// joined before or after the loss, and whichever leader observed it.
type Group struct {
	Members []Member
	// MinVoters is the number of voters below which the group does not shrink,
	// because it would no longer tolerate the losses that it has to tolerate.
	MinVoters int
	// MaxVoters bounds the voters, MaxMembers all members. A running learner is
	// promoted as soon as there are fewer than MaxVoters voters.
	MaxVoters, MaxMembers int
}

// VoterToDemote returns the unresponsive voter to demote to a learner, 0 if there
// is none.
func (g Group) VoterToDemote() consensus.MemberID {
	if !g.canLoseVoter() {
		return 0
	}
	return g.longestSilent(silentTimeout, false)
}

// LearnerToRemove returns the unresponsive learner to remove, 0 if there is none.
func (g Group) LearnerToRemove() consensus.MemberID {
	timeout := removalTimeout
	if len(g.Members) >= g.MaxMembers {
		// In a full group no host can join until a member is removed.
		timeout = silentTimeout
	}
	return g.longestSilent(timeout, true)
}

// longestSilent returns the voter or learner with the longest time since its last
// reply, 0 if that time is below the timeout for all of them.
func (g Group) longestSilent(timeout time.Duration, learner bool) consensus.MemberID {
	id, longest := consensus.MemberID(0), time.Duration(0)
	for _, m := range g.Members {
		if m.Learner == learner && m.Silent >= timeout && m.Silent > longest {
			id, longest = m.ID, m.Silent
		}
	}
	return id
}

// canLoseVoter reports whether the group has enough voters, or learners that take
// over the vote, after one voter is demoted or removed.
func (g Group) canLoseVoter() bool {
	voters, successors := g.count()
	if voters < g.MaxVoters {
		// A learner that is not promoted although there is room has not caught up.
		successors = 0
	}
	return voters-1+successors >= g.MinVoters
}

// count returns the number of voters and the number of running learners.
func (g Group) count() (voters, learners int) {
	for _, m := range g.Members {
		switch {
		case !m.Learner:
			voters++
		case m.Silent < silentTimeout:
			learners++
		}
	}
	return voters, learners
}

// Departure is the decision about the membership of a member whose process has
// been told to stop.
type Departure int

// Departures of a member.
const (
	// KeepMembership lets the member stop without a membership change: too few
	// voters would remain, and it is expected to restart with its disk.
	KeepMembership Departure = iota
	// WaitForSuccessor makes the member ask again later: a learner that can take
	// over its vote is catching up.
	WaitForSuccessor
	// LeaveGroup removes the member from the group before it stops.
	LeaveGroup
)

// DepartureOf decides about a member that has been told to stop and still runs.
// The stop signal does not tell whether the process will be restarted.
func (g Group) DepartureOf(id consensus.MemberID) Departure {
	for _, m := range g.Members {
		if m.ID != id {
			continue
		}
		if _, learners := g.count(); m.Learner {
			// A stopped learner does not affect the quorum.
			return KeepMembership
		} else if g.canLoseVoter() {
			return LeaveGroup
		} else if learners > 0 {
			return WaitForSuccessor
		}
		return KeepMembership
	}
	// The member was removed by an earlier request.
	return LeaveGroup
}
