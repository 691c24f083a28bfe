package consensus

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
)

// testDisk holds what a host synced, and for the checks all that it ever synced.
type testDisk struct {
	hard    HardState
	snap    *Snapshot
	entries []Entry
	held    map[[2]uint64]bool
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
		d.held[[2]uint64{e.Index, e.Term}] = true
	}
}

func (d *testDisk) holds(index, term uint64) bool {
	return d.held[[2]uint64{index, term}] || (d.snap != nil && d.snap.Index >= index)
}

type testHost struct {
	id       MemberID
	m        *Machine
	diskID   uint64
	disk     *testDisk
	writes   []*Write
	up, lost bool
	initial  []Member
	applied  uint64
	value    string
	last     Status
}

// cluster runs hosts over a simulated network and disks and panics with a
// violation when an invariant does not hold.
type cluster struct {
	rng     *rand.Rand
	faults  faults
	hosts   map[MemberID]*testHost
	disks   map[uint64]*testDisk
	flight  []Message
	cut     map[[2]MemberID]bool
	step    int
	nextID  MemberID
	leaders map[uint64]MemberID
	// chosen[i] is the committed entry i+1, states[i] the state after it.
	chosen  []Entry
	states  []string
	state   string
	known   map[[2]uint64][2]uint64
	members Members
	preOK   map[[3]uint64]bool
	client  history
	// stalled counts the ticks that a host with a stalled ticker missed.
	stalled map[MemberID]int
	// rejoined is set when a lost id started again with a blank disk.
	rejoined bool
	// demotes tells that the leader takes votes away at times.
	demotes bool
}

type violation string

func (c *cluster) violate(format string, args ...any) {
	panic(violation(fmt.Sprintf("step %d: ", c.step) + fmt.Sprintf(format, args...)))
}

func newCluster(seed int64, size int, f faults) *cluster {
	c := &cluster{rng: rand.New(rand.NewSource(seed)), faults: f, hosts: map[MemberID]*testHost{},
		disks: map[uint64]*testDisk{}, cut: map[[2]MemberID]bool{}, leaders: map[uint64]MemberID{},
		known: map[[2]uint64][2]uint64{}, preOK: map[[3]uint64]bool{}, stalled: map[MemberID]int{}}
	initial := make([]Member, size)
	for i := range initial {
		initial[i].ID = MemberID(i + 1)
	}
	c.members = newMembers(initial)
	for _, m := range initial {
		c.spawn(m.ID, initial)
	}
	return c
}

// spawn starts a host with a blank disk.
func (c *cluster) spawn(id MemberID, initial []Member) *testHost {
	h := &testHost{id: id, initial: initial, diskID: c.rng.Uint64() | 1,
		disk: &testDisk{held: map[[2]uint64]bool{}, voted: map[uint64]MemberID{}}}
	c.disks[h.diskID], c.hosts[id] = h.disk, h
	c.nextID = max(c.nextID, id)
	c.start(h)
	return h
}

func (c *cluster) start(h *testHost) {
	m, err := New(Config{ID: h.id, Disk: h.diskID, Initial: h.initial, ElectionTicks: 6, HeartbeatTicks: 2,
		MaxMessageBytes: 700, MaxMembers: 5, MaxVoters: 4, MaxInflight: 8, MaxUncommitted: 30, KeepEntries: 4, Rand: rand.New(rand.NewSource(c.rng.Int63()))},
		PersistedState{h.disk.hard, h.disk.snap, append([]Entry(nil), h.disk.entries...)})
	if err != nil {
		c.violate("start %d: %v", h.id, err)
	}
	m.faults = c.faults
	h.m, h.up, h.applied, h.value, h.writes, h.last = m, true, 0, "", nil, m.Status()
	c.settle(h)
}

func (c *cluster) restart(h *testHost) {
	if !h.up && !h.lost {
		c.start(h)
	}
}

// crash keeps a random number of the pending writes.
func (c *cluster) crash(h *testHost) {
	for _, w := range h.writes[:c.rng.Intn(len(h.writes)+1)] {
		h.disk.write(w)
	}
	h.up, h.writes = false, nil
	c.client.crashed(h.id)
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
	h.m.Synced(seq)
	c.settle(h)
}

func (c *cluster) deliver(msg Message) {
	h := c.hosts[msg.To]
	if h == nil || !h.up || c.cut[[2]MemberID{msg.From, msg.To}] {
		return
	}
	if msg.Kind == KindPreVote && h.m.logUpToDate(msg.Index, msg.LogTerm) {
		c.preOK[[3]uint64{uint64(msg.To), uint64(msg.From), msg.Term}] = true
	}
	h.m.Step(msg)
	c.settle(h)
}

func (c *cluster) tick(h *testHost, n int) {
	if h.up {
		h.m.Tick(n)
		c.settle(h)
	}
}

// settle collects a host's output and checks the invariants.
func (c *cluster) settle(h *testHost) {
	c.checkStatus(h) // before Take, which may append a membership
	out := h.m.TakeOutput()
	if err := h.m.Err(); err != nil {
		c.violate("host %d: %v", h.id, err)
	}
	if out.Write != nil {
		h.writes = append(h.writes, out.Write)
		c.checkEntries(h, out.Write.Entries)
	}
	c.flight = append(c.flight, out.Messages...)
	c.checkStatus(h)
	if out.Install != nil {
		c.install(h, out.Install)
	}
	for _, e := range out.Committed {
		c.apply(h, e)
	}
	for _, r := range out.Reads {
		c.client.readState(c, h, r)
	}
	c.client.progress(c, h)
}

// checkEntries checks log matching: an index and a term name one entry with one
// predecessor.
func (c *cluster) checkEntries(h *testHost, entries []Entry) {
	for _, e := range entries {
		prev, _ := h.m.log.term(e.Index - 1)
		value, _ := strconv.ParseUint(string(e.Data), 10, 64)
		got := [2]uint64{prev, value}
		key := [2]uint64{e.Index, e.Term}
		if old, ok := c.known[key]; ok && old != got {
			c.violate("log matching: host %d entry %v is %v, elsewhere %v", h.id, key, got, old)
		}
		c.known[key] = got
	}
}

func (c *cluster) checkStatus(h *testHost) {
	s := h.m.Status()
	if s.Term != h.last.Term && (s.Role == Candidate || s.Role == Leader) {
		c.majority(h, "started an election without support", func(m Member) bool {
			return m.ID == h.id || c.preOK[[3]uint64{uint64(m.ID), uint64(h.id), s.Term}]
		})
	}
	if s.Role == Leader && (h.last.Role != Leader || s.Term != h.last.Term) {
		c.checkLeader(h, s)
	}
	if s.Commit < h.last.Commit || s.Term < h.last.Term {
		c.violate("host %d went back from %+v to %+v", h.id, h.last, s)
	}
	for i := h.last.Commit + 1; i <= s.Commit; i++ {
		c.checkCommit(h, i)
	}
	if s.Role == Leader && s.Commit > h.last.Commit {
		c.majority(h, "committed without a synced majority", func(m Member) bool {
			term, _ := h.m.log.term(s.Commit)
			return c.disks[m.Disk] != nil && c.disks[m.Disk].holds(s.Commit, term)
		})
	}
	h.last = s
}

func (c *cluster) majority(h *testHost, what string, has func(Member) bool) {
	n, voters := 0, h.m.Members().Voters()
	for _, m := range h.m.Members().List {
		if !m.Learner && has(m) {
			n++
		}
	}
	if n <= voters/2 {
		c.violate("host %d %s: %d of %d voters", h.id, what, n, voters)
	}
}

func (c *cluster) checkLeader(h *testHost, s Status) {
	if other, ok := c.leaders[s.Term]; ok && other != h.id {
		c.violate("hosts %d and %d both lead term %d", other, h.id, s.Term)
	}
	c.leaders[s.Term] = h.id
	c.majority(h, "leads without synced votes", func(m Member) bool {
		return c.disks[m.Disk] != nil && c.disks[m.Disk].voted[s.Term] == h.id
	})
	for i := len(c.chosen); i > 0 && uint64(i) > h.m.log.offset; i-- {
		if e := c.chosen[i-1]; !h.m.log.matches(e.Index, e.Term) {
			c.violate("leader %d of term %d lacks committed entry %d of term %d", h.id, s.Term, e.Index, e.Term)
		}
	}
}

func (c *cluster) checkCommit(h *testHost, index uint64) {
	if index <= uint64(len(c.chosen)) {
		if e := c.chosen[index-1]; index > h.m.log.offset && !h.m.log.matches(index, e.Term) {
			c.violate("host %d committed another entry at %d", h.id, index)
		}
		return
	}
	e := h.m.log.entries[index-h.m.log.offset-1]
	c.chosen = append(c.chosen, e)
	if e.Kind == EntryCommand {
		c.state = string(e.Data)
	} else if e.Kind == EntryMembers {
		c.members = *e.Members
	}
	c.states = append(c.states, c.state)
}

func (c *cluster) install(h *testHost, s *Snapshot) {
	if s.Index <= h.applied || string(s.Data) != c.states[s.Index-1] {
		c.violate("host %d installed snapshot %d after %d", h.id, s.Index, h.applied)
	}
	h.applied, h.value = s.Index, string(s.Data)
}

func (c *cluster) apply(h *testHost, e Entry) {
	if e.Index != h.applied+1 || e.Term != c.chosen[e.Index-1].Term {
		c.violate("host %d applied %d of term %d after %d", h.id, e.Index, e.Term, h.applied)
	}
	h.applied = e.Index
	if e.Kind == EntryCommand {
		h.value = string(e.Data)
	}
	c.client.applied(c, h, e)
}

func (c *cluster) ids() []MemberID { return slices.Sorted(maps.Keys(c.hosts)) }

// leader returns the running leader of the latest term, or nil.
func (c *cluster) leader() *testHost {
	var best *testHost
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.up && h.m.role == Leader && (best == nil || h.m.term > best.m.term) {
			best = h
		}
	}
	return best
}

// calm runs the hosts without faults for some rounds, or until done.
func (c *cluster) calm(rounds int, done func() bool) bool {
	for ; rounds > 0; rounds-- {
		for _, id := range c.ids() {
			c.tick(c.hosts[id], 1)
		}
		for i := 0; i < 6; i++ {
			batch := c.flight
			c.flight = nil
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

// isolate cuts both directions between a host and all others.
func (c *cluster) isolate(id MemberID, cut bool) {
	for _, other := range c.ids() {
		c.cut[[2]MemberID{id, other}], c.cut[[2]MemberID{other, id}] = cut, cut
	}
}
