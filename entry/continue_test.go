package entry_test

import (
	"context"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/engine/standin"
)

// TestGenerationContinuesOnAnotherEngine guards against a long answer that is
// truncated or mixed with another generation when its engine crashes.
func TestGenerationContinuesOnAnotherEngine(t *testing.T) {
	cases := []struct {
		name      string
		continues bool
		crashes   int
		complete  bool
	}{
		{"another engine continues", true, 1, true},
		{"no engine continues", false, 1, false},
		{"the second engine crashes as well", true, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t, clusterOptions{engines: 3, standin: standin.Options{
				TokenInterval: 4 * time.Millisecond, CrashDowntime: time.Minute,
			}})
			tc.fleet.update(func(f *fakeFleet) {
				copied := *f.config
				copied.BackendServers = map[string]contract.BackendServer{}
				for name, s := range f.config.BackendServers {
					s.ContinuesGenerations = c.continues
					copied.BackendServers[name] = s
				}
				f.config = &copied
			})
			tc.agent.Reconcile()
			r := tc.stream(0, "[trace] [tokens=300]").read(40)
			for range c.crashes {
				tc.crashBusyEngine()
				if c.crashes > 1 {
					r.read(20)
				}
			}
			r.read(0)
			if r.done != c.complete {
				t.Fatalf("done %v after %d tokens, code %q, want %v", r.done, len(r.tokens), r.code, c.complete)
			}
			if c.complete {
				checkTokens(t, r.tokens, 0, 300)
			} else if r.code != "backend_server_crashed" || r.verdict != "ran" {
				t.Errorf("code %q, verdict %q", r.code, r.verdict)
			}
		})
	}
}

// crashBusyEngine crashes the engine that runs a request.
func (tc *testCluster) crashBusyEngine() {
	var victim *standin.Server
	eventually(tc.t, "an engine runs the request", func() bool {
		for _, e := range tc.engines {
			load, err := engine.NewClient(e.Address()).Load(context.Background())
			if err == nil && load.Running > 0 {
				victim = e
				return true
			}
		}
		return false
	})
	victim.Crash()
}
