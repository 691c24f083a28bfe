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
func (r Request) hint() int {
	if r.LengthHint > 0 && r.MaxTokens > 0 {
		return min(r.LengthHint, r.MaxTokens)
	}
	return r.LengthHint
}

// expect returns the tokens that half of such generations stay within.
func (l *lengths) expect(route string, says Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := int(float64(says.MaxTokens) * outputShare)
	if says.LengthHint > 0 {
		expected = says.hint()
	}
	if m := l.routes[route]; m != nil {
		if p, ok := m.Predict(says.hint()); ok {
			expected = int(p.Median)
		}
	}
	if says.MaxTokens > 0 {
		expected = min(expected, says.MaxTokens)
	}
	return expected
}

// observe takes the length of a whole answer. Answers that were cut are left
// out, so lengths are predicted slightly too short where many are.
func (l *lengths) observe(route string, says Request, tokens int) {
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
