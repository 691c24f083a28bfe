package serviceroom

import (
	"maps"
	"slices"
	"time"
)

const (
	// lastTurn is the patience below which the ledger refuses a waiting generation instead of its
	// entry: it might not be reported again before its patience ends.
	lastTurn = renewSpacing + 50*time.Millisecond
	// maxSpareNeeds bounds what an entry is leased beyond what runs, in average needs. An entry of
	// docs/design/service-room.md starts about one long generation a second.
	maxSpareNeeds = 4
)

// Renew takes what an entry reports and returns its lease and decisions. Generations that were
// admitted in an answer that was lost are admitted again. A renewal that is not newer than the
// last of its entry changes nothing; its answer has Valid 0.
func (l *Ledger) Renew(now time.Duration, r Renewal) Grant {
	l.update(now)
	e := l.entries[r.Entry]
	if e != nil && r.Seq != 0 && r.Seq <= e.seq || e == nil && len(l.entries) >= maxEntries {
		return Grant{Tight: l.tight}
	}
	if r.Stopping && r.Generations == 0 && len(r.Waiting) == 0 {
		delete(l.entries, r.Entry)
		return Grant{Valid: LeaseLifetime, Tight: l.tight}
	}
	held := 0
	if e == nil {
		e = &entryLease{ended: r.Ended}
		l.entries[r.Entry] = e
		l.unreported = max(0, l.unreported-sumOf(r.Running))
	} else {
		held = e.leased
	}
	refused := l.report(now, e, r)
	if now < l.grantsFrom {
		// The leases of the previous leader still hold. Entries that renew know the service as tight.
		l.tight, l.tightSince = l.capacity.Engines > 0, now
		e.leased = max(e.inUse, r.Lease)
		return Grant{Lease: e.leased, Valid: LeaseLifetime, Tight: true}
	}
	// An entry can hold no more than it was granted, and what runs there.
	held = max(e.inUse, min(r.Lease, held))
	l.update(now)
	if !l.tight {
		e.leased = held
		return Grant{Lease: held, Valid: LeaseLifetime}
	}
	return l.answer(now, e, r, held, refused)
}

func sumOf(needs map[string]int) (sum int) {
	for _, need := range needs {
		sum += max(need, 0)
	}
	return sum
}

// report replaces what is known of an entry, and returns the generations that wait beyond the bounds.
func (l *Ledger) report(now time.Duration, e *entryLease, r Renewal) (beyond []*queued) {
	if !l.renewed {
		l.renewed, l.freedSince = true, now
	}
	l.freed.add(now, max(0, r.Ended-e.ended))
	e.seq, e.renewedAt, e.ended, e.generations, e.short = r.Seq, now, r.Ended, max(r.Generations, 0), max(r.Short, 0)
	e.running, e.inUse = make(map[string]int, len(r.Running)), 0
	for _, caller := range slices.Sorted(maps.Keys(r.Running)) {
		need := max(r.Running[caller], 0)
		e.inUse += need
		if len(e.running) >= maxCallers {
			caller = ""
		}
		e.running[caller] += need
	}
	e.leased = max(e.inUse, min(e.leased, r.Lease))
	beyond = l.queue(now, e, r)
	s := l.sums()
	l.shorts.raise(now, s.short)
	if s.generations > 0 {
		l.averageNeed = s.inUse / s.generations
	} else if l.averageNeed == 0 && s.waiting > 0 {
		l.averageNeed = s.waitingNeed / s.waiting
	}
	return beyond
}

// queue replaces the waiting generations of an entry, and returns those beyond the bound of all.
func (l *Ledger) queue(now time.Duration, e *entryLease, r Renewal) (beyond []*queued) {
	previous := make(map[uint64]*queued, len(e.waiting))
	for _, q := range e.waiting {
		previous[q.ID] = q
	}
	e.waiting = nil
	waiting, admitted := 0, map[uint64]Demand{}
	for _, other := range l.entries {
		waiting += len(other.waiting)
	}
	for _, d := range r.Waiting {
		d.Need = max(d.Need, 0)
		if a, was := e.admitted[d.ID]; was {
			// The answer was lost.
			admitted[d.ID] = a
			continue
		}
		q := previous[d.ID]
		delete(previous, d.ID)
		if q == nil {
			q = l.arrival(now, r.Entry, d)
			if waiting >= maxWaiting {
				beyond = append(beyond, q)
				continue
			}
			l.memory.remove(d.Caller, d.Digest)
		}
		q.until = now + max(d.Patience, 0)
		e.waiting = append(e.waiting, q)
		waiting++
	}
	e.admitted = admitted
	e.count()
	l.rememberGone(now, e, previous)
	return beyond
}

// arrival returns a generation that is reported for the first time. Its turn is that of its first
// arrival if it was refused and came back as told.
func (l *Ledger) arrival(now time.Duration, entry string, d Demand) *queued {
	q := &queued{Demand: d, entry: entry, arrived: now - max(d.Age, 0), until: now + max(d.Patience, 0)}
	q.first = q.arrived
	r, known := l.memory.get(d.Caller, d.Digest)
	switch {
	case !known:
	case r.entry == entry && r.id == d.ID:
		// The refusal was lost.
		q.first = min(r.first, q.arrived)
	case q.arrived >= r.notBefore-returnTolerance:
		q.first, q.returned = min(r.first, q.arrived), true
	}
	return q
}

// rememberGone remembers the generations that an entry no longer reports and whose patience has
// ended: the entry refused them, with a Retry-After that the ledger can compute.
func (l *Ledger) rememberGone(now time.Duration, e *entryLease, gone map[uint64]*queued) {
	for _, id := range slices.Sorted(maps.Keys(gone)) {
		if q := gone[id]; q.until <= now {
			l.remember(q, q.until+retryAfter(e.freeIn, spread(q.entry, q.ID, q.Digest)))
		}
	}
}

func (l *Ledger) remember(q *queued, notBefore time.Duration) {
	l.memory.put(q.Caller, q.Digest, record{first: q.first, notBefore: notBefore, need: q.Need, entry: q.entry, id: q.ID})
}

// turn is the state of one pass through the order, for one entry.
type turn struct {
	now       time.Duration
	perSecond float64
	use       map[string]int
	// room is what is free at the start, left what is left of it for the next in order, ahead the
	// need of those that were not refused so far.
	room, left, ahead int
	grantable         int
	// blocked is set behind an overdue generation that does not fit yet, but is expected to before
	// its patience ends: room is collected for it.
	blocked   bool
	decisions map[uint64]Decision
}

// answer decides about what waits at an entry, in the order of all entries, and sets its lease.
func (l *Ledger) answer(now time.Duration, e *entryLease, r Renewal, held int, beyond []*queued) Grant {
	e.leased = max(held, e.inUse+e.admittedNeed)
	s, grantable := l.sums(), l.free(now).grantable
	t := &turn{now: now, perSecond: l.freedPerSecond(now, s, grantable), grantable: grantable,
		decisions: make(map[uint64]Decision, len(r.Waiting))}
	if len(r.Waiting) > 0 {
		t.use = l.use()
	}
	// What the entry holds beyond what runs is room for what waits there.
	t.room = grantable - (s.leased - e.leased + e.inUse + e.admittedNeed) - l.unreported
	t.left = t.room
	for id, d := range e.admitted {
		t.decisions[id] = Decision{Admit: true, Room: t.room, Share: t.use[d.Caller]}
	}
	l.decide(t, e)
	for _, q := range append(beyond, l.beyondBound(e)...) {
		t.ahead += q.Need
		l.refuse(t, q, TooManyWaiting)
		t.ahead -= q.Need
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(q *queued) bool { return t.decided(q) })
	for _, q := range e.waiting {
		q.considered = true
	}
	e.count()
	lease := e.inUse + e.admittedNeed
	e.leased = max(held, lease)
	s = l.sums()
	free := grantable - s.leased - l.unreported
	e.freeIn = l.freeIn(t.perSecond, s, free)
	// What has not been reported leaves no room for leases beyond what waits.
	if e.freeIn == 0 && !r.Stopping && l.unreported == 0 {
		lease += l.spare(free + e.leased - lease)
		e.leased = max(held, lease)
	}
	return Grant{Lease: lease, Valid: LeaseLifetime, Decisions: t.decisions, Tight: true, FreeIn: e.freeIn}
}

// use returns what each caller uses, with what was admitted and is not yet reported as running.
func (l *Ledger) use() map[string]int {
	use := map[string]int{}
	for _, e := range l.entries {
		for caller, need := range e.running {
			use[caller] += need
		}
		for _, d := range e.admitted {
			use[d.Caller] += d.Need
		}
	}
	return use
}

// decide goes through the order until all that waits at an entry had its turn. Room for those of
// other entries is kept until these renew.
func (l *Ledger) decide(t *turn, e *entryLease) {
	undecided := len(e.waiting)
	if undecided == 0 {
		return
	}
	o := newOrder(t.now, l.entries, e, t.use, t.grantable)
	for undecided > 0 {
		q := o.next()
		if q == nil {
			break
		}
		own := l.entries[q.entry] == e
		if own {
			undecided--
		}
		if q.Need > l.capacity.Total {
			if own {
				l.refuse(t, q, TooLarge)
			}
			continue
		}
		t.ahead += q.Need
		if t.fits(q) {
			t.left -= q.Need
			if own {
				l.admit(t, e, q)
			}
			continue
		}
		if own && l.refuseLate(t, q) {
			t.ahead -= q.Need
		} else if q.overdue(t.now) && until(t.ahead-t.room, t.perSecond) < q.until-t.now {
			t.blocked = true
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(q *queued) bool { return t.decided(q) })
}

// decided reports whether a generation was decided in this turn.
func (t *turn) decided(q *queued) bool {
	_, decided := t.decisions[q.ID]
	return decided
}

// beyondBound returns what has just arrived at an entry, found no room, and is more than its
// caller may have waiting.
func (l *Ledger) beyondBound(e *entryLease) (beyond []*queued) {
	fresh := map[string]int{}
	for _, q := range e.waiting {
		if !q.considered {
			fresh[q.Caller]++
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	waiting := map[string]int{}
	for _, other := range l.entries {
		for _, q := range other.waiting {
			waiting[q.Caller]++
		}
	}
	for _, q := range slices.Backward(e.waiting) {
		if !q.considered && waiting[q.Caller] > maxWaitingPerCaller {
			waiting[q.Caller]--
			beyond = append(beyond, q)
		}
	}
	return beyond
}

// fits reports whether a generation may be admitted next. One that needs more than can be granted
// runs alone.
func (t *turn) fits(q *queued) bool { return !t.blocked && min(q.Need, t.grantable) <= t.left }

func (l *Ledger) admit(t *turn, e *entryLease, q *queued) {
	t.decisions[q.ID] = Decision{Admit: true, Room: t.room, Share: t.use[q.Caller]}
	e.admitted[q.ID] = q.Demand
}

// refuseLate refuses a generation that does not fit if it has just arrived and room is not
// expected in time, or if its patience ends. One that was queued keeps waiting until then.
func (l *Ledger) refuseLate(t *turn, q *queued) (refused bool) {
	patience := q.until - t.now
	switch {
	case !q.considered && until(t.ahead-t.room, t.perSecond)+renewSpacing > patience:
		l.refuse(t, q, NoRoomInTime)
	case patience < lastTurn:
		l.refuse(t, q, WaitedTooLong)
	default:
		return false
	}
	return true
}

// refuse refuses a generation, which is part of t.ahead, and remembers its turn. What comes back
// is remembered too if it waits beyond the bounds, but not what is new there.
func (l *Ledger) refuse(t *turn, q *queued, reason Reason) {
	ahead := t.ahead + l.memory.promised(q.Caller, q.Need)
	if reason == TooLarge {
		ahead += q.Need
	}
	after := retryAfter(until(ahead-t.room, t.perSecond), spread(q.entry, q.ID, q.Digest))
	t.decisions[q.ID] = Decision{RetryAfter: after, Reason: reason, Room: t.room, Share: t.use[q.Caller]}
	if reason != TooLarge && (reason != TooManyWaiting || q.returned) {
		l.remember(q, t.now+after)
	}
}

// freeIn returns when an average generation may expect room, 0 if there is some and nobody waits.
func (l *Ledger) freeIn(perSecond float64, s sums, free int) time.Duration {
	if s.waiting == 0 && free > 0 && free >= l.averageNeed {
		return 0
	}
	return max(renewSpacing, until(s.waitingNeed+l.averageNeed-free, perSecond))
}

// spare returns what an entry is leased for generations that arrive before its next renewal: an
// equal part of what is free.
func (l *Ledger) spare(free int) int {
	spare := free / max(len(l.entries), 1)
	if l.averageNeed > 0 {
		spare = min(spare, maxSpareNeeds*l.averageNeed)
	}
	if spare < l.averageNeed {
		return 0
	}
	return max(spare, 0)
}
