package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/entry"
)

// TestTeamIsolation guards against responses and streams that reach another team.
func TestTeamIsolation(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{entries: 2})
	r := tc.stream(0, "[tokens=30]").read(0)
	other := "Bearer other-key"
	var bodies []string
	for _, id := range []string{r.streamID(), "h1~1~e1~1~ff", "h9~1~e1~1~1"} {
		resp := tc.send(context.Background(), tc.urls[1], "GET", "/v1/streams/"+id, "", "Authorization", other)
		text, _ := io.ReadAll(resp.Body)
		var body struct{ Error map[string]any }
		_ = json.Unmarshal(text, &body)
		delete(body.Error, "request_id")
		bodies = append(bodies, fmt.Sprint(resp.StatusCode, resp.Header.Get(entry.VerdictHeader), body))
	}
	if bodies[0] != bodies[1] || bodies[0] != bodies[2] || !strings.HasPrefix(bodies[0], "404") {
		t.Errorf("responses for the stream of another team, an unknown stream and an unknown host differ:\n%s",
			strings.Join(bodies, "\n"))
	}
	if again := tc.resume(1, r.streamID()).read(0); len(again.tokens) != 30 {
		t.Errorf("own stream: %d tokens", len(again.tokens))
	}
	for i, key := range []string{"Bearer demo-key", other} {
		body := fmt.Sprintf("team %d", i)
		resp := tc.send(context.Background(), tc.urls[0],
			"POST", "/services/book-desk/swaps", body, "Authorization", key, "Idempotency-Key", "same")
		text, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || !strings.Contains(string(text), body) {
			t.Errorf("same idempotency key of two teams: status %d, %s", resp.StatusCode, text)
		}
	}
}

// TestAnswersReachOwnRequest guards against an answer that reaches another request on
// the same connections, also when an entry restarts with the same host name.
func TestAnswersReachOwnRequest(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{entries: 1, engines: 2})
	tc.sendConcurrentRequests(tc.urls[0])
	previous := tc.stream(0, "[trace] [tokens=20]").read(0)
	tc.addEntry(entry.Options{Fleet: &entryFleet{tc.fleet, "e1", 2}})
	tc.sendConcurrentRequests(tc.urls[1])
	checkTokens(t, tc.resume(1, previous.streamID()).read(0).tokens, 0, 20)
}

// sendConcurrentRequests sends many requests at once and checks that each gets its
// own response.
func (tc *testCluster) sendConcurrentRequests(url string) {
	t := tc.t
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			count := 20 + i
			body := fmt.Sprintf(`{"model":"coach","prompt":"[trace] [tokens=%d]","stream":%t}`, count, i%3 > 0)
			path := "/v1/completions"
			if i%3 == 0 {
				path, body = "/services/book-desk/slots?delay=1ms", fmt.Sprintf("<%d>", i)
			}
			req, _ := http.NewRequest("POST", url+path, strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer demo-key")
			resp, err := client.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if i%3 == 0 {
				var echo struct{ Echo string }
				if _ = json.NewDecoder(resp.Body).Decode(&echo); echo.Echo != body {
					t.Errorf("call %q got %q", body, echo.Echo)
				}
				return
			}
			r := newEventReader(resp).read(0)
			checkTokens(t, r.tokens, 0, count)
			if want := resp.Header.Get(entry.RequestIDHeader); !strings.HasSuffix(r.streamID(), want) {
				t.Errorf("stream %q answers request %q", r.streamID(), want)
			}
		})
	}
	callers.Wait()
}

// TestLeavingServer guards against new work on a host or backend server that is
// leaving, while the entries still have an outdated configuration or membership.
func TestLeavingServer(t *testing.T) {
	declared := func(tc *testCluster) {
		tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(leavingSections(tc))) })
	}
	setMember := func(m message.Member) func(tc *testCluster) {
		return func(tc *testCluster) { tc.fleet.update(func(f *fakeFleet) { f.members = []message.Member{m} }) }
	}
	cases := []struct {
		cause string
		apply func(tc *testCluster)
		want  message.StartState
	}{
		{"none", func(*testCluster) {}, message.StartAccepted},
		{"declared as leaving", declared, message.StartRefused},
		{"no longer declared", func(tc *testCluster) {
			s := oneSlotSections(tc)
			delete(s, "backend-server coach-1")
			tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(s)) })
		}, message.StartRefused},
		{"host marked as leaving", setMember(message.Member{Host: "h1", State: message.MemberLeaving}), message.StartRefused},
		{"backend server marked as leaving", setMember(message.Member{Host: "h1", State: message.MemberLive,
			BackendServers: []message.BackendServerStatus{{Name: "coach-1", Leaving: true}}}), message.StartRefused},
		{"another host marked as leaving", setMember(message.Member{Host: "h2", State: message.MemberLeaving}),
			message.StartAccepted},
	}
	for _, c := range cases {
		t.Run(c.cause, func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t, clusterOptions{})
			startExecution(t, tc, 1, `{"prompt":"[tokens=2]"}`)
			c.apply(tc)
			tc.agent.Reconcile()
			got := startExecution(t, tc, 2, `{"prompt":"[tokens=2]"}`)
			if got.State == message.StartQueued {
				// The server accepted the request, which starts once its prompt may be
				// processed.
				got.State = message.StartAccepted
			}
			if got.State != c.want || (c.want == message.StartRefused && got.Refusal.Reason != "leaving") {
				t.Errorf("start: %+v", got)
			}
			// The agent must not mistake its own report for a mark, or a server that is
			// declared again would stay leaving indefinitely.
			for _, s := range tc.agent.Statuses() {
				if strings.Contains(c.cause, "marked") && s.Leaving {
					t.Errorf("%s is reported as leaving because it is marked", s.Name)
				}
			}
			tc.fleet.update(func(f *fakeFleet) { f.config = mustConfig(buildConfig(oneSlotSections(tc))); f.members = nil })
			tc.agent.Reconcile()
			if got := startExecution(t, tc, 3, `{"prompt":"[tokens=2]"}`); got.State == message.StartRefused {
				t.Errorf("start after the server is declared again: %+v", got)
			}
		})
	}
}
