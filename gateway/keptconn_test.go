package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// longestPause is the longest pause between an answer and the next request in these tests.
const longestPause = 300 * time.Millisecond

// newPausingServer returns a server whose answers take the number of milliseconds in their
// path. Those to streams begin at once.
func newPausingServer(t *testing.T) *testServer {
	return newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			_, _ = io.WriteString(w, events(1, 1))
			_ = http.NewResponseController(w).Flush()
		}
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		time.Sleep(time.Duration(ms) * time.Millisecond)
	})
}

// awaitRequests waits until the server has received so many requests.
func (s *testServer) awaitRequests(count int64) {
	for s.count.Load() < count {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a stop that closes a connection whose last answer kept it, while the caller
// sends its next request.
func TestStopAnswersTheNextRequestOnAKeptConnection(t *testing.T) {
	server := newPausingServer(t)
	h := newHarness(t, nil, server)
	h.setTimeout(longTimeout)
	var conns []*keptConn
	for range quickCalls {
		conns = append(conns, h.connect("/once/x"))
	}
	var group sync.WaitGroup
	for i, c := range conns {
		group.Go(func() {
			// The first ones end before the listener is closed, the last ones after it.
			ms := 100 + int(testDrain.Milliseconds()-700)*i/len(conns)
			path := []string{"/once/x", "/stream/x"}[i%2]
			response, err := c.call(fmt.Sprint(path, "?ms=", ms), "")
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("request of %d ms in progress at the stop: %v %v", ms, response, err)
				return
			}
			if response.Close {
				return
			}
			time.Sleep(longestPause * time.Duration(i%5) / 4)
			if response, err = c.call("/once/x", "quick"); err != nil {
				t.Errorf("next request on a connection that %s of %d ms kept: %v", path, ms, err)
			} else if s := response.StatusCode; s != http.StatusOK && s != http.StatusServiceUnavailable {
				t.Errorf("next request: status %d", s)
			}
		})
	}
	server.awaitRequests(2 * quickCalls)
	h.stop(shortNotice)
	group.Wait()
	if n := h.gateway.metrics.stopUnannounced.Value(); n > 0 {
		t.Errorf("%d connections were closed with unanswered bytes and without an announcement", n)
	}
}

// Guards against a stop that reads a request which was sent behind another one, and closes
// the connection without an answer to it.
func TestStopAnswersRequestsThatWereSentAhead(t *testing.T) {
	server := newPausingServer(t)
	h := newHarness(t, nil, server)
	h.setTimeout(longTimeout)
	var conns []*keptConn
	for i := range quickCalls {
		c := h.connect("/once/x")
		conns = append(conns, c)
		for _, ms := range []int{300 + 45*i, 0, 0} {
			_, _ = fmt.Fprintf(c, callFormat, fmt.Sprint("/once/x?ms=", ms), longTimeout.Milliseconds(), len("quick"), "quick")
		}
	}
	server.awaitRequests(2 * quickCalls)
	_, done := h.stop(shortNotice)
	for i, c := range conns {
		for request := range 3 {
			_ = c.SetReadDeadline(time.Now().Add(longTimeout))
			response, err := http.ReadResponse(c.in, nil)
			if err != nil {
				t.Errorf("connection %d, request %d: %v", i, request, err)
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if last := request == 2; response.Close != last {
				t.Errorf("connection %d, request %d: close announced %v, want %v", i, request, response.Close, last)
			}
		}
		_ = c.Close()
	}
	<-done
}
