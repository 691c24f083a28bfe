package entry_test

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/engine/standin"
)

// TestUnreachableServerIsReported guards against a status that reports a backend
// server as healthy although nothing listens on its address.
func TestUnreachableServerIsReported(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{standin: standin.Options{CrashDowntime: 3 * time.Second}})
	healthy := func() bool {
		for _, s := range tc.agent.Statuses() {
			if s.Name == "coach-1" {
				return s.Healthy
			}
		}
		return false
	}
	eventually(t, "the server is healthy", healthy)
	tc.engines[0].Crash()
	eventually(t, "the crash is reported", func() bool { return !healthy() })
	eventually(t, "the restart is reported", healthy)
}
