package length

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

func lognormal(rng *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*rng.NormFloat64())))
}

// TestDistribution guards against estimates that deviate from the observed
// distribution, both unconditionally and given the tokens already generated.
func TestDistribution(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	e := New(Config{})
	k := Key{Model: "m", Caller: "c", Class: "plan"}
	var all []int
	for i := 0; i < 3900; i++ {
		n := lognormal(rng, 900, 1)
		all = append(all, n)
		e.Observe(k, n)
	}
	d := e.Distribution(k)
	for _, generated := range []int{0, 100, 1000, 4000} {
		var left []float64
		var sum float64
		for _, n := range all {
			if n > generated {
				left = append(left, float64(n-generated))
				sum += float64(n - generated)
			}
		}
		mean, variance := d.Residual(generated)
		if want := sum / float64(len(left)); mean < 0.8*want || mean > 1.4*want || variance <= 0 {
			t.Errorf("after %d: residual mean %.0f, want about %.0f (variance %.0f)", generated, mean, want, variance)
		}
		q := d.ResidualQuantile(generated, 0.9)
		above := 0
		for _, l := range left {
			if l > float64(q) {
				above++
			}
		}
		if part := float64(above) / float64(len(left)); part < 0.05 || part > 0.15 {
			t.Errorf("after %d: %.3f of the responses exceed the 0.9 quantile %d", generated, part, q)
		}
	}
}

// TestFallback guards against a new caller that gets the prior instead of the
// distribution of its class, and against a prior that excludes long responses.
func TestFallback(t *testing.T) {
	e := New(Config{})
	for i := 0; i < 200; i++ {
		e.Observe(Key{"m", "a", "check"}, 20)
		e.Observe(Key{"m", "a", "plan"}, 2000)
	}
	for _, c := range []struct {
		key       Key
		low, high int
	}{
		{Key{"m", "new", "check"}, 16, 32},
		{Key{"m", "new", "plan"}, 1500, 2600},
		{Key{"m", "new", "unknown"}, 16, 2600},
		{Key{"other", "new", "check"}, 20, 200},
	} {
		if q := e.Distribution(c.key).Quantile(0.5); q < c.low || q > c.high {
			t.Errorf("%v: median %d, want %d to %d", c.key, q, c.low, c.high)
		}
	}
}

// TestBounds guards against memory that grows with the number of callers, and
// against a window that never discounts old observations.
func TestBounds(t *testing.T) {
	e := New(Config{MaxKeys: 50, Window: 100})
	for i := 0; i < 1000; i++ {
		e.Observe(Key{"m", fmt.Sprint("c", i), "x"}, 1000)
		e.Distribution(Key{"m", fmt.Sprint("c", i), "x"})
	}
	if e.Keys() > 50 {
		t.Errorf("%d keys, want at most 50", e.Keys())
	}
	for i := 0; i < 1000; i++ {
		e.Observe(Key{Model: "m", Class: "x"}, 10)
	}
	if q := e.Distribution(Key{Model: "m", Class: "x"}).Quantile(0.9); q > 20 {
		t.Errorf("0.9 quantile %d after 1000 responses of 10 tokens", q)
	}
}
