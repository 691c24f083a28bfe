package serviceroom

import (
	"testing"
	"time"
)

// tightAccount returns an account that was granted a lease, and when its renewal was sent.
func tightAccount(t *testing.T, lease int, freeIn time.Duration) (*Account, time.Duration) {
	t.Helper()
	a := NewAccount("e")
	a.SetTight(start, true)
	renew(t, a, start)
	a.Granted(start+time.Millisecond, start, Grant{Lease: lease, Valid: LeaseLifetime, Tight: true, FreeIn: freeIn})
	return a, start
}

// renew returns the renewal that is due.
func renew(t *testing.T, a *Account, now time.Duration) Renewal {
	t.Helper()
	r, due := a.Renewal(now)
	if !due {
		t.Fatalf("no renewal is due at %v", now)
	}
	return r
}

// Guards against calls, waits and refusals while a service is far from full or a process has just
// started and knows nothing.
func TestNothingIsAskedWhileNotTight(t *testing.T) {
	a := NewAccount("e")
	for id := range uint64(1000) {
		if a.Arrive(0, waiting(id, "c", 1_000_000)) {
			t.Fatal("a generation waits")
		}
	}
	if _, due := a.Renewal(time.Hour); due {
		t.Error("a renewal is due")
	}
}

// Guards against work that is lost from the count when a service becomes tight.
func TestFirstRenewalReportsWhatRuns(t *testing.T) {
	a := NewAccount("e")
	a.Arrive(0, waiting(1, "c", 100))
	a.Arrive(0, waiting(2, "d", 50))
	a.Short(30)
	a.SetTight(start, true)
	r := renew(t, a, start)
	expect(t, "running", r.Running, map[string]int{"c": 100, "d": 50})
	expect(t, "number, short and lease", []int{r.Generations, r.Short, r.Lease}, []int{2, 30, 150})
}

// Guards against a call per request where the lease has room, and against an entry that uses room
// that has become free at it while others wait.
func TestLeaseIsUsedWithoutACall(t *testing.T) {
	a, _ := tightAccount(t, 250, 0)
	expect(t, "first", a.Arrive(start, waiting(1, "c", 100)), false)
	expect(t, "second", a.Arrive(start, waiting(2, "c", 100)), false)
	expect(t, "beyond the lease", a.Arrive(start, waiting(3, "c", 100)), true)
	a, _ = tightAccount(t, 250, time.Second)
	expect(t, "while others wait", a.Arrive(start, waiting(1, "c", 100)), true)
}

// Guards against a lease that is used after its end, when the leader may have granted it to others.
func TestLeaseEnds(t *testing.T) {
	a, sentAt := tightAccount(t, 250, 0)
	expect(t, "before the end", a.Arrive(sentAt+LeaseLifetime-1, waiting(1, "c", 100)), false)
	expect(t, "after the end", a.Arrive(sentAt+LeaseLifetime, waiting(2, "c", 100)), true)
}

// Guards against a refusal by an entry that knows nothing of the room, and against generations
// that wait for a leader that is gone.
func TestEntryThatIsCutOffAdmits(t *testing.T) {
	a, sentAt := tightAccount(t, 0, time.Second)
	d := waiting(1, "c", 100)
	d.Patience = 10 * time.Second
	a.Arrive(start, d)
	for now := start + 20*time.Millisecond; now < sentAt+LeaseLifetime; now += 20 * time.Millisecond {
		a.Renewal(now)
		if decided := a.Poll(now); len(decided) > 0 {
			t.Fatalf("%v: %+v", now, decided)
		}
	}
	now := sentAt + LeaseLifetime
	expect(t, "after 1 s", a.Poll(now), []Decided{{1, Decision{Admit: true}}})
	expect(t, "later arrival", a.Arrive(now, waiting(2, "c", 100)), false)
	expect(t, "running", a.Share("c"), 200)
}

// Guards against a process that was suspended and admits everything before it has asked.
func TestSuspendedEntryAsksFirst(t *testing.T) {
	a, _ := tightAccount(t, 0, time.Second)
	now := start + time.Minute
	expect(t, "waits", a.Arrive(now, waiting(1, "c", 100)), true)
	expect(t, "decided", len(a.Poll(now)), 0)
	renew(t, a, now)
	expect(t, "decided after the call", len(a.Poll(now+minSilence-1)), 0)
	expect(t, "decided without an answer", len(a.Poll(now+minSilence)), 1)
}

// Guards against a refusal when the patience ends and the entry knows nothing of the room.
func TestPatienceEndsWithoutAGrant(t *testing.T) {
	a, _ := tightAccount(t, 0, time.Second)
	now := start + time.Minute
	d := waiting(1, "c", 100)
	d.Patience = 0
	a.Arrive(now, d)
	expect(t, "decided", a.Poll(now+minPatience), []Decided{{1, Decision{Admit: true}}})
}

// Guards against a wait beyond the patience, against a refusal without a time, and against a
// generation without patience that is refused before the leader was asked.
func TestPatienceEnds(t *testing.T) {
	a, _ := tightAccount(t, 0, 3*time.Second)
	d := waiting(1, "c", 100)
	d.Patience = 0
	a.Arrive(start, d)
	expect(t, "at once", len(a.Poll(start)), 0)
	decided := a.Poll(start + minPatience)
	if len(decided) != 1 || decided[0].Admit || decided[0].Reason != WaitedTooLong || decided[0].RetryAfter < 3*time.Second ||
		decided[0].RetryAfter > 5*time.Second {
		t.Errorf("%+v", decided)
	}
}

// Guards against a generation that is admitted twice, or whose need is counted twice, when answers
// are lost, late or arrive in another order.
func TestLateAnswers(t *testing.T) {
	a, _ := tightAccount(t, 0, time.Second)
	a.Arrive(start, waiting(1, "c", 100))
	first, second := start+100*time.Millisecond, start+100*time.Millisecond+answerWait
	renew(t, a, first)
	renew(t, a, second)
	answer := Grant{Lease: 100, Valid: LeaseLifetime, Tight: true, FreeIn: time.Second, Decisions: map[uint64]Decision{1: {Admit: true}}}
	expect(t, "late answer", len(a.Granted(second, first, answer)), 1)
	expect(t, "running and lease", []int{a.inUse, a.lease}, []int{100, 100})
	expect(t, "answer again", len(a.Granted(second, first, answer)), 0)
	expect(t, "next answer", len(a.Granted(second, second, answer)), 0)
	expect(t, "running and lease", []int{a.inUse, a.lease}, []int{100, 100})
	stale := Grant{Lease: 900, Valid: LeaseLifetime, Tight: true}
	a.Granted(second, first, stale)
	expect(t, "lease after an older answer", []any{a.lease, a.freeIn}, []any{100, time.Second})
}

// Guards against a late decision that uses up the lease for others, though its room came with it.
func TestLateDecisionBringsItsRoom(t *testing.T) {
	a, _ := tightAccount(t, 250, 0)
	a.Arrive(start, waiting(1, "c", 300))
	first, second := start+100*time.Millisecond, start+100*time.Millisecond+answerWait
	renew(t, a, first)
	renew(t, a, second)
	a.Granted(second, first, Grant{Lease: 550, Valid: LeaseLifetime, Tight: true, Decisions: map[uint64]Decision{1: {Admit: true}}})
	expect(t, "running and lease", []int{a.inUse, a.lease}, []int{300, 550})
}

// Guards against an unused lease that is not returned while others wait.
func TestUnusedLeaseIsReturnedWhileOthersWait(t *testing.T) {
	a, _ := tightAccount(t, 250, 0)
	at := start + renewInterval
	expect(t, "reported before", renew(t, a, at).Lease, 250)
	a.Granted(at, at, Grant{Lease: 250, Valid: LeaseLifetime, Tight: true, FreeIn: time.Second})
	expect(t, "reported at once", renew(t, a, at+renewSpacing).Lease, 0)
}

// Guards against a refusal that arrives after the lease has ended: it says nothing of the room now.
func TestLateRefusalIsNotUsed(t *testing.T) {
	a, _ := tightAccount(t, 0, time.Second)
	a.Arrive(start, waiting(1, "c", 100))
	sentAt := start + 100*time.Millisecond
	renew(t, a, sentAt)
	refusal := Grant{Valid: LeaseLifetime, Tight: true, FreeIn: time.Second, Decisions: map[uint64]Decision{1: {RetryAfter: time.Second}}}
	now := sentAt + LeaseLifetime
	expect(t, "decided", len(a.Granted(now, sentAt, refusal)), 0)
	// If the next answer is late as well, the entry admits.
	renew(t, a, now)
	expect(t, "decided later", a.Poll(now+minSilence), []Decided{{1, Decision{Admit: true}}})
}

// Guards against generations that wait in a service that is no longer tight.
func TestAllAreAdmittedWhenTheServiceIsNoLongerTight(t *testing.T) {
	for _, byGrant := range []bool{false, true} {
		a, _ := tightAccount(t, 0, time.Second)
		a.Arrive(start, waiting(1, "c", 100))
		var decided []Decided
		if now := start + renewSpacing; byGrant {
			renew(t, a, now)
			decided = a.Granted(now, now, Grant{Valid: LeaseLifetime})
		} else {
			a.SetTight(now, false)
			decided = a.Poll(now)
		}
		expect(t, "decided", decided, []Decided{{1, Decision{Admit: true}}})
	}
}

// Guards against an entry that holds any number of waiting generations of a caller that retries.
func TestWaitingGenerationsAreBounded(t *testing.T) {
	a, _ := tightAccount(t, 0, time.Second)
	for id := range uint64(1000) {
		a.Arrive(start, waiting(id, "retries", 100))
	}
	expect(t, "refused", len(a.Poll(start)), 1000-maxWaitingAtEntry)
	for id := range uint64(1000) {
		a.Arrive(start, waiting(1000+id, time.Duration(id).String(), 100))
	}
	expect(t, "waiting of all callers", len(a.waiting), maxEntryWaiting)
	a.Arrive(start, waiting(5000, "other", 100))
	for id := range uint64(6000) {
		a.End(start, id)
	}
	if len(a.waiting)+len(a.waitingFor)+len(a.running)+len(a.callers)+len(a.undelivered) > 0 || a.inUse != 0 {
		t.Errorf("left: %+v", a.Stats(start))
	}
}

// Guards against more than ten calls a second, also when answers are lost.
func TestTenCallsASecond(t *testing.T) {
	for _, answered := range []bool{false, true} {
		a := NewAccount("e")
		a.SetTight(start, true)
		var times []time.Duration
		for i := range 10_000 {
			now := start + time.Duration(i)*time.Millisecond
			a.Arrive(now, waiting(uint64(i), "c", 100))
			a.End(now, uint64(i-20))
			if _, due := a.Renewal(now); due {
				times = append(times, now)
				if answered {
					a.Granted(now, now, Grant{Valid: LeaseLifetime, Tight: true, FreeIn: time.Second})
				}
			}
			a.Poll(now)
		}
		if most := mostInASecond(times); most > 10 || most < 2 {
			t.Errorf("%d calls in a second, answered %v", most, answered)
		}
	}
}

// Guards against refusals of a burst of one caller at one entry while there is room, and for more
// of it than has room.
func TestBurstOfACaller(t *testing.T) {
	for room, want := range map[int]int{100_000: 200, 15_000: 150} {
		l := tightLedger(room + 50)
		a := NewAccount("e")
		a.SetTight(start, true)
		a.Granted(start, start, l.Renew(start, renew(t, a, start)))
		running := 0
		for id := range uint64(200) {
			if !a.Arrive(start+time.Millisecond, waiting(id, "c", 100)) {
				running++
			}
		}
		for i := range 3 {
			at := start + time.Duration(i+1)*renewSpacing
			r, due := a.Renewal(at)
			if !due {
				break
			}
			for _, d := range a.Granted(at, at, l.Renew(at, r)) {
				if d.Admit {
					running++
				}
			}
		}
		expect(t, "running", running, want)
	}
}
