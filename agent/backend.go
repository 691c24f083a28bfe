package agent

import (
	"context"
	"hash/fnv"
	"math/rand"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/admission"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
)

// plainRetryAfter is the retry delay for a call to a plain service that runs its
// maximum number of calls.
const plainRetryAfter = 500 * time.Millisecond

// backendServer is one backend server of this host, with its queue.
type backendServer struct {
	agent *Agent
	// ctx ends with the agent, or when a replaced server is idle.
	ctx       context.Context
	stop      context.CancelFunc
	name      string
	address   string
	engine    engine.Backend
	detector  *crashDetector
	startedAt time.Time

	mu            sync.Mutex
	declared      contract.BackendServer
	removed       bool
	markedLeaving bool
	unreachable   bool
	// admission decides which generations run on a model engine.
	admission *admission.Controller
	runs      map[message.ExecutionID]*run
	// calls is the number of calls of a plain service that are in progress.
	calls int
	plain bool
}

func newBackendServer(a *Agent, declared contract.BackendServer, kind contract.ServiceKind) *backendServer {
	b := &backendServer{
		agent: a, name: declared.Name, address: declared.Address, engine: a.options.Connect(declared), declared: declared,
		startedAt: time.Now(), plain: kind == contract.KindPlain, runs: map[message.ExecutionID]*run{},
	}
	b.ctx, b.stop = context.WithCancel(a.ctx)
	config := admission.Config{
		TotalBlocks: declared.MemoryBlocks, BlockTokens: declared.BlockTokens, MaxBatch: declared.MaxBatch,
		MaxWaiting: a.options.MaxQueue,
	}
	b.admission = admission.New(config, rand.New(rand.NewSource(randomSeed(a.options.Incarnation, declared.Name))))
	b.detector = &crashDetector{server: b, inFlight: map[*inFlightRequest]struct{}{}}
	a.spawn(func() { b.detector.pollLoad(b.ctx) })
	if !b.plain {
		a.spawn(b.tickLoop)
	}
	return b
}

// randomSeed differs between agents and between their servers, so that their random choices
// are not synchronized.
func randomSeed(incarnation message.Incarnation, server string) int64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(server))
	return int64(uint64(incarnation) ^ hash.Sum64())
}

// configure applies a changed declaration.
func (b *backendServer) configure(declared contract.BackendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declared, b.removed = declared, false
	b.applyAll(b.admission.SetCapacity(b.now(), declared.MaxBatch, declared.MemoryBlocks))
}

// setRemoved records that the configuration no longer declares the server.
func (b *backendServer) setRemoved() {
	b.mu.Lock()
	b.removed = true
	b.mu.Unlock()
}

// stopIfIdle stops the goroutines of the server if it runs no requests, and reports whether
// it did.
func (b *backendServer) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.runs) > 0 || b.calls > 0 {
		return false
	}
	b.stop()
	return true
}

// setLeavingMark applies the leaving mark of the membership.
func (b *backendServer) setLeavingMark(leaving bool) {
	b.mu.Lock()
	b.markedLeaving = leaving
	b.mu.Unlock()
}

// leaving reports whether the server accepts no new work.
func (b *backendServer) leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leavingLocked()
}

// leavingLocked is leaving for callers that hold b.mu.
func (b *backendServer) leavingLocked() bool {
	return b.markedLeaving || b.removed || b.declared.State != contract.BackendServing
}

// setUnreachable records whether the server is unreachable, for the heartbeat.
func (b *backendServer) setUnreachable(unreachable bool) {
	b.mu.Lock()
	b.unreachable = unreachable
	b.mu.Unlock()
}

func (b *backendServer) healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.unreachable
}

// now returns the time that is passed to the admission controller.
func (b *backendServer) now() time.Duration { return time.Since(b.startedAt) }

// loadHint returns the current load for the entries.
func (b *backendServer) loadHint() message.LoadHint {
	b.mu.Lock()
	defer b.mu.Unlock()
	hint := message.LoadHint{
		Running: b.calls, TotalBlocks: b.declared.MaxBatch, FreeBlocks: max(0, b.declared.MaxBatch-b.calls),
	}
	if !b.plain {
		hint = b.admission.LoadHint(b.now())
	}
	hint.BackendServer, hint.Leaving, hint.MeasuredAt = b.name, b.leavingLocked(), time.Now()
	return hint
}

// acquireCallSlot admits a call of a plain service, or refuses it if the server
// runs its maximum number of calls.
func (b *backendServer) acquireCallSlot() *message.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls >= b.declared.MaxBatch {
		refusal := message.NewRefusal(verdict.ReasonOverloaded,
			"the backend server runs as many calls as it takes", plainRetryAfter)
		return &refusal
	}
	b.calls++
	return nil
}

func (b *backendServer) releaseCallSlot() {
	b.mu.Lock()
	b.calls--
	b.mu.Unlock()
}
