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

// call sends a call to book-desk and returns the status of the complete response, its verdict,
// and whether the entry closes the connection after it.
func (k *keptConnection) call() (status int, verdict string, closes bool, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(20 * time.Second))
	request := "GET /services/book-desk/slots HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-key\r\n\r\n"
	if _, err := k.conn.Write([]byte(request)); err != nil {
		return 0, "", false, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	var body strings.Builder
	if _, err := bufio.NewReader(resp.Body).WriteTo(&body); err != nil {
		return 0, "", false, err
	}
	return resp.StatusCode, resp.Header.Get("X-Arbutusmast-Verdict"), resp.Close, nil
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
