package gateway

import (
	"sync"

	"arbutusmast.example/arbutusmast/core/length"
)

// maxRoutes bounds the routes whose lengths are kept. Desired states add and
// remove routes; the model of a forgotten one begins anew.
const maxRoutes = 1024

// lengths predicts the lengths of generations by route.
type lengths struct {
	mu     sync.Mutex
	routes map[string]*length.HintModel
}

// hint returns the caller's estimate, 0 when it gave none. Some estimates exceed
// the declared maximum many times.
func (r RequestMetadata) hint() int {
	if r.LengthHint > 0 && r.MaxTokens > 0 {
		return min(r.LengthHint, r.MaxTokens)
	}
	return r.LengthHint
}

// withinDeviations makes nine of ten generations end within the longer estimate.
const withinDeviations = 1.28

// expect returns the tokens that half of such generations stay within, and those
// that nine of ten do. The second is never below what holds before anything was
// learned: short answers end first, so a route that has only begun looks shorter
// than it is.
func (l *lengths) expect(route string, says RequestMetadata) (half, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	half, most = int(float64(says.MaxTokens)*outputShare), says.MaxTokens
	var belief length.HintModel
	if p, ok := belief.Predict(says.hint()); ok {
		half, most = int(p.Median), int(p.Quantile(withinDeviations))
	}
	if m := l.routes[route]; m != nil {
		if p, ok := m.Predict(says.hint()); ok {
			half, most = int(p.Median), max(most, int(p.Quantile(withinDeviations)))
		}
	}
	if says.MaxTokens > 0 {
		half, most = min(half, says.MaxTokens), min(most, says.MaxTokens)
	}
	return half, most
}

// observe takes the length of a whole answer. Answers that were cut are left
// out, so lengths are predicted slightly too short where many are.
func (l *lengths) observe(route string, says RequestMetadata, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.routes[route]
	if m == nil {
		if l.routes == nil || len(l.routes) >= maxRoutes {
			l.routes = map[string]*length.HintModel{}
		}
		m = &length.HintModel{}
		l.routes[route] = m
	}
	m.Observe(says.hint(), tokens)
}
