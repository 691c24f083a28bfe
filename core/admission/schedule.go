package admission

import (
	"math"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// protectedPriorityBoost is added to the engine priority of executions that have
// reached MaxPreemptions, so that the engine does not preempt them either.
const protectedPriorityBoost = 1000

// schedule resumes and starts executions while they fit.
func (c *Controller) schedule(now time.Duration) {
	for {
		maxBand := bandBackground
		if len(c.running) >= c.cfg.MaxBatch-c.cfg.UrgentSlots {
			maxBand = bandUrgent
		}
		if len(c.running) >= c.cfg.MaxBatch {
			return
		}
		// A paused execution that does not fit yet blocks all but urgent requests.
		// Otherwise a stream of new requests would starve it.
		if len(c.paused) > 0 {
			e := c.paused[0]
			if maxBand >= e.band && c.prefillAllowed(e) && c.fits(e) {
				c.resume(now, e)
				continue
			}
			maxBand = bandUrgent
		}
		e := c.queue.next(now, c.cfg.AgingTime, maxBand)
		if e == nil || !c.prefillAllowed(e) {
			return
		}
		if !c.fits(e) {
			// An aged request that does not fit must not block urgent ones.
			if e.band == bandUrgent {
				return
			}
			e = c.queue.next(now, math.MaxInt64, bandUrgent)
			if e == nil || !c.prefillAllowed(e) || !c.fits(e) {
				return
			}
		}
		c.queue.remove(e)
		c.queue.charge(e)
		c.start(now, e, Start)
	}
}

func (c *Controller) resume(now time.Duration, e *execution) {
	c.paused = removeExecution(c.paused, e)
	c.start(now, e, Resume)
}

func (c *Controller) start(now time.Duration, e *execution, kind ActionKind) {
	e.state = running
	e.startedAt = now
	e.prefilling = true
	c.prefills++
	e.prefillTokens = e.PromptTokens + e.generated
	c.prefillTokens += e.prefillTokens
	c.running = append(c.running, e)
	c.usedBlocks += c.blocksHeld(e)
	c.computeDemand(e)
	c.demand.add(&e.demand, 1)
	priority := e.Priority + e.preemptions
	if e.preemptions >= c.cfg.MaxPreemptions {
		priority += protectedPriorityBoost
	}
	c.actions = append(c.actions, Action{Kind: kind, ID: e.ID, Priority: priority})
}

// prefillAllowed reports whether one more prefill may start now. A prompt above
// MaxPrefillTokens runs alone.
func (c *Controller) prefillAllowed(e *execution) bool {
	if c.prefills == 0 {
		return true
	}
	return c.prefills < c.cfg.MaxPrefills &&
		c.prefillTokens+e.PromptTokens+e.generated <= c.cfg.MaxPrefillTokens
}

func (c *Controller) endPrefill(e *execution) {
	if !e.prefilling {
		return
	}
	e.prefilling = false
	c.prefills--
	c.prefillTokens -= e.prefillTokens
}

// stop removes an execution from the batch.
func (c *Controller) stop(e *execution) {
	c.endPrefill(e)
	c.running = removeExecution(c.running, e)
	c.usedBlocks -= c.blocksHeld(e)
	c.demand.add(&e.demand, -1)
	if len(c.running) == 0 {
		c.demand = demandSum{}
		c.usedBlocks = 0
	}
}

// preempt pauses executions before the engine runs out of memory. It keeps half a
// block free per running execution for the growth of the batch until the next
// check.
func (c *Controller) preempt() {
	for c.usedBlocks+c.untrackedBlocks+len(c.running)/2 > c.cfg.TotalBlocks {
		victim := c.victim()
		if victim == nil {
			return
		}
		c.stop(victim)
		victim.state = paused
		victim.preemptions++
		c.raiseMargin(1)
		c.paused = append(c.paused, victim)
		c.actions = append(c.actions, Action{Kind: Pause, ID: victim.ID})
	}
}

// victim selects the execution to preempt: the least urgent one, and among equals
// the youngest, that is neither protected nor near its end. A linear scan is
// sufficient, because the batch size is bounded.
func (c *Controller) victim() *execution {
	var best *execution
	for _, e := range c.running {
		if len(c.running) == 1 || e.preemptions >= c.cfg.MaxPreemptions || c.nearEnd(e) {
			continue
		}
		if best == nil || e.Priority+e.preemptions < best.Priority+best.preemptions ||
			e.Priority+e.preemptions == best.Priority+best.preemptions && e.startedAt >= best.startedAt {
			best = e
		}
	}
	return best
}

func (c *Controller) nearEnd(e *execution) bool {
	if e.MaxTokens > 0 && e.MaxTokens-e.generated <= c.cfg.NearEndTokens {
		return true
	}
	return e.dist.SurvivalAfter(e.generated, c.cfg.NearEndTokens) < 0.5
}

// checkOverload decides whether an arriving request is refused. If the queue is
// full, a less urgent waiting request is evicted instead.
func (c *Controller) checkOverload(now time.Duration, e *execution) (verdict.Reason, time.Duration) {
	if c.queue.size > 0 && c.queueDelay(e.band) > c.cfg.MaxExpectedDelay[e.band] {
		return verdict.ReasonOverloaded, c.retryAfter(e)
	}
	if c.queue.size < c.cfg.MaxWaiting {
		return verdict.ReasonNone, 0
	}
	evicted := c.queue.newestLessUrgent(e.band)
	if evicted == nil {
		return verdict.ReasonQueueFull, c.retryAfter(e)
	}
	c.queue.remove(evicted)
	delete(c.executions, evicted.ID)
	c.refuse(evicted.ID, verdict.ReasonQueueFull, c.retryAfter(evicted))
	return verdict.ReasonNone, 0
}

// queueDelay returns the expected wait of a new request in a band: the backlog of
// its band and of more urgent ones divided by the drain rate. While more than half
// of the memory is free, the queue waits only for prefills, and the backlog that
// fits into free memory and batch slots is not counted. The drain rate is measured
// on the current batch, so a burst at an idle server would otherwise be refused.
func (c *Controller) queueDelay(band int) time.Duration {
	tokens := 0.0
	for b := 0; b <= band; b++ {
		tokens += c.queue.backlogTokens[b]
	}
	if free := c.cfg.TotalBlocks - c.untrackedBlocks - c.reservedBlocks(); free > c.cfg.TotalBlocks/2 && tokens > 0 {
		slots := float64(c.cfg.MaxBatch-len(c.running)) / float64(max(1, c.queue.size))
		tokens -= min(float64(free*c.cfg.BlockTokens), tokens*slots)
	}
	return time.Duration(max(0, tokens) / c.drain.rate() * float64(time.Second))
}

// retryAfter returns the time until the queue is expected to have room, with up to
// a quarter of random jitter so that refused callers do not return at the same
// time.
func (c *Controller) retryAfter(e *execution) time.Duration {
	delay := max(time.Second, c.queueDelay(e.band)-c.cfg.MaxExpectedDelay[e.band]/2)
	return delay + time.Duration(c.rng.Int63n(int64(delay/4)+1))
}

// drainRate measures the number of tokens generated per second.
type drainRate struct {
	perSecond, nominal float64
	windowStart        time.Duration
	tokens             int
}

// drainWindow is the interval over which the rate is measured. drainSmoothing is
// the weight of a new interval in the moving average.
const (
	drainWindow    = time.Second
	drainSmoothing = 0.2
)

func (d *drainRate) add(now time.Duration, n int) {
	d.tokens += n
	d.advance(now, true)
}

// advance ends the interval if it is complete. Idle intervals do not change the
// rate.
func (d *drainRate) advance(now time.Duration, busy bool) {
	if now-d.windowStart < drainWindow {
		return
	}
	if busy {
		d.perSecond += drainSmoothing * (float64(d.tokens)/(now-d.windowStart).Seconds() - d.perSecond)
	}
	d.windowStart, d.tokens = now, 0
}

func (d *drainRate) rate() float64 { return max(d.perSecond, d.nominal/20) }
