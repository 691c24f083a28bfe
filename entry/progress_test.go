package entry

import (
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/google/go-cmp/cmp"
)

// TestProgressEvents guards against events that count a batch of tokens as one gap,
// attribute a canceled request to the service, or miss a stall.
func TestProgressEvents(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	var got []burn.Event
	e := &Entry{options: Options{RecordEvent: func(e burn.Event) { got = append(got, e) }}}
	caller := contract.Caller{TeamClass: "gold"}
	p := e.newProgressRecorder("coach-llm", caller, start)
	p.recordTokens(start.Add(100*ms), 1)
	p.recordTokens(start.Add(120*ms), 3)
	p.finish(start.Add(620*ms), verdict.New(verdict.Ran, verdict.ReasonStreamLost, "lost"))
	event := func(kind contract.ObjectiveKind, d time.Duration, times int64) burn.Event {
		return burn.Event{Kind: kind, Service: "coach-llm", TeamClass: "gold", Duration: d, Times: times}
	}
	whole, stall := event(contract.ObjectiveWhole, 0, 0), event(contract.ObjectiveStall, 500*ms, 0)
	whole.Failed, whole.Reason, stall.Reason = true, verdict.ReasonStreamLost, verdict.ReasonStreamLost
	want := []burn.Event{
		event(contract.ObjectiveFirstToken, 100*ms, 0), event(contract.ObjectiveBetweenTokens, 20*ms, 0),
		event(contract.ObjectiveBetweenTokens, 0, 2), whole, stall, event(contract.ObjectivePreemptions, 0, 0),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	got = nil
	e.newProgressRecorder("coach-llm", caller, start).finish(start,
		verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "left"))
	if len(got) != 0 {
		t.Fatalf("a canceled request was recorded: %v", got)
	}
}
