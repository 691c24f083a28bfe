// Package evacuation decides which generations leave a backend server that was
// told to go, in which order and to where. It has no I/O.
//
// It answers the load of reclaimed engines: a notice of one to two seconds, one
// link for all copies, and generations that run much longer than the notice.
package evacuation

import (
	"sort"
	"time"
)

// Generation is one generation at the leaving server.
type Generation struct {
	ID string
	// Tokens is the memory that it takes, Events what it has sent.
	Tokens, Events int
	// Priority is 0 for the most urgent.
	Priority int
}

// Destination is a server that could take generations.
type Destination struct {
	Address    string
	SameDomain bool
	FreeTokens int
	// FreeSlots is the number of requests that it could begin at once.
	FreeSlots int
}

// Link describes the transfers.
type Link struct {
	BytesPerToken int64
	Mbps          float64
}

// domainFactor is how much longer a copy takes between failure domains.
const domainFactor = 2

// growth is the room kept for what a generation still makes while it moves.
const growth = 256

// Duration returns the time that a copy takes.
func (l Link) Duration(tokens int, sameDomain bool) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	d := time.Duration(float64(tokens) * float64(l.BytesPerToken) * 8 / (l.Mbps * 1e6) * float64(time.Second))
	if !sameDomain {
		d *= domainFactor
	}
	return d
}

// Move is one generation and where it goes.
type Move struct {
	Generation  Generation
	Destination string
}

// Plan orders the moves of the generations that fit into the time left. Copies
// share the leaving server's link, so they are counted one after another. The
// most urgent go first, then the largest, whose loss costs their callers most.
// Each goes to the destination with the most memory left after the earlier ones.
func Plan(runs []Generation, destinations []Destination, link Link, left time.Duration) []Move {
	ordered := append([]Generation(nil), runs...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		if a.Tokens != b.Tokens {
			return a.Tokens > b.Tokens
		}
		return a.ID < b.ID
	})
	free := append([]Destination(nil), destinations...)
	var moves []Move
	for _, run := range ordered {
		best := -1
		for i, d := range free {
			if d.FreeSlots <= 0 || d.FreeTokens < run.Tokens+growth {
				continue
			}
			if best < 0 || better(d, free[best]) {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		took := link.Duration(run.Tokens, free[best].SameDomain)
		if took > left {
			continue
		}
		left -= took
		free[best].FreeTokens -= run.Tokens + growth
		free[best].FreeSlots--
		moves = append(moves, Move{Generation: run, Destination: free[best].Address})
	}
	return moves
}

// better prefers the own failure domain, then more free memory.
func better(a, b Destination) bool {
	if a.SameDomain != b.SameDomain {
		return a.SameDomain
	}
	if a.FreeTokens != b.FreeTokens {
		return a.FreeTokens > b.FreeTokens
	}
	return a.Address < b.Address
}
