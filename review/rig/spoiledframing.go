package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { scenarios["spoiled-framing"] = spoiledFraming }

const (
	plainService = "wuno96b"
	// spoilEach is the number of answers of a faulty replica of which one is spoiled, 0.02 of them.
	spoilEach    = 50
	plainSent    = 300
	plainTimeout = 1500 * time.Millisecond
)

// plainRoute returns a route to a plain service.
func plainRoute(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "hostname": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 1500,
		"target-latency-ms": 150, "priority": 1, "service": service, "max-attempts": 2, "anonymous": false, "sticky": false,
		"resumable": false}
}

func declaredPlain(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 120, "protocol": "h1", "tls": false}
}

// spoiledFraming: one of three replicas spoils a byte of the heads of some answers.
func spoiledFraming(s *system, trouble bool) (bool, error) {
	if err := s.startFronts(3); err != nil {
		return false, err
	}
	var answers atomic.Int64
	for n := range 3 {
		write := wholeAnswer
		if n == 0 && trouble {
			write = func(conn net.Conn, r *http.Request, body string) {
				version := "HTTP/1.1"
				if answers.Add(1)%spoilEach == 0 {
					version = "HTTP/1.0"
					s.printf("replica i-0: spoils the answer to %s: the head says HTTP/1.0, the body comes in chunks", r.Header.Get("Attempt-Id"))
				}
				chunkedAnswer(conn, r, body, version)
			}
		}
		if _, err := s.startPlain(n, plainService, write); err != nil {
			return false, err
		}
	}
	route := plainRoute("r-vz3pfi6", streamHost, "/pufi791/", "safe", plainService)
	if err := s.platform.publish(desiredState(7, []map[string]any{route}, []map[string]any{declaredPlain(plainService)})); err != nil {
		return false, err
	}
	for _, ip := range s.fronts {
		if err := s.platform.awaitReady(ip); err != nil {
			return false, err
		}
	}
	wrong, served := 0, 0
	for n := range plainSent {
		id := fmt.Sprintf("9c41d07be2a4%04x", n)
		a := request{id: id, method: http.MethodGet, host: streamHost, path: "/pufi791/2f", timeout: plainTimeout,
			header: map[string]string{"Authorization": "Bearer " + key}}.send(s.address(s.fronts[n%len(s.fronts)], portFront), nil)
		if a.err != nil || a.status != http.StatusOK {
			s.printf("consumer: %s ends: status %d, %v", id, a.status, a.err)
			continue
		}
		served++
		if want := bodyFor(plainService, id); string(a.body) != want || a.header.Get("Response-Seal") != "seal-of-"+id {
			wrong++
			s.printf("consumer: %s gets 200, seal %q, as a complete body: %q, but the replica's body was %q", id,
				a.header.Get("Response-Seal"), a.body, want)
		}
	}
	s.printf("MIXED: %d of %d requests got 200; %d of these have a body that is not the replica's", served, plainSent, wrong)
	if served < plainSent/2 {
		return false, fmt.Errorf("most requests were not served")
	}
	return wrong > 0, nil
}
