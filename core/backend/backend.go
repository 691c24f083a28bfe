// Package backend describes the backend servers that a platform lists and
// merges what different observers know of them. It has no I/O.
package backend

import (
	"sort"
	"time"
)

// Server is one start of a backend server.
type Server struct {
	// ID names the start. Another process at the same address has another id.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Leaving servers take no new requests.
	Leaving bool
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
}

// Load is what a server last reported of itself.
type Load struct {
	Running, Waiting int
	// UsedTokens is the memory that can not yield, TotalTokens all of it.
	UsedTokens, TotalTokens int
}

// Report is one observation made beside a server.
type Report struct {
	Address string
	Leaving bool
	Load    Load
}

// List is the servers as of one reading of the platform's list.
type List struct {
	Servers []Server
	// Reports are the newest observations by address.
	Reports map[string]Report
}

// Merge returns the servers sorted by id, with the leaving marks of the reports
// applied: a process beside a server sees its notice before the list shows it.
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
