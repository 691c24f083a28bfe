// Package failuredomain orders failure domains by distance: the same domain, the
// other domains of the region, then the domains of other regions.
package failuredomain

import (
	"hash/fnv"
	"sort"
)

// Distance is the distance between two failure domains.
type Distance uint8

// Distances. An undeclared domain counts as one in another region.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Map holds the region of each failure domain. It is immutable.
type Map struct{ regions map[string]string }

// NewMap returns a Map. regions maps each failure domain to its region.
func NewMap(regions map[string]string) Map {
	m := Map{regions: make(map[string]string, len(regions))}
	for domain, region := range regions {
		m.regions[domain] = region
	}
	return m
}

// Distance returns the distance of domain to from domain from.
func (m Map) Distance(from, to string) Distance {
	if from == to {
		return SameDomain
	}
	a, known := m.regions[from]
	if b, ok := m.regions[to]; known && ok && a == b {
		return SameRegion
	}
	return OtherRegion
}

// Order returns all failure domains by their distance from domain from. The order
// of domains at the same distance differs between origins, so that the load of a
// failed domain does not move to a single other one.
func (m Map) Order(from string) []string {
	all := make([]string, 0, len(m.regions))
	for domain := range m.regions {
		all = append(all, domain)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := m.Distance(from, all[i]), m.Distance(from, all[j])
		if a != b {
			return a < b
		}
		x, y := tieBreak(from, all[i]), tieBreak(from, all[j])
		if x != y {
			return x < y
		}
		return all[i] < all[j]
	})
	return all
}

// tieBreak returns a hash of both domains that orders domains at the same
// distance.
func tieBreak(from, to string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(from + "\x00" + to))
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x85ebca6b
	return x ^ x>>13
}
