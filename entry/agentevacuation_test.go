package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
)

// staleFleet is the Fleet of an entry that has not learned of an evacuation yet.
type staleFleet struct{ *entryFleet }

func (staleFleet) Evacuations() message.EvacuationSet { return message.EvacuationSet{} }

// TestAgentOfEvacuatedDomain guards against a request of an entry with a stale view that
// reaches a backend server of an evacuated failure domain, from a queue or directly, and
// against a running generation that the evacuation cuts off.
func TestAgentOfEvacuatedDomain(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{standin: standin.Options{TokenInterval: 2 * time.Millisecond}})
	tc.addEntry(entry.Options{Fleet: staleFleet{&entryFleet{tc.fleet, "stale", 1}}})
	tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(oneSlotSections(tc))) })
	tc.agent.Reconcile()
	evacuate := func(domains ...string) {
		tc.fleet.update(func(f *fakeFleet) {
			f.evacuations = message.EvacuationSet{Revision: f.evacuations.Revision + 1, Domains: domains}
		})
		tc.agent.Reconcile()
	}
	checkRefused := func(what string, resp *http.Response, text string) {
		t.Helper()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(entry.VerdictHeader) != "not_run" ||
			resp.Header.Get("Retry-After") == "" || !strings.Contains(string(body), text) {
			t.Errorf("%s: status %d, headers %v: %s", what, resp.StatusCode, resp.Header, body)
		}
	}
	send := func(n int, path, body string) *http.Response {
		return tc.send(context.Background(), tc.urls[n], "POST", path, body)
	}
	running := tc.stream(0, "[trace] [tokens=400]").read(10)
	queued := make(chan *http.Response, 1)
	go func() { queued <- send(1, "/v1/completions", completion("[tokens=5]", false)) }()
	eventually(t, "a request is queued", func() bool { return waitingCount(t, tc) == 1 })
	evacuate("pinecrest")
	const agentText, entryText = "the failure domain of the backend server is evacuated",
		"all failure domains of the service are evacuated"
	checkRefused("queued generation", <-queued, agentText)
	var resp *http.Response
	// After a refusal the stale entry spares the server for a while and refuses by itself.
	eventually(t, "the stale entry tries the server again", func() bool {
		resp = send(1, "/v1/completions", completion("[tokens=5]", false))
		return resp.StatusCode != http.StatusTooManyRequests
	})
	checkRefused("generation from a stale entry", resp, agentText)
	checkRefused("call from a stale entry", send(1, "/services/book-desk/plans", "x"), agentText)
	checkRefused("generation", send(0, "/v1/completions", completion("[tokens=5]", false)), entryText)
	checkRefused("call", send(0, "/services/book-desk/plans", "x"), entryText)
	checkTokens(t, running.read(0).tokens, 0, 400)

	evacuate()
	for n := range tc.urls {
		eventually(t, "requests run after the end", func() bool {
			resp := send(n, "/v1/completions", completion("[tokens=5]", false))
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode == http.StatusOK
		})
	}
}
