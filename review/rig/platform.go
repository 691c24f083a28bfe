package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// listed is a replica in the platform's list.
type listed interface{ entry() map[string]any }

// platform serves the list of replicas and plays the operator.
type platform struct {
	system  *system
	address string

	mu       sync.Mutex
	replicas []listed
}

func newPlatform(s *system, address string) (*platform, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &platform{system: s, address: address}
	go func() { _ = http.Serve(l, http.HandlerFunc(p.serveList)) }()
	return p, nil
}

func (p *platform) add(r listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = append(p.replicas, r)
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []map[string]any{}
	for _, replica := range p.replicas {
		if e := replica.entry(); e != nil && (r.URL.Query().Get("zone") == "" || r.URL.Query().Get("zone") == e["zone"]) {
			entries = append(entries, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// put sends a desired state once to a control process, and returns the status, 0 without an answer.
func (p *platform) put(ip string, state []byte) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+p.system.address(ip, portControl)+"/Config.Put", "application/json", bytes.NewReader(state))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	p.system.printf("operator: Config.Put at control-%s answered %d %s", ip, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode
}

// publish sends a desired state until it is acknowledged.
func (p *platform) publish(state any) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	n := 0
	return await("the ack of a desired state", 15*time.Second, func() bool {
		n++
		return p.put(p.system.fronts[n%len(p.system.fronts)], text) == http.StatusOK
	})
}

// awaitReady waits until an entry reports itself ready, as the platform's ingress does.
func (p *platform) awaitReady(ip string) error {
	client := http.Client{Timeout: time.Second}
	return await("a ready entry", 20*time.Second, func() bool {
		response, err := client.Get("http://" + p.system.address(ip, portReady) + "/readiness")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
