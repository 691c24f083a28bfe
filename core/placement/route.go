package placement

import (
	"math/rand"

	"arbutusmast.example/arbutusmast/core/contract"
)

// PickRoute selects one of the routes of a request at random, in proportion to
// their weights. It returns false if no route has a positive weight.
func PickRoute(routes []contract.Route, rng *rand.Rand) (contract.Route, bool) {
	total := 0
	for _, r := range routes {
		total += max(0, r.Weight)
	}
	if total == 0 {
		return contract.Route{}, false
	}
	pick := rng.Intn(total)
	for _, r := range routes {
		if pick -= max(0, r.Weight); pick < 0 {
			return r, true
		}
	}
	return contract.Route{}, false
}
