package evacuate

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/gateway"
	"github.com/pkg/errors"
)

// setStatus replaces the status of the engine.
func (e *testEngine) setStatus(s Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = s
}

// Guards against an agent that confirms the end of a generation after it ordered a last move, whatever became
// of the order, and against one that does not confirm the end of a generation that ended by itself.
func TestStreamEndAfterLastMove(t *testing.T) {
	for name, c := range map[string]struct {
		moved, ended bool
		err          error
		want         streamend.Verdict
	}{
		"not moved":                         {false, true, nil, streamend.Ended},
		"moved":                             {true, true, nil, streamend.Stopped},
		"refused without a copy":            {true, true, ErrRefused, streamend.Stopped},
		"not answered":                      {true, true, errors.New("connection closed"), streamend.Stopped},
		"had ended":                         {true, true, ErrNotRunning, streamend.Ended},
		"not moved, and the run is present": {false, false, nil, streamend.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running := Status{Generations: []evacuation.Generation{{ID: "r1", Tokens: 3000, Events: 3}}}
			engine := &testEngine{status: running, copied: map[string]int{}, stopErr: c.err}
			agent, locator := newAgent(t, engine)
			awaitRun(t, agent, "r1")
			time.Sleep(2 * maxSentSlack)
			sent := time.Now()
			if c.moved {
				leaving := running
				leaving.Leaving, leaving.LeavesIn, leaving.LeavesKnown = true, 10*time.Second, true
				engine.setStatus(leaving)
				for end := time.Now().Add(10 * time.Second); agent.metrics.moved.Value()+agent.metrics.movesFailed.Value() == 0 && time.Now().Before(end); {
					time.Sleep(10 * time.Millisecond)
				}
			}
			if c.ended {
				engine.setStatus(Status{Leaving: c.moved})
			}
			verdict, reason, err := locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
				gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 3})
			if err != nil || verdict != c.want {
				t.Errorf("%v, %q, %v, want %v", verdict, reason, err, c.want)
			}
		})
	}
}

// awaitRun waits until the agent has seen a generation. The time limit only ends a test that hangs.
func awaitRun(t *testing.T, a *Agent, id string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		a.mu.Lock()
		seen := a.lastSeen[id]
		a.mu.Unlock()
		if seen {
			return
		}
	}
	t.Fatalf("the agent never saw %s", id)
}

// Guards against a generation that is moved once only: after a last move that failed, it resumes at the server
// that is leaving, and has to move again before that ends.
func TestGenerationThatResumesHereIsMovedAgain(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}, stopErr: ErrRefused, keepCopy: true}
	_, locator := newAgent(t, engine)
	if got := waitForMove(t, locator, "r1"); got != "self here/r1" {
		t.Fatalf("moved to %q", got)
	}
	engine.mu.Lock()
	engine.stopErr = nil
	engine.status.Generations = []evacuation.Generation{{ID: "r1", Tokens: 3000, Events: 10}}
	engine.mu.Unlock()
	got := ""
	for end := time.Now().Add(5 * time.Second); got != "near here/r1" && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		got = waitForMove(t, locator, "r1")
	}
	if got != "near here/r1" {
		t.Errorf("the generation that resumed is at %q", got)
	}
}

// Guards against a copy that is lost because the answer to the last move arrives after the announced end of the
// server, which often exits later.
func TestLateAnswerToLastMoveIsTaken(t *testing.T) {
	const notice = 500 * time.Millisecond
	status := leavingStatus()
	status.LeavesIn = notice
	engine := &testEngine{status: status, copied: map[string]int{}}
	engine.onMove = func(_ string, stop bool) {
		if stop {
			time.Sleep(2 * notice)
		}
	}
	_, locator := newAgent(t, engine)
	if got := waitForMove(t, locator, "r1"); got != "near here/r1" {
		t.Errorf("moved to %q", got)
	}
}

// Guards against a resumed stream that is cut although it is whole, because the agent does not learn of the events that its
// caller had before.
func TestStreamEndOfResumedGeneration(t *testing.T) {
	t.Parallel()
	engine := &testEngine{copied: map[string]int{}}
	_, locator := newAgent(t, engine)
	time.Sleep(2 * maxSentSlack)
	sent := time.Now()
	for _, events := range []int{0, 23, 24, 25} {
		engine.setStatus(Status{Generations: []evacuation.Generation{{ID: "r1", Tokens: 3000, Events: events}}})
		time.Sleep(3 * statusInterval / 2)
	}
	engine.setStatus(Status{})
	for callerEvents, want := range map[int]streamend.Verdict{22: streamend.Ended, 21: streamend.Unknown, 0: streamend.Unknown} {
		verdict, reason, err := locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
			gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 3, CallerEvents: callerEvents})
		if err != nil || verdict != want {
			t.Errorf("%d events before: %v, %q, %v, want %v", callerEvents, verdict, reason, err, want)
		}
	}
}

// Guards against complete streams that are cut while their server wants no calls, not even of its agent.
func TestStreamEndWaitsForTheEndOfARest(t *testing.T) {
	running := Status{Generations: []evacuation.Generation{{ID: "r1", Tokens: 3000, Events: 3}}}
	engine := &testEngine{status: running, copied: map[string]int{}}
	agent, locator := newAgent(t, engine)
	awaitRun(t, agent, "r1")
	time.Sleep(2 * maxSentSlack)
	sent := time.Now()
	setError := func(err error) {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		engine.status, engine.statusErr = Status{}, err
	}
	setError(errors.Wrap(ErrResting, "test"))
	time.Sleep(2 * statusInterval)
	time.AfterFunc(3*endTimeout/2, func() { setError(nil) })
	verdict, reason, err := locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
		gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 3})
	if err != nil || verdict != streamend.Ended {
		t.Errorf("%v, %q, %v", verdict, reason, err)
	}
	setError(errors.New("connection refused"))
	time.Sleep(2 * statusInterval)
	asked := time.Now()
	verdict, _, err = locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
		gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 3})
	if took := time.Since(asked); err != nil || verdict != streamend.Unknown || took > restTimeout/2 {
		t.Errorf("a server that can not be reached: %v, %v, after %v", verdict, err, took)
	}
}

// Guards against complete streams that are cut because calls to the agent are slow, and against a slow question
// whose age the agent does not know.
func TestSlowQuestionsForTheEndOfAStream(t *testing.T) {
	for delay, want := range map[time.Duration]streamend.Verdict{
		minSentSlack: streamend.Ended, maxSentSlack: streamend.Unknown,
	} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			agent, locator := newAgent(t, &testEngine{copied: map[string]int{}})
			// Far longer than any slack, as agents mostly run.
			time.Sleep(2 * maxSentSlack)
			target := locator.AgentAddress("")
			slow := slowLink(t, target, delay)
			locator.AgentAddress = func(string) string { return slow }
			sent := time.Now()
			time.Sleep(4 * minSentSlack)
			verdict, reason, err := locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
				gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 3})
			if err == nil && verdict != want || err != nil && want == streamend.Ended {
				t.Errorf("%v, %q, %v, want %v; asked %s", verdict, reason, err, want, agent.metrics.streamEnds)
			}
		})
	}
}

// slowLink returns the address of a proxy to target that delays what goes to it.
func slowLink(t *testing.T, target string, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			t.Cleanup(func() { _, _ = client.Close(), server.Close() })
			go func() { _, _ = io.Copy(client, server) }()
			go func() {
				buffer := make([]byte, 4096)
				for {
					n, err := client.Read(buffer)
					if err != nil {
						return
					}
					time.Sleep(delay)
					if _, err := server.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a confirmed end of a generation that resumed at its leaving server after a slow last move, and that
// a second last move stopped.
func TestStreamEndAfterSecondLastMove(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}, stopErr: ErrRefused, keepCopy: true}
	stops := make(chan struct{}, 8)
	engine.onMove = func(_ string, stop bool) {
		if stop {
			if len(stops) == 0 {
				time.Sleep(3 * minSentSlack)
			}
			stops <- struct{}{}
		}
	}
	agent, locator := newAgent(t, engine)
	if got := waitForMove(t, locator, "r1"); got != "self here/r1" {
		t.Fatalf("moved to %q", got)
	}
	sent := time.Now()
	engine.mu.Lock()
	engine.stopErr, engine.made = nil, 10
	engine.status.Generations = []evacuation.Generation{{ID: "r1", Tokens: 3000, Events: 10}}
	engine.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); agent.metrics.moved.Value() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	engine.mu.Lock()
	engine.status.Generations = nil
	engine.mu.Unlock()
	verdict, reason, err := locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
		gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 10})
	if err != nil || verdict != streamend.Stopped {
		t.Errorf("%v, %q, %v, %d last moves", verdict, reason, err, len(stops))
	}
}

// Guards against a stop that is forgotten with the state of its move, before a caller that reads slowly lets the entry
// see the end of the stream.
func TestStopOutlivesTheStateOfItsMove(t *testing.T) {
	engine := &testEngine{status: leavingStatus(), copied: map[string]int{}}
	agent, locator := newAgent(t, engine)
	sent := time.Now()
	waitForMove(t, locator, "r1")
	agent.mu.Lock()
	agent.moves["r1"].started = time.Now().Add(-2 * moveRetention)
	agent.mu.Unlock()
	engine.setStatus(Status{})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		agent.mu.Lock()
		forgotten := agent.moves["r1"] == nil
		agent.mu.Unlock()
		if forgotten {
			break
		}
	}
	if _, _, err := locator.Locate(context.Background(), backend.Server{Address: "self"}, "r1"); !errors.Is(err, ErrNotRunning) {
		t.Fatalf("the state of the move is kept: %v", err)
	}
	verdict, reason, err := locator.StreamEnd(context.Background(), backend.Server{Address: "self"},
		gateway.StreamEnd{ID: "r1", SentAgo: time.Since(sent), Events: 3})
	if err != nil || verdict != streamend.Stopped {
		t.Errorf("%v, %q, %v", verdict, reason, err)
	}
}
