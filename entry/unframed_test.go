package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/entry"
)

// Guards against an answer without length or chunks, which may be cut, that gets a length from the entry, at once
// or when it is repeated from the record of the call.
func TestPlainAnswerWithoutFramingGetsNoLength(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	tc := newTestCluster(t, clusterOptions{agent: agent.Options{Connect: func(contract.BackendServer) engine.Backend {
		return engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
	}}})
	for _, c := range []struct{ method, path string }{{"GET", "/slots"}, {"POST", "/swaps"}, {"POST", "/swaps"}} {
		response := tc.send(context.Background(), tc.urls[0], c.method, "/services/book-desk"+c.path, "", "Idempotency-Key", "k")
		body, err := io.ReadAll(response.Body)
		if verdict := response.Header.Get(entry.VerdictHeader); err != nil || string(body) != "{}" || verdict != "ran" ||
			response.ContentLength != -1 || len(response.TransferEncoding) > 0 || !response.Close {
			t.Errorf("%s %s: %q, %v, %s, length %d, encoding %v, close %v", c.method, c.path, body, err, verdict,
				response.ContentLength, response.TransferEncoding, response.Close)
		}
	}
}
