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

// plainService simulates a plain service and counts the calls that it has run.
type plainService struct {
	mu        sync.Mutex
	runCounts map[string]int
}

// RunCount returns how often the plain service has run a call with this body.
func (s *Server) RunCount(body string) int {
	s.plain.mu.Lock()
	defer s.plain.mu.Unlock()
	return s.plain.runCounts[bodyDigest([]byte(body))]
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// handle runs one call. The query parameter "delay" delays the response after the
// call has run.
func (p *plainService) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.runCounts == nil {
		p.runCounts = map[string]int{}
	}
	p.runCounts[bodyDigest(body)]++
	count := p.runCounts[bodyDigest(body)]
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

// orderLog holds the orders of an engine and their highest fencing number.
type orderLog struct {
	mu             sync.Mutex
	highestFencing uint64
	orders         []engine.Order
}

// Orders returns the orders that the engine has accepted.
func (s *Server) Orders() []engine.Order {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return append([]engine.Order(nil), s.orders.orders...)
}

// handleOrder accepts an order. If the engine checks fencing, it rejects one with an
// old fencing number.
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
	if s.options.ChecksFencing && fencing < s.orders.highestFencing {
		writeJSON(w, http.StatusConflict,
			map[string]any{"error": "old fencing number", "highest": s.orders.highestFencing})
		return
	}
	s.orders.highestFencing = max(s.orders.highestFencing, fencing)
	s.orders.orders = append(s.orders.orders, order)
	writeJSON(w, http.StatusOK, map[string]bool{"accepted": true})
}
