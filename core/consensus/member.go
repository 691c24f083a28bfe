package consensus

import "sort"

// promoteLagEntries is the number of entries that a learner may be behind the
// commit index when it is promoted. Under steady load a learner is always a few
// entries behind.
const promoteLagEntries = 16

func newMembers(list []Member) Members {
	out := Members{List: append([]Member(nil), list...)}
	sort.Slice(out.List, func(i, j int) bool { return out.List[i].ID < out.List[j].ID })
	for _, m := range list {
		out.Highest = max(out.Highest, m.ID)
	}
	return out
}

// Find returns the member with the given id, and whether there is one.
func (s Members) Find(id MemberID) (Member, bool) {
	for _, m := range s.List {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voting members.
func (s Members) Voters() int {
	n := 0
	for _, m := range s.List {
		if !m.Learner {
			n++
		}
	}
	return n
}

func (s Members) with(m Member) Members {
	out := newMembers(append(s.without(m.ID).List, m))
	out.Highest = max(out.Highest, s.Highest)
	return out
}

func (s Members) without(id MemberID) Members {
	out := Members{Highest: s.Highest}
	for _, m := range s.List {
		if m.ID != id {
			out.List = append(out.List, m)
		}
	}
	return out
}

// bindDisks binds each member id to the disk that voted in the first election.
func (s Members) bindDisks(disks map[MemberID]uint64) Members {
	out := newMembers(s.List)
	for i := range out.List {
		out.List[i].Disk = disks[out.List[i].ID]
	}
	return out
}

// Members returns the newest membership in the log, committed or not.
func (r *Raft) Members() Members { return r.log.config().members }

// CommittedMembers returns the newest membership that is committed.
func (r *Raft) CommittedMembers() Members { return r.log.configAt(r.commit) }

func (r *Raft) mayVote(member Member) bool { return !member.Learner || r.faults.learnerVotes }

// hasQuorum reports whether has is true for a majority of the voters, or for all
// voters if all is set.
func (r *Raft) hasQuorum(has func(MemberID) bool, all bool) bool {
	n, voters := 0, 0
	for _, member := range r.Members().List {
		if !r.mayVote(member) {
			continue
		}
		voters++
		if has(member.ID) {
			n++
		}
	}
	if all {
		return n > 0 && n == voters
	}
	return n > voters/2
}

// AddMember adds a member as a learner, which is promoted to a voter once it has
// caught up.
func (r *Raft) AddMember(id MemberID, address string) (index, term uint64, err error) {
	members := r.Members()
	switch {
	case r.role != Leader:
		return 0, 0, ErrNotLeader
	case id <= members.Highest:
		return 0, 0, ErrMemberIDUsed
	case len(members.List) >= r.cfg.MaxMembers:
		return 0, 0, ErrTooManyMembers
	}
	return r.proposeMembers(members.with(Member{ID: id, Address: address, Learner: true}))
}

// RemoveMember removes a member. A leader that removes itself steps down once
// the change is committed.
func (r *Raft) RemoveMember(id MemberID) (index, term uint64, err error) {
	next := r.Members().without(id)
	if r.role == Leader {
		if _, ok := r.Members().Find(id); !ok {
			return 0, 0, ErrNoSuchMember
		}
		if next.Voters() == 0 {
			return 0, 0, ErrLastVoter
		}
	}
	return r.proposeMembers(next)
}

// DemoteMember makes a voter a learner. It is promoted again once it replies and
// has caught up.
func (r *Raft) DemoteMember(id MemberID) (index, term uint64, err error) {
	member, ok := r.Members().Find(id)
	if r.role == Leader && (!ok || member.Learner) {
		return 0, 0, ErrNoSuchMember
	}
	member.Learner = true
	next := r.Members().with(member)
	if r.role == Leader && next.Voters() == 0 {
		return 0, 0, ErrLastVoter
	}
	if p := r.peers[id]; p != nil {
		p.active = false
	}
	return r.proposeMembers(next)
}

// TicksSinceReply returns the number of ticks since the last reply of each other
// member. It is empty on a member that is not the leader.
func (r *Raft) TicksSinceReply() map[MemberID]int {
	ticks := make(map[MemberID]int, len(r.peers))
	for id, p := range r.peers {
		ticks[id] = p.ticksSinceReply
	}
	return ticks
}

// proposeMembers appends a membership to the log. The quorums of two memberships
// are certain to overlap only if these differ by at most one voter, so the previous
// change must be committed. An entry of this term must be committed as well, because
// otherwise an uncommitted change of an earlier leader could be in force on other
// members.
func (r *Raft) proposeMembers(next Members) (index, term uint64, err error) {
	if r.err != nil || r.role != Leader || r.steppingDown {
		return 0, 0, ErrNotLeader
	}
	if !r.changeAllowed() {
		return 0, 0, ErrChangePending
	}
	return r.appendAsLeader(Entry{Kind: EntryMembers, Members: &next}), r.term, nil
}

// changeAllowed reports whether a membership change may be appended.
func (r *Raft) changeAllowed() bool {
	return r.committedInTerm() && r.log.config().index <= r.commit
}

// promoteLearner makes one learner that has caught up a voter, and binds its id to
// its current disk.
func (r *Raft) promoteLearner() {
	if r.steppingDown || !r.changeAllowed() || r.Members().Voters() >= r.cfg.MaxVoters {
		return
	}
	for _, member := range r.Members().List {
		p, ok := r.peers[member.ID]
		if !member.Learner || !ok || !p.active || p.disk == 0 || p.match == 0 || p.match+promoteLagEntries < r.commit {
			continue
		}
		member.Learner, member.Disk = false, p.disk
		_, _, _ = r.proposeMembers(r.Members().with(member))
		return
	}
}

// trackDisk records the disk of a peer, and resets its replication state if the
// disk has changed.
func (r *Raft) trackDisk(msg Message, p *peer) {
	if p.disk != 0 && p.disk != msg.Disk {
		*p = peer{next: r.log.last() + 1, probing: true}
	}
	p.disk = msg.Disk
}

// syncPeers makes the leader's peers match the membership.
func (r *Raft) syncPeers() {
	members := r.Members()
	for _, member := range members.List {
		if _, ok := r.peers[member.ID]; !ok && member.ID != r.cfg.ID {
			r.peers[member.ID] = &peer{next: r.log.last() + 1, probing: true, active: true}
		}
	}
	for _, id := range r.peerIDs() {
		if _, ok := members.Find(id); !ok && !r.faults.countRemoved {
			delete(r.peers, id)
		}
	}
}
