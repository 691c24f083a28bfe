package consensus

import (
	"maps"
	"slices"
)

func (m *Machine) resetTimeout() {
	m.electionElapsed = 0
	m.timeout = m.cfg.ElectionTicks + m.cfg.Rand.Intn(m.cfg.ElectionTicks)
}

// electable reports whether this member may start an election.
func (m *Machine) electable() bool {
	self, ok := m.Members().Find(m.cfg.ID)
	return ok && !m.removed && m.mayVote(self) && (self.Disk == 0 || self.Disk == m.cfg.Disk)
}

// hasActiveLeader reports whether a message of the leader arrived within the
// minimum election timeout. Such a member rejects all candidates.
func (m *Machine) hasActiveLeader() bool {
	return m.leader != 0 && m.electionElapsed < m.cfg.ElectionTicks
}

func (m *Machine) setLeader(id MemberID) {
	if m.leader != id {
		m.leader = id
		m.reads.refuseForwarded()
	}
}

func (m *Machine) becomeFollower(term uint64, leader MemberID) {
	if term > m.term {
		m.term, m.vote = term, 0
	}
	m.role, m.peers, m.votes, m.steppingDown = Follower, nil, nil, false
	m.setLeader(leader)
	m.reads.refuseUnconfirmed()
	m.resetTimeout()
}

// handleHigherTerm adopts the term of a message with a higher term, and reports
// whether the message is to be processed further.
func (m *Machine) handleHigherTerm(msg Message) bool {
	switch msg.Kind {
	case KindPreVoteReply:
		// A granted pre-vote carries the term of the election that would follow.
		if !msg.Reject {
			return true
		}
		m.becomeFollower(msg.Term, 0)
	case KindVote:
		if m.hasActiveLeader() {
			return false
		}
		m.becomeFollower(msg.Term, 0)
	case KindAppend, KindSnapshot:
		m.becomeFollower(msg.Term, msg.From)
	default:
		m.becomeFollower(msg.Term, 0)
	}
	return true
}

// preCampaign requests pre-votes, which find out whether an election can succeed
// without increasing the term. A member that returns after a network partition
// therefore does not disrupt the group.
func (m *Machine) preCampaign() {
	m.recordLostElection()
	m.becomeFollower(m.term, 0)
	m.role = PreCandidate
	m.votes = map[MemberID]bool{m.cfg.ID: true}
	m.requestVotes(KindPreVote, m.term+1)
	m.countVotes()
}

// recordLostElection counts an abandoned election and records its supporters.
func (m *Machine) recordLostElection() {
	if m.role != PreCandidate && m.role != Candidate {
		return
	}
	m.electionsLost++
	m.supporters = slices.Sorted(maps.Keys(m.votes))
}

func (m *Machine) campaign() {
	m.role = Candidate
	m.term++
	m.vote = m.cfg.ID
	m.votes = map[MemberID]bool{}
	m.voteDisks = map[MemberID]uint64{}
	m.resetTimeout()
	m.requestVotes(KindVote, m.term)
	// The vote for itself counts once it is synced.
	m.send(Message{Kind: KindVoteReply, To: m.cfg.ID})
}

func (m *Machine) requestVotes(kind MessageKind, term uint64) {
	for _, member := range m.Members().List {
		if member.ID != m.cfg.ID && m.mayVote(member) {
			m.send(Message{Kind: kind, To: member.ID, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm()})
		}
	}
}

func (m *Machine) logUpToDate(index, term uint64) bool {
	last := m.log.lastTerm()
	return term > last || (term == last && index >= m.log.last())
}

func (m *Machine) handlePreVote(msg Message) {
	reply := Message{Kind: KindPreVoteReply, To: msg.From, Reject: true, Context: msg.Disk}
	logOK := m.logUpToDate(msg.Index, msg.LogTerm) || m.faults.skipPreVoteLog
	if msg.Term > m.term && !m.hasActiveLeader() && logOK {
		reply.Reject, reply.Term = false, msg.Term
	}
	reply.Removed = m.wasRemoved(msg.From)
	m.send(reply)
}

// wasRemoved reports whether a committed membership change removed an id.
func (m *Machine) wasRemoved(id MemberID) bool {
	config := m.log.config()
	_, found := config.members.Find(id)
	return !found && id <= config.members.Highest && config.index <= m.commit && config.index > 0
}

func (m *Machine) handleVote(msg Message) {
	canVote := m.vote == msg.From || (m.vote == 0 && m.leader == 0)
	if !canVote || !m.logUpToDate(msg.Index, msg.LogTerm) {
		m.send(Message{Kind: KindVoteReply, To: msg.From, Reject: true})
		return
	}
	m.vote = msg.From
	m.resetTimeout()
	m.send(Message{Kind: KindVoteReply, To: msg.From})
}

func (m *Machine) handleVoteReply(msg Message) {
	m.removed = m.removed || (msg.Removed && msg.Context == m.cfg.Disk)
	preVote := msg.Kind == KindPreVoteReply
	if msg.Reject || (preVote && (m.role != PreCandidate || msg.Term != m.term+1)) || (!preVote && m.role != Candidate) {
		return
	}
	m.votes[msg.From] = true
	if !preVote {
		m.voteDisks[msg.From] = msg.Disk
	}
	m.countVotes()
}

func (m *Machine) countVotes() {
	if !m.electionWon() {
		return
	}
	if m.role == PreCandidate {
		m.campaign()
		return
	}
	m.becomeLeader()
}

// electionWon reports whether a quorum granted its vote. With an empty log no disk
// is bound to an id yet and a lost disk can not be told from a new one, so the
// votes of all voters are required.
func (m *Machine) electionWon() bool {
	if m.log.last() == 0 {
		return m.hasQuorum(func(id MemberID) bool { return m.votes[id] }, true)
	}
	return m.hasQuorum(func(id MemberID) bool { return m.votes[id] }, false)
}

func (m *Machine) becomeLeader() {
	m.role = Leader
	m.setLeader(m.cfg.ID)
	m.electionElapsed, m.heartbeatElapsed = 0, 0
	m.reads.resetForLeader()
	m.peers = map[MemberID]*peer{}
	if m.log.last() == 0 {
		bound := m.Members().bindDisks(m.voteDisks)
		m.appendAsLeader(Entry{Kind: EntryMembers, Members: &bound})
	} else {
		m.appendAsLeader(Entry{Kind: EntryEmpty})
	}
	m.syncPeers()
	m.heartbeat()
}

// tickLeader advances the timers of a leader. The leader sends heartbeats, and
// steps down if no quorum replied within the election timeout.
func (m *Machine) tickLeader(n int) {
	if m.electionElapsed >= m.cfg.ElectionTicks {
		m.electionElapsed = 0
		active := m.hasQuorum(func(id MemberID) bool {
			p, ok := m.peers[id]
			return id == m.cfg.ID || (ok && p.active)
		}, false)
		if !active {
			m.becomeFollower(m.term, 0)
			return
		}
		for _, p := range m.peers {
			p.active = false
		}
	}
	for _, p := range m.peers {
		p.sinceSnapshot += n
		// Ticks missed while this member was paused are not held against its peers.
		p.ticksSinceReply += min(n, m.cfg.HeartbeatTicks)
	}
	m.heartbeatElapsed += n
	if m.heartbeatElapsed >= m.cfg.HeartbeatTicks {
		m.heartbeat()
	}
}
