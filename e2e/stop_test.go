package e2e

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// keptConnection is a connection that a caller keeps open between its requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// keptAnswer is a complete answer.
type keptAnswer struct {
	status  int
	verdict string
	// closes is set if the answer announces that the connection closes.
	closes bool
}

// call sends a call to book-desk and returns the status of the complete response, its verdict,
// and whether the entry closes the connection after it.
func (k *keptConnection) call() (status int, verdict string, closes bool, err error) {
	a, err := k.send("GET /services/book-desk/slots HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-key\r\n\r\n", nil)
	return a.status, a.verdict, a.closes, err
}

// send sends a request, calls sent if it is not nil, and waits for the complete answer.
func (k *keptConnection) send(request string, sent func()) (keptAnswer, error) {
	_ = k.conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := k.conn.Write([]byte(request))
	if sent != nil {
		sent()
	}
	if err != nil {
		return keptAnswer{}, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return keptAnswer{}, err
	}
	defer resp.Body.Close()
	var body strings.Builder
	if _, err := bufio.NewReader(resp.Body).WriteTo(&body); err != nil {
		return keptAnswer{}, err
	}
	return keptAnswer{resp.StatusCode, resp.Header.Get("X-Arbutusmast-Verdict"), resp.Close}, nil
}

// TestRequestsDuringAStop guards against requests on connections in use that an entry cuts
// off without an answer because it is about to stop: the caller cannot know whether they ran.
func TestRequestsDuringAStop(t *testing.T) {
	t.Parallel()
	const connections, sendingTime = 40, 800 * time.Millisecond
	c := newCluster(t, 8)
	var kept []*keptConnection
	for range connections {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.entries[0], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		k := &keptConnection{conn, bufio.NewReader(conn)}
		if status, _, _, err := k.call(); status != http.StatusOK || err != nil {
			t.Fatalf("call before the stop: %d, %v", status, err)
		}
		kept = append(kept, k)
	}
	c.processes["e1"].signal(syscall.SIGTERM)
	var calls sync.WaitGroup
	for i, k := range kept {
		calls.Go(func() {
			time.Sleep(sendingTime * time.Duration(i) / connections)
			status, verdict, closes, err := k.call()
			answered := status == http.StatusOK || status == http.StatusServiceUnavailable && verdict == "not_run"
			if err != nil || !answered {
				t.Errorf("call %d during the stop: status %d, verdict %q, %v", i, status, verdict, err)
			}
			// Otherwise the next request of this connection might be cut off.
			if err == nil && !closes && i > connections/4 {
				t.Errorf("call %d: the connection stays open", i)
			}
		})
	}
	calls.Wait()
	if err := c.processes["e1"].cmd.Wait(); err != nil {
		t.Errorf("the entry stopped with %v", err)
	}
}
