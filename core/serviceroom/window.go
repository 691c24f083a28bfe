package serviceroom

import "time"

// window keeps one value for each of the last spans of time.
type window struct {
	width  time.Duration
	newest int64
	used   bool
	values []int
}

func newWindow(length time.Duration, spans int) *window {
	return &window{width: length / time.Duration(spans), values: make([]int, spans)}
}

// slot returns the value of the current span, after those that are too old were cleared.
func (w *window) slot(now time.Duration) *int {
	n, index := int64(len(w.values)), int64(now/w.width)
	if !w.used || index-w.newest >= n {
		clear(w.values)
		w.newest, w.used = index, true
	}
	for w.newest < index {
		w.newest++
		w.values[(w.newest%n+n)%n] = 0
	}
	return &w.values[(w.newest%n+n)%n]
}

func (w *window) add(now time.Duration, value int) { *w.slot(now) += value }

func (w *window) raise(now time.Duration, value int) {
	slot := w.slot(now)
	*slot = max(*slot, value)
}

func (w *window) sum(now time.Duration) (sum int) {
	w.slot(now)
	for _, value := range w.values {
		sum += value
	}
	return sum
}

func (w *window) peak(now time.Duration) (peak int) {
	w.slot(now)
	for _, value := range w.values {
		peak = max(peak, value)
	}
	return peak
}
