package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a process that ends while a connection with its last answer still holds
// unread bytes, so that the kernel resets the connection and may drop the answer.
func TestStopEndsAfterTheLastAnswersAreTaken(t *testing.T) {
	h, _ := newStopHarness(t)
	c := h.connect("/twice/x")
	_, done := h.stop(shortNotice)
	_, _ = fmt.Fprintf(c, callFormat, "/twice/x", longTimeout.Milliseconds(), len(longBody), longBody)
	_, _ = fmt.Fprintf(c, callFormat, "/twice/x", longTimeout.Milliseconds(), 0, "")
	_ = c.SetReadDeadline(time.Now().Add(longTimeout))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusBadGateway {
		t.Fatalf("the answer at the end of the stop: %v %v", response, err)
	}
	select {
	case <-done:
		if n := h.gateway.connections(); n > 0 {
			t.Errorf("the drain ended with %d connections that wait for their callers", n)
		}
	case <-time.After(cutOffGrace / 2):
	}
	_ = c.Close()
	<-done
}

// Guards against a stop that closes a connection without an answer while the body of a
// request is being read.
func TestStopAnswersRequestsWhoseBodyIsBeingRead(t *testing.T) {
	h, server := newStopHarness(t)
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, done := h.stop(shortNotice)
	_, _ = fmt.Fprintf(conn, callFormat, "/once/x", longTimeout.Milliseconds(), 1000, "the first part")
	_ = conn.SetReadDeadline(time.Now().Add(longTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close ||
		response.Header.Get(verdictHeader) != "not_run" || response.Header.Get("Retry-After") == "" {
		t.Errorf("a request with a part of its body: %v %v, want 503 not_run", response, err)
	}
	_ = conn.Close()
	<-done
	if n := server.count.Load(); n > 0 {
		t.Errorf("%d requests were passed on", n)
	}
}
