package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against the reset of a connection by a stop when its caller has sent more than was
// read, which takes away the end of an answer that is on its way.
func TestGracefulStopKeepsTheLastAnswerOfAPipeliningCaller(t *testing.T) {
	const answerBytes, unreadBytes = 1 << 20, 64 << 10
	draining := atomic.Bool{}
	draining.Store(true)
	s := newGracefulServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, answerBytes))
	}), &draining, zap.NewNop())
	gate := make(chan struct{})
	close(gate)
	conn := startGraceful(t, s, gate)
	next := "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", unreadBytes)
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"+next); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if n, err := readAnswer(conn); n != answerBytes || err != nil {
		t.Errorf("%d of %d bytes, %v", n, answerBytes, err)
	}
}
