package length

import (
	"math"
	"math/bits"
)

// Buckets are spaced logarithmically: four per doubling, up to 2^17 tokens.
const (
	bucketsPerOctaveBits = 2
	bucketsPerOctave     = 1 << bucketsPerOctaveBits
	octaves              = 17
	buckets              = octaves * bucketsPerOctave
	maxLength            = 1<<octaves - 1
)

// edges[i] is the smallest length in bucket i.
var edges = func() [buckets + 1]float64 {
	var e [buckets + 1]float64
	for i := range e {
		octave, step := i/bucketsPerOctave, i%bucketsPerOctave
		e[i] = math.Ldexp(1+float64(step)/bucketsPerOctave, octave)
	}
	return e
}()

// bucketOf returns the bucket of a length.
func bucketOf(n int) int {
	n = min(max(n, 1), maxLength)
	octave := bits.Len(uint(n)) - 1
	step := (n << bucketsPerOctaveBits >> octave) & (bucketsPerOctave - 1)
	return octave*bucketsPerOctave + step
}

// Distribution is the estimated distribution of the response length. It is updated as
// long as the Estimator holds its key.
type Distribution struct {
	// survival[i] is the probability that a length is at least edges[i].
	survival [buckets + 1]float64
}

// newPrior returns the distribution used without observations. Its density
// decreases with each doubling: half of the responses have up to 30 tokens, and 5 in
// 100 more than 8,192. A uniform density per doubling would have a mean of 11,000
// tokens, and a new engine would run one request at a time.
func newPrior() *Distribution {
	d := &Distribution{}
	for i := range d.survival {
		remaining := 1 - float64(i)/buckets
		d.survival[i] = remaining * remaining
	}
	return d
}

// fit computes the distribution from counts and from the parent distribution, which
// counts as pseudoCount observations.
func (d *Distribution) fit(counts *[buckets]float64, total float64, parent *Distribution, pseudoCount float64) {
	exceeding := 0.0
	d.survival[buckets] = 0
	for i := buckets - 1; i >= 0; i-- {
		exceeding += counts[i]
		d.survival[i] = (exceeding + pseudoCount*parent.survival[i]) / (total + pseudoCount)
	}
}

// Survival returns the probability that a response has more than n tokens.
func (d *Distribution) Survival(n int) float64 {
	if n < 1 {
		return 1
	}
	if n >= maxLength {
		return 0
	}
	i := bucketOf(n + 1)
	fraction := (float64(n+1) - edges[i]) / (edges[i+1] - edges[i])
	return d.survival[i] + fraction*(d.survival[i+1]-d.survival[i])
}

// SurvivalAfter returns the probability that a response of which generated tokens
// exist continues for more than ahead tokens.
func (d *Distribution) SurvivalAfter(generated, ahead int) float64 {
	base := d.Survival(generated)
	if base <= 0 {
		return 0
	}
	return d.Survival(generated+ahead) / base
}

// Residual returns the mean and the variance of the number of tokens that follow
// the generated ones.
func (d *Distribution) Residual(generated int) (mean, variance float64) {
	from := max(generated, 0)
	base := d.Survival(from)
	if base <= 0 {
		return 0, 0
	}
	var mass, sum, squares float64
	for i := bucketOf(from + 1); i < buckets; i++ {
		low := max(edges[i], float64(from+1))
		p := d.survival[i] - d.survival[i+1]
		if low > edges[i] {
			p *= (edges[i+1] - low) / (edges[i+1] - edges[i])
		}
		middle := (low+edges[i+1]-1)/2 - float64(from)
		width := edges[i+1] - low
		mass += p
		sum += p * middle
		squares += p * (middle*middle + width*width/12)
	}
	if mass <= 0 {
		return 0, 0
	}
	mean = sum / mass
	return mean, max(0, squares/mass-mean*mean)
}

// Quantile returns the length that a fraction q of the responses do not exceed.
func (d *Distribution) Quantile(q float64) int { return d.ResidualQuantile(0, q) }

// ResidualQuantile returns the number of further tokens that a fraction q of the
// responses with generated tokens do not exceed.
func (d *Distribution) ResidualQuantile(generated int, q float64) int {
	target := (1 - q) * d.Survival(generated)
	low, high := max(generated, 0), maxLength
	for low < high {
		middle := (low + high) / 2
		if d.Survival(middle) <= target {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low - max(generated, 0)
}
