package failuredomain

import "testing"

// TestOrder guards against an order that has a domain of another region before
// one of the same region, and against the same fallback domain for all origins.
func TestOrder(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}
	m := NewMap(regions)
	secondChoices := map[string]bool{}
	for from, region := range regions {
		order := m.Order(from)
		if len(order) != len(regions) || order[0] != from {
			t.Fatalf("order from %s: %v", from, order)
		}
		leftRegion := false
		for _, domain := range order {
			if regions[domain] != region {
				leftRegion = true
			} else if leftRegion {
				t.Errorf("order from %s returns to its region: %v", from, order)
			}
		}
		if region == "a" {
			secondChoices[order[1]] = true
		}
	}
	if len(secondChoices) < 2 {
		t.Errorf("all domains of region a fall back to %v", secondChoices)
	}
	if d := m.Distance("a1", "unknown"); d != OtherRegion {
		t.Errorf("distance to an undeclared domain is %d", d)
	}
}
