package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
)

// endLocator is a Locator whose agents give one verdict, after some failed calls, and know one copy.
type endLocator struct {
	locatorFunc
	verdict  streamend.Verdict
	failures atomic.Int64
	asked    atomic.Int64
	end      atomic.Pointer[StreamEnd]
}

func (l *endLocator) StreamEnd(_ context.Context, _ backend.Server, end StreamEnd) (streamend.Verdict, string, error) {
	l.asked.Add(1)
	l.end.Store(&end)
	if l.failures.Add(-1) >= 0 {
		return streamend.Unknown, "", errors.New("agent is down")
	}
	return l.verdict, "test", nil
}

// withEvents responds to a request and to one that resumes it.
func withEvents(respond func(w http.ResponseWriter, r *http.Request, body string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := events(1, 3)
		if r.Header.Get("T-Copy") != "" {
			body = events(4, 6)
		}
		respond(w, r, body)
	}
}

// Guards against a stream without length or chunks that ends as complete although its agent did not confirm
// the end, that is cut although it did, or that does not resume; and against calls to agents for framed streams.
func TestEndOfStreamWithoutFramingIsConfirmed(t *testing.T) {
	chunked := func(w http.ResponseWriter, _ *http.Request, body string) { _, _ = w.Write([]byte(body)) }
	const failsForGood = 1 << 30
	for name, c := range map[string]struct {
		respond  func(w http.ResponseWriter, r *http.Request, body string)
		verdict  streamend.Verdict
		copied   bool
		failures int64
		events   string
		whole    bool
		asked    bool
	}{
		"chunks":                             {chunked, streamend.Unknown, false, 0, events(1, 3), true, false},
		"ended":                              {unframed, streamend.Ended, false, 0, events(1, 3), true, true},
		"ended, agent down for a moment":     {unframed, streamend.Ended, false, 2, events(1, 3), true, true},
		"agent down":                         {unframed, streamend.Ended, false, failsForGood, events(1, 3), false, true},
		"unknown":                            {unframed, streamend.Unknown, false, 0, events(1, 3), false, true},
		"stopped without a copy":             {unframed, streamend.Stopped, false, 0, events(1, 3), false, true},
		"unknown at the agent, but a copy":   {unframed, streamend.Unknown, true, 0, events(1, 6), false, true},
		"stopped, resumes and is cut again":  {unframed, streamend.Stopped, true, 0, events(1, 6), false, true},
		"stopped, resumes at a whole server": {nil, streamend.Stopped, true, 0, events(1, 6), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := c.respond
			if respond == nil {
				respond = func(w http.ResponseWriter, r *http.Request, body string) {
					if r.Header.Get("T-Copy") != "" {
						chunked(w, r, body)
						return
					}
					unframed(w, r, body)
				}
			}
			server := newTestServer(t, withEvents(respond))
			resumed := atomic.Bool{}
			locator := &endLocator{verdict: c.verdict, locatorFunc: func(s backend.Server, _ string) (string, string, error) {
				if !c.copied || resumed.Swap(true) {
					return "", "", errors.New("not found")
				}
				return s.Address, "copy", nil
			}}
			locator.failures.Store(c.failures)
			h := newHarness(t, locator, server)
			h.declareEngine()
			status, _, body, err := h.call("/stream/x")
			if status != http.StatusOK || (err == nil) != c.whole {
				t.Errorf("status %d, %v, want whole: %v", status, err, c.whole)
			}
			if c.whole && body != c.events || !strings.HasPrefix(c.events, body) {
				t.Errorf("body %q, want %q", body, c.events)
			}
			if asked := locator.asked.Load() > 0; asked != c.asked {
				t.Errorf("asked the agent: %v, want %v", asked, c.asked)
			}
			if end := locator.end.Load(); end != nil && (end.ID != "id-1" || end.Events == 0 || end.SentAgo <= 0) {
				t.Errorf("asked for %+v", end)
			}
		})
	}
}

// declareEngine declares the servers of the service as engines, beside which agents run.
func (h *harness) declareEngine() {
	h.fleet.set(func(f *testFleet) {
		state, view := *f.view.Table.State, *f.view
		state.Services = []desired.Service{{Name: "s", Engine: &desired.Engine{EventTokens: 4}}}
		view.Table = desired.NewTable(&state)
		f.view = &view
	})
}

// Guards against a stream without framing that looks complete to an HTTP/1.0 caller, for whom the close is the end.
func TestUnconfirmedEndResetsHTTP10Callers(t *testing.T) {
	for verdict, whole := range map[streamend.Verdict]bool{streamend.Ended: true, streamend.Stopped: false, streamend.Unknown: false} {
		t.Run(verdict.String(), func(t *testing.T) {
			server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { unframed(w, r, events(1, 3)) })
			h := newHarness(t, &endLocator{verdict: verdict, locatorFunc: func(backend.Server, string) (string, string, error) {
				return "", "", errors.New("not found")
			}}, server)
			h.declareEngine()
			conn, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /stream/x HTTP/1.0\r\nHost: h.example\r\nT-Id: a\r\nT-Key: key\r\nContent-Length: 0\r\n\r\n")
			if _, err := io.ReadAll(conn); (err == nil) != whole {
				t.Errorf("read %v, want whole: %v", err, whole)
			}
		})
	}
}

// slowLocator is a Locator whose agents need long to know nothing.
type slowLocator struct {
	locatorFunc
	delay time.Duration
}

func (l slowLocator) StreamEnd(context.Context, backend.Server, StreamEnd) (streamend.Verdict, string, error) {
	time.Sleep(l.delay)
	return streamend.Unknown, "test", nil
}

// Guards against a crash that is not reported because the server is back before the agent knows nothing of the
// end of the stream.
func TestCrashIsReportedBeforeTheEndIsJudged(t *testing.T) {
	var server *testServer
	server = newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		unframed(w, r, events(1, 3))
		_ = server.Close()
		time.AfterFunc(2*unconfirmedCrashDelay, func() {
			if l, err := net.Listen("tcp", server.address); err == nil {
				t.Cleanup(func() { _ = l.Close() })
			}
		})
	})
	h := newHarness(t, slowLocator{delay: 4 * unconfirmedCrashDelay, locatorFunc: func(backend.Server, string) (string, string, error) {
		return "", "", errors.New("not found")
	}}, server)
	reporter := &testReporter{}
	h.gateway.options.CrashReporter = reporter
	h.declareEngine()
	if _, _, _, err := h.call("/stream/x"); err == nil {
		t.Error("the stream looks complete")
	}
	if !reporter.await(func(r *fleet.CrashRequest) bool { return len(r.Crashes) == 1 && r.Crashes[0].Server == "i-0" }) {
		t.Error("the crash was not reported")
	}
}

// Guards against a stopped stream that looks complete because its service is removed, or no longer declares an
// engine, while the stream runs.
func TestAgentIsAskedAlthoughTheServiceChanged(t *testing.T) {
	for name, services := range map[string][]desired.Service{"removed": nil, "no engine": {{Name: "s"}}} {
		t.Run(name, func(t *testing.T) {
			started, changed := make(chan struct{}), make(chan struct{})
			server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nT-Seal: s\r\n\r\n"+events(1, 3))
				close(started)
				<-changed
			})
			locator := &endLocator{verdict: streamend.Stopped, locatorFunc: func(backend.Server, string) (string, string, error) {
				return "", "", errors.New("not found")
			}}
			h := newHarness(t, locator, server)
			h.declareEngine()
			go func() {
				defer close(changed)
				<-started
				time.Sleep(100 * time.Millisecond)
				h.fleet.set(func(f *testFleet) {
					state, view := *f.view.Table.State, *f.view
					state.Services = services
					view.Table = desired.NewTable(&state)
					f.view = &view
				})
			}()
			if status, _, body, err := h.call("/stream/x"); err == nil {
				t.Errorf("status %d and %d bytes count as complete, asked %d times", status, len(body), locator.asked.Load())
			}
		})
	}
}
