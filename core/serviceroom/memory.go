package serviceroom

import (
	"cmp"
	"time"
)

const (
	// maxRememberedPerCaller and maxRemembered bound the refused requests whose turn is kept. The
	// first is what about 8 s of a caller with half of the load of docs/design/service-room.md are.
	maxRememberedPerCaller = 256
	maxRemembered          = 4096
	// returnWindow is how long after its Retry-After a request is remembered. Retry-After is in
	// whole seconds and may be rounded up, and connections take time.
	returnWindow = 5 * time.Second
	// returnTolerance is how much earlier than told a request may come back. Its age is measured
	// by its entry and arrives later.
	returnTolerance = 100 * time.Millisecond
	// sweepInterval is how often expired records are looked for.
	sweepInterval = 500 * time.Millisecond
)

// memory keeps the first arrivals of refused requests, by caller and digest.
type memory struct {
	callers map[string]*callerMemory
	count   int
	sweptAt time.Duration
}

// callerMemory holds the records of one caller. need is the sum of their needs.
type callerMemory struct {
	records map[uint64]record
	need    int
}

// record is a refused request.
type record struct {
	first     time.Duration
	notBefore time.Duration
	need      int
	// entry and id are those of the refused demand. If they are reported again, the refusal was lost.
	entry string
	id    uint64
}

func newMemory() *memory { return &memory{callers: map[string]*callerMemory{}} }

func (m *memory) get(caller string, digest uint64) (record, bool) {
	c := m.callers[caller]
	if c == nil {
		return record{}, false
	}
	r, known := c.records[digest]
	return r, known
}

func (m *memory) put(caller string, digest uint64, r record) {
	m.remove(caller, digest)
	c := m.callers[caller]
	if c == nil {
		c = &callerMemory{records: map[uint64]record{}}
		m.callers[caller] = c
	}
	c.records[digest] = r
	c.need += r.need
	m.count++
	if len(c.records) > maxRememberedPerCaller {
		m.evict(caller)
	}
	if m.count > maxRemembered {
		m.evict(m.largest())
	}
}

func (m *memory) remove(caller string, digest uint64) {
	c := m.callers[caller]
	if c == nil {
		return
	}
	r, known := c.records[digest]
	if !known {
		return
	}
	delete(c.records, digest)
	c.need -= r.need
	m.count--
	if len(c.records) == 0 {
		delete(m.callers, caller)
	}
}

// evict removes the record of a caller that may return first: it is most likely to have been
// given up.
func (m *memory) evict(caller string) {
	var oldest uint64
	var at time.Duration
	found := false
	for digest, r := range m.callers[caller].records {
		if !found || cmp.Or(cmp.Compare(r.notBefore, at), cmp.Compare(digest, oldest)) < 0 {
			oldest, at, found = digest, r.notBefore, true
		}
	}
	m.remove(caller, oldest)
}

// largest returns the caller with most records.
func (m *memory) largest() (caller string) {
	most := 0
	for name, c := range m.callers {
		if len(c.records) > most || len(c.records) == most && name < caller {
			caller, most = name, len(c.records)
		}
	}
	return caller
}

// sweep removes the records of requests that have not come back.
func (m *memory) sweep(now time.Duration) {
	if now-m.sweptAt < sweepInterval {
		return
	}
	m.sweptAt = now
	for caller, c := range m.callers {
		for digest, r := range c.records {
			if now > r.notBefore+returnWindow {
				m.remove(caller, digest)
			}
		}
	}
}

// promised returns the need of the refused requests that are expected to get room before one more
// of a caller with this need, if callers take turns: of each other caller no more than of its own.
func (m *memory) promised(caller string, need int) (sum int) {
	own := need
	if c := m.callers[caller]; c != nil {
		own += c.need
	}
	for name, c := range m.callers {
		if name != caller {
			sum += min(c.need, own)
		}
	}
	return sum + own - need
}
