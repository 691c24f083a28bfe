package policy

import "time"

// engineConfig is the cost and memory model of an engine.
type engineConfig struct {
	blocks, blockTokens, maxBatch int
	// prefillBudget is the maximum number of prompt tokens computed in one step.
	prefillBudget int
	// cachedPrefixes is the capacity of the prefix cache in prompt prefixes.
	cachedPrefixes int
	// The duration of a step is base + perSequence·batch +
	// perPrefillToken·prefill tokens + perBlock·used blocks.
	base, perSequence, perPrefillToken, perBlock time.Duration
}

// generationEngine models a memory-constrained engine: about 20 long sequences
// exhaust its memory, long before the batch limit.
var generationEngine = engineConfig{
	blocks: 4096, blockTokens: 16, maxBatch: 64, prefillBudget: 2048, cachedPrefixes: 6,
	base: 18 * time.Millisecond, perSequence: 250 * time.Microsecond,
	perPrefillToken: 30 * time.Microsecond, perBlock: 1500 * time.Nanosecond,
}

// plainEngine models a replica of a plain service with 2 workers. One unit of
// work takes one step of 50 ms.
var plainEngine = engineConfig{
	blocks: 1 << 20, blockTokens: 16, maxBatch: 2, prefillBudget: 1 << 20, base: 50 * time.Millisecond,
}

// sequence is the state of a request in an engine.
type sequence struct {
	request   *request
	priority  int
	order     int
	generated int
	blocks    int
	// prefillLeft is the number of context tokens to compute before the next
	// token is generated. -1 marks a context that the current step completed.
	prefillLeft int
	// resumed is true from a pause until the first token after it.
	resumed bool
}

func (s *sequence) context() int { return s.request.promptTokens + s.generated }

// engine simulates a model engine with continuous batching on virtual time. When
// its memory is full, it preempts sequences and recomputes their contexts later.
type engine struct {
	cfg        engineConfig
	freeBlocks int
	running    []*sequence
	waiting    []*sequence
	order      int
	// slowdown multiplies the duration of each step.
	slowdown float64
	// prefixes holds the keys of the prefix cache, least recently used first.
	prefixes []string
	// preemptions counts the preemptions by the engine itself.
	preemptions int
	// emitting holds the sequences that deliver a token at the end of the step.
	emitting []*sequence
	// onPreempt is called for each sequence that the engine preempts.
	onPreempt func(*sequence)
}

func newEngine(cfg engineConfig) *engine {
	return &engine{cfg: cfg, freeBlocks: cfg.blocks, slowdown: 1}
}

func (e *engine) blocksFor(tokens int) int {
	return (tokens + e.cfg.blockTokens - 1) / e.cfg.blockTokens
}

// submit queues a sequence by priority, then by order of submission.
func (e *engine) submit(s *sequence) {
	e.order++
	s.order = e.order
	e.enqueue(s)
}

func (e *engine) enqueue(s *sequence) {
	i := len(e.waiting)
	for i > 0 && sequenceBefore(s, e.waiting[i-1]) {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
}

func sequenceBefore(a, b *sequence) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.order < b.order
}

// remove removes a running or waiting sequence and frees its memory.
func (e *engine) remove(s *sequence) {
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.freeBlocks += s.blocks
			s.blocks = 0
			return
		}
	}
	for i, other := range e.waiting {
		if other == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// idle tells whether a step would do nothing.
func (e *engine) idle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// step starts one step and returns its duration. At its end each sequence in
// e.emitting delivers a token.
func (e *engine) step() time.Duration {
	e.admit()
	e.emitting = e.emitting[:0]
	prefill := e.prefill()
	e.decode()
	batch := len(e.running)
	d := e.cfg.base + time.Duration(batch)*e.cfg.perSequence +
		time.Duration(prefill)*e.cfg.perPrefillToken +
		time.Duration(e.cfg.blocks-e.freeBlocks)*e.cfg.perBlock
	return time.Duration(float64(d) * e.slowdown)
}

// admit moves waiting sequences into the batch while their current context fits
// into memory. A small watermark reserves blocks for the next tokens of the batch.
func (e *engine) admit() {
	watermark := e.cfg.blocks / 100
	for len(e.waiting) > 0 && len(e.running) < e.cfg.maxBatch {
		s := e.waiting[0]
		need := e.blocksFor(s.context() + 1)
		if need > e.freeBlocks-watermark && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.freeBlocks -= need
		s.blocks = need
		s.prefillLeft = max(1, s.context()-e.cachedPrefix(s.request))
		e.running = append(e.running, s)
	}
}

// prefill computes pending contexts within the budget of one step and returns
// the number of computed tokens.
func (e *engine) prefill() int {
	budget := e.cfg.prefillBudget
	for _, s := range e.running {
		if s.prefillLeft == 0 || budget == 0 {
			continue
		}
		n := min(budget, s.prefillLeft)
		budget -= n
		s.prefillLeft -= n
		if s.prefillLeft == 0 {
			s.prefillLeft = -1
		}
	}
	return e.cfg.prefillBudget - budget
}

// decode generates one token for each sequence with a computed context. If a
// token needs a block and none is free, the engine preempts the sequence with the
// lowest priority, and among those the one submitted last.
func (e *engine) decode() {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		if s.prefillLeft > 0 {
			continue
		}
		if e.blocksFor(s.context()+1) > s.blocks {
			for e.freeBlocks == 0 {
				v := e.victim()
				i -= e.preempt(v, i)
				if v == s {
					break
				}
			}
			if s.blocks == 0 {
				continue
			}
			e.freeBlocks--
			s.blocks++
		}
		s.prefillLeft = 0
		e.emitting = append(e.emitting, s)
	}
}

func (e *engine) victim() *sequence {
	v := e.running[0]
	for _, s := range e.running[1:] {
		if sequenceBefore(v, s) {
			v = s
		}
	}
	return v
}

// preempt removes v from the batch, queues it again and returns by how much
// index i of the batch moves because of the removal.
func (e *engine) preempt(v *sequence, i int) int {
	shift := 0
	for j, s := range e.running {
		if s == v && j <= i {
			shift = 1
		}
	}
	for j, s := range e.emitting {
		if s == v {
			e.emitting = append(e.emitting[:j], e.emitting[j+1:]...)
			break
		}
	}
	e.remove(v)
	e.preemptions++
	e.enqueue(v)
	if e.onPreempt != nil {
		e.onPreempt(v)
	}
	return shift
}

// cachedPrefix returns the number of prompt tokens of r in the prefix cache and
// makes the prefix of r the most recently used.
func (e *engine) cachedPrefix(r *request) int {
	if r.prefixKey == "" || e.cfg.cachedPrefixes == 0 {
		return 0
	}
	hit := 0
	for i, k := range e.prefixes {
		if k == r.prefixKey {
			hit = r.prefixTokens
			e.prefixes = append(e.prefixes[:i], e.prefixes[i+1:]...)
			break
		}
	}
	e.prefixes = append(e.prefixes, r.prefixKey)
	if len(e.prefixes) > e.cfg.cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return hit
}
