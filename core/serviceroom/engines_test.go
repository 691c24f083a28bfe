package serviceroom

import (
	"slices"
	"time"
)

// grow adds the tokens of a generation to its engine, a hundred at a time.
func (s *simulation) grow(r *simRequest, tokens int) {
	step := min(100, r.output-tokens)
	s.after(time.Duration(step)*longTokenTime, func() {
		if r.ended {
			return
		}
		if tokens += step; tokens >= r.output {
			s.end(r)
			return
		}
		if r.engine != nil {
			r.held += step
			r.engine.used += step
		}
		s.grow(r, tokens)
	})
}

func (s *simulation) end(r *simRequest) {
	if r.ended {
		return
	}
	r.ended = true
	s.release(r)
	delete(r.entry.requests, r.id)
	r.entry.account.End(s.now, r.id)
}

// place puts a generation on the usable engine that holds least, if it has room.
func (s *simulation) place(r *simRequest) {
	need := r.held
	if need == 0 {
		need = longPrompt
		if r.short {
			need = shortNeed
		}
	}
	var best *simEngine
	for _, e := range s.engines {
		if e.usable && e.used+need <= simMemory && (best == nil || e.used < best.used) {
			best = e
		}
	}
	if r.engine = best; best != nil {
		r.held = need
		best.used += need
		best.running[r] = true
	}
}

func (s *simulation) release(r *simRequest) {
	if r.engine != nil {
		r.engine.used -= r.held
		delete(r.engine.running, r)
		r.engine = nil
	}
}

// leave makes engines unusable and moves what runs there over the time of the notice.
func (s *simulation) leave(engines []*simEngine, notice time.Duration) {
	for _, e := range engines {
		e.usable, e.leaving = false, true
		requests := make([]*simRequest, 0, len(e.running))
		for r := range e.running {
			requests = append(requests, r)
		}
		slices.SortFunc(requests, func(x, y *simRequest) int { return int(x.arrived - y.arrived) })
		for _, r := range requests {
			s.after(time.Duration(s.rng.Int63n(int64(notice))), func() { s.move(r, e) })
		}
	}
}

// move places a long generation anew. If there is no room, it ends.
func (s *simulation) move(r *simRequest, from *simEngine) {
	if r.short || r.ended || r.engine != from {
		return
	}
	s.release(r)
	s.place(r)
	if r.engine != nil {
		s.movedAt = append(s.movedAt, s.now)
		return
	}
	s.noRoomAt = append(s.noRoomAt, s.now)
	s.end(r)
}

// join makes engines usable again.
func (s *simulation) join(engines []*simEngine) {
	for _, e := range engines {
		e.usable, e.leaving = true, false
	}
}
