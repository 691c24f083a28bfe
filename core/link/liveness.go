package link

import "time"

// Timing of link heartbeats. Three heartbeats may be lost before a link counts
// as silent, so that one delayed packet does not replace a connection.
const (
	HeartbeatInterval = 2 * time.Second
	LivenessTimeout   = 3 * HeartbeatInterval
)

// Liveness tells when a link must send a heartbeat and when it is silent.
type Liveness struct {
	lastSent     time.Time
	lastReceived time.Time
}

// NewLiveness returns the state of a link that opened now.
func NewLiveness(now time.Time) *Liveness { return &Liveness{lastSent: now, lastReceived: now} }

// Sent records that a frame was sent.
func (l *Liveness) Sent(now time.Time) { l.lastSent = now }

// Received records that a frame arrived.
func (l *Liveness) Received(now time.Time) { l.lastReceived = now }

// HeartbeatDue tells whether the link was idle long enough for a heartbeat.
func (l *Liveness) HeartbeatDue(now time.Time) bool {
	return now.Sub(l.lastSent) >= HeartbeatInterval
}

// TimedOut tells whether the link must be replaced.
func (l *Liveness) TimedOut(now time.Time) bool { return now.Sub(l.lastReceived) >= LivenessTimeout }
