package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/intake"
	"github.com/pkg/errors"
)

const (
	// defaultMemoryBytes is the budget if the memory of the host is unknown.
	defaultMemoryBytes = 256 << 20
	// intakeShare is the fraction of the budget that requests may use. The rest is left for the
	// responses to requests that run, which can no longer be refused.
	intakeShare = 0.85
	// connectionBytes is what an open connection uses: two buffers, the stacks of its
	// goroutines, a head of ordinary size and the objects around them.
	connectionBytes = 24 << 10
	// servedBytes is what a request uses beside its body while it is served: the copies of its
	// headers, the connection to the server with its buffer, and a goroutine.
	servedBytes = 16 << 10
	// evictionTimeout bounds the wait for the memory of refused requests, whose goroutines
	// release it as soon as they run.
	evictionTimeout = time.Second
)

// errNoMemory and errEvicted are returned for requests that are refused because the memory for
// requests is used up: the first when a request needs more, the second when it gives way to another.
var (
	errNoMemory = errors.New("the memory for requests is used up")
	errEvicted  = errors.New("the memory for requests is used up, and this one arrives more slowly than others")
)

// memoryBudget bounds the memory that is held for requests and responses, over all connections.
type memoryBudget struct {
	// limit bounds everything, intakeLimit what is there when a request takes more, and
	// responseLimit the parts of responses beyond unbudgetedBytes each.
	limit, intakeLimit, responseLimit int64
	elapsed                           func() time.Duration

	mu              sync.Mutex
	used, responses int64
	// freeing is what evicted requests have not released yet.
	freeing    int64
	unfinished map[*requestMemory]struct{}
	waiters    int
	// changed is closed when memory is released or a request is evicted while others wait.
	changed chan struct{}
}

func newMemoryBudget(limit int64, elapsed func() time.Duration) *memoryBudget {
	return &memoryBudget{limit: limit, intakeLimit: int64(float64(limit) * intakeShare),
		responseLimit: min(limit, defaultBufferBytes), elapsed: elapsed,
		unfinished: map[*requestMemory]struct{}{}, changed: make(chan struct{})}
}

// requestMemory is what one request holds while it is read and served. A nil one is not bounded.
type requestMemory struct {
	budget  *memoryBudget
	address string
	began   time.Duration
	// interrupt ends a read of the request that waits for bytes.
	interrupt func()
	// received counts the bytes of the body, and lastRead is when the connection last returned
	// bytes.
	received, lastRead atomic.Int64

	// The mutex of the budget guards the rest.
	held             int64
	evicted, waiting bool
}

// begin returns the memory of a request whose first byte arrived.
func (b *memoryBudget) begin(address string, interrupt func()) *requestMemory {
	m := &requestMemory{budget: b, address: address, began: b.elapsed(), interrupt: interrupt}
	m.lastRead.Store(int64(m.began))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unfinished[m] = struct{}{}
	return m
}

// take makes an unfinished request hold n more bytes.
func (m *requestMemory) take(n int64) error {
	if m == nil {
		return nil
	}
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.acquire(m, n, b.intakeLimit); err != nil {
		return err
	}
	m.held += n
	return nil
}

// arrived records that n bytes of the body arrived.
func (m *requestMemory) arrived(n int) {
	if m != nil {
		m.received.Add(int64(n))
	}
}

// commit ends the time in which the request can be evicted, because it has arrived and is passed on
// now.
func (m *requestMemory) commit() error {
	if err := m.take(servedBytes); err != nil {
		return err
	}
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.evicted {
		return errEvicted
	}
	delete(b.unfinished, m)
	return nil
}

// isEvicted reports whether the request gave way to another.
func (m *requestMemory) isEvicted() bool {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	return m.evicted
}

// release returns all that the request holds. It may be called more than once.
func (m *requestMemory) release() {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unfinished, m)
	if m.evicted {
		b.freeing -= m.held
	}
	b.add(-m.held)
	m.held = 0
}

// add changes what is used. The caller holds b.mu.
func (b *memoryBudget) add(n int64) {
	b.used += n
	if n < 0 {
		b.wake()
	}
}

// wake makes those that wait for memory look again. The caller holds b.mu.
func (b *memoryBudget) wake() {
	if b.waiters > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// acquire adds n to what is used, if need be after the eviction of unfinished requests. The
// request m that takes the memory is nil for a response. The caller holds b.mu, which is released
// while it waits.
func (b *memoryBudget) acquire(m *requestMemory, n, limit int64) error {
	var timeout *time.Timer
	for {
		if m != nil && m.evicted {
			return errEvicted
		}
		if b.used+n <= limit {
			b.add(n)
			return nil
		}
		if need := b.used + n - limit - b.freeing; need > 0 && !b.evict(m, need, 0) {
			return errNoMemory
		}
		if timeout == nil {
			timeout = time.NewTimer(evictionTimeout)
			defer timeout.Stop()
		}
		if !b.wait(m, timeout) {
			return errNoMemory
		}
	}
}

// wait releases b.mu until something changed, and returns false after the timeout.
func (b *memoryBudget) wait(m *requestMemory, timeout *time.Timer) bool {
	changed := b.changed
	b.waiters++
	if m != nil {
		m.waiting = true
	}
	b.mu.Unlock()
	ok := true
	select {
	case <-changed:
	case <-timeout.C:
		ok = false
	}
	if m != nil {
		m.lastRead.Store(int64(b.elapsed()))
	}
	b.mu.Lock()
	b.waiters--
	if m != nil {
		m.waiting = false
	}
	return ok
}

// evict refuses unfinished requests so that need bytes are freed for m, nil for a response. It
// returns false if m has to be refused instead. Each of them frees more bytes than it holds, if its
// connection is wanted. The caller holds b.mu.
func (b *memoryBudget) evict(m *requestMemory, need, more int64) bool {
	now := b.elapsed()
	asking := intake.None
	var open []*requestMemory
	var requests []intake.Request
	for r := range b.unfinished {
		if r.evicted {
			continue
		}
		if r == m {
			asking = len(open)
		}
		open = append(open, r)
		requests = append(requests, intake.Request{Began: r.began, LastRead: time.Duration(r.lastRead.Load()),
			Received: r.received.Load(), Held: r.held + more, Waiting: r.waiting, Address: r.address})
	}
	victims, ok := intake.Choose(now, need, asking, requests)
	for _, i := range victims {
		open[i].evicted = true
		b.freeing += open[i].held
		open[i].interrupt()
	}
	if len(victims) > 0 {
		b.wake()
	}
	return ok
}

// evictOne refuses the unfinished request that gives way first, so that its connection closes, and
// returns false if there is none.
func (b *memoryBudget) evictOne() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evict(nil, connectionBytes, connectionBytes)
}

// force counts memory that can not be refused.
func (b *memoryBudget) force(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(n)
}

// takeResponse counts memory for the parts of a response, and returns false if there is none.
func (b *memoryBudget) takeResponse(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responses+n > b.responseLimit {
		return false
	}
	// Others may ask while this one waits.
	b.responses += n
	if b.acquire(nil, n, b.limit) != nil {
		b.responses -= n
		return false
	}
	return true
}

// returnResponse returns memory of a response: forced and taken bytes.
func (b *memoryBudget) returnResponse(forced, taken int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responses -= taken
	b.add(-forced - taken)
}

// inUse returns the memory that is counted.
func (b *memoryBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
