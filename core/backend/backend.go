// Package backend describes the backend servers in a platform's list and merges
// the list with reports from other observers. It does no I/O.
package backend

import (
	"sort"
	"time"
)

// Server is a backend server.
type Server struct {
	// ID identifies the server. Another server at the same address has another ID, but a
	// server may start again under its own.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Leaving is set if the server accepts no new requests.
	Leaving bool
	// ColdFor is the remaining time during which the server is cold, in the platform's list and
	// between hosts.
	ColdFor time.Duration
	// ColdUntil is the end of that time, as time since boot of the host that holds it, 0 for a
	// server that is not cold.
	ColdUntil time.Duration
	// StartedAt is when the server's process started, in Unix milliseconds of the platform's
	// clock, 0 if unknown.
	StartedAt int64
}

// RestartedSince reports whether the server started again after it had started at a time
// that was known as its StartedAt.
func (s Server) RestartedSince(startedAt int64) bool { return startedAt > 0 && s.StartedAt > startedAt }

// Load is the load that a server last reported.
type Load struct {
	Running, Waiting int
	// UsedTokens is the memory in tokens that cannot be reclaimed, TotalTokens the
	// total memory.
	UsedTokens, TotalTokens int
}

// Report is the observation of a server by a process on its host.
type Report struct {
	Address string
	Leaving bool
	Load    Load
	// ColdFor is the remaining time during which the server says that it is cold, 0 if that is not
	// known, and NewRuns the number of runs that began in the last second. NewRuns is set only
	// together with ColdFor.
	ColdFor time.Duration
	NewRuns int
}

// List holds the servers of one read of the platform's list.
type List struct {
	Servers []Server
	// Reports holds the newest report for each address.
	Reports map[string]Report
}

// Merge returns the servers sorted by ID. It sets Leaving as reported, because a
// process on the server's host sees a termination notice before the platform's
// list shows it.
func (l List) Merge() []Server {
	merged := make([]Server, len(l.Servers))
	for i, s := range l.Servers {
		if report, ok := l.Reports[s.Address]; ok && report.Leaving {
			s.Leaving = true
		}
		merged[i] = s
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].ID < merged[j].ID })
	return merged
}
