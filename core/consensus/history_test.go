package consensus

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a client's write or read. Times are steps of the schedule. floor
// is the newest entry committed anywhere when a read was called.
type operation struct {
	host               MemberID
	write, ready, end  bool
	value              string
	index, term, floor uint64
	call, returned     int
}

// history records the operations of a schedule.
type history struct {
	ops, open []*operation
}

func (l *history) begin(o *operation) {
	l.ops = append(l.ops, o)
	l.open = append(l.open, o)
}

func (l *history) read(c *cluster, h *testHost) {
	if h.up {
		l.begin(&operation{host: h.id, call: c.step, floor: uint64(len(c.chosen))})
		h.m.ReadIndex(uint64(len(l.ops)))
		c.settle(h)
	}
}

func (l *history) readState(c *cluster, h *testHost, r ReadState) {
	o := l.ops[r.ID-1]
	if o.end = o.end || r.Refused; o.end {
		return
	}
	if r.Index < o.floor {
		c.violate("stale read at host %d: index %d, but %d was committed before", h.id, r.Index, o.floor)
	}
	o.ready, o.index = true, r.Index
}

// applied ends the write that produced an entry, or whose place it took.
func (l *history) applied(c *cluster, h *testHost, e Entry) {
	for _, o := range l.open {
		if o.write && !o.end && o.host == h.id && o.index == e.Index {
			o.end = true
			if o.term == e.Term {
				o.returned = c.step
			}
		}
	}
}

func (l *history) progress(c *cluster, h *testHost) {
	l.open = slices.DeleteFunc(l.open, func(o *operation) bool {
		if o.ready && !o.end && o.host == h.id && h.applied >= o.index {
			o.end, o.returned, o.value = true, c.step, h.value
		}
		return o.end
	})
}

func (l *history) crashed(id MemberID) {
	l.open = slices.DeleteFunc(l.open, func(o *operation) bool { return o.host == id })
}

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if o := input.(*operation); o.write {
			return true, o.value
		}
		return output.(string) == state.(string), state
	},
}

// check tells whether the history is linearizable. Writes without a known end
// may take effect at any time; reads without one are left out.
func (l *history) check() porcupine.CheckResult {
	var ops []porcupine.Operation
	for i, o := range l.ops {
		end := int64(o.returned)
		switch {
		case o.returned == 0 && (!o.write || o.end):
			continue
		case o.returned == 0:
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.call), Output: o.value, Return: end})
	}
	return porcupine.CheckOperationsTimeout(register, ops, time.Second)
}
