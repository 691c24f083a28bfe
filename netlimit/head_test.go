package netlimit

import (
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against heads of more lines than any client needs, whose headers take many times their size,
// and against ordinary requests on one connection that are counted together, or whose bodies are.
func TestLinesOfHeads(t *testing.T) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := ReadBody(r, testBodyLimit)
		_, _ = fmt.Fprint(w, len(r.Header), " ", len(body))
	})}
	limits := testLimits()
	limits.MaxHeaderBytes, limits.Budget = 64<<10, NewBudget(4<<20)
	refused := new(expvar.Map).Init()
	reporter := NewReporter("test", nil, refused)
	Protect(server, limits, reporter)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(Listener(listener, reporter)) }()
	t.Cleanup(func() { _ = server.Close() })
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			_, _ = fmt.Fprintf(&b, "X%d: y\r\n", i)
		}
		return b.String()
	}
	const headers, bodyBytes = 100, 5000
	ordinary := dialTest(t, listener.Addr().String())
	for range 5 {
		_, _ = io.WriteString(ordinary, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s",
			bodyBytes, lines(headers), strings.Repeat("\n", bodyBytes)))
		if response, body := readAnswer(t, ordinary); response.StatusCode != http.StatusOK || body != fmt.Sprint(headers+1, " ", bodyBytes) {
			t.Fatalf("an ordinary request: %s %q", response.Status, body)
		}
	}
	hostile := dialTest(t, listener.Addr().String())
	_, _ = io.WriteString(hostile, "POST / HTTP/1.1\r\nHost: x\r\n"+lines(maxHeadLines+1)+"\r\n")
	if response, _ := readAnswer(t, hostile); response.StatusCode != http.StatusBadRequest {
		t.Errorf("a head of too many lines: %s", response.Status)
	}
	if count := refused.Get("test " + ReasonHeadLines); count == nil || count.String() != "1" {
		t.Errorf("refusals: %v", refused)
	}
}
