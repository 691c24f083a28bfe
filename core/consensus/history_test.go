package consensus

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a write or read of a client. Times are steps of the schedule.
// minIndex is the newest entry committed on any host when a read was called.
type operation struct {
	host                   MemberID
	write, hasIndex, ended bool
	value                  string
	index, term, minIndex  uint64
	call, returned         int
}

// history records the operations of a schedule. Those in open have not ended.
type history struct {
	ops, open []*operation
}

func (l *history) begin(o *operation) {
	l.ops = append(l.ops, o)
	l.open = append(l.open, o)
}

func (l *history) read(c *cluster, h *testHost) {
	if h.up {
		l.begin(&operation{host: h.id, call: c.step, minIndex: uint64(len(c.committed))})
		h.raft.ReadIndex(uint64(len(l.ops)))
		c.processOutput(h)
	}
}

func (l *history) readState(c *cluster, h *testHost, r ReadState) {
	o := l.ops[r.ID-1]
	if o.ended = o.ended || r.Refused; o.ended {
		return
	}
	if r.Index < o.minIndex {
		c.reportViolation("stale read at host %d: index %d, but %d was committed before", h.id, r.Index, o.minIndex)
	}
	o.hasIndex, o.index = true, r.Index
}

// applied ends the writes at the index of an applied entry. A write of another term
// was replaced by the entry.
func (l *history) applied(c *cluster, h *testHost, e Entry) {
	for _, o := range l.open {
		if o.write && !o.ended && o.host == h.id && o.index == e.Index {
			o.ended = true
			if o.term == e.Term {
				o.returned = c.step
			}
		}
	}
}

// progress ends the reads whose index a host has applied.
func (l *history) progress(c *cluster, h *testHost) {
	l.open = slices.DeleteFunc(l.open, func(o *operation) bool {
		if o.hasIndex && !o.ended && o.host == h.id && h.applied >= o.index {
			o.ended, o.returned, o.value = true, c.step, h.value
		}
		return o.ended
	})
}

func (l *history) crashed(id MemberID) {
	l.open = slices.DeleteFunc(l.open, func(o *operation) bool { return o.host == id })
}

// registerModel is the sequential specification: one register.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if o := input.(*operation); o.write {
			return true, o.value
		}
		return output.(string) == state.(string), state
	},
}

// check reports whether the history is linearizable. A write with an unknown
// outcome may take effect at any time after its call. Reads without a result are
// omitted.
func (l *history) check() porcupine.CheckResult {
	var ops []porcupine.Operation
	for i, o := range l.ops {
		end := int64(o.returned)
		switch {
		case o.returned == 0 && (!o.write || o.ended):
			continue
		case o.returned == 0:
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.call), Output: o.value, Return: end})
	}
	return porcupine.CheckOperationsTimeout(registerModel, ops, time.Second)
}
