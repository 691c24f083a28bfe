// Package netlimit bounds what the clients of a listener can make the process hold: connections,
// heads, bodies and frames that do not end.
package netlimit

import (
	"math"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/bodybudget"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// roomTimeout limits the wait for the memory of other requests. Those that were refused release
// theirs within milliseconds; it also covers short ordinary requests. The platform's operators wait
// 1 s for an answer.
const roomTimeout = 500 * time.Millisecond

// ErrNoMemory means that a request was refused because the memory for requests is used up.
var ErrNoMemory = errors.New("the memory for requests is used up")

// Budget is the memory for what a listener has received of requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	core   *bodybudget.Budget
	refuse map[bodybudget.ID]func()
	// released is closed and replaced when memory is released or requests are refused.
	released chan struct{}
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{core: bodybudget.New(bytes), refuse: map[bodybudget.ID]func(){}, released: make(chan struct{})}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Used()
}

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.core.Limit() }

// Holding is the memory of one request.
type Holding struct {
	budget *Budget
	id     bodybudget.ID
}

// Open adds a request of a client. refuse is called, with the budget locked, when the request is
// chosen to be refused. It must not block, and must end a read in progress.
func (b *Budget) Open(client net.Addr, refuse func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.core.Open(time.Now(), hostOf(client))
	b.refuse[id] = refuse
	return &Holding{b, id}
}

// hostOf returns the address without its port.
func hostOf(address net.Addr) string {
	if address == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// Grow counts n more bytes. It waits a short time for room and returns ErrNoMemory if there is none.
func (h *Holding) Grow(n int64) error {
	var timeout <-chan time.Time
	for {
		verdict, released := h.tryGrow(n)
		switch verdict {
		case bodybudget.Granted:
			return nil
		case bodybudget.Refused:
			return ErrNoMemory
		}
		if timeout == nil {
			timeout = time.After(roomTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			h.budget.mu.Lock()
			h.budget.core.EndWait(time.Now(), h.id)
			h.budget.mu.Unlock()
			return ErrNoMemory
		}
	}
}

// tryGrow asks for n more bytes and refuses the requests that give way. The channel is closed when it
// is worth to ask again.
func (h *Holding) tryGrow(n int64) (bodybudget.Verdict, <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	verdict, refused := b.core.Grow(time.Now(), h.id, n)
	for _, id := range refused {
		b.refuse[id]()
	}
	if len(refused) > 0 {
		// A refused request that waits for memory holds its own until it asks again.
		b.wake()
	}
	return verdict, b.released
}

// IsRefused reports whether the request was chosen to be refused.
func (h *Holding) IsRefused() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.core.Refused(h.id)
}

// Progress records that n bytes have arrived.
func (h *Holding) Progress(n int) {
	h.budget.mu.Lock()
	h.budget.core.Progress(time.Now(), h.id, n)
	h.budget.mu.Unlock()
}

// Complete marks the request as received, so that it is not refused anymore. It returns ErrNoMemory if
// it was refused before.
func (h *Holding) Complete() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.budget.core.Complete(h.id) {
		return ErrNoMemory
	}
	return nil
}

// Shrink releases n bytes.
func (h *Holding) Shrink(n int64) {
	h.budget.mu.Lock()
	h.budget.core.Shrink(h.id, n)
	h.budget.wake()
	h.budget.mu.Unlock()
}

// Close releases all memory of the request.
func (h *Holding) Close() {
	h.budget.mu.Lock()
	h.budget.core.Close(h.id)
	delete(h.budget.refuse, h.id)
	h.budget.wake()
	h.budget.mu.Unlock()
}

func (b *Budget) wake() {
	close(b.released)
	b.released = make(chan struct{})
}

const (
	// budgetDivisor is the share of the process's memory that one budget takes. Go needs up to
	// twice the memory in use, and a process has up to two listeners with large requests.
	budgetDivisor = 4
	// unknownMemory stands for the memory of a machine that does not tell its own.
	unknownMemory = 1 << 30
)

// Memory returns the memory of the process: the limit of the Go runtime, which GOMEMLIMIT or the
// settings determine, or without one the memory of the machine.
func Memory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return unknownMemory
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// BudgetFor returns the size of a budget, a quarter of the memory of the process. It has room for
// one request of the largest size while that is copied once.
func BudgetFor(largest int64) int64 { return max(Memory()/budgetDivisor, 2*largest+largest/2) }

const (
	// connMemory is what a connection takes besides bodies: buffers, goroutines, and the memory of
	// the kernel.
	connMemory = 32 << 10
	// clientMemoryShare is the share of the memory for the connections of clients. Those of other
	// daemons may take all but what budgets take, because a control member of the largest known
	// deployment has 1,200 of them and 112 MB. They take less than half of connMemory.
	clientMemoryShare, peerMemoryShare = 1. / 8, 1.
	// minConns is the smallest bound of connections.
	minConns = 8
	// unknownDescriptors stands for an unknown limit of open files.
	unknownDescriptors = 1024
)

// MaxConns returns the bound of the connections of a listener for clients: a share of the descriptors
// that the process may open, and not more than take an eighth of its memory.
func MaxConns(share float64) int { return maxConns(share, clientMemoryShare) }

// MaxPeerConns is like MaxConns for a listener for other daemons.
func MaxPeerConns(share float64) int { return maxConns(share, peerMemoryShare) }

func maxConns(share, memoryShare float64) int {
	descriptors := uint64(unknownDescriptors)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = limit.Cur
	}
	byMemory := float64(Memory()) * memoryShare / connMemory
	return int(max(minConns, min(float64(descriptors)*share, byMemory, math.MaxInt32)))
}
