package attempt

import (
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// Config bounds the attempts of one request. Zero fields get defaults.
type Config struct {
	MaxAttempts int
	// StartTimeout is the time without an answer to a start after which the
	// attempt is buried.
	StartTimeout time.Duration
	// HedgeAfter is the wait for a first token after which a repeatable request
	// is sent to a second server as well; zero means never.
	HedgeAfter time.Duration
}

const (
	defaultMaxAttempts  = 3
	defaultStartTimeout = 2 * time.Second
)

// Request describes the request.
type Request struct {
	Caller string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streamed requests deliver tokens as they come, so they cannot start over
	// once a token was delivered.
	Streamed bool
	// Deadline bounds new attempts; zero means none.
	Deadline time.Duration
}

// ActionKind names what the entry has to do.
type ActionKind uint8

// Kinds of actions. Dispatch places and starts a new attempt on a server that
// was not tried, PlaceTombstone asks for a tombstone, Cancel ends an attempt that is no
// longer needed, Fail ends the request with Err.
const (
	Dispatch ActionKind = iota + 1
	PlaceTombstone
	Cancel
	Fail
)

// Action is one order to the entry.
type Action struct {
	Kind    ActionKind
	Attempt uint32
	// Err is set for Fail. Its verdict covers all attempts.
	Err *verdict.Error
}

// state of one attempt.
type state uint8

const (
	dispatched state = iota
	accepted
	burying
	ended
)

type try struct {
	state  state
	server string
	since  time.Duration
}

// StateMachine is the state of one request. It is not safe for concurrent use.
type StateMachine struct {
	cfg     Config
	spec    Request
	budgets *Budgets
	tries   []try
	winner  int
	// mayHaveRun is set when an ended attempt has no proof of not run.
	mayHaveRun, delivered, hedged, over bool
	actions                             []Action
}

// New returns the Machine of a request that arrived now, which adds to the
// caller's budget.
func New(cfg Config, budgets *Budgets, now time.Duration, spec Request) *StateMachine {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.StartTimeout == 0 {
		cfg.StartTimeout = defaultStartTimeout
	}
	budgets.deposit(now, spec.Caller)
	return &StateMachine{cfg: cfg, spec: spec, budgets: budgets, winner: -1}
}

// Start dispatches the first attempt. Returned actions are valid until the next
// call.
func (m *StateMachine) Start(now time.Duration) []Action {
	m.actions = m.actions[:0]
	m.dispatch(now)
	return m.actions
}

// SetServer tells which server an attempt was sent to.
func (m *StateMachine) SetServer(attempt uint32, server string) {
	if t := m.try(attempt); t != nil {
		t.server = server
	}
}

// TriedServers returns the servers of all attempts so far.
func (m *StateMachine) TriedServers() []string {
	var names []string
	for _, t := range m.tries {
		if t.server != "" {
			names = append(names, t.server)
		}
	}
	return names
}

// Accepted tells that the server of an attempt runs or queues it.
func (m *StateMachine) Accepted(attempt uint32) {
	if t := m.try(attempt); t != nil && t.state == dispatched {
		t.state = accepted
	}
}

// Ended tells that an attempt was refused, failed, found no server, or that its
// burial was answered; err carries what is known of it.
func (m *StateMachine) Ended(now time.Duration, attempt uint32, err *verdict.Error) []Action {
	m.actions = m.actions[:0]
	t := m.try(attempt)
	if t == nil || t.state == ended || m.over {
		return m.actions
	}
	t.state = ended
	if err.Verdict != verdict.NotRun {
		m.mayHaveRun = true
	}
	lost := m.winner == int(attempt)
	if m.open() > 0 && !lost {
		return m.actions
	}
	// Without a server there is nothing to repeat on.
	if err.Reason != verdict.ReasonNoBackendServer && m.mayRepeat(now, lost) && m.budgets.withdraw(now, m.spec.Caller, cost(err)) {
		m.winner = -1
		m.dispatch(now)
		return m.actions
	}
	m.fail(err)
	return m.actions
}

// mayRepeat tells whether another attempt is safe and within its bounds.
func (m *StateMachine) mayRepeat(now time.Duration, lost bool) bool {
	if len(m.tries) >= m.cfg.MaxAttempts || m.spec.Deadline > 0 && now >= m.spec.Deadline {
		return false
	}
	if m.mayHaveRun && !m.spec.Repeatable {
		return false
	}
	return !(lost || m.delivered) || !m.spec.Streamed
}

// cost is what a retry after err takes from the budget.
func cost(err *verdict.Error) float64 {
	if err.Verdict == verdict.NotRun {
		switch err.Reason {
		case verdict.ReasonOverloaded, verdict.ReasonQueueFull, verdict.ReasonLeaving, verdict.ReasonWrongIncarnation:
			return costRefused
		}
	}
	return costFailed
}

// FirstToken tells that an attempt delivered its first token or its response.
// Other attempts are canceled; their output is never used.
func (m *StateMachine) FirstToken(_ time.Duration, attempt uint32) []Action {
	m.actions = m.actions[:0]
	t := m.try(attempt)
	if t == nil || t.state == ended || m.over || m.winner >= 0 {
		return m.actions
	}
	t.state = accepted
	m.winner, m.delivered = int(attempt), true
	for i := range m.tries {
		if i != int(attempt) && m.tries[i].state != ended {
			m.tries[i].state = ended
			m.mayHaveRun = true
			m.actions = append(m.actions, Action{Kind: Cancel, Attempt: uint32(i)})
		}
	}
	return m.actions
}

// Completed tells that the whole answer was delivered.
func (m *StateMachine) Completed() { m.over = true }

// Tick buries attempts without an answer and hedges slow ones.
func (m *StateMachine) Tick(now time.Duration) []Action {
	m.actions = m.actions[:0]
	if m.over {
		return m.actions
	}
	for i := range m.tries {
		t := &m.tries[i]
		if t.state == dispatched && now-t.since >= m.cfg.StartTimeout {
			t.state = burying
			m.actions = append(m.actions, Action{Kind: PlaceTombstone, Attempt: uint32(i)})
		}
	}
	if m.hedgeDue(now) && m.budgets.withdraw(now, m.spec.Caller, costHedge) {
		m.hedged = true
		m.dispatch(now)
	}
	return m.actions
}

func (m *StateMachine) hedgeDue(now time.Duration) bool {
	if m.cfg.HedgeAfter == 0 || !m.spec.Repeatable || m.hedged || m.winner >= 0 ||
		len(m.tries) == 0 || len(m.tries) >= m.cfg.MaxAttempts || m.open() != 1 {
		return false
	}
	return now-m.tries[len(m.tries)-1].since >= m.cfg.HedgeAfter
}

func (m *StateMachine) dispatch(now time.Duration) {
	m.tries = append(m.tries, try{since: now})
	m.actions = append(m.actions, Action{Kind: Dispatch, Attempt: uint32(len(m.tries) - 1)})
}

// fail ends the request. A refusal of the last attempt does not make up for an
// earlier one that may have run.
func (m *StateMachine) fail(err *verdict.Error) {
	m.over = true
	final := *err
	if m.mayHaveRun && final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	m.actions = append(m.actions, Action{Kind: Fail, Err: &final})
	for i := range m.tries {
		if m.tries[i].state != ended {
			m.actions = append(m.actions, Action{Kind: Cancel, Attempt: uint32(i)})
		}
	}
}

func (m *StateMachine) try(attempt uint32) *try {
	if int(attempt) >= len(m.tries) {
		return nil
	}
	return &m.tries[attempt]
}

// open counts the attempts that have not ended.
func (m *StateMachine) open() int {
	n := 0
	for _, t := range m.tries {
		if t.state != ended {
			n++
		}
	}
	return n
}
