package observe

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms. Two significant digits keep the error below
// 1 % with about 27 KiB per histogram; three would take 190 KiB.
const (
	minMicroseconds = int64(1)
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	histogramDigits = 2
)

// otherLabel is the label of counts that do not fit into a bounded set of labels.
const otherLabel = "other"

// unitSuffixes are the suffixes of which each metric name must have one.
var unitSuffixes = []string{
	"_total", "_seconds", "_bytes", "_tokens", "_blocks", "_ratio", "_count", "_revision",
}

// Metrics is the set of metrics of one daemon. Unlike in package expvar, the set
// is not global, so that tests can run several daemons in one process.
type Metrics struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{vars: map[string]expvar.Var{}} }

// register returns the variable with this name, and creates it if it does not
// exist. Names are constants, so a name without a unit or with two types is a
// programming error and panics, as in package expvar.
func register[V expvar.Var](m *Metrics, name string, create func() V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.vars[name]; ok {
		return v.(V)
	}
	if !hasUnit(name) {
		panic(fmt.Sprintf("metric %q does not end in one of %s", name, strings.Join(unitSuffixes, ", ")))
	}
	v := create()
	m.vars[name] = v
	return v
}

func hasUnit(name string) bool {
	for _, suffix := range unitSuffixes {
		if strings.HasSuffix(name, suffix) {
			return true
		}
	}
	return false
}

// Counter returns the counter with this name, such as "requests_total".
func (m *Metrics) Counter(name string) *expvar.Int {
	return register(m, name, func() *expvar.Int { return new(expvar.Int) })
}

// Gauge publishes a value that is read each time metrics are fetched.
func (m *Metrics) Gauge(name string, read func() float64) {
	register(m, name, func() expvar.Func { return func() any { return read() } })
}

// Counters returns the labeled counter with this name, limited to limit labels.
func (m *Metrics) Counters(name string, limit int) *Counters {
	return register(m, name, func() *Counters {
		return &Counters{limit: limit, byLabel: map[string]int64{}}
	})
}

// Histogram returns the histogram of durations with this name.
func (m *Metrics) Histogram(name string) *Histogram {
	return register(m, name, func() *Histogram {
		return &Histogram{hdr: hdrhistogram.New(minMicroseconds, maxMicroseconds, histogramDigits)}
	})
}

// ServeHTTP writes all metrics, including those of package expvar, as one JSON
// object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	all := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	m.mu.Lock()
	vars := make(map[string]expvar.Var, len(m.vars))
	for name, v := range m.vars {
		vars[name] = v
	}
	m.mu.Unlock()
	for name, v := range vars {
		all[name] = json.RawMessage(v.String())
	}
	writeJSON(w, http.StatusOK, all)
}

// Counters is a counter per label. New labels beyond the limit are counted under
// the label "other".
type Counters struct {
	limit   int
	mu      sync.Mutex
	byLabel map[string]int64
}

// Add adds to the counter of a label.
func (c *Counters) Add(label string, delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byLabel[label]; !ok && len(c.byLabel) >= c.limit {
		label = otherLabel
	}
	c.byLabel[label] += delta
}

// Set sets the value of a label, for a labeled gauge. It has no effect on a new label beyond the
// limit.
func (c *Counters) Set(label string, value int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byLabel[label]; ok || len(c.byLabel) < c.limit {
		c.byLabel[label] = value
	}
}

// Remove removes a label.
func (c *Counters) Remove(label string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byLabel, label)
}

// String implements expvar.Var.
func (c *Counters) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return marshal(c.byLabel)
}

// Histogram records durations from 1 µs to 1 h. Durations outside this range are
// recorded as the nearest limit.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	h.mu.Lock()
	// RecordValue fails only for values out of range, which v is not.
	_ = h.hdr.RecordValue(v)
	h.mu.Unlock()
}

// String implements expvar.Var. All values except the count are in seconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := func(microseconds int64) float64 {
		return (time.Duration(microseconds) * time.Microsecond).Seconds()
	}
	return marshal(map[string]any{
		"count": h.hdr.TotalCount(),
		"mean":  h.hdr.Mean() * time.Microsecond.Seconds(),
		"p50":   seconds(h.hdr.ValueAtQuantile(50)),
		"p90":   seconds(h.hdr.ValueAtQuantile(90)),
		"p99":   seconds(h.hdr.ValueAtQuantile(99)),
		"p99.9": seconds(h.hdr.ValueAtQuantile(99.9)),
		"max":   seconds(h.hdr.Max()),
	})
}

func marshal(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return "null"
	}
	return string(text)
}
