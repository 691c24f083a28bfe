package operator

import (
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: 10 µs to 1 h with three significant
// figures.
const (
	timeUnit           = 10 * time.Microsecond
	maxTimeUnits       = int64(time.Hour / timeUnit)
	significantFigures = 3
)

// maxFailureKinds bounds the kinds of failures that are counted separately. Others
// are counted together.
const maxFailureKinds = 64

var loadPercentiles = []float64{50, 90, 95, 99, 99.9, 100}

// loadStats aggregates the statistics of the requests of all workers.
type loadStats struct {
	mu                                      sync.Mutex
	complete, misordered                    int
	cutOff, cutOffWaiting                   int
	tokens                                  int64
	failures                                map[string]int
	firstToken, betweenTokens, stall, whole *hdrhistogram.Histogram
}

func newLoadStats() *loadStats {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTimeUnits, significantFigures) }
	return &loadStats{
		failures: map[string]int{}, firstToken: newHistogram(), betweenTokens: newHistogram(),
		stall: newHistogram(), whole: newHistogram(),
	}
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(int64(d/timeUnit), 0), maxTimeUnits))
}

func (s *loadStats) add(r requestStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.complete:
		s.complete++
		recordTime(s.whole, r.whole)
	case r.cutOff:
		s.cutOff++
		if r.tokens == 0 {
			s.cutOffWaiting++
		}
	default:
		if _, ok := s.failures[r.failure]; !ok && len(s.failures) >= maxFailureKinds {
			r.failure = "other"
		}
		s.failures[r.failure]++
	}
	s.tokens += int64(r.tokens)
	s.misordered += r.misordered
	if r.tokens > 0 {
		recordTime(s.firstToken, r.firstToken)
	}
	for _, gap := range r.gaps {
		recordTime(s.betweenTokens, gap)
	}
	// Requests that the end of the run cancels count as well. Without them the
	// longest stalls would be missing.
	if !r.refused {
		recordTime(s.stall, r.stall)
	}
}

func (s *loadStats) totals() (complete, failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.failures {
		failed += n
	}
	return s.complete, failed
}

// loadResult is the result of a run. All times are in seconds.
type loadResult struct {
	Seconds         float64            `json:"duration_seconds"`
	Complete        int                `json:"complete_total"`
	CutOff          int                `json:"cut_off_total"`
	CutOffWaiting   int                `json:"cut_off_before_first_token_total"`
	Misordered      int                `json:"misordered_total"`
	Failures        map[string]int     `json:"failures_total"`
	Tokens          int64              `json:"tokens_total"`
	TokensPerSecond float64            `json:"tokens_per_second"`
	Times           []timeDistribution `json:"times"`
}

type timeDistribution struct {
	Name        string    `json:"name"`
	Count       int64     `json:"count"`
	Percentiles []float64 `json:"percentiles"`
	Seconds     []float64 `json:"seconds"`
}

func (s *loadStats) result(elapsed time.Duration) loadResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := loadResult{
		Seconds: elapsed.Seconds(), Complete: s.complete, Misordered: s.misordered,
		CutOff: s.cutOff, CutOffWaiting: s.cutOffWaiting,
		Failures: s.failures, Tokens: s.tokens, TokensPerSecond: float64(s.tokens) / elapsed.Seconds(),
	}
	for _, h := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{"first_token_seconds", s.firstToken}, {"between_tokens_seconds", s.betweenTokens},
		{"stall_seconds", s.stall}, {"whole_seconds", s.whole},
	} {
		t := timeDistribution{Name: h.name, Count: h.histogram.TotalCount(), Percentiles: loadPercentiles}
		for _, p := range loadPercentiles {
			t.Seconds = append(t.Seconds, (time.Duration(h.histogram.ValueAtQuantile(p)) * timeUnit).Seconds())
		}
		r.Times = append(r.Times, t)
	}
	return r
}

func (r loadResult) print(inv *invocation) {
	inv.printf(
		"%.1f s: %d complete, %d cut off by the end of the run (%d before the first token), %d tokens, %.1f tokens/s\n",
		r.Seconds, r.Complete, r.CutOff, r.CutOffWaiting, r.Tokens, r.TokensPerSecond)
	if r.Misordered > 0 {
		inv.printf("%d events were out of order\n", r.Misordered)
	}
	for _, failure := range sortedKeys(r.Failures, nil) {
		inv.printf("%d failed: %s\n", r.Failures[failure], failure)
	}
	table := tabwriter.NewWriter(inv.app.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tcount\tp50\tp90\tp95\tp99\tp99.9\tmax\t")
	for _, t := range r.Times {
		fmt.Fprintf(table, "%s\t%d", strings.TrimSuffix(t.Name, "_seconds"), t.Count)
		for _, seconds := range t.Seconds {
			fmt.Fprintf(table, "\t%.2f ms", seconds*1000)
		}
		fmt.Fprintln(table, "\t")
	}
	// A failed write to standard output cannot be reported anywhere else.
	_ = table.Flush()
}
