package serverlimit

import (
	"testing"
	"time"
)

const at = time.Hour

// limited returns an observation of a limit at a time.
func limited(perSecond float64, sent, received time.Duration) Observation {
	return Observation{Limited: true, PerSecond: perSecond, SentAt: at + sent, ReceivedAt: at + received}
}

// Guards against a response that overtook a newer one and brings back a limit that has
// changed or ended, and against one that ends a limit which a newer one names.
func TestMerge(t *testing.T) {
	const ms = time.Millisecond
	ended := func(sent, received time.Duration) Observation {
		return Observation{SentAt: at + sent, ReceivedAt: at + received}
	}
	for _, c := range []struct {
		name    string
		old, o  Observation
		changed bool
	}{
		{"sent after the old one was received", limited(2, 0, 10*ms), limited(9, 10*ms, 20*ms), true},
		{"end, sent after the old one was received", limited(2, 0, 10*ms), ended(10*ms, 20*ms), true},
		{"received before the old one was sent", limited(2, 30*ms, 40*ms), limited(1, 0, 20*ms), false},
		{"end, received before the old one was sent", limited(2, 30*ms, 40*ms), ended(0, 20*ms), false},
		{"overlap, higher", limited(2, 0, 30*ms), limited(9, 10*ms, 20*ms), false},
		{"overlap, lower", limited(2, 0, 30*ms), limited(1, 10*ms, 20*ms), true},
		{"overlap, end", limited(2, 0, 30*ms), ended(10*ms, 40*ms), false},
		{"overlap, limit after an end", ended(0, 30*ms), limited(2, 10*ms, 20*ms), true},
		{"the same again", limited(2, 0, 10*ms), limited(2, 20*ms, 30*ms), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			merged, changed := c.old.Merge(c.o)
			if changed != c.changed || (merged.PerSecond == c.o.PerSecond && merged.Limited == c.o.Limited) !=
				(changed || c.old.PerSecond == c.o.PerSecond) {
				t.Errorf("%+v, changed %v", merged, changed)
			}
		})
	}
	merged, _ := limited(2, 0, 10*ms).Merge(limited(2, 20*ms, 30*ms))
	if _, changed := merged.Merge(ended(15*ms, 35*ms)); changed {
		t.Error("a response that was sent before the last one with the limit ended it")
	}
}

// Guards against a generation that is cut off because it continues at a server whose
// permits are used up, and against more of them than may be taken in advance.
func TestUrgentRequestsTakePermitsInAdvance(t *testing.T) {
	a, g := NewAllocator(0), NewGate()
	g.Observe("s", limited(2, 0, 0))
	ask := func(urgent bool) bool {
		if g.Take(at, "s", urgent) != Ask {
			return false
		}
		r := g.Request(at, "s", urgent)
		r.Entry = "e"
		reply, _ := a.Acquire(at, r)
		return g.Replied(at, at, "s", reply)
	}
	if ask(false) {
		t.Error("a permit was granted before the limit had room")
	}
	for i := range 4 {
		if granted := ask(true); granted != (i < 2) {
			t.Errorf("urgent request %d: granted %v", i, granted)
		}
	}
}

// Guards against a request that is sent because a reply says nothing about the limit.
func TestReplyWithoutKnowledgeGrantsNothing(t *testing.T) {
	g := NewGate()
	g.Observe("s", limited(2, 0, 0))
	if g.Replied(at, at, "s", Reply{}) {
		t.Error("the request may be sent")
	}
}

// Guards against permits that outlive an entry that was suspended after it got them.
func TestPermitsEnd(t *testing.T) {
	g := NewGate()
	g.Observe("s", limited(20, 0, 0))
	known := limited(20, 0, 0).Age(at)
	if !g.Replied(at, at, "s", Reply{Known: &known, Permits: 3, Askers: 1}) {
		t.Fatal("not granted")
	}
	if d := g.Take(at+PermitLifetime-1, "s", false); d != Send {
		t.Errorf("before the end: %v", d)
	}
	if d := g.Take(at+PermitLifetime, "s", false); d != Ask {
		t.Errorf("after the end: %v", d)
	}
	if g.Replied(at, at+PermitLifetime, "s", Reply{Known: &known, Permits: 1, Askers: 1}) {
		t.Error("a permit that ended on its way was used")
	}
}
