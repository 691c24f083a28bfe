package streamend

import "time"

const (
	// maxEventRate is the rate of events per second that no generation exceeds.
	maxEventRate = 200
	// rateTolerance is how many times as fast as at any later time a generation may have been at first.
	rateTolerance = 2
)

// listing tells how a run was listed since it came to the server.
type listing struct {
	at     time.Duration
	events int
	// first is the first number of events above 0, listed at firstAt. The status before it was requested at
	// previousAt, -1 if it is from another process.
	first               int
	firstAt, previousAt time.Duration
	// rate is the highest rate of events per second between two statuses after firstAt.
	rate float64
}

// next returns the listing with another status. The status before it was requested at previousAt.
func (l listing) next(at time.Duration, events int, previousAt time.Duration) listing {
	switch {
	case l.first == 0 && events > 0:
		l.first, l.firstAt, l.previousAt = events, at, previousAt
	case l.first > 0 && at > l.at:
		l.rate = max(l.rate, float64(events-l.events)/(at-l.at).Seconds())
	}
	l.at, l.events = at, events
	return l
}

// lacksEvents reports whether the server made events that did not arrive, or may have. A server may count the events that
// the caller had before its request or not. It certainly counts them if it listed as many before it can have made as many.
func (l listing) lacksEvents(q Question) bool {
	if l.events <= q.Events {
		return false
	}
	return l.events > q.Events+q.CallerEvents || !l.countsCallerEvents(q)
}

func (l listing) countsCallerEvents(q Question) bool {
	if q.CallerEvents == 0 || l.first < q.EventsBefore+q.CallerEvents {
		return false
	}
	rate := float64(maxEventRate)
	if l.rate > 0 {
		rate = min(rate, rateTolerance*l.rate)
	}
	began := max(l.previousAt, q.SentAt-q.SentSlack)
	return float64(l.first-q.EventsBefore) > rate*(l.firstAt-began).Seconds()
}
