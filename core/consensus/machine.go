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

// Machine is one member of the group.
type Machine struct {
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
func New(cfg Config, r PersistedState) (*Machine, error) {
	cfg.setDefaults()
	if cfg.ID == 0 || cfg.Disk == 0 || cfg.Rand == nil {
		return nil, errors.New("consensus: member id, disk number and random source are required")
	}
	m := &Machine{cfg: cfg, term: r.Hard.Term, vote: r.Hard.Vote, hardWritten: r.Hard}
	m.log.configs = []membersAt{{0, newMembers(cfg.Initial)}}
	if r.Snapshot != nil {
		m.log.reset(r.Snapshot)
		m.snapshot = r.Snapshot
		m.commit = r.Snapshot.Index
	}
	for i := range r.Entries {
		if r.Entries[i].Index != m.log.last()+1 {
			return nil, errors.Errorf("consensus: restored entry %d follows entry %d", r.Entries[i].Index, m.log.last())
		}
		m.log.append(r.Entries[i])
	}
	m.written, m.stable = m.log.last(), m.log.last()
	m.reads.init(cfg.Rand)
	m.resetTimeout()
	return m, nil
}

// Err returns the violated invariant that stopped the member, or nil.
func (m *Machine) Err() error { return m.err }

func (m *Machine) fail(format string, args ...any) {
	if m.err == nil {
		m.err = errors.Errorf("consensus: "+format, args...)
	}
}

// Tick advances the time by n ticks. After a pause of the process n may be large.
func (m *Machine) Tick(n int) {
	if m.err != nil || n <= 0 {
		return
	}
	m.electionElapsed += n
	m.reads.expire(n, m.cfg.ElectionTicks)
	if m.role == Leader {
		m.tickLeader(n)
		return
	}
	if m.electionElapsed >= m.timeout {
		m.resetTimeout()
		if m.electable() {
			m.preCampaign()
		} else {
			m.setLeader(0)
		}
	}
}

// Step handles a message from another member.
func (m *Machine) Step(msg Message) {
	if m.err != nil || msg.To != m.cfg.ID {
		return
	}
	if !m.diskMatches(msg) {
		// A reply of the same kind is not answered, so that two members do not
		// answer each other forever.
		if msg.Kind != KindPreVoteReply {
			m.send(Message{Kind: KindPreVoteReply, To: msg.From, Reject: true, Removed: true, Context: msg.Disk})
		}
		return
	}
	switch msg.Kind {
	case KindRead:
		m.handleRead(msg)
		return
	case KindReadReply:
		m.reads.completeForwarded(msg)
		return
	case KindPreVote:
		m.handlePreVote(msg)
		return
	}
	if msg.Term > m.term && !m.handleHigherTerm(msg) {
		return
	}
	if msg.Term < m.term {
		// A leader of a lower term must learn the higher term. Otherwise a member
		// that increased its term on its own could never rejoin.
		if msg.Kind == KindAppend || msg.Kind == KindSnapshot {
			m.send(Message{Kind: KindAppendReply, To: msg.From, Index: msg.Index, Reject: true})
		}
		return
	}
	switch msg.Kind {
	case KindPreVoteReply, KindVoteReply:
		m.handleVoteReply(msg)
	case KindVote:
		m.handleVote(msg)
	case KindAppend:
		m.handleAppend(msg)
	case KindAppendReply:
		m.handleAppendReply(msg)
	case KindSnapshot:
		m.handleSnapshot(msg)
	}
}

// diskMatches reports whether the sender has the disk that the log binds to its
// id.
func (m *Machine) diskMatches(msg Message) bool {
	member, ok := m.Members().Find(msg.From)
	return !ok || m.faults.ignoreDisk || member.Disk == 0 || member.Disk == msg.Disk
}

func (m *Machine) send(msg Message) {
	msg.From, msg.Disk = m.cfg.ID, m.cfg.Disk
	if msg.Term == 0 {
		msg.Term = m.term
	}
	m.outbox = append(m.outbox, msg)
}

// Propose appends a command to the log and returns its index and term. It fails
// on a member that is not the leader.
func (m *Machine) Propose(data []byte) (index, term uint64, err error) {
	if m.err != nil || m.role != Leader || m.steppingDown {
		return 0, 0, ErrNotLeader
	}
	if m.log.last()-m.commit >= uint64(m.cfg.MaxUncommitted) {
		return 0, 0, ErrOverloaded
	}
	return m.appendAsLeader(Entry{Kind: EntryCommand, Data: data}), m.term, nil
}

func (m *Machine) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = m.log.last()+1, m.term
	m.log.append(e)
	if e.Kind == EntryMembers {
		m.syncPeers()
	}
	return e.Index
}

// TakeOutput returns the work that accumulated since the previous call.
func (m *Machine) TakeOutput() Output {
	var out Output
	if m.err != nil {
		return out
	}
	m.flush()
	out.Write = m.takeWrite()
	out.Messages = m.takeMessages()
	if m.faults.dropSync {
		m.completeWrites(m.seq)
	}
	m.takeApply(&out)
	out.Reads = m.reads.take()
	return out
}

func (m *Machine) takeWrite() *Write {
	w := &Write{}
	if hard := (HardState{m.term, m.vote}); hard != m.hardWritten {
		w.Hard, m.hardWritten = &hard, hard
	}
	if m.writeSnapshot {
		w.Snapshot, m.writeSnapshot = m.snapshot, false
	}
	if m.log.last() > m.written {
		w.Entries = m.log.slice(m.written+1, m.log.last(), 1<<62)
		m.written = m.log.last()
	}
	if w.Hard == nil && w.Snapshot == nil && w.Entries == nil {
		return nil
	}
	m.seq++
	w.Seq = m.seq
	m.pendingWrites = append(m.pendingWrites, pendingWrite{w.Seq, m.log.last(), m.log.lastTerm()})
	return w
}

// takeMessages returns the messages that do not depend on unsynced data. Only a
// leader's messages may leave before a sync: its term is already synced, and its
// own entries count towards the quorum only once they are synced.
func (m *Machine) takeMessages() []Message {
	var out []Message
	for _, msg := range m.outbox {
		beforeSync := msg.Kind == KindAppend || msg.Kind == KindSnapshot || msg.Kind == KindRead || msg.Kind == KindReadReply
		if beforeSync || (m.seq == m.syncedSeq && msg.To != m.cfg.ID) {
			out = append(out, msg)
			continue
		}
		m.pendingMessages = append(m.pendingMessages, pendingMessage{m.seq, msg})
	}
	m.outbox = m.outbox[:0]
	n := 0
	for n < len(m.pendingMessages) && m.pendingMessages[n].seq <= m.syncedSeq {
		if m.pendingMessages[n].msg.To != m.cfg.ID {
			out = append(out, m.pendingMessages[n].msg)
		}
		n++
	}
	m.pendingMessages = append([]pendingMessage(nil), m.pendingMessages[n:]...)
	return out
}

// Synced marks all writes up to a sequence number as durable.
func (m *Machine) Synced(seq uint64) {
	if m.err == nil {
		m.completeWrites(seq)
	}
}

func (m *Machine) completeWrites(seq uint64) {
	n := 0
	for ; n < len(m.pendingWrites) && m.pendingWrites[n].seq <= seq; n++ {
		w := m.pendingWrites[n]
		// The entry may have been replaced in the log since the write.
		if w.index > m.stable && m.log.matches(w.index, w.term) {
			m.stable = w.index
		}
		m.syncedSeq = w.seq
	}
	m.pendingWrites = m.pendingWrites[n:]
	for _, h := range m.pendingMessages {
		if h.seq <= m.syncedSeq && h.msg.To == m.cfg.ID {
			m.Step(h.msg)
		}
	}
	m.advanceCommit()
}

// takeApply adds the snapshot to install and the committed entries that are synced
// on this member to an output.
func (m *Machine) takeApply(out *Output) {
	if m.snapshot != nil && m.applied < m.snapshot.Index && m.stable >= m.snapshot.Index {
		out.Install, m.applied = m.snapshot, m.snapshot.Index
	}
	to := min(m.commit, m.stable)
	if to > m.applied {
		out.Committed = m.log.slice(m.applied+1, to, 1<<62)
		m.applied = to
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
func (m *Machine) Status() Status {
	s := Status{ID: m.cfg.ID, Term: m.term, Role: m.role, Leader: m.leader, Last: m.log.last(), Commit: m.commit,
		Applied: m.applied, LogEntries: len(m.log.entries), LogBytes: m.log.bytes,
		Removed: m.removed || m.wasRemoved(m.cfg.ID), ElectionsLost: m.electionsLost, Supporters: m.supporters}
	if m.snapshot != nil {
		s.SnapshotIndex, s.SnapshotBytes = m.snapshot.Index, len(m.snapshot.Data)
	}
	self, ok := m.Members().Find(m.cfg.ID)
	s.LostDisk = ok && self.Disk != 0 && self.Disk != m.cfg.Disk
	s.Learning = ok && self.Learner
	return s
}

func (m *Machine) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
