package consensus

import "github.com/pkg/errors"

// Compact replaces the log up to an applied index by a snapshot of the state at
// that index. The snapshot is part of the next write.
func (m *Machine) Compact(index uint64, data []byte) error {
	if m.snapshot != nil && index <= m.snapshot.Index {
		return nil
	}
	term, ok := m.log.term(index)
	if index > m.applied || !ok {
		return errors.Errorf("consensus: no snapshot at index %d: applied %d, first %d", index, m.applied, m.log.offset)
	}
	m.snapshot = &Snapshot{Index: index, Term: term, Members: m.log.configAt(index), Data: data, Size: len(data)}
	m.writeSnapshot = true
	if index > m.cfg.KeepEntries {
		m.log.compact(index - m.cfg.KeepEntries)
	}
	return nil
}

func (m *Machine) sendSnapshot(id MemberID, p *peer) {
	if m.snapshot == nil {
		m.fail("entry %d was truncated without a snapshot", p.next-1)
		return
	}
	p.snapshotIndex, p.sinceSnapshot = m.snapshot.Index, 0
	p.next, p.probing, p.probeSent = m.snapshot.Index+1, true, false
	m.send(Message{Kind: KindSnapshot, To: id, Snapshot: m.snapshot, Round: m.reads.round})
}

func (m *Machine) handleSnapshot(msg Message) {
	s := msg.Snapshot
	if s == nil || m.role == Leader {
		return
	}
	m.followLeader(msg.From)
	reply := Message{Kind: KindAppendReply, To: msg.From, Round: msg.Round, Index: s.Index}
	switch {
	case s.Index <= m.commit:
		reply.Index = m.commit
	case m.log.matches(s.Index, s.Term):
		m.commit = s.Index
	default:
		m.log.reset(s)
		m.snapshot, m.writeSnapshot = s, true
		m.commit, m.written, m.stable = s.Index, s.Index, 0
	}
	m.send(reply)
}
