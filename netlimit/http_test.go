package netlimit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testTimeout only ends a test that hangs.
const testTimeout = 20 * time.Second

func testLimits() Limits {
	return Limits{MaxConns: 4, MaxHeaderBytes: 4 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		BodyTimeout: time.Minute, MinBodyRate: 1 << 20, Budget: NewBudget(64 << 10)}
}

const testBodyLimit = 1 << 20

// serveTest serves with limits. A request answers with its body after wait.
func serveTest(t *testing.T, limits Limits, wait func(context.Context)) (address string, guard *Guard) {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, failure := ReadBody(r, testBodyLimit)
		if failure != nil {
			SetNotRun(w.Header(), failure.Status)
			Answer(w, r, failure.Status, []byte(failure.Error()))
			return
		}
		if wait != nil {
			wait(r.Context())
		}
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write(body)
	})}
	guard = Protect(server, limits, NewReporter("test", nil, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), guard
}

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

func readAnswer(t *testing.T, conn net.Conn) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func head(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
}

func awaitTest(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against refusals that the client can not read, because it still sends when the connection
// closes, and against refusals that do not say that the request was not run.
func TestRefusalsReachTheClient(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Limits)
		send   func(conn net.Conn)
		status int
	}{
		{"too large, announced", nil, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(4<<20)+strings.Repeat("x", 4<<20))
		}, http.StatusRequestEntityTooLarge},
		{"too large, chunked", func(l *Limits) { l.Budget = NewBudget(8 << 20) }, func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
				4<<20, strings.Repeat("x", 4<<20))
		}, http.StatusRequestEntityTooLarge},
		{"larger than the budget", nil, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(1<<20)+strings.Repeat("x", 1<<20))
		}, http.StatusServiceUnavailable},
		{"slow", func(l *Limits) { l.BodyTimeout = 50 * time.Millisecond }, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(100)+"x")
		}, http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := testLimits()
			if c.change != nil {
				c.change(&limits)
			}
			address, guard := serveTest(t, limits, nil)
			conn := dialTest(t, address)
			c.send(conn)
			response, _ := readAnswer(t, conn)
			if response.StatusCode != c.status ||
				(response.Header.Get("Retry-After") == "") != (c.status == http.StatusRequestEntityTooLarge) || response.Header.Get(verdictHeader) != notRun {
				t.Errorf("got %s, %v", response.Status, response.Header)
			}
			_ = conn.Close()
			awaitTest(t, "nothing is held", func() bool { return limits.Budget.Used() == 0 && guard.Conns() == 0 })
		})
	}
}

// Guards against unfinished large bodies that keep a small request from being served.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	limits := testLimits()
	address, _ := serveTest(t, limits, nil)
	large := dialTest(t, address)
	// The bytes that arrive take all memory of the budget but a few KiB.
	if _, err := io.WriteString(large, head(1<<20)+strings.Repeat("x", 50<<10)); err != nil {
		t.Fatal(err)
	}
	awaitTest(t, "the memory is used up", func() bool { return limits.Budget.Used() > 50<<10 })
	small := dialTest(t, address)
	text := strings.Repeat("y", 12<<10)
	if _, err := io.WriteString(small, head(len(text))+text); err != nil {
		t.Fatal(err)
	}
	if response, body := readAnswer(t, small); response.StatusCode != http.StatusOK || body != text {
		t.Errorf("the small request got %s: %.100s", response.Status, body)
	}
	if response, _ := readAnswer(t, large); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the large request got %s", response.Status)
	}
}

// Guards against bodies that are not received as they were sent, and against memory that stays
// counted.
func TestBodiesArriveWhole(t *testing.T) {
	limits := testLimits()
	limits.Budget = NewBudget(4 << 20)
	address, _ := serveTest(t, limits, nil)
	for _, size := range []int{0, 1, firstSegment - 1, firstSegment, firstSegment + 1, 100_000, testBodyLimit} {
		sent := bytes.Repeat([]byte("0123456789a"), size/11+1)[:size]
		for _, chunked := range []bool{false, true} {
			var from io.Reader = bytes.NewReader(sent)
			if chunked {
				from = io.MultiReader(from)
			}
			response, err := http.Post("http://"+address, "", from)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK || !bytes.Equal(got, sent) {
				t.Errorf("%d bytes, chunked %v: %s, %d bytes back, %v", size, chunked, response.Status, len(got), err)
			}
		}
	}
	awaitTest(t, "nothing is held", func() bool { return limits.Budget.Used() == 0 })
}

// Guards against a body timeout that ends requests which are still being served.
func TestServingMayTakeLongerThanTheBody(t *testing.T) {
	limits := testLimits()
	limits.BodyTimeout = 100 * time.Millisecond
	address, _ := serveTest(t, limits, func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	})
	conn := dialTest(t, address)
	if _, err := io.WriteString(conn, head(4)+"data"); err != nil {
		t.Fatal(err)
	}
	if response, body := readAnswer(t, conn); response.StatusCode != http.StatusOK || body != "data" {
		t.Errorf("got %s: %s", response.Status, body)
	}
}

// Guards against connections without a request in progress that keep others from being served, and
// against requests in progress that are cut for new connections.
func TestConnectionsGiveWay(t *testing.T) {
	limits := testLimits()
	release := make(chan struct{})
	address, guard := serveTest(t, limits, func(context.Context) { <-release })
	for _, text := range []string{"", "POST / HTT", head(10) + "x", ""} {
		if _, err := io.WriteString(dialTest(t, address), text); err != nil {
			t.Fatal(err)
		}
	}
	awaitTest(t, "all connections are accepted", func() bool { return guard.Conns() == limits.MaxConns })
	var busy []net.Conn
	for range limits.MaxConns {
		conn := dialTest(t, address)
		if _, err := io.WriteString(conn, head(4)+"data"); err != nil {
			t.Fatal(err)
		}
		busy = append(busy, conn)
		time.Sleep(50 * time.Millisecond)
	}
	refused := dialTest(t, address)
	if _, err := io.WriteString(refused, head(4)+"data"); err != nil {
		t.Fatal(err)
	}
	if response, _ := readAnswer(t, refused); response.StatusCode != http.StatusServiceUnavailable ||
		response.Header.Get(verdictHeader) != notRun || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %s, %v", response.Status, response.Header)
	}
	close(release)
	for _, conn := range busy {
		if response, body := readAnswer(t, conn); response.StatusCode != http.StatusOK || body != "data" {
			t.Errorf("a request in progress got %s: %s", response.Status, body)
		}
	}
}

// bodyEnd is a body that calls atEnd when its last bytes have been read.
type bodyEnd struct {
	io.ReadCloser
	atEnd func()
}

func (b *bodyEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.atEnd != nil {
		b.atEnd()
		b.atEnd = nil
	}
	return n, err
}

// Guards against a request that is served although it was chosen to be refused when its last bytes
// arrived: the end of the read that refuses it cancels its context, and its memory counts as about to
// be released.
func TestRefusedAtTheLastByte(t *testing.T) {
	for name, refuse := range map[string]func(*request){
		"for memory":         refuseForMemory,
		"for its connection": func(s *request) { s.guard.conns.Add(func() {}) },
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.MaxConns = 1
			served := false
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				state := r.Context().Value(requestKey{}).(*request)
				r.Body = &bodyEnd{r.Body, func() { refuse(state) }}
				body, failure := ReadBody(r, testBodyLimit)
				if failure != nil {
					SetNotRun(w.Header(), failure.Status)
					Answer(w, r, failure.Status, []byte(failure.Error()))
					return
				}
				served = true
				_, _ = w.Write(body)
			})}
			Protect(server, limits, NewReporter("test", nil, nil))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			conn := dialTest(t, listener.Addr().String())
			if _, err := io.WriteString(conn, head(4)+"data"); err != nil {
				t.Fatal(err)
			}
			if response, _ := readAnswer(t, conn); response.StatusCode != http.StatusServiceUnavailable || served {
				t.Errorf("%s, served %v, want a refusal", response.Status, served)
			}
		})
	}
}

// refuseForMemory makes an older request that is much larger than the one of s need its memory.
func refuseForMemory(s *request) {
	budget := s.guard.limits.Budget
	answer := budget.Open(s.conn.conn.RemoteAddr(), func() {})
	_ = answer.Complete()
	_, _ = answer.tryGrow(budget.Limit() - 1)
}

// Guards against clients that read no answers and keep all connections of a listener for good.
func TestUnreadAnswersEnd(t *testing.T) {
	limits := testLimits()
	limits.MaxConns, limits.AnswerTimeout = 1, 200*time.Millisecond
	address, guard := serveTest(t, limits, nil)
	conn := dialTest(t, address)
	text := strings.Repeat("x", 1<<10)
	// The client sends requests until the server no longer reads, and reads nothing.
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	for {
		if _, err := io.WriteString(conn, head(len(text))+text); err != nil {
			break
		}
	}
	awaitTest(t, "the connection was closed", func() bool { return guard.Conns() == 0 })
}
