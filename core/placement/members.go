package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Subset returns the names of the servers that an entry places requests on, at most size of
// them. They are the top of a rendezvous hash ranking, so that a server that joins or leaves
// changes at most one of them, and the subsets of the entries are spread over all servers.
func Subset(entry string, names []string, size int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	candidates := make([]ranked, 0, len(names))
	for _, name := range names {
		candidates = append(candidates, ranked{name, hash64(entry, name)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	subset := make([]string, 0, size)
	for _, c := range candidates[:min(len(candidates), size)] {
		subset = append(subset, c.name)
	}
	return subset
}

// SubsetOutside returns the subset of an entry while some servers are evacuated: the evacuated ones
// of its usual subset, which keep their state for the end of the evacuation, and the subset of the
// others.
func SubsetOutside(entry string, names []string, isEvacuated func(name string) bool, size int) []string {
	subset := Subset(entry, names, size)
	if !slices.ContainsFunc(names, isEvacuated) {
		return subset
	}
	subset = slices.DeleteFunc(subset, func(name string) bool { return !isEvacuated(name) })
	return append(subset, Subset(entry, slices.DeleteFunc(slices.Clone(names), isEvacuated), size)...)
}

// SetServers replaces the list of servers. Servers that remain keep their state. A
// server that is added after the first call goes through slow start.
func (b *Balancer) SetServers(now time.Duration, servers []Server) {
	byName, names := make(map[string]Server, len(servers)), make([]string, 0, len(servers))
	for _, s := range servers {
		s.Leaving = s.Leaving || s.Evacuated
		byName[s.Name] = s
		names = append(names, s.Name)
	}
	candidates := SubsetOutside(b.cfg.Entry, names, func(name string) bool { return byName[name].Evacuated }, b.cfg.SubsetSize)
	previous := b.servers
	b.servers = make(map[string]*server, len(candidates))
	b.subset = b.subset[:0]
	for distance := range b.tiers {
		b.tiers[distance] = b.tiers[distance][:0]
	}
	for _, name := range candidates {
		r := byName[name]
		s := previous[name]
		if s == nil || s.Incarnation != r.Incarnation {
			b.outcomes.Forget(r.Name)
			s = &server{hash: hash64(r.Name), joinedAt: now, health: health{slowness: 1}}
			if !b.populated {
				s.joinedAt = now - b.cfg.SlowStart
			}
		}
		s.Server = r
		if s.Blocks <= 0 {
			s.Blocks = defaultBlocks
		}
		b.servers[s.Name] = s
		b.subset = append(b.subset, s)
		for distance := range b.tiers {
			if int(s.Distance) <= distance {
				b.tiers[distance] = append(b.tiers[distance], s)
			}
		}
	}
	b.outcomes.SetServers(len(b.subset), func(name string) bool { return b.servers[name] != nil })
	b.populated = b.populated || len(servers) > 0
}

// SetLeaving gives no more requests to a server, until the next call of SetServers.
func (b *Balancer) SetLeaving(name string) {
	if s := b.servers[name]; s != nil {
		s.Leaving = true
	}
}

func hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads a hash over all bits, which FNV does not do for short similar names.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// preferred returns the server that should cache a prefix: the top of a rendezvous
// hash ranking of the subset.
func (b *Balancer) preferred(prefix string) *server {
	if prefix == "" {
		return nil
	}
	key := hash64(prefix)
	var best *server
	var bestRank uint64
	for _, s := range b.subset {
		if rank := mix(key ^ s.hash); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// pendingRequest is one request of this entry that the load hint may not include
// yet.
type pendingRequest struct {
	sentAt time.Duration
	blocks int
}

// maxPending bounds the requests tracked per server. Further ones are added to the
// newest tracked one.
const maxPending = 64

// pending tracks the requests that this entry has sent since the last load hint was
// measured.
type pending struct {
	requests []pendingRequest
	blocks   int
}

func (p *pending) add(now time.Duration, blocks int) {
	p.blocks += blocks
	if len(p.requests) >= maxPending {
		p.requests[len(p.requests)-1].blocks += blocks
		return
	}
	p.requests = append(p.requests, pendingRequest{now, blocks})
}

// dropUntil drops the requests that a hint measured at measuredAt includes.
func (p *pending) dropUntil(measuredAt time.Duration) {
	kept := p.requests[:0]
	p.blocks = 0
	for _, r := range p.requests {
		if r.sentAt > measuredAt {
			kept = append(kept, r)
			p.blocks += r.blocks
		}
	}
	p.requests = kept
}

// remove drops one request that was refused or has failed and thus uses no memory.
func (p *pending) remove(blocks int) {
	for i := len(p.requests) - 1; i >= 0; i-- {
		if p.requests[i].blocks == blocks {
			p.blocks -= blocks
			p.requests = append(p.requests[:i], p.requests[i+1:]...)
			return
		}
	}
}
