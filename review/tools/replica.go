package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a backend server: it runs one request at a time on each
// connection, waits workTime for each and answers with a sealed body.
type replica struct {
	platform          *platform
	id, service, zone string
	address           string
	slots             int
	workTime          time.Duration
	// events is the number of events of a stream, 0 for a plain answer. Each comes after
	// workTime.
	events int
	// run is called when a request begins to run. If it returns true, the replica crashes.
	run func(r *replica, id string, request *http.Request, body []byte) (crash bool)

	mu      sync.Mutex
	born    time.Time
	server  *http.Server
	running int
}

// addReplica starts a replica and adds it to the list.
func (p *platform) addReplica(host int, service, zone string, workTime time.Duration) (*replica, error) {
	r := &replica{platform: p, id: fmt.Sprintf("i-%s-%d", service, host), service: service, zone: zone,
		address: p.address(host, p.ports.app), slots: 24, workTime: workTime}
	if err := r.start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = append(p.replicas, r)
	return r, nil
}

// start starts the replica anew.
func (r *replica) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.running = time.Now(), 0
	r.server = &http.Server{Handler: r}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	return nil
}

// crash ends the replica with all its connections.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// entry is the replica's entry in the list.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": "v1",
		"slots": r.slots, "state": "ready", "cold-remaining-ms": 0, "born": r.born.UnixMilli()}
	return e
}

func (r *replica) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := r.currentID()
	w.Header().Set("Replica-Id", id)
	switch request.URL.Path {
	case "/health":
		return
	case "/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"id": id, "born": r.born.UnixMilli(), "stage": "mixed", "busy": false,
			"sequence": 0, "queued": 0, "running": r.running, "kv-used": 0, "kv-total": 30000, "handles": 0, "pinned": 0,
			"held": 0, "state": "ready", "runs": []any{}})
		return
	case "/hold-take":
		_ = json.NewEncoder(w).Encode(map[string]any{"hold": strconv.FormatInt(time.Now().UnixNano(), 36)})
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() { r.mu.Lock(); r.running--; r.mu.Unlock() }()
	if r.run != nil && r.run(r, attempt, request, body) {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if r.events > 0 {
		r.stream(w, request, attempt)
		return
	}
	select {
	case <-request.Context().Done():
		return
	case <-time.After(r.workTime):
	}
	answer := "answer to " + attempt + "\n"
	w.Header().Set("Response-Seal", seal(answer))
	_, _ = io.WriteString(w, answer)
}

// stream answers with events.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", seal(attempt))
	for i := 1; i <= r.events; i++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.workTime):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, attempt)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
}

// seal returns the mark of a replica's answer.
func seal(body string) string {
	sum := sha256.Sum256([]byte(body))
	return fmt.Sprintf("%d.%x", len(body), sum[:4])
}

// answer is what a consumer got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// text describes the answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}

// consume sends one request to a front machine on a new connection.
func (p *platform) consume(m *machine, method, host, path, attempt string, header map[string]string, body io.Reader, size int64,
	timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, p.ports.front, path), body)
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.ContentLength = size
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}
