package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a leader that grants what its predecessor may have granted, against services
// that share one budget, and against state for services that never end.
func TestRetryGrantsBelongToOneTerm(t *testing.T) {
	const s = time.Second
	r := &retryGrants{slack: 100, window: 10 * s}
	take := func(now time.Duration, term uint64, service string) int {
		granted, again := r.acquire(now, term, service, 1000)
		if granted == 0 && again <= 0 {
			t.Error("a denial without a time to ask again")
		}
		return granted
	}
	take(0, 1, "a")
	if got := take(60*s, 1, "a"); got != 25 {
		t.Errorf("%d retries after a minute, want the burst of 25", got)
	}
	if got := take(60*s, 2, "a"); got != 8 {
		t.Errorf("%d retries at the begin of the next term, want 8", got)
	}
	take(60*s, 2, "b")
	if a, b := take(70*s, 2, "a"), take(70*s, 2, "b"); a != b || a == 0 {
		t.Errorf("%d and %d retries of two services", a, b)
	}
	for i := range 1000 {
		take(70*s, 2, fmt.Sprint(i))
	}
	if len(r.services) > maxRetryServices {
		t.Errorf("%d services", len(r.services))
	}
}

// Guards against a leader that grants the first requests of a service as little as a new
// leader does, although it has granted them nothing for a long time.
func TestRetryGrantsAddUpBeforeTheFirstRequest(t *testing.T) {
	const s = time.Second
	r := &retryGrants{slack: 100, window: 10 * s}
	if granted, _ := r.acquire(0, 1, "a", 1); granted != 1 {
		t.Errorf("%d retries at the beginning of the term", granted)
	}
	if granted, _ := r.acquire(60*s, 1, "b", 1000); granted != 25 {
		t.Errorf("%d retries of a service after a minute of the term, want the burst of 25", granted)
	}
}
