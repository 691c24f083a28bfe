package admission

import "math"

// horizons are the numbers of further tokens at which the memory demand of the
// batch is estimated. At each horizon an execution needs its whole context if it
// still runs, and nothing if it has ended. Reserving the sum of the final lengths
// would take far more memory, because executions end at different times.
var horizons = [...]int{0, 64, 192, 512, 1024, 2048, 4096, 8192, 16384}

// demand is the mean and the variance of the number of blocks needed at each
// horizon.
type demand struct {
	mean, variance [len(horizons)]float64
}

// demandSum is the demand of the whole batch.
type demandSum struct{ demand }

func (s *demandSum) add(d *demand, sign float64) {
	for i := range s.mean {
		s.mean[i] += sign * d.mean[i]
		s.variance[i] = max(0, s.variance[i]+sign*d.variance[i])
	}
}

// blocksHeld returns the number of blocks that an execution holds now.
func (c *Controller) blocksHeld(e *execution) int {
	return (e.PromptTokens+e.generated)/c.cfg.BlockTokens + 1
}

// computeDemand computes the demand of an execution from the tokens generated so
// far.
func (c *Controller) computeDemand(e *execution) {
	contextTokens := e.PromptTokens + e.generated
	remaining := math.MaxInt
	if e.MaxTokens > 0 {
		remaining = max(0, e.MaxTokens-e.generated)
	}
	for i, horizon := range horizons {
		survival := 1.0
		if horizon > 0 {
			survival = e.dist.SurvivalAfter(e.generated, horizon)
		}
		if horizon > remaining {
			survival = 0
		}
		blocks := float64((contextTokens+horizon)/c.cfg.BlockTokens + 1)
		e.demand.mean[i] = survival * blocks
		e.demand.variance[i] = survival * (1 - survival) * blocks * blocks
	}
	e.demandGenerated = e.generated
}

// updateDemand recomputes the demand of a running execution and adjusts the sum.
func (c *Controller) updateDemand(e *execution) {
	c.demand.add(&e.demand, -1)
	c.computeDemand(e)
	c.demand.add(&e.demand, 1)
}

// reservedBlocks returns the number of blocks reserved for the running executions.
func (c *Controller) reservedBlocks() int {
	peak := 0.0
	for i, mean := range c.demand.mean {
		peak = max(peak, mean+c.cfg.ReserveStdDevs*math.Sqrt(c.demand.variance[i]))
	}
	return int(peak)
}

// fits reports whether an execution can start or resume without exceeding the
// memory limit at any horizon.
func (c *Controller) fits(e *execution) bool {
	limit := float64(c.cfg.TotalBlocks - c.untrackedBlocks - c.cfg.MaxBatch/4)
	if len(c.running) == 0 {
		return true
	}
	if e.band != bandUrgent {
		limit -= c.margin * float64(c.cfg.TotalBlocks)
	}
	c.computeDemand(e)
	for i, mean := range c.demand.mean {
		// An execution that has almost certainly ended by this horizon does not
		// cause a shortage there. A short request must not wait for long ones to
		// end.
		if i > 0 && e.demand.mean[i] < negligibleBlocks {
			break
		}
		need := mean + e.demand.mean[i]
		if need+c.cfg.ReserveStdDevs*math.Sqrt(c.demand.variance[i]+e.demand.variance[i]) > limit {
			return false
		}
	}
	return true
}

// raiseMargin widens the memory margin after preemptions, which lowers the risk of
// overflow. lowerMargin narrows it slowly with each completed request. The two
// balance at the target rate. The margin is a fraction of memory rather than a
// number of standard deviations, because overflow is mostly caused by the next few
// hundred tokens of the batch, where nearly all executions still run and the
// variance of their lengths hardly matters.
func (c *Controller) raiseMargin(n int) {
	c.margin = min(c.cfg.MaxMargin, c.margin+marginStep*float64(n))
}

// lowerMargin narrows the memory margin after a completed request.
func (c *Controller) lowerMargin() {
	c.margin = max(c.cfg.MinMargin, c.margin-marginStep*c.cfg.TargetPreemptions)
}

// negligibleBlocks is the expected demand below which an execution is ignored.
const negligibleBlocks = 0.5

// marginStep is the change of the margin per preemption, as a fraction of memory.
const marginStep = 0.004

// expectedLength returns the mean length of the response to a new request.
func (c *Controller) expectedLength(e *execution) float64 {
	mean, _ := e.dist.Residual(0)
	if e.MaxTokens > 0 {
		mean = min(mean, float64(e.MaxTokens))
	}
	return max(1, mean)
}
