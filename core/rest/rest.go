// Package rest keeps the rests that backend servers ask an entry for: for how long they want
// no requests from it. It is a state machine without goroutines, clock or I/O.
package rest

import "time"

const (
	// MaxRest limits a rest, so that a faulty value does not keep a server out of use for
	// good.
	MaxRest = time.Hour
	// sameMoment is the time within which answers on different connections may have been
	// made in another order than they arrive in. The longest rest of them holds. A later
	// answer replaces the rest, also by a shorter one.
	sameMoment = 500 * time.Millisecond
	// rampTime is the time after a rest in which requests are admitted gradually.
	rampTime = time.Second
	// rampBase, rampLinear and rampSquare are the coefficients of the number of requests
	// that are admitted by a time in seconds after a rest.
	rampBase, rampLinear, rampSquare = 1, 10, 40
	// returnSpread is the time after the end of the first rest over which refused callers
	// return.
	returnSpread = time.Second
)

// server is a server that rests or rested lately.
type server struct {
	askedAt, until time.Duration
	// admitted is the number of requests since the end of the rest.
	admitted int
}

// Table holds the rests of all servers. It is not safe for concurrent use.
type Table struct{ servers map[string]*server }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*server{}} }

// Ask records that a server asked for rest, and returns whether it rested already. A
// duration that is not positive asks for none.
func (t *Table) Ask(now time.Duration, id string, duration time.Duration) (rested bool) {
	if duration <= 0 {
		return t.Resting(now, id)
	}
	until := now + min(duration, MaxRest)
	s := t.servers[id]
	rested = s != nil && now < s.until
	if rested && now-s.askedAt < sameMoment {
		until = max(until, s.until)
	}
	t.servers[id] = &server{askedAt: now, until: until}
	return rested
}

// Resting reports whether a server rests.
func (t *Table) Resting(now time.Duration, id string) bool {
	s := t.servers[id]
	return s != nil && now < s.until
}

// Admit reports whether a server may get a request now, and counts it.
func (t *Table) Admit(now time.Duration, id string) bool {
	s := t.servers[id]
	if s == nil {
		return true
	}
	if !s.admits(now) {
		return false
	}
	s.admitted++
	if now-s.until >= rampTime {
		delete(t.servers, id)
	}
	return true
}

// admits reports whether the server may get a request now.
func (s *server) admits(now time.Duration) bool {
	since := (now - s.until).Seconds()
	return since >= 0 && (since >= rampTime.Seconds() ||
		float64(s.admitted) < rampBase+rampLinear*since+rampSquare*since*since)
}

// Waiting returns the servers that can not get a request now.
func (t *Table) Waiting(now time.Duration) []string {
	var ids []string
	for id, s := range t.servers {
		if !s.admits(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RetryAfter returns when a caller should return that was refused because these servers
// can not get a request. Jitter in [0, 1) spreads callers over the time after the first
// rest ends. It returns 0 if none of the servers waits.
func (t *Table) RetryAfter(now time.Duration, ids []string, jitter float64) time.Duration {
	var first time.Duration
	for _, id := range ids {
		if s := t.servers[id]; s != nil && !s.admits(now) {
			if wait := max(s.until-now, 0) + time.Duration(jitter*float64(returnSpread)); first == 0 || wait < first {
				first = max(wait, time.Millisecond)
			}
		}
	}
	return first
}

// Retain forgets the servers that are not listed.
func (t *Table) Retain(listed func(id string) bool) {
	for id := range t.servers {
		if !listed(id) {
			delete(t.servers, id)
		}
	}
}
