package burnreport

import (
	"bytes"
	"fmt"
	"html/template"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"github.com/pkg/errors"
)

// Size of one plot in pixels. A bar of full height is a burn rate of plotMaxRate
// or more, which is the threshold of the fast alert rounded up.
const (
	plotWidth   = 240
	plotHeight  = 60
	plotMaxRate = 16.0
)

// pageTemplate is the HTML report. It refers to no scripts, fonts, images or other
// pages, so that it opens from a file without a network.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": formatTime, "span": formatWindow, "percent": formatPercent, "label": severityLabel,
	"describe": describeObjective, "cause": describeCause, "quantile": formatQuantile,
	"incomplete": incompleteNote, "plot": renderPlot, "join": strings.Join, "last": lastWindow,
	"percentiles": func() []float64 { return burn.Percentiles },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Burn report {{clock .At}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 70em; padding: 0 1em; color: #1d1d1f; background: #fff; }
h2 { margin: 2em 0 0; font-size: 1.15em; }
table { border-collapse: collapse; margin: .5em 0; }
th, td { padding: .15em .8em .15em 0; text-align: right; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
th { font-weight: 600; border-bottom: 1px solid #999; }
.severity { font-size: .8em; padding: .1em .5em; border: 1px solid #767676; border-radius: .3em; }
.page { background: #b00020; border-color: #b00020; color: #fff; }
.ticket { background: #ffd54f; border-color: #8a6d00; }
svg { display: block; background: #f4f4f6; }
figure { display: inline-block; margin: .5em 1em .5em 0; }
figcaption { font-size: .85em; color: #444; }
</style>
</head>
<body>
<h1>Burn report</h1>
<p>{{clock .At}}, from {{join .Sources ", "}}. {{incomplete .}}</p>
{{if not .Objectives}}<p>No objectives are declared.</p>{{end}}
{{range $s := .Objectives}}
<section>
<h2><span class="severity {{$s.Severity}}">{{label $s.Severity}}</span> {{$s.Objective.Name}}</h2>
<p>{{describe $s.Objective}}. Error budget left over {{span (last $s).Window}}: <strong>{{percent $s.BudgetLeft}}</strong></p>
{{range $s.Alerts}}<p>Burns since {{clock .Since}} ({{.Rule}}: at least {{.Rate}} times the allowed rate).</p>{{end}}
{{range $s.Windows}}<figure>{{plot .}}<figcaption>burn rate over {{span .Window}}</figcaption></figure>
{{end}}
<table>
<tr><th>window</th><th>good</th><th>total</th><th>burn rate</th>{{range percentiles}}<th>{{if eq . 100.0}}max{{else}}p{{.}}{{end}}</th>{{end}}</tr>
{{range $w := $s.Windows}}<tr><td>{{span .Window}}</td><td>{{.Good}}</td><td>{{.Total}}</td><td>{{printf "%.2f" .BurnRate}}</td>{{range $i, $p := percentiles}}<td>{{quantile $w $i}}</td>{{end}}</tr>
{{end}}</table>
{{if $s.Causes}}<table>
<tr><th>cause</th><th>bad</th></tr>
{{range $s.Causes}}<tr><td>{{cause .}}</td><td>{{.Bad}}</td></tr>
{{end}}</table>{{end}}
</section>
{{end}}
<p>A burn rate of 1 spends the whole error budget over the window. In the plots, the dashed line is the rate 1, the
full height is a rate of 16 or more, and gaps are times without events.</p>
</body>
</html>
`))

func renderHTML(r burn.Report) ([]byte, error) {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, r); err != nil {
		return nil, errors.Wrap(err, "render burn page")
	}
	return b.Bytes(), nil
}

// renderPlot renders an SVG bar chart of the burn rate with one bar per slot. Its
// markup needs no escaping, because only numbers and times are inserted.
func renderPlot(w burn.WindowStatus) template.HTML {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg width="%d" height="%d" viewBox="0 0 %d %d" role="img"><title>burn rate over %s: %.2f</title>`,
		plotWidth, plotHeight, plotWidth, plotHeight, formatWindow(w.Window), w.BurnRate)
	if len(w.Slots) > 0 {
		// The newest slot ends at the right edge of the plot.
		last := w.Slots[len(w.Slots)-1]
		windowStart := last.Start.Add(last.Width - w.Window)
		for _, slot := range w.Slots {
			writeBar(&b, w, slot, windowStart)
		}
	}
	thresholdY := plotHeight - plotHeight/plotMaxRate
	fmt.Fprintf(&b, `<line x1="0" x2="%d" y1="%.2f" y2="%.2f" stroke="#444" stroke-dasharray="4 3"/></svg>`,
		plotWidth, thresholdY, thresholdY)
	return template.HTML(b.String())
}

// writeBar writes the bar of one slot, unless the slot has no events or starts
// before the window.
func writeBar(b *strings.Builder, w burn.WindowStatus, slot burn.SlotCount, windowStart time.Time) {
	if slot.Total == 0 || slot.Start.Before(windowStart) {
		return
	}
	rate := w.SlotBurnRate(slot)
	scale := plotWidth / w.Window.Seconds()
	// A slot without bad events gets a bar one pixel high, to differ from a gap.
	height := max(min(rate/plotMaxRate, 1)*plotHeight, 1)
	fill := "#2e7d32"
	if rate >= 1 {
		fill = "#b00020"
	}
	fmt.Fprintf(b, `<rect x="%.2f" y="%.2f" width="%.2f" height="%.2f" fill="%s"><title>%s: %.2f (%d of %d bad)</title></rect>`,
		slot.Start.Sub(windowStart).Seconds()*scale, plotHeight-height, slot.Width.Seconds()*scale-1, height, fill,
		formatTime(slot.Start), rate, slot.Total-slot.Good, slot.Total)
}
