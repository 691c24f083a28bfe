package verdict

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against "not run" without a proof: from a value that was not set, from a text of
// another version or of no daemon, and from two attempts of which one may have run.
func TestNotRunNeedsProof(t *testing.T) {
	var unset Verdict
	if unset != MayHaveRun || (&Error{}).Verdict != MayHaveRun {
		t.Error("a verdict that was not set is not the pessimistic one")
	}
	for _, text := range []string{"", "not run", "NOT_RUN", "not_run ", "0", "1"} {
		if v := Parse(text); v != MayHaveRun {
			t.Errorf("%q is parsed as %v", text, v)
		}
	}
	if s := Verdict(9).String(); s != "may_have_run" {
		t.Errorf("an unknown verdict is written as %q", s)
	}
	var decoded struct{ V Verdict }
	if err := json.Unmarshal([]byte(`{"V":"later_version"}`), &decoded); err != nil || decoded.V != MayHaveRun {
		t.Errorf("an unknown verdict is decoded as %v, %v", decoded.V, err)
	}
	for _, c := range []struct{ one, other, want Verdict }{
		{NotRun, NotRun, NotRun}, {NotRun, MayHaveRun, MayHaveRun}, {MayHaveRun, MayHaveRun, MayHaveRun},
		{Ran, NotRun, Ran}, {Ran, MayHaveRun, Ran}, {Ran, Ran, Ran},
	} {
		if got := Combine(c.one, c.other); got != c.want || Combine(c.other, c.one) != c.want {
			t.Errorf("%v and %v combine to %v, want %v", c.one, c.other, got, c.want)
		}
	}
	for _, err := range []error{nil, errors.New("connection reset"), errors.New("verdict not_run"),
		errors.New("the verdict not_run overloaded 1s x")} {
		if Of(err) == NotRun {
			t.Errorf("%v is taken for a proof", err)
		}
	}
	for _, text := range []string{"", "verdict", "verdict not_run overloaded soon x", "verdict not_run overloaded 1s"} {
		if e, ok := Decode(text); ok {
			t.Errorf("%q is decoded as %v", text, e)
		}
	}
}

// Guards against an error that loses its verdict, reason, delay or text between daemons, where
// net/rpc transfers its text only, or when it is wrapped.
func TestErrorKeepsItsVerdict(t *testing.T) {
	for _, c := range []struct {
		err  *Error
		text string
	}{
		{New(NotRun, ReasonOverloaded, "%d wait", 7).WithRetryAfter(1500 * time.Millisecond), "7 wait"},
		{New(Ran, ReasonNone, "two  spaces and a\nline"), "two  spaces and a\nline"},
		{New(MayHaveRun, ReasonTimeout, ""), ""},
		{Wrap(errors.New("refused"), NotRun, ReasonNotReady, "call %s", "a").WithRetryAfter(time.Hour), "call a: refused"},
	} {
		want := c.err
		got, ok := Decode(Encode(want))
		if !ok || got.Verdict != want.Verdict || got.Reason != want.Reason || got.RetryAfter != want.RetryAfter ||
			got.Message != c.text {
			t.Errorf("%q became %+v", Encode(want), got)
		}
		if again, ok := Decode(Encode(got)); !ok || again.Message != c.text {
			t.Errorf("%q became %q at the second daemon", c.text, again.Message)
		}
		if wrapped := errors.Wrap(want, "outer"); Of(wrapped) != want.Verdict || From(wrapped).Reason != want.Reason {
			t.Errorf("%v lost its verdict when it was wrapped", want)
		}
	}
}
