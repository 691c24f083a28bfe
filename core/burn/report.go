package burn

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
)

// Severity is how soon an operator has to act.
type Severity string

// Severities of an alert. A page needs action now, a ticket within a day.
const (
	SeverityNone   Severity = ""
	SeverityTicket Severity = "ticket"
	SeverityPage   Severity = "page"
)

// rule is an alert rule, which fires when the burn rate is at least the threshold
// over both windows. The short window ends the alert soon after the cause is gone.
type rule struct {
	name        string
	severity    Severity
	long, short int
	threshold   float64
}

// rules has the usual thresholds of multi-window burn rate alerts: a rate of 14.4
// over an hour spends 2 % of a budget of 30 days, 6 over six hours 5 %, and 1 over
// three days 10 %. The windows are indexes of windowLayout.
var rules = []rule{
	{"fast", SeverityPage, 1, 0, 14.4},
	{"slow", SeverityPage, 2, 1, 6},
	{"steady", SeverityTicket, 3, 2, 1},
}

// minBadEvents is the number of bad events in the long window below which no rule
// fires, so that a single failure of a service with few requests does not page.
const minBadEvents = 5

// TopCauses is the largest number of causes in the report of an objective.
const TopCauses = 5

// Report is an evaluated snapshot. Objectives with alerts come first, the most
// severe ones at the top.
type Report struct {
	At             time.Time
	RecordingSince time.Time
	Sources        []string
	Objectives     []Status
}

// Status is the state of one objective.
type Status struct {
	Objective contract.Objective
	Windows   []WindowStatus
	// BudgetLeft is the unspent share of the error budget over the longest window. It
	// is negative if the budget is exceeded.
	BudgetLeft float64
	Alerts     []Alert
	// Causes are the most frequent causes of bad events in the long window of the
	// first alert, or in the longest window if there is none.
	Causes []Cause
}

// Alert is a firing rule.
type Alert struct {
	Rule     string
	Severity Severity
	Rate     float64
	Since    time.Time
}

// WindowStatus is the state of an objective over one window. Quantiles is empty for
// objectives that do not measure durations.
type WindowStatus struct {
	Window      time.Duration
	Good, Total int64
	// BurnRate is the ratio of the share of bad events to the allowed share.
	BurnRate  float64
	Quantiles []time.Duration
	Slots     []SlotCount

	allowed float64
}

// Percentiles are the percentiles in WindowStatus.Quantiles.
var Percentiles = []float64{50, 95, 99, 99.9, 100}

// Bad returns the number of bad events.
func (w WindowStatus) Bad() int64 { return w.Total - w.Good }

// SlotBurnRate returns the burn rate within one of the slots.
func (w WindowStatus) SlotBurnRate(s SlotCount) float64 { return burnRate(s.Good, s.Total, w.allowed) }

// Severity returns the highest severity of the alerts.
func (s Status) Severity() Severity {
	highest := SeverityNone
	for _, a := range s.Alerts {
		if a.Severity == SeverityPage || highest == SeverityNone {
			highest = a.Severity
		}
	}
	return highest
}

// Severity returns the highest severity of the objectives.
func (r Report) Severity() Severity {
	if len(r.Objectives) == 0 {
		return SeverityNone
	}
	return r.Objectives[0].Severity()
}

// Evaluate computes budgets, burn rates and alerts from a snapshot.
func Evaluate(s Snapshot) Report {
	r := Report{At: s.At, RecordingSince: s.RecordingSince, Sources: s.Sources}
	for _, series := range s.Objectives {
		r.Objectives = append(r.Objectives, evaluate(series))
	}
	rank := map[Severity]int{SeverityPage: 0, SeverityTicket: 1, SeverityNone: 2}
	sort.SliceStable(r.Objectives, func(i, j int) bool {
		return rank[r.Objectives[i].Severity()] < rank[r.Objectives[j].Severity()]
	})
	return r
}

func evaluate(series Series) Status {
	status := Status{Objective: series.Objective}
	allowed := 1 - series.Objective.Target
	for _, w := range series.Windows {
		ws := WindowStatus{
			Window: w.Window, Quantiles: w.Histogram.Quantiles(Percentiles...), Slots: w.Slots, allowed: allowed,
		}
		for _, slot := range w.Slots {
			ws.Good += slot.Good
			ws.Total += slot.Total
		}
		ws.BurnRate = burnRate(ws.Good, ws.Total, allowed)
		status.Windows = append(status.Windows, ws)
	}
	longest := len(status.Windows) - 1
	status.BudgetLeft = 1 - status.Windows[longest].BurnRate
	causeWindow := longest
	for _, r := range rules {
		long, short := status.Windows[r.long], status.Windows[r.short]
		if long.BurnRate < r.threshold || short.BurnRate < r.threshold || long.Bad() < minBadEvents {
			continue
		}
		if len(status.Alerts) == 0 {
			causeWindow = r.long
		}
		status.Alerts = append(status.Alerts, Alert{
			Rule: r.name, Severity: r.severity, Rate: r.threshold, Since: firingSince(status.Windows, r, allowed),
		})
	}
	status.Causes = series.Windows[causeWindow].Causes
	if len(status.Causes) > TopCauses {
		status.Causes = status.Causes[:TopCauses]
	}
	return status
}

func burnRate(good, total int64, allowed float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(total-good) / float64(total) / allowed
}

// firingSince returns the start of the latest uninterrupted sequence of slots at or
// above the threshold of the rule. It searches backward from the newest slot,
// through increasingly longer windows. Slots without events do not interrupt the
// sequence.
func firingSince(windows []WindowStatus, r rule, allowed float64) time.Time {
	var since time.Time
	for i := r.short; i < len(windows); i++ {
		slots := windows[i].Slots
		for j := len(slots) - 1; j >= 0; j-- {
			slot := slots[j]
			if !since.IsZero() && !slot.Start.Before(since) {
				continue
			}
			if !since.IsZero() && slot.Start.Add(slot.Width).After(since) {
				slot = partBefore(slot, since, windows[i-1].Slots)
			}
			switch firing := burnRate(slot.Good, slot.Total, allowed) >= r.threshold; {
			case firing:
				since = slot.Start
			case !since.IsZero():
				return since
			}
		}
	}
	return since
}

// partBefore returns the part of a slot before t, by subtracting the shorter slots
// from t on.
func partBefore(slot SlotCount, t time.Time, shorter []SlotCount) SlotCount {
	end := slot.Start.Add(slot.Width)
	for _, s := range shorter {
		if !s.Start.Before(t) && s.Start.Before(end) {
			slot.Good -= s.Good
			slot.Total -= s.Total
		}
	}
	return slot
}
