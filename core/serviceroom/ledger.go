package serviceroom

import (
	"math"
	"time"
)

const (
	// A service becomes tight when tightAt of its grantable memory is needed, and stops being
	// tight below slackAt.
	tightAt = 0.7
	slackAt = 0.6
	// minTight is how long a service remains tight at least. It is also the time in which all
	// entries report what runs.
	minTight = time.Second
	// shortWindow and leavingWindow are the times over which the peaks of the need of short
	// generations and of the memory on leaving engines are kept free.
	shortWindow   = 5 * time.Second
	leavingWindow = time.Minute
	// maxHeadroomParts and maxFragmentParts bound the headroom for moves and the allowance for
	// fragmentation: one part of this many of the total. The second matters for services with few
	// engines that hold one or two generations each, which would grant nothing otherwise.
	maxHeadroomParts = 4
	maxFragmentParts = 2
	// freedWindow is the time over which the rate is measured at which room becomes free.
	freedWindow = 5 * time.Second
	// usualHold is how long a long generation holds its memory, for the rate in the first seconds.
	usualHold = 8 * time.Second
	// slowestTurnover bounds estimates: all grantable memory becomes free in this time at least.
	slowestTurnover = time.Minute
	// maxEntries bounds the entries that a ledger knows, maxCallers the callers of one entry that
	// it tells apart, and maxWaiting the generations that wait at all entries. Renewals beyond them
	// are not accepted, callers are counted together, and generations are refused.
	maxEntries = 1024
	maxCallers = 1024
	maxWaiting = 2048
)

// Ledger grants leases of one service to all entries, in one place. The leader
//
//   - makes one for each service when it is elected, and drops it when it no longer leads,
//   - calls SetCapacity with each change of the list, reports, standings or evacuations, and at
//     least every 500 ms,
//   - publishes Tight with the watch, not before grantsFrom,
//   - passes renewals to Renew, and its answers on only if the quorum has confirmed its term.
type Ledger struct {
	grantsFrom time.Duration
	capacity   Capacity
	entries    map[string]*entryLease
	memory     *memory
	tight      bool
	tightSince time.Duration
	// unreported is the memory that was in use when the service became tight and has not been
	// reported since. It ends minTight later.
	unreported int
	// averageNeed is that of the long generations that ran last.
	averageNeed int
	// shorts and leavings hold peaks, freed sums.
	shorts, leavings, freed *window
	// freedSince is when the first renewal arrived, since which freed is known.
	freedSince time.Duration
	renewed    bool
}

// entryLease is what the ledger knows of one entry.
type entryLease struct {
	seq       uint64
	renewedAt time.Duration
	running   map[string]int
	// inUse is the sum of running. leased is what the entry may use until its next renewal: the
	// larger one of the lease that it held and of that which it was granted, whose answer may be lost.
	inUse, generations, ended, short, leased int
	waiting                                  []*queued
	// admitted are the demands that were admitted in the last answer, by ID, until the entry
	// reports that they run.
	admitted map[uint64]Demand
	// waitingNeed and admittedNeed are sums over waiting and admitted.
	waitingNeed, admittedNeed int
	// freeIn is that of the last answer, from which the entry derives its own refusals.
	freeIn time.Duration
}

// NewLedger returns the ledger of a new leader, which grants nothing before grantsFrom: by then
// the leases of its predecessor have ended and all entries have reported what runs. The leader
// passes the time at which it was elected plus LeaseLifetime, also for a service that is listed
// later.
func NewLedger(grantsFrom time.Duration) *Ledger {
	return &Ledger{grantsFrom: grantsFrom, entries: map[string]*entryLease{}, memory: newMemory(),
		shorts: newWindow(shortWindow, 10), leavings: newWindow(leavingWindow, 60), freed: newWindow(freedWindow, 10)}
}

// SetCapacity takes what is known of the engines now. Negative values count as 0.
func (l *Ledger) SetCapacity(now time.Duration, c Capacity) {
	l.capacity = Capacity{Engines: max(c.Engines, 0), Total: max(c.Total, 0), Leaving: max(c.Leaving, 0),
		Fullest: max(c.Fullest, 0), Used: max(c.Used, 0)}
	l.leavings.raise(now, l.capacity.Leaving)
	l.update(now)
}

// Tight reports whether entries have to hold leases. A leader publishes it not before its
// grantsFrom: until then entries keep the flag that they have, and so continue on their leases.
func (l *Ledger) Tight(now time.Duration) bool {
	l.update(now)
	return l.tight
}

// update ends the leases that were not renewed, and computes whether the service is tight.
func (l *Ledger) update(now time.Duration) {
	for name, e := range l.entries {
		if now-e.renewedAt >= LeaseLifetime {
			delete(l.entries, name)
		}
	}
	l.memory.sweep(now)
	if l.tight && now-l.tightSince >= minTight {
		l.unreported = 0
	}
	if l.capacity.Engines == 0 || l.capacity.Total == 0 {
		// Without engines placement refuses by itself.
		l.tight = false
		return
	}
	if now < l.grantsFrom {
		return
	}
	sums := l.sums()
	need := float64(max(sums.inUse+sums.admitted, l.capacity.Used-sums.short))
	grantable := float64(l.free(now).grantable)
	switch {
	case !l.tight && need > 0 && need >= tightAt*grantable:
		// The rate at which room becomes free is known from the next renewals on.
		l.tight, l.tightSince, l.renewed = true, now, false
		l.unreported = max(0, l.capacity.Used-sums.inUse-sums.short)
	case l.tight && need < slackAt*grantable && sums.waiting == 0 && now-l.tightSince >= minTight:
		l.tight = false
	}
}

// sums are totals over all entries.
type sums struct {
	inUse, generations, admitted, leased, short, waiting, waitingNeed int
}

func (l *Ledger) sums() (s sums) {
	for _, e := range l.entries {
		s.inUse += e.inUse
		s.generations += e.generations
		s.leased += e.leased
		s.short += e.short
		s.waiting += len(e.waiting)
		s.waitingNeed += e.waitingNeed
		s.admitted += e.admittedNeed
	}
	return s
}

// count computes the sums of an entry after waiting or admitted changed.
func (e *entryLease) count() {
	e.waitingNeed, e.admittedNeed = 0, 0
	for _, q := range e.waiting {
		e.waitingNeed += q.Need
	}
	for _, d := range e.admitted {
		e.admittedNeed += d.Need
	}
}

// kept is what is kept free of the total, and what is left.
type kept struct {
	fragmentation, headroom, short, grantable int
}

// free returns what is kept free for moves, short generations and what does not fit.
func (l *Ledger) free(now time.Duration) (k kept) {
	c := l.capacity
	k.fragmentation = min(c.Engines*l.averageNeed/2, c.Total/maxFragmentParts)
	// What leaves now needs no headroom: it is part of the leases, and its engines are not part of the total.
	k.headroom = min(max(0, max(l.leavings.peak(now), c.Fullest)-c.Leaving), c.Total/maxHeadroomParts)
	k.short = l.shorts.peak(now)
	k.grantable = max(0, c.Total-k.fragmentation-k.headroom-k.short)
	return k
}

// freedPerSecond returns the rate at which room becomes free, in tokens, more than 0.
func (l *Ledger) freedPerSecond(now time.Duration, s sums, grantable int) float64 {
	elapsed := 0.0
	if l.renewed {
		elapsed = min(now-l.freedSince, freedWindow).Seconds()
	}
	// One second of what is usual for the leased amount steadies the first seconds.
	usual := float64(max(s.leased, s.inUse)) / usualHold.Seconds()
	measured := (float64(l.freed.sum(now)) + usual) / (elapsed + 1)
	return max(measured, float64(grantable)/slowestTurnover.Seconds(), 1)
}

// until returns when an amount becomes free at a rate, 0 if it is free.
func until(amount int, perSecond float64) time.Duration {
	return time.Duration(min(max(float64(amount)/perSecond, 0), math.MaxInt32) * float64(time.Second))
}

// Share is what one caller has of a service.
type Share struct {
	// InUse is the need of its long generations that run, Waiting the number of those that wait
	// and WaitingNeed their need.
	InUse, Waiting, WaitingNeed int
}

// Stats describes a ledger, for logs and metrics. Amounts are tokens.
type Stats struct {
	Tight   bool
	Engines int
	// Total is the memory of the usable engines. Fragmentation, Headroom (for moves) and
	// ShortPeak are what is kept free of it, and Grantable is the rest, at least 0.
	Total, Fragmentation, Headroom, ShortPeak, Grantable int
	// Leased is what entries hold, Running what their long generations need, Room what is left of
	// Grantable, which is negative if more is leased than may be.
	Leased, Running, Room int
	// Entries and Waiting are numbers of entries with leases and of waiting generations, and
	// Remembered that of refused requests whose turn is kept.
	Entries, Waiting, WaitingNeed, Remembered int
	// FreedPerSecond is the rate at which room becomes free, and FreeIn when an average generation
	// may expect some, 0 if there is room and nobody waits.
	FreedPerSecond float64
	FreeIn         time.Duration
	// Shares are by caller.
	Shares map[string]Share
}

// Stats returns the state of the ledger. While the service is not tight, entries report nothing,
// and Leased, Running, Waiting and Shares are 0 or end within LeaseLifetime.
func (l *Ledger) Stats(now time.Duration) Stats {
	l.update(now)
	s, k := l.sums(), l.free(now)
	stats := Stats{Tight: l.tight, Engines: l.capacity.Engines, Total: l.capacity.Total, Fragmentation: k.fragmentation,
		Headroom: k.headroom, ShortPeak: k.short, Grantable: k.grantable, Leased: s.leased, Running: s.inUse,
		Room: k.grantable - s.leased - l.unreported, Entries: len(l.entries), Waiting: s.waiting,
		WaitingNeed: s.waitingNeed, Remembered: l.memory.count,
		FreedPerSecond: l.freedPerSecond(now, s, k.grantable), Shares: map[string]Share{}}
	stats.FreeIn = l.freeIn(stats.FreedPerSecond, s, stats.Room)
	for _, e := range l.entries {
		for caller, need := range e.running {
			share := stats.Shares[caller]
			share.InUse += need
			stats.Shares[caller] = share
		}
		for _, q := range e.waiting {
			share := stats.Shares[q.Caller]
			share.Waiting++
			share.WaitingNeed += q.Need
			stats.Shares[q.Caller] = share
		}
	}
	return stats
}
