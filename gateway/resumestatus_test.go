package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/streamend"
	"github.com/pkg/errors"
)

// Guards against a stream whose server with the copy answers that it does not go on, and whose answer counts
// as the rest of the stream.
func TestStreamDoesNotGoOnWithAnotherStatus(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusFound, http.StatusBadRequest, http.StatusNotFound} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("T-Copy") == "" {
					_, _ = w.Write([]byte(events(1, 3)))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(status)
				if status >= http.StatusMultipleChoices {
					_, _ = w.Write([]byte("no such copy\n\n"))
				}
			})
			resumed := atomic.Bool{}
			h := newHarness(t, &endLocator{verdict: streamend.Stopped, locatorFunc: func(s backend.Server, _ string) (string, string, error) {
				if resumed.Swap(true) {
					return "", "", errors.New("not found")
				}
				return s.Address, "copy", nil
			}}, server)
			h.declareEngine()
			_, _, body, err := h.call("/stream/x")
			if !resumed.Load() {
				t.Error("the stream was not resumed")
			}
			if err == nil || strings.Contains(body, "no such copy") {
				t.Errorf("the stream ended as complete or with another body: %q, %v", body, err)
			}
		})
	}
}
