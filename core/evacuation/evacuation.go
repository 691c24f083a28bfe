// Package evacuation decides which generations move away from a backend server
// that got a notice to leave, in which order and to which servers. It does no I/O.
//
// It is designed for reclaimed engines with a notice of one to two seconds, a
// single link for all copies, and generations that take much longer than the
// notice.
package evacuation

import (
	"sort"
	"time"
)

// Generation is a generation in progress at the leaving server.
type Generation struct {
	ID string
	// Tokens is the memory in use, in tokens, and Events the number of events sent
	// to the caller.
	Tokens, Events int
	// Priority is 0 for the most urgent generations.
	Priority int
}

// Destination is a server that generations can move to.
type Destination struct {
	Address    string
	SameDomain bool
	FreeTokens int
	// FreeSlots is the number of requests that the server can start at once.
	FreeSlots int
}

// Link describes the transfer of a generation between servers.
type Link struct {
	BytesPerToken int64
	Mbps          float64
}

// crossDomainFactor is how much longer a copy between failure domains takes.
const crossDomainFactor = 2

// growthTokens is the memory reserved for tokens generated during the move.
const growthTokens = 256

// Duration returns the time that a copy takes. It is 0 if the bandwidth is unknown.
func (l Link) Duration(tokens int, sameDomain bool) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	d := time.Duration(float64(tokens) * float64(l.BytesPerToken) * 8 / (l.Mbps * 1e6) * float64(time.Second))
	if !sameDomain {
		d *= crossDomainFactor
	}
	return d
}

// Move is a generation and the address of its destination.
type Move struct {
	Generation  Generation
	Destination string
}

// Plan returns, in order, the moves that fit into the remaining time. Copies share
// the link of the leaving server, so their durations add up. The most urgent
// generations move first, then the largest, whose loss costs their callers most.
// Each goes to a destination in the same failure domain if possible, and there to
// the one with the most free memory after the earlier moves.
func Plan(generations []Generation, destinations []Destination, link Link, remaining time.Duration) []Move {
	ordered := append([]Generation(nil), generations...)
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
	available := append([]Destination(nil), destinations...)
	var moves []Move
	for _, generation := range ordered {
		best := -1
		for i, d := range available {
			if d.FreeSlots <= 0 || d.FreeTokens < generation.Tokens+growthTokens {
				continue
			}
			if best < 0 || preferred(d, available[best]) {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		duration := link.Duration(generation.Tokens, available[best].SameDomain)
		if duration > remaining {
			continue
		}
		remaining -= duration
		available[best].FreeTokens -= generation.Tokens + growthTokens
		available[best].FreeSlots--
		moves = append(moves, Move{Generation: generation, Destination: available[best].Address})
	}
	return moves
}

// preferred reports whether a is a better destination than b: first by the failure
// domain of the leaving server, then by free memory.
func preferred(a, b Destination) bool {
	if a.SameDomain != b.SameDomain {
		return a.SameDomain
	}
	if a.FreeTokens != b.FreeTokens {
		return a.FreeTokens > b.FreeTokens
	}
	return a.Address < b.Address
}
