package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against a status without a meaning that reaches callers, and against a promise of the server that the
// request did not run that gets lost with it.
func TestStatusOutsideOfHTTP(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "600", "999"} {
		for _, notRun := range []bool{false, true} {
			handler := func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				head := fmt.Sprintf("HTTP/1.1 %s Odd\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 2\r\n", status, r.Header.Get("T-Id"))
				if notRun {
					head += "T-Not-Run: 1\r\n"
				}
				_, _ = io.WriteString(conn, head+"\r\nok")
				_ = conn.Close()
			}
			want := http.StatusBadGateway
			if notRun && status != "101" {
				want = http.StatusServiceUnavailable
			}
			for _, path := range []string{"/once/x", "/stream/x"} {
				got, _, body, err := newHarness(t, nil, newTestServer(t, handler)).call(path)
				if err != nil || got != want {
					t.Errorf("%s from the server, not run %v: %s answers %d %q, %v, want %d", status, notRun, path, got, body, err, want)
				}
			}
		}
	}
}
