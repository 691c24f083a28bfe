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

// StateMachine decides on the attempts of one request. It is not safe for
// concurrent use.
type StateMachine struct {
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

// New returns the StateMachine of a request that arrives now. The request adds to
// the retry budget of its caller.
func New(cfg Config, budgets *Budgets, now time.Duration, request Request) *StateMachine {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.StartTimeout == 0 {
		cfg.StartTimeout = defaultStartTimeout
	}
	budgets.deposit(now, request.Caller)
	return &StateMachine{cfg: cfg, request: request, budgets: budgets, winner: -1}
}

// Start dispatches the first attempt. The returned actions are valid until the
// next call.
func (m *StateMachine) Start(now time.Duration) []Action {
	m.actions = m.actions[:0]
	m.dispatch(now)
	return m.actions
}

// SetServer records the server that an attempt was sent to.
func (m *StateMachine) SetServer(attempt uint32, server string) {
	if a := m.record(attempt); a != nil {
		a.server = server
	}
}

// TriedServers returns the servers of all attempts of the request.
func (m *StateMachine) TriedServers() []string {
	var names []string
	for _, a := range m.attempts {
		if a.server != "" {
			names = append(names, a.server)
		}
	}
	return names
}

// Accepted records that the server of an attempt runs or queues it.
func (m *StateMachine) Accepted(attempt uint32) {
	if a := m.record(attempt); a != nil && a.state == dispatched {
		a.state = accepted
	}
}

// Ended records that an attempt was refused, failed or found no server, or that
// its tombstone request was answered. The verdict of err tells whether the
// attempt may have run.
func (m *StateMachine) Ended(now time.Duration, attempt uint32, err *verdict.Error) []Action {
	m.actions = m.actions[:0]
	a := m.record(attempt)
	if a == nil || a.state == ended || m.finished {
		return m.actions
	}
	a.state = ended
	if err.Verdict != verdict.NotRun {
		m.mayHaveRun = true
	}
	winnerFailed := m.winner == int(attempt)
	if m.openAttempts() > 0 && !winnerFailed {
		return m.actions
	}
	// Without an available server there is no target for a retry.
	if err.Reason != verdict.ReasonNoBackendServer && m.canRetry(now, winnerFailed) &&
		m.budgets.withdraw(now, m.request.Caller, retryCost(err)) {
		m.winner = -1
		m.dispatch(now)
		return m.actions
	}
	m.fail(err)
	return m.actions
}

// canRetry reports whether another attempt is safe and within the limits of the
// request.
func (m *StateMachine) canRetry(now time.Duration, winnerFailed bool) bool {
	if len(m.attempts) >= m.cfg.MaxAttempts || m.request.Deadline > 0 && now >= m.request.Deadline {
		return false
	}
	if m.mayHaveRun && !m.request.Repeatable {
		return false
	}
	return !(winnerFailed || m.delivered) || !m.request.Streamed
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
func (m *StateMachine) FirstToken(_ time.Duration, attempt uint32) []Action {
	m.actions = m.actions[:0]
	a := m.record(attempt)
	if a == nil || a.state == ended || m.finished || m.winner >= 0 {
		return m.actions
	}
	a.state = accepted
	m.winner, m.delivered = int(attempt), true
	for i := range m.attempts {
		if i != int(attempt) && m.attempts[i].state != ended {
			m.attempts[i].state = ended
			m.mayHaveRun = true
			m.actions = append(m.actions, Action{Kind: Cancel, Attempt: uint32(i)})
		}
	}
	return m.actions
}

// Completed records that the whole response was delivered.
func (m *StateMachine) Completed() { m.finished = true }

// Tick requests tombstones for attempts whose start was not answered in time, and
// hedges slow ones.
func (m *StateMachine) Tick(now time.Duration) []Action {
	m.actions = m.actions[:0]
	if m.finished {
		return m.actions
	}
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.state == dispatched && now-a.dispatchedAt >= m.cfg.StartTimeout {
			a.state = tombstonePending
			m.actions = append(m.actions, Action{Kind: PlaceTombstone, Attempt: uint32(i)})
		}
	}
	if m.hedgeDue(now) && m.budgets.withdraw(now, m.request.Caller, hedgeCost) {
		m.hedged = true
		m.dispatch(now)
	}
	return m.actions
}

func (m *StateMachine) hedgeDue(now time.Duration) bool {
	if m.cfg.HedgeAfter == 0 || !m.request.Repeatable || m.hedged || m.winner >= 0 ||
		len(m.attempts) == 0 || len(m.attempts) >= m.cfg.MaxAttempts || m.openAttempts() != 1 {
		return false
	}
	return now-m.attempts[len(m.attempts)-1].dispatchedAt >= m.cfg.HedgeAfter
}

func (m *StateMachine) dispatch(now time.Duration) {
	m.attempts = append(m.attempts, attemptRecord{dispatchedAt: now})
	m.actions = append(m.actions, Action{Kind: Dispatch, Attempt: uint32(len(m.attempts) - 1)})
}

// fail ends the request. If an earlier attempt may have run, the final verdict
// says so even when the last attempt was refused.
func (m *StateMachine) fail(err *verdict.Error) {
	m.finished = true
	final := *err
	if m.mayHaveRun && final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	m.actions = append(m.actions, Action{Kind: Fail, Err: &final})
	for i := range m.attempts {
		if m.attempts[i].state != ended {
			m.actions = append(m.actions, Action{Kind: Cancel, Attempt: uint32(i)})
		}
	}
}

func (m *StateMachine) record(attempt uint32) *attemptRecord {
	if int(attempt) >= len(m.attempts) {
		return nil
	}
	return &m.attempts[attempt]
}

// openAttempts returns the number of attempts that have not ended.
func (m *StateMachine) openAttempts() int {
	n := 0
	for _, a := range m.attempts {
		if a.state != ended {
			n++
		}
	}
	return n
}
