package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against an answer without length or chunks that gets a length from the entry, which does not know
// whether the server closed the connection at its end, and against a connection that is kept behind it.
func TestAnswerWithoutFramingGetsNoLength(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { unframed(w, r, "part") })
	h := newHarness(t, nil, server)
	for _, path := range []string{"/once/x", "/twice/x"} {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: key\r\nContent-Length: 0\r\n\r\n")
		in := bufio.NewReader(conn)
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "part" || response.ContentLength != -1 || len(response.TransferEncoding) > 0 || !response.Close {
			t.Errorf("%s: %q, %v, length %d, encoding %v, close %v", path, body, err, response.ContentLength,
				response.TransferEncoding, response.Close)
		}
	}
}

// Guards against framing that is missing where there is no body to frame.
func TestAnswerWithoutBodyKeepsTheConnection(t *testing.T) {
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { unframed(w, r, "") })
	conn, err := net.Dial("tcp", newHarness(t, nil, server).address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range 2 {
		_, _ = io.WriteString(conn, "HEAD /twice/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: key\r\n\r\n")
		response, err := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
		if err != nil || response.Close || !strings.HasPrefix(response.Status, "200") {
			t.Fatalf("%v, %v", response, err)
		}
	}
}
