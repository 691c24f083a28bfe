// Package admission decides, for one backend server, which waiting requests start,
// which running executions are preempted when memory fills, and which requests are
// refused. It is a state machine without goroutines, clock or I/O: the agent passes
// it events with the time since a fixed origin and performs the actions that it
// returns.
package admission

import (
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/length"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Request is one generation to admit.
type Request struct {
	ID           message.ExecutionID
	Caller       string
	Model        string
	Class        message.RequestClass
	Priority     int
	Weight       float64
	PromptTokens int
	// MaxTokens bounds the length of the answer. Zero means no bound.
	MaxTokens int
	// Timeout bounds the time in the queue. Zero means Config.MaxQueueTime.
	Timeout time.Duration
}

// Load is the memory load that the engine reports.
type Load struct {
	FreeBlocks  int
	TotalBlocks int
	// Preemptions counts all sequences that the engine itself has preempted.
	Preemptions int
}

// ActionKind is the operation that an Action asks for.
type ActionKind uint8

// Kinds of actions. Start and Resume submit an execution to the engine, Pause
// removes it from the engine and frees its memory, Refuse rejects a request that
// has not started.
const (
	Start ActionKind = iota + 1
	Pause
	Resume
	Refuse
)

var kindNames = [...]string{Start: "start", Pause: "pause", Resume: "resume", Refuse: "refuse"}

// String returns the name of the kind.
func (k ActionKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Action is an operation that the agent must perform.
type Action struct {
	Kind ActionKind
	ID   message.ExecutionID
	// Priority is the engine priority of a Start or Resume.
	Priority int
	// Reason and RetryAfter are set for a Refuse.
	Reason     verdict.Reason
	RetryAfter time.Duration
}

// state is the state of an execution in the machine.
type state uint8

const (
	waiting state = iota
	running
	paused
)

// execution is a request that waits, runs or is paused.
type execution struct {
	Request
	state     state
	band      int
	team      *team
	arrivedAt time.Duration
	expiresAt time.Duration
	startedAt time.Duration
	dist      *length.Distribution
	// expected is the mean answer length used for queue delay and fair shares.
	expected  float64
	generated int
	// demandGenerated is the value of generated for which demand was computed.
	demandGenerated int
	prefilling      bool
	// prefillTokens is the number of tokens in the current prefill.
	prefillTokens int
	preemptions   int
	demand        demand

	teamNode, bandNode node
	expiryIndex        int
}

// Machine is the admission state machine of one backend server. It is not safe for
// concurrent use.
type Machine struct {
	cfg        Config
	rng        *rand.Rand
	lengths    *length.Estimator
	executions map[message.ExecutionID]*execution
	running    []*execution
	paused     []*execution
	queue      queue
	demand     demandSum
	// usedBlocks is the memory that the running executions hold by this machine's
	// own count.
	usedBlocks int
	// untrackedBlocks is the engine memory in use that exceeds usedBlocks.
	untrackedBlocks   int
	prefills          int
	prefillTokens     int
	margin            float64
	enginePreemptions int
	drain             drainRate
	actions           []Action
	// declaredBatch and declaredBlocks are the values last passed to SetCapacity. A
	// load report of the engine replaces the declared memory.
	declaredBatch, declaredBlocks int
}

// New returns a Machine. Zero fields of cfg get defaults.
func New(cfg Config, rng *rand.Rand) *Machine {
	cfg = cfg.withDefaults()
	lengths := cfg.Lengths
	if lengths == nil {
		lengths = length.New(length.Config{})
	}
	return &Machine{
		cfg: cfg, rng: rng, lengths: lengths,
		executions: map[message.ExecutionID]*execution{},
		queue:      newQueue(),
		margin:     cfg.InitialMargin,
		drain:      drainRate{perSecond: cfg.NominalTokensPerSecond, nominal: cfg.NominalTokensPerSecond},
	}
}

// SetCapacity applies a changed declaration of the engine's batch size and memory.
// If the batch shrinks, the executions above the new size still run to completion.
func (m *Machine) SetCapacity(now time.Duration, batch, blocks int) []Action {
	m.actions = m.actions[:0]
	if batch <= 0 || blocks <= 0 || batch == m.declaredBatch && blocks == m.declaredBlocks {
		return m.actions
	}
	m.declaredBatch, m.declaredBlocks = batch, blocks
	m.cfg.MaxBatch, m.cfg.TotalBlocks = batch, blocks
	m.cfg.UrgentSlots = min(defaultUrgentSlots, batch/4)
	m.schedule(now)
	return m.actions
}

// Enqueue requests admission of r. Either r waits, possibly with its Start among
// the returned actions, or its Refuse is among them. Other requests may start or be
// refused too. A known ID is ignored. The returned slice is valid until the next
// call.
func (m *Machine) Enqueue(now time.Duration, r Request) []Action {
	m.actions = m.actions[:0]
	if _, ok := m.executions[r.ID]; ok {
		return m.actions
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	e := &execution{Request: r, band: m.cfg.bandOf(r.Priority), arrivedAt: now, expiryIndex: -1}
	e.dist = m.lengths.Distribution(length.Key{Model: r.Model, Caller: r.Caller, Class: r.Class})
	e.expected = m.expectedLength(e)
	if reason, after := m.checkOverload(now, e); reason != verdict.ReasonNone {
		m.refuse(r.ID, reason, after)
		return m.actions
	}
	maxWait := r.Timeout
	if maxWait <= 0 || maxWait > m.cfg.MaxQueueTime {
		maxWait = m.cfg.MaxQueueTime
	}
	e.expiresAt = now + maxWait
	m.executions[r.ID] = e
	m.queue.push(e)
	m.schedule(now)
	return m.actions
}

// EngineLoad applies a load report of the engine, which may be stale. FreeBlocks
// must include the cached prefix blocks that the engine would evict.
func (m *Machine) EngineLoad(now time.Duration, l Load) []Action {
	m.actions = m.actions[:0]
	if l.TotalBlocks > 0 {
		m.cfg.TotalBlocks = l.TotalBlocks
		untracked := l.TotalBlocks - l.FreeBlocks - m.usedBlocks
		// Reports lag slightly, so a small difference is ignored.
		if untracked <= m.cfg.TotalBlocks/20 {
			untracked = 0
		}
		m.untrackedBlocks = untracked
	}
	if l.Preemptions > m.enginePreemptions {
		m.raiseMargin(l.Preemptions - m.enginePreemptions)
	}
	m.enginePreemptions = l.Preemptions
	m.preempt()
	m.schedule(now)
	return m.actions
}

// TokensGenerated records that execution id has generated n tokens in total. Call
// it for the first token after each Start and Resume, which ends the prefill, then
// at least every few tokens, and with the final count before Finished.
func (m *Machine) TokensGenerated(now time.Duration, id message.ExecutionID, n int) []Action {
	m.actions = m.actions[:0]
	e := m.executions[id]
	if e == nil || e.state != running || n <= e.generated {
		return m.actions
	}
	m.drain.add(now, n-e.generated)
	m.usedBlocks -= m.blocksHeld(e)
	e.generated = n
	m.usedBlocks += m.blocksHeld(e)
	if e.generated-e.demandGenerated >= m.cfg.DemandUpdateTokens || e.prefilling {
		m.updateDemand(e)
	}
	if e.prefilling {
		m.endPrefill(e)
		m.schedule(now)
	}
	m.preempt()
	return m.actions
}

// Finished records that execution id ended with a complete answer.
func (m *Machine) Finished(now time.Duration, id message.ExecutionID) []Action {
	m.actions = m.actions[:0]
	e := m.executions[id]
	if e == nil {
		return m.actions
	}
	m.lengths.Observe(length.Key{Model: e.Model, Caller: e.Caller, Class: e.Class}, e.generated)
	m.lowerMargin()
	m.remove(e)
	m.schedule(now)
	return m.actions
}

// Cancel removes an execution in any state, because its caller disconnected or it
// failed.
func (m *Machine) Cancel(now time.Duration, id message.ExecutionID) []Action {
	m.actions = m.actions[:0]
	if e := m.executions[id]; e != nil {
		m.remove(e)
		m.schedule(now)
	}
	return m.actions
}

// Tick refuses requests whose time in the queue has expired and starts those that
// fit. Call it a few times per second.
func (m *Machine) Tick(now time.Duration) []Action {
	m.actions = m.actions[:0]
	m.drain.advance(now, len(m.running) > 0)
	for {
		e := m.queue.expired(now)
		if e == nil {
			break
		}
		m.queue.remove(e)
		delete(m.executions, e.ID)
		m.refuse(e.ID, verdict.ReasonOverloaded, m.retryAfter(e))
	}
	m.preempt()
	m.schedule(now)
	return m.actions
}

// LoadHint returns the load hint that entries use for placement. FreeBlocks
// excludes the memory reserved for the running executions.
func (m *Machine) LoadHint(time.Duration) message.LoadHint {
	return message.LoadHint{
		Running:           len(m.running),
		Waiting:           m.queue.size + len(m.paused),
		FreeBlocks:        max(0, m.cfg.TotalBlocks-m.untrackedBlocks-m.reservedBlocks()),
		TotalBlocks:       m.cfg.TotalBlocks,
		QueueDelay:        m.queueDelay(bandNormal),
		DrainTokensPerSec: m.drain.perSecond,
	}
}

// Preemptions returns how often execution id has been paused.
func (m *Machine) Preemptions(id message.ExecutionID) int {
	if e := m.executions[id]; e != nil {
		return e.preemptions
	}
	return 0
}

func (m *Machine) refuse(id message.ExecutionID, reason verdict.Reason, after time.Duration) {
	m.actions = append(m.actions, Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: after})
}

// remove deletes an execution and corrects the charge of its team.
func (m *Machine) remove(e *execution) {
	switch e.state {
	case waiting:
		m.queue.remove(e)
	case running:
		m.stop(e)
		m.queue.correctCharge(e)
	case paused:
		m.paused = removeExecution(m.paused, e)
		m.queue.correctCharge(e)
	}
	delete(m.executions, e.ID)
}

func removeExecution(list []*execution, e *execution) []*execution {
	for i, other := range list {
		if other == e {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}
