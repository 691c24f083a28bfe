// Package roster decides how the control group changes its members without an
// operator: who starts the group, and which lost member is removed. It has no
// I/O.
package roster

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
)

// Times after which a silent member is removed.
const (
	// replacedAfter applies to a member in whose place another one joined. It is
	// longer than a restart or a freeze of a few seconds.
	replacedAfter = 4 * time.Second
	// abandonedAfter applies to a member that nobody replaced.
	abandonedAfter = 20 * time.Second
)

// Initial returns the first members of a group for its seed addresses, which
// all hosts know in the same form at the first start.
func Initial(seeds []string) map[consensus.MemberID]string {
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

// Keeper is the leader's memory of its members. It is not safe for concurrent
// use.
type Keeper struct {
	began  time.Duration
	heard  map[string]time.Duration
	joined map[consensus.MemberID]time.Duration
}

// NewKeeper returns the Keeper of a leadership that began now.
func NewKeeper(now time.Duration) *Keeper {
	return &Keeper{began: now, heard: map[string]time.Duration{}, joined: map[consensus.MemberID]time.Duration{}}
}

// Heard tells that the member at an address runs.
func (k *Keeper) Heard(now time.Duration, address string) { k.heard[address] = now }

// Joined tells that a member was added.
func (k *Keeper) Joined(now time.Duration, id consensus.MemberID, address string) {
	k.joined[id] = now
	k.heard[address] = now
}

// lastHeard returns when a member was last known to run.
func (k *Keeper) lastHeard(address string) time.Duration {
	if at, ok := k.heard[address]; ok {
		return at
	}
	return k.began
}

// Remove returns the member to remove now, 0 when there is none. Minimum is the
// number of running members below which the group does not shrink, because it
// could no longer bear the losses that it is meant to bear.
func (k *Keeper) Remove(now time.Duration, self consensus.MemberID, members []consensus.Member, minimum int) consensus.MemberID {
	alive, newest := 0, time.Duration(-1)
	for _, m := range members {
		running := m.ID == self || now-k.lastHeard(m.Address) < replacedAfter
		if running {
			// A learner that runs votes as soon as there is a place for it.
			alive++
		}
		if at, ok := k.joined[m.ID]; ok && running {
			newest = max(newest, at)
		}
	}
	for _, m := range members {
		if m.ID == self {
			continue
		}
		heard := k.lastHeard(m.Address)
		replaced := newest > heard && now-heard >= replacedAfter
		if !replaced && now-heard < abandonedAfter {
			continue
		}
		if m.Learner || alive >= minimum {
			return m.ID
		}
	}
	return 0
}
