package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a load report without content that counts as one of a server whose counters were reset.
func TestLoadWithoutContentHasNoCounter(t *testing.T) {
	for _, body := range []string{`null`, `{}`, `{"error":"busy"}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		if load, err := NewClient(strings.TrimPrefix(server.URL, "http://")).Load(t.Context()); err != nil || load.Requests != nil {
			t.Errorf("%s counts as the load %+v, %v", body, load, err)
		}
		server.Close()
	}
}
