package order

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// readyIssuer returns an issuer that has a lease since second 0 and a load slot.
func readyIssuer(t *testing.T) *Issuer {
	t.Helper()
	i := New()
	i.SetTargets([]Target{{"load_version", "coach/v1"}})
	expectAction(t, i, 0, ActionAcquireLease)
	i.LeaseGranted(at(0), 7, LeaseDuration)
	expectAction(t, i, 0, ActionAcquireSlot)
	i.SlotGranted()
	return i
}

func expectAction(t *testing.T, i *Issuer, seconds float64, want ActionKind) Action {
	t.Helper()
	got, ok := i.Next(at(seconds))
	if !ok || got.Kind != want {
		t.Fatalf("at %v s: action %v (%v), want %v", seconds, got.Kind, ok, want)
	}
	return got
}

// TestOrderNeedsLiveLease guards against orders from an issuer whose lease has
// passed to another one, at an engine that does not check fencing numbers.
func TestOrderNeedsLiveLease(t *testing.T) {
	tests := []struct {
		name    string
		sendAt  float64
		fencing uint64
		before  func(*Issuer)
		want    bool
	}{
		{"fresh lease", 1, 7, func(*Issuer) {}, true},
		{"suspended until the send margin", 18.5, 7, func(*Issuer) {}, false},
		{"suspended past the end of the lease", 3600, 7, func(*Issuer) {}, false},
		{"fencing number of an earlier lease", 1, 6, func(*Issuer) {}, false},
		{"engine saw a newer fencing number", 1, 7,
			func(i *Issuer) { i.OrderFinished(at(1), Target{}, OutcomeFenced) }, false},
		{"renewal denied", 1, 7, func(i *Issuer) { i.Denied(at(1), ActionRenewLease, 0) }, false},
		{"late grant counts from the request", 19, 8, func(i *Issuer) { i.LeaseGranted(at(0), 8, LeaseDuration) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			i := readyIssuer(t)
			expectAction(t, i, 1, ActionSendOrder)
			test.before(i)
			if got := i.MaySend(at(test.sendAt), test.fencing); got != test.want {
				t.Fatalf("MaySend = %v, want %v", got, test.want)
			}
		})
	}
}

// TestUnknownOutcomeIsSentAgain guards against a version that is never loaded
// because the reply to its order was lost.
func TestUnknownOutcomeIsSentAgain(t *testing.T) {
	i := readyIssuer(t)
	a := expectAction(t, i, 1, ActionSendOrder)
	i.OrderFinished(at(1), a.Target, OutcomeUnknown)
	if _, ok := i.Next(at(1.1)); ok {
		t.Fatal("the order was repeated without a pause")
	}
	a = expectAction(t, i, 3, ActionSendOrder)
	i.OrderFinished(at(3), a.Target, OutcomeDone)
	expectAction(t, i, 4, ActionReleaseSlot)
	i.SlotReleased()
	if _, ok := i.Next(at(5)); ok || !i.Loaded() {
		t.Fatal("the issuer returned an action although all targets are loaded")
	}
}

// TestRestartedEngineIsLoadedAgain guards against requests for a version that the
// engine no longer has loaded after a restart.
func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	i := readyIssuer(t)
	a := expectAction(t, i, 1, ActionSendOrder)
	i.OrderFinished(at(1), a.Target, OutcomeDone)
	i.ResetLoaded()
	expectAction(t, i, 2, ActionSendOrder)
}

// TestRetriesBackOff guards against a retry storm on the control group while it
// has no quorum.
func TestRetriesBackOff(t *testing.T) {
	i := New()
	i.SetTargets([]Target{{"load_model", "coach"}})
	calls := 0
	for ms := 0; ms < 60_000; ms += 50 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if a, ok := i.Next(now); ok {
			calls++
			i.Failed(now)
			if a.Kind != ActionAcquireLease {
				t.Fatalf("action %v without a lease", a.Kind)
			}
		}
	}
	if calls > 8 {
		t.Fatalf("%d calls in a minute without a reply, want at most 8", calls)
	}
}
