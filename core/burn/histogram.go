package burn

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range and precision of durations: 1 µs to 1 h with an error under 1 %. A change
// needs a new snapshot Format, because snapshots with different values do not
// merge.
const (
	minMicroseconds    = int64(1)
	maxMicroseconds    = int64(time.Hour / time.Microsecond)
	significantFigures = 2
)

func newHDR() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures)
}

// bucketCount is the number of buckets of an HDR histogram with this range.
var bucketCount = len(newHDR().Export().Counts)

// Bucket is one non-empty bucket of an HDR histogram.
type Bucket struct {
	Index int
	Count int64
}

// MarshalJSON encodes the bucket as a compact pair of index and count, because a
// histogram has hundreds of buckets.
func (b Bucket) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]int64{int64(b.Index), b.Count})
}

// UnmarshalJSON decodes a pair of index and count.
func (b *Bucket) UnmarshalJSON(data []byte) error {
	var pair [2]int64
	if err := json.Unmarshal(data, &pair); err != nil {
		return errors.Wrap(err, "histogram bucket")
	}
	b.Index, b.Count = int(pair[0]), pair[1]
	return nil
}

// Histogram holds the non-empty buckets of an HDR histogram of microseconds, sorted
// by index.
type Histogram []Bucket

func toSparse(h *hdrhistogram.Histogram) Histogram {
	var out Histogram
	for i, n := range h.Export().Counts {
		if n > 0 {
			out = append(out, Bucket{i, n})
		}
	}
	return out
}

// Merge returns the sum of two histograms.
func (h Histogram) Merge(other Histogram) Histogram {
	if len(h) == 0 {
		return other
	}
	out := make(Histogram, 0, len(h)+len(other))
	for len(h) > 0 && len(other) > 0 {
		switch a, b := h[0], other[0]; {
		case a.Index < b.Index:
			out, h = append(out, a), h[1:]
		case a.Index > b.Index:
			out, other = append(out, b), other[1:]
		default:
			out = append(out, Bucket{a.Index, a.Count + b.Count})
			h, other = h[1:], other[1:]
		}
	}
	// Clone releases the capacity reserved for buckets that both histograms have.
	return slices.Clone(append(append(out, h...), other...))
}

func (h Histogram) valid() bool {
	last := -1
	for _, b := range h {
		if b.Index <= last || b.Index >= bucketCount || b.Count <= 0 || b.Count > maxCount {
			return false
		}
		last = b.Index
	}
	return true
}

// Quantiles returns the durations at the given percentiles, or nil if the histogram
// is empty. The percentile 100 is the maximum.
func (h Histogram) Quantiles(percentiles ...float64) []time.Duration {
	if len(h) == 0 {
		return nil
	}
	snapshot := newHDR().Export()
	for _, b := range h {
		snapshot.Counts[b.Index] = b.Count
	}
	hdr := hdrhistogram.Import(snapshot)
	out := make([]time.Duration, len(percentiles))
	for i, p := range percentiles {
		out[i] = time.Duration(hdr.ValueAtQuantile(p)) * time.Microsecond
	}
	return out
}
