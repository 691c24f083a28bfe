// Package dispatch decides what an entry does after each attempt to serve a
// request: retry on another backend server, return the response to the caller,
// refuse the request or fail it. It does no I/O.
package dispatch

import (
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/retry"
)

const (
	// maxTotalAttempts limits the attempts of one request, including those that no
	// backend server ran.
	maxTotalAttempts = 4
	// minRetryTime is the shortest remaining time in which another attempt can
	// succeed.
	minRetryTime = 30 * time.Millisecond
)

// Result is the outcome of one attempt.
type Result uint8

// Results of an attempt. The zero value is the most pessimistic one.
const (
	// Lost means that the request was sent and no valid response was received. It
	// may have run.
	Lost Result = iota
	// NotSent means that no connection was established.
	NotSent
	// Refused means that the server replied that it did not run the request.
	Refused
	// ServerError means that the server ran the request and returned an error.
	ServerError
	// Answered means that a valid response was received.
	Answered
	// NoServer means that no server was available.
	NoServer
	// Outlasting means that the request was not sent, because it might take longer than
	// the drain of the entry.
	Outlasting
)

// Action is what the entry does next.
type Action uint8

// Actions after an attempt.
const (
	// Fail tells the caller that the request failed and may have run.
	Fail Action = iota
	// Retry sends the request to another server.
	Retry
	// Refuse tells the caller that the request did not run.
	Refuse
	// Reply returns the last response to the caller.
	Reply
)

// Retrier decides after each attempt of one request whether to retry it. It is not
// safe for concurrent use.
type Retrier struct {
	kind desired.RouteKind
	// maxRuns limits the attempts that may have run.
	maxRuns        int
	budget         *retry.Budget
	attempts, runs int
}

// New returns the Retrier of a request and counts the request in the retry
// budget of its service. Up to maxAttempts attempts of a repeatable request may
// run.
func New(now time.Duration, kind desired.RouteKind, maxAttempts int, budget *retry.Budget) *Retrier {
	budget.RecordRequest(now)
	return &Retrier{kind: kind, maxRuns: max(1, maxAttempts), budget: budget}
}

// Attempts returns the number of ended attempts.
func (r *Retrier) Attempts() int { return r.attempts }

// MayHaveRun reports whether an ended attempt may have run.
func (r *Retrier) MayHaveRun() bool { return r.runs > 0 }

// Ended records the result of an attempt and returns the next action. The caller
// waits for the remaining time.
func (r *Retrier) Ended(now time.Duration, result Result, remaining time.Duration) Action {
	r.attempts++
	switch result {
	case Answered:
		return Reply
	case NoServer, Outlasting:
		return r.finalAction()
	case NotSent:
		if r.attempts < maxTotalAttempts && remaining > minRetryTime {
			return Retry
		}
		return r.finalAction()
	case Refused:
		if r.mayRetry(result, remaining) && r.budget.AllowRetry(now) {
			return Retry
		}
		return r.finalAction()
	}
	r.runs++
	if r.mayRetry(result, remaining) && r.budget.AllowRetry(now) {
		return Retry
	}
	if result == ServerError {
		return Reply
	}
	return Fail
}

// mayRetry reports whether a request whose last attempt was refused or may have run may be
// retried, as far as the budget allows. The attempt is counted already.
func (r *Retrier) mayRetry(result Result, remaining time.Duration) bool {
	if r.attempts >= maxTotalAttempts || remaining <= minRetryTime {
		return false
	}
	return result == Refused || r.kind == desired.Repeatable && r.runs < r.maxRuns
}

// WantsBudget reports whether Ended would take a retry from the budget after a result.
func (r *Retrier) WantsBudget(result Result, remaining time.Duration) bool {
	next := *r
	next.attempts++
	switch result {
	case Refused:
	case Lost, ServerError:
		next.runs++
	default:
		return false
	}
	return next.mayRetry(result, remaining)
}

// finalAction returns the action for a request that is not retried. Only a request
// that no server may have run is refused.
func (r *Retrier) finalAction() Action {
	if r.runs > 0 {
		return Fail
	}
	return Refuse
}

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"lost", "not_sent", "refused", "server_error", "answered", "no_server", "outlasting"}[r]
}

// String returns the name used in logs.
func (a Action) String() string { return [...]string{"fail", "retry", "refuse", "reply"}[a] }
