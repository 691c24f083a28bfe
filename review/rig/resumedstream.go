package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["resumed-stream"] = resumedStream }

const (
	streamHost    = "ficu95.example"
	streamService = "huvo11a"
	key           = "xd9dnn2ctnfzs989anu6"
	streamEvents  = 60
	// notice is how long before the end of a replica the notice comes.
	notice = 2 * time.Second
)

// engineService declares the service of engines.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 422, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": engineSlots, "kv-capacity-tokens": engineTokens, "kv-bytes": 163840, "link-mbps": 24000.0,
			"moves": true, "backups": true, "stride": eventTokens, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0,
			"models": []map[string]any{{"name": "m"}}}}
}

// desiredState returns a desired state.
func desiredState(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
			"idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api-keys": []string{key}, "priority": 1}}}
}

// resumedStream: a consumer resumes a stream, and the replica that got the second request is reclaimed before
// it has made an event.
func resumedStream(s *system, trouble bool) (bool, error) {
	if err := s.startFronts(3); err != nil {
		return false, err
	}
	var engines []*engine
	for n := range 3 {
		e, err := s.startEngine(n, streamService)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	var mu sync.Mutex
	reached := map[string]*engine{}
	for _, e := range engines {
		e.peers, e.prefill = byAddress(engines), 600*time.Millisecond
		e.onArrive = func(e *engine, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if id := r.Header.Get("Attempt-Id"); reached[id] == nil {
				reached[id] = e
			}
		}
	}
	replicaOf := func(id string) *engine {
		mu.Lock()
		defer mu.Unlock()
		return reached[id]
	}
	setFull := func(full bool) {
		for _, e := range engines {
			e.mu.Lock()
			e.full = full
			e.mu.Unlock()
		}
	}
	route := map[string]any{"name": "r-x5pa2yh", "hostname": streamHost, "path-prefix": "/lohu930/", "kind": "streaming",
		"timeout-ms": 39000, "target-latency-ms": 1500, "priority": 0, "service": streamService, "max-attempts": 2, "anonymous": false,
		"sticky": true, "resumable": true, "target-gap-ms": 180}
	if err := s.platform.publish(desiredState(7, []map[string]any{route}, []map[string]any{engineService(streamService)})); err != nil {
		return false, err
	}
	for _, ip := range s.fronts {
		if err := s.platform.awaitReady(ip); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	attempt := func(id string, entry string, header map[string]string, onBytes func([]byte)) answer {
		header["Authorization"], header["Model"] = "Bearer "+key, "m"
		header["Token-Usage"], header["Prefix-Hash"] = fmt.Sprintf("1460,%d", streamEvents*eventTokens), "5c1e07a2:800,91bd3f06:660"
		s.printf("consumer: sends %s to entry-%s, Last-Event-Id %q", id, entry, header["Last-Event-Id"])
		a := request{id: id, method: http.MethodPost, host: streamHost, path: "/lohu930/2f", body: "a brief", header: header,
			timeout: 30 * time.Second}.send(s.address(entry, portFront), onBytes)
		s.printf("consumer: %s ends: status %d, seal %q, events %v, %v", id, a.status, a.header.Get("Response-Seal"), eventIDs(a.body), a.err)
		return a
	}
	setFull(true)
	once := sync.Once{}
	first := attempt("9c41d07be2a35f60", s.fronts[0], map[string]string{}, func(body []byte) {
		if trouble && len(eventIDs(body)) >= 3 {
			once.Do(func() { replicaOf("9c41d07be2a35f60").reclaim(notice) })
		}
	})
	got := eventIDs(first.body)
	if first.status != http.StatusOK || len(got) == 0 {
		return false, fmt.Errorf("the first attempt was not served")
	}
	if first.err != nil {
		setFull(false)
		second := "9c41d07be2a35f61"
		go func() {
			if await("the second request at a replica", 10*time.Second, func() bool { return replicaOf(second) != nil }) == nil {
				time.Sleep(250 * time.Millisecond)
				replicaOf(second).reclaim(notice)
			}
		}()
		a := attempt(second, s.fronts[1], map[string]string{"Last-Event-Id": fmt.Sprint(got[len(got)-1])}, nil)
		if a.status != http.StatusOK {
			return false, fmt.Errorf("the second attempt was not served")
		}
		got = append(got, eventIDs(a.body)...)
	}
	s.printf("consumer: all events in the order of their arrival: %v", got)
	sorted := slices.Clone(got)
	slices.Sort(sorted)
	twice := len(sorted) - len(slices.Compact(sorted))
	s.printf("ORDER: %d pieces came twice, in order: %v", twice, slices.IsSorted(got))
	return twice > 0 || !slices.IsSorted(got), nil
}
