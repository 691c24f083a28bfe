// Package admission decides, for one backend server, which waiting requests
// start, which running one is paused when memory fills, and which requests are
// refused. It is a state machine without goroutines, clock or I/O: the agent
// feeds it events with the time since any fixed origin and carries out the
// actions it returns.
package admission

import (
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/length"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Request is one generation that asks for admission.
type Request struct {
	ID           message.ExecutionID
	Caller       string
	Model        string
	Class        message.RequestClass
	Priority     int
	Weight       float64
	PromptTokens int
	// MaxTokens bounds the answer; zero means no bound.
	MaxTokens int
	// Timeout bounds the time in the queue; zero means Config.MaxQueueTime.
	Timeout time.Duration
}

// Load is what the engine reports about its memory.
type Load struct {
	FreeBlocks  int
	TotalBlocks int
	// Preemptions counts the sequences the engine itself set aside so far.
	Preemptions int
}

// ActionKind names what the agent has to do.
type ActionKind uint8

// Kinds of actions. Start and Resume hand an execution to the engine, Pause
// takes it out and frees its memory, Refuse ends a request that never started.
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

// Action is one order to the agent.
type Action struct {
	Kind ActionKind
	ID   message.ExecutionID
	// Priority is the engine priority of a Start or Resume.
	Priority int
	// Reason and RetryAfter explain a Refuse.
	Reason     verdict.Reason
	RetryAfter time.Duration
}

// state of a request in the machine.
type state uint8

const (
	waiting state = iota
	running
	paused
)

// entry is one request in the machine.
type entry struct {
	Request
	state     state
	band      int
	team      *team
	arrived   time.Duration
	expires   time.Duration
	startedAt time.Duration
	dist      *length.Distribution
	// expected is the mean length used for queue delay and fair shares.
	expected  float64
	generated int
	// accounted is the value of generated that demand was computed for.
	accounted  int
	prefilling bool
	// prefillTokens is the size of the prompt being computed.
	prefillTokens int
	preemptions   int
	demand        demand

	inTeam, inBand node
	expiryIndex    int
}

// Machine is the admission state of one backend server. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	lengths *length.Estimator
	entries map[message.ExecutionID]*entry
	running []*entry
	paused  []*entry
	queue   queue
	demand  demandSum
	// usedBlocks is the memory of the running executions as seen here.
	usedBlocks int
	// foreignBlocks is engine memory in use that no execution here explains.
	foreignBlocks  int
	prefills       int
	prefillTokens  int
	margin         float64
	enginePreempts int
	drain          drainRate
	actions        []Action
	// declaredBatch and declaredBlocks are the last declaration. Load reports of
	// the engine replace the declared memory.
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
		entries: map[message.ExecutionID]*entry{},
		queue:   newQueue(),
		margin:  cfg.StartMargin,
		drain:   drainRate{perSecond: cfg.NominalTokensPerSecond, nominal: cfg.NominalTokensPerSecond},
	}
}

// Declare takes over a changed declaration of the engine's batch and memory.
// Executions above a smaller batch run to their end.
func (m *Machine) Declare(now time.Duration, batch, blocks int) []Action {
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

// Enqueue asks for admission of r. Either the request waits, and a Start may be
// among the returned actions at once, or a Refuse for it is among them. Other
// requests may start or be refused as well. An ID that is known is ignored. The
// returned slice is valid until the next call.
func (m *Machine) Enqueue(now time.Duration, r Request) []Action {
	m.actions = m.actions[:0]
	if _, ok := m.entries[r.ID]; ok {
		return m.actions
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	e := &entry{Request: r, band: m.cfg.bandOf(r.Priority), arrived: now, expiryIndex: -1}
	e.dist = m.lengths.Distribution(length.Key{Model: r.Model, Caller: r.Caller, Class: r.Class})
	e.expected = m.expectedLength(e)
	if reason, after := m.overload(now, e); reason != verdict.ReasonNone {
		m.refuse(r.ID, reason, after)
		return m.actions
	}
	limit := r.Timeout
	if limit <= 0 || limit > m.cfg.MaxQueueTime {
		limit = m.cfg.MaxQueueTime
	}
	e.expires = now + limit
	m.entries[r.ID] = e
	m.queue.push(e)
	m.schedule(now)
	return m.actions
}

// EngineLoad takes a load report of the engine, which may be old. FreeBlocks must
// count blocks of cached prefixes that the engine would evict as free.
func (m *Machine) EngineLoad(now time.Duration, l Load) []Action {
	m.actions = m.actions[:0]
	if l.TotalBlocks > 0 {
		m.cfg.TotalBlocks = l.TotalBlocks
		foreign := l.TotalBlocks - l.FreeBlocks - m.usedBlocks
		// A report is a moment old, so a small difference says nothing.
		if foreign <= m.cfg.TotalBlocks/20 {
			foreign = 0
		}
		m.foreignBlocks = foreign
	}
	if l.Preemptions > m.enginePreempts {
		m.riskDown(l.Preemptions - m.enginePreempts)
	}
	m.enginePreempts = l.Preemptions
	m.relieve()
	m.schedule(now)
	return m.actions
}

// TokensGenerated tells that execution id has generated n tokens so far. Call it
// for the first token after each Start and Resume, which ends the prefill, then
// at least every few tokens, and with the final count before Finished.
func (m *Machine) TokensGenerated(now time.Duration, id message.ExecutionID, n int) []Action {
	m.actions = m.actions[:0]
	e := m.entries[id]
	if e == nil || e.state != running || n <= e.generated {
		return m.actions
	}
	m.drain.add(now, n-e.generated)
	m.usedBlocks -= m.blocks(e)
	e.generated = n
	m.usedBlocks += m.blocks(e)
	if e.generated-e.accounted >= m.cfg.AccountEvery || e.prefilling {
		m.account(e)
	}
	if e.prefilling {
		m.endPrefill(e)
		m.schedule(now)
	}
	m.relieve()
	return m.actions
}

// Finished tells that execution id ended with a complete answer.
func (m *Machine) Finished(now time.Duration, id message.ExecutionID) []Action {
	m.actions = m.actions[:0]
	e := m.entries[id]
	if e == nil {
		return m.actions
	}
	m.lengths.Observe(length.Key{Model: e.Model, Caller: e.Caller, Class: e.Class}, e.generated)
	m.riskUp()
	m.drop(e)
	m.schedule(now)
	return m.actions
}

// Cancel removes an execution in any state: the caller went away, or it failed.
func (m *Machine) Cancel(now time.Duration, id message.ExecutionID) []Action {
	m.actions = m.actions[:0]
	if e := m.entries[id]; e != nil {
		m.drop(e)
		m.schedule(now)
	}
	return m.actions
}

// Tick refuses requests whose time in the queue ran out and starts what fits.
// Call it a few times per second.
func (m *Machine) Tick(now time.Duration) []Action {
	m.actions = m.actions[:0]
	m.drain.advance(now, len(m.running) > 0)
	for {
		e := m.queue.expired(now)
		if e == nil {
			break
		}
		m.queue.remove(e)
		delete(m.entries, e.ID)
		m.refuse(e.ID, verdict.ReasonOverloaded, m.retryAfter(e))
	}
	m.relieve()
	m.schedule(now)
	return m.actions
}

// Load returns the hint that entries place requests by. FreeBlocks is what is
// left after the memory reserved for the running executions.
func (m *Machine) Load(time.Duration) message.LoadHint {
	return message.LoadHint{
		Running:           len(m.running),
		Waiting:           m.queue.size + len(m.paused),
		FreeBlocks:        max(0, m.cfg.TotalBlocks-m.foreignBlocks-m.reserved()),
		TotalBlocks:       m.cfg.TotalBlocks,
		QueueDelay:        m.queueDelay(bandNormal),
		DrainTokensPerSec: m.drain.perSecond,
	}
}

// Preemptions returns how often execution id was paused.
func (m *Machine) Preemptions(id message.ExecutionID) int {
	if e := m.entries[id]; e != nil {
		return e.preemptions
	}
	return 0
}

func (m *Machine) refuse(id message.ExecutionID, reason verdict.Reason, after time.Duration) {
	m.actions = append(m.actions, Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: after})
}

// drop forgets an entry and settles what its team was charged.
func (m *Machine) drop(e *entry) {
	switch e.state {
	case waiting:
		m.queue.remove(e)
	case running:
		m.stop(e)
		m.queue.settle(e)
	case paused:
		m.paused = without(m.paused, e)
		m.queue.settle(e)
	}
	delete(m.entries, e.ID)
}

func without(list []*entry, e *entry) []*entry {
	for i, other := range list {
		if other == e {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}
