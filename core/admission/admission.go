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
	// MaxTokens bounds the length of the response. Zero means no bound.
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

// state is the state of an execution.
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
	// expected is the mean response length used for queue delay and fair shares.
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

// Controller is the admission controller of one backend server. It is not safe for
// concurrent use.
type Controller struct {
	cfg        Config
	rng        *rand.Rand
	lengths    *length.Estimator
	executions map[message.ExecutionID]*execution
	running    []*execution
	paused     []*execution
	queue      queue
	demand     demandSum
	// usedBlocks is the memory that the running executions hold by the controller's
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

// New returns a Controller. Zero fields of cfg get defaults.
func New(cfg Config, rng *rand.Rand) *Controller {
	cfg = cfg.withDefaults()
	lengths := cfg.Lengths
	if lengths == nil {
		lengths = length.New(length.Config{})
	}
	return &Controller{
		cfg: cfg, rng: rng, lengths: lengths,
		executions: map[message.ExecutionID]*execution{},
		queue:      newQueue(),
		margin:     cfg.InitialMargin,
		drain:      drainRate{perSecond: cfg.NominalTokensPerSecond, nominal: cfg.NominalTokensPerSecond},
	}
}

// SetCapacity applies a changed declaration of the engine's batch size and memory.
// If the batch shrinks, the executions above the new size still run to completion.
func (c *Controller) SetCapacity(now time.Duration, batch, blocks int) []Action {
	c.actions = c.actions[:0]
	if batch <= 0 || blocks <= 0 || batch == c.declaredBatch && blocks == c.declaredBlocks {
		return c.actions
	}
	c.declaredBatch, c.declaredBlocks = batch, blocks
	c.cfg.MaxBatch, c.cfg.TotalBlocks = batch, blocks
	c.cfg.UrgentSlots = min(defaultUrgentSlots, batch/4)
	c.schedule(now)
	return c.actions
}

// Enqueue requests admission of r. Either r waits, possibly with its Start among
// the returned actions, or its Refuse is among them. Other requests may start or be
// refused too. A known ID is ignored. The returned slice is valid until the next
// call.
func (c *Controller) Enqueue(now time.Duration, r Request) []Action {
	c.actions = c.actions[:0]
	if _, ok := c.executions[r.ID]; ok {
		return c.actions
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	e := &execution{Request: r, band: c.cfg.bandOf(r.Priority), arrivedAt: now, expiryIndex: -1}
	e.dist = c.lengths.Distribution(length.Key{Model: r.Model, Caller: r.Caller, Class: r.Class})
	e.expected = c.expectedLength(e)
	if reason, after := c.checkOverload(now, e); reason != verdict.ReasonNone {
		c.refuse(r.ID, reason, after)
		return c.actions
	}
	maxWait := r.Timeout
	if maxWait <= 0 || maxWait > c.cfg.MaxQueueTime {
		maxWait = c.cfg.MaxQueueTime
	}
	e.expiresAt = now + maxWait
	c.executions[r.ID] = e
	c.queue.push(e)
	c.schedule(now)
	return c.actions
}

// EngineLoad applies a load report of the engine, which may be stale. FreeBlocks
// must include the cached prefix blocks that the engine would evict.
func (c *Controller) EngineLoad(now time.Duration, l Load) []Action {
	c.actions = c.actions[:0]
	if l.TotalBlocks > 0 {
		c.cfg.TotalBlocks = l.TotalBlocks
		untracked := l.TotalBlocks - l.FreeBlocks - c.usedBlocks
		// Reports lag slightly, so a small difference is ignored.
		if untracked <= c.cfg.TotalBlocks/20 {
			untracked = 0
		}
		c.untrackedBlocks = untracked
	}
	if l.Preemptions > c.enginePreemptions {
		c.raiseMargin(l.Preemptions - c.enginePreemptions)
	}
	c.enginePreemptions = l.Preemptions
	c.preempt()
	c.schedule(now)
	return c.actions
}

// TokensGenerated records that execution id has generated n tokens in total. Call
// it for the first token after each Start and Resume, which ends the prefill, then
// at least every few tokens, and with the final count before Finished.
func (c *Controller) TokensGenerated(now time.Duration, id message.ExecutionID, n int) []Action {
	c.actions = c.actions[:0]
	e := c.executions[id]
	if e == nil || e.state != running || n <= e.generated {
		return c.actions
	}
	c.drain.add(now, n-e.generated)
	c.usedBlocks -= c.blocksHeld(e)
	e.generated = n
	c.usedBlocks += c.blocksHeld(e)
	if e.generated-e.demandGenerated >= c.cfg.DemandUpdateTokens || e.prefilling {
		c.updateDemand(e)
	}
	if e.prefilling {
		c.endPrefill(e)
		c.schedule(now)
	}
	c.preempt()
	return c.actions
}

// Finished records that execution id ended with a complete response.
func (c *Controller) Finished(now time.Duration, id message.ExecutionID) []Action {
	c.actions = c.actions[:0]
	e := c.executions[id]
	if e == nil {
		return c.actions
	}
	c.lengths.Observe(length.Key{Model: e.Model, Caller: e.Caller, Class: e.Class}, e.generated)
	c.lowerMargin()
	c.remove(e)
	c.schedule(now)
	return c.actions
}

// Cancel removes an execution in any state, because its caller disconnected or it
// failed.
func (c *Controller) Cancel(now time.Duration, id message.ExecutionID) []Action {
	c.actions = c.actions[:0]
	if e := c.executions[id]; e != nil {
		c.remove(e)
		c.schedule(now)
	}
	return c.actions
}

// Tick refuses requests whose time in the queue has expired and starts those that
// fit. Call it a few times per second.
func (c *Controller) Tick(now time.Duration) []Action {
	c.actions = c.actions[:0]
	c.drain.advance(now, len(c.running) > 0)
	for {
		e := c.queue.expired(now)
		if e == nil {
			break
		}
		c.queue.remove(e)
		delete(c.executions, e.ID)
		c.refuse(e.ID, verdict.ReasonOverloaded, c.retryAfter(e))
	}
	c.preempt()
	c.schedule(now)
	return c.actions
}

// LoadHint returns the load hint that entries use for placement. FreeBlocks
// excludes the memory reserved for the running executions.
func (c *Controller) LoadHint(time.Duration) message.LoadHint {
	return message.LoadHint{
		Running:           len(c.running),
		Waiting:           c.queue.size + len(c.paused),
		FreeBlocks:        max(0, c.cfg.TotalBlocks-c.untrackedBlocks-c.reservedBlocks()),
		TotalBlocks:       c.cfg.TotalBlocks,
		QueueDelay:        c.queueDelay(bandNormal),
		DrainTokensPerSec: c.drain.perSecond,
	}
}

// Preemptions returns how often execution id has been paused.
func (c *Controller) Preemptions(id message.ExecutionID) int {
	if e := c.executions[id]; e != nil {
		return e.preemptions
	}
	return 0
}

func (c *Controller) refuse(id message.ExecutionID, reason verdict.Reason, after time.Duration) {
	c.actions = append(c.actions, Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: after})
}

// remove deletes an execution and corrects the charge of its team.
func (c *Controller) remove(e *execution) {
	switch e.state {
	case waiting:
		c.queue.remove(e)
	case running:
		c.stop(e)
		c.queue.correctCharge(e)
	case paused:
		c.paused = removeExecution(c.paused, e)
		c.queue.correctCharge(e)
	}
	delete(c.executions, e.ID)
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
