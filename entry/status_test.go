package entry_test

import (
	"context"
	"testing"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
)

// oddService is a plain service whose answers reach the agent with a status that HTTP does not define.
type oddService struct {
	engine.Backend
	status int
}

func (s oddService) Forward(context.Context, *message.ForwardRequest) (engine.Response, error) {
	return engine.Response{Status: s.status, Body: []byte("{}")}, nil
}

// Guards against an entry that fails on a status outside of HTTP that an agent hands on, or hands it to the caller.
func TestStatusOutsideOfHTTPFromAService(t *testing.T) {
	for _, status := range []int{0, 42, 101, 600, 1000} {
		tc := newTestCluster(t, clusterOptions{agent: agent.Options{Connect: func(b contract.BackendServer) engine.Backend {
			return oddService{engine.NewClient(b.Address), status}
		}}})
		if got, verdict, body := tc.call("GET", "/services/book-desk/slots", ""); got != 502 || verdict != "may_have_run" {
			t.Errorf("status %d of the service: the entry answers %d, %q, %q", status, got, verdict, body)
		}
	}
}

// earlierAgentService is a plain service whose agent hands on an answer with an invalid field name.
type earlierAgentService struct{ engine.Backend }

func (earlierAgentService) Forward(context.Context, *message.ForwardRequest) (engine.Response, error) {
	return engine.Response{Status: 200, Header: map[string][]string{"Content-Length ": {"1"}}, Body: []byte("{}")}, nil
}

// Guards against an answer with an invalid field name that an agent hands on, and against its repeat from the record
// of its call.
func TestNameOfFieldThatIsNoTokenFromAService(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{agent: agent.Options{Connect: func(b contract.BackendServer) engine.Backend {
		return earlierAgentService{engine.NewClient(b.Address)}
	}}})
	if got, verdict, body := tc.call("GET", "/services/book-desk/slots", ""); got != 502 || verdict != "may_have_run" {
		t.Errorf("the entry answers %d, %q, %q", got, verdict, body)
	}
	for _, want := range []int{502, 409} {
		got, verdict, body := tc.call("POST", "/services/book-desk/swaps", "x", "Idempotency-Key", "k")
		if got != want || verdict != "may_have_run" {
			t.Errorf("the entry answers %d, %q, %q, want %d that may have run", got, verdict, body, want)
		}
	}
}
