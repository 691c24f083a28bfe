package length

import (
	"math"
	"math/rand"
	"testing"
)

// drawHinted returns the length of a generation and an estimate of it that is right at
// the median, often far off.
func drawHinted(rng *rand.Rand, median, spread, error float64) (hint, tokens int) {
	l := math.Log(median) + spread*rng.NormFloat64()
	return max(1, int(math.Exp(l+error*rng.NormFloat64()))), max(1, int(math.Exp(l)))
}

// Guards against a band that is stated and does not hold: of generations like
// those seen before, four of five stay within the quantile of 0.84 deviations.
func TestHintCalibration(t *testing.T) {
	for _, c := range []struct{ median, spread, hintError float64 }{
		{700, 0.6, 0.8}, {700, 0.6, 0.3}, {8, 0.4, 1.2}, {3000, 1, 0.5}, {700, 0.2, 2},
	} {
		rng := rand.New(rand.NewSource(1))
		var m HintModel
		within, bare, total := 0, 0, 2000
		var miss, missHint float64
		for i := range total + 200 {
			hint, tokens := drawHinted(rng, c.median, c.spread, c.hintError)
			p, ok := m.Predict(hint)
			if !ok {
				t.Fatal("no prediction with an estimate")
			}
			u, known := m.Predict(0)
			m.Observe(hint, tokens)
			if i < 200 {
				continue
			}
			if float64(tokens) <= p.Quantile(0.84) {
				within++
			}
			if known && float64(tokens) <= u.Quantile(0.84) {
				bare++
			}
			miss += math.Abs(math.Log(float64(tokens) / p.Median))
			missHint += math.Abs(math.Log(float64(tokens) / float64(hint)))
		}
		for name, n := range map[string]int{"with estimates": within, "without": bare} {
			if share := float64(n) / float64(total); share < 0.74 || share > 0.9 {
				t.Errorf("%+v %s: %.3f lie within the band for four of five", c, name, share)
			}
		}
		if miss > missHint*1.02 {
			t.Errorf("%+v: the prediction misses by %.3f, the estimate alone by %.3f", c, miss/float64(total), missHint/float64(total))
		}
	}
}

// Guards against a prediction that does not follow when answers become longer.
func TestHintModelFollowsAShift(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	var m HintModel
	for range 300 {
		m.Observe(drawHinted(rng, 100, 0.3, 1.5))
	}
	for range 120 {
		m.Observe(drawHinted(rng, 1000, 0.3, 1.5))
	}
	p, _ := m.Predict(0)
	if p.Median < 600 {
		t.Errorf("after 120 generations of about 1000 tokens the median is %.0f", p.Median)
	}
}

// Guards against a first prediction that trusts nothing, or one odd generation.
func TestHintModelBegins(t *testing.T) {
	var m HintModel
	if _, ok := m.Predict(0); ok {
		t.Error("a prediction out of nothing")
	}
	if p, ok := m.Predict(400); !ok || p.Median != 400 || p.Quantile(0.84) < 600 {
		t.Errorf("first prediction %+v", p)
	}
	m.Observe(400, 4)
	if p, _ := m.Predict(400); p.Median < 250 {
		t.Errorf("one short generation moves the median to %.0f", p.Median)
	}
	m.Observe(0, 0)
	if p, _ := m.Predict(400); math.IsNaN(p.Median) || math.IsNaN(p.Spread) {
		t.Errorf("%+v", p)
	}
}
