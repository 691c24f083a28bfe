package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Guards against an answer without length or chunks that looks complete to the caller although the entry was
// killed, or gave up on a slow caller, before it had written all of it.
func TestUnframedAnswerCutByEntryIsReset(t *testing.T) {
	const size = 32 << 20
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeForwardReply(w, r, "r", &message.ForwardReply{Status: http.StatusOK, Body: make([]byte, size), Unframed: true})
	}))
	server.Config.ConnContext = WithConn
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _ = io.ReadFull(conn, make([]byte, 1000))
	time.Sleep(200 * time.Millisecond)
	server.CloseClientConnections()
	if rest, err := io.ReadAll(conn); err == nil && len(rest) < size-1000 {
		t.Errorf("%d bytes of %d ended in order", len(rest)+1000, size)
	}
}

// Guards against a record of an earlier version, whose answer has an invalid field name, that is repeated.
func TestRecordedAnswerWithInvalidFieldName(t *testing.T) {
	r := message.RecordedResponse{Status: http.StatusOK, HTTPHeader: map[string][]string{"Content-Length ": {"1"}}}
	if reply, failure := recordedReply(r); failure == nil || failure.Verdict != verdict.Ran {
		t.Errorf("%+v, %v", reply, failure)
	}
}
