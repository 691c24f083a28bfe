package gateway

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
)

// Guards against a request that is refused in the moment in which it begins and is read until its
// timeout nevertheless, while its place counts as free.
func TestRequestIsRefusedAsItBegins(t *testing.T) {
	h := newHarness(t, nil, newTestServer(t, echo))
	h.setTimeout(longTimeout)
	h.changeState(func(state *desired.State) { state.Limits.HeaderTimeout = longTimeout })
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
				h.gateway.memory.evictOne()
			}
		}
	}()
	defer func() { close(done); <-ended }()
	for range 300 {
		conn := h.dialRaw("POST /once/x HTTP/1.1\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(longTimeout / 2))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("a request that was refused got no answer: %v", err)
		}
		_ = conn.Close()
	}
}
