package attempt

import (
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// Config limits the attempts of one request. Zero fields take defaults.
type Config struct {
	MaxAttempts int
	// StartTimeout is how long an attempt may go without a reply to its start
	// before a tombstone is requested for it.
	StartTimeout time.Duration
	// HedgeAfter is how long a repeatable request waits for its first token
	// before it is also sent to a second server. Zero disables hedging.
	HedgeAfter time.Duration
}

const (
	defaultMaxAttempts  = 3
	defaultStartTimeout = 2 * time.Second
)

// Request describes the properties of a request that limit its attempts.
type Request struct {
	Caller string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Streamed is set if tokens are delivered as they are generated. Such a
	// request cannot restart once a token was delivered.
	Streamed bool
	// Deadline is the time from which no new attempt starts. Zero means none.
	Deadline time.Duration
}

// ActionKind is what the entry has to do.
type ActionKind uint8

// Kinds of actions. Dispatch starts a new attempt on a server that was not tried
// yet, PlaceTombstone requests a tombstone for an attempt whose start was not
// answered, Cancel stops an attempt that is no longer needed, and Fail ends the
// request with Err.
const (
	Dispatch ActionKind = iota + 1
	PlaceTombstone
	Cancel
	Fail
)

// Action is an instruction to the entry.
type Action struct {
	Kind    ActionKind
	Attempt uint32
	// Err is set for Fail. Its verdict covers all attempts of the request.
	Err *verdict.Error
}

// state is the state of one attempt.
type state uint8

const (
	dispatched state = iota
	accepted
	tombstonePending
	ended
)

type attemptRecord struct {
	state        state
	server       string
	dispatchedAt time.Duration
}

// Retrier decides when the attempts of one request start, are retried, hedged or
// canceled. It is not safe for concurrent use.
type Retrier struct {
	cfg      Config
	request  Request
	budgets  *Budgets
	attempts []attemptRecord
	// winner is the attempt whose output is delivered, or -1.
	winner int
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun, delivered, hedged, finished bool
	actions                                 []Action
}

// New returns the Retrier of a request that arrives now. The request adds to
// the retry budget of its caller.
func New(cfg Config, budgets *Budgets, now time.Duration, request Request) *Retrier {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.StartTimeout == 0 {
		cfg.StartTimeout = defaultStartTimeout
	}
	budgets.deposit(now, request.Caller)
	return &Retrier{cfg: cfg, request: request, budgets: budgets, winner: -1}
}

// Start dispatches the first attempt. The returned actions are valid until the
// next call.
func (r *Retrier) Start(now time.Duration) []Action {
	r.actions = r.actions[:0]
	r.dispatch(now)
	return r.actions
}

// SetServer records the server that an attempt was sent to.
func (r *Retrier) SetServer(attempt uint32, server string) {
	if a := r.record(attempt); a != nil {
		a.server = server
	}
}

// TriedServers returns the servers of all attempts of the request.
func (r *Retrier) TriedServers() []string {
	var names []string
	for _, a := range r.attempts {
		if a.server != "" {
			names = append(names, a.server)
		}
	}
	return names
}

// Accepted records that the server of an attempt runs or queues it.
func (r *Retrier) Accepted(attempt uint32) {
	if a := r.record(attempt); a != nil && a.state == dispatched {
		a.state = accepted
	}
}

// Ended records that an attempt was refused, failed or found no server, or that
// its tombstone request was answered. The verdict of err tells whether the
// attempt may have run.
func (r *Retrier) Ended(now time.Duration, attempt uint32, err *verdict.Error) []Action {
	r.actions = r.actions[:0]
	a := r.record(attempt)
	if a == nil || a.state == ended || r.finished {
		return r.actions
	}
	a.state = ended
	if err.Verdict != verdict.NotRun {
		r.mayHaveRun = true
	}
	winnerFailed := r.winner == int(attempt)
	if r.openAttempts() > 0 && !winnerFailed {
		return r.actions
	}
	// Without an available server there is no target for a retry.
	if err.Reason != verdict.ReasonNoBackendServer && r.canRetry(now, winnerFailed) &&
		r.budgets.withdraw(now, r.request.Caller, retryCost(err)) {
		r.winner = -1
		r.dispatch(now)
		return r.actions
	}
	r.fail(err)
	return r.actions
}

// canRetry reports whether another attempt is safe and within the limits of the
// request.
func (r *Retrier) canRetry(now time.Duration, winnerFailed bool) bool {
	if len(r.attempts) >= r.cfg.MaxAttempts || r.request.Deadline > 0 && now >= r.request.Deadline {
		return false
	}
	if r.mayHaveRun && !r.request.Repeatable {
		return false
	}
	return !(winnerFailed || r.delivered) || !r.request.Streamed
}

// retryCost returns what a retry after err takes from the budget.
func retryCost(err *verdict.Error) float64 {
	if err.Verdict == verdict.NotRun {
		switch err.Reason {
		case verdict.ReasonOverloaded, verdict.ReasonQueueFull, verdict.ReasonLeaving, verdict.ReasonWrongIncarnation:
			return refusalRetryCost
		}
	}
	return failureRetryCost
}

// FirstToken records that an attempt delivered its first token or its response.
// It cancels the other attempts, whose output is never used.
func (r *Retrier) FirstToken(_ time.Duration, attempt uint32) []Action {
	r.actions = r.actions[:0]
	a := r.record(attempt)
	if a == nil || a.state == ended || r.finished || r.winner >= 0 {
		return r.actions
	}
	a.state = accepted
	r.winner, r.delivered = int(attempt), true
	for i := range r.attempts {
		if i != int(attempt) && r.attempts[i].state != ended {
			r.attempts[i].state = ended
			r.mayHaveRun = true
			r.actions = append(r.actions, Action{Kind: Cancel, Attempt: uint32(i)})
		}
	}
	return r.actions
}

// Completed records that the whole response was delivered.
func (r *Retrier) Completed() { r.finished = true }

// Tick requests tombstones for attempts whose start was not answered in time, and
// hedges slow ones.
func (r *Retrier) Tick(now time.Duration) []Action {
	r.actions = r.actions[:0]
	if r.finished {
		return r.actions
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == dispatched && now-a.dispatchedAt >= r.cfg.StartTimeout {
			a.state = tombstonePending
			r.actions = append(r.actions, Action{Kind: PlaceTombstone, Attempt: uint32(i)})
		}
	}
	if r.hedgeDue(now) && r.budgets.withdraw(now, r.request.Caller, hedgeCost) {
		r.hedged = true
		r.dispatch(now)
	}
	return r.actions
}

func (r *Retrier) hedgeDue(now time.Duration) bool {
	if r.cfg.HedgeAfter == 0 || !r.request.Repeatable || r.hedged || r.winner >= 0 ||
		len(r.attempts) == 0 || len(r.attempts) >= r.cfg.MaxAttempts || r.openAttempts() != 1 {
		return false
	}
	return now-r.attempts[len(r.attempts)-1].dispatchedAt >= r.cfg.HedgeAfter
}

func (r *Retrier) dispatch(now time.Duration) {
	r.attempts = append(r.attempts, attemptRecord{dispatchedAt: now})
	r.actions = append(r.actions, Action{Kind: Dispatch, Attempt: uint32(len(r.attempts) - 1)})
}

// fail ends the request. If an earlier attempt may have run, the final verdict
// says so even when the last attempt was refused.
func (r *Retrier) fail(err *verdict.Error) {
	r.finished = true
	final := *err
	if r.mayHaveRun && final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	r.actions = append(r.actions, Action{Kind: Fail, Err: &final})
	for i := range r.attempts {
		if r.attempts[i].state != ended {
			r.actions = append(r.actions, Action{Kind: Cancel, Attempt: uint32(i)})
		}
	}
}

func (r *Retrier) record(attempt uint32) *attemptRecord {
	if int(attempt) >= len(r.attempts) {
		return nil
	}
	return &r.attempts[attempt]
}

// openAttempts returns the number of attempts that have not ended.
func (r *Retrier) openAttempts() int {
	n := 0
	for _, a := range r.attempts {
		if a.state != ended {
			n++
		}
	}
	return n
}
