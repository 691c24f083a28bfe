package fleet

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against evacuations that take effect or end without a log line, or with one for each
// new view.
func TestEvacuationLog(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := NewEvacuationLog(zap.New(core))
	for _, domains := range [][]string{nil, {"a"}, {"a"}, {"a", "b"}, {"b"}, {"b"}, nil, nil} {
		v := &View{Evacuations: map[string]time.Duration{}}
		for _, d := range domains {
			v.Evacuations[d] = SinceBoot()
		}
		l.Update(v)
	}
	want := []string{"evacuation of a failure domain in effect a", "evacuation of a failure domain in effect b",
		"evacuation of a failure domain ended a", "evacuation of a failure domain ended b"}
	entries := logs.All()
	if len(entries) != len(want) {
		t.Fatalf("%d log lines, want %d: %v", len(entries), len(want), entries)
	}
	for i, e := range entries {
		if got := e.Message + " " + e.ContextMap()["failure_domain"].(string); got != want[i] {
			t.Errorf("line %d: %q, want %q", i, got, want[i])
		}
	}
}
