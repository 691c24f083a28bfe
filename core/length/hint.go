package length

import "math"

const (
	// hintPriorCount is the initial weight, in generations, of the prior that
	// assumes hints to be right at the median. Without it, a few outliers would
	// determine the first predictions.
	hintPriorCount = 20
	// hintPriorSpread is the standard deviation of the logarithm of the length
	// around the hint in the prior: two of three lengths are between half and twice
	// the hint.
	hintPriorSpread = 0.7
	// hintPriorVariance is the variance of the logarithm of the hints of a route in
	// the prior.
	hintPriorVariance = 0.5
	// decayGenerations is the number of generations after which the weight of an
	// observation has decayed to about a third. Predictions are steady, yet follow
	// a shift from long prompts to long responses within a minute at one request per
	// second.
	decayGenerations = 60
	// minSpread keeps the predicted range from collapsing after a few equal
	// lengths.
	minSpread = 0.1
)

// Prediction is the predicted length of a generation. The logarithm of the length
// is assumed to be normally distributed.
type Prediction struct {
	// Median is the number of tokens that half of the generations exceed.
	Median float64
	// Spread is the standard deviation of the logarithm of the length.
	Spread float64
}

// Quantile returns the length that is stdDevs standard deviations above the median:
// 0 gives the median, 0.84 the length that four of five generations do not exceed,
// 1.28 that of nine of ten.
func (p Prediction) Quantile(stdDevs float64) float64 {
	return p.Median * math.Exp(stdDevs*p.Spread)
}

// Mean returns the expected length.
func (p Prediction) Mean() float64 { return p.Median * math.Exp(p.Spread*p.Spread/2) }

// HintModel predicts the number of tokens of a generation from the caller's hint
// and from the lengths of earlier generations of the same route. The zero value has
// no observations. It is not safe for concurrent use.
type HintModel struct{ hinted, unhinted moments }

// moments holds the weighted moments of the logarithms of hints (h) and lengths
// (l). count is the number of all observations, weight the sum of their decayed
// weights.
type moments struct{ count, weight, sumH, sumL, sumHH, sumHL, sumLL float64 }

// priorWeight returns the weight of the prior in observations. It decreases as
// observations are added.
func (s *moments) priorWeight() float64 {
	return hintPriorCount * hintPriorCount / (s.count + hintPriorCount)
}

// dataShare returns the share of the observations in the total weight, from 0 to 1.
func (s *moments) dataShare() float64 { return s.weight / (s.weight + s.priorWeight()) }

// Observe records the length of a complete generation. hint is the caller's
// estimate of the length, 0 if there was none.
func (m *HintModel) Observe(hint, tokens int) {
	if tokens <= 0 {
		return
	}
	l := math.Log(float64(tokens))
	m.unhinted.add(0, l)
	if hint > 0 {
		m.hinted.add(math.Log(float64(hint)), l)
	}
}

func (s *moments) add(h, l float64) {
	const decay = 1 - 1.0/decayGenerations
	s.count++
	s.weight, s.sumH, s.sumL = s.weight*decay+1, s.sumH*decay+h, s.sumL*decay+l
	s.sumHH, s.sumHL, s.sumLL = s.sumHH*decay+h*h, s.sumHL*decay+h*l, s.sumLL*decay+l*l
}

// Predict returns the predicted length of a generation with the caller's hint, 0 if
// there is none. It returns false if it has neither a hint nor an observation.
//
// The logarithm of the length is fitted as a linear function of the logarithm of
// the hint. Hints that are often far off flatten the line, which moves the
// prediction towards the usual length of the route.
func (m *HintModel) Predict(hint int) (Prediction, bool) {
	if hint <= 0 {
		return m.unhinted.predictUnhinted()
	}
	h := math.Log(float64(hint))
	s := &m.hinted
	if s.weight == 0 {
		return Prediction{Median: float64(hint), Spread: hintPriorSpread}, true
	}
	meanH, meanL := s.sumH/s.weight, s.sumL/s.weight
	varH, cov, varL := max(0, s.sumHH/s.weight-meanH*meanH), s.sumHL/s.weight-meanH*meanL,
		max(0, s.sumLL/s.weight-meanL*meanL)
	dataShare := s.dataShare()
	// The prior is a line through the origin with a slope of one.
	slope := (s.weight*cov + s.priorWeight()*hintPriorVariance) / (s.weight*varH + s.priorWeight()*hintPriorVariance)
	slope = min(max(slope, 0), 1)
	offset := dataShare * (meanL - meanH)
	center := meanH + offset
	residual := max(0, varL-2*slope*cov+slope*slope*varH)
	spread := math.Sqrt(dataShare*residual + (1-dataShare)*hintPriorSpread*hintPriorSpread)
	return Prediction{Median: math.Exp(center + slope*(h-meanH)), Spread: max(spread, minSpread)}, true
}

// predictUnhinted returns the predicted length of a generation without a hint.
func (s *moments) predictUnhinted() (Prediction, bool) {
	if s.weight == 0 {
		return Prediction{}, false
	}
	mean := s.sumL / s.weight
	dataShare := s.dataShare()
	spread := math.Sqrt(dataShare*max(0, s.sumLL/s.weight-mean*mean) + (1-dataShare)*hintPriorSpread*hintPriorSpread)
	return Prediction{Median: math.Exp(mean), Spread: max(spread, minSpread)}, true
}
