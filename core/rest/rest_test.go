package rest

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against requests within a rest, and against a server that is not used after it.
func TestRest(t *testing.T) {
	type ask struct{ at, duration time.Duration }
	for name, c := range map[string]struct {
		asks  []ask
		until time.Duration
	}{
		"one":                              {[]ask{{0, 3000 * ms}}, 3000 * ms},
		"a fraction":                       {[]ask{{0, 250 * ms}}, 250 * ms},
		"long":                             {[]ask{{0, 40 * time.Minute}}, 40 * time.Minute},
		"longer than the limit":            {[]ask{{0, 1 << 62}}, MaxRest},
		"overlapping, the second longer":   {[]ask{{0, 3000 * ms}, {1000 * ms, 3000 * ms}}, 4000 * ms},
		"a later answer shortens it":       {[]ask{{0, 9000 * ms}, {1000 * ms, 500 * ms}}, 1500 * ms},
		"answers of one moment":            {[]ask{{0, 9000 * ms}, {10 * ms, 500 * ms}}, 9000 * ms},
		"none":                             {[]ask{{0, 0}}, 0},
		"none after one does not end it":   {[]ask{{0, 3000 * ms}, {1000 * ms, 0}}, 3000 * ms},
		"a value below zero":               {[]ask{{0, -3000 * ms}}, 0},
		"one that ended before the second": {[]ask{{0, 500 * ms}, {4000 * ms, 500 * ms}}, 4500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			table, last := NewTable(), time.Duration(0)
			for _, a := range c.asks {
				table.Ask(a.at, "a", a.duration)
				last = a.at
			}
			if before := max(c.until-1, 0); c.until > last && (!table.Resting(before, "a") || table.Admit(before, "a")) {
				t.Errorf("admitted %v before the end", c.until-before)
			}
			if table.Resting(c.until, "a") || !table.Admit(c.until, "a") {
				t.Error("not admitted at the end")
			}
		})
	}
}

// Guards against a server that is flooded at the end of its rest, and against one that
// does not get its full share again.
func TestRampAfterRest(t *testing.T) {
	table := NewTable()
	table.Ask(0, "a", time.Second)
	admitted := map[time.Duration]int{}
	for at := time.Second; at < 3*time.Second; at += ms {
		if table.Admit(at, "a") {
			admitted[at/(100*ms)]++
		}
	}
	if admitted[10] > 3 || admitted[11] > 5 || admitted[19] < 5 || admitted[21] != 100 {
		t.Errorf("admitted in each tenth of a second: %v", admitted)
	}
}

// Guards against callers who are told to return before the first rest ends, all at once, or
// at the end of the longest one; and against memory for servers that are gone.
func TestReturnAndForget(t *testing.T) {
	table := NewTable()
	table.Ask(0, "a", 5*time.Second)
	table.Ask(0, "b", 2*time.Second)
	if got := table.RetryAfter(time.Second, []string{"a", "b"}, 0); got != time.Second {
		t.Errorf("first to return after %v, want 1s", got)
	}
	if got := table.RetryAfter(time.Second, []string{"a", "b"}, 0.5); got != time.Second+returnSpread/2 {
		t.Errorf("another after %v", got)
	}
	if got := table.RetryAfter(time.Second, []string{"c"}, 0.5); got != 0 {
		t.Errorf("without a rest after %v", got)
	}
	waiting := table.Waiting(time.Second)
	slices.Sort(waiting)
	if !slices.Equal(waiting, []string{"a", "b"}) || len(table.Waiting(6*time.Second)) != 0 {
		t.Errorf("waiting: %v", waiting)
	}
	table.Retain(func(id string) bool { return id == "a" })
	if !table.Resting(time.Second, "a") || table.Resting(time.Second, "b") {
		t.Error("the wrong server was forgotten")
	}
}
