package consensus

import "sort"

// promoteLagEntries is how far behind the commit index a learner may be when it
// becomes a voter. Under steady load it is always a few entries behind.
const promoteLagEntries = 16

func newMembers(list []Member) Members {
	out := Members{List: append([]Member(nil), list...)}
	sort.Slice(out.List, func(i, j int) bool { return out.List[i].ID < out.List[j].ID })
	for _, m := range list {
		out.Highest = max(out.Highest, m.ID)
	}
	return out
}

// Find returns the member with an id.
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

// bind records the disks that voted in the first election.
func (s Members) bind(disks map[MemberID]uint64) Members {
	out := newMembers(s.List)
	for i := range out.List {
		out.List[i].Disk = disks[out.List[i].ID]
	}
	return out
}

// Members returns the newest membership in the log, committed or not.
func (m *Machine) Members() Members { return m.log.config().members }

// CommittedMembers returns the newest membership that is committed.
func (m *Machine) CommittedMembers() Members { return m.log.configAt(m.commit) }

func (m *Machine) mayVote(member Member) bool { return !member.Learner || m.faults.learnerVotes }

// quorum tells whether has holds for a majority of the voters, or for all.
func (m *Machine) quorum(has func(MemberID) bool, all bool) bool {
	n, voters := 0, 0
	for _, member := range m.Members().List {
		if !m.mayVote(member) {
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

// AddMember adds a learner, which becomes a voter once it caught up.
func (m *Machine) AddMember(id MemberID, address string) (index, term uint64, err error) {
	members := m.Members()
	switch {
	case m.role != Leader:
		return 0, 0, ErrNotLeader
	case id <= members.Highest:
		return 0, 0, ErrMemberIDUsed
	case len(members.List) >= m.cfg.MaxMembers:
		return 0, 0, ErrTooManyMembers
	}
	return m.change(members.with(Member{ID: id, Address: address, Learner: true}))
}

// RemoveMember removes a member. A leader that removes itself steps down once
// the change is committed.
func (m *Machine) RemoveMember(id MemberID) (index, term uint64, err error) {
	next := m.Members().without(id)
	if m.role == Leader {
		if _, ok := m.Members().Find(id); !ok {
			return 0, 0, ErrNoSuchMember
		}
		if next.Voters() == 0 {
			return 0, 0, ErrLastVoter
		}
	}
	return m.change(next)
}

// DemoteMember makes a voter a learner, which votes again once it answers and
// has caught up.
func (m *Machine) DemoteMember(id MemberID) (index, term uint64, err error) {
	member, ok := m.Members().Find(id)
	if m.role == Leader && (!ok || member.Learner) {
		return 0, 0, ErrNoSuchMember
	}
	member.Learner = true
	next := m.Members().with(member)
	if m.role == Leader && next.Voters() == 0 {
		return 0, 0, ErrLastVoter
	}
	if p := m.peers[id]; p != nil {
		p.active = false
	}
	return m.change(next)
}

// TicksSinceReply returns how many ticks ago each other member last answered this
// leader. It is empty on other members.
func (m *Machine) TicksSinceReply() map[MemberID]int {
	silence := make(map[MemberID]int, len(m.peers))
	for id, p := range m.peers {
		silence[id] = p.silent
	}
	return silence
}

// change appends a membership. Two memberships that differ by one voter have
// overlapping quorums, so the previous change must be committed, and so must an
// entry of this term: otherwise an uncommitted change of an earlier leader could
// be in force elsewhere.
func (m *Machine) change(next Members) (index, term uint64, err error) {
	if m.err != nil || m.role != Leader || m.resign {
		return 0, 0, ErrNotLeader
	}
	if !m.changeAllowed() {
		return 0, 0, ErrChangePending
	}
	return m.appendOwn(Entry{Kind: EntryMembers, Members: &next}), m.term, nil
}

func (m *Machine) changeAllowed() bool {
	return m.committedInTerm() && m.log.config().index <= m.commit
}

// promote makes a learner that caught up a voter, bound to its current disk.
func (m *Machine) promote() {
	if m.resign || !m.changeAllowed() || m.Members().Voters() >= m.cfg.MaxVoters {
		return
	}
	for _, member := range m.Members().List {
		p, ok := m.peers[member.ID]
		if !member.Learner || !ok || !p.active || p.disk == 0 || p.match == 0 || p.match+promoteLagEntries < m.commit {
			continue
		}
		member.Learner, member.Disk = false, p.disk
		_, _, _ = m.change(m.Members().with(member))
		return
	}
}

// trackDisk resets what is known of a learner whose data folder changed.
func (m *Machine) trackDisk(msg Message, p *peer) {
	if p.disk != 0 && p.disk != msg.Disk {
		*p = peer{next: m.log.last() + 1, probing: true}
	}
	p.disk = msg.Disk
}

// syncPeers makes the leader's peers equal to the membership.
func (m *Machine) syncPeers() {
	members := m.Members()
	for _, member := range members.List {
		if _, ok := m.peers[member.ID]; !ok && member.ID != m.cfg.ID {
			m.peers[member.ID] = &peer{next: m.log.last() + 1, probing: true, active: true}
		}
	}
	for _, id := range m.peerIDs() {
		if _, ok := members.Find(id); !ok && !m.faults.countRemoved {
			delete(m.peers, id)
		}
	}
}
