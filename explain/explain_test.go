package explain

import (
	"strings"
	"testing"
)

const logs = `  1.5 side-1 {"level":"info","time":"2026-02-15T18:41:41.0Z","msg":"notice of the backend server changed","host":"side-1","role":"agent","leaving":true,"leaves_in_seconds":1.8,"runs":4}
{"level":"info","time":"2026-02-15T18:41:40.0Z","msg":"attempt ended","host":"front-1","role":"entry","request_id":"a","backend_server":"i-1","result":"answered"}
{"level":"info","time":"2026-02-15T18:41:41.2Z","msg":"generation moved","host":"side-1","role":"agent","request_id":"a","destination":"10.0.0.2:1","left_seconds":1.6,"error":"the move was answered 503"}
not a line of a daemon
{"level":"info","time":"2026-02-15T18:41:42.9Z","msg":"stream broken off by its server","host":"front-1","role":"entry","request_id":"a","backend_server":"i-1","last_event_id":"46","cause":"unexpected EOF","resumed":false,"resume_error":"the server runs no such generation"}
{"level":"info","time":"2026-02-15T18:41:42.0Z","msg":"notice of the backend server changed","host":"side-2","role":"agent","leaving":true,"leaves_in_seconds":1.8,"runs":1}
{"level":"info","time":"2026-02-15T18:41:20.0Z","msg":"draining","host":"front-1","role":"entry"}
{"level":"info","time":"2026-02-15T18:41:42.0Z","msg":"request not served","host":"front-1","role":"entry","request_id":"b","status":503,"reason":"overloaded","detail":"no backend server took the request"}
{"level":"info","time":"2026-02-15T18:43:41.0Z","msg":"last move ordered","host":"side-4","role":"agent","request_id":"d","destination":"10.0.0.3:1"}
{"level":"info","time":"2026-02-15T18:43:41.1Z","msg":"end of a stream without framing","host":"front-4","role":"entry","request_id":"d","backend_server":"i-4","events":39,"verdict":"stopped","reason":"a stop was ordered"}
{"level":"info","time":"2026-02-15T18:45:41.1Z","msg":"end of a stream without framing","host":"front-5","role":"entry","request_id":"e","backend_server":"i-5","events":40,"verdict":"ended","reason":"the server lives on without it"}
{"level":"info","time":"2026-02-15T18:47:41.1Z","msg":"end of a stream without framing","host":"front-5","role":"entry","request_id":"f","backend_server":"i-5","events":12,"verdict":"unknown","reason":"the server was not seen since"}
`

// TestExplain guards against reports that mix requests, hosts or times, or that
// omit the failed move that caused a truncated response.
func TestExplain(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logs))
	if err != nil || skipped != 1 || len(lines) != 11 {
		t.Fatalf("%d lines, %d skipped, %v", len(lines), skipped, err)
	}
	for _, c := range []struct {
		request string
		lines   int
		want    []string
	}{
		{"a", 4, []string{"side-1 was told to leave within 1.8 s, with 4 generations",
			"could not move the generation to 10.0.0.2:1 with 1.6 s left: the move was answered 503",
			"i-1 broke the stream off after event 46 (unexpected EOF); it did not go on elsewhere"}},
		{"b", 1, []string{"front-1 answered 503 itself (overloaded): no backend server took the request"}},
		{"c", 0, nil},
		{"d", 2, []string{"side-4 ordered the server to stop the generation and move it to 10.0.0.3:1",
			"i-4 closed the connection after 39 events, which is no confirmed end (stopped): a stop was ordered"}},
		{"e", 1, []string{"i-5 ended the stream by itself after 40 events"}},
		{"f", 1, []string{"i-5 closed the connection after 12 events, which is no confirmed end (unknown): the server was not seen since"}},
	} {
		r := Explain(lines, c.request)
		if len(r.Lines) != c.lines || len(r.Causes) != len(c.want) {
			t.Fatalf("%s: %d lines, causes %q", c.request, len(r.Lines), r.Causes)
		}
		for i, want := range c.want {
			if !strings.Contains(r.Causes[i], want) {
				t.Errorf("%s: cause %q, want %q", c.request, r.Causes[i], want)
			}
		}
		for i := 1; i < len(r.Lines); i++ {
			if r.Lines[i].Time.Before(r.Lines[i-1].Time) {
				t.Errorf("%s: line %d is out of order", c.request, i)
			}
		}
		var out strings.Builder
		if err := r.Write(&out); err != nil || out.Len() == 0 {
			t.Errorf("%s: %q, %v", c.request, out.String(), err)
		}
	}
}
