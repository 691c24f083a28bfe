package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/httpclient/earlytest"
	"github.com/pkg/errors"
)

func newTestClient() *http.Client {
	return &http.Client{Transport: &Transport{Dial: (&net.Dialer{}).DialContext, MaxHeadBytes: 1 << 10}}
}

// post sends a request with a body to a server and returns the body of the response.
func post(ctx context.Context, address, body string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := newTestClient().Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

// Guards against a final response that is missed behind informational ones, and against a limit of the head that
// applies to the body too or to nothing.
func TestHeads(t *testing.T) {
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	long := strings.Repeat("b", 1<<16)
	for name, c := range map[string]struct{ answer, want string }{
		"informational":     {informational + informational + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
		"long body":         {"HTTP/1.1 200 OK\r\n\r\n" + long, long},
		"no body":           {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"long head":         {"HTTP/1.1 200 OK\r\nX-Long: " + long + "\r\n\r\nwhole", "error"},
		"only informative":  {informational, "error"},
		"many informatives": {strings.Repeat(informational, 100) + "HTTP/1.1 204 No Content\r\n\r\n", "error"},
	} {
		t.Run(name, func(t *testing.T) {
			server := earlytest.NewServer(t, func(*http.Request) string { return c.answer }, earlytest.Drain)
			got, err := post(t.Context(), server.Address(), "")
			if (err != nil) != (c.want == "error") || err == nil && got != c.want {
				t.Errorf("%q, %v, want %q", got, err, c.want)
			}
		})
	}
}

// Guards against a call that outlasts its context: before the head, in the body, and at the end of the body while
// the request is still being written.
func TestContextEndsCall(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		strike earlytest.Strike
	}{
		"head":    {"", earlytest.Stall},
		"body":    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", earlytest.Stall},
		"request": {"HTTP/1.1 200 OK\r\n\r\npart", func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
	} {
		t.Run(name, func(t *testing.T) {
			server := earlytest.NewServer(t, func(*http.Request) string { return c.answer }, c.strike)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			got, err := post(ctx, server.Address(), strings.Repeat("u", earlytest.UploadBytes))
			if !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Guards against a connection that stays open after its body was closed, so that the server goes on.
func TestCloseOfBodyClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	server := earlytest.NewServer(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" }, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	response, err := newTestClient().Get("http://" + server.Address())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open")
	}
}
