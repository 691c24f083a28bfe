package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots   = 24
	engineTokens  = 30000
	eventTokens   = 4
	eventInterval = 100 * time.Millisecond
)

// engine is a model replica on a side machine.
type engine struct {
	system  *system
	service string
	ip      string
	name    string

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	leavesAt time.Time
	// full is set while the replica has no room for copies of other replicas' runs.
	full     bool
	runs     map[string]*engineRun
	copies   map[string]engineCopy
	handles  int
	prefill  time.Duration
	onArrive func(*engine, *http.Request)
	peers    func(address string) *engine
}

// engineRun is a run in progress.
type engineRun struct {
	prompt, events int
	stopped        chan struct{}
}

// engineCopy is a copy of the memory of a run.
type engineCopy struct {
	id     string
	events int
}

func (e *engine) address() string { return e.system.address(e.ip, portReplica) }

// startEngine starts a replica and the agent beside it.
func (s *system) startEngine(n int, service string) (*engine, error) {
	e := &engine{system: s, service: service, ip: s.sideIP(n), born: time.Now(), runs: map[string]*engineRun{},
		copies: map[string]engineCopy{}}
	e.name = fmt.Sprintf("i-%d", n)
	l, err := listen(e.address())
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	s.platform.add(e)
	return e, s.start("agent", e.ip, true, e.address(), service)
}

// entry implements listed.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	return map[string]any{"id": e.name, "service": e.service, "address": e.address(), "zone": zone, "version": "v1",
		"slots": engineSlots, "state": e.stateLocked(), "cold-remaining-ms": 0, "stage": "mixed", "born": e.born.UnixMilli(),
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}}
}

func (e *engine) stateLocked() string {
	if e.leavesAt.IsZero() {
		return "ready"
	}
	return "draining"
}

// reclaim gives the replica a notice, after which it is gone.
func (e *engine) reclaim(notice time.Duration) {
	e.mu.Lock()
	e.leavesAt = time.Now().Add(notice)
	e.mu.Unlock()
	e.system.printf("replica %s is to be taken away in %v", e.name, notice)
	time.AfterFunc(notice, func() {
		e.mu.Lock()
		server := e.server
		e.server = nil
		e.mu.Unlock()
		e.system.printf("replica %s is gone", e.name)
		_ = server.Close()
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/health":
		w.Header().Set("Replica-Id", e.name)
	case r.URL.Path == "/hold-take":
		_ = json.NewEncoder(w).Encode(map[string]any{"hold": fmt.Sprint("h-", time.Now().UnixNano())})
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs, used := [][]any{}, 0
	for id, run := range e.runs {
		tokens := run.prompt + run.events*eventTokens
		runs, used = append(runs, []any{id, tokens, run.events, 5}), used+tokens
	}
	report := map[string]any{"stage": "mixed", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"busy": false, "sequence": 0, "queued": 0, "running": len(runs), "kv-used": used, "kv-total": engineTokens, "handles": 0,
		"state": e.stateLocked(), "runs": runs, "next": 0, "pinned": 0, "held": 0, "born": e.born.UnixMilli()}
	if !e.leavesAt.IsZero() {
		report["leaves_ms"] = max(0, time.Until(e.leavesAt).Milliseconds())
	}
	_ = json.NewEncoder(w).Encode(report)
}

// move copies the memory of a run to another replica. With last, the run stops first.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID, Target string
		Last       bool
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	target := e.peers(call.Target)
	e.mu.Lock()
	run := e.runs[call.ID]
	if run == nil {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.handles++
	handle, c := fmt.Sprint(e.handles), engineCopy{call.ID, run.events}
	if target == nil || !target.takes(e.address()+"/"+handle, c) {
		if call.Last {
			close(run.stopped)
			delete(e.runs, call.ID)
			e.copies[e.address()+"/"+handle] = c
		}
		e.mu.Unlock()
		e.system.printf("replica %s: kv-move of %s to %s, last %v: no room", e.name, call.ID, call.Target, call.Last)
		w.WriteHeader(http.StatusServiceUnavailable)
		if call.Last {
			_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "made": c.events})
		}
		return
	}
	if call.Last {
		close(run.stopped)
		delete(e.runs, call.ID)
	}
	e.mu.Unlock()
	e.system.printf("replica %s: kv-move of %s to %s, last %v: handle %s, %d events made", e.name, call.ID, target.name, call.Last,
		handle, c.events)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "made": c.events})
}

// takes stores a copy of another replica's run and returns false if there is no room.
func (e *engine) takes(name string, c engineCopy) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.full {
		return false
	}
	for known, old := range e.copies {
		if old.id == c.id {
			delete(e.copies, known)
		}
	}
	e.copies[name] = c
	return true
}

// notExecuted answers that the request did not run.
func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// serve runs a generation. It sends the events after Last-Event-Id.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.name {
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	var prompt, output, lastEvent int
	_, _ = fmt.Sscanf(r.Header.Get("Token-Usage"), "%d,%d", &prompt, &output)
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &lastEvent)
	from := r.Header.Get("Kv-From")
	e.system.printf("replica %s: request %s arrives, Last-Event-Id %q, Kv-From %q", e.name, id, r.Header.Get("Last-Event-Id"), from)
	e.mu.Lock()
	if from != "" {
		if c, known := e.copies[from]; !known || c.id != id {
			e.mu.Unlock()
			notExecuted(w, http.StatusServiceUnavailable)
			return
		}
		delete(e.copies, from)
	}
	run := &engineRun{prompt: prompt, stopped: make(chan struct{})}
	e.runs[id] = run
	prefill, onArrive := e.prefill, e.onArrive
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.runs[id] == run {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	if onArrive != nil {
		onArrive(e, r)
	}
	if from != "" {
		prefill = 0
	}
	pause := func(d time.Duration) bool {
		select {
		case <-run.stopped:
			// The channel closes without the end of the stream.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !pause(prefill) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Response-Seal", "seal-of-"+id)
	for n := lastEvent + 1; n <= output/eventTokens; n++ {
		if !pause(eventInterval) {
			return
		}
		e.mu.Lock()
		run.events = n
		e.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", n, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	e.system.printf("replica %s: request %s made its last event", e.name, strings.TrimSpace(id))
}

// byAddress returns the engine at an address.
func byAddress(engines []*engine) func(string) *engine {
	return func(address string) *engine {
		for _, e := range engines {
			if e.address() == address {
				return e
			}
		}
		return nil
	}
}
