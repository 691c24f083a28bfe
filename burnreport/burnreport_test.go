package burnreport

import (
	"encoding/json"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/verdict"
)

var recordingStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newTestCollector returns a collector with one hour of events, of which those of
// the last 20 minutes are bad.
func newTestCollector() *Collector {
	now := recordingStart
	c := NewCollector("entry-1", func() time.Time { return now })
	c.SetObjectives([]contract.Objective{
		{Name: "complete", Service: "coach-llm", Kind: contract.ObjectiveWhole, Target: 0.999},
		{
			Name: "<script>", Service: "coach-llm", TeamClass: "large", Kind: contract.ObjectiveStall,
			Bound: 2 * time.Second, Target: 0.99,
		},
	})
	for ; now.Before(recordingStart.Add(time.Hour)); now = now.Add(10 * time.Second) {
		e := burn.Event{Kind: contract.ObjectiveStall, Service: "coach-llm", TeamClass: "large", Duration: time.Second}
		if now.After(recordingStart.Add(40 * time.Minute)) {
			e.Duration, e.Reason, e.BackendServer = 5*time.Second, verdict.ReasonTimeout, "coach-3"
		}
		c.Record(e)
		c.Record(burn.Event{Kind: contract.ObjectiveWhole, Service: "coach-llm"})
	}
	return c
}

// TestServeHTTP guards against reports that omit what an operator needs, and
// against names that are not escaped in HTML.
func TestServeHTTP(t *testing.T) {
	c := newTestCollector()
	tests := []struct {
		query, accept, contentType string
		status                     int
		want                       []string
	}{
		{"", "*/*", "text/plain; charset=utf-8", 200, []string{
			"from entry-1", "begin at 2026-03-01 12:00:00 UTC",
			"PAGE    <script>: coach-llm, team class large, stall time at most 2s for 99 %",
			"burns since 2026-03-01 12:40:00 UTC (fast", "timeout at coach-3", "OK      complete",
			"error budget left over 3 d: 100 %",
		}},
		{"", "text/html,*/*", "text/html; charset=utf-8", 200, []string{
			"&lt;script&gt;", "<svg", "Burns since 2026-03-01 12:40:00 UTC",
		}},
		{"?format=json", "", "application/json", 200, []string{
			`"severity": "page"`, `"bound_seconds": 2`, `"backend_server": "coach-3"`,
		}},
		{"?format=snapshot", "", "application/json", 200, []string{`"format":1`}},
		{"?format=pdf", "", "text/plain; charset=utf-8", 400, []string{"snapshot, json, text, html"}},
	}
	for _, tt := range tests {
		r := httptest.NewRequest("GET", "/burn"+tt.query, nil)
		r.Header.Set("Accept", tt.accept)
		w := httptest.NewRecorder()
		c.ServeHTTP(w, r)
		if w.Code != tt.status || w.Header().Get("Content-Type") != tt.contentType {
			t.Errorf("%s: %d %s", tt.query, w.Code, w.Header().Get("Content-Type"))
		}
		for _, want := range tt.want {
			if !strings.Contains(w.Body.String(), want) {
				t.Errorf("%s: %q is missing in\n%s", tt.query, want, w.Body)
			}
		}
	}
}

// TestPageOpensWithoutNetwork guards against references from the HTML report to
// other resources, and against scripts.
func TestPageOpensWithoutNetwork(t *testing.T) {
	body, err := Render(newTestCollector().Snapshot(), FormatHTML)
	if err != nil {
		t.Fatal(err)
	}
	if found := regexp.MustCompile(
		`(?i)https?:|//|src=|href=|url\(|@import|<script|<link|<iframe`).FindString(string(body)); found != "" {
		t.Errorf("the page contains %q", found)
	}
}

// TestSnapshotRoundTrip guards against a report rendered from a fetched snapshot
// that differs from the one the entry itself renders.
func TestSnapshotRoundTrip(t *testing.T) {
	c := newTestCollector()
	body, err := Render(c.Snapshot(), FormatSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	s, err := burn.ParseSnapshot(body)
	if err != nil {
		t.Fatal(err)
	}
	for _, format := range []Format{FormatJSON, FormatText, FormatHTML} {
		want, errWant := Render(c.Snapshot(), format)
		got, errGot := Render(s, format)
		if string(want) != string(got) || errWant != nil || errGot != nil {
			t.Errorf("%s differs: %v, %v", format, errWant, errGot)
		}
	}
	if jsonBody, _ := Render(s, FormatJSON); !json.Valid(jsonBody) {
		t.Error("the JSON report is not valid")
	}
}

// TestCollectorIsShared guards against data races between goroutines that record
// events and one that takes snapshots.
func TestCollectorIsShared(t *testing.T) {
	c := NewCollector("e", nil)
	c.SetObjectives([]contract.Objective{{Name: "a", Service: "s", Kind: contract.ObjectiveWhole, Target: 0.9}})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				c.Record(burn.Event{Kind: contract.ObjectiveWhole, Service: "s"})
			}
			c.Snapshot()
		})
	}
	wg.Wait()
	if w := burn.Evaluate(c.Snapshot()).Objectives[0].Windows[3]; w.Total != 2000 {
		t.Errorf("total = %d", w.Total)
	}
}
