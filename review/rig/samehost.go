package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	scenarios["same-host"] = sameHost
	scenarios["escaped-path"] = escapedPath
}

// startTwoServices starts three fronts and a replica of each of two plain services.
func startTwoServices(s *system, first, second string) (a, b *plainReplica, err error) {
	if err = s.startFronts(3); err != nil {
		return nil, nil, err
	}
	if a, err = s.startPlain(0, first, wholeAnswer); err != nil {
		return nil, nil, err
	}
	b, err = s.startPlain(1, second, wholeAnswer)
	return a, b, err
}

// awaitEntries waits until all entries are ready and know the newest desired state.
func awaitEntries(s *system) error {
	for _, ip := range s.fronts {
		if err := s.platform.awaitReady(ip); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// sameHost: an operator sends a desired state in which two routes share a host and a prefix, with the host written
// in two ways.
func sameHost(s *system, trouble bool) (bool, error) {
	const first, second = "agent-portal", "audit-portal"
	a, b, err := startTwoServices(s, first, second)
	if err != nil {
		return false, err
	}
	services := []map[string]any{declaredPlain(first), declaredPlain(second)}
	routes := []map[string]any{plainRoute("r-vz3pfi6", streamHost, "/pufi791/", "safe", first)}
	if err := s.platform.publish(desiredState(7, routes, services)); err != nil {
		return false, err
	}
	if err := awaitEntries(s); err != nil {
		return false, err
	}
	send := func(id string) answer {
		r := request{id: id, method: http.MethodGet, host: streamHost, path: "/pufi791/2f", timeout: plainTimeout,
			header: map[string]string{"Authorization": "Bearer " + key}}.send(s.address(s.fronts[0], portFront), nil)
		s.printf("consumer: %s for %s/pufi791/ ends: status %d, %q; runs: %s %d, %s %d", id, streamHost, r.status, r.body, first,
			a.runsOf(id), second, b.runsOf(id))
		return r
	}
	if r := send("9c41d07be2a30000"); r.status != http.StatusOK || a.runsOf("9c41d07be2a30000") != 1 {
		return false, fmt.Errorf("the first request was not served by its service")
	}
	name := "ficu96.example"
	if trouble {
		name = strings.ToUpper(streamHost[:1]) + streamHost[1:]
	}
	routes = append(routes, plainRoute("r-x5pa2yh", name, "/pufi791/", "safe", second))
	text, err := json.Marshal(desiredState(9, routes, services))
	if err != nil {
		return false, err
	}
	s.printf("operator: sends version 9 with a second route for host %s, prefix /pufi791/, to service %s", name, second)
	status := s.platform.put(s.fronts[1], text)
	if status == 0 || status >= 500 {
		return false, fmt.Errorf("the operator got no clear answer")
	}
	time.Sleep(3 * time.Second)
	wrong := 0
	for n := range 10 {
		id := fmt.Sprintf("9c41d07be2a31%03x", n)
		send(id)
		wrong += b.runsOf(id)
	}
	s.printf("CONFIG: the desired state was answered %d; ROUTE: %d of 10 requests for %s were run by %s", status, wrong, streamHost, second)
	return trouble && status == http.StatusOK || wrong > 0, nil
}

// escapedPath: a consumer's path has an escaped slash.
func escapedPath(s *system, trouble bool) (bool, error) {
	const first, second = "agent-portal", "audit-portal"
	a, b, err := startTwoServices(s, first, second)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{plainRoute("r-vz3pfi6", streamHost, "/pufi791/", "unsafe", first),
		plainRoute("r-x5pa2yh", streamHost, "/pufi791/lohu/", "unsafe", second)}
	state := desiredState(7, routes, []map[string]any{declaredPlain(first), declaredPlain(second)})
	if err := s.platform.publish(state); err != nil {
		return false, err
	}
	if err := awaitEntries(s); err != nil {
		return false, err
	}
	path := "/pufi791/lohu-2f"
	if trouble {
		path = "/pufi791/lohu%2F2f"
	}
	wrong, served := 0, 0
	for n := range 10 {
		id := fmt.Sprintf("9c41d07be2a32%03x", n)
		r := request{id: id, method: http.MethodPost, host: streamHost, path: path, timeout: plainTimeout, body: "{}",
			header: map[string]string{"Authorization": "Bearer " + key}}.send(s.address(s.fronts[n%3], portFront), nil)
		s.printf("consumer: %s for path %s ends: status %d, %q; runs: %s %d, %s %d", id, path, r.status, r.body, first, a.runsOf(id),
			second, b.runsOf(id))
		wrong += b.runsOf(id)
		served += a.runsOf(id) + b.runsOf(id)
	}
	if !trouble && served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	s.printf("ROUTE: %d of 10 requests whose path begins with /pufi791/ and not with /pufi791/lohu/ were run by %s", wrong, second)
	return wrong > 0, nil
}
