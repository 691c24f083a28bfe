// Package order decides which orders an agent sends to one backend server and
// whether it may still send them.
//
// A backend server has one issuer of orders at a time: the holder of its lease.
// The control group grants each lease with an increasing fencing number, and only
// after the previous lease has expired. The holder counts the duration of its
// lease from the time at which it sent the request, and checks the lease directly
// before it sends an order. This also protects an engine that does not check
// fencing numbers.
package order

import (
	"sort"
	"time"
)

// Timing of leases.
const (
	// LeaseDuration limits the time that another issuer waits after a crash of the
	// holder.
	LeaseDuration = 20 * time.Second
	// RenewBefore is the remaining time at which a lease is renewed. It leaves time
	// for several attempts.
	RenewBefore = 10 * time.Second
	// SendMargin is the minimum remaining time of the lease for sending an order.
	// It covers the delivery of the order to the engine on the same host.
	SendMargin = 2 * time.Second
	// SlotDuration limits the time for loading weights in one slot.
	SlotDuration = 10 * time.Minute
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed
	// order or call.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// Target is a model, version or adapter that a backend server must load.
type Target struct {
	// Kind is "load_model", "load_version" or "load_adapter".
	Kind string
	Name string
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. The runner reports the outcome of a lease request by
// LeaseGranted, of a slot request by SlotGranted, of a release by SlotReleased
// and of an order by OrderFinished. Requests may also end in Denied or Failed.
const (
	ActionAcquireLease ActionKind = iota + 1
	ActionRenewLease
	ActionAcquireSlot
	ActionReleaseSlot
	ActionSendOrder
)

// Action is one step for the runner, which does the I/O.
type Action struct {
	Kind    ActionKind
	Target  Target
	Fencing uint64
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order. After OutcomeUnknown the order may have been executed. It
// is sent again, because loading twice is harmless.
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

// Issuer is the state of the orders to one backend server.
type Issuer struct {
	targets    []Target
	loaded     map[Target]bool
	lease      *lease
	hasSlot    bool
	inFlight   bool
	retryAt    time.Time
	retryDelay time.Duration
}

// New returns an issuer without a lease.
func New() *Issuer { return &Issuer{loaded: map[Target]bool{}} }

// SetTargets sets the targets that the backend server must load.
func (i *Issuer) SetTargets(targets []Target) {
	i.targets = append([]Target(nil), targets...)
	sort.Slice(i.targets, func(a, b int) bool {
		x, y := i.targets[a], i.targets[b]
		return x.Kind+x.Name < y.Kind+y.Name
	})
}

// ResetLoaded marks all targets as not loaded, after a restart of the backend
// server.
func (i *Issuer) ResetLoaded() { i.loaded = map[Target]bool{} }

// Loaded reports whether all targets are loaded.
func (i *Issuer) Loaded() bool {
	_, missing := i.nextTarget()
	return !missing
}

// nextTarget returns the first target that is not loaded. It reports false if all
// are.
func (i *Issuer) nextTarget() (Target, bool) {
	for _, t := range i.targets {
		if !i.loaded[t] {
			return t, true
		}
	}
	return Target{}, false
}

// MaySend reports whether the lease still permits an order with this fencing
// number. It must be called directly before the order is sent.
func (i *Issuer) MaySend(now time.Time, fencing uint64) bool {
	return i.lease != nil && i.lease.fencing == fencing && now.Add(SendMargin).Before(i.lease.until)
}

// Next returns the next action. At most one action is in flight.
func (i *Issuer) Next(now time.Time) (Action, bool) {
	target, missing := i.nextTarget()
	if i.inFlight || now.Before(i.retryAt) || (!missing && !i.hasSlot) {
		return Action{}, false
	}
	switch {
	case !missing:
		return i.begin(Action{Kind: ActionReleaseSlot})
	case i.lease == nil || !now.Before(i.lease.until):
		i.lease = nil
		return i.begin(Action{Kind: ActionAcquireLease})
	case !now.Add(RenewBefore).Before(i.lease.until):
		return i.begin(Action{Kind: ActionRenewLease, Fencing: i.lease.fencing})
	case !i.hasSlot:
		return i.begin(Action{Kind: ActionAcquireSlot})
	}
	return i.begin(Action{Kind: ActionSendOrder, Target: target, Fencing: i.lease.fencing})
}

func (i *Issuer) begin(a Action) (Action, bool) {
	i.inFlight = true
	return a, true
}

// LeaseGranted records a lease whose request was sent at sentAt.
func (i *Issuer) LeaseGranted(sentAt time.Time, fencing uint64, duration time.Duration) {
	i.inFlight, i.retryDelay = false, 0
	i.lease = &lease{fencing: fencing, until: sentAt.Add(duration)}
}

// Denied records that a lease or a slot was not granted. A denied renewal ends
// the lease.
func (i *Issuer) Denied(now time.Time, kind ActionKind, retryAfter time.Duration) {
	if kind == ActionRenewLease {
		i.lease = nil
	}
	i.backOff(now, retryAfter)
}

// Failed records that a call to the control group failed.
func (i *Issuer) Failed(now time.Time) { i.backOff(now, 0) }

// backOff ends the current action and delays the next one. The delay doubles with
// each failure and is at least retryAfter.
func (i *Issuer) backOff(now time.Time, retryAfter time.Duration) {
	i.inFlight = false
	i.retryDelay = min(max(2*i.retryDelay, minRetryDelay), maxRetryDelay)
	i.retryAt = now.Add(max(i.retryDelay, retryAfter))
}

// SlotGranted records that a load slot was granted.
func (i *Issuer) SlotGranted() { i.inFlight, i.hasSlot, i.retryDelay = false, true, 0 }

// SlotReleased records that the slot was released. It also applies to a release
// without a reply, because the slot then expires.
func (i *Issuer) SlotReleased() { i.inFlight, i.hasSlot = false, false }

// OrderFinished records the outcome of an order.
func (i *Issuer) OrderFinished(now time.Time, target Target, outcome Outcome) {
	switch outcome {
	case OutcomeDone:
		i.inFlight, i.retryDelay = false, 0
		i.loaded[target] = true
	case OutcomeFenced:
		i.lease = nil
		i.backOff(now, 0)
	default:
		i.backOff(now, 0)
	}
}
