// Package ring provides the bounded queue that joins the goroutines of a
// daemon.
package ring

import (
	"context"
	"sync"
)

// Queue is a bounded queue for many writers and one reader. A full ring refuses
// at once, so that backpressure reaches the writer.
type Queue[T any] struct {
	items  chan T
	done   chan struct{}
	closed sync.Once
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity), done: make(chan struct{})}
}

// TryPush adds v and reports whether there was room. A closed ring has none.
func (r *Queue[T]) TryPush(v T) bool {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Push waits for room. It returns false when the ring closed or ctx ended.
func (r *Queue[T]) Push(ctx context.Context, v T) bool {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.items <- v:
		return true
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Pop waits for an item. Items pushed before Close are still delivered.
func (r *Queue[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
	}
	select {
	case v := <-r.items:
		return v, true
	case <-r.done:
		return r.TryPop()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop takes an item without waiting.
func (r *Queue[T]) TryPop() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the channel of items, for a reader that selects among several
// sources.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Queue[T]) Len() int { return len(r.items) }

// Cap returns the capacity.
func (r *Queue[T]) Cap() int { return cap(r.items) }

// Close refuses further items and wakes the reader.
func (r *Queue[T]) Close() { r.closed.Do(func() { close(r.done) }) }
