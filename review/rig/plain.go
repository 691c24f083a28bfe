package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	plainSlots = 6
	plainWork  = 15 * time.Millisecond
)

// plainReplica is a replica of a service without engines. It serves one request on a channel at a time and
// closes the channel after the answer, as `Connection: close` of the request asks.
type plainReplica struct {
	system      *system
	service, ip string
	name        string
	listener    net.Listener
	writeAnswer func(conn net.Conn, r *http.Request, body string)
	mu          sync.Mutex
	runs        map[string]int
}

// startPlain starts a replica of a plain service.
func (s *system) startPlain(n int, service string, writeAnswer func(net.Conn, *http.Request, string)) (*plainReplica, error) {
	p := &plainReplica{system: s, service: service, ip: s.sideIP(n), name: fmt.Sprintf("i-%d", n), writeAnswer: writeAnswer,
		runs: map[string]int{}}
	var err error
	if p.listener, err = listen(p.address()); err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	s.platform.add(p)
	return p, nil
}

func (p *plainReplica) address() string { return p.system.address(p.ip, portReplica) }

// entry implements listed.
func (p *plainReplica) entry() map[string]any {
	return map[string]any{"id": p.name, "service": p.service, "address": p.address(), "zone": zone, "version": "v1",
		"slots": plainSlots, "state": "ready", "cold-remaining-ms": 0}
}

// runsOf returns how often the replica ran a request.
func (p *plainReplica) runsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

func (p *plainReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != p.name:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return
	case id == "":
		_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	time.Sleep(plainWork)
	p.writeAnswer(conn, r, bodyFor(p.service, id))
}

// bodyFor returns the body of the answer of a service to a request.
func bodyFor(service, id string) string {
	return fmt.Sprintf("answer of %s to %s: %s\n", service, id, "0123456789012345678901234567890123456789")
}

// wholeAnswer writes a sound answer in chunks.
func wholeAnswer(conn net.Conn, r *http.Request, body string) {
	chunkedAnswer(conn, r, body, "HTTP/1.1")
}

// chunkedAnswer writes an answer in chunks with a version of HTTP.
func chunkedAnswer(conn net.Conn, r *http.Request, body, version string) {
	half := len(body) / 2
	_, _ = fmt.Fprintf(conn, "%s 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Type: text/plain\r\n"+
		"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", version,
		r.Header.Get("Attempt-Id"), r.Header.Get("Attempt-Id"), half, body[:half], len(body)-half, body[half:])
}
