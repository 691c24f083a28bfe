// Package burnreport renders the reports of core/burn as text, JSON and HTML, and
// serves them to operators.
package burnreport

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"github.com/pkg/errors"
)

// Format is an output format of the report.
type Format string

// Output formats of the report. A snapshot contains the raw counts, so that
// snapshots of several daemons can be merged.
const (
	FormatSnapshot Format = "snapshot"
	FormatJSON     Format = "json"
	FormatText     Format = "text"
	FormatHTML     Format = "html"
)

func (f Format) contentType() string {
	switch f {
	case FormatText:
		return "text/plain; charset=utf-8"
	case FormatHTML:
		return "text/html; charset=utf-8"
	}
	return "application/json"
}

// preferredFormat returns the format for an Accept header.
func preferredFormat(accept string) Format {
	if strings.Contains(accept, "text/html") {
		return FormatHTML
	}
	return FormatText
}

// Render evaluates a snapshot and renders the report in the given format.
func Render(s burn.Snapshot, format Format) ([]byte, error) {
	switch format {
	case FormatSnapshot:
		body, err := json.Marshal(s)
		return body, errors.Wrap(err, "render burn snapshot")
	case FormatJSON:
		body, err := json.MarshalIndent(newJSONReport(burn.Evaluate(s)), "", "  ")
		return append(body, '\n'), errors.Wrap(err, "render burn report")
	case FormatText:
		return renderText(burn.Evaluate(s)), nil
	case FormatHTML:
		return renderHTML(burn.Evaluate(s))
	}
	return nil, errors.Errorf("format %q is not one of snapshot, json, text, html", format)
}

func renderText(r burn.Report) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "Burn report at %s from %s\n", formatTime(r.At), strings.Join(r.Sources, ", "))
	if note := incompleteNote(r); note != "" {
		fmt.Fprintln(&b, note)
	}
	if len(r.Objectives) == 0 {
		fmt.Fprintln(&b, "No objectives are declared.")
	}
	for _, s := range r.Objectives {
		fmt.Fprintf(&b, "\n%-6s  %s: %s\n",
			severityLabel(s.Severity()), s.Objective.Name, describeObjective(s.Objective))
		for _, a := range s.Alerts {
			fmt.Fprintf(&b, "  burns since %s (%s: at least %g times the allowed rate)\n",
				formatTime(a.Since), a.Rule, a.Rate)
		}
		fmt.Fprintf(&b, "  error budget left over %s: %s\n",
			formatWindow(lastWindow(s).Window), formatPercent(s.BudgetLeft))
		table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  window\tgood\ttotal\tburn rate\tp50\tp95\tp99\tp99.9\tmax")
		for _, w := range s.Windows {
			fmt.Fprintf(table, "  %s\t%d\t%d\t%.2f", formatWindow(w.Window), w.Good, w.Total, w.BurnRate)
			for i := range burn.Percentiles {
				fmt.Fprintf(table, "\t%s", formatQuantile(w, i))
			}
			fmt.Fprintln(table)
		}
		// Writes to a bytes.Buffer do not fail.
		_ = table.Flush()
		for _, c := range s.Causes {
			fmt.Fprintf(&b, "  %d bad: %s\n", c.Bad, describeCause(c))
		}
	}
	return b.Bytes()
}

// incompleteNote returns a warning if a window reaches back beyond the start of
// the records, and "" otherwise.
func incompleteNote(r burn.Report) string {
	recorded := r.At.Sub(r.RecordingSince)
	if len(r.Objectives) == 0 || recorded >= lastWindow(r.Objectives[0]).Window {
		return ""
	}
	return fmt.Sprintf("Records of all sources begin at %s, so longer windows than %s are incomplete.",
		formatTime(r.RecordingSince), recorded.Round(time.Second))
}

func lastWindow(s burn.Status) burn.WindowStatus { return s.Windows[len(s.Windows)-1] }

func severityLabel(s burn.Severity) string {
	if s == burn.SeverityNone {
		return "OK"
	}
	return strings.ToUpper(string(s))
}

// describeObjective describes an objective in one phrase.
func describeObjective(o contract.Objective) string {
	condition := map[contract.ObjectiveKind]string{
		contract.ObjectiveStall:         "stall time at most " + o.Bound.String(),
		contract.ObjectiveBetweenTokens: "time between tokens at most " + o.Bound.String(),
		contract.ObjectiveFirstToken:    "time to first token at most " + o.Bound.String(),
		contract.ObjectiveWhole:         "complete responses",
		contract.ObjectivePreemptions:   "at most " + strconv.Itoa(o.MaxCount) + " preemptions",
	}[o.Kind]
	teams := "all teams"
	if o.TeamClass != "" {
		teams = "team class " + o.TeamClass
	}
	return fmt.Sprintf("%s, %s, %s for %s", o.Service, teams, condition, formatPercent(o.Target))
}

// describeCause names the reason of bad events and the backend server, if known.
func describeCause(c burn.Cause) string {
	reason := string(c.Reason)
	if reason == "" {
		reason = "over the bound"
	}
	if c.BackendServer != "" {
		reason += " at " + c.BackendServer
	}
	return reason
}

// formatQuantile formats quantile i of a window. It returns "-" if the window has
// no quantiles.
func formatQuantile(w burn.WindowStatus, i int) string {
	if len(w.Quantiles) == 0 {
		return "-"
	}
	d := w.Quantiles[i]
	if d >= time.Millisecond {
		return d.Round(100 * time.Microsecond).String()
	}
	return d.String()
}

func formatPercent(ratio float64) string {
	return strconv.FormatFloat(100*ratio, 'g', 5, 64) + " %"
}

func formatWindow(d time.Duration) string {
	switch {
	case d%(24*time.Hour) == 0:
		return strconv.Itoa(int(d/(24*time.Hour))) + " d"
	case d%time.Hour == 0:
		return strconv.Itoa(int(d/time.Hour)) + " h"
	}
	return strconv.Itoa(int(d/time.Minute)) + " min"
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }
