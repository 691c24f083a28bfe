package backend

import (
	"testing"
	"time"
)

// Guards against a server that just started and counts as warm because the list lags, against
// all servers of a deployment that count as cold when its list is read for the first time, and
// against services without a bound whose servers count as cold.
func TestMarkCold(t *testing.T) {
	const now, s = time.Hour, time.Second
	coldStart := func(service string) (time.Duration, bool) {
		if service == "no start" {
			return 0, true
		}
		return s, service == "bounded"
	}
	server := func(id string, startedAt int64, coldFor, coldUntil time.Duration) Server {
		return Server{ID: id, Service: "bounded", StartedAt: startedAt, ColdFor: coldFor, ColdUntil: coldUntil}
	}
	for _, c := range []struct {
		name     string
		listed   Server
		previous []Server
		first    bool
		want     time.Duration
	}{
		{"new", server("a", 0, 0, 0), nil, false, now + s},
		{"new, as the list shows", server("a", 0, 300, 0), nil, false, now + 300},
		{"new in the first list", server("a", 0, 0, 0), nil, true, 0},
		{"shown in the first list", server("a", 0, 300, 0), nil, true, now + 300},
		{"started again", server("a", 9, 0, 0), []Server{server("a", 8, 0, 0)}, false, now + s},
		{"the same start", server("a", 9, 0, 0), []Server{server("a", 9, 0, 0)}, false, 0},
		{"still cold", server("a", 9, 0, 0), []Server{server("a", 9, 0, now+1)}, false, now + 1},
		{"cold time over", server("a", 9, 0, 0), []Server{server("a", 9, 0, now)}, false, 0},
		{"the list shows less", server("a", 9, 200, 0), []Server{server("a", 9, 0, now+s)}, false, now + 200},
		{"cold again", server("a", 9, 2*s, 0), []Server{server("a", 9, 0, 0)}, false, now + 2*s},
		{"bound without a cold start", Server{ID: "a", Service: "no start"}, nil, false, now},
		{"bound without a cold start, as the list shows", Server{ID: "a", Service: "no start", ColdFor: s}, nil, false, now + s},
		{"no bound", Server{ID: "a", Service: "other", ColdFor: s}, nil, false, 0},
	} {
		got := MarkCold(now, []Server{c.listed}, c.previous, c.first, coldStart)
		if got[0].ColdUntil != c.want || got[0].ColdFor != 0 {
			t.Errorf("%s: cold until %v, for %v, want until %v", c.name, got[0].ColdUntil, got[0].ColdFor, c.want)
		}
	}
}

// Guards against an engine that became cold again and counts as warm because an older list says so, against a
// report that makes a server of a service without a bound cold, and against an end that moves to
// another server.
func TestMarkReported(t *testing.T) {
	const now, s = time.Hour, time.Second
	coldStart := func(service string) (time.Duration, bool) { return s, service == "bounded" }
	reported := map[string]time.Duration{"x": now + s, "over": now}
	for _, c := range []struct {
		name   string
		server Server
		want   time.Duration
	}{
		{"warm in the list", Server{Service: "bounded", Address: "x"}, now + s},
		{"an earlier end in the list", Server{Service: "bounded", Address: "x", ColdUntil: now + 300}, now + s},
		{"a later end in the list", Server{Service: "bounded", Address: "x", ColdUntil: now + 2*s}, now + 2*s},
		{"reported time over", Server{Service: "bounded", Address: "over"}, 0},
		{"not reported", Server{Service: "bounded", Address: "y"}, 0},
		{"no bound", Server{Service: "other", Address: "x"}, 0},
	} {
		servers := []Server{c.server}
		got := MarkReported(now, servers, reported, coldStart)
		if got[0].ColdUntil != c.want {
			t.Errorf("%s: cold until %v, want %v", c.name, got[0].ColdUntil, c.want)
		}
		if servers[0] != c.server {
			t.Errorf("%s: the list was changed in place", c.name)
		}
	}
}
