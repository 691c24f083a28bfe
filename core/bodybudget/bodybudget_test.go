package bodybudget

import (
	"testing"
	"time"
)

// Guards against large unfinished requests that keep a small one from being received, and against a
// sum above the limit.
func TestGrowRefusesTheRightRequest(t *testing.T) {
	start := time.Unix(0, 0)
	const limit = 100
	for _, c := range []struct {
		name    string
		prepare func(b *Budget) (asking ID)
		n       int64
		verdict Verdict
		refused ID
	}{
		{"room", func(b *Budget) ID { return b.Open(start) }, 100, Granted, 0},
		{"larger than the budget", func(b *Budget) ID { return b.Open(start) }, 101, Refused, 0},
		{"the largest is refused", func(b *Budget) ID {
			b.Grow(start, b.Open(start), 40)
			b.Grow(start, b.Open(start), 60)
			return b.Open(start)
		}, 10, Wait, 2},
		{"the asking one is the largest", func(b *Budget) ID {
			b.Grow(start, b.Open(start), 40)
			id := b.Open(start)
			b.Grow(start, id, 50)
			return id
		}, 20, Refused, 0},
		{"a stalled one is refused first", func(b *Budget) ID {
			b.Grow(start, b.Open(start.Add(-StallTime)), 20)
			b.Grow(start, b.Open(start), 80)
			return b.Open(start)
		}, 10, Wait, 1},
		{"complete ones are served", func(b *Budget) ID {
			b.Grow(start, b.Open(start), 90)
			b.Complete(1)
			b.Grow(start, b.Open(start), 10)
			return b.Open(start)
		}, 5, Wait, 2},
		{"a refused one is about to release its memory", func(b *Budget) ID {
			b.Grow(start, b.Open(start), 90)
			b.Grow(start, b.Open(start), 20)
			return 2
		}, 20, Wait, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(limit)
			asking := c.prepare(b)
			before := b.Used()
			verdict, refused := b.Grow(start, asking, c.n)
			if verdict != c.verdict || refused != c.refused {
				t.Errorf("got %v, refused %v", verdict, refused)
			}
			if verdict != Granted && b.Used() != before || b.Used() > limit {
				t.Errorf("%d bytes used, %d before", b.Used(), before)
			}
			for id := range ID(10) {
				b.Close(id)
			}
			if b.Used() != 0 {
				t.Errorf("%d bytes used at the end", b.Used())
			}
		})
	}
}
