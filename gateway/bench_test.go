package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/core/desired"
)

// BenchmarkForward measures reading and forwarding requests on one kept connection.
func BenchmarkForward(b *testing.B) {
	const head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: id-1\r\nT-Key: key\r\nT-Budget: 3000\r\n"
	large := strings.Repeat("season plan 1234", 4<<20/16)
	chunk := large[:64<<10]
	chunked := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk), len(large)/len(chunk)) + "0\r\n\r\n"
	for _, c := range []struct{ name, request string }{
		{"small", head + "Content-Length: 4\r\n\r\ndata"},
		{"4MiB", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large), large)},
		{"4MiB-chunked", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked},
	} {
		b.Run(c.name, func(b *testing.B) {
			server := newTestServer(b, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			h := newHarness(b, nil, server)
			h.changeState(func(state *desired.State) { state.Limits.BodyBytes = int64(len(large)) })
			conn, err := net.Dial("tcp", h.address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			b.SetBytes(int64(len(c.request)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, c.request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(in, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					b.Fatalf("%v %v", response, err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
