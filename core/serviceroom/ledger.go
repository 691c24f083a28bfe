package serviceroom

import "time"

// Ledger grants leases of one service to all entries, in one place.
type Ledger struct {
	grantsFrom time.Duration
	capacity   Capacity
	tight      bool
}

// NewLedger returns the ledger of a new leader, which grants nothing before grantsFrom: by then
// the leases of its predecessor have ended and all entries have reported what runs. The leader
// passes the time at which it was elected plus LeaseLifetime. A ledger that is made later, for a
// service that is new, needs no such time if the leader's own has passed.
func NewLedger(grantsFrom time.Duration) *Ledger { return &Ledger{grantsFrom: grantsFrom} }

// SetCapacity takes what is known of the engines. The leader calls it with each change of the
// list, reports, standings or evacuations, and at least every 500 ms.
func (l *Ledger) SetCapacity(now time.Duration, c Capacity) { l.capacity = c }

// Renew takes what an entry reports and returns its lease and decisions. Only a leader that is
// confirmed by the quorum may pass the answer on.
func (l *Ledger) Renew(now time.Duration, r Renewal) Grant {
	g := Grant{Valid: LeaseLifetime, Tight: l.Tight(now), Decisions: map[uint64]Decision{}}
	for _, need := range r.Running {
		g.Lease += need
	}
	for _, d := range r.Waiting {
		g.Decisions[d.ID] = Decision{Admit: true}
		g.Lease += d.Need
	}
	return g
}

// Tight reports whether entries have to hold leases. A leader publishes it with the watch not
// before its grantsFrom: until then entries keep the flag that they have.
func (l *Ledger) Tight(now time.Duration) bool { return l.tight }

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
	// FreedPerSecond is the rate at which room becomes free, and FreeIn when an average
	// generation may expect some.
	FreedPerSecond float64
	FreeIn         time.Duration
	// Shares are by caller.
	Shares map[string]Share
}

// Stats returns the state of the ledger.
func (l *Ledger) Stats(now time.Duration) Stats { return Stats{Tight: l.tight} }
