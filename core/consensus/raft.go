package consensus

import (
	"sort"

	"github.com/pkg/errors"
)

// Role is the role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name used in logs and in the status.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// peer is the leader's replication state of another member.
type peer struct {
	// match is the last entry known to be replicated, next the next one to send.
	match, next uint64
	// probing is set until the matching entry is known. Until then a peer gets
	// entries in one message at a time.
	probing, probeSent bool
	// commitSent is the last commit index sent.
	commitSent uint64
	// active is set when a reply arrived since the last quorum check.
	active bool
	// round is the last round of leadership confirmation that was acknowledged.
	round           uint64
	ticksSinceReply int
	// snapshotIndex is the index of the snapshot in flight, 0 if there is none.
	snapshotIndex uint64
	// sinceSnapshot is the number of ticks since that snapshot was sent.
	sinceSnapshot int
	disk          uint64
}

// pendingWrite is a write that is not synced yet, with the last entry of the log
// when it was handed out.
type pendingWrite struct {
	seq, index, term uint64
}

// pendingMessage is a message that may leave once write seq is synced.
type pendingMessage struct {
	seq uint64
	msg Message
}

// faults enables deliberate errors. It is only set by tests.
type faults struct {
	dropSync, learnerVotes, skipReadCheck, skipPreVoteLog, countRemoved, readBeforeCommit, ignoreDisk, countUnsynced bool
}

// Raft is one member of the group.
type Raft struct {
	cfg    Config
	faults faults
	err    error

	term    uint64
	vote    MemberID
	role    Role
	leader  MemberID
	removed bool

	log      entryLog
	snapshot *Snapshot
	commit   uint64
	applied  uint64

	electionElapsed  int
	heartbeatElapsed int
	timeout          int
	votes            map[MemberID]bool
	voteDisks        map[MemberID]uint64
	// electionsLost counts this member's elections that ended without a majority.
	// supporters are the voters that granted their vote in the last of them.
	electionsLost uint64
	supporters    []MemberID
	peers         map[MemberID]*peer
	steppingDown  bool

	// Entries up to written have been handed out for writing, and entries up to
	// stable are synced.
	written, stable uint64
	hardWritten     HardState
	writeSnapshot   bool
	seq, syncedSeq  uint64
	pendingWrites   []pendingWrite
	outbox          []Message
	pendingMessages []pendingMessage

	reads readQueue
}

// New returns a member that continues from the state on its disk.
func New(cfg Config, persisted PersistedState) (*Raft, error) {
	cfg.setDefaults()
	if cfg.ID == 0 || cfg.Disk == 0 || cfg.Rand == nil {
		return nil, errors.New("consensus: member id, disk number and random source are required")
	}
	r := &Raft{cfg: cfg, term: persisted.Hard.Term, vote: persisted.Hard.Vote, hardWritten: persisted.Hard}
	r.log.configs = []membersAt{{0, newMembers(cfg.Initial)}}
	if persisted.Snapshot != nil {
		r.log.reset(persisted.Snapshot)
		r.snapshot = persisted.Snapshot
		r.commit = persisted.Snapshot.Index
	}
	for i := range persisted.Entries {
		if persisted.Entries[i].Index != r.log.last()+1 {
			return nil, errors.Errorf("consensus: restored entry %d follows entry %d",
				persisted.Entries[i].Index, r.log.last())
		}
		r.log.append(persisted.Entries[i])
	}
	r.written, r.stable = r.log.last(), r.log.last()
	r.reads.init(cfg.Rand)
	// After a loss of all members, nobody serves until one is elected. Members that hear
	// from a leader reject the pre-votes of one that just started, so its first timeout may
	// be shorter than the others.
	r.resetTimeout()
	r.timeout -= cfg.ElectionTicks / 2
	return r, nil
}

// Err returns the violated invariant that stopped the member, or nil.
func (r *Raft) Err() error { return r.err }

func (r *Raft) fail(format string, args ...any) {
	if r.err == nil {
		r.err = errors.Errorf("consensus: "+format, args...)
	}
}

// Tick advances the time by n ticks. After a pause of the process n may be large.
func (r *Raft) Tick(n int) {
	if r.err != nil || n <= 0 {
		return
	}
	r.electionElapsed += n
	r.reads.expire(n, r.cfg.ElectionTicks)
	if r.role == Leader {
		r.tickLeader(n)
		return
	}
	if r.electionElapsed >= r.timeout {
		r.resetTimeout()
		if r.electable() {
			r.preCampaign()
		} else {
			r.setLeader(0)
		}
	}
}

// Step handles a message from another member.
func (r *Raft) Step(msg Message) {
	if r.err != nil || msg.To != r.cfg.ID {
		return
	}
	if !r.diskMatches(msg) {
		// A reply of the same kind is not answered, so that two members do not
		// answer each other forever.
		if msg.Kind != KindPreVoteReply {
			r.send(Message{Kind: KindPreVoteReply, To: msg.From, Reject: true, Removed: true, Context: msg.Disk})
		}
		return
	}
	switch msg.Kind {
	case KindRead:
		r.handleRead(msg)
		return
	case KindReadReply:
		r.reads.completeForwarded(msg)
		return
	case KindPreVote:
		r.handlePreVote(msg)
		return
	}
	if msg.Term > r.term && !r.handleHigherTerm(msg) {
		return
	}
	if msg.Term < r.term {
		// A leader of a lower term must learn the higher term. Otherwise a member
		// that increased its term on its own could never rejoin.
		if msg.Kind == KindAppend || msg.Kind == KindSnapshot {
			r.send(Message{Kind: KindAppendReply, To: msg.From, Index: msg.Index, Reject: true})
		}
		return
	}
	switch msg.Kind {
	case KindPreVoteReply, KindVoteReply:
		r.handleVoteReply(msg)
	case KindVote:
		r.handleVote(msg)
	case KindAppend:
		r.handleAppend(msg)
	case KindAppendReply:
		r.handleAppendReply(msg)
	case KindSnapshot:
		r.handleSnapshot(msg)
	}
}

// diskMatches reports whether the sender has the disk that the log binds to its
// id.
func (r *Raft) diskMatches(msg Message) bool {
	member, ok := r.Members().Find(msg.From)
	return !ok || r.faults.ignoreDisk || member.Disk == 0 || member.Disk == msg.Disk
}

func (r *Raft) send(msg Message) {
	msg.From, msg.Disk = r.cfg.ID, r.cfg.Disk
	if msg.Term == 0 {
		msg.Term = r.term
	}
	r.outbox = append(r.outbox, msg)
}

// Propose appends a command to the log and returns its index and term. It fails
// on a member that is not the leader.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.err != nil || r.role != Leader || r.steppingDown {
		return 0, 0, ErrNotLeader
	}
	if r.log.last()-r.commit >= uint64(r.cfg.MaxUncommitted) {
		return 0, 0, ErrOverloaded
	}
	return r.appendAsLeader(Entry{Kind: EntryCommand, Data: data}), r.term, nil
}

func (r *Raft) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = r.log.last()+1, r.term
	r.log.append(e)
	if e.Kind == EntryMembers {
		r.syncPeers()
	}
	return e.Index
}

// TakeOutput returns the work that accumulated since the previous call.
func (r *Raft) TakeOutput() Output {
	var out Output
	if r.err != nil {
		return out
	}
	r.flush()
	out.Write = r.takeWrite()
	out.Messages = r.takeMessages()
	if r.faults.dropSync {
		r.completeWrites(r.seq)
	}
	r.takeApply(&out)
	out.Reads = r.reads.take()
	return out
}

func (r *Raft) takeWrite() *Write {
	w := &Write{}
	if hard := (HardState{r.term, r.vote}); hard != r.hardWritten {
		w.Hard, r.hardWritten = &hard, hard
	}
	if r.writeSnapshot {
		w.Snapshot, r.writeSnapshot = r.snapshot, false
	}
	if r.log.last() > r.written {
		w.Entries = r.log.slice(r.written+1, r.log.last(), 1<<62)
		r.written = r.log.last()
	}
	if w.Hard == nil && w.Snapshot == nil && w.Entries == nil {
		return nil
	}
	r.seq++
	w.Seq = r.seq
	r.pendingWrites = append(r.pendingWrites, pendingWrite{w.Seq, r.log.last(), r.log.lastTerm()})
	return w
}

// takeMessages returns the messages that do not depend on unsynced data. Only a
// leader's messages may leave before a sync: its term is already synced, and its
// own entries count towards the quorum only once they are synced.
func (r *Raft) takeMessages() []Message {
	var out []Message
	for _, msg := range r.outbox {
		beforeSync := msg.Kind == KindAppend || msg.Kind == KindSnapshot || msg.Kind == KindRead || msg.Kind == KindReadReply
		if beforeSync || (r.seq == r.syncedSeq && msg.To != r.cfg.ID) {
			out = append(out, msg)
			continue
		}
		r.pendingMessages = append(r.pendingMessages, pendingMessage{r.seq, msg})
	}
	r.outbox = r.outbox[:0]
	n := 0
	for n < len(r.pendingMessages) && r.pendingMessages[n].seq <= r.syncedSeq {
		if r.pendingMessages[n].msg.To != r.cfg.ID {
			out = append(out, r.pendingMessages[n].msg)
		}
		n++
	}
	r.pendingMessages = append([]pendingMessage(nil), r.pendingMessages[n:]...)
	return out
}

// Synced marks all writes up to a sequence number as durable.
func (r *Raft) Synced(seq uint64) {
	if r.err == nil {
		r.completeWrites(seq)
	}
}

func (r *Raft) completeWrites(seq uint64) {
	n := 0
	for ; n < len(r.pendingWrites) && r.pendingWrites[n].seq <= seq; n++ {
		w := r.pendingWrites[n]
		// The entry may have been replaced in the log since the write.
		if w.index > r.stable && r.log.matches(w.index, w.term) {
			r.stable = w.index
		}
		r.syncedSeq = w.seq
	}
	r.pendingWrites = r.pendingWrites[n:]
	for _, h := range r.pendingMessages {
		if h.seq <= r.syncedSeq && h.msg.To == r.cfg.ID {
			r.Step(h.msg)
		}
	}
	r.advanceCommit()
}

// takeApply adds the snapshot to install and the committed entries that are synced
// on this member to an output.
func (r *Raft) takeApply(out *Output) {
	if r.snapshot != nil && r.applied < r.snapshot.Index && r.stable >= r.snapshot.Index {
		out.Install, r.applied = r.snapshot, r.snapshot.Index
	}
	to := min(r.commit, r.stable)
	if to > r.applied {
		out.Committed = r.log.slice(r.applied+1, to, 1<<62)
		r.applied = to
	}
}

// Status is the state of a member, for operators and tests.
type Status struct {
	ID                          MemberID
	Term                        uint64
	Role                        Role
	Leader                      MemberID
	Last, Commit, Applied       uint64
	SnapshotIndex               uint64
	LogEntries, LogBytes        int
	SnapshotBytes               int
	Removed, LostDisk, Learning bool
	// ElectionsLost counts this member's elections that ended without a majority.
	// Supporters are the voters that granted their vote in the last of them.
	ElectionsLost uint64
	Supporters    []MemberID
}

// Status returns the current status.
func (r *Raft) Status() Status {
	s := Status{ID: r.cfg.ID, Term: r.term, Role: r.role, Leader: r.leader, Last: r.log.last(), Commit: r.commit,
		Applied: r.applied, LogEntries: len(r.log.entries), LogBytes: r.log.bytes,
		Removed: r.removed || r.wasRemoved(r.cfg.ID), ElectionsLost: r.electionsLost, Supporters: r.supporters}
	if r.snapshot != nil {
		s.SnapshotIndex, s.SnapshotBytes = r.snapshot.Index, len(r.snapshot.Data)
	}
	self, ok := r.Members().Find(r.cfg.ID)
	s.LostDisk = ok && self.Disk != 0 && self.Disk != r.cfg.Disk
	s.Learning = ok && self.Learner
	return s
}

func (r *Raft) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(r.peers))
	for id := range r.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
