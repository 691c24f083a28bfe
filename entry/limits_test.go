package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/entry"
)

// TestCallerLimits guards against a burst of one team that reaches the backend
// servers, and against a rejection without Retry-After.
func TestCallerLimits(t *testing.T) {
	tc := newTestCluster(t, clusterOptions{})
	tc.fleet.update(func(f *fakeFleet) {
		copied := *f.config
		copied.Callers = map[string]contract.Caller{}
		for name, c := range f.config.Callers {
			if name == "demo" {
				c.RatePerSecond, c.Burst = 0.01, 2
			}
			copied.Callers[name] = c
		}
		f.config = &copied
	})
	send := func(key string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, tc.urls[0]+"/v1/completions",
			strings.NewReader(`{"model":"coach","prompt":"x [tokens=1]"}`))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response
	}
	steps := []struct {
		key    string
		status int
	}{
		{"demo-key", http.StatusOK}, {"demo-key", http.StatusOK}, {"demo-key", http.StatusTooManyRequests},
		{"other-key", http.StatusOK},
	}
	for i, s := range steps {
		response := send(s.key)
		if response.StatusCode != s.status {
			t.Fatalf("request %d by %s: status %d, want %d", i, s.key, response.StatusCode, s.status)
		}
		if s.status == http.StatusTooManyRequests &&
			(response.Header.Get("Retry-After") == "" || response.Header.Get(entry.VerdictHeader) != "not_run") {
			t.Fatalf("rejection without Retry-After or with verdict %q", response.Header.Get(entry.VerdictHeader))
		}
	}
}
