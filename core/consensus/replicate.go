package consensus

import "sort"

// heartbeat sends an append message to every peer, with entries if any are due.
func (m *Machine) heartbeat() {
	m.heartbeatElapsed = 0
	for _, id := range m.peerIDs() {
		m.peers[id].probeSent = false
		m.sendAppend(id, true)
	}
}

// flush promotes a learner, starts a round for waiting reads, and sends the entries
// and commit indexes that became due since the last output.
func (m *Machine) flush() {
	if m.role != Leader {
		return
	}
	m.promoteLearner()
	if m.reads.startRound(m) {
		m.heartbeat()
	}
	for _, id := range m.peerIDs() {
		m.sendAppend(id, false)
	}
	if m.steppingDown {
		m.becomeFollower(m.term, 0)
	}
}

// snapshotRetryFactor is the number of minimum election timeouts after which an
// unacknowledged snapshot is sent again.
const snapshotRetryFactor = 5

// sendAppend sends an append message to a peer if entries or a new commit index
// are due, and in any case if force is set.
func (m *Machine) sendAppend(id MemberID, force bool) {
	p := m.peers[id]
	msg := Message{Kind: KindAppend, To: id, Commit: m.commit, Round: m.reads.round}
	if p.snapshotIndex != 0 && p.sinceSnapshot >= snapshotRetryFactor*m.cfg.ElectionTicks {
		p.snapshotIndex, p.next = 0, p.match+1
	}
	if p.snapshotIndex != 0 {
		if force {
			m.send(msg)
		}
		return
	}
	prev := p.next - 1
	term, ok := m.log.term(prev)
	if !ok {
		m.sendSnapshot(id, p)
		return
	}
	msg.Index, msg.LogTerm = prev, term
	blocked := (p.probing && p.probeSent) || p.next-p.match > uint64(m.cfg.MaxInflight)
	if !blocked {
		msg.Entries = m.log.slice(p.next, m.log.last(), m.cfg.MaxMessageBytes)
	}
	if !force && (blocked || (len(msg.Entries) == 0 && p.commitSent >= m.commit)) {
		return
	}
	if p.probing {
		p.probeSent = p.probeSent || len(msg.Entries) > 0
	} else {
		p.next += uint64(len(msg.Entries))
	}
	p.commitSent = m.commit
	m.send(msg)
}

func (m *Machine) handleAppend(msg Message) {
	if m.role == Leader {
		m.fail("two leaders in term %d: %d and %d", m.term, m.cfg.ID, msg.From)
		return
	}
	m.followLeader(msg.From)
	reply := Message{Kind: KindAppendReply, To: msg.From, Round: msg.Round}
	prev := msg.Index
	if prev < m.commit {
		// Committed entries always match. The entries after them are checked below.
		skip := min(m.commit-prev, uint64(len(msg.Entries)))
		msg.Entries, prev = msg.Entries[skip:], prev+skip
	} else if !m.log.matches(prev, msg.LogTerm) {
		reply.Reject, reply.Index = true, prev
		reply.Hint, reply.HintTerm = m.lastEntryUpToTerm(min(prev, m.log.last()), msg.LogTerm)
		m.send(reply)
		return
	}
	m.appendNew(msg.Entries)
	reply.Index = prev + uint64(len(msg.Entries))
	if to := min(msg.Commit, reply.Index); to > m.commit {
		m.commit = to
	}
	m.send(reply)
}

// followLeader records the arrival of a message from the leader of this term.
func (m *Machine) followLeader(leader MemberID) {
	if m.role != Follower {
		m.becomeFollower(m.term, leader)
	}
	m.setLeader(leader)
	m.electionElapsed = 0
}

// appendNew appends the entries that the log lacks, after removing entries that
// conflict with them.
func (m *Machine) appendNew(entries []Entry) {
	for i, e := range entries {
		if m.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= m.log.last() {
			if e.Index <= m.commit {
				m.fail("entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
				return
			}
			m.log.truncate(e.Index)
			m.written = min(m.written, e.Index-1)
			m.stable = min(m.stable, e.Index-1)
		}
		m.log.append(entries[i:]...)
		return
	}
}

// lastEntryUpToTerm returns the index and term of the last entry up to index whose
// term is at most term. Entries of higher terms can not match.
func (m *Machine) lastEntryUpToTerm(index, term uint64) (uint64, uint64) {
	for ; index > m.log.offset; index-- {
		if t, ok := m.log.term(index); ok && t <= term {
			return index, t
		}
	}
	return m.log.offset, m.log.offsetTerm
}

func (m *Machine) handleAppendReply(msg Message) {
	p, ok := m.peers[msg.From]
	if m.role != Leader || !ok {
		return
	}
	m.trackDisk(msg, p)
	p.active, p.ticksSinceReply = true, 0
	p.round = max(p.round, msg.Round)
	m.reads.answerConfirmed(m)
	if msg.Reject {
		m.handleReject(msg, p)
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
	m.advanceCommit()
}

func (m *Machine) handleReject(msg Message, p *peer) {
	stale := msg.Index <= p.match || (p.probing && msg.Index != p.next-1) || p.snapshotIndex != 0
	if stale {
		return
	}
	next := min(msg.Index, msg.Hint+1)
	if t, ok := m.log.term(msg.Hint); ok && t != msg.HintTerm {
		index, term := m.lastEntryUpToTerm(msg.Hint, msg.HintTerm)
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
func (m *Machine) advanceCommit() {
	if m.role != Leader {
		return
	}
	index := m.quorumMatch()
	if index <= m.commit || !m.log.matches(index, m.term) {
		return
	}
	m.commit = index
	config := m.log.config()
	if member, ok := config.members.Find(m.cfg.ID); config.index <= index && (!ok || member.Learner) {
		m.steppingDown = true
	}
}

// quorumMatch returns the index of the last entry that a quorum has synced.
func (m *Machine) quorumMatch() uint64 {
	var matches []uint64
	for _, member := range m.Members().List {
		if !m.mayVote(member) {
			continue
		}
		if member.ID == m.cfg.ID && m.faults.countUnsynced {
			matches = append(matches, m.log.last())
		} else if member.ID == m.cfg.ID {
			matches = append(matches, m.stable)
		} else {
			matches = append(matches, m.peers[member.ID].match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	majority := len(matches) / 2
	for _, id := range m.peerIDs() {
		if _, ok := m.Members().Find(id); !ok && m.faults.countRemoved {
			matches = append(matches, m.peers[id].match)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	return matches[majority]
}

// committedInTerm reports whether this member is a leader that knows the newest
// committed entry, which it does once an entry of its term is committed.
func (m *Machine) committedInTerm() bool {
	return m.role == Leader && m.log.matches(m.commit, m.term)
}
