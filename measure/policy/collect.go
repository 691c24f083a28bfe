package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// collector records the token latencies of one run. Requests that arrive during
// the warm-up are excluded.
type collector struct {
	warmup time.Duration
	// Both histograms are in microseconds.
	timeBetweenTokens, timeToFirstToken *hdrhistogram.Histogram
	// repeatCount counts consecutive times between tokens that equal repeatedGap.
	// They are recorded together, as most sequences of a step have the same gap.
	repeatedGap time.Duration
	repeatCount int64
}

const (
	histogramMaxMicros = int64(3600 * 1e6)
	histogramDigits    = 2
)

func newCollector() *collector {
	return &collector{
		timeBetweenTokens: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		timeToFirstToken:  hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros))
}

// recordToken records one token. A plain call has a single response at its end,
// so its earlier units of work are not counted as tokens.
func (c *collector) recordToken(now time.Duration, s *sequence) {
	r := s.request
	if r.plain && s.generated < r.outputTokens {
		return
	}
	gap := now - r.lastTokenAt
	r.lastTokenAt = now
	if r.firstTokenAt == 0 {
		r.firstTokenAt = now
		r.stall += max(0, gap-firstTokenBound)
		if r.arrival >= c.warmup {
			recordDuration(c.timeToFirstToken, gap)
		}
		return
	}
	r.stall += max(0, gap-betweenTokenBound)
	if r.arrival >= c.warmup {
		if gap != c.repeatedGap {
			c.flush()
			c.repeatedGap = gap
		}
		c.repeatCount++
	}
}

// flush records the pending equal times between tokens.
func (c *collector) flush() {
	if c.repeatCount > 0 {
		_ = c.timeBetweenTokens.RecordValues(min(max(c.repeatedGap.Microseconds(), 1), histogramMaxMicros), c.repeatCount)
		c.repeatCount = 0
	}
}

// requestDone records the end of a request.
func (c *collector) requestDone(now time.Duration, r *request) { r.lastTokenAt = now }

// Metrics holds the metrics of one run, or a statistic of them over several runs.
type Metrics struct {
	// StallMean and StallP99 are the seconds of stall per request that was neither
	// refused nor interrupted. UrgentStallMean is the mean of the short urgent calls
	// and the plain calls among them.
	StallMean       float64 `json:"stall_mean_seconds"`
	StallP99        float64 `json:"stall_p99_seconds"`
	UrgentStallMean float64 `json:"stall_urgent_mean_seconds"`
	// Preemptions is the number of preemptions per 100 such requests.
	Preemptions float64 `json:"preemptions_per_100"`
	// MaxPreemptions is the maximum number of preemptions of one request.
	MaxPreemptions        float64 `json:"most_preempted"`
	TimeBetweenTokensP50  float64 `json:"between_p50_seconds"`
	TimeBetweenTokensP95  float64 `json:"between_p95_seconds"`
	TimeBetweenTokensP99  float64 `json:"between_p99_seconds"`
	TimeBetweenTokensP999 float64 `json:"between_p999_seconds"`
	TimeToFirstTokenP50   float64 `json:"first_p50_seconds"`
	TimeToFirstTokenP95   float64 `json:"first_p95_seconds"`
	// Goodput is the number of tokens per second of generations that complete by
	// their deadline.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// Refused and UrgentRefused are the refused percentages of all requests and
	// of the urgent ones.
	Refused       float64 `json:"refused_percent"`
	UrgentRefused float64 `json:"refused_urgent_percent"`
	// Failed is the percentage of requests that were interrupted.
	Failed float64 `json:"failed_percent"`
	// Jain is Jain's fairness index of the fraction of its demand that each team
	// gets served.
	Jain float64 `json:"jain"`
}

// tally accumulates the metrics of the requests of a run.
type tally struct {
	metrics                                            Metrics
	stalls                                             *hdrhistogram.Histogram
	served, demand                                     []float64
	counted, countedUrgent, total, totalUrgent, tokens float64
}

// add adds one request after the cutoff. A request that is not finished counts
// as stalled since its last token.
func (t *tally) add(q *request, cutoff time.Duration) {
	isUrgent := q.priority >= urgentPriority
	t.total++
	if isUrgent {
		t.totalUrgent++
	}
	if !q.plain {
		t.demand[q.team] += float64(q.outputTokens)
		if q.done && q.lastTokenAt <= q.deadline() {
			t.tokens += float64(q.outputTokens)
			t.served[q.team] += float64(q.outputTokens)
		}
	}
	if q.refused {
		t.metrics.Refused++
		if isUrgent {
			t.metrics.UrgentRefused++
		}
		return
	}
	if q.interrupted {
		t.metrics.Failed++
		return
	}
	q.addUnfinishedStall(cutoff)
	t.counted++
	t.metrics.StallMean += q.stall.Seconds()
	recordDuration(t.stalls, q.stall)
	if isUrgent {
		t.countedUrgent++
		t.metrics.UrgentStallMean += q.stall.Seconds()
	}
	t.metrics.Preemptions += float64(q.preemptions)
	t.metrics.MaxPreemptions = max(t.metrics.MaxPreemptions, float64(q.preemptions))
}

// metrics computes the metrics of a run after its cutoff.
func (r *run) metrics(horizon time.Duration) Metrics {
	c := r.collector
	t := tally{
		stalls: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		served: make([]float64, len(r.site.teamShares)), demand: make([]float64, len(r.site.teamShares)),
	}
	for _, q := range r.requests {
		if q.arrival >= c.warmup {
			t.add(q, r.cutoff)
		}
	}
	m := t.metrics
	m.StallMean /= max(t.counted, 1)
	m.UrgentStallMean /= max(t.countedUrgent, 1)
	m.Preemptions *= 100 / max(t.counted, 1)
	m.Refused *= 100 / max(t.total, 1)
	m.Failed *= 100 / max(t.total, 1)
	m.UrgentRefused *= 100 / max(t.totalUrgent, 1)
	m.StallP99 = percentile(t.stalls, 99)
	m.TimeBetweenTokensP50, m.TimeBetweenTokensP95 =
		percentile(c.timeBetweenTokens, 50), percentile(c.timeBetweenTokens, 95)
	m.TimeBetweenTokensP99, m.TimeBetweenTokensP999 =
		percentile(c.timeBetweenTokens, 99), percentile(c.timeBetweenTokens, 99.9)
	m.TimeToFirstTokenP50, m.TimeToFirstTokenP95 = percentile(c.timeToFirstToken, 50), percentile(c.timeToFirstToken, 95)
	m.Goodput = t.tokens / (horizon - c.warmup).Seconds()
	m.Jain = jainIndex(t.served, t.demand)
	return m
}

// addUnfinishedStall adds the stall between the last token and the cutoff if the
// request is not finished.
func (q *request) addUnfinishedStall(cutoff time.Duration) {
	if q.done {
		return
	}
	bound := betweenTokenBound
	if q.firstTokenAt == 0 {
		bound = firstTokenBound
	}
	q.stall += max(0, cutoff-q.lastTokenAt-bound)
	q.lastTokenAt = cutoff
}

func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1e6
}

// jainIndex returns Jain's fairness index of served/demand over the teams with
// demand, or 1 if nothing was served.
func jainIndex(served, demand []float64) float64 {
	var sum, squares, n float64
	for i := range served {
		if demand[i] == 0 {
			continue
		}
		x := served[i] / demand[i]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}
