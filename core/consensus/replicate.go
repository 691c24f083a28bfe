package consensus

import "sort"

// heartbeat sends an append message to every peer, with entries if any are due.
func (r *Raft) heartbeat() {
	r.heartbeatElapsed = 0
	for _, id := range r.peerIDs() {
		r.peers[id].probeSent = false
		r.sendAppend(id, true)
	}
}

// flush promotes a learner, starts a round for waiting reads, and sends the entries
// and commit indexes that became due since the last output.
func (r *Raft) flush() {
	if r.role != Leader {
		return
	}
	r.promoteLearner()
	if r.reads.startRound(r) {
		r.heartbeat()
	}
	for _, id := range r.peerIDs() {
		r.sendAppend(id, false)
	}
	if r.steppingDown {
		r.becomeFollower(r.term, 0)
	}
}

// snapshotRetryFactor is the number of minimum election timeouts after which an
// unacknowledged snapshot is sent again.
const snapshotRetryFactor = 5

// sendAppend sends an append message to a peer if entries or a new commit index
// are due, and in any case if force is set.
func (r *Raft) sendAppend(id MemberID, force bool) {
	p := r.peers[id]
	msg := Message{Kind: KindAppend, To: id, Commit: r.commit, Round: r.reads.round}
	if p.snapshotIndex != 0 && p.sinceSnapshot >= snapshotRetryFactor*r.cfg.ElectionTicks {
		p.snapshotIndex, p.next = 0, p.match+1
	}
	if p.snapshotIndex != 0 {
		if force {
			r.send(msg)
		}
		return
	}
	prev := p.next - 1
	term, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(id, p)
		return
	}
	msg.Index, msg.LogTerm = prev, term
	blocked := (p.probing && p.probeSent) || p.next-p.match > uint64(r.cfg.MaxInflight)
	if !blocked {
		msg.Entries = r.log.slice(p.next, r.log.last(), r.cfg.MaxMessageBytes)
	}
	if !force && (blocked || (len(msg.Entries) == 0 && p.commitSent >= r.commit)) {
		return
	}
	if p.probing {
		p.probeSent = p.probeSent || len(msg.Entries) > 0
	} else {
		p.next += uint64(len(msg.Entries))
	}
	p.commitSent = r.commit
	r.send(msg)
}

func (r *Raft) handleAppend(msg Message) {
	if r.role == Leader {
		r.fail("two leaders in term %d: %d and %d", r.term, r.cfg.ID, msg.From)
		return
	}
	r.followLeader(msg.From)
	reply := Message{Kind: KindAppendReply, To: msg.From, Round: msg.Round}
	prev := msg.Index
	if prev < r.commit {
		// Committed entries always match. The entries after them are checked below.
		skip := min(r.commit-prev, uint64(len(msg.Entries)))
		msg.Entries, prev = msg.Entries[skip:], prev+skip
	} else if !r.log.matches(prev, msg.LogTerm) {
		reply.Reject, reply.Index = true, prev
		reply.Hint, reply.HintTerm = r.lastEntryUpToTerm(min(prev, r.log.last()), msg.LogTerm)
		r.send(reply)
		return
	}
	r.appendNew(msg.Entries)
	reply.Index = prev + uint64(len(msg.Entries))
	if to := min(msg.Commit, reply.Index); to > r.commit {
		r.commit = to
	}
	r.send(reply)
}

// followLeader records the arrival of a message from the leader of this term.
func (r *Raft) followLeader(leader MemberID) {
	if r.role != Follower {
		r.becomeFollower(r.term, leader)
	}
	r.setLeader(leader)
	r.electionElapsed = 0
}

// appendNew appends the entries that the log lacks, after removing entries that
// conflict with them.
func (r *Raft) appendNew(entries []Entry) {
	for i, e := range entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.last() {
			if e.Index <= r.commit {
				r.fail("entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
				return
			}
			r.log.truncate(e.Index)
			r.written = min(r.written, e.Index-1)
			r.stable = min(r.stable, e.Index-1)
		}
		r.log.append(entries[i:]...)
		return
	}
}

// lastEntryUpToTerm returns the index and term of the last entry up to index whose
// term is at most term. Entries of higher terms cannot match.
func (r *Raft) lastEntryUpToTerm(index, term uint64) (uint64, uint64) {
	for ; index > r.log.offset; index-- {
		if t, ok := r.log.term(index); ok && t <= term {
			return index, t
		}
	}
	return r.log.offset, r.log.offsetTerm
}

func (r *Raft) handleAppendReply(msg Message) {
	p, ok := r.peers[msg.From]
	if r.role != Leader || !ok {
		return
	}
	r.trackDisk(msg, p)
	p.active, p.ticksSinceReply = true, 0
	p.round = max(p.round, msg.Round)
	r.reads.answerConfirmed(r)
	if msg.Reject {
		r.handleReject(msg, p)
		return
	}
	if msg.Index > p.match {
		p.match = msg.Index
	}
	if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
		p.next = p.match + 1
	}
	if p.snapshotIndex == 0 && msg.Index+1 >= p.next {
		p.probing = false
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
}

func (r *Raft) handleReject(msg Message, p *peer) {
	stale := msg.Index <= p.match || (p.probing && msg.Index != p.next-1) || p.snapshotIndex != 0
	if stale {
		return
	}
	next := min(msg.Index, msg.Hint+1)
	if t, ok := r.log.term(msg.Hint); ok && t != msg.HintTerm {
		index, term := r.lastEntryUpToTerm(msg.Hint, msg.HintTerm)
		next = index + 1
		if term > msg.HintTerm {
			// The matching entry is before the first one kept here, so the peer needs a
			// snapshot.
			next = max(index, 1)
		}
	}
	p.next = max(next, p.match+1)
	p.probing, p.probeSent = true, false
}

// advanceCommit commits the entries that a quorum has synced, if the last of them
// is of this term. The leader counts only the entries that it has synced itself.
func (r *Raft) advanceCommit() {
	if r.role != Leader {
		return
	}
	index := r.quorumMatch()
	if index <= r.commit || !r.log.matches(index, r.term) {
		return
	}
	r.commit = index
	config := r.log.config()
	if member, ok := config.members.Find(r.cfg.ID); config.index <= index && (!ok || member.Learner) {
		r.steppingDown = true
	}
}

// quorumMatch returns the index of the last entry that a quorum has synced.
func (r *Raft) quorumMatch() uint64 {
	var matches []uint64
	for _, member := range r.Members().List {
		if !r.mayVote(member) {
			continue
		}
		if member.ID == r.cfg.ID && r.faults.countUnsynced {
			matches = append(matches, r.log.last())
		} else if member.ID == r.cfg.ID {
			matches = append(matches, r.stable)
		} else {
			matches = append(matches, r.peers[member.ID].match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	majority := len(matches) / 2
	for _, id := range r.peerIDs() {
		if _, ok := r.Members().Find(id); !ok && r.faults.countRemoved {
			matches = append(matches, r.peers[id].match)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	return matches[majority]
}

// committedInTerm reports whether this member is a leader that knows the newest
// committed entry, which it does once an entry of its term is committed.
func (r *Raft) committedInTerm() bool {
	return r.role == Leader && r.log.matches(r.commit, r.term)
}
