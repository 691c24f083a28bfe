package ring

import (
	"context"
	"testing"
)

// TestFullRingRefusesAtOnce guards against writers that block on a full queue, which
// would hide overload from callers.
func TestFullRingRefusesAtOnce(t *testing.T) {
	q := New[int](2)
	for i := range 2 {
		if !q.TryPush(i) {
			t.Fatalf("push %d: queue is full too early", i)
		}
	}
	if q.TryPush(2) {
		t.Fatal("a full queue accepted an item")
	}
}

// TestClosedRingDeliversWhatItHolds guards against loss of queued items at shutdown.
func TestClosedRingDeliversWhatItHolds(t *testing.T) {
	q := New[int](2)
	q.TryPush(7)
	q.Close()
	if q.TryPush(8) {
		t.Fatal("a closed queue accepted an item")
	}
	if v, ok := q.Pop(context.Background()); !ok || v != 7 {
		t.Fatalf("Pop = %d, %v; want 7, true", v, ok)
	}
	if _, ok := q.Pop(context.Background()); ok {
		t.Fatal("an empty closed queue delivered an item")
	}
}
