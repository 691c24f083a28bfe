package intake

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	kb = 1 << 10
	mb = 1 << 20
)

// unfinished returns a request of an age that sent its last byte some time ago.
func unfinished(now, age, idle time.Duration, received int64, address string) Request {
	return Request{Began: now - age, LastRead: now - idle, Received: received, Held: received, Address: address}
}

// Guards against a crowd of unfinished bodies that keeps an ordinary request out, against refusals
// of the oldest of several ordinary requests, and against requests that are refused in vain.
func TestChoose(t *testing.T) {
	const now = time.Minute
	ordinary := unfinished(now, 10*time.Millisecond, 0, 64*kb, "a")
	for _, c := range []struct {
		name     string
		need     int64
		asking   int
		requests []Request
		victims  []int
		ok       bool
	}{
		{"a body that stopped", mb, 0, []Request{ordinary, unfinished(now, time.Second, 600*time.Millisecond, 4*mb, "b")}, []int{1}, true},
		{"a body that drips", mb, 0, []Request{ordinary, unfinished(now, 7*time.Second, 0, 4*mb, "b")}, []int{1}, true},
		{"as many as needed", 3 * mb, 0, []Request{ordinary, unfinished(now, 3*time.Second, 2*time.Second, 2*mb, "b"),
			unfinished(now, 3*time.Second, 600*time.Millisecond, 2*mb, "b"), unfinished(now, 3*time.Second, time.Second, 2*mb, "b")},
			[]int{1, 3}, true},
		{"lagging ones of the address that holds most", mb, 0, []Request{ordinary, unfinished(now, 3*time.Second, 3*time.Second, mb, "b"),
			unfinished(now, 3*time.Second, time.Second, mb, "c"), unfinished(now, 3*time.Second, time.Second, mb, "c")}, []int{2}, true},
		{"an address with many ordinary ones", mb, 2, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 20*time.Millisecond, 0, mb, "a"), unfinished(now, 10*time.Millisecond, 0, mb, "b")}, nil, false},
		{"the youngest", mb, 0, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 10*time.Millisecond, 0, mb, "a"), unfinished(now, 20*time.Millisecond, 0, mb, "a")}, []int{1}, true},
		{"the asking one is the youngest", mb, 1, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 10*time.Millisecond, 0, mb, "a")}, nil, false},
		{"younger ones that hold nothing", mb, 0, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 10*time.Millisecond, 0, 0, "a"), unfinished(now, 20*time.Millisecond, 0, mb, "a")}, []int{2}, true},
		{"a lagging one that holds nothing", mb, 0, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 2*time.Second, time.Second, 0, "b"), unfinished(now, 20*time.Millisecond, 0, mb, "a")}, []int{2}, true},
		{"a small one displaces a large one", 4 * kb, 1, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 10*time.Millisecond, 0, 0, "a")}, []int{0}, true},
		{"the asking one lags most", mb, 0, []Request{unfinished(now, 30*time.Second, 0, mb, "a"),
			unfinished(now, 10*time.Second, 0, mb, "a")}, nil, false},
		{"not enough", 9 * mb, 0, []Request{ordinary, unfinished(now, 3*time.Second, time.Second, 2*mb, "b")}, nil, false},
		{"a response", mb, None, []Request{unfinished(now, 30*time.Millisecond, 0, mb, "a"),
			unfinished(now, 10*time.Millisecond, 0, mb, "a")}, []int{1}, true},
		{"one that waits for memory does not lag", mb, 0, []Request{ordinary,
			{Began: now - 3*time.Second, LastRead: now - 3*time.Second, Received: mb, Held: mb, Waiting: true}}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			victims, ok := Choose(now, c.need, c.asking, c.requests)
			if diff := cmp.Diff(c.victims, victims); diff != "" || ok != c.ok {
				t.Errorf("%v %v: %s", victims, ok, diff)
			}
		})
	}
}

// Guards against refusals that go round: of several equal requests that all need more, the oldest
// always gets it, and no request is refused for a younger one of the same size.
func TestOldestGetsThrough(t *testing.T) {
	const now = time.Minute
	var requests []Request
	for i := range 20 {
		requests = append(requests, unfinished(now, time.Duration(i+1)*time.Millisecond, 0, mb, "a"))
	}
	for asking := range requests {
		victims, ok := Choose(now, mb, asking, requests)
		if ok != (asking > 0) {
			t.Errorf("request %d: %v", asking, ok)
		}
		for _, v := range victims {
			if requests[v].Began < requests[asking].Began {
				t.Errorf("request %d displaced the older one %d", asking, v)
			}
		}
	}
}
