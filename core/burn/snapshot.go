package burn

import (
	"encoding/json"
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"github.com/pkg/errors"
)

// Format is the version of the snapshot layout. Only equal formats merge.
const Format = 1

// Limits for a snapshot that comes from another process.
const (
	// MaxSnapshotBytes limits the encoded form.
	MaxSnapshotBytes = 64 << 20
	// maxCount keeps sums over many snapshots within an int64.
	maxCount = 1 << 48
	// maxSlots limits the slots of a window. It exceeds the slots of one recorder,
	// because merged snapshots may be from different times.
	maxSlots = 100
)

// Snapshot holds the counts of one or more recorders.
type Snapshot struct {
	Format int       `json:"format"`
	At     time.Time `json:"at"`
	// RecordingSince is the start of the most recently started recorder. Windows that
	// start earlier are incomplete.
	RecordingSince time.Time `json:"recording_since"`
	// Sources are the names of the daemons that the counts come from.
	Sources    []string `json:"sources"`
	Objectives []Series `json:"objectives"`
}

// Series holds the counts of one objective.
type Series struct {
	Objective contract.Objective `json:"objective"`
	// Windows has the same windows in all snapshots, shortest first.
	Windows []Window `json:"windows"`
}

// Window holds the counts over one sliding window.
type Window struct {
	Window    time.Duration `json:"window_ns"`
	Slots     []SlotCount   `json:"slots"`
	Histogram Histogram     `json:"histogram,omitempty"`
	Causes    []Cause       `json:"causes,omitempty"`
}

// SlotCount counts the events of a time interval. Starts are multiples of the
// width, so that slots of different daemons match.
type SlotCount struct {
	Start time.Time     `json:"start"`
	Width time.Duration `json:"width_ns"`
	Good  int64         `json:"good"`
	Total int64         `json:"total"`
}

// Snapshot returns all counts. The source is the name of the daemon.
func (r *Recorder) Snapshot(now time.Time, source string) Snapshot {
	r.advance(now)
	// After the host's clock was set back, the recorder's clock is ahead of those of
	// other daemons. The shift makes the slots match again.
	shift := r.lastTime.Sub(r.clock)
	s := Snapshot{
		Format: Format, At: r.lastTime.UTC(), RecordingSince: r.startedAt.Add(shift).UTC(), Sources: []string{source},
	}
	for _, series := range r.series {
		s.Objectives = append(s.Objectives, series.snapshot(r.clock, shift))
	}
	s.sort()
	return s
}

// Merge returns the sum of snapshots. Objectives with the same name but different
// definitions, which occur while a change is being distributed, stay separate.
func Merge(snapshots ...Snapshot) (Snapshot, error) {
	out := Snapshot{Format: Format}
	byObjective := map[contract.Objective]int{}
	for _, s := range snapshots {
		if s.Format != Format {
			return Snapshot{}, errors.Errorf("merge burn snapshots: format %d of %v, want %d", s.Format, s.Sources, Format)
		}
		if s.At.After(out.At) {
			out.At = s.At
		}
		if s.RecordingSince.After(out.RecordingSince) {
			out.RecordingSince = s.RecordingSince
		}
		out.Sources = append(out.Sources, s.Sources...)
		for _, series := range s.Objectives {
			i, ok := byObjective[series.Objective]
			if !ok {
				byObjective[series.Objective] = len(out.Objectives)
				out.Objectives = append(out.Objectives, series)
				continue
			}
			out.Objectives[i] = mergeSeries(out.Objectives[i], series)
		}
	}
	out.sort()
	return out, nil
}

func mergeSeries(a, b Series) Series {
	out := Series{Objective: a.Objective}
	for i := range a.Windows {
		x, y := a.Windows[i], b.Windows[i]
		out.Windows = append(out.Windows, Window{
			Window:    x.Window,
			Slots:     mergeSlots(x.Slots, y.Slots),
			Histogram: x.Histogram.Merge(y.Histogram),
			Causes:    mergeCauses(x.Causes, y.Causes),
		})
	}
	return out
}

func mergeSlots(a, b []SlotCount) []SlotCount {
	sum := append([]SlotCount(nil), a...)
	for _, s := range b {
		i := sort.Search(len(sum), func(i int) bool { return !sum[i].Start.Before(s.Start) })
		if i < len(sum) && sum[i].Start.Equal(s.Start) {
			sum[i].Good += s.Good
			sum[i].Total += s.Total
			continue
		}
		sum = append(sum[:i], append([]SlotCount{s}, sum[i:]...)...)
	}
	return sum
}

// mergeCauses returns the sum of two lists of causes, the most frequent first.
func mergeCauses(a, b []Cause) []Cause {
	sum := append([]Cause(nil), a...)
next:
	for _, c := range b {
		for i := range sum {
			if sum[i].sameAs(c) {
				sum[i].Bad += c.Bad
				continue next
			}
		}
		sum = append(sum, c)
	}
	sort.Slice(sum, func(i, j int) bool {
		x, y := sum[i], sum[j]
		if x.Bad != y.Bad {
			return x.Bad > y.Bad
		}
		if x.Reason != y.Reason {
			return x.Reason < y.Reason
		}
		return x.BackendServer < y.BackendServer
	})
	return sum
}

func (s *Snapshot) sort() {
	sort.Strings(s.Sources)
	sort.SliceStable(s.Objectives, func(i, j int) bool {
		a, b := s.Objectives[i].Objective, s.Objectives[j].Objective
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Name < b.Name
	})
}

// ParseSnapshot decodes and validates a snapshot in JSON.
func ParseSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if len(data) > MaxSnapshotBytes {
		return s, errors.Errorf("parse burn snapshot: %d bytes exceed the limit of %d", len(data), MaxSnapshotBytes)
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.Wrap(err, "parse burn snapshot")
	}
	if s.Format != Format {
		return s, errors.Errorf("parse burn snapshot: format %d, want %d", s.Format, Format)
	}
	for _, series := range s.Objectives {
		if err := series.validate(); err != nil {
			return s, errors.Wrapf(err, "parse burn snapshot: objective %q", series.Objective.Name)
		}
	}
	return s, nil
}

func (s Series) validate() error {
	if !(s.Objective.Target >= 0 && s.Objective.Target < 1) {
		return errors.Errorf("target %g is not in [0, 1)", s.Objective.Target)
	}
	if len(s.Windows) != len(windowLayout) {
		return errors.Errorf("%d windows, want %d", len(s.Windows), len(windowLayout))
	}
	for i, w := range s.Windows {
		layout := windowLayout[i]
		if w.Window != layout.window || len(w.Slots) > maxSlots || !w.Histogram.valid() {
			return errors.Errorf("window %v has an unexpected layout", layout.window)
		}
		for j, slot := range w.Slots {
			if slot.Good < 0 || slot.Total < slot.Good || slot.Total > maxCount ||
				slot.Width != layout.window/time.Duration(layout.slots) ||
				j > 0 && !slot.Start.After(w.Slots[j-1].Start) {
				return errors.Errorf("slot %d of window %v is not valid", j, layout.window)
			}
		}
		for _, c := range w.Causes {
			if c.Bad <= 0 || c.Bad > maxCount {
				return errors.Errorf("a cause in window %v has the invalid count %d", layout.window, c.Bad)
			}
		}
	}
	return nil
}
