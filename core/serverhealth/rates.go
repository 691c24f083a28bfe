package serverhealth

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minSoundRate and maxSoundRate bound the estimated share of requests that fail at
	// sound servers. Above the latter, a failure is hardly any evidence.
	minSoundRate, maxSoundRate = 0.02, 0.45
	// priorFailures of priorSamples is the share before there are samples.
	priorFailures, priorSamples = 1, 10
	// rateWindow is the time after which samples count half.
	rateWindow = 10 * time.Second
	// maxRoutes bounds the routes whose rates are kept. Further routes share one rate.
	maxRoutes = 64
	// medianUses is the number of estimates after which the median of a route is computed
	// again.
	medianUses = 16
	// minCount is the number of samples, after halving, below which a server is forgotten.
	minCount = 0.25
)

// counts are outcomes on a route.
type counts struct{ failed, total float64 }

// route holds the outcomes of one kind of request at each server.
type route struct {
	servers map[string]counts
	// median is the median of the servers' shares of failures, weighted by their samples,
	// and total their number. They hold for usesLeft more estimates.
	median, total float64
	usesLeft      int
}

// routeRates estimates how often requests of a route fail at sound servers. It is the median
// over the servers, because most are sound.
type routeRates struct {
	routes   map[string]*route
	halvedAt time.Duration
}

func newRouteRates() routeRates { return routeRates{routes: map[string]*route{}} }

// get returns a route, or the one that all routes beyond maxRoutes share.
func (r *routeRates) get(name string) *route {
	found := r.routes[name]
	if found == nil && len(r.routes) >= maxRoutes {
		name = ""
		found = r.routes[name]
	}
	if found == nil {
		found = &route{servers: map[string]counts{}}
		r.routes[name] = found
	}
	return found
}

// count adds outcomes of a server.
func (r *routeRates) count(name, server string, failed, total float64) {
	found := r.get(name)
	c := found.servers[server]
	found.servers[server] = counts{c.failed + failed, c.total + total}
}

// soundRate estimates the share of failures at sound servers other than the given one.
func (r *routeRates) soundRate(name, server string) float64 {
	found := r.get(name)
	if found.usesLeft == 0 {
		found.computeMedian()
	}
	found.usesLeft--
	others := max(0, found.total-found.servers[server].total)
	return min(maxSoundRate, max(minSoundRate, (found.median*others+priorFailures)/(others+priorSamples)))
}

// computeMedian computes the weighted median of the servers' shares of failures.
func (f *route) computeMedian() {
	f.usesLeft, f.total, f.median = medianUses, 0, 0
	list := make([]counts, 0, len(f.servers))
	for _, c := range f.servers {
		list = append(list, c)
		f.total += c.total
	}
	slices.SortFunc(list, func(a, b counts) int { return cmp.Compare(a.failed*b.total, b.failed*a.total) })
	sum := 0.0
	for _, c := range list {
		if sum += c.total; 2*sum >= f.total {
			f.median = c.failed / c.total
			return
		}
	}
}

// retain forgets the servers that are not listed.
func (r *routeRates) retain(listed func(server string) bool) {
	for _, f := range r.routes {
		for server := range f.servers {
			if !listed(server) {
				delete(f.servers, server)
			}
		}
	}
}

// advance halves all counts for each rateWindow that passed, and reports whether it did.
func (r *routeRates) advance(now time.Duration) bool {
	windows := (now - r.halvedAt) / rateWindow
	if windows <= 0 {
		return false
	}
	r.halvedAt += windows * rateWindow
	factor := math.Exp2(-float64(windows))
	for name, f := range r.routes {
		f.usesLeft = 0
		for server, c := range f.servers {
			if c = (counts{c.failed * factor, c.total * factor}); c.total < minCount {
				delete(f.servers, server)
				continue
			}
			f.servers[server] = c
		}
		if len(f.servers) == 0 {
			delete(r.routes, name)
		}
	}
	return true
}
