// Package ring provides a bounded queue that connects goroutines of a daemon.
package ring

import (
	"context"
	"sync"
)

// Queue is a bounded queue for multiple writers and one reader. TryPush fails at once
// on a full queue, which gives backpressure to the writer.
type Queue[T any] struct {
	items     chan T
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity), done: make(chan struct{})}
}

// TryPush adds v without waiting. It returns false if the queue is full or closed.
func (q *Queue[T]) TryPush(v T) bool {
	select {
	case <-q.done:
		return false
	default:
	}
	select {
	case q.items <- v:
		return true
	default:
		return false
	}
}

// Push adds v, and waits while the queue is full. It returns false if the queue is
// closed or ctx ends.
func (q *Queue[T]) Push(ctx context.Context, v T) bool {
	select {
	case <-q.done:
		return false
	default:
	}
	select {
	case q.items <- v:
		return true
	case <-q.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Pop removes and returns an item, and waits while the queue is empty. Items pushed
// before Close are still delivered. It returns false if the queue is closed and empty
// or ctx ends.
func (q *Queue[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case v := <-q.items:
		return v, true
	default:
	}
	select {
	case v := <-q.items:
		return v, true
	case <-q.done:
		return q.TryPop()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop removes and returns an item without waiting. It returns false if the queue is
// empty.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case v := <-q.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the channel of items, for a reader that uses it in a select statement.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cap returns the capacity of the queue.
func (q *Queue[T]) Cap() int { return cap(q.items) }

// Close makes further pushes fail and wakes the reader.
func (q *Queue[T]) Close() { q.closeOnce.Do(func() { close(q.done) }) }
