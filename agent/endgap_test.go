package agent

import (
	"testing"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
)

// Guards against an output that counts as complete although tokens before its end are missing.
func TestEndBeyondMissingTokensIsNoEnd(t *testing.T) {
	a := New(Options{Host: "h1", Fleet: newTestFleet(buildTestConfig(t, "h1", "127.0.0.1:1")),
		Connect: func(contract.BackendServer) engine.Backend { return crashedService{} }})
	defer a.Close()
	b := a.backends["d-1"]
	r := newRun(message.StartRequest{}, b)
	if _, err := b.acceptEvent(r, engine.Event{Generation: "g", HasToken: true}); err != nil {
		t.Fatal(err)
	}
	end, err := b.acceptEvent(r, engine.Event{Generation: "g", Index: 5, FinishReason: "stop"})
	if err == nil && end != nil && end.Verdict == verdict.Ran && end.FinishReason != "" {
		t.Errorf("an end at token 5 counts as that of an output of %d", r.nextIndex())
	}
}
