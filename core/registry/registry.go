// Package registry implements the replicated state of the control group: the
// configuration, the call ledger, leases, the membership of hosts, the requests
// suspected of crashes and the evacuated failure domains. It is a deterministic state machine: equal logs give equal
// states.
package registry

import (
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

// Errors of Apply.
var (
	ErrAlreadyApplied = errors.New("the index was applied before")
)

// Registry is the whole replicated state. It is not safe for concurrent use.
type Registry struct {
	index       uint64
	clock       time.Duration
	proposer    uint64
	proposedAt  time.Duration
	config      configuration
	calls       ledger
	leases      leases
	slots       slots
	members     *host.Table
	quarantine  *quarantine.Table
	evacuations failuredomain.Evacuations
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		config: newConfiguration(), calls: newLedger(), leases: newLeases(), slots: newSlots(),
		members: host.NewTable(), quarantine: quarantine.NewTable(),
	}
}

// Clock returns the elapsed time between consecutive commands of the same proposer,
// summed over all proposers. A clock of a proposer that jumps back therefore has no
// effect, and neither has a new leader whose clock is ahead. If the clock were the
// largest time seen, such a leader would expire leases that their holders still use.
func (r *Registry) Clock() time.Duration { return r.clock }

// ClockAt returns the value of Clock after a command of a proposer at an elapsed
// time.
func (r *Registry) ClockAt(proposer uint64, elapsed time.Duration) time.Duration {
	if proposer != r.proposer {
		return r.clock
	}
	return r.clock + max(0, elapsed-r.proposedAt)
}

func (r *Registry) advanceClock(proposer uint64, elapsed time.Duration) {
	r.clock = r.ClockAt(proposer, elapsed)
	if proposer == r.proposer {
		elapsed = max(elapsed, r.proposedAt)
	}
	r.proposer, r.proposedAt = proposer, elapsed
}

// Index returns the index of the last applied command.
func (r *Registry) Index() uint64 { return r.index }

// Apply executes one encoded command and returns its result, which is a reply
// message or an error.
func (r *Registry) Apply(index uint64, command []byte) any {
	if index <= r.index {
		return ErrAlreadyApplied
	}
	r.index = index
	var c Command
	if err := decoding.Unmarshal(command, &c); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "decode command %d", index)
	}
	r.advanceClock(c.Proposer, c.Time)
	r.calls.removeExpired(r.clock)
	r.quarantine.Expire(r.clock)
	return r.execute(&c)
}

func (r *Registry) execute(c *Command) any {
	switch {
	case c.ChangeConfig != nil:
		return r.changeConfig(c.ChangeConfig)
	case c.BeginCall != nil:
		return r.calls.begin(r.clock, c.BeginCall)
	case c.FinishCall != nil:
		return r.calls.finish(r.clock, c.FinishCall)
	case c.Lease != nil:
		return r.applyLease(c.Lease)
	case c.LoadSlot != nil:
		return r.slots.apply(r.clock, c.LoadSlot)
	case c.RecordCrash != nil:
		return r.recordCrash(c.RecordCrash)
	case c.Evacuate != nil:
		return r.evacuate(c.Evacuate)
	default:
		return r.executeMembership(c)
	}
}

func (r *Registry) executeMembership(c *Command) any {
	switch {
	case c.Reports != nil:
		for _, report := range c.Reports {
			r.members.Report(report)
		}
	case c.DeadHosts != nil:
		for _, d := range c.DeadHosts {
			r.members.MarkDead(d.Host, d.Incarnation)
		}
	case c.SetLeaving != nil:
		return r.setLeaving(c.SetLeaving)
	case c.SetPlatformLeaving != nil:
		if err := r.members.SetPlatformLeaving(c.SetPlatformLeaving.Leaving); err != nil {
			return overloadedError(err)
		}
	}
	return message.LeavingReply{Sequence: r.members.Sequence}
}

func overloadedError(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.ReasonOverloaded, "the registry is full").
		WithRetryAfter(fullRetryAfter)
}

// fullRetryAfter is the retry delay sent in replies if a bounded table is full.
const fullRetryAfter = 10 * time.Second

func (r *Registry) setLeaving(c *SetLeaving) any {
	if c.Host == "" && c.BackendServer == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "neither a host nor a backend server is named")
	}
	if c.Host != "" {
		if err := r.members.SetHostLeaving(c.Host, c.Operator, c.Leaving); err != nil {
			return overloadedError(err)
		}
	}
	if c.BackendServer != "" {
		if err := r.members.SetServerLeaving(c.BackendServer, c.Operator, c.Leaving); err != nil {
			return overloadedError(err)
		}
	}
	return message.LeavingReply{Sequence: r.members.Sequence}
}

func (r *Registry) recordCrash(c *RecordCrash) any {
	r.quarantine.RecordCrash(r.clock, c.CrashID, c.InFlight)
	r.quarantine.RecordSuccess(r.clock, c.Cleared)
	reply := message.CrashReply{}
	for _, digest := range c.InFlight {
		if q, ok := r.quarantine.Lookup(r.clock, digest); ok {
			reply.Quarantine = append(reply.Quarantine, q)
		}
	}
	return reply
}

// Members returns the membership of hosts. It must not be modified.
func (r *Registry) Members() *host.Table { return r.members }

// Quarantine returns the table of suspected requests. It must not be modified.
func (r *Registry) Quarantine() *quarantine.Table { return r.quarantine }

// Calls returns the number of calls in the ledger.
func (r *Registry) Calls() int { return len(r.calls.records) }

// Leases returns the number of lease records.
func (r *Registry) Leases() int { return len(r.leases.ByServer) }
