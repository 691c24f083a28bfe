// Package execution is the agent's table of executions. It decides which start
// may run, and answers whether an execution has run.
//
// An execution starts at most once. A tombstone keeps a delayed start from
// running. Records are dropped after a while; the table then remembers one
// number for each entry host, below which it no longer claims to know anything.
package execution

import (
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Limits of the table.
const (
	// Retention is how long the table remembers ended executions and tombstones.
	// It is far longer than a request can be delayed on a connection that is
	// replaced after some seconds of silence.
	Retention = 10 * time.Minute
	// MaxRecords bounds the records of ended and buried executions.
	MaxRecords = 1 << 16
	// maxOrigins bounds the remembered entry hosts. Hosts are replaced daily, so
	// hosts that were not seen for the retention make room for others.
	maxOrigins = 4096
)

// State is the state of one execution.
type State uint8

// States of an execution. Waiting ones have not been sent to the backend
// server.
const (
	Waiting State = iota + 1
	Running
	Ended
	Tombstoned
)

// Record is one execution.
type Record struct {
	ID      message.ExecutionID
	Caller  string
	State   State
	Verdict verdict.Verdict
	// changed is the time of the last change of State.
	changed time.Time
}

// origin is what the table remembers of one entry host.
type origin struct {
	incarnation message.Incarnation
	floor       uint64
	seen        time.Time
}

// Table holds the executions of one agent.
type Table struct {
	self      message.Incarnation
	draining  bool
	records   map[message.ExecutionID]*Record
	forgotten []message.ExecutionID
	origins   map[string]*origin
	// evicted is the highest incarnation of the entry hosts that made room. The
	// table claims nothing about an unknown host up to this incarnation.
	evicted message.Incarnation
	active  int
}

// New returns the table for one life of an agent.
func New(self message.Incarnation) *Table {
	return &Table{self: self, records: map[message.ExecutionID]*Record{}, origins: map[string]*origin{}}
}

// Drain refuses new executions from now on.
func (t *Table) Drain() { t.draining = true }

// Draining tells whether Drain was called.
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

// Start asks whether an execution may start. A nil refusal admits it as
// Waiting. Duplicate is set when this execution was admitted before; the
// caller must not start it again.
func (t *Table) Start(now time.Time, id message.ExecutionID, caller string, meant message.Incarnation) (duplicate bool, refusal *message.Refusal) {
	if r, ok := t.records[id]; ok {
		return t.again(r, caller)
	}
	if t.belowFloor(id) {
		// The execution may have run and been dropped from the table.
		return false, &message.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBuried,
			Message: "the execution is older than what the agent remembers"}
	}
	if meant != t.self {
		return false, refuse(verdict.ReasonWrongIncarnation, "the start is meant for another incarnation of the agent")
	}
	if t.draining {
		return false, refuse(verdict.ReasonLeaving, "the agent is leaving")
	}
	t.expire(now)
	if !t.see(now, id) {
		return false, refuse(verdict.ReasonOverloaded, "the agent remembers too many entry hosts")
	}
	t.records[id] = &Record{ID: id, Caller: caller, State: Waiting, changed: now}
	t.active++
	return false, nil
}

func (t *Table) again(r *Record, caller string) (bool, *message.Refusal) {
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

// Dispatch marks a waiting execution as sent to the backend server. It reports
// false when the execution must not be sent any more.
func (t *Table) Dispatch(now time.Time, id message.ExecutionID) bool {
	r, ok := t.records[id]
	if !ok || r.State != Waiting {
		return false
	}
	r.State, r.changed = Running, now
	return true
}

// End marks an execution as ended with a verdict.
func (t *Table) End(now time.Time, id message.ExecutionID, v verdict.Verdict) {
	r, ok := t.records[id]
	if !ok || (r.State != Waiting && r.State != Running) {
		return
	}
	r.State, r.Verdict, r.changed = Ended, v, now
	t.active--
	t.forgotten = append(t.forgotten, id)
}

// PlaceTombstone places a tombstone. Confirmed means that the execution will not start
// from now on; the verdict tells whether it may have run before. A waiting
// execution is taken out of the queue by this.
func (t *Table) PlaceTombstone(now time.Time, id message.ExecutionID, meant message.Incarnation) (confirmed bool, v verdict.Verdict) {
	r, known := t.records[id]
	switch {
	case known && r.State == Tombstoned:
		return true, verdict.NotRun
	case known && r.State == Running:
		// The backend server may still turn out to be unreachable.
		return false, verdict.MayHaveRun
	case known && r.State == Ended:
		return true, r.Verdict
	case known:
		r.State, r.Verdict, r.changed = Tombstoned, verdict.NotRun, now
		t.active--
		t.forgotten = append(t.forgotten, id)
		return true, verdict.NotRun
	case t.belowFloor(id), meant != t.self:
		// An earlier life of the agent, or a dropped record, may have run it. It
		// can not start here any more.
		return true, verdict.MayHaveRun
	}
	t.expire(now)
	if !t.see(now, id) {
		return false, verdict.MayHaveRun
	}
	t.records[id] = &Record{ID: id, State: Tombstoned, Verdict: verdict.NotRun, changed: now}
	t.forgotten = append(t.forgotten, id)
	return true, verdict.NotRun
}

// belowFloor tells whether the table may have dropped a record of this id.
func (t *Table) belowFloor(id message.ExecutionID) bool {
	host, incarnation, sequence, ok := id.Request.Parse()
	if !ok {
		return true
	}
	o, known := t.origins[host]
	if !known {
		return incarnation <= t.evicted
	}
	return incarnation < o.incarnation || (incarnation == o.incarnation && sequence <= o.floor)
}

// see remembers the entry host of an id. It reports false when the table of
// hosts is full.
func (t *Table) see(now time.Time, id message.ExecutionID) bool {
	host, incarnation, _, ok := id.Request.Parse()
	if !ok {
		return false
	}
	o, known := t.origins[host]
	if !known {
		if len(t.origins) >= maxOrigins && !t.evict(now) {
			return false
		}
		o = &origin{}
		t.origins[host] = o
	}
	o.seen = now
	if incarnation > o.incarnation {
		o.incarnation, o.floor = incarnation, 0
	}
	return true
}

// evict drops the entry hosts that were not seen for the retention, so that all
// their records have expired. It reports whether there is room.
func (t *Table) evict(now time.Time) bool {
	for host, o := range t.origins {
		if now.Sub(o.seen) > Retention {
			t.evicted = max(t.evicted, o.incarnation)
			delete(t.origins, host)
		}
	}
	return len(t.origins) < maxOrigins
}

// expire drops old records and raises the floors of their entry hosts.
func (t *Table) expire(now time.Time) {
	for len(t.forgotten) > 0 {
		id := t.forgotten[0]
		r := t.records[id]
		if len(t.forgotten) < MaxRecords && now.Sub(r.changed) < Retention {
			return
		}
		t.forgotten = t.forgotten[1:]
		delete(t.records, id)
		t.raiseFloor(id)
	}
}

func (t *Table) raiseFloor(id message.ExecutionID) {
	host, incarnation, sequence, ok := id.Request.Parse()
	if !ok {
		return
	}
	o, known := t.origins[host]
	if known && o.incarnation == incarnation && sequence > o.floor {
		o.floor = sequence
	}
}
