package length

import (
	"math"
	"math/rand"
	"testing"
)

// drawHinted returns the length of a generation and a hint that is right at the
// median but often far off.
func drawHinted(rng *rand.Rand, median, spread, hintError float64) (hint, tokens int) {
	l := math.Log(median) + spread*rng.NormFloat64()
	return max(1, int(math.Exp(l+hintError*rng.NormFloat64()))), max(1, int(math.Exp(l)))
}

// TestHintCalibration guards against predictions with a wrong spread: of similar
// generations, four of five must stay within the quantile at 0.84 standard
// deviations.
func TestHintCalibration(t *testing.T) {
	for _, c := range []struct{ median, spread, hintError float64 }{
		{700, 0.6, 0.8}, {700, 0.6, 0.3}, {8, 0.4, 1.2}, {3000, 1, 0.5}, {700, 0.2, 2},
	} {
		rng := rand.New(rand.NewSource(1))
		var m HintModel
		within, withinUnhinted, total := 0, 0, 2000
		var predictionError, hintError float64
		for i := range total + 200 {
			hint, tokens := drawHinted(rng, c.median, c.spread, c.hintError)
			p, ok := m.Predict(hint)
			if !ok {
				t.Fatal("no prediction with a hint")
			}
			unhinted, known := m.Predict(0)
			m.Observe(hint, tokens)
			if i < 200 {
				continue
			}
			if float64(tokens) <= p.Quantile(0.84) {
				within++
			}
			if known && float64(tokens) <= unhinted.Quantile(0.84) {
				withinUnhinted++
			}
			predictionError += math.Abs(math.Log(float64(tokens) / p.Median))
			hintError += math.Abs(math.Log(float64(tokens) / float64(hint)))
		}
		for name, n := range map[string]int{"with hints": within, "without hints": withinUnhinted} {
			if share := float64(n) / float64(total); share < 0.74 || share > 0.9 {
				t.Errorf("%+v %s: %.3f lie within the quantile for four of five", c, name, share)
			}
		}
		if predictionError > hintError*1.02 {
			t.Errorf("%+v: the prediction is off by %.3f, the hint alone by %.3f",
				c, predictionError/float64(total), hintError/float64(total))
		}
	}
}

// TestHintModelFollowsShift guards against a prediction that does not follow when
// responses become longer.
func TestHintModelFollowsShift(t *testing.T) {
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

// TestHintModelFirstPredictions guards against a model that ignores the first hint,
// and against one that follows a single outlier.
func TestHintModelFirstPredictions(t *testing.T) {
	var m HintModel
	if _, ok := m.Predict(0); ok {
		t.Error("a prediction without a hint or an observation")
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
