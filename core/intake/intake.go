// Package intake decides whose request is refused when the memory for requests is used up, for the
// platform's entry (package gateway) and for all other listeners (package netlimit, which counts with
// core/bodybudget). It does no I/O and reads no clock.
package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxIdle is how long an unfinished request may send nothing before it counts as lagging. It is
	// longer than one retransmission of a lost packet takes.
	MaxIdle = 500 * time.Millisecond
	// MinRate is the average rate in bytes per second below which a request lags once it is
	// older than StartTime. It gives a body of 4 MiB five seconds.
	MinRate = 1 << 20
	// StartTime is how long a request may take before its rate counts.
	StartTime = time.Second
	// smallerFactor is how many times more than the asking request another one must hold to
	// give way to it although it is older.
	smallerFactor = 4
)

// Request describes an unfinished request, which is one that has not arrived completely. Only
// these are refused to free memory.
type Request struct {
	// Began is when its first byte arrived, and LastRead when the last one did.
	Began, LastRead time.Duration
	// Received is the number of bytes of its body that arrived, without framing.
	Received int64
	// Held is the memory that refusing it frees.
	Held int64
	// Waiting is set while it is not read because it waits for memory.
	Waiting bool
	// Address is the network address of the caller.
	Address string
}

// lag returns how far the request is behind, and whether it lags.
func (r *Request) lag(now time.Duration) (time.Duration, bool) {
	if r.Waiting {
		return 0, false
	}
	idle := now - r.LastRead - MaxIdle
	late := now - r.Began - StartTime - time.Duration(float64(r.Received)/MinRate*float64(time.Second))
	lag := max(idle, late)
	return lag, lag > 0
}

// None is the asking request of Choose when memory is needed for a response, whose request may
// have run. All unfinished requests give way to it.
const None = -1

// Choose returns the unfinished requests to refuse so that need bytes are freed for the asking
// one, an index of requests. It returns false if the asking request has to be refused instead; then
// no other is refused in vain.
//
// Requests that lag are refused first, those from the address whose lagging requests hold most
// before others. The share of an address counts only among them, because the callers of many users
// may come through few addresses. If nobody lags, the youngest request is refused, so that the
// oldest always gets through, unless the asking one is much smaller than an older one.
func Choose(now time.Duration, need int64, asking int, requests []Request) (victims []int, ok bool) {
	freed := int64(0)
	take := func(candidates []int) bool {
		for _, i := range candidates {
			if freed >= need {
				return true
			}
			if i == asking {
				return false
			}
			victims, freed = append(victims, i), freed+requests[i].Held
		}
		return freed >= need
	}
	lagging, others := split(now, asking, requests)
	if take(lagging) {
		return victims, true
	}
	if asking != None && slices.Contains(lagging, asking) {
		return nil, false
	}
	if take(givingWay(need, asking, others, requests)) {
		return victims, true
	}
	return nil, false
}

// split returns the asking request and those that hold memory: those that lag, in the order in which
// they are refused, and the others, youngest first. Refusing one that holds nothing frees nothing.
func split(now time.Duration, asking int, requests []Request) (lagging, others []int) {
	lags := make([]time.Duration, len(requests))
	byAddress := map[string]int64{}
	for i := range requests {
		if requests[i].Held <= 0 && i != asking {
			continue
		}
		lag, isLagging := requests[i].lag(now)
		lags[i] = lag
		if isLagging {
			byAddress[requests[i].Address] += requests[i].Held
			lagging = append(lagging, i)
		} else {
			others = append(others, i)
		}
	}
	slices.SortFunc(lagging, func(a, b int) int {
		return cmp.Or(cmp.Compare(byAddress[requests[b].Address], byAddress[requests[a].Address]),
			cmp.Compare(requests[a].Address, requests[b].Address), cmp.Compare(lags[b], lags[a]), cmp.Compare(a, b))
	})
	slices.SortFunc(others, func(a, b int) int {
		return cmp.Or(cmp.Compare(requests[b].Began, requests[a].Began), cmp.Compare(b, a))
	})
	return lagging, others
}

// givingWay returns those of others, youngest first, that give way to the asking request: the
// younger ones and those that hold much more than it would.
func givingWay(need int64, asking int, others []int, requests []Request) []int {
	if asking == None {
		return others
	}
	enough := smallerFactor * (requests[asking].Held + need)
	own := slices.Index(others, asking)
	var giving []int
	for position, i := range others {
		if i != asking && (position < own || requests[i].Held >= enough) {
			giving = append(giving, i)
		}
	}
	return giving
}
