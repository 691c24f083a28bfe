package consensus

import "math/rand"

// readRequest waits for a round of heartbeats that starts after it arrived.
type readRequest struct {
	id   uint64
	from MemberID // 0 for a request of this member
}

type readRound struct {
	round, index uint64
	requests     []readRequest
}

type forwardedRead struct {
	id      uint64
	elapsed int
}

// readQueue holds the reads of this member and, on a leader, of others.
type readQueue struct {
	// base makes the contexts of this run differ from those of earlier runs, so
	// that a late reply to an earlier run answers nothing.
	base      uint64
	round     uint64
	waiting   []readRequest
	rounds    []readRound
	forwarded []forwardedRead
	done      []ReadState
}

func (q *readQueue) init(r *rand.Rand) { q.base = r.Uint64() }

func (q *readQueue) lead() { q.round, q.waiting, q.rounds = 0, nil, nil }

// ReadIndex asks for an index at which this member's state is up to date. The
// answer comes as a ReadState with the same id.
func (m *Machine) ReadIndex(id uint64) {
	switch {
	case m.err != nil || m.leader == 0:
		m.reads.done = append(m.reads.done, ReadState{ID: id, Refused: true})
	case m.role == Leader:
		m.reads.waiting = append(m.reads.waiting, readRequest{id: id})
	default:
		m.reads.forwarded = append(m.reads.forwarded, forwardedRead{id: id})
		m.send(Message{Kind: KindRead, To: m.leader, Context: id ^ m.reads.base})
	}
}

func (m *Machine) handleRead(msg Message) {
	if m.role != Leader {
		m.send(Message{Kind: KindReadReply, To: msg.From, Context: msg.Context, Reject: true})
		return
	}
	m.reads.waiting = append(m.reads.waiting, readRequest{id: msg.Context, from: msg.From})
}

// startRound begins one round of confirmation for all waiting reads. A leader
// that has not committed in its term does not know the newest committed entry
// yet, so its reads wait.
func (q *readQueue) startRound(m *Machine) bool {
	if len(q.waiting) == 0 || !(m.committedInTerm() || m.faults.readEarly) {
		return false
	}
	q.round++
	q.rounds = append(q.rounds, readRound{q.round, m.commit, q.waiting})
	q.waiting = nil
	q.confirm(m)
	return true
}

// confirm answers the rounds that a quorum acknowledged.
func (q *readQueue) confirm(m *Machine) {
	for len(q.rounds) > 0 {
		r := q.rounds[0]
		confirmed := m.faults.skipReadCheck || m.quorum(func(id MemberID) bool {
			p, ok := m.peers[id]
			return id == m.cfg.ID || (ok && p.round >= r.round)
		}, false)
		if !confirmed {
			return
		}
		q.rounds = q.rounds[1:]
		for _, request := range r.requests {
			q.reply(m, request, r.index)
		}
	}
}

func (q *readQueue) reply(m *Machine, request readRequest, index uint64) {
	if request.from == 0 {
		q.done = append(q.done, ReadState{ID: request.id, Index: index})
		return
	}
	m.send(Message{Kind: KindReadReply, To: request.from, Context: request.id, Index: index})
}

// answer completes a forwarded read.
func (q *readQueue) answer(msg Message) {
	id := msg.Context ^ q.base
	for i, f := range q.forwarded {
		if f.id == id {
			q.forwarded = append(q.forwarded[:i], q.forwarded[i+1:]...)
			q.done = append(q.done, ReadState{ID: id, Index: msg.Index, Refused: msg.Reject})
			return
		}
	}
}

// expire refuses forwarded reads that the leader did not answer.
func (q *readQueue) expire(n, limit int) {
	kept := q.forwarded[:0]
	for _, f := range q.forwarded {
		if f.elapsed += n; f.elapsed >= limit {
			q.done = append(q.done, ReadState{ID: f.id, Refused: true})
			continue
		}
		kept = append(kept, f)
	}
	q.forwarded = kept
}

func (q *readQueue) refuseForwarded() {
	for _, f := range q.forwarded {
		q.done = append(q.done, ReadState{ID: f.id, Refused: true})
	}
	q.forwarded = nil
}

// refuseLed refuses the reads that a leader had not confirmed when it stepped
// down. Requests of others expire there.
func (q *readQueue) refuseLed() {
	refuse := func(requests []readRequest) {
		for _, r := range requests {
			if r.from == 0 {
				q.done = append(q.done, ReadState{ID: r.id, Refused: true})
			}
		}
	}
	for _, r := range q.rounds {
		refuse(r.requests)
	}
	refuse(q.waiting)
	q.rounds, q.waiting = nil, nil
}

func (q *readQueue) take() []ReadState {
	done := q.done
	q.done = nil
	return done
}
