package netlimit

import (
	"sync"
	"time"
)

// Phase is what a connection is used for.
type Phase int

// Phases of a connection, in the order in which they are given up for a new connection.
const (
	// Fresh connections have not sent a whole head or frame yet.
	Fresh Phase = iota
	// Idle connections have no request in progress.
	Idle
	// Receiving connections have a request that is not complete.
	Receiving
	// Busy connections have a request that is being served. They are not given up.
	Busy
)

// Conns bounds the connections of a listener. It is safe for concurrent use.
type Conns struct {
	mu    sync.Mutex
	max   int
	conns map[*Conn]struct{}
	// ending is the number of connections that are about to end.
	ending int
}

// Conn is a connection that is counted.
type Conn struct {
	conns *Conns
	phase Phase
	since time.Time
	// end closes the connection, or answers and closes it.
	end func()
	// ending is set while a client is answered that was still sending, or for which there is no room.
	ending bool
	// refused is set for a connection for which there is no room.
	refused bool
}

// refusalShare is the share of connections above the bound that are answered that there is no room.
const refusalShare = 8

// NewConns returns a bound of max connections.
func NewConns(max int) *Conns { return &Conns{max: max, conns: map[*Conn]struct{}{}} }

// Admission is the outcome of Add.
type Admission int

// Outcomes of Add.
const (
	// Admitted means that the connection is served.
	Admitted Admission = iota
	// Displacing means that it is served and another one was ended for it.
	Displacing
	// NoRoom means that it can only be answered that there is no room.
	NoRoom
	// Overrun means that it must be closed at once.
	Overrun
)

// Add counts a connection in the phase Fresh. Beyond the bound it ends the connection that is least
// worth keeping: of the lowest phase, the one that has been in it for the longest time.
func (c *Conns) Add(end func()) (*Conn, Admission) {
	c.mu.Lock()
	added := &Conn{conns: c, since: time.Now(), end: end}
	admission, victims := c.admit()
	ends := make([]func(), 0, len(victims))
	for _, victim := range victims {
		ends = append(ends, victim.end)
	}
	if admission != Overrun {
		c.conns[added] = struct{}{}
		added.refused = admission == NoRoom
		c.setEnding(added, added.refused)
	}
	c.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return added, admission
}

// admit decides about one more connection, and returns those to end for it. There are several if
// clients that were refused are still being answered.
func (c *Conns) admit() (admission Admission, victims []*Conn) {
	for len(c.conns) >= c.max {
		victim := c.choose()
		switch {
		case victim != nil && victim.phase < Receiving:
			// It is closed at once.
			c.remove(victim)
			admission, victims = Displacing, append(victims, victim)
			continue
		case len(c.conns) >= c.max+max(1, c.max/refusalShare):
			oldest := c.oldestRefused()
			if oldest == nil {
				return Overrun, victims
			}
			c.remove(oldest)
			victims = append(victims, oldest)
			continue
		case len(c.conns)-c.ending < c.max:
			return admission, victims
		case victim != nil:
			c.setEnding(victim, true)
			return Displacing, append(victims, victim)
		}
		return NoRoom, victims
	}
	return admission, victims
}

// sampleSize is the number of connections among which the worst is chosen, so that a crowd does not
// make accepting slow. Iterating over a map begins at a random place.
const sampleSize = 256

// choose returns the connection that is least worth keeping of those that it looks at, nil if no
// connection may be ended.
func (c *Conns) choose() (victim *Conn) {
	seen := 0
	for conn := range c.conns {
		if seen++; seen > sampleSize && victim != nil {
			break
		}
		if conn.ending || conn.phase == Busy {
			continue
		}
		if victim == nil || conn.phase < victim.phase || conn.phase == victim.phase && conn.since.Before(victim.since) {
			victim = conn
		}
	}
	return victim
}

// oldestRefused returns the connection without room that waits for longest, nil if there is none.
func (c *Conns) oldestRefused() (oldest *Conn) {
	for conn := range c.conns {
		if conn.refused && (oldest == nil || conn.since.Before(oldest.since)) {
			oldest = conn
		}
	}
	return oldest
}

// setEnding changes whether a connection counts as about to end.
func (c *Conns) setEnding(conn *Conn, ending bool) {
	if _, ok := c.conns[conn]; !ok || conn.ending == ending {
		return
	}
	conn.ending = ending
	if ending {
		c.ending++
	} else {
		c.ending--
	}
}

// remove stops counting a connection.
func (c *Conns) remove(conn *Conn) {
	c.setEnding(conn, false)
	delete(c.conns, conn)
}

// Count returns the number of connections.
func (c *Conns) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Set changes the phase of a connection.
func (c *Conn) Set(phase Phase) {
	c.conns.mu.Lock()
	c.phase, c.since = phase, time.Now()
	c.conns.setEnding(c, false)
	c.conns.mu.Unlock()
}

// Serve changes the phase to Busy, unless the connection was chosen to be given up.
func (c *Conn) Serve() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.ending {
		return false
	}
	c.phase, c.since = Busy, time.Now()
	return true
}

// SetEnd changes how the connection is ended.
func (c *Conn) SetEnd(end func()) {
	c.conns.mu.Lock()
	c.end = end
	c.conns.mu.Unlock()
}

// Remove stops counting the connection. It may be called again.
func (c *Conn) Remove() {
	c.conns.mu.Lock()
	c.conns.remove(c)
	c.conns.mu.Unlock()
}
