package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
)

// Guards against a stop that closes connections on which a request has just arrived,
// or whose caller has connected but not sent its request yet, without an answer.
func TestStopAnswersRequestsThatJustArrived(t *testing.T) {
	const connections = 60
	server := newTestServer(t, echo)
	h := newHarness(t, nil, server)
	// Connections without a request must not expire while the others are opened.
	h.changeState(func(state *desired.State) { state.Limits.HeaderTimeout = 10 * time.Second })
	request := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: %d\r\nT-Key: key\r\nT-Budget: 3000\r\nContent-Length: 4\r\n\r\ndata"
	var conns []net.Conn
	for i := range connections {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		if i%2 == 0 {
			continue
		}
		// A kept connection has served a request before.
		_, _ = fmt.Fprintf(conn, request, i)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response, err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		h.gateway.Drain(ctx, 0, h.listen)
		close(drained)
	}()
	for h.gateway.drain.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	var group sync.WaitGroup
	for i, conn := range conns {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * time.Millisecond)
			_, _ = fmt.Fprintf(conn, request, connections+i)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK || !response.Close {
				t.Errorf("request %d ms after the stop: %v, %v", i, response, err)
			}
		}()
	}
	group.Wait()
	select {
	case <-drained:
	case <-ctx.Done():
		t.Error("the drain did not end before its deadline")
	}
}

// maxDialect also reads the greatest length of an output.
type maxDialect struct{ testDialect }

func (d maxDialect) ReadRequest(h http.Header) RequestMetadata {
	m := d.testDialect.ReadRequest(h)
	m.MaxTokens, _ = strconv.Atoi(h.Get("T-Max"))
	return m
}

// Guards against a generation that a stopping entry takes after its notice and cuts, because
// it saw none of the route yet and trusts the pace that the route allows.
func TestLateGenerationAtAnUnknownPace(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, events(1, 2)) })
	for _, maxGap := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond} {
		h := newHarness(t, nil, server)
		h.gateway.options.Dialect = maxDialect{}
		h.setTimeout(longTimeout)
		h.changeRoutes(func(r *desired.Route) { r.MaxGap = maxGap })
		c := h.connect("/once/x")
		began, _ := h.stop(shortNotice)
		time.Sleep(time.Until(began.Add(shortNotice)))
		_, _ = fmt.Fprint(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nT-Max: 20\r\nContent-Length: 0\r\n\r\n")
		response, err := http.ReadResponse(c.in, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("pauses of up to %v: %v %v, want 503", maxGap, response, err)
		}
	}
}

// Guards against generations that a stopping entry takes after its notice, when callers can
// know of the stop, and cuts because they take longer than expected, and against refusals of
// those that their caller limits to the time left.
func TestLateGenerationIsNotCutByAStop(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, events(1, 2)) })
	h := newHarness(t, nil, server)
	h.gateway.options.Dialect = maxDialect{}
	conns := make([]net.Conn, 4)
	for i := range conns {
		var err error
		if conns[i], err = net.Dial("tcp", h.address); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conns[i].Close() }()
	}
	const notice = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	go h.gateway.Drain(ctx, notice, h.listen)
	time.Sleep(notice + 50*time.Millisecond)
	for i, c := range []struct {
		longest, limit string
		status         int
	}{{"40", "3000", 200}, {"40", "", 503}, {"2000", "", 503}, {"", "", 503}} {
		_, _ = fmt.Fprintf(conns[i], "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nT-Hint: 20\r\nT-Max: %s\r\nT-Budget: %s\r\nContent-Length: 0\r\n\r\n",
			c.longest, c.limit)
		response, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		if err != nil || response.StatusCode != c.status {
			t.Errorf("at most %q tokens and %q ms: %v %v, want %d", c.longest, c.limit, response, err, c.status)
		}
	}
}

// Guards against a generation that a stopping entry takes after its notice, because all
// generations so far were quick, and cuts off when its engine pauses it.
func TestStopRefusesGenerationsThatAnEngineMayPause(t *testing.T) {
	const pausedBody = "paused"
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, events(1, 1))
		if string(body) == pausedBody {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(testDrain):
			}
		}
		_, _ = io.WriteString(w, events(2, 2))
	})
	h := newHarness(t, nil, server)
	h.gateway.options.Dialect = maxDialect{}
	h.setTimeout(longTimeout)
	c := h.connect("/once/x")
	generate := func(body string) (*http.Response, string, error) {
		_, _ = fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nT-Max: 20\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		response, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		return response, string(text), err
	}
	for range 20 {
		if _, text, err := generate("quick"); text != events(1, 2) || err != nil {
			t.Fatal(text, err)
		}
	}
	began, _ := h.stop(shortNotice)
	time.Sleep(time.Until(began.Add(shortNotice + 50*time.Millisecond)))
	response, text, err := generate(pausedBody)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(verdictHeader) != "not_run" {
		t.Errorf("a generation after the notice that its engine pauses: %d %q %v, want 503 not_run", response.StatusCode, text, err)
	}
}
