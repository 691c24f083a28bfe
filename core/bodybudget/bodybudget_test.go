package bodybudget

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/intake"
	"github.com/google/go-cmp/cmp"
)

// hold adds a request that just received what it holds.
func hold(b *Budget, began, now time.Time, address string, n int64) ID {
	id := b.Open(began, address)
	b.Grow(now, id, n)
	b.Progress(now, id, int(n))
	return id
}

// Guards against large or stalled unfinished requests that keep another one from being received,
// against refusals of the wrong request or in vain, and against a sum above the limit.
func TestGrowRefusesTheRightRequest(t *testing.T) {
	start := time.Unix(0, 0)
	const limit = 100
	lagged := start.Add(-intake.MaxIdle - time.Millisecond)
	open := func(b *Budget, n int64) ID { return hold(b, start, start, "a", n) }
	stall := func(b *Budget, address string, n int64) ID { return hold(b, lagged, lagged, address, n) }
	for _, c := range []struct {
		name    string
		prepare func(b *Budget) (asking ID)
		n       int64
		verdict Verdict
		refused []ID
	}{
		{"room", func(b *Budget) ID { return b.Open(start, "a") }, 100, Granted, nil},
		{"larger than the budget", func(b *Budget) ID { return b.Open(start, "a") }, 101, Refused, nil},
		{"the youngest is refused", func(b *Budget) ID {
			asking := open(b, 30)
			open(b, 40)
			open(b, 30)
			return asking
		}, 10, Wait, []ID{3}},
		{"the largest is not refused for a younger one that is not much smaller", func(b *Budget) ID {
			open(b, 70)
			return open(b, 20)
		}, 20, Refused, nil},
		{"the asking one is the largest and the oldest", func(b *Budget) ID {
			asking := open(b, 60)
			open(b, 40)
			return asking
		}, 10, Wait, []ID{2}},
		{"a much smaller one displaces the youngest that holds four times as much", func(b *Budget) ID {
			open(b, 60)
			open(b, 40)
			return b.Open(start, "a")
		}, 10, Wait, []ID{2}},
		{"a small one among small ones", func(b *Budget) ID {
			for range 5 {
				open(b, 20)
			}
			return b.Open(start, "a")
		}, 10, Refused, nil},
		{"as many as are needed at once", func(b *Budget) ID {
			asking := open(b, 40)
			for range 3 {
				open(b, 20)
			}
			return asking
		}, 30, Wait, []ID{4, 3}},
		{"a stalled one is refused first", func(b *Budget) ID {
			stall(b, "a", 20)
			open(b, 80)
			return b.Open(start, "a")
		}, 10, Wait, []ID{1}},
		{"stalled ones of the address that holds most are refused first", func(b *Budget) ID {
			stall(b, "a", 40)
			stall(b, "b", 30)
			stall(b, "b", 30)
			return b.Open(start, "a")
		}, 10, Wait, []ID{2}},
		{"one that drips is refused first", func(b *Budget) ID {
			hold(b, start.Add(-2*intake.StartTime), start, "a", 20)
			open(b, 80)
			return b.Open(start, "a")
		}, 10, Wait, []ID{1}},
		{"one that arrives at the full rate does not lag", func(b *Budget) ID {
			old := hold(b, start.Add(-2*intake.StartTime), start, "a", 20)
			b.Progress(start, old, intake.MinRate)
			open(b, 80)
			return b.Open(start, "a")
		}, 10, Wait, []ID{2}},
		{"complete ones are served", func(b *Budget) ID {
			b.Complete(open(b, 90))
			open(b, 10)
			return b.Open(start, "a")
		}, 2, Wait, []ID{2}},
		{"no one is refused in vain", func(b *Budget) ID {
			b.Complete(stall(b, "a", 95))
			stall(b, "a", 5)
			return b.Open(start, "a")
		}, 10, Refused, nil},
		{"all unfinished ones give way to a complete one", func(b *Budget) ID {
			open(b, 50)
			asking := open(b, 50)
			b.Complete(asking)
			return asking
		}, 50, Wait, []ID{1}},
		{"a complete one waits for others that are served", func(b *Budget) ID {
			b.Complete(open(b, 50))
			asking := open(b, 50)
			b.Complete(asking)
			return asking
		}, 50, Wait, nil},
		{"one that holds nothing is not refused", func(b *Budget) ID {
			b.Open(lagged, "a")
			asking := open(b, 60)
			open(b, 40)
			return asking
		}, 10, Wait, []ID{3}},
		{"a refused one is about to release its memory", func(b *Budget) ID {
			open(b, 90)
			b.Grow(start, b.Open(start, "a"), 20)
			return 2
		}, 20, Wait, nil},
		{"a refused one gets nothing", func(b *Budget) ID {
			open(b, 90)
			b.Grow(start, b.Open(start, "a"), 20)
			return 1
		}, 1, Refused, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(limit)
			asking := c.prepare(b)
			before := b.Used()
			verdict, refused := b.Grow(start, asking, c.n)
			if diff := cmp.Diff(c.refused, refused); verdict != c.verdict || diff != "" {
				t.Errorf("got %v, refused %v", verdict, refused)
			}
			for _, id := range refused {
				if !b.Refused(id) {
					t.Errorf("request %d is not marked as refused", id)
				}
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

// Guards against requests that count as lagging because they were not read while they waited for
// memory.
func TestWaitingRequestsDoNotLag(t *testing.T) {
	start := time.Unix(0, 0)
	const idle = intake.MaxIdle + time.Millisecond
	for _, c := range []struct {
		name string
		// The wait ends at ended, if that is not 0.
		ended, now time.Duration
		verdict    Verdict
		refused    []ID
	}{
		{"it waits", 0, idle, Refused, nil},
		{"it waited", idle, idle, Refused, nil},
		{"it is read again", idle, 2 * idle, Wait, []ID{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(100)
			waiting := hold(b, start, start, "a", 30)
			hold(b, start, start, "a", 70)
			if verdict, refused := b.Grow(start, waiting, 20); verdict != Wait || !cmp.Equal(refused, []ID{2}) {
				t.Fatalf("got %v, refused %v", verdict, refused)
			}
			if c.ended > 0 {
				b.EndWait(start.Add(c.ended), waiting)
			}
			now := start.Add(c.now)
			// The memory of the second request is not enough, and the first is not four times as large.
			if verdict, refused := b.Grow(now, b.Open(now, "b"), 80); verdict != c.verdict || !cmp.Equal(refused, c.refused) {
				t.Errorf("got %v, refused %v", verdict, refused)
			}
		})
	}
}
