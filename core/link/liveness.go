package link

import "time"

// Timing of link heartbeats. A link times out after three heartbeat intervals
// without a frame, so that one delayed packet does not cause a reconnect.
const (
	HeartbeatInterval = 2 * time.Second
	LivenessTimeout   = 3 * HeartbeatInterval
)

// Liveness tracks when a link must send a heartbeat and when it has timed out.
type Liveness struct {
	lastSent     time.Time
	lastReceived time.Time
}

// NewLiveness returns the state of a link that was opened at now.
func NewLiveness(now time.Time) *Liveness { return &Liveness{lastSent: now, lastReceived: now} }

// Sent records that a frame was sent.
func (l *Liveness) Sent(now time.Time) { l.lastSent = now }

// Received records that a frame arrived.
func (l *Liveness) Received(now time.Time) { l.lastReceived = now }

// HeartbeatDue reports whether the link has sent nothing for HeartbeatInterval.
func (l *Liveness) HeartbeatDue(now time.Time) bool {
	return now.Sub(l.lastSent) >= HeartbeatInterval
}

// TimedOut reports whether the link has received nothing for LivenessTimeout and
// must be replaced.
func (l *Liveness) TimedOut(now time.Time) bool { return now.Sub(l.lastReceived) >= LivenessTimeout }
