package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
)

// engineBlocks is the number of memory blocks of an engine. They suffice for all
// streams of a measurement, so that admission does not affect it.
const engineBlocks = 1 << 24

// pacedBackend is an engine whose streams get a token at each step. All streams
// of an engine have the same steps, like the streams of one batch.
type pacedBackend struct {
	engine.Backend
	origin   time.Time
	interval time.Duration
	// maxTokens ends each stream after that many tokens. Zero means no end.
	maxTokens uint64
	// pauseAfter stops each stream after that many tokens without ending it. Zero
	// means no stop.
	pauseAfter uint64
	emitted    *atomic.Int64
}

// Generate implements engine.Backend.
func (p *pacedBackend) Generate(ctx context.Context, _ engine.Request) (engine.Stream, error) {
	s := &pacedStream{backend: p, ctx: ctx, timer: time.NewTimer(0)}
	s.next = p.origin.Add(time.Since(p.origin).Truncate(p.interval))
	return s, nil
}

// Cancel implements engine.Backend.
func (p *pacedBackend) Cancel(context.Context, string) error { return nil }

// Load implements engine.Backend.
func (p *pacedBackend) Load(context.Context) (engine.Load, error) {
	return engine.Load{FreeBlocks: engineBlocks, TotalBlocks: engineBlocks, BlockTokens: 16}, nil
}

type pacedStream struct {
	backend *pacedBackend
	ctx     context.Context
	timer   *time.Timer
	next    time.Time
	index   uint64
}

var tokenTexts = []string{" the", " season", " plan", " of", " training", " week", " and", " then"}

// Next implements engine.Stream.
func (s *pacedStream) Next() (engine.Event, error) {
	p := s.backend
	if p.maxTokens > 0 && s.index == p.maxTokens {
		return engine.Event{Generation: "g", FinishReason: "stop"}, nil
	}
	if p.pauseAfter > 0 && s.index == p.pauseAfter {
		<-s.ctx.Done()
		return engine.Event{}, s.ctx.Err()
	}
	s.next = s.next.Add(p.interval)
	s.timer.Reset(time.Until(s.next))
	select {
	case <-s.timer.C:
	case <-s.ctx.Done():
		return engine.Event{}, s.ctx.Err()
	}
	e := engine.Event{Generation: "g", Index: s.index, HasToken: true,
		Token: message.Token{Text: tokenTexts[s.index%uint64(len(tokenTexts))]}}
	s.index++
	p.emitted.Add(1)
	return e, nil
}

// Close implements engine.Stream.
func (s *pacedStream) Close() error {
	s.timer.Stop()
	return nil
}
