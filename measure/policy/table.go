package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"text/tabwriter"
)

// Row is one row of the table: the mean of each metric over the seeds and the
// standard deviation between them.
type Row struct {
	Site   string  `json:"site"`
	Shape  string  `json:"shape"`
	Load   float64 `json:"load"`
	Policy string  `json:"policy"`
	Mean   Metrics `json:"mean"`
	StdDev Metrics `json:"spread"`
}

// newRow returns the row of a job with the statistics of all seeds' results.
func newRow(j job, results []Metrics) Row {
	row := Row{Site: j.site.name, Shape: j.shape, Load: j.load, Policy: j.policy}
	mean, stdDev := reflect.ValueOf(&row.Mean).Elem(), reflect.ValueOf(&row.StdDev).Elem()
	n := float64(len(results))
	for i := 0; i < mean.NumField(); i++ {
		var sum, squares float64
		for _, f := range results {
			x := reflect.ValueOf(f).Field(i).Float()
			sum += x
			squares += x * x
		}
		m := sum / n
		mean.Field(i).SetFloat(m)
		if n > 1 {
			stdDev.Field(i).SetFloat(math.Sqrt(max(0, (squares-n*m*m)/(n-1))))
		}
	}
	return row
}

func writeJSON(w io.Writer, o Options, rows []Row) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		Seeds     int     `json:"seeds"`
		FirstSeed int64   `json:"first_seed"`
		Horizon   float64 `json:"horizon_seconds"`
		Rows      []Row   `json:"rows"`
	}{o.Seeds, o.FirstSeed, o.Horizon.Seconds(), rows})
}

// column describes one column of the table: value times scale, with digits
// decimals.
type column struct {
	title  string
	scale  float64
	digits int
	value  func(*Metrics) float64
}

var columns = []column{
	{"stall s", 1, 2, func(f *Metrics) float64 { return f.StallMean }},
	{"urgent s", 1, 2, func(f *Metrics) float64 { return f.UrgentStallMean }},
	{"p99 s", 1, 1, func(f *Metrics) float64 { return f.StallP99 }},
	{"preempt/100", 1, 2, func(f *Metrics) float64 { return f.Preemptions }},
	{"most", 1, 1, func(f *Metrics) float64 { return f.MaxPreemptions }},
	{"tbt50 ms", 1e3, 0, func(f *Metrics) float64 { return f.TimeBetweenTokensP50 }},
	{"tbt95", 1e3, 0, func(f *Metrics) float64 { return f.TimeBetweenTokensP95 }},
	{"tbt99", 1e3, 0, func(f *Metrics) float64 { return f.TimeBetweenTokensP99 }},
	{"tbt99.9", 1e3, 0, func(f *Metrics) float64 { return f.TimeBetweenTokensP999 }},
	{"ttft50 s", 1, 2, func(f *Metrics) float64 { return f.TimeToFirstTokenP50 }},
	{"ttft95 s", 1, 2, func(f *Metrics) float64 { return f.TimeToFirstTokenP95 }},
	{"goodput/s", 1, 0, func(f *Metrics) float64 { return f.Goodput }},
	{"refused %", 1, 1, func(f *Metrics) float64 { return f.Refused }},
	{"urgent %", 1, 1, func(f *Metrics) float64 { return f.UrgentRefused }},
	{"failed %", 1, 1, func(f *Metrics) float64 { return f.Failed }},
	{"jain", 1, 3, func(f *Metrics) float64 { return f.Jain }},
}

func writeTable(w io.Writer, o Options, rows []Row) error {
	fmt.Fprintf(w, "%d seeds from %d, %v of arrivals per run; mean±standard deviation between seeds\n",
		o.Seeds, o.FirstSeed, o.Horizon)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "site\tshape\tload\tpolicy\t")
	for _, c := range columns {
		fmt.Fprintf(t, "%s\t", c.title)
	}
	fmt.Fprintln(t)
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(t, "%s\t%s\t%.0f%%\t%s\t", r.Site, r.Shape, r.Load*100, r.Policy)
		for _, c := range columns {
			fmt.Fprintf(t, "%.*f±%.*f\t", c.digits, c.value(&r.Mean)*c.scale, c.digits, c.value(&r.StdDev)*c.scale)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
