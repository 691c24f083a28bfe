package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/engine"
)

// plainState counts the calls that a plain service has run.
type plainState struct {
	mu   sync.Mutex
	runs map[string]int
}

// RunCount returns how often a plain service has run the calls with a body.
func (s *Server) RunCount(body string) int {
	s.plain.mu.Lock()
	defer s.plain.mu.Unlock()
	return s.plain.runs[bodyDigest([]byte(body))]
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// handle runs one call. The query "delay" holds the answer back after the call
// has run.
func (p *plainState) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.runs == nil {
		p.runs = map[string]int{}
	}
	p.runs[bodyDigest(body)]++
	count := p.runs[bodyDigest(body)]
	p.mu.Unlock()
	if delay, err := time.ParseDuration(r.URL.Query().Get("delay")); err == nil {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"method": r.Method, "path": r.URL.Path, "run": count, "echo": string(body),
	})
}

// orderState is what the engine keeps of orders.
type orderState struct {
	mu      sync.Mutex
	highest uint64
	orders  []engine.Order
}

// Orders returns the orders that the engine has carried out.
func (s *Server) Orders() []engine.Order {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return append([]engine.Order(nil), s.orders.orders...)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "body is not valid JSON"})
		return
	}
	fencing, err := strconv.ParseUint(r.Header.Get(engine.FencingHeader), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "fencing number is missing"})
		return
	}
	order.Fencing = fencing
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	if s.options.ChecksFencing && fencing < s.orders.highest {
		writeJSON(w, http.StatusConflict, map[string]any{"error": "old fencing number", "highest": s.orders.highest})
		return
	}
	s.orders.highest = max(s.orders.highest, fencing)
	s.orders.orders = append(s.orders.orders, order)
	writeJSON(w, http.StatusOK, map[string]bool{"accepted": true})
}
