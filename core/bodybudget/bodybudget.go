// Package bodybudget decides whose request is refused when the memory for the requests that a
// listener receives is used up. Time is a parameter.
package bodybudget

import "time"

// StallTime is the time without a byte after which an unfinished request is refused first. It is
// longer than a lost packet takes to be sent again a few times.
const StallTime = time.Second

// ID names a request.
type ID uint64

// Verdict is the outcome of Grow.
type Verdict int

// Outcomes of Grow.
const (
	// Granted means that the bytes are counted.
	Granted Verdict = iota
	// Wait means that other requests have been refused or are being served, whose memory is
	// released soon.
	Wait
	// Refused means that the request itself is refused.
	Refused
)

type request struct {
	id    ID
	bytes int64
	// progressed is when the last bytes arrived.
	progressed time.Time
	// complete requests are being served. They are never refused.
	complete bool
	// refused requests hold their memory until Close.
	refused bool
}

// Budget counts the memory of requests. It is not safe for concurrent use.
type Budget struct {
	limit, used int64
	lastID      ID
	requests    map[ID]*request
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, requests: map[ID]*request{}} }

// Used returns the number of bytes that are counted.
func (b *Budget) Used() int64 { return b.used }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Open adds a request that holds nothing yet.
func (b *Budget) Open(now time.Time) ID {
	b.lastID++
	b.requests[b.lastID] = &request{id: b.lastID, progressed: now}
	return b.lastID
}

// Close releases the memory of a request.
func (b *Budget) Close(id ID) {
	if r, ok := b.requests[id]; ok {
		b.used -= r.bytes
		delete(b.requests, id)
	}
}

// Complete marks a request as received.
func (b *Budget) Complete(id ID) {
	if r, ok := b.requests[id]; ok {
		r.complete = true
	}
}

// Refused reports whether a request was chosen to be refused.
func (b *Budget) Refused(id ID) bool {
	r, ok := b.requests[id]
	return ok && r.refused
}

// Shrink releases a part of the memory of a request.
func (b *Budget) Shrink(id ID, n int64) {
	if r, ok := b.requests[id]; ok {
		n = min(n, r.bytes)
		r.bytes -= n
		b.used -= n
	}
}

// Progress records that bytes of a request have arrived.
func (b *Budget) Progress(now time.Time, id ID) {
	if r, ok := b.requests[id]; ok {
		r.progressed = now
	}
}

// Grow asks for n more bytes for a request. If there is no room, it chooses an unfinished request to
// refuse: the one that made no progress for the longest time, at least StallTime, and otherwise the
// largest, with the bytes asked for. So one small request is received beside any number of large
// ones. The chosen request is returned with the outcome Wait, until enough of them were chosen; its
// memory is counted until Close.
func (b *Budget) Grow(now time.Time, id ID, n int64) (verdict Verdict, refused ID) {
	r, ok := b.requests[id]
	if !ok || r.refused || r.bytes+n > b.limit {
		return Refused, 0
	}
	if b.used+n <= b.limit {
		r.bytes += n
		b.used += n
		return Granted, 0
	}
	victim, releasing := b.choose(now, r, n)
	if b.used+n-releasing <= b.limit {
		return Wait, 0
	}
	switch {
	case victim == nil:
		// All memory is held by requests that are being served.
		return Wait, 0
	case victim == r:
		r.refused = true
		return Refused, 0
	}
	victim.refused = true
	return Wait, victim.id
}

// choose returns the request to refuse, and the bytes of those that were refused before.
func (b *Budget) choose(now time.Time, asking *request, n int64) (victim *request, releasing int64) {
	isWorse := func(r, than *request) bool {
		if than == nil {
			return true
		}
		stalled, otherStalled := now.Sub(r.progressed) >= StallTime, now.Sub(than.progressed) >= StallTime
		if stalled != otherStalled {
			return stalled
		}
		if stalled && !r.progressed.Equal(than.progressed) {
			return r.progressed.Before(than.progressed)
		}
		size, otherSize := r.bytes, than.bytes
		if r == asking {
			size += n
		}
		if than == asking {
			otherSize += n
		}
		if size != otherSize {
			return size > otherSize
		}
		return r.id > than.id
	}
	for _, r := range b.requests {
		switch {
		case r.refused:
			releasing += r.bytes
		case r.complete || r != asking && r.bytes == 0:
		case isWorse(r, victim):
			victim = r
		}
	}
	return victim, releasing
}
