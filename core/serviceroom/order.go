package serviceroom

import (
	"cmp"
	"slices"
	"time"
)

// queued is a waiting generation as the ledger knows it, with times by the ledger's clock.
type queued struct {
	Demand
	entry string
	// arrived is when the generation arrived at its entry, first when it first arrived: earlier if
	// it was refused before and came back as told, for which returned is set.
	arrived, first, until time.Duration
	returned              bool
	// considered is set once the generation had its first turn and was not refused.
	considered bool
}

// overdue reports whether a generation has waited for half of its allowed wait, or came back as
// told. Smaller ones no longer overtake it.
func (q *queued) overdue(now time.Duration) bool {
	return q.returned || now-q.arrived >= (q.until-q.arrived)/2
}

// line holds the waiting generations of one caller, in their order.
type line struct {
	caller string
	// use is the need of what runs and what is to be admitted before.
	use             int
	overdue, others []*queued
}

// order yields the waiting generations of all entries: the more urgent priority first, then the
// caller that uses least, then the first arrival. Overdue ones count as the most urgent while
// their caller uses no more than an equal part of the room: a caller that always has many waiting
// would otherwise pass all others.
type order struct {
	lines []*line
	equal int
}

// lateEntry is the time since the last renewal of an entry from which no room is kept for what
// waits there. The entry gets its turn when it renews.
const lateEntry = renewInterval + renewSpacing

// newOrder returns the order at a turn of an entry. Generations of other entries whose patience
// has ended are left out: these entries refuse them.
func newOrder(now time.Duration, entries map[string]*entryLease, own *entryLease, use map[string]int, grantable int) *order {
	byCaller := map[string]*line{}
	for _, e := range entries {
		for _, q := range e.waiting {
			if e != own && (now >= q.until || now-e.renewedAt > lateEntry) {
				continue
			}
			c := byCaller[q.Caller]
			if c == nil {
				c = &line{caller: q.Caller, use: use[q.Caller]}
				byCaller[q.Caller] = c
			}
			if q.overdue(now) {
				c.overdue = append(c.overdue, q)
			} else {
				c.others = append(c.others, q)
			}
		}
	}
	o := &order{}
	active := len(byCaller)
	for caller := range use {
		if byCaller[caller] == nil {
			active++
		}
	}
	o.equal = grantable / max(active, 1)
	for _, c := range byCaller {
		slices.SortFunc(c.overdue, func(x, y *queued) int { return compareArrivals(x, y) })
		slices.SortFunc(c.others, func(x, y *queued) int {
			return cmp.Or(cmp.Compare(x.Priority, y.Priority), compareArrivals(x, y))
		})
		o.lines = append(o.lines, c)
	}
	slices.SortFunc(o.lines, func(x, y *line) int { return cmp.Compare(x.caller, y.caller) })
	return o
}

func compareArrivals(x, y *queued) int {
	return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(x.entry, y.entry), cmp.Compare(x.ID, y.ID))
}

// first returns the first of a line and its priority, nil if the line is empty.
func (c *line) first(equal int) (q *queued, priority int) {
	if len(c.overdue) > 0 {
		q = c.overdue[0]
		priority = q.Priority
		if c.use < equal {
			return q, min(priority, 0)
		}
	}
	if len(c.others) > 0 {
		other := c.others[0]
		if q == nil || cmp.Or(cmp.Compare(other.Priority, priority), compareArrivals(other, q)) < 0 {
			return other, other.Priority
		}
	}
	return q, priority
}

// next returns and removes the first generation, nil if there are no more. It counts as admitted
// for those of its caller behind it.
func (o *order) next() *queued {
	var best *line
	var bestQ *queued
	bestPriority := 0
	for _, c := range o.lines {
		q, priority := c.first(o.equal)
		if q == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(priority, bestPriority), cmp.Compare(c.use, best.use),
			compareArrivals(q, bestQ)) < 0 {
			best, bestQ, bestPriority = c, q, priority
		}
	}
	if best == nil {
		return nil
	}
	if len(best.overdue) > 0 && best.overdue[0] == bestQ {
		best.overdue = best.overdue[1:]
	} else {
		best.others = best.others[1:]
	}
	best.use += bestQ.Need
	return bestQ
}
