package gateway

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// connectionShare is the fraction of the budget that connections may use, which are closed
	// to make room before requests in progress are refused.
	connectionShare = 0.25
	// descriptorShare is the fraction of the process's descriptors for connections from callers.
	// A request in progress needs another one for its connection to a server.
	descriptorShare = 0.4
	// closingShare is the fraction of the bound by which connections that were chosen to be
	// closed may exceed it until they are.
	closingShare = 0.125
	// maxRefusing bounds the connections that are refused with an answer at the same time.
	maxRefusing = 64
)

// maxConnections returns the bound on connections from callers for a budget and a number of
// descriptors, 0 for the limit of the process.
func maxConnections(budget int64, descriptors uint64) int {
	bound := int64(float64(budget) * connectionShare / connectionBytes)
	if descriptors == 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
			return int(bound)
		}
		descriptors = limit.Cur
	}
	return int(max(1, min(bound, int64(descriptorShare*float64(min(descriptors, 1<<30))))))
}

// hostOf returns an address without its port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// makeRoom makes room for one more connection, and returns false if there is none. It closes an
// idle connection or refuses an unfinished request rather than the new connection.
func (g *Gateway) makeRoom() bool {
	g.mu.Lock()
	open, closing := len(g.conns), 0
	var idle *callerConn
	var since time.Time
	used := false
	if open >= g.options.MaxConnections {
		for c := range g.conns {
			at, wasUsed, isIdle, isClosing := c.idleState()
			if isClosing {
				closing++
			}
			// Connections on which nothing was ever sent go first, then the longest idle ones.
			if isIdle && !isClosing && (idle == nil || !wasUsed && used || wasUsed == used && at.Before(since)) {
				idle, since, used = c, at, wasUsed
			}
		}
	}
	g.mu.Unlock()
	switch {
	case open-closing < g.options.MaxConnections:
	case idle != nil && idle.closeForRoom():
	case g.memory.evictOne():
	default:
		return false
	}
	return open < g.options.MaxConnections+max(1, int(closingShare*float64(g.options.MaxConnections)))
}

// idleState returns since when the connection is idle, whether a request was served on it, whether
// it is idle and whether it is about to close.
func (c *callerConn) idleState() (since time.Time, used, isIdle, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.served > 0, !c.busy, c.closing || c.interrupted
}

// closeForRoom makes an idle connection close unless bytes of a request have arrived, and returns
// false if it is no longer idle.
func (c *callerConn) closeForRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.closing = true
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// refuseConnection answers on a connection for which there is no room that its request will not
// run, and closes it. If many are refused at the same time, it only closes it.
func (g *Gateway) refuseConnection(conn net.Conn) {
	g.metrics.unread.Add(reasonConnections, 1)
	const text = "the connections to this entry are used up"
	g.refusals.log(reasonConnections, http.StatusServiceUnavailable, text, conn.RemoteAddr().String())
	select {
	case g.refusing <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-g.refusing }()
		defer func() { _ = conn.Close() }()
		c := newCallerConn(g, conn)
		w := &responseWriter{conn: conn, out: c.out, stopping: c.closesForStop, closeAfter: true}
		header := http.Header{}
		header.Set("Retry-After", formatSeconds(c.retryDelay(reasonConnections)))
		header.Set(verdictHeader, "not_run")
		if w.writeResponse(http.StatusServiceUnavailable, header, []byte(text+"\n")) == nil {
			c.closeAnnounced = true
			limits := limitsOf(g.table())
			c.lingerClose(max(minLingerBytes, limits.HeaderBytes+limits.BodyBytes))
		}
	}()
}
