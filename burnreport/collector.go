package burnreport

import (
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
)

// Collector is a burn.Recorder that is safe for concurrent use. Record holds the
// lock for about 0.2 µs, so a queue in front of it would cost more.
type Collector struct {
	source string
	now    func() time.Time

	mu       sync.Mutex
	recorder *burn.Recorder
}

// NewCollector returns an empty Collector. The source is the name of the daemon.
// If now is nil, time.Now is used.
func NewCollector(source string, now func() time.Time) *Collector {
	if now == nil {
		now = time.Now
	}
	return &Collector{source: source, now: now, recorder: burn.NewRecorder(now())}
}

// SetObjectives replaces the objectives with those of a new configuration. It
// returns how many were omitted because of burn.MaxObjectives.
func (c *Collector) SetObjectives(objectives []contract.Objective) (omitted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recorder.SetObjectives(objectives)
}

// Record counts an event at the current time.
func (c *Collector) Record(e burn.Event) {
	c.mu.Lock()
	c.recorder.Record(c.now(), e)
	c.mu.Unlock()
}

// Snapshot returns a snapshot of all counts.
func (c *Collector) Snapshot() burn.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recorder.Snapshot(c.now(), c.source)
}

// ServeHTTP serves the report at /burn of the operators' listener. The query
// parameter format is snapshot, json, text or html. Without it, clients that
// accept HTML get HTML, and others get text.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	format := Format(r.URL.Query().Get("format"))
	if format == "" {
		format = preferredFormat(r.Header.Get("Accept"))
	}
	body, err := Render(c.Snapshot(), format)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", format.contentType())
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body)
}
