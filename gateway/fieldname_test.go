package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// oddLines are lines of a head that name no field.
var oddLines = []string{"Content-Length : 4", "Transfer-Encoding : chunked", "X Odd: 1", "X-Odd : 1", "X\tOdd: 1", "X-Odd\t: 1",
	"X\x00Odd: 1", "X\x07Odd: 1", "X\x7fOdd: 1", "X\rOdd: 1", "X\x80Odd: 1", "X\u00e9: 1", "X(Odd): 1", ": 1", "X-Odd"}

// Guards against an answer whose head names a field that is no token: the line may be the one that frames the body,
// or a promise that the request did not run.
func TestNameOfFieldThatIsNoToken(t *testing.T) {
	for _, line := range oddLines {
		for _, status := range []int{200, 404, 500, 503} {
			for _, promise := range []string{"", "T-Not-Run: 1\r\n"} {
				for route, attempts := range map[string]int64{"once": 1, "twice": 2, "stream": 1} {
					t.Run(fmt.Sprintf("%q/%d/%s/%q", line, status, route, promise), func(t *testing.T) {
						t.Parallel()
						server := func() *testServer {
							return newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
								conn, _, err := w.(http.Hijacker).Hijack()
								if err != nil {
									return
								}
								_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Odd\r\nT-Id: %s\r\nT-Seal: s\r\n%s%s\r\n\r\n%s", status,
									r.Header.Get("T-Id"), promise, line, events(1, 3))
								_ = conn.Close()
							})
						}
						one, two := server(), server()
						got, header, body, err := newHarness(t, nil, one, two).call("/" + route + "/x")
						if err != nil || got != http.StatusBadGateway || header.Get(verdictHeader) != verdictMaybe {
							t.Errorf("%d %v %q, %v", got, header, body, err)
						}
						if runs := one.count.Load() + two.count.Load(); runs != attempts {
							t.Errorf("%d attempts, want %d", runs, attempts)
						}
					})
				}
			}
		}
	}
}

// Guards against an answer that is refused although its head is valid: names with all characters of a token, values
// that hold blanks, and a folded line.
func TestOddNamesThatAreTokens(t *testing.T) {
	for _, line := range []string{"x!#$%&'*+-.^_`|~09: 1", "X-Odd: a b : c", "X-Odd:", "X-Odd: a\r\n b"} {
		server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nT-Seal: s\r\n"+line+"\r\nContent-Length: 5\r\n\r\nwhole")
			_ = conn.Close()
		})
		if got, _, body, err := newHarness(t, nil, server).call("/once/x"); err != nil || got != http.StatusOK || body != "whole" {
			t.Errorf("%q: %d %q, %v", line, got, body, err)
		}
	}
}
