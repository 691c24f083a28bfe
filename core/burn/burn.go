// Package burn computes how fast services spend their error budgets.
//
// A Recorder counts good and bad events for each declared objective over sliding
// windows. Snapshots of several recorders merge without loss, because they hold
// counts and histograms. Evaluate computes rates and percentiles from a merged
// snapshot.
package burn

import (
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Event is one measurement that is compared with objectives. Kind determines the
// field that is compared: Duration for stall, between_tokens and first_token, and
// Count for preemptions.
type Event struct {
	Kind      contract.ObjectiveKind
	Service   string
	TeamClass string
	Duration  time.Duration
	Count     int
	// Failed makes the event bad, whatever was measured. An incomplete response is a
	// failed event of kind whole.
	Failed bool
	// Times is the number of equal events. Zero means one.
	Times int64
	// Reason and BackendServer are the cause of a bad event.
	Reason        verdict.Reason
	BackendServer string
}

// Limits that bound the memory of a recorder.
const (
	// MaxObjectives limits the series. A series with every slot full takes 0.5 MB
	// (see BenchmarkSeries), so all of them stay under 25 MB.
	MaxObjectives = 48
	// MaxCauses limits the causes of one slot.
	MaxCauses = 32
)

// windowLayout lists the windows and the number of slots of each. More slots make
// the start of a window more exact, but take more memory.
var windowLayout = []struct {
	window time.Duration
	slots  int
}{
	{5 * time.Minute, 20},
	{time.Hour, 12},
	{6 * time.Hour, 12},
	{72 * time.Hour, 12},
}

// reorderTolerance is how far an event may be behind the previous one because of a
// race between goroutines. A larger difference means that the clock was set back.
const reorderTolerance = time.Second

// Recorder counts events. It is not safe for concurrent use.
type Recorder struct {
	series []*series
	byKind map[seriesKey][]*series
	// clock follows the given times, but is monotonic: when the given time is set
	// back, clock stops and then continues from its last value.
	clock     time.Time
	lastTime  time.Time
	startedAt time.Time
}

type seriesKey struct {
	service string
	kind    contract.ObjectiveKind
}

// NewRecorder returns a recorder without objectives.
func NewRecorder(now time.Time) *Recorder {
	now = now.Round(0)
	return &Recorder{byKind: map[seriesKey][]*series{}, clock: now, lastTime: now, startedAt: now}
}

// SetObjectives replaces the objectives. The counts are kept for objectives in
// which nothing but the target changed. It returns the number of objectives that
// were omitted because of MaxObjectives.
func (r *Recorder) SetObjectives(objectives []contract.Objective) (omitted int) {
	old := map[contract.Objective]*series{}
	for _, s := range r.series {
		old[definition(s.objective)] = s
	}
	if len(objectives) > MaxObjectives {
		omitted = len(objectives) - MaxObjectives
		objectives = objectives[:MaxObjectives]
	}
	r.series, r.byKind = nil, map[seriesKey][]*series{}
	for _, o := range objectives {
		s, ok := old[definition(o)]
		if !ok {
			s = newSeries()
		}
		s.objective = o
		key := seriesKey{o.Service, o.Kind}
		r.series = append(r.series, s)
		r.byKind[key] = append(r.byKind[key], s)
	}
	return omitted
}

// definition returns an objective without its target, which does not determine
// whether an event is good.
func definition(o contract.Objective) contract.Objective {
	o.Target = 0
	return o
}

// Record counts an event.
func (r *Recorder) Record(now time.Time, e Event) {
	r.advance(now)
	times := max(e.Times, 1)
	for _, s := range r.byKind[seriesKey{e.Service, e.Kind}] {
		if s.objective.TeamClass == "" || s.objective.TeamClass == e.TeamClass {
			s.record(r.clock, e, times)
		}
	}
}

func (r *Recorder) advance(now time.Time) {
	// Round strips the monotonic clock reading, so that a recorder treats recorded
	// and current times alike.
	now = now.Round(0)
	elapsed := now.Sub(r.lastTime)
	if elapsed < 0 && elapsed > -reorderTolerance {
		return
	}
	r.lastTime = now
	if elapsed > 0 {
		r.clock = r.clock.Add(elapsed)
	}
}

// isGood reports whether an event meets an objective.
func isGood(o contract.Objective, e Event) bool {
	switch {
	case e.Failed:
		return false
	case measuresDuration(o.Kind):
		return e.Duration <= o.Bound
	case o.Kind == contract.ObjectivePreemptions:
		return e.Count <= o.MaxCount
	}
	return true
}

func measuresDuration(kind contract.ObjectiveKind) bool {
	return kind == contract.ObjectiveStall || kind == contract.ObjectiveBetweenTokens ||
		kind == contract.ObjectiveFirstToken
}
