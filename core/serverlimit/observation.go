package serverlimit

import "time"

// Observation is the newest known statement of a backend server, with the time
// since boot, on the host that holds it, at which the request was sent and the
// response received. The server made the statement between the two.
type Observation struct {
	Limited            bool
	PerSecond          float64
	SentAt, ReceivedAt time.Duration
}

// Merge returns the observation that holds after both are known, and whether it
// differs from old in what it says. Responses overtake each other: of two whose
// times overlap, either may be the newer one, and the stricter holds until the
// next response decides.
func (old Observation) Merge(o Observation) (merged Observation, changed bool) {
	same := old.Limited == o.Limited && old.PerSecond == o.PerSecond
	switch {
	case same:
		old.SentAt, old.ReceivedAt = max(old.SentAt, o.SentAt), max(old.ReceivedAt, o.ReceivedAt)
		return old, false
	case o.SentAt >= old.ReceivedAt || o.ReceivedAt > old.SentAt && o.stricterThan(old):
		return o, true
	}
	return old, false
}

func (o Observation) stricterThan(other Observation) bool {
	if o.Limited && other.Limited {
		return o.PerSecond < other.PerSecond
	}
	return o.Limited
}

// Age is an Observation with ages instead of times, for messages between hosts.
type Age struct {
	Limited              bool
	PerSecond            float64
	SentAgo, ReceivedAgo time.Duration
}

// Age converts the times to ages at now.
func (o Observation) Age(now time.Duration) Age {
	return Age{Limited: o.Limited, PerSecond: o.PerSecond, SentAgo: now - o.SentAt, ReceivedAgo: now - o.ReceivedAt}
}

// At converts the ages to times, for a message that was made at now.
func (a Age) At(now time.Duration) Observation {
	return Observation{Limited: a.Limited, PerSecond: a.PerSecond, SentAt: now - a.SentAgo, ReceivedAt: now - a.ReceivedAgo}
}
