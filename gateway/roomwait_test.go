package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/serviceroom"
)

// Guards against a generation that reaches an engine before there is room, that is refused although
// room comes in time, or whose need is not reported as it is.
func TestGenerationWaitsForRoom(t *testing.T) {
	rooms := &testRooms{}
	admit := decideAll(serviceroom.Decision{Admit: true})
	server := newEventServer(t)
	rooms.answer = func(r serviceroom.Renewal, g *serviceroom.Grant) error {
		if len(r.Waiting) > 0 && r.Waiting[0].Age > 300*time.Millisecond {
			return admit(r, g)
		}
		g.FreeIn = 200 * time.Millisecond
		if len(r.Waiting) > 0 && server.count.Load() > 0 {
			t.Error("the generation was sent before it was admitted")
		}
		return nil
	}
	h, logs := newRoomHarness(t, rooms, true, server)
	start := time.Now()
	if status, _, err := h.generate(longTokens); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
	if waited := time.Since(start); waited < 300*time.Millisecond {
		t.Errorf("waited %v", waited)
	}
	var first serviceroom.Demand
	for _, r := range rooms.list() {
		if len(r.Waiting) > 0 {
			first = r.Waiting[0]
			break
		}
	}
	if first.Need != longNeed || first.Caller != "team" || first.Digest == 0 || first.Patience > roomObjective ||
		first.Patience < roomObjective/2 {
		t.Errorf("asked for %+v", first)
	}
	if got := h.gateway.rooms.metrics.waited.String(); got != `{"s":1}` {
		t.Errorf("waited: %s", got)
	}
	if lines := logs.FilterMessage("generation waited for room").All(); len(lines) != 1 ||
		lines[0].ContextMap()["need_tokens"] != int64(longNeed) {
		t.Errorf("logged %v", lines)
	}
	rooms.await(t, "its need is returned", func(r serviceroom.Renewal) bool { return sum(r.Running) == 0 && r.Ended == longNeed })
}

// Guards against a refusal that comes late, may have run, names no time or one that is too early,
// or leaves no trace of what it followed from.
func TestRefusalForRoom(t *testing.T) {
	server := newEventServer(t)
	rooms := &testRooms{answer: decideAll(serviceroom.Decision{RetryAfter: 1234567 * time.Microsecond,
		Reason: serviceroom.NoRoomInTime, Room: 70, Share: 4000})}
	h, logs := newRoomHarness(t, rooms, true, server)
	start := time.Now()
	status, header, err := h.generate(longTokens)
	if err != nil || status != 503 || header.Get("Retry-After") != "1.235" || header.Get(verdictHeader) != "not_run" {
		t.Errorf("%d %v %v", status, header, err)
	}
	if took := time.Since(start); took > roomObjective/2 || server.count.Load() > 0 {
		t.Errorf("refused after %v, %d arrivals", took, server.count.Load())
	}
	if got := h.gateway.rooms.metrics.refused.String(); got != `{"s":1}` {
		t.Errorf("refused: %s", got)
	}
	lines := logs.FilterMessage("request not served").All()
	if len(lines) != 1 {
		t.Fatalf("%d refusals logged", len(lines))
	}
	fields := lines[0].ContextMap()
	for name, want := range map[string]any{"detail": "no room for the generation", "reason": "overloaded",
		"need_tokens": int64(longNeed), "caller_tokens": int64(4000), "room_tokens": int64(70), "caller": "team",
		"cause": "no_room_in_time"} {
		if fields[name] != want {
			t.Errorf("%s: %v, want %v", name, fields[name], want)
		}
	}
	if fields["waited_seconds"] == nil || fields["retry_after_seconds"] == nil || fields["lease_tokens"] == nil {
		t.Errorf("logged %v", fields)
	}
}

// Guards against a generation that waits on behalf of a caller that left, and then runs or keeps room.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	server := newEventServer(t)
	rooms := &testRooms{answer: decideAll(serviceroom.Decision{})}
	rooms.answer = func(_ serviceroom.Renewal, g *serviceroom.Grant) error { g.FreeIn = time.Second; return nil }
	h, _ := newRoomHarness(t, rooms, true, server)
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nT-Id: i\r\nT-Key: key\r\nT-Max: %s\r\nContent-Length: 0\r\n\r\n",
		longTokens)
	rooms.await(t, "it waits", func(r serviceroom.Renewal) bool { return len(r.Waiting) == 1 })
	_ = conn.Close()
	rooms.await(t, "it no longer waits", func(r serviceroom.Renewal) bool { return len(r.Waiting) == 0 && sum(r.Running) == 0 })
	if n := server.count.Load(); n > 0 {
		t.Errorf("%d arrivals", n)
	}
}

// Guards against a generation that waits at an entry which stops before it could end, and against
// a lease that this entry keeps.
func TestEntryStopsWhileAGenerationWaits(t *testing.T) {
	server := newEventServer(t)
	rooms := &testRooms{answer: func(_ serviceroom.Renewal, g *serviceroom.Grant) error { g.FreeIn = time.Second; return nil }}
	h, _ := newRoomHarness(t, rooms, true, server)
	type answer struct {
		status int
		header http.Header
		body   string
	}
	done := make(chan answer, 1)
	go func() {
		status, header, body, _ := h.call("/stream/x", "T-Max", longTokens)
		done <- answer{status, header, body}
	}()
	rooms.await(t, "it waits", func(r serviceroom.Renewal) bool { return len(r.Waiting) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	start := time.Now()
	go h.gateway.Drain(ctx, 100*time.Millisecond, h.listen)
	a := <-done
	if a.status != 503 || !strings.Contains(a.body, `"leaving"`) || a.header.Get("Retry-After") == "" {
		t.Errorf("%+v", a)
	}
	if took := time.Since(start); took > time.Second || server.count.Load() > 0 {
		t.Errorf("refused after %v, %d arrivals", took, server.count.Load())
	}
	rooms.await(t, "the entry stops", func(r serviceroom.Renewal) bool { return r.Stopping && len(r.Waiting) == 0 })
}
