package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a process that ends while a connection with its last answer still holds
// unread bytes, so that the kernel resets the connection and may drop the answer.
func TestStopEndsAfterTheLastAnswersAreTaken(t *testing.T) {
	h, _ := newStopHarness(t)
	c := h.connect("/twice/x")
	_, done := h.stop(shortNotice)
	_, _ = fmt.Fprintf(c, callFormat, "/twice/x", longTimeout.Milliseconds(), len(longBody), longBody)
	_, _ = fmt.Fprintf(c, callFormat, "/twice/x", longTimeout.Milliseconds(), 0, "")
	_ = c.SetReadDeadline(time.Now().Add(longTimeout))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusBadGateway {
		t.Fatalf("the answer at the end of the stop: %v %v", response, err)
	}
	select {
	case <-done:
		if n := h.gateway.connections(); n > 0 {
			t.Errorf("the drain ended with %d connections that wait for their callers", n)
		}
	case <-time.After(cutOffGrace / 2):
	}
	_ = c.Close()
	<-done
}
