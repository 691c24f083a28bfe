// Package order decides which orders an agent sends to one backend server and
// whether it may still send them.
//
// Orders to a backend server have one issuer at a time: the holder of its
// lease. The control group grants a lease with a growing fencing number and
// waits out the old lease before it grants a new one. The holder counts its
// lease from the moment at which it sent the request and checks it directly
// before each order.
// So an engine that ignores fencing numbers is safe as well.
package order

import (
	"sort"
	"time"
)

// Timing of leases.
const (
	// LeaseDuration bounds how long another issuer waits after a crash.
	LeaseDuration = 20 * time.Second
	// RenewBefore leaves time for several attempts to renew.
	RenewBefore = 10 * time.Second
	// SendMargin is what must be left of the lease for an order to be sent. It
	// covers the way of the order to the engine on the same host.
	SendMargin = 2 * time.Second
	// SlotDuration bounds one load of weights.
	SlotDuration = 10 * time.Minute
	// minRetry and maxRetry bound the pause after a failed order or call.
	minRetry = 500 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Target is one thing that a backend server shall have loaded.
type Target struct {
	// Kind is "load_model", "load_version" or "load_adapter".
	Kind string
	Name string
}

// ActionKind tells what the caller of the issuer must do.
type ActionKind uint8

// Kinds of actions. Each one is answered by the input of the same name.
const (
	ActionAcquireLease ActionKind = iota + 1
	ActionRenewLease
	ActionAcquireSlot
	ActionReleaseSlot
	ActionSendOrder
)

// Action is one step for the shell.
type Action struct {
	Kind    ActionKind
	Target  Target
	Fencing uint64
}

// Outcome is the end of an order.
type Outcome uint8

// Outcomes of an order. Unknown means that the order may have been carried
// out; loading twice is harmless, so it is sent again.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeRefused
	OutcomeFenced
)

type lease struct {
	fencing uint64
	until   time.Time
}

// Issuer is the state for one backend server.
type Issuer struct {
	wanted  []Target
	done    map[Target]bool
	lease   *lease
	slot    bool
	busy    bool
	retryAt time.Time
	retry   time.Duration
}

// New returns an issuer without a lease.
func New() *Issuer { return &Issuer{done: map[Target]bool{}} }

// SetTargets sets what the backend server shall have loaded.
func (i *Issuer) SetTargets(targets []Target) {
	i.wanted = append([]Target(nil), targets...)
	sort.Slice(i.wanted, func(a, b int) bool {
		x, y := i.wanted[a], i.wanted[b]
		return x.Kind+x.Name < y.Kind+y.Name
	})
}

// ResetLoaded marks everything as not loaded, after the backend server restarted.
func (i *Issuer) ResetLoaded() { i.done = map[Target]bool{} }

// Loaded tells whether all targets were loaded.
func (i *Issuer) Loaded() bool {
	_, missing := i.next()
	return !missing
}

func (i *Issuer) next() (Target, bool) {
	for _, t := range i.wanted {
		if !i.done[t] {
			return t, true
		}
	}
	return Target{}, false
}

// MaySend is checked directly before an order with this fencing number leaves.
func (i *Issuer) MaySend(now time.Time, fencing uint64) bool {
	return i.lease != nil && i.lease.fencing == fencing && now.Add(SendMargin).Before(i.lease.until)
}

// Next returns the next action, at most one at a time.
func (i *Issuer) Next(now time.Time) (Action, bool) {
	target, missing := i.next()
	if i.busy || now.Before(i.retryAt) || (!missing && !i.slot) {
		return Action{}, false
	}
	switch {
	case !missing:
		return i.start(Action{Kind: ActionReleaseSlot})
	case i.lease == nil || !now.Before(i.lease.until):
		i.lease = nil
		return i.start(Action{Kind: ActionAcquireLease})
	case !now.Add(RenewBefore).Before(i.lease.until):
		return i.start(Action{Kind: ActionRenewLease, Fencing: i.lease.fencing})
	case !i.slot:
		return i.start(Action{Kind: ActionAcquireSlot})
	}
	return i.start(Action{Kind: ActionSendOrder, Target: target, Fencing: i.lease.fencing})
}

func (i *Issuer) start(a Action) (Action, bool) {
	i.busy = true
	return a, true
}

// LeaseGranted records a lease that was asked for at sentAt.
func (i *Issuer) LeaseGranted(sentAt time.Time, fencing uint64, duration time.Duration) {
	i.busy, i.retry = false, 0
	i.lease = &lease{fencing: fencing, until: sentAt.Add(duration)}
}

// Denied records that a lease or a slot was not granted. After a denied
// renewal the lease is gone.
func (i *Issuer) Denied(now time.Time, kind ActionKind, retryAfter time.Duration) {
	if kind == ActionRenewLease {
		i.lease = nil
	}
	i.failed(now, retryAfter)
}

// Failed records that a call to the control group had no answer.
func (i *Issuer) Failed(now time.Time) { i.failed(now, 0) }

func (i *Issuer) failed(now time.Time, retryAfter time.Duration) {
	i.busy = false
	i.retry = min(max(2*i.retry, minRetry), maxRetry)
	i.retryAt = now.Add(max(i.retry, retryAfter))
}

// SlotGranted records the right to load weights.
func (i *Issuer) SlotGranted() { i.busy, i.slot, i.retry = false, true, 0 }

// SlotReleased records the end of a release, also of one without an answer:
// the slot then runs out by itself.
func (i *Issuer) SlotReleased() { i.busy, i.slot = false, false }

// OrderFinished records the end of an order.
func (i *Issuer) OrderFinished(now time.Time, target Target, outcome Outcome) {
	switch outcome {
	case OutcomeDone:
		i.busy, i.retry = false, 0
		i.done[target] = true
	case OutcomeFenced:
		i.lease = nil
		i.failed(now, 0)
	default:
		i.failed(now, 0)
	}
}
