package retry

import (
	"math/rand"
	"testing"
	"time"
)

// TestBudgetHoldsInEachWindow guards against more retries in a window than its
// limit, wherever the window starts.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	const ratio, slack, window = 0.2, 5, 10 * time.Second
	random := rand.New(rand.NewSource(1))
	b := NewBudget(ratio, slack, window)
	var requests, retries []time.Duration
	for now := time.Duration(0); now < 2*time.Minute; now += 20 * time.Millisecond {
		if now%(30*time.Second) < 12*time.Second || random.Float64() < 0.1 {
			b.RecordRequest(now)
			requests = append(requests, now)
		}
		if b.AllowRetry(now) {
			retries = append(retries, now)
		}
	}
	count := func(times []time.Duration, from, to time.Duration) (n float64) {
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < 2*time.Minute; from += 100 * time.Millisecond {
		maxRequests := max(count(requests, from, from+window), count(requests, from-window, from),
			count(requests, from-window/2, from+window/2))
		if got := count(retries, from, from+window); got > ratio*maxRequests+2*slack {
			t.Errorf("%v retries in the window from %v for at most %v requests", got, from, maxRequests)
		}
	}
	if len(retries) == 0 {
		t.Error("no retry was allowed")
	}
}
