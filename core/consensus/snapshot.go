package consensus

import "github.com/pkg/errors"

// Compact replaces the log up to an applied index by a snapshot of the state at
// that index. The snapshot is part of the next write.
func (r *Raft) Compact(index uint64, data []byte) error {
	if r.snapshot != nil && index <= r.snapshot.Index {
		return nil
	}
	term, ok := r.log.term(index)
	if index > r.applied || !ok {
		return errors.Errorf("consensus: no snapshot at index %d: applied %d, first %d", index, r.applied, r.log.offset)
	}
	r.snapshot = &Snapshot{Index: index, Term: term, Members: r.log.configAt(index), Data: data, Size: len(data)}
	r.writeSnapshot = true
	if index > r.cfg.KeepEntries {
		r.log.compact(index - r.cfg.KeepEntries)
	}
	return nil
}

func (r *Raft) sendSnapshot(id MemberID, p *peer) {
	if r.snapshot == nil {
		r.fail("entry %d was truncated without a snapshot", p.next-1)
		return
	}
	p.snapshotIndex, p.sinceSnapshot = r.snapshot.Index, 0
	p.next, p.probing, p.probeSent = r.snapshot.Index+1, true, false
	r.send(Message{Kind: KindSnapshot, To: id, Snapshot: r.snapshot, Round: r.reads.round})
}

func (r *Raft) handleSnapshot(msg Message) {
	s := msg.Snapshot
	if s == nil || r.role == Leader {
		return
	}
	r.followLeader(msg.From)
	reply := Message{Kind: KindAppendReply, To: msg.From, Round: msg.Round, Index: s.Index}
	switch {
	case s.Index <= r.commit:
		reply.Index = r.commit
	case r.log.matches(s.Index, s.Term):
		r.commit = s.Index
	default:
		r.log.reset(s)
		r.snapshot, r.writeSnapshot = s, true
		r.commit, r.written, r.stable = s.Index, s.Index, 0
	}
	r.send(reply)
}
