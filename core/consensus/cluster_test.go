package consensus

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
)

// testDisk holds what a host synced. For the checks it also holds every entry and
// vote that was ever synced.
type testDisk struct {
	hard    HardState
	snap    *Snapshot
	entries []Entry
	synced  map[[2]uint64]bool
	voted   map[uint64]MemberID
}

func (d *testDisk) write(w *Write) {
	if w.Hard != nil {
		d.hard = *w.Hard
		d.voted[d.hard.Term] = d.hard.Vote
	}
	if s := w.Snapshot; s != nil {
		i := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index == s.Index && e.Term == s.Term })
		if i < 0 {
			i = len(d.entries) - 1
		}
		d.snap, d.entries = s, slices.Clone(d.entries[i+1:])
	}
	if len(w.Entries) > 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= w.Entries[0].Index })
	}
	for _, e := range w.Entries {
		d.entries = append(d.entries, e)
		d.synced[[2]uint64{e.Index, e.Term}] = true
	}
}

// hasSynced reports whether an entry was ever synced, or is covered by the snapshot.
func (d *testDisk) hasSynced(index, term uint64) bool {
	return d.synced[[2]uint64{index, term}] || (d.snap != nil && d.snap.Index >= index)
}

// testHost is a host of a cluster. Its value is the state at index applied.
type testHost struct {
	id           MemberID
	raft         *Raft
	diskID       uint64
	disk         *testDisk
	writes       []*Write
	up, diskLost bool
	initial      []Member
	applied      uint64
	value        string
	lastStatus   Status
}

// cluster runs hosts with a simulated network and simulated disks, and panics with
// a violation if an invariant does not hold.
type cluster struct {
	rng          *rand.Rand
	faults       faults
	hosts        map[MemberID]*testHost
	disks        map[uint64]*testDisk
	inFlight     []Message
	blockedLinks map[[2]MemberID]bool
	step         int
	nextID       MemberID
	leaders      map[uint64]MemberID
	// committed[i] is the committed entry i+1, statesAfter[i] the state after it.
	committed      []Entry
	statesAfter    []string
	state          string
	knownEntries   map[[2]uint64][2]uint64
	members        Members
	preVoteSupport map[[3]uint64]bool
	history        history
	// stalled holds the number of missed ticks of each host whose ticker is stalled.
	stalled map[MemberID]int
	// rejoined is set once a lost id has restarted with a blank disk.
	rejoined bool
	// demotionsEnabled is set if the leader demotes voters at random.
	demotionsEnabled bool
}

// violation describes an invariant that does not hold.
type violation string

func (c *cluster) reportViolation(format string, args ...any) {
	panic(violation(fmt.Sprintf("step %d: ", c.step) + fmt.Sprintf(format, args...)))
}

func newCluster(seed int64, size int, f faults) *cluster {
	c := &cluster{rng: rand.New(rand.NewSource(seed)), faults: f, hosts: map[MemberID]*testHost{},
		disks: map[uint64]*testDisk{}, blockedLinks: map[[2]MemberID]bool{}, leaders: map[uint64]MemberID{},
		knownEntries: map[[2]uint64][2]uint64{}, preVoteSupport: map[[3]uint64]bool{}, stalled: map[MemberID]int{}}
	initial := make([]Member, size)
	for i := range initial {
		initial[i].ID = MemberID(i + 1)
	}
	c.members = newMembers(initial)
	for _, m := range initial {
		c.startNewHost(m.ID, initial)
	}
	return c
}

// startNewHost starts a new host with a blank disk.
func (c *cluster) startNewHost(id MemberID, initial []Member) *testHost {
	h := &testHost{id: id, initial: initial, diskID: c.rng.Uint64() | 1,
		disk: &testDisk{synced: map[[2]uint64]bool{}, voted: map[uint64]MemberID{}}}
	c.disks[h.diskID], c.hosts[id] = h.disk, h
	c.nextID = max(c.nextID, id)
	c.start(h)
	return h
}

func (c *cluster) start(h *testHost) {
	raft, err := New(Config{ID: h.id, Disk: h.diskID, Initial: h.initial, ElectionTicks: 6, HeartbeatTicks: 2,
		MaxMessageBytes: 700, MaxMembers: 5, MaxVoters: 4, MaxInflight: 8, MaxUncommitted: 30, KeepEntries: 4,
		Rand: rand.New(rand.NewSource(c.rng.Int63()))},
		PersistedState{h.disk.hard, h.disk.snap, append([]Entry(nil), h.disk.entries...)})
	if err != nil {
		c.reportViolation("start %d: %v", h.id, err)
	}
	raft.faults = c.faults
	h.raft, h.up, h.applied, h.value, h.writes, h.lastStatus = raft, true, 0, "", nil, raft.Status()
	c.processOutput(h)
}

func (c *cluster) restart(h *testHost) {
	if !h.up && !h.diskLost {
		c.start(h)
	}
}

// crash stops a host. A random number of its pending writes reach the disk.
func (c *cluster) crash(h *testHost) {
	for _, w := range h.writes[:c.rng.Intn(len(h.writes)+1)] {
		h.disk.write(w)
	}
	h.up, h.writes = false, nil
	c.history.crashed(h.id)
}

func (c *cluster) sync(h *testHost) {
	if !h.up || len(h.writes) == 0 {
		return
	}
	n := 1 + c.rng.Intn(len(h.writes))
	for _, w := range h.writes[:n] {
		h.disk.write(w)
	}
	seq := h.writes[n-1].Seq
	h.writes = h.writes[n:]
	h.raft.Synced(seq)
	c.processOutput(h)
}

func (c *cluster) deliver(msg Message) {
	h := c.hosts[msg.To]
	if h == nil || !h.up || c.blockedLinks[[2]MemberID{msg.From, msg.To}] {
		return
	}
	if msg.Kind == KindPreVote && h.raft.logUpToDate(msg.Index, msg.LogTerm) {
		c.preVoteSupport[[3]uint64{uint64(msg.To), uint64(msg.From), msg.Term}] = true
	}
	h.raft.Step(msg)
	c.processOutput(h)
}

func (c *cluster) tick(h *testHost, n int) {
	if h.up {
		h.raft.Tick(n)
		c.processOutput(h)
	}
}

// processOutput takes a host's output and checks the invariants.
func (c *cluster) processOutput(h *testHost) {
	c.checkStatus(h) // before TakeOutput, which may append a membership
	out := h.raft.TakeOutput()
	if err := h.raft.Err(); err != nil {
		c.reportViolation("host %d: %v", h.id, err)
	}
	if out.Write != nil {
		h.writes = append(h.writes, out.Write)
		c.checkEntries(h, out.Write.Entries)
	}
	c.inFlight = append(c.inFlight, out.Messages...)
	c.checkStatus(h)
	if out.Install != nil {
		c.install(h, out.Install)
	}
	for _, e := range out.Committed {
		c.apply(h, e)
	}
	for _, r := range out.Reads {
		c.history.readState(c, h, r)
	}
	c.history.progress(c, h)
}

// checkEntries checks the log matching property: an index and a term identify one
// entry and its predecessor on all hosts.
func (c *cluster) checkEntries(h *testHost, entries []Entry) {
	for _, e := range entries {
		prev, _ := h.raft.log.term(e.Index - 1)
		value, _ := strconv.ParseUint(string(e.Data), 10, 64)
		got := [2]uint64{prev, value}
		key := [2]uint64{e.Index, e.Term}
		if old, ok := c.knownEntries[key]; ok && old != got {
			c.reportViolation("log matching: host %d entry %v is %v, elsewhere %v", h.id, key, got, old)
		}
		c.knownEntries[key] = got
	}
}

func (c *cluster) checkStatus(h *testHost) {
	s := h.raft.Status()
	if s.Term != h.lastStatus.Term && (s.Role == Candidate || s.Role == Leader) {
		c.requireMajority(h, "started an election without support", func(m Member) bool {
			return m.ID == h.id || c.preVoteSupport[[3]uint64{uint64(m.ID), uint64(h.id), s.Term}]
		})
	}
	if s.Role == Leader && (h.lastStatus.Role != Leader || s.Term != h.lastStatus.Term) {
		c.checkLeader(h, s)
	}
	if s.Commit < h.lastStatus.Commit || s.Term < h.lastStatus.Term {
		c.reportViolation("commit index or term of host %d decreased from %+v to %+v", h.id, h.lastStatus, s)
	}
	for i := h.lastStatus.Commit + 1; i <= s.Commit; i++ {
		c.checkCommit(h, i)
	}
	if s.Role == Leader && s.Commit > h.lastStatus.Commit {
		c.requireMajority(h, "committed without a synced majority", func(m Member) bool {
			term, _ := h.raft.log.term(s.Commit)
			return c.disks[m.Disk] != nil && c.disks[m.Disk].hasSynced(s.Commit, term)
		})
	}
	h.lastStatus = s
}

func (c *cluster) requireMajority(h *testHost, what string, has func(Member) bool) {
	n, voters := 0, h.raft.Members().Voters()
	for _, m := range h.raft.Members().List {
		if !m.Learner && has(m) {
			n++
		}
	}
	if n <= voters/2 {
		c.reportViolation("host %d %s: %d of %d voters", h.id, what, n, voters)
	}
}

func (c *cluster) checkLeader(h *testHost, s Status) {
	if other, ok := c.leaders[s.Term]; ok && other != h.id {
		c.reportViolation("hosts %d and %d both lead term %d", other, h.id, s.Term)
	}
	c.leaders[s.Term] = h.id
	c.requireMajority(h, "leads without synced votes", func(m Member) bool {
		return c.disks[m.Disk] != nil && c.disks[m.Disk].voted[s.Term] == h.id
	})
	for i := len(c.committed); i > 0 && uint64(i) > h.raft.log.offset; i-- {
		if e := c.committed[i-1]; !h.raft.log.matches(e.Index, e.Term) {
			c.reportViolation("leader %d of term %d lacks committed entry %d of term %d", h.id, s.Term, e.Index, e.Term)
		}
	}
}

func (c *cluster) checkCommit(h *testHost, index uint64) {
	if index <= uint64(len(c.committed)) {
		if e := c.committed[index-1]; index > h.raft.log.offset && !h.raft.log.matches(index, e.Term) {
			c.reportViolation("host %d committed another entry at %d", h.id, index)
		}
		return
	}
	e := h.raft.log.entries[index-h.raft.log.offset-1]
	c.committed = append(c.committed, e)
	if e.Kind == EntryCommand {
		c.state = string(e.Data)
	} else if e.Kind == EntryMembers {
		c.members = *e.Members
	}
	c.statesAfter = append(c.statesAfter, c.state)
}

func (c *cluster) install(h *testHost, s *Snapshot) {
	if s.Index <= h.applied || string(s.Data) != c.statesAfter[s.Index-1] {
		c.reportViolation("host %d installed snapshot %d after %d", h.id, s.Index, h.applied)
	}
	h.applied, h.value = s.Index, string(s.Data)
}

func (c *cluster) apply(h *testHost, e Entry) {
	if e.Index != h.applied+1 || e.Term != c.committed[e.Index-1].Term {
		c.reportViolation("host %d applied %d of term %d after %d", h.id, e.Index, e.Term, h.applied)
	}
	h.applied = e.Index
	if e.Kind == EntryCommand {
		h.value = string(e.Data)
	}
	c.history.applied(c, h, e)
}

func (c *cluster) ids() []MemberID { return slices.Sorted(maps.Keys(c.hosts)) }

// leader returns the running leader with the highest term, or nil.
func (c *cluster) leader() *testHost {
	var best *testHost
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.up && h.raft.role == Leader && (best == nil || h.raft.term > best.raft.term) {
			best = h
		}
	}
	return best
}

// runWithoutFaults runs the hosts without faults for a number of rounds, or until
// done. It reports whether done returned true, and true if done is nil.
func (c *cluster) runWithoutFaults(rounds int, done func() bool) bool {
	for ; rounds > 0; rounds-- {
		for _, id := range c.ids() {
			c.tick(c.hosts[id], 1)
		}
		for i := 0; i < 6; i++ {
			batch := c.inFlight
			c.inFlight = nil
			for _, msg := range batch {
				c.deliver(msg)
			}
			for _, id := range c.ids() {
				c.sync(c.hosts[id])
			}
		}
		c.step++
		if done != nil && done() {
			return true
		}
	}
	return done == nil
}

// isolate blocks or restores the links between a host and all others, in both
// directions.
func (c *cluster) isolate(id MemberID, blocked bool) {
	for _, other := range c.ids() {
		c.blockedLinks[[2]MemberID{id, other}], c.blockedLinks[[2]MemberID{other, id}] = blocked, blocked
	}
}
