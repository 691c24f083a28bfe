package consensus

import (
	"maps"
	"slices"
)

func (r *Raft) resetTimeout() {
	r.electionElapsed = 0
	r.timeout = r.cfg.ElectionTicks + r.cfg.Rand.Intn(r.cfg.ElectionTicks)
}

// electable reports whether this member may start an election.
func (r *Raft) electable() bool {
	self, ok := r.Members().Find(r.cfg.ID)
	return ok && !r.removed && r.mayVote(self) && (self.Disk == 0 || self.Disk == r.cfg.Disk)
}

// hasActiveLeader reports whether a message of the leader arrived within the
// minimum election timeout. Such a member rejects all candidates.
func (r *Raft) hasActiveLeader() bool {
	return r.leader != 0 && r.electionElapsed < r.cfg.ElectionTicks
}

func (r *Raft) setLeader(id MemberID) {
	if r.leader != id {
		r.leader = id
		r.reads.refuseForwarded()
	}
}

func (r *Raft) becomeFollower(term uint64, leader MemberID) {
	if term > r.term {
		r.term, r.vote = term, 0
	}
	r.role, r.peers, r.votes, r.steppingDown = Follower, nil, nil, false
	r.setLeader(leader)
	r.reads.refuseUnconfirmed()
	r.resetTimeout()
}

// handleHigherTerm adopts the term of a message with a higher term, and reports
// whether the message is to be processed further.
func (r *Raft) handleHigherTerm(msg Message) bool {
	switch msg.Kind {
	case KindPreVoteReply:
		// A granted pre-vote carries the term of the election that would follow.
		if !msg.Reject {
			return true
		}
		r.becomeFollower(msg.Term, 0)
	case KindVote:
		if r.hasActiveLeader() {
			return false
		}
		r.becomeFollower(msg.Term, 0)
	case KindAppend, KindSnapshot:
		r.becomeFollower(msg.Term, msg.From)
	default:
		r.becomeFollower(msg.Term, 0)
	}
	return true
}

// preCampaign requests pre-votes, which find out whether an election can succeed
// without increasing the term. A member that returns after a network partition
// therefore does not disrupt the group.
func (r *Raft) preCampaign() {
	r.recordLostElection()
	r.becomeFollower(r.term, 0)
	r.role = PreCandidate
	r.votes = map[MemberID]bool{r.cfg.ID: true}
	r.requestVotes(KindPreVote, r.term+1)
	r.countVotes()
}

// recordLostElection counts an abandoned election and records its supporters.
func (r *Raft) recordLostElection() {
	if r.role != PreCandidate && r.role != Candidate {
		return
	}
	r.electionsLost++
	r.supporters = slices.Sorted(maps.Keys(r.votes))
}

func (r *Raft) campaign() {
	r.role = Candidate
	r.term++
	r.vote = r.cfg.ID
	r.votes = map[MemberID]bool{}
	r.voteDisks = map[MemberID]uint64{}
	r.resetTimeout()
	r.requestVotes(KindVote, r.term)
	// The vote for itself counts once it is synced.
	r.send(Message{Kind: KindVoteReply, To: r.cfg.ID})
}

func (r *Raft) requestVotes(kind MessageKind, term uint64) {
	for _, member := range r.Members().List {
		if member.ID != r.cfg.ID && r.mayVote(member) {
			r.send(Message{Kind: kind, To: member.ID, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
}

func (r *Raft) logUpToDate(index, term uint64) bool {
	last := r.log.lastTerm()
	return term > last || (term == last && index >= r.log.last())
}

func (r *Raft) handlePreVote(msg Message) {
	reply := Message{Kind: KindPreVoteReply, To: msg.From, Reject: true, Context: msg.Disk}
	logOK := r.logUpToDate(msg.Index, msg.LogTerm) || r.faults.skipPreVoteLog
	if msg.Term > r.term && !r.hasActiveLeader() && logOK {
		reply.Reject, reply.Term = false, msg.Term
	}
	reply.Removed = r.wasRemoved(msg.From)
	r.send(reply)
}

// wasRemoved reports whether a committed membership change removed an id.
func (r *Raft) wasRemoved(id MemberID) bool {
	config := r.log.config()
	_, found := config.members.Find(id)
	return !found && id <= config.members.Highest && config.index <= r.commit && config.index > 0
}

func (r *Raft) handleVote(msg Message) {
	canVote := r.vote == msg.From || (r.vote == 0 && r.leader == 0)
	if !canVote || !r.logUpToDate(msg.Index, msg.LogTerm) {
		r.send(Message{Kind: KindVoteReply, To: msg.From, Reject: true})
		return
	}
	r.vote = msg.From
	r.resetTimeout()
	r.send(Message{Kind: KindVoteReply, To: msg.From})
}

func (r *Raft) handleVoteReply(msg Message) {
	r.removed = r.removed || (msg.Removed && msg.Context == r.cfg.Disk)
	preVote := msg.Kind == KindPreVoteReply
	if msg.Reject || (preVote && (r.role != PreCandidate || msg.Term != r.term+1)) || (!preVote && r.role != Candidate) {
		return
	}
	r.votes[msg.From] = true
	if !preVote {
		r.voteDisks[msg.From] = msg.Disk
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	if !r.electionWon() {
		return
	}
	if r.role == PreCandidate {
		r.campaign()
		return
	}
	r.becomeLeader()
}

// electionWon reports whether a quorum granted its vote. With an empty log no disk
// is bound to an id yet and a lost disk cannot be told from a new one, so the
// votes of all voters are required.
func (r *Raft) electionWon() bool {
	if r.log.last() == 0 {
		return r.hasQuorum(func(id MemberID) bool { return r.votes[id] }, true)
	}
	return r.hasQuorum(func(id MemberID) bool { return r.votes[id] }, false)
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.setLeader(r.cfg.ID)
	r.electionElapsed, r.heartbeatElapsed = 0, 0
	r.reads.resetForLeader()
	r.peers = map[MemberID]*peer{}
	if r.log.last() == 0 {
		bound := r.Members().bindDisks(r.voteDisks)
		r.appendAsLeader(Entry{Kind: EntryMembers, Members: &bound})
	} else {
		r.appendAsLeader(Entry{Kind: EntryEmpty})
	}
	r.syncPeers()
	r.heartbeat()
}

// tickLeader advances the timers of a leader. The leader sends heartbeats, and
// steps down if no quorum replied within the election timeout.
func (r *Raft) tickLeader(n int) {
	if r.electionElapsed >= r.cfg.ElectionTicks {
		r.electionElapsed = 0
		active := r.hasQuorum(func(id MemberID) bool {
			p, ok := r.peers[id]
			return id == r.cfg.ID || (ok && p.active)
		}, false)
		if !active {
			r.becomeFollower(r.term, 0)
			return
		}
		for _, p := range r.peers {
			p.active = false
		}
	}
	for _, p := range r.peers {
		p.sinceSnapshot += n
		// Ticks missed while this member was paused are not held against its peers.
		p.ticksSinceReply += min(n, r.cfg.HeartbeatTicks)
	}
	r.heartbeatElapsed += n
	if r.heartbeatElapsed >= r.cfg.HeartbeatTicks {
		r.heartbeat()
	}
}
