package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/engine"
	"github.com/go-chi/chi/v5"
)

// maxBufferedTokens limits the tokens that are buffered for a slow reader. The
// sequence generates no tokens while the buffer is full.
const maxBufferedTokens = 256

// maxCacheEvents limits the cache events that can be read. Older ones are dropped.
const maxCacheEvents = 1024

// sequence is one generation in the engine.
type sequence struct {
	id           string
	generation   string
	priority     int
	promptTokens int
	nextIndex    uint64
	// targetTokens is the total length of the answer.
	targetTokens uint64
	trace        bool
	// stallAt is the index of the token at which the sequence stalls: it generates
	// neither that token nor later ones. Zero means that it does not stall.
	stallAt uint64
	// comments is set if the stream sends comments between its events.
	comments bool
	// arrival orders sequences of the same priority by age.
	arrival     uint64
	running     bool
	events      chan engine.Event
	removed     chan struct{}
	preemptions int
}

// blocks returns the memory blocks that the sequence needs for its next token.
func (q *sequence) blocks(blockTokens int) int {
	return (q.promptTokens + int(q.nextIndex) + blockTokens) / blockTokens
}

// loadSample is the load at a time.
type loadSample struct {
	at   time.Time
	load engine.Load
}

// timedCacheEvent is a cache event with its time.
type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// batch is the engine's continuous batch and its memory.
type batch struct {
	options Options
	done    chan struct{}

	mu                 sync.Mutex
	stopped            bool
	sequences          map[string]*sequence
	arrivals           uint64
	preemptions        int
	loadSamples        []loadSample
	cacheEvents        []timedCacheEvent
	cacheEventSequence uint64
}

func newBatch(options Options) *batch {
	return &batch{options: options, done: make(chan struct{}), sequences: map[string]*sequence{}}
}

// run generates tokens at the configured interval until stop is called.
func (b *batch) run() {
	ticker := time.NewTicker(b.options.TokenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.done:
			return
		case now := <-ticker.C:
			b.step(now)
		}
	}
}

func (b *batch) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.stopped = true
	close(b.done)
}

// add adds a sequence. It returns false if the batch is stopped or the ID is in use.
func (b *batch) add(q *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || b.sequences[q.id] != nil {
		return false
	}
	b.arrivals++
	q.arrival = b.arrivals
	b.sequences[q.id] = q
	return true
}

func (b *batch) remove(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, ok := b.sequences[id]
	if !ok {
		return false
	}
	delete(b.sequences, id)
	close(q.removed)
	return true
}

// removeSequence ends a sequence, but not another one that was resumed with the
// same ID meanwhile.
func (b *batch) removeSequence(q *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sequences[q.id] == q {
		delete(b.sequences, q.id)
		close(q.removed)
	}
}

// step admits waiting sequences, preempts those that no longer fit, and generates
// one token for each running one.
func (b *batch) step(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sequences := b.byPriority()
	free := b.options.MemoryBlocks
	running := 0
	for _, q := range sequences {
		need := q.blocks(b.options.BlockTokens)
		if running < b.options.MaxBatch && need <= free {
			free -= need
			running++
			if !q.running {
				q.running = true
				b.recordCacheEvent(now, q.id, true)
			}
			b.generateToken(q)
			continue
		}
		if q.running {
			q.running = false
			q.preemptions++
			b.preemptions++
			b.recordCacheEvent(now, q.id, false)
			q.trySend(engine.Event{Generation: q.generation, Index: q.nextIndex, Preempted: true})
		}
	}
	b.recordLoad(now, running, len(sequences)-running, free)
}

// byPriority returns the sequences sorted by priority, then by age.
func (b *batch) byPriority() []*sequence {
	list := make([]*sequence, 0, len(b.sequences))
	for _, q := range b.sequences {
		list = append(list, q)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].priority != list[j].priority {
			return list[i].priority > list[j].priority
		}
		return list[i].arrival < list[j].arrival
	})
	return list
}

// trySend delivers an event, unless the buffer is full.
func (q *sequence) trySend(e engine.Event) bool {
	select {
	case q.events <- e:
		return true
	default:
		return false
	}
}

// generateToken generates the next token of a sequence.
func (b *batch) generateToken(q *sequence) {
	if q.stallAt > 0 && q.nextIndex >= q.stallAt {
		return
	}
	e := engine.Event{Generation: q.generation, Index: q.nextIndex, HasToken: true}
	e.Token.Text = tokenText(q.generation, q.nextIndex, q.trace)
	if q.nextIndex+1 >= q.targetTokens {
		e.FinishReason = "stop"
	}
	if !q.trySend(e) {
		return
	}
	q.nextIndex++
	if e.FinishReason != "" {
		delete(b.sequences, q.id)
		close(q.removed)
	}
}

// recordCacheEvent records a cache event, or drops it as configured.
func (b *batch) recordCacheEvent(now time.Time, prefix string, stored bool) {
	b.cacheEventSequence++
	if n := b.options.DropEventEvery; n > 0 && b.cacheEventSequence%uint64(n) == 0 {
		return
	}
	b.cacheEvents = append(b.cacheEvents, timedCacheEvent{
		now, engine.CacheEvent{Sequence: b.cacheEventSequence, Prefix: prefix, Stored: stored},
	})
	if len(b.cacheEvents) > maxCacheEvents {
		b.cacheEvents = b.cacheEvents[len(b.cacheEvents)-maxCacheEvents:]
	}
}

// recordLoad records a load sample.
func (b *batch) recordLoad(now time.Time, running, waiting, free int) {
	requests := int(b.arrivals)
	load := engine.Load{
		Running: running, Waiting: waiting, FreeBlocks: free, TotalBlocks: b.options.MemoryBlocks,
		BlockTokens: b.options.BlockTokens, Preemptions: b.preemptions, Requests: &requests,
	}
	b.loadSamples = append(b.loadSamples, loadSample{now, load})
	// Keep the newest sample that is at least LoadLag old and all later ones.
	for len(b.loadSamples) > 1 && now.Sub(b.loadSamples[1].at) >= b.options.LoadLag {
		b.loadSamples = b.loadSamples[1:]
	}
}

func (b *batch) handleLoad(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	load := engine.Load{
		FreeBlocks: b.options.MemoryBlocks, TotalBlocks: b.options.MemoryBlocks, BlockTokens: b.options.BlockTokens,
		Requests: new(int),
	}
	if len(b.loadSamples) > 0 {
		load = b.loadSamples[0].load
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

func (b *batch) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !b.remove(chi.URLParam(r, "id")) {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such request"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"cancelled": true})
}

func (b *batch) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	visibleBefore := time.Now().Add(-b.options.EventDelay)
	events := []engine.CacheEvent{}
	b.mu.Lock()
	for _, e := range b.cacheEvents {
		if e.event.Sequence > since && !e.at.After(visibleBefore) {
			events = append(events, e.event)
		}
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
