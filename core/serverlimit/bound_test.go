package serverlimit

import (
	"testing"
	"time"
)

// Guards against terms of limits that servers name which differ from those before bounds had
// parameters, and against a bound of cold servers that the permits of any one second could
// exceed, or that grants so slowly that the rate is not used.
func TestTerms(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 2, 1e9} {
		want := terms{perSecond: min(max(rate, MinPerSecond), maxPerSecond), lifetime: PermitLifetime}
		if got := (Bound{}).terms(rate); got != want {
			t.Errorf("named limit %v: %+v, want %+v", rate, got, want)
		}
	}
	for _, rate := range coldRates {
		for _, overage := range coldOverages {
			for _, slack := range coldSlacks {
				got := Bound{Window: time.Second, Overage: overage, Slack: slack}.terms(rate)
				if float64(got.most) > overage*rate+slack || got.span < time.Second+got.lifetime+minTransit ||
					got.lifetime < minPermitLifetime || got.lifetime > PermitLifetime {
					t.Errorf("rate %v, overage %v, slack %v: %+v", rate, overage, slack, got)
				}
				if use := float64(got.most) / got.span.Seconds(); use < 0.9*min(rate, float64(got.most)) {
					t.Errorf("rate %v, overage %v, slack %v: at most %.2f a second", rate, overage, slack, use)
				}
			}
		}
	}
	if got := (Bound{Window: time.Second, Overage: 1}).terms(0); got.most != 0 || got.span <= 0 || got.span > 2*time.Second {
		t.Errorf("rate 0: %+v", got)
	}
}

// Guards against a successor that grants what the bound allows just after its predecessor did,
// and against one that waits longer than a second where the bound leaves room.
func TestSuccessorCountsThePermitsOfItsPredecessor(t *testing.T) {
	from := time.Hour
	a := NewBoundedAllocator(Bound{Window: time.Second, Overage: 1.5, Slack: 5}, from)
	a.Observe(from-time.Second, "s", Observation{Limited: true, PerSecond: 33})
	grants := func(now time.Duration) int {
		r, _ := a.Acquire(now, Request{Entry: "e", Server: "s", Want: 64})
		return r.Permits
	}
	if n := grants(from - time.Millisecond); n != 0 {
		t.Errorf("%d permits before the predecessor's end", n)
	}
	// 54 are allowed; the predecessor may have granted up to 33 a second and what its bucket held.
	total := 0
	for now := from; now < from+200*time.Millisecond; now += 10 * time.Millisecond {
		total += grants(now)
	}
	if total > 10 {
		t.Errorf("%d permits in the first 0.2 s", total)
	}
	for now := from + 200*time.Millisecond; now < from+time.Second; now += 10 * time.Millisecond {
		total += grants(now)
	}
	if total < 15 || total > 54 {
		t.Errorf("%d permits in the first second", total)
	}
}
