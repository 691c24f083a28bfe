package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a connection that an entry closes at the end of its drain although the answer
// to a request that was in progress at the signal kept it, so that the next request on it gets
// no answer.
func TestStopAnswersTheNextRequestOnAKeptConnection(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]func(int) string{"calls": longCall, "streams": longStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 8)
			var sent, ended sync.WaitGroup
			for i := range 16 {
				k := c.connect(0)
				sent.Add(1)
				ended.Go(func() { checkNextRequest(t, k, request(i), time.Duration(i)*25*time.Millisecond, sent.Done) })
			}
			sent.Wait()
			// The requests have reached the entry by then, and take seconds.
			time.Sleep(300 * time.Millisecond)
			if code := c.processes["e1"].stop(syscall.SIGTERM); code != 0 {
				t.Errorf("the entry exited with code %d", code)
			}
			ended.Wait()
		})
	}
}

// connect opens a connection to an entry.
func (c *cluster) connect(entry int) *keptConnection {
	c.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.entries[entry], "http://"))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return &keptConnection{conn, bufio.NewReader(conn)}
}

// checkNextRequest sends a request, and another one after a pause unless the answer announced
// the close.
func checkNextRequest(t *testing.T, k *keptConnection, request string, pause time.Duration, sent func()) {
	first, err := k.send(request, sent)
	if err != nil || first.status != http.StatusOK {
		t.Errorf("request in progress at the signal: status %d, %v", first.status, err)
		return
	}
	if first.closes {
		return
	}
	time.Sleep(pause)
	status, verdict, closes, err := k.call()
	answered := status == http.StatusOK || status == http.StatusServiceUnavailable && verdict == "not_run"
	if err != nil || !answered || !closes {
		t.Errorf("next request after %v: status %d, verdict %q, announces the close %t, %v",
			pause, status, verdict, closes, err)
	}
}

// longCall returns a call that takes 2 s.
func longCall(int) string {
	return "GET /services/book-desk/slots?delay=2s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-key\r\n\r\n"
}

// longStream returns a streamed generation that takes about 2 s.
func longStream(number int) string {
	body := fmt.Sprintf(`{"model":"coach","prompt":"%d [tokens=400]","stream":true,"max_tokens":400}`, number)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-key\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
