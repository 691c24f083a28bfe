package httpfield

import (
	"net/http"
	"testing"
)

// Guards against a name that is no token, and against one that is refused although it is.
func TestCheckNames(t *testing.T) {
	for name, valid := range map[string]bool{
		"Content-Length": true, "x!#$%&'*+-.^_`|~09": true, "": false, " ": false, "Content-Length ": false, " Content-Length": false,
		"X Odd": false, "X\tOdd": false, "X\x00": false, "X\x07": false, "X\x7f": false, "X\r": false, "X\n": false, "X\x80": false,
		"X\u00e9": false, "X(": false, "X:": false, "X\"": false,
	} {
		if err := CheckNames(http.Header{"Date": {"x"}, name: {"1"}}); (err == nil) != valid {
			t.Errorf("%q: %v, want valid: %v", name, err, valid)
		}
	}
	if err := CheckNames(nil); err != nil {
		t.Error(err)
	}
}
