package verdict

import (
	"strings"
	"time"
)

// textPrefix marks the encoded form of an Error in the reply to a call between
// daemons. An encoding is needed because net/rpc transfers errors as strings.
const textPrefix = "verdict "

// Encode returns the encoded form of err for a reply, such as "verdict not_run
// overloaded 1s message". Decode reverses it.
func Encode(err error) string {
	e := From(err)
	text := e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return strings.Join([]string{"verdict", e.Verdict.String(), string(e.Reason), e.RetryAfter.String(), text}, " ")
}

// Decode returns the Error that a text encodes. If the text encodes none, ok is
// false.
func Decode(text string) (e *Error, ok bool) {
	rest, ok := strings.CutPrefix(text, textPrefix)
	parts := strings.SplitN(rest, " ", 4)
	if !ok || len(parts) != 4 {
		return nil, false
	}
	retryAfter, err := time.ParseDuration(parts[2])
	if err != nil {
		return nil, false
	}
	return &Error{Verdict: Parse(parts[0]), Reason: Reason(parts[1]), Message: parts[3], RetryAfter: retryAfter}, true
}
