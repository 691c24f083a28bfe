// Package verdict describes whether a request may have run.
//
// The verdict is MayHaveRun by default. NotRun requires proof: the request never
// left this process, the receiver replied that it refused the request, or the
// receiver confirmed a tombstone for the request.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict is what is known about whether a request ran.
type Verdict uint8

// The zero value is MayHaveRun, so that a field that was not set is pessimistic.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name used in headers, bodies and logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[MayHaveRun]
}

// Parse returns the verdict with the given name, or MayHaveRun if the name is
// unknown.
func Parse(s string) Verdict {
	for i, name := range verdictNames {
		if name == s {
			return Verdict(i)
		}
	}
	return MayHaveRun
}

// Combine returns the verdict of a request with two attempts from their verdicts.
// It is NotRun only if both are.
func Combine(v, other Verdict) Verdict {
	switch {
	case v == Ran || other == Ran:
		return Ran
	case v == NotRun && other == NotRun:
		return NotRun
	}
	return MayHaveRun
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = Parse(string(text))
	return nil
}

// Reason is why a request was refused or failed.
type Reason string

// Reasons that are sent to callers in the field "code".
const (
	ReasonNone             Reason = ""
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonInvalid          Reason = "invalid_request"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonOverloaded       Reason = "overloaded"
	ReasonRequestMemory    Reason = "request_memory"
	ReasonQueueFull        Reason = "queue_full"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonLeaving          Reason = "leaving"
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonBuried           Reason = "buried"
	ReasonDuplicate        Reason = "duplicate"
	ReasonQuarantined      Reason = "quarantined"
	ReasonSuspectWaits     Reason = "suspect_waits"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonNoQuorum         Reason = "no_quorum"
	ReasonKeyConflict      Reason = "idempotency_key_conflict"
	ReasonKeyInProgress    Reason = "idempotency_key_in_progress"
	ReasonKeyUnknownEnd    Reason = "idempotency_key_unknown_end"
	ReasonKeyRequired      Reason = "idempotency_key_required"
	ReasonTimeout          Reason = "timeout"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonBackendCrashed   Reason = "backend_server_crashed"
	ReasonBackendError     Reason = "backend_server_error"
	ReasonStreamLost       Reason = "stream_lost"
	ReasonSlowReader       Reason = "slow_reader"
	ReasonSuperseded       Reason = "superseded"
	ReasonCanceled         Reason = "canceled"
	ReasonNotReady         Reason = "not_ready"
	ReasonStaleRevision    Reason = "stale_revision"
	ReasonInternal         Reason = "internal"
)

// Error is a refusal or failure with its verdict.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	cause      error
}

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a formatted message that wraps cause.
func Wrap(cause error, v Verdict, reason Reason, format string, args ...any) *Error {
	e := New(v, reason, format, args...)
	e.cause = cause
	return e
}

// WithRetryAfter sets the delay after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s (%s, %s): %v", e.Message, e.Reason, e.Verdict, e.cause)
	}
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Reason, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict of err, or MayHaveRun if err wraps no Error.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns the Error that err is or wraps. Any other error is wrapped as an
// internal error with the verdict MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, ReasonInternal, "internal error")
}
