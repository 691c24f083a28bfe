package consensus

import "math/rand"

// readRequest is a read that waits for a round of heartbeats started after its
// arrival.
type readRequest struct {
	id   uint64
	from MemberID // 0 for a read of this member
}

// readRound is a round of heartbeats that confirms the leadership for its
// requests. They may read at the given index.
type readRound struct {
	round, index uint64
	requests     []readRequest
}

// forwardedRead is a read of this member that the leader has not answered yet.
type forwardedRead struct {
	id      uint64
	elapsed int
}

// readQueue holds the pending reads of this member and, on the leader, those that
// other members forwarded.
type readQueue struct {
	// contextMask makes the contexts of this run of the process differ from those of
	// earlier runs, so that late replies to earlier runs are ignored.
	contextMask uint64
	round       uint64
	waiting     []readRequest
	rounds      []readRound
	forwarded   []forwardedRead
	results     []ReadState
}

func (q *readQueue) init(r *rand.Rand) { q.contextMask = r.Uint64() }

func (q *readQueue) resetForLeader() { q.round, q.waiting, q.rounds = 0, nil, nil }

// ReadIndex requests the index that this member must have applied for a
// linearizable read. The result is a ReadState with the same id.
func (r *Raft) ReadIndex(id uint64) {
	switch {
	case r.err != nil || r.leader == 0:
		r.reads.results = append(r.reads.results, ReadState{ID: id, Refused: true})
	case r.role == Leader:
		r.reads.waiting = append(r.reads.waiting, readRequest{id: id})
	default:
		r.reads.forwarded = append(r.reads.forwarded, forwardedRead{id: id})
		r.send(Message{Kind: KindRead, To: r.leader, Context: id ^ r.reads.contextMask})
	}
}

func (r *Raft) handleRead(msg Message) {
	if r.role != Leader {
		r.send(Message{Kind: KindReadReply, To: msg.From, Context: msg.Context, Reject: true})
		return
	}
	r.reads.waiting = append(r.reads.waiting, readRequest{id: msg.Context, from: msg.From})
}

// startRound starts a round of leadership confirmation for all waiting reads. A
// leader that has not committed an entry of its term does not know the newest
// committed entry, so its reads wait until it has.
func (q *readQueue) startRound(r *Raft) bool {
	if len(q.waiting) == 0 || !(r.committedInTerm() || r.faults.readBeforeCommit) {
		return false
	}
	q.round++
	q.rounds = append(q.rounds, readRound{q.round, r.commit, q.waiting})
	q.waiting = nil
	q.answerConfirmed(r)
	return true
}

// answerConfirmed answers the reads of the rounds that a quorum acknowledged.
func (q *readQueue) answerConfirmed(r *Raft) {
	for len(q.rounds) > 0 {
		round := q.rounds[0]
		confirmed := r.faults.skipReadCheck || r.hasQuorum(func(id MemberID) bool {
			p, ok := r.peers[id]
			return id == r.cfg.ID || (ok && p.round >= round.round)
		}, false)
		if !confirmed {
			return
		}
		q.rounds = q.rounds[1:]
		for _, request := range round.requests {
			q.reply(r, request, round.index)
		}
	}
}

func (q *readQueue) reply(r *Raft, request readRequest, index uint64) {
	if request.from == 0 {
		q.results = append(q.results, ReadState{ID: request.id, Index: index})
		return
	}
	r.send(Message{Kind: KindReadReply, To: request.from, Context: request.id, Index: index})
}

// completeForwarded completes a forwarded read with the leader's reply.
func (q *readQueue) completeForwarded(msg Message) {
	id := msg.Context ^ q.contextMask
	for i, f := range q.forwarded {
		if f.id == id {
			q.forwarded = append(q.forwarded[:i], q.forwarded[i+1:]...)
			q.results = append(q.results, ReadState{ID: id, Index: msg.Index, Refused: msg.Reject})
			return
		}
	}
}

// expire refuses forwarded reads that the leader did not answer within limit ticks.
func (q *readQueue) expire(n, limit int) {
	kept := q.forwarded[:0]
	for _, f := range q.forwarded {
		if f.elapsed += n; f.elapsed >= limit {
			q.results = append(q.results, ReadState{ID: f.id, Refused: true})
			continue
		}
		kept = append(kept, f)
	}
	q.forwarded = kept
}

func (q *readQueue) refuseForwarded() {
	for _, f := range q.forwarded {
		q.results = append(q.results, ReadState{ID: f.id, Refused: true})
	}
	q.forwarded = nil
}

// refuseUnconfirmed refuses this member's reads that were not confirmed when it
// stepped down as leader. Forwarded reads expire at their senders.
func (q *readQueue) refuseUnconfirmed() {
	refuse := func(requests []readRequest) {
		for _, r := range requests {
			if r.from == 0 {
				q.results = append(q.results, ReadState{ID: r.id, Refused: true})
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
	results := q.results
	q.results = nil
	return results
}
