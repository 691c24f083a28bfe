// Package execution keeps an agent's table of executions. The table decides which
// executions may start, and tells whether an execution has run.
//
// An execution starts at most once. A tombstone prevents a delayed start from
// running. Records expire after a retention time. For each entry host, the table
// then keeps the highest sequence number of its expired records as a watermark,
// and claims nothing about unknown executions up to it.
package execution

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Retention and limits of the table.
const (
	// Retention is how long the table keeps ended executions and tombstones. It is
	// much longer than the delay of a request on a connection, because a connection
	// is replaced after a few seconds of silence.
	Retention = 10 * time.Minute
	// MaxRecords limits the records of ended executions and tombstones.
	MaxRecords = 1 << 16
	// maxEntryHosts limits the entry hosts in the table. Hosts are replaced daily, so
	// those not seen for the retention time are evicted when the table is full.
	maxEntryHosts = 4096
)

// State is the state of one execution.
type State uint8

// States of an execution. A Waiting execution has not been sent to the backend
// server.
const (
	Waiting State = iota + 1
	Running
	Ended
	Tombstoned
)

// Record is the record of one execution.
type Record struct {
	ID      message.ExecutionID
	Caller  string
	State   State
	Verdict verdict.Verdict
	// changedAt is the time of the last change of State.
	changedAt time.Time
}

// entryHost is the state of one entry host. The watermark is the highest sequence
// number of its expired records of the incarnation.
type entryHost struct {
	incarnation message.Incarnation
	watermark   uint64
	lastSeen    time.Time
}

// Table holds the executions of one agent.
type Table struct {
	self        message.Incarnation
	draining    bool
	records     map[message.ExecutionID]*Record
	expiryQueue []message.ExecutionID
	entryHosts  map[string]*entryHost
	// evictedIncarnation is the highest incarnation of the evicted entry hosts. The
	// table claims nothing about unknown hosts up to this incarnation.
	evictedIncarnation message.Incarnation
	active             int
}

// New returns the Table of one incarnation of an agent.
func New(self message.Incarnation) *Table {
	return &Table{self: self, records: map[message.ExecutionID]*Record{}, entryHosts: map[string]*entryHost{}}
}

// Drain makes the table refuse new executions from now on.
func (t *Table) Drain() { t.draining = true }

// Draining reports whether Drain was called.
func (t *Table) Draining() bool { return t.draining }

// Active returns the number of waiting and running executions.
func (t *Table) Active() int { return t.active }

// Get returns the record of an execution.
func (t *Table) Get(id message.ExecutionID) (Record, bool) {
	r, ok := t.records[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Start decides whether an execution that is meant for the target incarnation may
// start. If refusal is nil, the execution is admitted and Waiting. If duplicate is
// set, it was admitted before and must not be started again.
func (t *Table) Start(
	now time.Time, id message.ExecutionID, caller string, target message.Incarnation,
) (duplicate bool, refusal *message.Refusal) {
	if r, ok := t.records[id]; ok {
		return t.checkDuplicate(r, caller)
	}
	if t.belowWatermark(id) {
		// The execution may have run and its record expired.
		return false, &message.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBuried,
			Message: "the execution is older than what the agent remembers"}
	}
	if target != t.self {
		return false, refuse(verdict.ReasonWrongIncarnation, "the start is meant for another incarnation of the agent")
	}
	if t.draining {
		return false, refuse(verdict.ReasonLeaving, "the agent is leaving")
	}
	t.expire(now)
	if !t.recordEntryHost(now, id) {
		return false, refuse(verdict.ReasonOverloaded, "the agent remembers too many entry hosts")
	}
	t.records[id] = &Record{ID: id, Caller: caller, State: Waiting, changedAt: now}
	t.active++
	return false, nil
}

func (t *Table) checkDuplicate(r *Record, caller string) (bool, *message.Refusal) {
	switch {
	case r.State == Tombstoned:
		return false, refuse(verdict.ReasonBuried, "a tombstone stands for the execution")
	case r.State == Ended && r.Verdict == verdict.NotRun:
		return false, refuse(verdict.ReasonDuplicate, "the execution ended before it ran")
	case r.Caller != caller:
		return false, &message.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDuplicate,
			Message: "the execution belongs to another caller"}
	}
	return true, nil
}

func refuse(reason verdict.Reason, text string) *message.Refusal {
	r := message.NewRefusal(reason, text, 0)
	return &r
}

// Dispatch marks a waiting execution as sent to the backend server. It returns
// false if the execution must no longer be sent.
func (t *Table) Dispatch(now time.Time, id message.ExecutionID) bool {
	r, ok := t.records[id]
	if !ok || r.State != Waiting {
		return false
	}
	r.State, r.changedAt = Running, now
	return true
}

// End marks an execution as ended with a verdict.
func (t *Table) End(now time.Time, id message.ExecutionID, v verdict.Verdict) {
	r, ok := t.records[id]
	if !ok || (r.State != Waiting && r.State != Running) {
		return
	}
	r.State, r.Verdict, r.changedAt = Ended, v, now
	t.active--
	t.expiryQueue = append(t.expiryQueue, id)
}

// PlaceTombstone places a tombstone for an execution that is meant for the target
// incarnation. If confirmed is set, the execution will not start from now on, and
// the verdict tells whether it may have run before. A waiting execution can no
// longer be dispatched.
func (t *Table) PlaceTombstone(
	now time.Time, id message.ExecutionID, target message.Incarnation,
) (confirmed bool, v verdict.Verdict) {
	r, known := t.records[id]
	switch {
	case known && r.State == Tombstoned:
		return true, verdict.NotRun
	case known && r.State == Running:
		// The verdict may still become NotRun, if the backend server proves
		// unreachable.
		return false, verdict.MayHaveRun
	case known && r.State == Ended:
		return true, r.Verdict
	case known:
		r.State, r.Verdict, r.changedAt = Tombstoned, verdict.NotRun, now
		t.active--
		t.expiryQueue = append(t.expiryQueue, id)
		return true, verdict.NotRun
	case t.belowWatermark(id), target != t.self:
		// An earlier incarnation of the agent may have run it, or its record expired.
		// It can no longer start here.
		return true, verdict.MayHaveRun
	}
	t.expire(now)
	if !t.recordEntryHost(now, id) {
		return false, verdict.MayHaveRun
	}
	t.records[id] = &Record{ID: id, State: Tombstoned, Verdict: verdict.NotRun, changedAt: now}
	t.expiryQueue = append(t.expiryQueue, id)
	return true, verdict.NotRun
}

// belowWatermark reports whether a record of this ID may have expired.
func (t *Table) belowWatermark(id message.ExecutionID) bool {
	host, incarnation, sequence, ok := id.Request.Parse()
	if !ok {
		return true
	}
	h, known := t.entryHosts[host]
	if !known {
		return incarnation <= t.evictedIncarnation
	}
	return incarnation < h.incarnation || (incarnation == h.incarnation && sequence <= h.watermark)
}

// recordEntryHost records the entry host of an ID as seen now. It returns false if
// there is no capacity for another host.
func (t *Table) recordEntryHost(now time.Time, id message.ExecutionID) bool {
	host, incarnation, _, ok := id.Request.Parse()
	if !ok {
		return false
	}
	h, known := t.entryHosts[host]
	if !known {
		if len(t.entryHosts) >= maxEntryHosts && !t.evict(now) {
			return false
		}
		h = &entryHost{}
		t.entryHosts[host] = h
	}
	h.lastSeen = now
	if incarnation > h.incarnation {
		h.incarnation, h.watermark = incarnation, 0
	}
	return true
}

// evict removes the entry hosts that were not seen for the retention time, so that
// all their records have expired. It reports whether another host can be added.
func (t *Table) evict(now time.Time) bool {
	for host, h := range t.entryHosts {
		if now.Sub(h.lastSeen) > Retention {
			t.evictedIncarnation = max(t.evictedIncarnation, h.incarnation)
			delete(t.entryHosts, host)
		}
	}
	return len(t.entryHosts) < maxEntryHosts
}

// expire removes the oldest records, if they are past the retention time or too
// many, and raises the watermarks of their entry hosts.
func (t *Table) expire(now time.Time) {
	for len(t.expiryQueue) > 0 {
		id := t.expiryQueue[0]
		r := t.records[id]
		if len(t.expiryQueue) < MaxRecords && now.Sub(r.changedAt) < Retention {
			return
		}
		t.expiryQueue = t.expiryQueue[1:]
		delete(t.records, id)
		t.raiseWatermark(id)
	}
}

func (t *Table) raiseWatermark(id message.ExecutionID) {
	host, incarnation, sequence, ok := id.Request.Parse()
	if !ok {
		return
	}
	h, known := t.entryHosts[host]
	if known && h.incarnation == incarnation && sequence > h.watermark {
		h.watermark = sequence
	}
}
