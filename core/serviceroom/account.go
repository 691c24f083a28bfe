package serviceroom

import (
	"cmp"
	"slices"
	"time"
)

const (
	// answerWait is how long an entry waits for the answer to a renewal before it sends another. Three
	// in a row have to be lost before the lease ends: with 500 ms two had, and in the simulation, which
	// loses 1 % of the messages and delays 2 %, some entry admitted all that waited every few seconds.
	answerWait = 250 * time.Millisecond
	// minSilence is how long a renewal has to be unanswered before the entry admits without a
	// bound, so that an entry whose process was suspended asks first.
	minSilence = 200 * time.Millisecond
	// minPatience is the wait that every generation is given, so that the leader can decide about one
	// that has no time left while there is room.
	minPatience = 300 * time.Millisecond
)

// Decided is a waiting generation that was decided.
type Decided struct {
	ID uint64
	Decision
}

// Account is what one entry knows of one service: what runs, waits and is leased. The entry
//
//   - passes the flag of each watch reply to SetTight,
//   - calls Arrive for each long generation (see Long) before it is placed, also while the service
//     is not tight, and End once when it ended, was refused by placement, or its caller left while
//     it waited (not for one that Decided refused),
//   - calls Poll after an Arrive that waits and then at least every 50 ms while something waits,
//   - calls Renewal at least every 50 ms while the service is tight, and after each Arrive that
//     waits; if one is due it sends it and passes the answer to Granted with the time at which
//     Renewal was called, however late. A call that failed needs no report; a call to a member
//     that does not lead may be repeated with the same Renewal at the leader.
//
// A generation that was admitted counts as running from the decision on.
type Account struct {
	entry    string
	tight    bool
	stopping bool
	seq      uint64
	// running and waiting are by ID; inUse is the need of what runs, callers that by caller.
	running     map[uint64]runningGeneration
	callers     map[string]int
	inUse       int
	ended       int
	short       int
	waiting     map[uint64]*waitingGeneration
	waitingFor  map[string]int
	undelivered []Decided
	// lease is valid until validUntil. The service was known to have no room for newcomers if
	// freeIn is not 0.
	lease      int
	validUntil time.Duration
	freeIn     time.Duration
	// reported is the lease that the last renewal reported.
	reported int
	// tightSince is when the service became tight, sentAt when the last renewal was sent,
	// grantedAt when that was sent whose grant is in use. unanswered is when the first renewal
	// since then was sent. They are meaningful while the corresponding flags are set.
	tightSince, sentAt, grantedAt, unanswered time.Duration
	sent, granted, awaiting                   bool
	// changed is set if the next renewal returns room for which others wait.
	changed bool
}

type runningGeneration struct {
	caller string
	need   int
}

// waitingGeneration is a demand with its times as those of the account's clock.
type waitingGeneration struct {
	Demand
	arrived, until time.Duration
}

// NewAccount returns the account of an entry for a service that is not tight.
func NewAccount(entry string) *Account {
	return &Account{entry: entry, running: map[uint64]runningGeneration{}, callers: map[string]int{},
		waiting: map[uint64]*waitingGeneration{}, waitingFor: map[string]int{}}
}

// SetTight takes the flag of the watch. When the service stops being tight, Poll returns all that
// waits as admitted.
func (a *Account) SetTight(now time.Duration, tight bool) {
	if tight == a.tight {
		return
	}
	a.tight, a.tightSince = tight, now
	a.lease, a.validUntil, a.freeIn = 0, 0, 0
	a.granted, a.awaiting, a.changed = false, false, false
	if !tight {
		a.admitAll()
	}
}

// Stop tells the account that the entry accepts no new generations. Renewals go on until the
// last generation ended, but ask for no lease beyond what runs and waits.
func (a *Account) Stop() {
	a.stopping, a.changed = true, true
	a.lease = min(a.lease, a.inUse)
}

// Arrive reports whether a long generation waits. If not, it is admitted and counts as running
// until End. If it waits, a later Granted or Poll decides it, Poll at once if too many wait.
func (a *Account) Arrive(now time.Duration, d Demand) (waits bool) {
	if _, runs := a.running[d.ID]; runs {
		return false
	}
	if a.waiting[d.ID] != nil {
		return true
	}
	d.Need, d.Age, d.Patience = max(d.Need, 0), max(d.Age, 0), max(d.Patience, 0)
	if !a.tight || a.unbounded(now) || a.fits(now, d.Need) {
		a.admit(d)
		return false
	}
	// A burst that finds room only waits for a call, so it is not bounded by caller.
	queues := a.granted && a.freeIn > 0
	if queues && a.waitingFor[d.Caller] >= maxWaitingAtEntry || len(a.waiting) >= maxEntryWaiting {
		a.undelivered = append(a.undelivered, Decided{d.ID, a.refusal(d, TooManyWaiting)})
		return true
	}
	a.waiting[d.ID] = &waitingGeneration{Demand: d, arrived: now - d.Age, until: now + max(d.Patience, minPatience)}
	a.waitingFor[d.Caller]++
	return true
}

// fits reports whether a generation may use the lease without a decision of the leader. While
// others wait, room that becomes free at this entry is not its own.
func (a *Account) fits(now time.Duration, need int) bool {
	return a.known(now) && a.freeIn == 0 && len(a.waiting) == 0 && need <= a.lease-a.inUse
}

// known reports whether the account holds a grant that is still valid.
func (a *Account) known(now time.Duration) bool { return a.granted && now < a.validUntil }

// unbounded reports whether no grant came for so long that the entry admits as if there were no
// bound.
func (a *Account) unbounded(now time.Duration) bool {
	return a.tight && now >= max(a.validUntil, a.tightSince+LeaseLifetime) && a.awaiting && now-a.unanswered >= minSilence
}

func (a *Account) admit(d Demand) {
	a.running[d.ID] = runningGeneration{d.Caller, d.Need}
	a.callers[d.Caller] += d.Need
	a.inUse += d.Need
}

func (a *Account) refusal(d Demand, reason Reason) Decision {
	return Decision{RetryAfter: retryAfter(a.freeIn, spread(a.entry, d.ID, d.Digest)), Reason: reason}
}

// End tells that a generation ended, or that its caller left while it waited.
func (a *Account) End(now time.Duration, id uint64) {
	a.undelivered = slices.DeleteFunc(a.undelivered, func(d Decided) bool { return d.ID == id })
	if w := a.waiting[id]; w != nil {
		a.removeWaiting(w)
		return
	}
	g, runs := a.running[id]
	if !runs {
		return
	}
	delete(a.running, id)
	a.inUse -= g.need
	a.ended += g.need
	if a.callers[g.caller] -= g.need; a.callers[g.caller] <= 0 {
		delete(a.callers, g.caller)
	}
	if a.freeIn > 0 || a.stopping {
		a.lease = max(a.inUse, a.lease-g.need)
		a.changed = true
	}
}

func (a *Account) removeWaiting(w *waitingGeneration) {
	delete(a.waiting, w.ID)
	if a.waitingFor[w.Caller]--; a.waitingFor[w.Caller] <= 0 {
		delete(a.waitingFor, w.Caller)
	}
}

// Short adds to the memory that the short generations need. It is negative when one ends.
func (a *Account) Short(need int) { a.short = max(0, a.short+need) }

// Renewal returns a renewal that has to be sent now, if one is due. One is due at once when a
// generation waits or room for which others wait has become free, but not sooner than 100 ms
// after the last, nor while that may still be answered.
func (a *Account) Renewal(now time.Duration) (r Renewal, due bool) {
	if !a.tight || a.stopping && !a.changed && len(a.running)+len(a.waiting) == 0 {
		return Renewal{}, false
	}
	if a.sent {
		since := now - a.sentAt
		if since < renewSpacing || a.awaiting && since < answerWait {
			return Renewal{}, false
		}
		if a.granted && len(a.waiting) == 0 && !a.changed && since < renewInterval {
			return Renewal{}, false
		}
	}
	a.sent, a.sentAt, a.changed = true, now, false
	if !a.awaiting {
		a.awaiting, a.unanswered = true, now
	}
	a.seq = max(a.seq+1, uint64(max(now, 0)))
	r = Renewal{Entry: a.entry, Seq: a.seq, Running: make(map[string]int, len(a.callers)), Generations: len(a.running),
		Ended: a.ended, Short: a.short, Lease: a.inUse, Stopping: a.stopping}
	for caller, need := range a.callers {
		r.Running[caller] = need
	}
	if a.known(now) && !a.stopping {
		r.Lease = max(a.inUse, a.lease)
	}
	a.reported = r.Lease
	for _, w := range a.ordered() {
		d := w.Demand
		d.Age, d.Patience = now-w.arrived, max(0, w.until-now)
		r.Waiting = append(r.Waiting, d)
	}
	return r, true
}

// ordered returns what waits, oldest first.
func (a *Account) ordered() []*waitingGeneration {
	list := make([]*waitingGeneration, 0, len(a.waiting))
	for _, w := range a.waiting {
		list = append(list, w)
	}
	slices.SortFunc(list, func(x, y *waitingGeneration) int {
		return cmp.Or(cmp.Compare(x.arrived, y.arrived), cmp.Compare(x.ID, y.ID))
	})
	return list
}

// Granted takes the answer to the renewal that was sent at sentAt, and returns what it decides.
// Decisions of an answer that is late are still used; its lease is not if a newer renewal has
// reported another one meanwhile.
func (a *Account) Granted(now, sentAt time.Duration, g Grant) []Decided {
	if !a.tight || sentAt < a.tightSince || a.granted && sentAt <= a.grantedAt || g.Valid <= 0 {
		return a.Poll(now)
	}
	if !g.Tight {
		a.SetTight(now, false)
		return a.Poll(now)
	}
	a.granted, a.grantedAt, a.validUntil, a.freeIn = true, sentAt, max(a.validUntil, sentAt+g.Valid), g.FreeIn
	if sentAt == a.sentAt {
		a.awaiting = false
		a.lease = g.Lease
	} else {
		a.unanswered = max(a.unanswered, sentAt)
	}
	a.decide(now, sentAt, g)
	if a.freeIn > 0 {
		// The rest of the lease is needed elsewhere. The ledger counts it until the next renewal.
		a.lease = a.inUse
		a.changed = a.changed || a.reported > a.lease
	}
	a.admitFromLease(now)
	return a.Poll(now)
}

// decide applies the decisions of a grant. A refusal that comes too late says nothing about the
// room now; the generation waits for the next one.
func (a *Account) decide(now, sentAt time.Duration, g Grant) {
	for _, w := range a.ordered() {
		d, decided := g.Decisions[w.ID]
		if !decided || !d.Admit && now >= sentAt+g.Valid {
			continue
		}
		a.removeWaiting(w)
		if d.Admit {
			a.admit(w.Demand)
			if sentAt != a.sentAt {
				a.lease += w.Need
			}
		}
		a.undelivered = append(a.undelivered, Decided{w.ID, d})
	}
}

// admitFromLease admits generations that arrived after the renewal was sent, if nobody else waits.
func (a *Account) admitFromLease(now time.Duration) {
	if !a.known(now) || a.freeIn > 0 {
		return
	}
	for _, w := range a.ordered() {
		if w.Need > a.lease-a.inUse {
			return
		}
		a.admitWaiting(w)
	}
}

func (a *Account) admitWaiting(w *waitingGeneration) {
	a.removeWaiting(w)
	a.admit(w.Demand)
	a.undelivered = append(a.undelivered, Decided{w.ID, Decision{Admit: true}})
}

func (a *Account) admitAll() {
	for _, w := range a.ordered() {
		a.admitWaiting(w)
	}
}

// Poll returns the generations that were decided since the last call: those whose patience ended,
// those of which too many wait, and all that wait if no grant came for 1 s or the service stopped
// being tight. An entry that holds no valid grant refuses nobody for lack of room.
func (a *Account) Poll(now time.Duration) []Decided {
	switch {
	case a.unbounded(now):
		a.admitAll()
	case len(a.waiting) > 0:
		for _, w := range a.ordered() {
			if now < w.until {
				continue
			}
			if !a.known(now) {
				a.admitWaiting(w)
				continue
			}
			a.removeWaiting(w)
			a.undelivered = append(a.undelivered, Decided{w.ID, a.refusal(w.Demand, WaitedTooLong)})
		}
	}
	decided := a.undelivered
	a.undelivered = nil
	return decided
}

// AccountStats describes an account, for logs and metrics.
type AccountStats struct {
	Tight bool
	// Unbounded is set while no grant came for so long that the entry admits everything.
	Unbounded bool
	// Lease is 0 if the entry holds no valid one. InUse is the need of the long generations that
	// run, Short that of the short ones.
	Lease, InUse, Short int
	// Running and Waiting are numbers of long generations.
	Running, Waiting int
	// FreeIn is that of the last grant.
	FreeIn time.Duration
}

// Stats returns the state of the account.
func (a *Account) Stats(now time.Duration) AccountStats {
	s := AccountStats{Tight: a.tight, Unbounded: a.unbounded(now), InUse: a.inUse, Short: a.short,
		Running: len(a.running), Waiting: len(a.waiting), FreeIn: a.freeIn}
	if a.known(now) {
		s.Lease = a.lease
	}
	return s
}

// Share returns the need of a caller's long generations that run at this entry.
func (a *Account) Share(caller string) int { return a.callers[caller] }
