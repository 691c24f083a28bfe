package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/streamend"
	"github.com/pkg/errors"
)

// movedStreamEvents is the number of events of a generation that is moved.
const movedStreamEvents = 60

// movedAt is the moment at which a generation is moved away from a server.
type movedAt int

const (
	notMoved movedAt = iota
	beforeHead
	afterHead
	// afterEvents follows movedEvents events.
	afterEvents
)

// movedEvents is the number of events that a server sends before the generation is moved.
const movedEvents = 8

// movedStream is a generation at servers that each get it from the one before.
type movedStream struct {
	*harness
	mu sync.Mutex
	// lastEventIDs are the header values that the servers received.
	lastEventIDs [][]string
}

// newMovedStream starts a server for each of moves.
func newMovedStream(t *testing.T, moves ...movedAt) *movedStream {
	m := &movedStream{}
	var servers []*testServer
	for _, moved := range moves {
		servers = append(servers, newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			m.mu.Lock()
			m.lastEventIDs = append(m.lastEventIDs, r.Header.Values("T-Last"))
			m.mu.Unlock()
			m.serve(w, r, moved)
		}))
	}
	m.harness = newHarness(t, locatorFunc(func(from backend.Server, _ string) (string, string, error) {
		for i, server := range servers[:len(servers)-1] {
			if server.address == from.Address && moves[i] != notMoved {
				return servers[i+1].address, "copy", nil
			}
		}
		return "", "", errors.New("not found")
	}), servers...)
	m.fleet.set(func(f *testFleet) {
		next := *f.view
		next.Servers = slices.Clone(next.Servers)
		for i := range next.Servers[1:] {
			next.Servers[1+i].Leaving = true
		}
		f.view = &next
	})
	return m
}

// received returns the header values that the servers received so far.
func (m *movedStream) received() [][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.lastEventIDs)
}

// serve sends the events after the last one that the request names.
func (m *movedStream) serve(w http.ResponseWriter, r *http.Request, moved movedAt) {
	first, _ := strconv.Atoi(r.Header.Get("T-Last"))
	first++
	switch moved {
	case notMoved:
		_, _ = io.WriteString(w, events(first, movedStreamEvents))
		return
	case afterEvents:
		_, _ = io.WriteString(w, events(first, first+movedEvents-1))
		fallthrough
	case afterHead:
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// read requests the stream with values of the header that names the last event.
func (m *movedStream) read(lastEventID ...string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.address+"/stream/x", strings.NewReader("data"))
	if err != nil {
		m.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("T-Id", "id-1")
	request.Header.Set("T-Key", "key")
	request.Header["T-Last"] = lastEventID
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// Guards against events that a caller gets again, or never, because the server to which its resumed stream is moved is
// not told the last event that the caller has.
func TestMovedStreamContinuesAfterTheLastEventOfItsCaller(t *testing.T) {
	for _, c := range []struct {
		name  string
		named []string
		moved movedAt
		// first is the first event that the caller has to get.
		first int
	}{
		{"resumed, moved before the head", []string{"22"}, beforeHead, 23},
		{"resumed, moved before the first event", []string{"22"}, afterHead, 23},
		{"resumed, moved after some events", []string{"22"}, afterEvents, 23},
		{"from the beginning, moved before the head", nil, beforeHead, 1},
		{"from the beginning, moved before the first event", nil, afterHead, 1},
		{"from the beginning, moved after some events", nil, afterEvents, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMovedStream(t, c.moved, notMoved)
			status, body, err := m.read(c.named...)
			if want := events(c.first, movedStreamEvents); status != http.StatusOK || err != nil || body != want {
				t.Errorf("status %d, %v, events %s, want %d to %d", status, err, eventNumbers(body), c.first, movedStreamEvents)
			}
			if got := m.received(); len(got) != 2 || !slices.Equal(got[0], c.named) {
				t.Errorf("the servers got the last event ids %q", got)
			}
		})
	}
}

// Guards against a caller that gets no answer, or the beginning of one, although a server holds the generation, because it
// was moved more than once before an event, and against moves that are followed without end.
func TestStreamFollowsMovesBeforeItsFirstEvent(t *testing.T) {
	for name, c := range map[string]struct {
		named []string
		moves []movedAt
		first int
	}{
		"before the head":                 {nil, []movedAt{beforeHead, beforeHead, notMoved}, 1},
		"after the head":                  {nil, []movedAt{afterHead, beforeHead, notMoved}, 1},
		"after events":                    {nil, []movedAt{afterEvents, beforeHead, afterHead, notMoved}, 1},
		"resumed, before the head":        {[]string{"22"}, []movedAt{beforeHead, beforeHead, notMoved}, 23},
		"resumed, before the head, often": {[]string{"22"}, append(slices.Repeat([]movedAt{beforeHead}, maxResumes), notMoved), 23},
		"resumed, at each moment":         {[]string{"22"}, []movedAt{beforeHead, afterHead, beforeHead, afterEvents, beforeHead, notMoved}, 23},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMovedStream(t, c.moves...)
			status, body, err := m.read(c.named...)
			if want := events(c.first, movedStreamEvents); status != http.StatusOK || err != nil || body != want {
				t.Errorf("status %d, %v, events %s, want %d to %d", status, err, eventNumbers(body), c.first, movedStreamEvents)
			}
		})
	}
	m := newMovedStream(t, slices.Repeat([]movedAt{beforeHead}, 2*maxResumes)...)
	if status, body, err := m.read(); status != http.StatusBadGateway || err != nil {
		t.Errorf("moved without end: status %d, %v, %q", status, err, body)
	}
	if got := len(m.received()); got != 1+maxResumes {
		t.Errorf("moved without end: %d servers were asked, want %d", got, 1+maxResumes)
	}
}

// Guards against a server that gets another last event id than the server before it, which got the caller's as it came.
func TestLastEventIDOfTheCallerIsPassedOnAsItCame(t *testing.T) {
	for _, named := range [][]string{nil, {""}, {"0"}, {"22", "23"}, {"22, 23"}, {"2 2"}, {"abc"}, {"-1"}} {
		for _, moved := range []movedAt{beforeHead, afterHead} {
			m := newMovedStream(t, moved, notMoved)
			if status, _, err := m.read(named...); status != http.StatusOK || err != nil {
				t.Errorf("%q: status %d, %v", named, status, err)
			}
			if got := m.received(); len(got) != 2 || !slices.Equal(got[0], named) || !slices.Equal(got[1], named) {
				t.Errorf("the servers got the last event ids %q, the caller sent %q", got, named)
			}
		}
	}
}

// eventNumbers returns the ids of the events in body.
func eventNumbers(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

// Guards against a position that goes back to the beginning after an event without an id, or with an empty one.
func TestEventWithoutIDKeepsThePosition(t *testing.T) {
	for name, sent := range map[string]string{"no id": "data: wait\n\n", "empty id": "id:\ndata: wait\n\n", "comment": ": wait\n\n"} {
		for _, c := range []struct{ named, before, want string }{{"22", "", "22"}, {"22", events(23, 25), "25"}, {"", events(1, 3), "3"}} {
			p := streamPosition{}
			if c.named != "" {
				p = newStreamPosition([]string{c.named})
			}
			p.advance([]byte(c.before + sent))
			if p.String() != c.want {
				t.Errorf("%s after %q: the caller named %q, the position is %q, want %q", name, c.before, c.named, &p, c.want)
			}
		}
	}
}

// Guards against a question for the end of a resumed stream that does not tell the events of the caller from those that
// arrived, also from earlier servers.
func TestEndOfResumedStreamIsAskedWithTheEventsOfItsCaller(t *testing.T) {
	for _, c := range []struct {
		named      []string
		moved      bool
		sent, rest string
		want       StreamEnd
	}{
		{nil, false, events(1, 60), "", StreamEnd{Events: 60}},
		{[]string{"22"}, false, events(23, 60), "", StreamEnd{Events: 38, CallerEvents: 22}},
		{[]string{"60"}, false, "", "", StreamEnd{CallerEvents: 60}},
		{[]string{"0"}, false, events(1, 60), "", StreamEnd{Events: 60}},
		{[]string{"a"}, false, events(23, 60), "", StreamEnd{Events: 38}},
		{[]string{"22", "23"}, false, events(23, 60), "", StreamEnd{Events: 38}},
		{[]string{"22"}, false, "id: a\n\n", "", StreamEnd{Events: 1}},
		{[]string{"22"}, false, ": wait\n\n", "", StreamEnd{Events: 1, CallerEvents: 21}},
		{[]string{"22"}, true, events(23, 30), events(31, 60), StreamEnd{Events: 38, EventsBefore: 8, CallerEvents: 22}},
		{nil, true, events(1, 30), events(31, 60), StreamEnd{Events: 60, EventsBefore: 30}},
		{[]string{"22"}, true, "", events(23, 60), StreamEnd{Events: 38, CallerEvents: 22}},
	} {
		server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Header.Get("T-Copy") != "":
				unframed(w, r, c.rest)
			case c.moved:
				_, _ = io.WriteString(w, c.sent)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			default:
				unframed(w, r, c.sent)
			}
		})
		locator := &endLocator{verdict: streamend.Ended, locatorFunc: func(s backend.Server, _ string) (string, string, error) {
			return s.Address, "copy", nil
		}}
		m := &movedStream{harness: newHarness(t, locator, server)}
		m.declareEngine()
		if status, _, err := m.read(c.named...); status != http.StatusOK || err != nil {
			t.Errorf("%q: status %d, %v", c.named, status, err)
		}
		got := locator.end.Load()
		if got == nil {
			t.Fatalf("%q: the agent was not asked", c.named)
		}
		c.want.ID, c.want.SentAgo = got.ID, got.SentAgo
		if *got != c.want {
			t.Errorf("%q, %q: asked for %+v, want %+v", c.named, c.sent, *got, c.want)
		}
	}
}
