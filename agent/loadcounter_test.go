package agent

import (
	"testing"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/engine"
)

// Guards against a load report without a counter that counts as a restart of the server, and against one with a
// smaller counter after it that does not.
func TestLoadWithoutCounterIsNoRestart(t *testing.T) {
	a := New(Options{Host: "h1", Fleet: newTestFleet(buildTestConfig(t, "h1", "127.0.0.1:1")),
		Connect: func(contract.BackendServer) engine.Backend { return crashedService{} }})
	defer a.Close()
	d := &crashDetector{server: a.backends["d-1"]}
	five, three := 5, 3
	for i, c := range []struct {
		requests *int
		want     bool
	}{{&five, false}, {nil, false}, {&five, false}, {nil, false}, {&three, true}} {
		if restarted, reset := d.recordLoad(engine.Load{Requests: c.requests}); restarted != c.want || reset != c.want {
			t.Errorf("load %d: restarted %v, reset %v, want %v", i, restarted, reset, c.want)
		}
	}
}
