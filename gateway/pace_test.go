package gateway

import (
	"testing"
	"time"
)

// Guards against a late answer that the logs call on time: the first event is
// measured from the request, the pauses between events only.
func TestPace(t *testing.T) {
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
		p := pace{last: start}
		for _, ms := range c.events {
			p.note(start.Add(time.Duration(ms) * time.Millisecond))
		}
		if p.first.Milliseconds() != int64(c.first) || p.longest.Milliseconds() != int64(c.longest) {
			t.Errorf("%s: first event after %v, longest pause %v", c.name, p.first, p.longest)
		}
	}
}
