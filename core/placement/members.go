package placement

import (
	"hash/fnv"
	"sort"
	"time"
)

// SetServers replaces the membership. Servers that stay keep their state. A
// server that joins later than the first call starts slowly.
func (m *Machine) SetServers(now time.Duration, servers []Server) {
	type ranked struct {
		Server
		rank uint64
	}
	all := make([]ranked, 0, len(servers))
	for _, s := range servers {
		all = append(all, ranked{s, hash64(m.cfg.Entry, s.Name)})
	}
	// The subset is the top of a rendezvous order, so that one join or leave
	// changes at most one member of it, and entries spread over all servers.
	sort.Slice(all, func(i, j int) bool {
		if all[i].rank != all[j].rank {
			return all[i].rank < all[j].rank
		}
		return all[i].Name < all[j].Name
	})
	all = all[:min(len(all), m.cfg.SubsetSize)]
	old := m.servers
	m.servers = make(map[string]*server, len(all))
	m.subset, m.ejected = m.subset[:0], 0
	for d := range m.tiers {
		m.tiers[d] = m.tiers[d][:0]
	}
	for _, r := range all {
		s := old[r.Name]
		if s == nil || s.Incarnation != r.Incarnation {
			s = &server{hash: hash64(r.Name), joined: now, health: health{slowness: 1}}
			if !m.seen {
				s.joined = now - m.cfg.SlowStart
			}
		}
		s.Server = r.Server
		if s.Blocks <= 0 {
			s.Blocks = defaultBlocks
		}
		m.servers[s.Name] = s
		m.subset = append(m.subset, s)
		for d := range m.tiers {
			if int(s.Distance) <= d {
				m.tiers[d] = append(m.tiers[d], s)
			}
		}
		if s.health.out {
			m.ejected++
		}
	}
	m.seen = m.seen || len(servers) > 0
}

func hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads a hash over all bits, as FNV of short similar names does not.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// preferred returns the server that keeps a prefix: the top of a rendezvous
// order over the subset.
func (m *Machine) preferred(prefix string) *server {
	if prefix == "" {
		return nil
	}
	key := hash64(prefix)
	var best *server
	var top uint64
	for _, s := range m.subset {
		if rank := mix(key ^ s.hash); best == nil || rank > top {
			best, top = s, rank
		}
	}
	return best
}

// request is one own request that hints may not contain yet.
type request struct {
	at     time.Duration
	blocks int
}

// maxPending bounds the requests remembered for one server; older ones are
// merged into the oldest.
const maxPending = 64

// pending are the own requests sent since the last hint was measured.
type pending struct {
	list   []request
	blocks int
}

func (f *pending) add(now time.Duration, blocks int) {
	f.blocks += blocks
	if len(f.list) >= maxPending {
		f.list[len(f.list)-1].blocks += blocks
		return
	}
	f.list = append(f.list, request{now, blocks})
}

// forget drops the requests that a hint measured at a time contains.
func (f *pending) forget(measured time.Duration) {
	kept := f.list[:0]
	f.blocks = 0
	for _, x := range f.list {
		if x.at > measured {
			kept = append(kept, x)
			f.blocks += x.blocks
		}
	}
	f.list = kept
}

// remove drops one request that was refused or failed, so it uses no memory.
func (f *pending) remove(blocks int) {
	for i := len(f.list) - 1; i >= 0; i-- {
		if f.list[i].blocks == blocks {
			f.blocks -= blocks
			f.list = append(f.list[:i], f.list[i+1:]...)
			return
		}
	}
}
