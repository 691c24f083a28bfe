// Package capacity measures how the costs of the parts of the system grow with
// their size, and derives the cost of each role at the design scale.
//
// Everything runs in one process over loopback connections. Bytes are counted at
// the connections. Processor time is that of the process, attributed to roles by
// the labels of a CPU profile. Memory is what is in use after a garbage
// collection.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Options configures Run.
type Options struct {
	// JSON writes the report as JSON instead of text.
	JSON bool
	// Quick measures three small sizes for a short time. The results only show
	// that the measurements complete.
	Quick bool
}

// Report holds the results of one run.
type Report struct {
	Started time.Time
	Seconds float64
	Quick   bool
	Machine Machine
	// IdleCores is the processor use of the process while it is idle, in cores.
	IdleCores float64
	Slopes    []Slope
	// Missing lists what was not measured, with the reason.
	Missing []string
	Scale   Scale
	Lines   []Line
}

// notMeasured lists what no run measures.
var notMeasured = []string{
	"TLS towards callers and between daemons",
	"the HTTP streams of engines at an agent: the engine is a Go value in the same process",
	"regions and failure domains: all connections are loopback, without delay or loss",
	"control members on hosts and disks of their own: the members of a group share this machine",
	"memory of links at an entry, and of a control member's log",
}

// bench holds the state of one run.
type bench struct {
	ctx       context.Context
	quick     bool
	report    *Report
	idleCores float64
}

// Run measures all slopes and writes the report to w. If a measurement fails, the
// report still holds the others, and Run returns the error.
func Run(ctx context.Context, w io.Writer, o Options) error {
	b := &bench{ctx: ctx, quick: o.Quick, report: &Report{
		Started: time.Now().UTC().Truncate(time.Second), Quick: o.Quick, Machine: readMachine(),
		Missing: slices.Clone(notMeasured), Scale: DesignScale(),
	}}
	if err := b.measureIdle(); err != nil {
		return err
	}
	// A failed measurement does not suppress the report of the others.
	var failures []string
	for _, m := range measurements {
		if err := m.measure(b); err != nil {
			failures = append(failures, fmt.Sprintf("measure %s: %v", m.name, err))
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	r := b.report
	r.Missing = append(r.Missing, failures...)
	r.Seconds = time.Since(r.Started).Seconds()
	r.Lines = Derive(r.Scale, r.Slopes)
	if err := r.write(w, o.JSON); err != nil {
		return err
	}
	if len(failures) > 0 {
		return errors.New(strings.Join(failures, "; "))
	}
	return nil
}

func (r *Report) write(w io.Writer, asJSON bool) error {
	if !asJSON {
		return r.writeText(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// measurement is a set of slopes that are measured together.
type measurement struct {
	name    string
	measure func(*bench) error
}

var measurements = []measurement{
	{"heartbeats", measureHeartbeats},
	{"membership changes", measureChanges},
	{"configuration", measureConfiguration},
	{"changes in force", measureInForce},
	{"call ledger", measureLedger},
	{"replicated log", measureLog},
	{"tokens", measureTokens},
	{"requests", measureRequests},
	{"open streams", measureStreams},
	{"links", measureLinks},
	{"burn report", measureBurn},
}

// addSlope fits a line to the points and adds it to the report.
func (b *bench) addSlope(name, size, unit string, points []Point) {
	b.report.Slopes = append(b.report.Slopes, NewSlope(name, size, unit, points))
}

// sizes returns full, or quick in a quick run.
func (b *bench) sizes(full, quick []int) []int {
	if b.quick {
		return quick
	}
	return full
}

// duration returns full, or at most 200 ms in a quick run.
func (b *bench) duration(full time.Duration) time.Duration {
	if b.quick {
		return min(full, 200*time.Millisecond)
	}
	return full
}

func (r *Report) writeText(w io.Writer) error {
	m := r.Machine
	fmt.Fprintf(w, "capacity slopes, %s, %.0f s, quick: %t\n", r.Started.Format(time.RFC3339), r.Seconds, r.Quick)
	fmt.Fprintf(w, "machine: %s, %d processors, GOMAXPROCS %d, %.1f GB memory, %s, %s, load average %s, idle phase %s cores\n\n",
		m.Processor, m.Processors, m.GOMAXPROCS, float64(m.MemoryBytes)/1e9, m.Kernel, m.Go, m.LoadAverage,
		formatNumber(r.IdleCores))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tsize: value ...\tfit\tspread\tunit")
	for _, s := range r.Slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t±%s\t%s\n", s.Name, s.formatPoints(), s.formatFit(), formatNumber(s.Spread),
			s.Unit)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	for _, reason := range r.Missing {
		fmt.Fprintf(w, "not measured: %s\n", reason)
	}
	fmt.Fprintf(w, "\nat the design scale\n")
	for _, l := range r.Lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t= %s %s\t%s\n", l.Role, l.Item, l.Formula, formatNumber(l.Value), l.Unit,
			l.verdict())
	}
	return errors.Wrap(table.Flush(), "write report")
}
