package burnreport

import (
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
)

// jsonReport is the stable machine-readable format. Field names include the unit.
type jsonReport struct {
	At             time.Time       `json:"at"`
	RecordingSince time.Time       `json:"recording_since"`
	Sources        []string        `json:"sources"`
	Severity       burn.Severity   `json:"severity"`
	Objectives     []jsonObjective `json:"objectives"`
}

type jsonObjective struct {
	Name            string                 `json:"name"`
	Service         string                 `json:"service"`
	TeamClass       string                 `json:"team_class"`
	Kind            contract.ObjectiveKind `json:"kind"`
	BoundSeconds    float64                `json:"bound_seconds"`
	MaxCount        int                    `json:"max_count"`
	TargetRatio     float64                `json:"target_ratio"`
	Severity        burn.Severity          `json:"severity"`
	BudgetLeftRatio float64                `json:"budget_left_ratio"`
	Alerts          []jsonAlert            `json:"alerts"`
	Windows         []jsonWindow           `json:"windows"`
	Causes          []burn.Cause           `json:"causes"`
}

type jsonAlert struct {
	Rule     string        `json:"rule"`
	Severity burn.Severity `json:"severity"`
	BurnRate float64       `json:"threshold_burn_rate"`
	Since    time.Time     `json:"since"`
}

type jsonWindow struct {
	WindowSeconds    float64   `json:"window_seconds"`
	Good             int64     `json:"good_total"`
	Bad              int64     `json:"bad_total"`
	BurnRate         float64   `json:"burn_rate"`
	Percentiles      []float64 `json:"percentiles,omitempty"`
	QuantilesSeconds []float64 `json:"quantiles_seconds,omitempty"`
}

func newJSONReport(r burn.Report) jsonReport {
	out := jsonReport{
		At: r.At, RecordingSince: r.RecordingSince, Sources: r.Sources, Severity: r.Severity(),
		Objectives: []jsonObjective{},
	}
	for _, s := range r.Objectives {
		out.Objectives = append(out.Objectives, newJSONObjective(s))
	}
	return out
}

func newJSONObjective(s burn.Status) jsonObjective {
	o := jsonObjective{
		Name: s.Objective.Name, Service: s.Objective.Service, TeamClass: s.Objective.TeamClass,
		Kind: s.Objective.Kind, BoundSeconds: s.Objective.Bound.Seconds(), MaxCount: s.Objective.MaxCount,
		TargetRatio: s.Objective.Target, Severity: s.Severity(), BudgetLeftRatio: s.BudgetLeft,
		Alerts: []jsonAlert{}, Causes: append([]burn.Cause{}, s.Causes...),
	}
	for _, a := range s.Alerts {
		o.Alerts = append(o.Alerts, jsonAlert{a.Rule, a.Severity, a.Rate, a.Since})
	}
	for _, w := range s.Windows {
		window := jsonWindow{WindowSeconds: w.Window.Seconds(), Good: w.Good, Bad: w.Bad(), BurnRate: w.BurnRate}
		for i, q := range w.Quantiles {
			window.Percentiles = append(window.Percentiles, burn.Percentiles[i])
			window.QuantilesSeconds = append(window.QuantilesSeconds, q.Seconds())
		}
		o.Windows = append(o.Windows, window)
	}
	return o
}
