package crowd

import (
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
)

// Guards against clients that end their request or exceed a limit which they are to stay within,
// because the tests that use them would then test something else.
func TestScripts(t *testing.T) {
	const maxBody, maxHeader = 4 << 10, 1 << 10
	for _, kind := range Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			got := make(chan string, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					got <- err.Error()
					return
				}
				var text strings.Builder
				buffer := make([]byte, 64<<10)
				for {
					n, err := conn.Read(buffer)
					text.Write(buffer[:n])
					if err != nil {
						_ = conn.Close()
						got <- text.String()
						return
					}
				}
			}()
			c := Start(Target{Address: listener.Addr().String(), Path: "/x", Header: http.Header{"A": {"b"}},
				MaxBodyBytes: maxBody, MaxHeaderBytes: maxHeader}, kind, 1)
			c.Settle()
			c.Close()
			text := <-got
			_ = listener.Close()
			if !strings.HasPrefix(text, "POST /x HTTP/1.1\r\nHost: ") || !strings.Contains(text, "\r\nA: b\r\n") {
				t.Errorf("begins with %.60q", text)
			}
			if strings.HasSuffix(text, "0\r\n\r\n") || c.Sent() != int64(len(text)) {
				t.Errorf("sent %d bytes, %d arrived, the last ones %q", c.Sent(), len(text), text[max(0, len(text)-20):])
			}
			if kind.Name == SlowHeads.Name && (len(text) > maxHeader-4 || strings.Contains(text, "\r\n\r\n")) {
				t.Errorf("a head of %d bytes", len(text))
			}
		})
	}
}

// Guards against a process that is taken for alive after its end, and against missing figures.
func TestSampler(t *testing.T) {
	s := Watch(os.Getpid())
	if got := s.Stop(); !got.Alive || got.PeakBytes < 1<<20 || got.Descriptors < 3 {
		t.Errorf("this process: %+v", got)
	}
	const unusedPID = 1 << 30
	if got := Watch(unusedPID).Stop(); got.Alive {
		t.Errorf("no process: %+v", got)
	}
}
