package observe

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// TestFieldNames guards against log fields that a search does not find because
// packages name them differently.
func TestFieldNames(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Debug("hidden")
	log.With(Caller("c1")).Info("started", RequestID("r1"), BackendServer("b1"), FailureDomain("d1"), Revision(7))
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatalf("%v in %s", err, out.String())
	}
	delete(got, "time")
	want := map[string]any{
		"level": "info", "msg": "started", "caller": "c1", "request_id": "r1",
		"backend_server": "b1", "failure_domain": "d1", "revision": 7.0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestLogIsBounded guards against disks filled by texts from callers or by
// repeated messages.
func TestLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("é", 1<<20)
	fields := []zap.Field{
		zap.Error(errors.New(long)), zap.Any("list", []string{long}),
		zap.ByteString("bytes", []byte(long)), zap.Binary("binary", []byte(long)),
	}
	for i := range 100 {
		fields = append(fields, zap.String("field"+strconv.Itoa(i), long))
	}
	log.With(fields[10:]...).Info(long, fields...)
	if out.Len() > 2*MaxFields*MaxTextBytes || !json.Valid(out.Bytes()) {
		t.Errorf("line has %d bytes, valid JSON: %v", out.Len(), json.Valid(out.Bytes()))
	}
	out.Reset()
	for range 10 * sampleFirst {
		log.Info("the same fault")
	}
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines > 2*sampleFirst {
		t.Errorf("%d lines for one repeated message", lines)
	}
}

// TestMetrics guards against metrics without units, unbounded labels and wrong
// conversion of the histogram's microseconds.
func TestMetrics(t *testing.T) {
	m := NewMetrics()
	m.Counter("requests_total").Add(2)
	m.Counter("requests_total").Add(1)
	for i := range 5 {
		m.Counters("refusals_total", 2).Add("reason"+strconv.Itoa(i), 1)
	}
	for _, d := range []time.Duration{-time.Second, 20 * time.Millisecond, 30 * time.Millisecond, 100 * time.Hour} {
		m.Histogram("between_tokens_seconds").Record(d)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var got struct {
		Requests  int                `json:"requests_total"`
		Refusals  map[string]int     `json:"refusals_total"`
		Histogram map[string]float64 `json:"between_tokens_seconds"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Requests != 3 {
		t.Errorf("requests_total = %d", got.Requests)
	}
	if diff := cmp.Diff(map[string]int{"reason0": 1, "reason1": 1, "other": 3}, got.Refusals); diff != "" {
		t.Error(diff)
	}
	if h := got.Histogram; h["count"] != 4 || h["p50"] < 0.0198 || h["p50"] > 0.0202 || h["max"] < 3600 || h["max"] > 3640 {
		t.Errorf("histogram = %v", h)
	}
	defer func() {
		if recover() == nil {
			t.Error("a metric without a unit was accepted")
		}
	}()
	m.Counter("requests")
}

// TestServer guards against a drain that /readyz does not report, and against a
// listener that stays open after Shutdown.
func TestServer(t *testing.T) {
	var reason string
	burn := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "burn") })
	s := NewServer(NewMetrics(), func() (bool, string) { return reason == "", reason }, burn)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	tests := []struct {
		path, reason string
		status       int
		body         string
	}{
		{"/livez", "draining", 200, `{"ok":true}`},
		{"/readyz", "", 200, `{"ok":true}`},
		{"/readyz", "draining", 503, `{"ok":false,"reason":"draining"}`},
		{"/debug/vars", "", 200, `"uptime_seconds":`},
		{"/debug/pprof/", "", 200, "heap"},
		{"/debug/pprof/goroutine?debug=1", "", 200, "goroutine profile"},
		{"/burn", "", 200, "burn"},
		{"/other", "", 404, ""},
	}
	for _, tt := range tests {
		reason = tt.reason
		response, err := http.Get("http://" + listener.Addr().String() + tt.path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != tt.status || !strings.Contains(string(body), tt.body) {
			t.Errorf("%s: %d %.200s, %v", tt.path, response.StatusCode, body, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
