// Package failuredomain orders failure domains by preference: the own one, the
// others of the region, then those of other regions.
package failuredomain

import (
	"hash/fnv"
	"sort"
)

// Distance says how far a failure domain is from another.
type Distance uint8

// Distances. A domain that is not declared counts as in another region.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Map holds the region of each failure domain. It does not change.
type Map struct{ regions map[string]string }

// NewMap returns a Map of failure domain to region.
func NewMap(regions map[string]string) Map {
	m := Map{regions: make(map[string]string, len(regions))}
	for domain, region := range regions {
		m.regions[domain] = region
	}
	return m
}

// Distance returns how far domain to is from domain from.
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

// Order returns all failure domains by preference from one of them. Domains at
// the same distance come in an order that differs between origins, so that the
// load of a lost domain does not move to a single other one.
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
		x, y := rank(from, all[i]), rank(from, all[j])
		if x != y {
			return x < y
		}
		return all[i] < all[j]
	})
	return all
}

func rank(from, to string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(from + "\x00" + to))
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x85ebca6b
	return x ^ x>>13
}
