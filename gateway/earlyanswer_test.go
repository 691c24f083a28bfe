package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/streamend"
	"github.com/pkg/errors"
)

const (
	// uploadBytes is more than the send buffer of a connection and the receive buffer of an earlyServer hold.
	uploadBytes      = 8 << 20
	earlyReadBuffer  = 4 << 10
	earlyStrikeDelay = 60 * time.Millisecond
	// earlyTimeout is longer than two attempts whose server stalls.
	earlyTimeout = 3*tcpUserTimeout + 2*time.Second
)

// earlyServer is a backend server that answers before it has read the body of the request and then strikes.
type earlyServer struct {
	listener net.Listener
	// answer returns the bytes of the answer to a request.
	answer func(*http.Request) string
	strike func(*net.TCPConn)
	count  atomic.Int64
}

// newEarlyServer starts a server that listens with a small receive buffer.
func newEarlyServer(t *testing.T, answer func(*http.Request) string, strike func(*net.TCPConn)) *earlyServer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyReadBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &earlyServer{listener: listener, answer: answer, strike: strike}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(t, conn.(*net.TCPConn))
		}
	}()
	return s
}

func (s *earlyServer) serve(t *testing.T, conn *net.TCPConn) {
	t.Cleanup(func() { _ = conn.Close() })
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	s.count.Add(1)
	_, _ = io.WriteString(conn, s.answer(r))
	time.Sleep(earlyStrikeDelay)
	s.strike(conn)
}

// strikes are the ways in which a connection breaks while the request is being written.
var strikes = map[string]func(*net.TCPConn){
	"reset": func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	},
	"closed with unread bytes": func(conn *net.TCPConn) { _ = conn.Close() },
	"stalled":                  func(*net.TCPConn) {},
}

// earlyAnswer returns an answer with a status, a framing header and a body.
func earlyAnswer(status int, framing, body string) func(*http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d Early\r\nT-Id: %s\r\nT-Seal: s\r\n%s\r\n%s", status, r.Header.Get("T-Id"), framing, body)
	}
}

// newEarlyHarness starts a gateway that takes uploads and knows one early server.
func newEarlyHarness(t *testing.T, locator Locator, server *earlyServer, others ...*testServer) *harness {
	t.Helper()
	early := &testServer{address: server.listener.Addr().String()}
	h := newHarness(t, locator, append([]*testServer{early}, others...)...)
	h.setTimeout(earlyTimeout)
	h.changeState(func(s *desired.State) { s.Limits.BodyBytes = 2 * uploadBytes })
	return h
}

// upload sends a request with a body of size bytes and returns what the caller gets.
func (h *harness) upload(path string, size int) (int, string, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.address+path, strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("T-Id", "id-1")
	r.Header.Set("T-Key", "key")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * earlyTimeout}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(verdictHeader), string(body), err
}

// Guards against a part of an answer without length or chunks that counts as whole because the write of the
// request took the error of the connection, so that the read finds an ordinary end behind the part.
func TestEarlyAnswerWithoutFramingIsBroken(t *testing.T) {
	part := events(1, 3)
	for strike, breakConn := range strikes {
		for _, status := range []int{200, 404, 500} {
			for route, attempts := range map[string]int64{"once": 1, "twice": 2, "stream": 1} {
				t.Run(fmt.Sprintf("%s/%d/%s", strike, status, route), func(t *testing.T) {
					t.Parallel()
					answer := earlyAnswer(status, "", part)
					one := newEarlyServer(t, answer, breakConn)
					two := newEarlyServer(t, answer, breakConn)
					h := newEarlyHarness(t, nil, one, &testServer{address: two.listener.Addr().String()})
					got, verdict, body, err := h.upload("/"+route+"/x", uploadBytes)
					if route == "stream" && status == http.StatusOK {
						if err == nil {
							t.Errorf("the stream ends as complete: %d %q", got, body)
						}
					} else if err != nil || got != http.StatusBadGateway || verdict != verdictMaybe {
						t.Errorf("%d %q %q, %v, want %d that may have run", got, verdict, body, err, http.StatusBadGateway)
					}
					if runs := one.count.Load() + two.count.Load(); runs != attempts {
						t.Errorf("%d attempts, want %d", runs, attempts)
					}
				})
			}
		}
	}
}

// Guards against an early answer that is refused although its head or its chunks state where it ends, or
// although the server reads the request to its end before it closes.
func TestEarlyAnswerThatIsWholeIsDelivered(t *testing.T) {
	drain := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		framing, body string
		strike        func(*net.TCPConn)
	}{
		"length":            {"Content-Length: 4\r\n", "long", strikes["closed with unread bytes"]},
		"chunks":            {"Transfer-Encoding: chunked\r\n", "4\r\nlong\r\n0\r\n\r\n", strikes["closed with unread bytes"]},
		"close after drain": {"", "long", drain},
	} {
		for _, route := range []string{"once", "twice", "stream"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				server := newEarlyServer(t, earlyAnswer(http.StatusRequestEntityTooLarge, c.framing, c.body), c.strike)
				got, _, body, err := newEarlyHarness(t, nil, server).upload("/"+route+"/x", uploadBytes)
				if err != nil || got != http.StatusRequestEntityTooLarge || body != "long" {
					t.Errorf("%d %q, %v", got, body, err)
				}
			})
		}
	}
}

// Guards against a stream that is cut although its generation goes on elsewhere.
func TestEarlyStreamResumes(t *testing.T) {
	for strike, breakConn := range strikes {
		t.Run(strike, func(t *testing.T) {
			t.Parallel()
			server := newEarlyServer(t, earlyAnswer(http.StatusOK, "", events(1, 3)), breakConn)
			whole := newTestServer(t, withEvents(func(w http.ResponseWriter, r *http.Request, body string) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, body)
			}))
			locator := locatorFunc(func(s backend.Server, _ string) (string, string, error) {
				if s.Address != server.listener.Addr().String() {
					return "", "", errors.New("not found")
				}
				return whole.address, "copy", nil
			})
			h := newEarlyHarness(t, locator, server)
			h.fleet.set(func(f *testFleet) {
				view := *f.view
				copyServer := backend.Server{ID: "i-copy", Service: "s", Address: whole.address, Slots: 4, Leaving: true}
				view.Servers = append(append([]backend.Server(nil), view.Servers...), copyServer)
				f.view = &view
			})
			got, _, body, err := h.upload("/stream/x", uploadBytes)
			if err != nil || got != http.StatusOK || body != events(1, 6) {
				t.Errorf("%d %q, %v, want events 1 to 6", got, body, err)
			}
		})
	}
}

// Guards against an agent whose word makes a broken stream whole: a server that resets the connection may drop
// the generation, as at its end.
func TestEarlyStreamIsBrokenWhateverTheAgentSays(t *testing.T) {
	for strike, breakConn := range strikes {
		t.Run(strike, func(t *testing.T) {
			t.Parallel()
			server := newEarlyServer(t, earlyAnswer(http.StatusOK, "", events(1, 3)), breakConn)
			locator := &endLocator{verdict: streamend.Ended, locatorFunc: func(backend.Server, string) (string, string, error) {
				return "", "", errors.New("not found")
			}}
			h := newEarlyHarness(t, locator, server)
			h.declareEngine()
			if got, _, body, err := h.upload("/stream/x", uploadBytes); err == nil {
				t.Errorf("the stream ends as complete: %d %q", got, body)
			}
		})
	}
}
