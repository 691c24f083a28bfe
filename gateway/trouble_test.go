package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/fleet"
)

// rawHandler takes over the connection of a request and lets respond write to it.
func rawHandler(respond func(conn io.Writer, id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		respond(conn, r.Header.Get("T-Id"))
	}
}

// writeUntilClosed repeats a text until the other side closes, and returns the number
// of bytes that were taken.
func writeUntilClosed(w io.Writer, text string, pause time.Duration) (taken int) {
	for {
		n, err := io.WriteString(w, text)
		taken += n
		if err != nil {
			return taken
		}
		time.Sleep(pause)
	}
}

// Guards against a slow stream that is cut before the time that its route and its caller
// allow, and against a request without a bound.
func TestTimeLimit(t *testing.T) {
	for _, c := range []struct{ route, caller, want time.Duration }{
		{10 * time.Minute, 0, 10 * time.Minute}, {10 * time.Minute, 20 * time.Minute, 10 * time.Minute},
		{10 * time.Minute, 5 * time.Minute, 5 * time.Minute}, {time.Second, 0, time.Second}, {0, 0, defaultTimeout},
	} {
		x := &exchange{route: &desired.Route{Timeout: c.route}, metadata: RequestMetadata{Timeout: c.caller}}
		if got := x.timeLimit(); got != c.want {
			t.Errorf("route %v, caller %v: %v, want %v", c.route, c.caller, got, c.want)
		}
	}
}

// Guards against responses without an end that hold a request longer than its time,
// and against streams that send a byte now and then and never end.
func TestResponseWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\n"
	for _, c := range []struct {
		name, path, head, text string
		pause                  time.Duration
		status                 int
	}{
		{"bytes that are no head", "/once/x", "", "garbage ", 0, 502},
		{"one header line", "/once/x", "HTTP/1.1 200 OK\r\nA: ", "garbage ", 0, 502},
		{"header lines", "/once/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0, 502},
		{"informational responses", "/once/x", "", "HTTP/1.1 102 Processing\r\n\r\n", 0, 502},
		{"slow head", "/once/x", "HTTP/1.1 200 OK\r\nA: ", "x", 20 * time.Millisecond, 504},
		{"body", "/once/x", head + "\r\n", "garbage ", 0, 502},
		{"chunks", "/once/x", head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\ngarbage \r\n", 0, 502},
		{"slow body", "/once/x", head + "\r\n", "x", 20 * time.Millisecond, 502},
		{"error body", "/once/x", "HTTP/1.1 500 Internal Server Error\r\nT-Id: %s\r\n\r\n", "garbage ", 0, 502},
		{"stream of bytes that are no events", "/stream/x", head + "\r\n", "garbage ", 0, 0},
		{"slow stream of bytes that are no events", "/stream/x", head + "\r\n", "x", 20 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan int, 1)
			server := newTestServer(t, rawHandler(func(conn io.Writer, id string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(c.head, "%s", id))
				closed <- writeUntilClosed(conn, c.text, c.pause)
			}))
			h := newHarness(t, nil, server)
			h.fleet.set(func(f *testFleet) {
				state := *f.view.Table.State
				for i := range state.Routes {
					state.Routes[i].Timeout = 400 * time.Millisecond
				}
				f.view = &fleet.View{Table: desired.NewTable(&state), Version: 2, Servers: f.view.Servers}
			})
			status, _, body, err := h.call(c.path)
			if c.status != 0 && (err != nil || status != c.status || !strings.Contains(body, "may_have_run")) {
				t.Errorf("%d %q %v, want %d", status, body, err, c.status)
			}
			if c.status == 0 && err == nil {
				t.Errorf("a stream without an end looked complete: %d, %d bytes", status, len(body))
			}
			select {
			case n := <-closed:
				t.Logf("%d bytes taken", n)
			case <-time.After(2 * time.Second):
				t.Error("the connection to the server is still open")
			}
		})
	}
}

// Guards against responses without an end that together take more memory than a host
// has.
func TestResponsesWithoutEndShareMemory(t *testing.T) {
	const requests = 40
	garbage := bytes.Repeat([]byte("garbage "), (maxBufferedBytes-1024)/8)
	var answered sync.WaitGroup
	answered.Add(requests)
	measured := make(chan struct{})
	// settled holds the requests whose server has written its response, or that were
	// answered before that.
	var settled sync.Map
	settledCount := func() (n int) {
		settled.Range(func(any, any) bool { n++; return true })
		return n
	}
	server := newTestServer(t, rawHandler(func(conn io.Writer, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\n\r\n", id)
		_, _ = conn.Write(garbage)
		// The end is held back, so that all bodies are held at the same time.
		settled.Store(id, true)
		<-measured
	}))
	h := newHarness(t, nil, server)
	h.fleet.set(func(f *testFleet) {
		state := *f.view.Table.State
		for i := range state.Routes {
			state.Routes[i].Timeout = 20 * time.Second
		}
		f.view = &fleet.View{Table: desired.NewTable(&state), Version: 2, Servers: f.view.Servers}
	})
	liveBytes := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := liveBytes()
	for i := range requests {
		go func() {
			id := fmt.Sprint("id-", i)
			defer answered.Done()
			defer settled.Store(id, true)
			conn, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: "+id+"\r\nT-Key: key\r\n"+
				"Connection: close\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	for end := time.Now().Add(10 * time.Second); settledCount() < requests && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	// Requests that failed are given up at the same time, and a garbage collection counts
	// what is released while it runs. What is held stays until measured is closed.
	const allowed = defaultBufferBytes + requests*2*unbudgetedBytes
	held := liveBytes()
	for end := time.Now().Add(5 * time.Second); held > before+allowed && time.Now().Before(end); held = liveBytes() {
		time.Sleep(10 * time.Millisecond)
	}
	close(measured)
	answered.Wait()
	t.Logf("%d KB held, %d KB before", held>>10, before>>10)
	if held > before+allowed {
		t.Errorf("%d bytes are held while %d responses are read, %d before", held, requests, before)
	}
}

// unframed responds without a length or chunks and closes the connection in order.
func unframed(w http.ResponseWriter, r *http.Request, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nT-Seal: s\r\n\r\n"+body)
	_ = conn.Close()
}

// Guards against a stream without length or chunks that broke off inside an event and
// looks complete, and against one that ended and looks broken off.
func TestStreamWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		sent  string
		whole bool
	}{
		"whole events":                 {events(1, 3), true},
		"inside an event":              {events(1, 3) + "id: 4\nda", false},
		"after a line inside an event": {events(1, 3) + "id: 4\ndata: x\n", false},
		"inside the first event":       {"id: 1", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
				unframed(w, r, c.sent)
			})
			status, _, body, err := newHarness(t, nil, server).call("/stream/x")
			if status != http.StatusOK || (err == nil) != c.whole || c.whole && body != c.sent {
				t.Errorf("%d %q %v, want whole: %v", status, body, err, c.whole)
			}
		})
	}
}
