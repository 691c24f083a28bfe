package gateway

import (
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/length"
)

// maxRouteModels bounds the number of route models, because desired states add and
// remove routes. When it is reached, all models are dropped and learned again.
const maxRouteModels = 1024

// lengthPredictor predicts the output lengths of generations by route.
type lengthPredictor struct {
	mu     sync.Mutex
	routes map[string]*length.HintModel
}

// boundedHint returns the caller's estimate, 0 if it gave none. It is limited to
// MaxTokens, which some estimates exceed many times over.
func (r RequestMetadata) boundedHint() int {
	if r.LengthHint > 0 && r.MaxTokens > 0 {
		return min(r.LengthHint, r.MaxTokens)
	}
	return r.LengthHint
}

// p90Deviations is the number of standard deviations from the median to the 90th
// percentile of a normal distribution.
const p90Deviations = 1.28

// predict returns the median and the 90th percentile of the output length in
// tokens. The 90th percentile is never below the one without observations: short
// outputs end first, so the first observations of a route underestimate it.
func (l *lengthPredictor) predict(route string, metadata RequestMetadata) (median, p90 int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	median, p90 = int(float64(metadata.MaxTokens)*defaultOutputFraction), metadata.MaxTokens
	var prior length.HintModel
	if p, ok := prior.Predict(metadata.boundedHint()); ok {
		median, p90 = int(p.Median), int(p.Quantile(p90Deviations))
	}
	if m := l.routes[route]; m != nil {
		if p, ok := m.Predict(metadata.boundedHint()); ok {
			median, p90 = int(p.Median), max(p90, int(p.Quantile(p90Deviations)))
		}
	}
	if metadata.MaxTokens > 0 {
		median, p90 = min(median, metadata.MaxTokens), min(p90, metadata.MaxTokens)
	}
	return median, p90
}

// observe records the length of a complete output. Truncated outputs are not
// observed, so predictions are slightly too short where many are truncated.
func (l *lengthPredictor) observe(route string, metadata RequestMetadata, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.routes[route]
	if m == nil {
		if l.routes == nil || len(l.routes) >= maxRouteModels {
			l.routes = map[string]*length.HintModel{}
		}
		m = &length.HintModel{}
		l.routes[route] = m
	}
	m.Observe(metadata.boundedHint(), tokens)
}

// timePredictor predicts how long requests take by route.
type timePredictor struct {
	mu     sync.Mutex
	routes map[string]*routeTimes
}

// routeTimes is how long the requests of one route took.
type routeTimes struct {
	calls dispatch.Recent
	pace  dispatch.Pace
}

// route returns the times of a route, which it creates if needed. The caller holds t.mu.
func (t *timePredictor) route(name string) *routeTimes {
	r := t.routes[name]
	if r == nil {
		if t.routes == nil || len(t.routes) >= maxRouteModels {
			t.routes = map[string]*routeTimes{}
		}
		r = &routeTimes{}
		t.routes[name] = r
	}
	return r
}

// observeCall records how long a call took that was passed on.
func (t *timePredictor) observeCall(route string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route(route).calls.Observe(d)
}

// callBound returns the time that few calls of a route exceed, 0 if it is unknown.
func (t *timePredictor) callBound(route *desired.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known(route.Name).calls.Bound(route.Objective)
}

// observeGeneration records how long a complete generation took, see dispatch.Pace.
func (t *timePredictor) observeGeneration(route string, promptTokens, laterTokens int, toFirst, afterFirst time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route(route).pace.Observe(promptTokens, laterTokens, toFirst, afterFirst)
}

// generation returns the expected time of a generation of a route with an output of so many
// tokens.
func (t *timePredictor) generation(route *desired.Route, promptTokens, tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known(route.Name).pace.Expected(promptTokens, tokens)
}

// usual returns how long a generation of a route with an output of so many tokens usually takes, see
// dispatch.Pace.
func (t *timePredictor) usual(route *desired.Route, promptTokens, tokens int) (first, whole time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known(route.Name).pace.Usual(promptTokens, tokens)
}

// known returns the times of a route, which may be empty. The caller holds t.mu.
func (t *timePredictor) known(name string) *routeTimes {
	if r := t.routes[name]; r != nil {
		return r
	}
	return &routeTimes{}
}
