package length

import "math"

const (
	// hintWeight is the number of generations for which the belief counts that
	// estimates are right at the median. Before about as many were seen, a few
	// odd ones would decide.
	hintWeight = 20
	// hintSpread is the spread of the logarithm of the length around an estimate
	// that is assumed then: two of three lie within half and twice of it.
	hintSpread = 0.7
	// hintVariance is the variance of the logarithm of estimates within a route
	// that the belief stands for.
	hintVariance = 0.5
	// memory is the number of generations after which what was seen weighs about
	// a third: long enough to be steady, short enough to follow a shift from long
	// prompts to long answers within a minute at one request a second.
	memory = 60
	// minSpread keeps a band from closing after a few equal lengths.
	minSpread = 0.1
)

// Prediction is the length of a generation with its spread: its logarithm is
// taken as normally distributed.
type Prediction struct {
	// Median is the number of tokens that half of such generations exceed.
	Median float64
	// Spread is the standard deviation of the logarithm.
	Spread float64
}

// Quantile returns the length that a generation stays within in so many standard
// deviations: 0 for the median, 0.84 for four of five, 1.28 for nine of ten.
func (p Prediction) Quantile(deviations float64) float64 {
	return p.Median * math.Exp(deviations*p.Spread)
}

// Mean returns the expected length.
func (p Prediction) Mean() float64 { return p.Median * math.Exp(p.Spread*p.Spread/2) }

// HintModel predicts how many tokens a generation will make, from the caller's
// estimate and from what generations of the same route made. The zero value
// knows nothing. It is not safe for concurrent use.
type HintModel struct{ hinted, unhinted sums }

// sums are weighted moments of the logarithms of estimates (h) and lengths (l).
// Seen counts all generations, n only the recent ones.
type sums struct{ seen, n, h, l, hh, hl, ll float64 }

// belief is the number of generations that the belief about estimates still
// stands for. It fades as more are seen.
func (s *sums) belief() float64 { return hintWeight * hintWeight / (s.seen + hintWeight) }

// trust is the weight of what was seen against the belief, 0 to 1.
func (s *sums) trust() float64 { return s.n / (s.n + s.belief()) }

// Observe takes the length of a generation that came to its end. Hint is the
// caller's estimate, 0 when it gave none.
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

func (s *sums) add(h, l float64) {
	const keep = 1 - 1.0/memory
	s.seen++
	s.n, s.h, s.l = s.n*keep+1, s.h*keep+h, s.l*keep+l
	s.hh, s.hl, s.ll = s.hh*keep+h*h, s.hl*keep+h*l, s.ll*keep+l*l
}

// Predict returns the length of a generation with a caller's estimate, 0 when
// there is none, and false when nothing is known of it at all.
//
// The logarithm of the length is fitted as a line over that of the estimate.
// Estimates that are often far off make the line flat, so that a prediction lies
// nearer to what the route usually makes.
func (m *HintModel) Predict(hint int) (Prediction, bool) {
	if hint <= 0 {
		return m.unhinted.usual()
	}
	h := math.Log(float64(hint))
	s := &m.hinted
	if s.n == 0 {
		return Prediction{Median: float64(hint), Spread: hintSpread}, true
	}
	meanH, meanL := s.h/s.n, s.l/s.n
	varH, cov, varL := max(0, s.hh/s.n-meanH*meanH), s.hl/s.n-meanH*meanL, max(0, s.ll/s.n-meanL*meanL)
	trust := s.trust()
	// The belief is a line through the origin of slope one.
	slope := (s.n*cov + s.belief()*hintVariance) / (s.n*varH + s.belief()*hintVariance)
	slope = min(max(slope, 0), 1)
	offset := trust * (meanL - meanH)
	center := meanH + offset
	residual := max(0, varL-2*slope*cov+slope*slope*varH)
	spread := math.Sqrt(trust*residual + (1-trust)*hintSpread*hintSpread)
	return Prediction{Median: math.Exp(center + slope*(h-meanH)), Spread: max(spread, minSpread)}, true
}

// usual returns the length of generations without an estimate.
func (s *sums) usual() (Prediction, bool) {
	if s.n == 0 {
		return Prediction{}, false
	}
	mean := s.l / s.n
	trust := s.trust()
	spread := math.Sqrt(trust*max(0, s.ll/s.n-mean*mean) + (1-trust)*hintSpread*hintSpread)
	return Prediction{Median: math.Exp(mean), Spread: max(spread, minSpread)}, true
}
