package admission

import (
	"cmp"
	"time"

	"arbutusmast.example/arbutusmast/core/length"
)

// Config holds the parameters of the admission policy of one backend server. Zero
// fields get defaults.
type Config struct {
	// TotalBlocks, BlockTokens and MaxBatch describe the engine.
	TotalBlocks int
	BlockTokens int
	MaxBatch    int
	// Lengths may be shared by the controllers of one agent.
	Lengths *length.Estimator

	// UrgentPriority is the lowest priority of the urgent band. Negative priorities
	// are background.
	UrgentPriority int
	// UrgentSlots is the number of batch slots reserved for urgent requests. A
	// negative value means none.
	UrgentSlots int
	// MaxPrefills and MaxPrefillTokens bound the concurrent prefills, because each
	// one lengthens the step of the whole batch.
	MaxPrefills      int
	MaxPrefillTokens int

	// ReserveStdDevs is the number of standard deviations of the memory demand that
	// is reserved on top of its mean.
	ReserveStdDevs float64
	// InitialMargin, MinMargin and MaxMargin are the initial value and the bounds
	// of the margin, the fraction of memory that is left to urgent requests and to
	// growth beyond the expected demand. The margin grows with each preemption and
	// shrinks with each completed request.
	InitialMargin, MinMargin, MaxMargin float64
	// TargetPreemptions is the accepted number of preemptions per completed
	// request.
	TargetPreemptions float64
	// MaxPreemptions is the number of preemptions after which an execution is
	// protected from further ones.
	MaxPreemptions int
	// NearEndTokens protects executions that are expected to end within this number
	// of tokens.
	NearEndTokens int
	// DemandUpdateTokens is the number of generated tokens after which the memory
	// demand of an execution is computed again.
	DemandUpdateTokens int

	// MaxWaiting bounds the queue length. MaxExpectedDelay is the expected queue
	// delay above which a request is refused on arrival, by band from urgent to
	// background.
	MaxWaiting       int
	MaxExpectedDelay [bands]time.Duration
	// MaxQueueTime bounds the time that any request spends in the queue.
	MaxQueueTime time.Duration
	// AgingTime is the wait after which a request goes ahead of more urgent ones.
	AgingTime time.Duration
	// NominalTokensPerSecond is the drain rate assumed until one is measured.
	NominalTokensPerSecond float64
}

// Priority bands, from the most urgent to the least.
const (
	bandUrgent = iota
	bandNormal
	bandBackground
	bands
)

// Defaults of Config, described in docs/policy.md.
const (
	defaultTotalBlocks            = 4096
	defaultBlockTokens            = 16
	defaultMaxBatch               = 64
	defaultUrgentPriority         = 10
	defaultUrgentSlots            = 4
	defaultMaxPrefills            = 1
	defaultMaxPrefillTokens       = 1024
	defaultReserveStdDevs         = 0.5
	defaultInitialMargin          = 0.12
	defaultMinMargin              = 0.04
	defaultMaxMargin              = 0.3
	defaultTargetPreemptions      = 0.02
	defaultMaxPreemptions         = 2
	defaultNearEndTokens          = 64
	defaultDemandUpdateTokens     = 32
	defaultMaxWaiting             = 1024
	defaultMaxUrgentDelay         = 1 * time.Second
	defaultMaxNormalDelay         = 2500 * time.Millisecond
	defaultMaxBackgroundDelay     = 3 * time.Second
	defaultMaxQueueTime           = 20 * time.Second
	defaultAgingTime              = 10 * time.Second
	defaultNominalTokensPerSecond = 500
)

func (c Config) withDefaults() Config {
	c.TotalBlocks = cmp.Or(c.TotalBlocks, defaultTotalBlocks)
	c.BlockTokens = cmp.Or(c.BlockTokens, defaultBlockTokens)
	c.MaxBatch = cmp.Or(c.MaxBatch, defaultMaxBatch)
	c.UrgentPriority = cmp.Or(c.UrgentPriority, defaultUrgentPriority)
	c.UrgentSlots = cmp.Or(c.UrgentSlots, min(defaultUrgentSlots, c.MaxBatch/4))
	c.MaxPrefills = cmp.Or(c.MaxPrefills, defaultMaxPrefills)
	c.MaxPrefillTokens = cmp.Or(c.MaxPrefillTokens, defaultMaxPrefillTokens)
	c.ReserveStdDevs = cmp.Or(c.ReserveStdDevs, defaultReserveStdDevs)
	c.InitialMargin = cmp.Or(c.InitialMargin, defaultInitialMargin)
	c.MinMargin = cmp.Or(c.MinMargin, defaultMinMargin)
	c.MaxMargin = cmp.Or(c.MaxMargin, defaultMaxMargin)
	c.TargetPreemptions = cmp.Or(c.TargetPreemptions, defaultTargetPreemptions)
	c.MaxPreemptions = cmp.Or(c.MaxPreemptions, defaultMaxPreemptions)
	c.NearEndTokens = cmp.Or(c.NearEndTokens, defaultNearEndTokens)
	c.DemandUpdateTokens = cmp.Or(c.DemandUpdateTokens, defaultDemandUpdateTokens)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.MaxExpectedDelay[bandUrgent] = cmp.Or(c.MaxExpectedDelay[bandUrgent], defaultMaxUrgentDelay)
	c.MaxExpectedDelay[bandNormal] = cmp.Or(c.MaxExpectedDelay[bandNormal], defaultMaxNormalDelay)
	c.MaxExpectedDelay[bandBackground] = cmp.Or(c.MaxExpectedDelay[bandBackground], defaultMaxBackgroundDelay)
	c.MaxQueueTime = cmp.Or(c.MaxQueueTime, defaultMaxQueueTime)
	c.AgingTime = cmp.Or(c.AgingTime, defaultAgingTime)
	c.NominalTokensPerSecond = cmp.Or(c.NominalTokensPerSecond, defaultNominalTokensPerSecond)
	return c
}

func (c *Config) bandOf(priority int) int {
	switch {
	case priority >= c.UrgentPriority:
		return bandUrgent
	case priority >= 0:
		return bandNormal
	default:
		return bandBackground
	}
}
