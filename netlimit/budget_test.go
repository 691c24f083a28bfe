package netlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/intake"
)

func dialFrom(t *testing.T, host, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// Guards against a client with many stalled requests that displaces one of another address, and
// against ports that count as a part of the address.
func TestAddressWithMostStalledBytesGivesWay(t *testing.T) {
	limits := testLimits()
	address, _ := serveTest(t, limits, nil)
	stall := func(host string, size int) net.Conn {
		conn, before := dialFrom(t, host, address), limits.Budget.Used()
		if _, err := io.WriteString(conn, head(size)+strings.Repeat("x", size-1)); err != nil {
			t.Fatal(err)
		}
		awaitTest(t, "the body is counted", func() bool { return limits.Budget.Used() == before+int64(size) })
		return conn
	}
	// The single request is the largest and has been stalled for longest.
	single := stall("127.0.0.2", 24<<10)
	first, second := stall("127.0.0.3", 16<<10), stall("127.0.0.3", 16<<10)
	time.Sleep(intake.MaxIdle + 100*time.Millisecond)
	text := strings.Repeat("y", 12<<10)
	ordinary := dialTest(t, address)
	if _, err := io.WriteString(ordinary, head(len(text))+text); err != nil {
		t.Fatal(err)
	}
	if response, body := readAnswer(t, ordinary); response.StatusCode != http.StatusOK || body != text {
		t.Errorf("the ordinary request got %s: %.100s", response.Status, body)
	}
	if response, _ := readAnswer(t, first); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the first request of the address that holds most got %s", response.Status)
	}
	_ = second.Close()
	awaitTest(t, "only the single request is held", func() bool { return limits.Budget.Used() == 24<<10 })
	if _, err := io.WriteString(single, "x"); err != nil {
		t.Fatal(err)
	}
	if response, _ := readAnswer(t, single); response.StatusCode != http.StatusOK {
		t.Errorf("the only request of its address got %s", response.Status)
	}
}

// Guards against a refused request that keeps its memory while it waits for that of another one.
func TestRefusedRequestStopsWaiting(t *testing.T) {
	budget := NewBudget(100)
	open := func(n int64) *Holding {
		h := budget.Open(nil, func() {})
		if err := h.Grow(n); err != nil {
			t.Fatal(err)
		}
		return h
	}
	waiting, served := open(30), open(0)
	served.Complete()
	younger := open(70)
	began, ended := time.Now(), make(chan error)
	go func() { ended <- waiting.Grow(20) }()
	awaitTest(t, "the younger request is refused", younger.IsRefused)
	go func() { _ = served.Grow(90) }()
	if err := <-ended; err != ErrNoMemory || !waiting.IsRefused() || time.Since(began) >= roomTimeout {
		t.Errorf("the wait ended after %v: %v", time.Since(began), err)
	}
}

// Guards against segments that exceed what was announced, which would make a small request count as
// larger than it is, and against more bytes than were announced.
func TestSegmentsEndWithTheAnnouncedBytes(t *testing.T) {
	for _, size := range []int64{1, firstSegment, firstSegment + 1, 3*firstSegment + 1, 3 * maxSegment} {
		budget := NewBudget(4 << 20)
		holding := budget.Open(nil, func() {})
		parts, err := ReadSegments(holding, strings.NewReader(strings.Repeat("x", int(size)+1)), size)
		received := int64(0)
		for _, part := range parts {
			received += int64(len(part))
		}
		if err != nil || received != size || budget.Used() != size {
			t.Errorf("%d of %d bytes, %d counted: %v", received, size, budget.Used(), err)
		}
		s := segments{holding: budget.Open(nil, func() {}), announced: size}
		if err := s.read(strings.NewReader(strings.Repeat("x", int(size)+1)), 2*size); err == nil {
			t.Errorf("%d bytes were received, %d announced", size+1, size)
		}
	}
}
