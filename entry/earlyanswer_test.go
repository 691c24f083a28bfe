package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/httpclient/earlytest"
)

// TestEarlyAnswerIsNotRecorded guards against a part of an answer that is recorded as the answer of a
// non-repeatable call, so that each repeat of the call gets the part.
func TestEarlyAnswerIsNotRecorded(t *testing.T) {
	upload := strings.Repeat("u", earlytest.UploadBytes)
	for strike, breakConn := range earlytest.Strikes {
		for _, status := range []int{200, 404, 500} {
			t.Run(fmt.Sprintf("%s/%d", strike, status), func(t *testing.T) {
				t.Parallel()
				answer := fmt.Sprintf("HTTP/1.1 %d Early\r\n\r\npart", status)
				desk := earlytest.NewServer(t, func(*http.Request) string { return answer }, breakConn)
				tc := newTestCluster(t, clusterOptions{entries: 2, entry: entry.Options{MaxBodyBytes: earlytest.UploadBytes}, agent: agent.Options{
					Connect: func(contract.BackendServer) engine.Backend { return engine.NewClient(desk.Address()) },
				}})
				for play := range 5 {
					for i, want := range []int{http.StatusBadGateway, http.StatusConflict} {
						response := tc.send(context.Background(), tc.urls[i], http.MethodPost, "/services/book-desk/swaps", upload,
							"Idempotency-Key", fmt.Sprint("k-", play))
						if got := response.Header.Get(entry.VerdictHeader); response.StatusCode != want || got != "may_have_run" {
							t.Errorf("play %d, entry %d: status %d, verdict %q, want %d that may have run", play, i, response.StatusCode, got, want)
						}
					}
				}
			})
		}
	}
}
