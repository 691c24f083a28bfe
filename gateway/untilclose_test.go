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

// Guards against a stream to an HTTP/1.0 caller that looks complete because its entry was killed: the kernel
// then closes the connection.
func TestBodyUntilCloseIsResetIfItsEntryEnds(t *testing.T) {
	for name, finished := range map[string]bool{"killed": false, "finished": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			connected := make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				<-connected
				w := &responseWriter{conn: conn, out: bufio.NewWriter(conn), http10: true, stopping: func() bool { return false }}
				w.writeHead(http.StatusOK, http.Header{}, -1)
				_ = w.writeBody([]byte(events(1, 3)))
				if finished {
					_ = w.finish()
				}
				_ = conn.Close()
			}()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			close(connected)
			if _, err := io.ReadAll(conn); (err == nil) != finished {
				t.Errorf("read %v", err)
			}
		})
	}
}
