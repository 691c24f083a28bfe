package burn

import (
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// series holds the counts of one objective. Events are counted in the current slot,
// which is added to the slots of all windows when it ends or when a snapshot is
// taken. An event thus takes one histogram update, and only one full histogram, of
// 27 KB, is needed.
type series struct {
	objective contract.Objective
	current   slot
	histogram *hdrhistogram.Histogram
	rings     []*slotRing
}

func newSeries() *series {
	s := &series{}
	for _, layout := range windowLayout {
		s.rings = append(s.rings, &slotRing{
			window: layout.window,
			width:  layout.window / time.Duration(layout.slots),
			slots:  make([]slot, layout.slots),
		})
	}
	return s
}

func (s *series) record(clock time.Time, e Event, times int64) {
	// The widths of all slots are multiples of the shortest width.
	if index := s.rings[0].index(clock.UnixNano()); index != s.current.index {
		s.flush()
		s.current.index = index
	}
	s.current.total += times
	if isGood(s.objective, e) {
		s.current.good += times
	} else {
		s.current.addCause(Cause{Reason: e.Reason, BackendServer: e.BackendServer, Bad: times})
	}
	// A failed event has no meaningful duration.
	if !measuresDuration(s.objective.Kind) || e.Failed {
		return
	}
	if s.histogram == nil {
		s.histogram = newHDR()
	}
	// RecordValues fails only for values out of range, and this value is clamped.
	_ = s.histogram.RecordValues(min(max(e.Duration.Microseconds(), minMicroseconds), maxMicroseconds), times)
}

// flush moves the counts of the current slot to the rings.
func (s *series) flush() {
	if s.current.total == 0 {
		return
	}
	if s.histogram != nil && s.histogram.TotalCount() > 0 {
		s.current.durations = toSparse(s.histogram)
		s.histogram.Reset()
	}
	nanos := s.current.index * int64(s.rings[0].width)
	for _, ring := range s.rings {
		ring.add(ring.index(nanos), &s.current)
	}
	s.current = slot{index: s.current.index, causes: s.current.causes[:0]}
}

func (s *series) snapshot(clock time.Time, shift time.Duration) Series {
	s.flush()
	out := Series{Objective: s.objective}
	for _, ring := range s.rings {
		out.Windows = append(out.Windows, ring.snapshot(clock, shift))
	}
	return out
}

// slot counts the events of one time interval.
type slot struct {
	index       int64
	good, total int64
	causes      []Cause
	durations   Histogram
}

// slotRing is a ring buffer of the newest slots of one window.
type slotRing struct {
	window time.Duration
	width  time.Duration
	slots  []slot
}

func (r *slotRing) index(nanos int64) int64 { return nanos / int64(r.width) }

func (r *slotRing) slotAt(index int64) *slot {
	n := int64(len(r.slots))
	return &r.slots[(index%n+n)%n]
}

func (r *slotRing) add(index int64, other *slot) {
	s := r.slotAt(index)
	if s.index != index {
		*s = slot{index: index, causes: s.causes[:0]}
	}
	s.good += other.good
	s.total += other.total
	s.durations = s.durations.Merge(other.durations)
	for _, c := range other.causes {
		s.addCause(c)
	}
}

// snapshot returns the slots within the window, oldest first. The shift is the
// difference between the time of day and the recorder's clock.
func (r *slotRing) snapshot(clock time.Time, shift time.Duration) Window {
	newest := r.index(clock.UnixNano())
	// A shift by whole slots keeps the starts at multiples of the width.
	shift = shift.Round(r.width)
	w := Window{Window: r.window}
	for index := newest - int64(len(r.slots)) + 1; index <= newest; index++ {
		s := r.slotAt(index)
		if s.index != index || s.total == 0 {
			continue
		}
		w.Slots = append(w.Slots, SlotCount{
			Start: time.Unix(0, index*int64(r.width)).Add(shift).UTC(), Width: r.width, Good: s.good, Total: s.total,
		})
		w.Histogram = w.Histogram.Merge(s.durations)
		w.Causes = mergeCauses(w.Causes, s.causes)
	}
	return w
}

// addCause counts a cause. If the slot holds MaxCauses others, the rarest one is
// replaced and its count is added to OtherReason, so that a frequent cause is kept
// whenever it starts, and the sum stays exact.
func (s *slot) addCause(c Cause) {
	rarest := -1
	for i := range s.causes {
		if s.causes[i].sameAs(c) {
			s.causes[i].Bad += c.Bad
			return
		}
		if s.causes[i].Reason != OtherReason && (rarest < 0 || s.causes[i].Bad < s.causes[rarest].Bad) {
			rarest = i
		}
	}
	if len(s.causes) < MaxCauses {
		s.causes = append(s.causes, c)
		return
	}
	evicted := c
	if c.Reason != OtherReason {
		evicted = s.causes[rarest]
		s.causes[rarest] = c
	}
	for i := range s.causes {
		if s.causes[i].Reason == OtherReason {
			s.causes[i].Bad += evicted.Bad
			return
		}
	}
	s.causes = append(s.causes, Cause{Reason: OtherReason, Bad: evicted.Bad})
}

// OtherReason is the reason for causes that were too rare to be kept.
const OtherReason verdict.Reason = "other"

// Cause counts the bad events with one reason at one backend server.
type Cause struct {
	Reason        verdict.Reason `json:"reason"`
	BackendServer string         `json:"backend_server"`
	Bad           int64          `json:"bad"`
}

func (c Cause) sameAs(other Cause) bool {
	return c.Reason == other.Reason && c.BackendServer == other.BackendServer
}
