// Package bodybudget counts the memory of the requests that a listener receives. When it is used up,
// intake.Choose decides whose request is refused. Time is a parameter.
package bodybudget

import (
	"maps"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/intake"
)

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
	address string
	bytes   int64
	// received is the number of bytes that arrived, the last of them at lastRead.
	received        int64
	began, lastRead time.Time
	// waiting is set while the request is not read because it waits for memory.
	waiting bool
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

// Open adds a request that holds nothing yet. The address is that of the client, without a port.
func (b *Budget) Open(now time.Time, address string) ID {
	b.lastID++
	b.requests[b.lastID] = &request{address: address, began: now, lastRead: now}
	return b.lastID
}

// Close releases the memory of a request.
func (b *Budget) Close(id ID) {
	if r, ok := b.requests[id]; ok {
		b.used -= r.bytes
		delete(b.requests, id)
	}
}

// Complete marks a request as received, so that it is not refused anymore. It returns false if it was
// refused before.
func (b *Budget) Complete(id ID) bool {
	r, ok := b.requests[id]
	if !ok || r.refused {
		return false
	}
	r.complete = true
	return true
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

// Progress records that n bytes of a request have arrived.
func (b *Budget) Progress(now time.Time, id ID, n int) {
	if r, ok := b.requests[id]; ok {
		r.received += int64(n)
		r.lastRead = now
	}
}

// EndWait records that a request is read again, or given up, after Grow returned Wait.
func (b *Budget) EndWait(now time.Time, id ID) {
	if r, ok := b.requests[id]; ok && r.waiting {
		r.waiting, r.lastRead = false, now
	}
}

// Grow asks for n more bytes for a request. If there is no room, it returns the unfinished requests
// to refuse with the outcome Wait, in the order of intake.Choose; their memory is counted until
// Close. The caller asks again when memory was released or the request itself was refused, and
// calls EndWait if it does not ask again.
func (b *Budget) Grow(now time.Time, id ID, n int64) (verdict Verdict, refused []ID) {
	r, ok := b.requests[id]
	if !ok || r.refused || r.bytes+n > b.limit {
		return Refused, nil
	}
	b.EndWait(now, id)
	if b.used+n <= b.limit {
		r.bytes += n
		b.used += n
		return Granted, nil
	}
	if need := b.used + n - b.limit - b.releasing(); need > 0 {
		refused, ok = b.choose(now, id, need)
		// A complete request is never refused. It waits for those that are being served.
		if !ok && !r.complete {
			r.refused = true
			return Refused, nil
		}
		for _, victim := range refused {
			b.requests[victim].refused = true
		}
	}
	r.waiting = true
	return Wait, refused
}

// releasing returns the memory of requests that were refused before.
func (b *Budget) releasing() int64 {
	sum := int64(0)
	for _, r := range b.requests {
		if r.refused {
			sum += r.bytes
		}
	}
	return sum
}

// choose returns the requests to refuse so that need bytes are freed, or false if there are too few.
// All unfinished requests give way to a complete one.
func (b *Budget) choose(now time.Time, id ID, need int64) ([]ID, bool) {
	asking := intake.None
	var open []ID
	var requests []intake.Request
	// Requests of equal age are told apart by their position.
	for _, other := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[other]
		if r.refused || r.complete || other != id && r.bytes == 0 {
			continue
		}
		if other == id {
			asking = len(open)
		}
		open = append(open, other)
		requests = append(requests, intake.Request{Began: r.began.Sub(now), LastRead: r.lastRead.Sub(now),
			Received: r.received, Held: r.bytes, Waiting: r.waiting, Address: r.address})
	}
	victims, ok := intake.Choose(0, need, asking, requests)
	var refused []ID
	for _, i := range victims {
		refused = append(refused, open[i])
	}
	return refused, ok
}
