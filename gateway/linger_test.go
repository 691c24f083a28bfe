package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
)

// slowAnswerBytes is the size of an answer that the kernel does not hold for a caller with a
// small receive buffer.
const slowAnswerBytes = 100 << 10

// Guards against a reset that takes the last answer from a caller that reads slowly and sends a
// request with a body behind it.
func TestLastAnswerOutlivesARequestBehindIt(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, strings.Repeat("x", slowAnswerBytes))
	})
	h := newHarness(t, nil, server)
	h.setTimeout(longTimeout)
	behind := strings.Repeat("b", 200<<10)
	h.changeState(func(state *desired.State) { state.Limits.BodyBytes = int64(len(behind)) })
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10)
	_ = conn.SetDeadline(time.Now().Add(longTimeout))
	_, _ = fmt.Fprintf(conn, callFormat, "/once/x", longTimeout.Milliseconds(), 0, "")
	<-arrived
	_, done := h.stop(shortNotice)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !response.Close {
		t.Fatalf("the answer in progress at the stop: %v %v, want one that announces the close", response, err)
	}
	go func() {
		_, _ = fmt.Fprintf(conn, callFormat, "/once/x", longTimeout.Milliseconds(), len(behind), behind)
	}()
	read := 0
	for part := make([]byte, 8<<10); err == nil; time.Sleep(2 * time.Millisecond) {
		var n int
		n, err = response.Body.Read(part)
		read += n
	}
	if err != io.EOF || read != slowAnswerBytes {
		t.Errorf("read %d of %d bytes of the answer: %v", read, slowAnswerBytes, err)
	}
	_ = conn.Close()
	<-done
}
