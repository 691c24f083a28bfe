package consensus

import (
	"maps"
	"slices"
)

func (m *Machine) resetTimeout() {
	m.electionElapsed = 0
	m.timeout = m.cfg.ElectionTicks + m.cfg.Rand.Intn(m.cfg.ElectionTicks)
}

// electable tells whether this member may start an election.
func (m *Machine) electable() bool {
	self, ok := m.Members().Find(m.cfg.ID)
	return ok && !m.removed && m.mayVote(self) && (self.Disk == 0 || self.Disk == m.cfg.Disk)
}

// hearsLeader tells whether a leader was heard from within the shortest
// election time. Such a member supports no candidate.
func (m *Machine) hearsLeader() bool {
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
	m.role, m.peers, m.votes, m.resign = Follower, nil, nil, false
	m.setLeader(leader)
	m.reads.refuseLed()
	m.resetTimeout()
}

// adoptTerm handles a message of a later term and tells whether it is still to
// be processed.
func (m *Machine) adoptTerm(msg Message) bool {
	switch msg.Kind {
	case KindPreVoteReply:
		// A granted pre-vote carries the term that the candidate would start.
		if !msg.Reject {
			return true
		}
		m.becomeFollower(msg.Term, 0)
	case KindVote:
		if m.hearsLeader() {
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

// preCampaign asks whether an election could succeed, without changing the
// term. A member that was cut off thereby disturbs nobody when it returns.
func (m *Machine) preCampaign() {
	m.noteLostElection()
	m.becomeFollower(m.term, 0)
	m.role = PreCandidate
	m.votes = map[MemberID]bool{m.cfg.ID: true}
	m.requestVotes(KindPreVote, m.term+1)
	m.countVotes()
}

// noteLostElection keeps who supported an election that is given up.
func (m *Machine) noteLostElection() {
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
	// The own vote counts once it is synced.
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
	if msg.Term > m.term && !m.hearsLeader() && logOK {
		reply.Reject, reply.Term = false, msg.Term
	}
	reply.Removed = m.absent(msg.From)
	m.send(reply)
}

// absent tells whether an id was removed by a committed change.
func (m *Machine) absent(id MemberID) bool {
	config := m.log.config()
	_, found := config.members.Find(id)
	return !found && id <= config.members.Highest && config.index <= m.commit && config.index > 0
}

func (m *Machine) handleVote(msg Message) {
	free := m.vote == msg.From || (m.vote == 0 && m.leader == 0)
	if !free || !m.logUpToDate(msg.Index, msg.LogTerm) {
		m.send(Message{Kind: KindVoteReply, To: msg.From, Reject: true})
		return
	}
	m.vote = msg.From
	m.resetTimeout()
	m.send(Message{Kind: KindVoteReply, To: msg.From})
}

func (m *Machine) handleVoteReply(msg Message) {
	m.removed = m.removed || (msg.Removed && msg.Context == m.cfg.Disk)
	pre := msg.Kind == KindPreVoteReply
	if msg.Reject || (pre && (m.role != PreCandidate || msg.Term != m.term+1)) || (!pre && m.role != Candidate) {
		return
	}
	m.votes[msg.From] = true
	if !pre {
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

// electionWon tells whether a quorum granted its vote. With an empty log no
// disk is bound to its id yet, so a lost disk could not be told from a new one;
// then all members have to agree.
func (m *Machine) electionWon() bool {
	if m.log.last() == 0 {
		return m.quorum(func(id MemberID) bool { return m.votes[id] }, true)
	}
	return m.quorum(func(id MemberID) bool { return m.votes[id] }, false)
}

func (m *Machine) becomeLeader() {
	m.role = Leader
	m.setLeader(m.cfg.ID)
	m.electionElapsed, m.heartbeatElapsed = 0, 0
	m.reads.lead()
	m.peers = map[MemberID]*peer{}
	if m.log.last() == 0 {
		bound := m.Members().bind(m.voteDisks)
		m.appendOwn(Entry{Kind: EntryMembers, Members: &bound})
	} else {
		m.appendOwn(Entry{Kind: EntryEmpty})
	}
	m.syncPeers()
	m.heartbeat()
}

// tickLeader sends heartbeats and steps down when no quorum answered during an
// election time.
func (m *Machine) tickLeader(n int) {
	if m.electionElapsed >= m.cfg.ElectionTicks {
		m.electionElapsed = 0
		alive := m.quorum(func(id MemberID) bool {
			p, ok := m.peers[id]
			return id == m.cfg.ID || (ok && p.active)
		}, false)
		if !alive {
			m.becomeFollower(m.term, 0)
			return
		}
		for _, p := range m.peers {
			p.active = false
		}
	}
	for _, p := range m.peers {
		p.sinceSnapshot += n
		// Ticks that passed while this member stood still tell nothing about peers.
		p.silent += min(n, m.cfg.HeartbeatTicks)
	}
	m.heartbeatElapsed += n
	if m.heartbeatElapsed >= m.cfg.HeartbeatTicks {
		m.heartbeat()
	}
}
