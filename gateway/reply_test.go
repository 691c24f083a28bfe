package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Guards against an answer that has no body and leaves bytes of one before the next answer.
func TestAnswerWithoutContentLeavesNoBytes(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	c := &keptConn{conn, bufio.NewReader(conn)}
	for _, path := range []string{"/stream/x", "/once/x", "/stream/x", "/once/x"} {
		response, err := c.call(path, "quick")
		if err != nil || response.StatusCode != http.StatusNoContent || len(response.TransferEncoding) > 0 {
			t.Fatalf("%s: %v %v", path, response, err)
		}
	}
}

// Guards against a connection that is kept behind an answer which could not be sent, so that
// a request which was sent ahead is passed on and its answer is lost.
func TestAnswerThatFailsClosesItsConnection(t *testing.T) {
	conn, caller := net.Pipe()
	_ = caller.Close()
	w := &responseWriter{conn: conn, out: bufio.NewWriter(conn), stopping: func() bool { return false }}
	if err := w.writeResponse(http.StatusOK, http.Header{}, []byte("answer")); err == nil || !w.closeAfter {
		t.Errorf("error %v, the connection closes: %v", err, w.closeAfter)
	}
}
