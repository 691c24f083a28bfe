package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// finishedEvents is the length of a generation of about 180 kB, which is more than a send
// buffer holds without being enlarged.
const finishedEvents = 7000

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

// Guards against a stop that cuts off a generation whose server has finished, because its
// caller reads slowly.
func TestStopHandsFinishedStreamsOver(t *testing.T) {
	finished := make(chan struct{})
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, events(1, finishedEvents))
		close(finished)
	})
	h := newHarness(t, nil, server)
	h.setTimeout(longTimeout)
	// Small segments and a small receive buffer make the gateway wait for the caller.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 500),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2000))
		}); e != nil {
			return e
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, callFormat, "/stream/x", longTimeout.Milliseconds(), 0, "")
	<-finished
	_, done := h.stopWithin(shortNotice, time.Second)
	<-done
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(longTimeout))
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != events(1, finishedEvents) {
		t.Errorf("read %d bytes of the generation: %v", len(body), err)
	}
}

// cutOffDialect cuts off all requests when the head of an answer is read.
type cutOffDialect struct {
	testDialect
	gateway *Gateway
}

func (d cutOffDialect) ReadResponse(status int, header http.Header) ResponseMetadata {
	d.gateway.mu.Lock()
	for c := range d.gateway.conns {
		c.cutOff()
	}
	d.gateway.mu.Unlock()
	return d.testDialect.ReadResponse(status, header)
}

// Guards against a generation that is reset without an answer, because the stop ends between
// the head of its server's answer and that to the caller.
func TestStopAnswersGenerationsWhoseServersHaveJustAnswered(t *testing.T) {
	h := newHarness(t, nil, newPausingServer(t))
	h.gateway.options.Dialect = cutOffDialect{gateway: h.gateway}
	for range quickCalls {
		status, header, _, err := h.call("/stream/x?ms=500")
		if err != nil || status != http.StatusBadGateway || header.Get(verdictHeader) != verdictMaybe {
			t.Errorf("status %d, %v, want 502 %s", status, err, verdictMaybe)
		}
	}
}
