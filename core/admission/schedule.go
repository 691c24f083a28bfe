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
func (m *Machine) schedule(now time.Duration) {
	for {
		maxBand := bandBackground
		if len(m.running) >= m.cfg.MaxBatch-m.cfg.UrgentSlots {
			maxBand = bandUrgent
		}
		if len(m.running) >= m.cfg.MaxBatch {
			return
		}
		// A paused execution that does not fit yet blocks all but urgent requests.
		// Otherwise a stream of new requests would starve it.
		if len(m.paused) > 0 {
			e := m.paused[0]
			if maxBand >= e.band && m.prefillAllowed(e) && m.fits(e) {
				m.resume(now, e)
				continue
			}
			maxBand = bandUrgent
		}
		e := m.queue.next(now, m.cfg.AgingTime, maxBand)
		if e == nil || !m.prefillAllowed(e) {
			return
		}
		if !m.fits(e) {
			// An aged request that does not fit must not block urgent ones.
			if e.band == bandUrgent {
				return
			}
			e = m.queue.next(now, math.MaxInt64, bandUrgent)
			if e == nil || !m.prefillAllowed(e) || !m.fits(e) {
				return
			}
		}
		m.queue.remove(e)
		m.queue.charge(e)
		m.start(now, e, Start)
	}
}

func (m *Machine) resume(now time.Duration, e *execution) {
	m.paused = removeExecution(m.paused, e)
	m.start(now, e, Resume)
}

func (m *Machine) start(now time.Duration, e *execution, kind ActionKind) {
	e.state = running
	e.startedAt = now
	e.prefilling = true
	m.prefills++
	e.prefillTokens = e.PromptTokens + e.generated
	m.prefillTokens += e.prefillTokens
	m.running = append(m.running, e)
	m.usedBlocks += m.blocksHeld(e)
	m.computeDemand(e)
	m.demand.add(&e.demand, 1)
	priority := e.Priority + e.preemptions
	if e.preemptions >= m.cfg.MaxPreemptions {
		priority += protectedPriorityBoost
	}
	m.actions = append(m.actions, Action{Kind: kind, ID: e.ID, Priority: priority})
}

// prefillAllowed reports whether one more prefill may start now. A prompt above
// MaxPrefillTokens runs alone.
func (m *Machine) prefillAllowed(e *execution) bool {
	if m.prefills == 0 {
		return true
	}
	return m.prefills < m.cfg.MaxPrefills &&
		m.prefillTokens+e.PromptTokens+e.generated <= m.cfg.MaxPrefillTokens
}

func (m *Machine) endPrefill(e *execution) {
	if !e.prefilling {
		return
	}
	e.prefilling = false
	m.prefills--
	m.prefillTokens -= e.prefillTokens
}

// stop removes an execution from the batch.
func (m *Machine) stop(e *execution) {
	m.endPrefill(e)
	m.running = removeExecution(m.running, e)
	m.usedBlocks -= m.blocksHeld(e)
	m.demand.add(&e.demand, -1)
	if len(m.running) == 0 {
		m.demand = demandSum{}
		m.usedBlocks = 0
	}
}

// preempt pauses executions before the engine runs out of memory. It keeps half a
// block free per running execution for the growth of the batch until the next
// check.
func (m *Machine) preempt() {
	for m.usedBlocks+m.untrackedBlocks+len(m.running)/2 > m.cfg.TotalBlocks {
		victim := m.victim()
		if victim == nil {
			return
		}
		m.stop(victim)
		victim.state = paused
		victim.preemptions++
		m.raiseMargin(1)
		m.paused = append(m.paused, victim)
		m.actions = append(m.actions, Action{Kind: Pause, ID: victim.ID})
	}
}

// victim selects the execution to preempt: the least urgent one, and among equals
// the youngest, that is neither protected nor near its end. A linear scan is
// sufficient, because the batch size is bounded.
func (m *Machine) victim() *execution {
	var best *execution
	for _, e := range m.running {
		if len(m.running) == 1 || e.preemptions >= m.cfg.MaxPreemptions || m.nearEnd(e) {
			continue
		}
		if best == nil || e.Priority+e.preemptions < best.Priority+best.preemptions ||
			e.Priority+e.preemptions == best.Priority+best.preemptions && e.startedAt >= best.startedAt {
			best = e
		}
	}
	return best
}

func (m *Machine) nearEnd(e *execution) bool {
	if e.MaxTokens > 0 && e.MaxTokens-e.generated <= m.cfg.NearEndTokens {
		return true
	}
	return e.dist.SurvivalAfter(e.generated, m.cfg.NearEndTokens) < 0.5
}

// checkOverload decides whether an arriving request is refused. If the queue is
// full, a less urgent waiting request is evicted instead.
func (m *Machine) checkOverload(now time.Duration, e *execution) (verdict.Reason, time.Duration) {
	if m.queue.size > 0 && m.queueDelay(e.band) > m.cfg.MaxExpectedDelay[e.band] {
		return verdict.ReasonOverloaded, m.retryAfter(e)
	}
	if m.queue.size < m.cfg.MaxWaiting {
		return verdict.ReasonNone, 0
	}
	evicted := m.queue.newestLessUrgent(e.band)
	if evicted == nil {
		return verdict.ReasonQueueFull, m.retryAfter(e)
	}
	m.queue.remove(evicted)
	delete(m.executions, evicted.ID)
	m.refuse(evicted.ID, verdict.ReasonQueueFull, m.retryAfter(evicted))
	return verdict.ReasonNone, 0
}

// queueDelay returns the expected wait of a new request in a band: the backlog of
// its band and of more urgent ones divided by the drain rate. While more than half
// of the memory is free, the queue waits only for prefills, and the backlog that
// fits into free memory and batch slots is not counted. The drain rate is measured
// on the current batch, so a burst at an idle server would otherwise be refused.
func (m *Machine) queueDelay(band int) time.Duration {
	tokens := 0.0
	for b := 0; b <= band; b++ {
		tokens += m.queue.backlogTokens[b]
	}
	if free := m.cfg.TotalBlocks - m.untrackedBlocks - m.reservedBlocks(); free > m.cfg.TotalBlocks/2 && tokens > 0 {
		slots := float64(m.cfg.MaxBatch-len(m.running)) / float64(max(1, m.queue.size))
		tokens -= min(float64(free*m.cfg.BlockTokens), tokens*slots)
	}
	return time.Duration(max(0, tokens) / m.drain.rate() * float64(time.Second))
}

// retryAfter returns the time until the queue is expected to have room, with up to
// a quarter of random jitter so that refused callers do not return at the same
// time.
func (m *Machine) retryAfter(e *execution) time.Duration {
	delay := max(time.Second, m.queueDelay(e.band)-m.cfg.MaxExpectedDelay[e.band]/2)
	return delay + time.Duration(m.rng.Int63n(int64(delay/4)+1))
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
