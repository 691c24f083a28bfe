package agent

import (
	"sync/atomic"
	"time"
)

// idleTimer ends a stream that delivers no event for the timeout. It is paused
// while the agent itself does not read the stream.
type idleTimer struct {
	timeout   time.Duration
	timer     *time.Timer
	lastEvent atomic.Int64
	expired   atomic.Bool
}

// newIdleTimer returns a started timer that calls onTimeout when the stream has
// been idle for the timeout. An event only stores its time, which is compared when
// the timer fires, so that events need no timer operation.
func newIdleTimer(timeout time.Duration, onTimeout func()) *idleTimer {
	t := &idleTimer{timeout: timeout}
	t.pause()
	t.timer = time.AfterFunc(time.Hour, func() { t.check(onTimeout) })
	t.reset()
	t.timer.Reset(timeout)
	return t
}

func (t *idleTimer) check(onTimeout func()) {
	idle := time.Duration(time.Now().UnixNano() - t.lastEvent.Load())
	if idle >= t.timeout {
		t.expired.Store(true)
		onTimeout()
		return
	}
	t.timer.Reset(t.timeout - idle)
}

// reset records an event.
func (t *idleTimer) reset() { t.lastEvent.Store(time.Now().UnixNano()) }

// pause delays the timeout by a day, until reset is called.
func (t *idleTimer) pause() { t.lastEvent.Store(time.Now().Add(24 * time.Hour).UnixNano()) }

// fired reports whether the timeout has expired.
func (t *idleTimer) fired() bool { return t.expired.Load() }

func (t *idleTimer) stop() { t.timer.Stop() }
