// Package dispatch decides what an entry does after each attempt to have a
// request served: try another backend server, pass the answer on, refuse or
// fail. It has no I/O.
package dispatch

import (
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/retry"
)

const (
	// maxTries bounds the backend servers asked for one request, also when none
	// of them ran it.
	maxTries = 4
	// minRetryTime is the time left below which another attempt is pointless.
	minRetryTime = 30 * time.Millisecond
)

// Result is what became of one attempt.
type Result uint8

// Results. The zero value is the most careful one.
const (
	// Lost: the request was sent and no sound answer came; it may have run.
	Lost Result = iota
	// NotSent: no connection was made.
	NotSent
	// Refused: the server answered that it did not run the request.
	Refused
	// ServerError: the server ran the request and answered with its own error.
	ServerError
	// Answered: a sound answer came.
	Answered
	// NoServer: there was no server to send the request to.
	NoServer
)

// Action is what to do next.
type Action uint8

// Actions.
const (
	// Fail: tell the caller that the request failed and may have run.
	Fail Action = iota
	// Retry: try another server.
	Retry
	// Refuse: tell the caller that the request did not run.
	Refuse
	// Reply: pass the last answer on.
	Reply
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	kind        desired.RouteKind
	maxAttempts int
	budget      *retry.Budget
	tries, runs int
}

// New returns the Machine of a request that counts towards the budget of its
// service.
func New(now time.Duration, kind desired.RouteKind, maxAttempts int, budget *retry.Budget) *Machine {
	budget.Request(now)
	return &Machine{kind: kind, maxAttempts: max(1, maxAttempts), budget: budget}
}

// Tries returns the number of attempts that ended.
func (m *Machine) Tries() int { return m.tries }

// MayHaveRun tells whether an attempt so far may have run.
func (m *Machine) MayHaveRun() bool { return m.runs > 0 }

// Ended takes the result of an attempt. Left is the time in which the caller
// still waits.
func (m *Machine) Ended(now time.Duration, result Result, left time.Duration) Action {
	m.tries++
	switch result {
	case Answered:
		return Reply
	case NoServer:
		return m.giveUp()
	case NotSent:
		if m.tries < maxTries && left > minRetryTime {
			return Retry
		}
		return m.giveUp()
	case Refused:
		if m.tries < maxTries && left > minRetryTime && m.budget.Retry(now) {
			return Retry
		}
		return m.giveUp()
	}
	m.runs++
	if m.kind == desired.Repeatable && m.runs < m.maxAttempts && m.tries < maxTries && left > minRetryTime && m.budget.Retry(now) {
		return Retry
	}
	if result == ServerError {
		return Reply
	}
	return Fail
}

// giveUp refuses only what no server may have run.
func (m *Machine) giveUp() Action {
	if m.runs > 0 {
		return Fail
	}
	return Refuse
}

// String returns the form used in logs.
func (r Result) String() string {
	return [...]string{"lost", "not_sent", "refused", "server_error", "answered", "no_server"}[r]
}

// String returns the form used in logs.
func (a Action) String() string { return [...]string{"fail", "retry", "refuse", "reply"}[a] }
