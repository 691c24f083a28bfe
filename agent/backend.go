package agent

import (
	"math/rand"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/admission"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
)

// plainRetry is the time to come back to a plain service that runs as many
// calls as it takes at a time.
const plainRetry = 500 * time.Millisecond

// backendServer is one backend server of this host with its queue.
type backendServer struct {
	agent  *Agent
	name   string
	engine engine.Backend
	crash  *crashWatch
	start  time.Time

	mu       sync.Mutex
	declared contract.BackendServer
	gone     bool
	marked   bool
	failing  bool
	// machine decides on the generations of a model engine.
	machine *admission.Machine
	runs    map[message.ExecutionID]*run
	// calls counts the calls of a plain service in progress.
	calls int
	plain bool
}

func newBackendServer(a *Agent, declared contract.BackendServer, kind contract.ServiceKind) *backendServer {
	b := &backendServer{
		agent: a, name: declared.Name, engine: a.options.Connect(declared), declared: declared, start: time.Now(),
		plain: kind == contract.KindPlain, runs: map[message.ExecutionID]*run{},
	}
	config := admission.Config{
		TotalBlocks: declared.MemoryBlocks, BlockTokens: declared.BlockTokens, MaxBatch: declared.MaxBatch, MaxWaiting: a.options.MaxQueue,
	}
	// The seed differs between lives of the agent, so that hosts do not act in step.
	b.machine = admission.New(config, rand.New(rand.NewSource(int64(a.options.Incarnation)+int64(len(declared.Name)))))
	b.crash = &crashWatch{server: b, active: map[*inFlight]struct{}{}}
	a.spawn(func() { b.crash.follow(a.ctx) })
	if !b.plain {
		a.spawn(b.tickLoop)
	}
	return b
}

func (b *backendServer) declare(declared contract.BackendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declared, b.gone = declared, false
	b.performAll(b.machine.SetCapacity(b.now(), declared.MaxBatch, declared.MemoryBlocks))
}

func (b *backendServer) withdraw() {
	b.mu.Lock()
	b.gone = true
	b.mu.Unlock()
}

// mark takes over the leaving mark of the membership.
func (b *backendServer) mark(leaving bool) {
	b.mu.Lock()
	b.marked = leaving
	b.mu.Unlock()
}

// leaving tells whether the server takes no new work.
func (b *backendServer) leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusesWork()
}

// refusesWork is leaving for a caller that holds b.mu.
func (b *backendServer) refusesWork() bool {
	return b.marked || b.gone || b.declared.State != contract.BackendServing
}

// setFailing records for the heartbeat whether the server can not be reached.
func (b *backendServer) setFailing(failing bool) {
	b.mu.Lock()
	b.failing = failing
	b.mu.Unlock()
}

func (b *backendServer) healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.failing
}

// now is the time of the admission machine.
func (b *backendServer) now() time.Duration { return time.Since(b.start) }

func (b *backendServer) hint() message.LoadHint {
	b.mu.Lock()
	defer b.mu.Unlock()
	hint := message.LoadHint{Running: b.calls, TotalBlocks: b.declared.MaxBatch, FreeBlocks: max(0, b.declared.MaxBatch-b.calls)}
	if !b.plain {
		hint = b.machine.LoadHint(b.now())
	}
	hint.BackendServer, hint.Leaving, hint.MeasuredAt = b.name, b.refusesWork(), time.Now()
	return hint
}

// enterCall admits a call of a plain service or refuses it at once.
func (b *backendServer) enterCall() *message.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls >= b.declared.MaxBatch {
		refusal := message.NewRefusal(verdict.ReasonOverloaded, "the backend server runs as many calls as it takes", plainRetry)
		return &refusal
	}
	b.calls++
	return nil
}

func (b *backendServer) leaveCall() {
	b.mu.Lock()
	b.calls--
	b.mu.Unlock()
}
