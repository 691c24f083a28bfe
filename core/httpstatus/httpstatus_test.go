package httpstatus

import "testing"

// Guards against a status without a meaning that counts as an answer, a success or an error.
func TestClasses(t *testing.T) {
	for status := range 1000 {
		class := status / 100
		if got, want := IsFinal(status), class >= 2 && class <= 5; got != want {
			t.Errorf("%d is final: %v", status, got)
		}
		if got, want := IsSuccess(status), class == 2; got != want {
			t.Errorf("%d is a success: %v", status, got)
		}
		if got, want := IsError(status), class == 4 || class == 5; got != want {
			t.Errorf("%d is an error: %v", status, got)
		}
	}
}
