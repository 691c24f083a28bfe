package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
)

// Guards against an answer that a caller loses because its connection, for which there is no room, is
// reset while the caller sends a body.
func TestRefusedConnectionWithABodyIsNotReset(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	server := newTestServer(t, func(http.ResponseWriter, *http.Request) { arrived <- struct{}{}; <-release })
	h := newHarness(t, nil, server)
	h.setTimeout(longTimeout)
	h.gateway.mu.Lock()
	h.gateway.options.MaxConnections = 1
	h.gateway.mu.Unlock()
	h.dialRaw(fmt.Sprintf(callFormat, "/once/x", longTimeout.Milliseconds(), 0, ""))
	<-arrived
	body := strings.Repeat("x", 2<<20)
	h.changeState(func(state *desired.State) { state.Limits.BodyBytes = int64(len(body)) })
	conn := h.dialRaw("")
	sent := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(conn, callFormat, "/once/x", longTimeout.Milliseconds(), len(body), "")
		for part := len(body) / 8; body != "" && err == nil; body = body[part:] {
			_, err = io.WriteString(conn, body[:part])
			time.Sleep(20 * time.Millisecond)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		sent <- err
	}()
	if err := <-sent; err != nil {
		t.Errorf("sending the request: %v", err)
	}
	if answer, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503") {
		t.Errorf("got %.100q, %v", answer, err)
	}
}

// Guards against a request that is refused in the moment in which it begins and is read until its
// timeout nevertheless, while its place counts as free.
func TestRequestIsRefusedAsItBegins(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, echo))
	h.setTimeout(longTimeout)
	h.changeState(func(state *desired.State) { state.Limits.HeaderTimeout = longTimeout })
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
				h.gateway.memory.evictOne()
			}
		}
	}()
	defer func() { close(done); <-ended }()
	for range 300 {
		conn := h.dialRaw("POST /once/x HTTP/1.1\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(longTimeout / 2))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("a request that was refused got no answer: %v", err)
		}
		_ = conn.Close()
	}
}

// Guards against responses that together exceed their memory, because several wait for requests to
// give way at the same time.
func TestResponsesThatWaitAreBounded(t *testing.T) {
	const limit, each = 100, 40
	b := newMemoryBudget(limit, func() time.Duration { return 0 })
	b.intakeLimit, b.responseLimit = limit, each
	unfinished := b.begin("a", func() {})
	if err := unfinished.take(limit); err != nil {
		t.Fatal(err)
	}
	granted := make(chan bool, 2)
	for range cap(granted) {
		go func() { granted <- b.takeResponse(each) }()
	}
	time.Sleep(50 * time.Millisecond)
	unfinished.release()
	if first, second := <-granted, <-granted; first == second || b.responses != each || b.inUse() != each {
		t.Errorf("granted %v and %v, %d bytes of %d", first, second, b.responses, each)
	}
}
