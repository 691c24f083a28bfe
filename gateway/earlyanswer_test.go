package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/httpclient/earlytest"
	"github.com/pkg/errors"
)

// earlyTimeout is longer than two attempts whose server stalls.
const earlyTimeout = 3*tcpUserTimeout + 2*time.Second

// strikes are the ways in which a connection breaks while the request is being written.
var strikes = map[string]earlytest.Strike{"reset": earlytest.Reset, "closed with unread bytes": earlytest.Close,
	"stalled": earlytest.Stall}

// earlyAnswer returns an answer with a status, a framing header and a body.
func earlyAnswer(status int, framing, body string) func(*http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d Early\r\nT-Id: %s\r\nT-Seal: s\r\n%s\r\n%s", status, r.Header.Get("T-Id"), framing, body)
	}
}

// newEarlyHarness starts a gateway that takes uploads.
func newEarlyHarness(t *testing.T, locator Locator, servers ...*earlytest.Server) *harness {
	t.Helper()
	var known []*testServer
	for _, s := range servers {
		known = append(known, &testServer{address: s.Address()})
	}
	h := newHarness(t, locator, known...)
	h.setTimeout(earlyTimeout)
	h.changeState(func(s *desired.State) { s.Limits.BodyBytes = earlytest.UploadBytes })
	return h
}

// upload sends a request with a long body and returns what the caller gets.
func (h *harness) upload(path string) (int, string, string, error) {
	body := strings.NewReader(strings.Repeat("u", earlytest.UploadBytes))
	r, err := http.NewRequest(http.MethodPost, "http://"+h.address+path, body)
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
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(verdictHeader), string(answer), err
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
					one := earlytest.NewServer(t, answer, breakConn)
					two := earlytest.NewServer(t, answer, breakConn)
					h := newEarlyHarness(t, nil, one, two)
					got, verdict, body, err := h.upload("/" + route + "/x")
					if route == "stream" && status == http.StatusOK {
						if err == nil {
							t.Errorf("the stream ends as complete: %d %q", got, body)
						}
					} else if err != nil || got != http.StatusBadGateway || verdict != verdictMaybe {
						t.Errorf("%d %q %q, %v, want %d that may have run", got, verdict, body, err, http.StatusBadGateway)
					}
					if runs := one.Requests() + two.Requests(); runs != attempts {
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
	for name, c := range map[string]struct {
		framing, body string
		strike        earlytest.Strike
	}{
		"length":            {"Content-Length: 4\r\n", "long", earlytest.Close},
		"chunks":            {"Transfer-Encoding: chunked\r\n", "4\r\nlong\r\n0\r\n\r\n", earlytest.Close},
		"close after drain": {"", "long", earlytest.Drain},
	} {
		for _, route := range []string{"once", "twice", "stream"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				server := earlytest.NewServer(t, earlyAnswer(http.StatusRequestEntityTooLarge, c.framing, c.body), c.strike)
				got, _, body, err := newEarlyHarness(t, nil, server).upload("/" + route + "/x")
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
			server := earlytest.NewServer(t, earlyAnswer(http.StatusOK, "", events(1, 3)), breakConn)
			whole := newTestServer(t, withEvents(func(w http.ResponseWriter, r *http.Request, body string) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, body)
			}))
			locator := locatorFunc(func(s backend.Server, _ string) (string, string, error) {
				if s.Address != server.Address() {
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
			got, _, body, err := h.upload("/stream/x")
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
			server := earlytest.NewServer(t, earlyAnswer(http.StatusOK, "", events(1, 3)), breakConn)
			locator := &endLocator{verdict: streamend.Ended, locatorFunc: func(backend.Server, string) (string, string, error) {
				return "", "", errors.New("not found")
			}}
			h := newEarlyHarness(t, locator, server)
			h.declareEngine()
			if got, _, body, err := h.upload("/stream/x"); err == nil {
				t.Errorf("the stream ends as complete: %d %q", got, body)
			}
		})
	}
}
