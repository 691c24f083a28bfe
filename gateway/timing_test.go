package gateway

import (
	"testing"
	"time"
)

// Guards against a late response that is logged as on time: the first event is measured
// from the request, and pauses only between events.
func TestEventTiming(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name           string
		events         []int
		first, longest int
	}{
		{"late first event", []int{2000, 2040, 2080}, 2000, 40},
		{"long pause", []int{100, 140, 900, 940}, 100, 760},
		{"one event", []int{300}, 300, 0},
	} {
		timing := eventTiming{lastEvent: start}
		for _, ms := range c.events {
			timing.record(start.Add(time.Duration(ms) * time.Millisecond))
		}
		if timing.firstEvent.Milliseconds() != int64(c.first) || timing.longestPause.Milliseconds() != int64(c.longest) {
			t.Errorf("%s: first event after %v, longest pause %v", c.name, timing.firstEvent, timing.longestPause)
		}
	}
}
