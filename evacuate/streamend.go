package evacuate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/gateway"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// endTimeout bounds how long a question for the end of a stream waits for the status that decides it, and
	// restTimeout how long while the server rests, when it gives none. All events have reached the caller.
	endTimeout  = time.Second
	restTimeout = 4 * time.Second
)

const (
	// minSentSlack is how long a question for the end of a stream is expected to be under way, and maxSentSlack
	// the longest time that is tried. The longer, the less is known of generations that began lately.
	minSentSlack = 250 * time.Millisecond
	maxSentSlack = 2 * time.Second
)

// endWatch is what the agent saw of how generations end.
type endWatch struct {
	mu    sync.Mutex
	watch *streamend.Watch
	// changed is closed at each change of watch.
	changed chan struct{}
	// resting is set while the server wants no calls.
	resting atomic.Bool
}

func newEndWatch() *endWatch {
	return &endWatch{watch: streamend.New(fleet.SinceBoot()), changed: make(chan struct{})}
}

// update changes the watch and wakes the questions.
func (e *endWatch) update(change func(*streamend.Watch)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.watch)
	close(e.changed)
	e.changed = make(chan struct{})
}

// judge returns the present judgment and a channel that is closed at the next change.
func (e *endWatch) judge(q streamend.Question) (streamend.Judgment, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watch.Judge(q), e.changed
}

// watchEnds takes in a status that was requested at a time. One that does not list all generations is no
// evidence.
func (a *Agent) watchEnds(requestedAt time.Duration, s Status) {
	if !s.ListsRuns {
		return
	}
	o := streamend.Observation{RequestedAt: requestedAt, ReceivedAt: fleet.SinceBoot(), Process: s.Process, Leaving: s.Leaving}
	for _, generation := range s.Generations {
		o.Runs = append(o.Runs, streamend.Run{ID: generation.ID, Events: generation.Events})
	}
	same := false
	a.ends.update(func(w *streamend.Watch) { same = w.Observe(o) })
	if !same {
		a.metrics.processChanges.Add(1)
		a.options.Logger.Info("backend server may have started again", zap.Int("runs", len(o.Runs)))
	}
}

// stop orders the last move of a generation, which stops it.
func (a *Agent) stop(ctx context.Context, generationID, destination string) (Copy, error) {
	a.metrics.lastMoves.Add(1)
	a.options.Logger.Info("last move ordered", zap.String("request_id", generationID), zap.String("destination", destination))
	a.ends.update(func(w *streamend.Watch) { w.StopOrdered(fleet.SinceBoot(), generationID) })
	c, err := a.options.Engine.Move(ctx, generationID, destination, true)
	result := streamend.StopUnanswered
	switch {
	case errors.Is(err, ErrNotRunning):
		result = streamend.StopNotRunning
	case err == nil || errors.Is(err, ErrRefused):
		result = streamend.StopAnswered
	}
	a.ends.update(func(w *streamend.Watch) { w.StopEnded(fleet.SinceBoot(), generationID, result) })
	return c, err
}

// StreamEndRequest asks how a generation ended whose answer ended with its connection.
type StreamEndRequest struct {
	Run string
	// SentAgo is how long ago the request was sent to the server. The numbers of events are those of
	// streamend.Question.
	SentAgo                            time.Duration
	Events, EventsBefore, CallerEvents int
	// SentSlack is how long the question may be under way.
	SentSlack time.Duration
}

// StreamEndReply holds the verdict, its reason, and how long the agent waited for it.
type StreamEndReply struct {
	Verdict streamend.Verdict
	Reason  string
	Waited  time.Duration
}

// StreamEnd judges how a generation ended. It waits for a last move in progress up to locateTimeout, and up
// to endTimeout, or restTimeout, for the status that decides.
func (s *service) StreamEnd(request *StreamEndRequest, reply *StreamEndReply) error {
	a, askedAt := s.agent, fleet.SinceBoot()
	q := streamend.Question{Run: request.Run, AskedAt: askedAt, SentAt: askedAt - request.SentAgo,
		SentSlack: max(minSentSlack, request.SentSlack), Events: request.Events, EventsBefore: request.EventsBefore,
		CallerEvents: request.CallerEvents}
	started, rested := time.Now(), false
	for {
		judgment, changed := a.ends.judge(q)
		limit := endTimeout
		rested = rested || a.ends.resting.Load()
		switch {
		case judgment.Verdict == streamend.Stopped:
			limit = locateTimeout
		case rested:
			limit = restTimeout
		}
		reply.Verdict, reply.Reason, reply.Waited = judgment.Verdict, judgment.Reason, time.Since(started)
		if !judgment.Open || reply.Waited >= limit {
			break
		}
		select {
		case <-changed:
		case <-time.After(min(limit-reply.Waited, endTimeout/2)):
			// The server may rest by now.
		}
	}
	a.metrics.streamEnds.Add(reply.Verdict.String(), 1)
	a.options.Logger.Info("end of a stream judged", zap.String("request_id", request.Run), zap.Int("events", request.Events),
		zap.Int("events_before", request.EventsBefore), zap.Int("caller_events", request.CallerEvents),
		zap.Stringer("verdict", reply.Verdict), zap.String("reason", reply.Reason),
		zap.Duration("sent_ago_seconds", request.SentAgo), zap.Duration("waited_seconds", reply.Waited))
	return nil
}

// StreamEnd implements gateway.Locator.
func (l *Locator) StreamEnd(ctx context.Context, server backend.Server, end gateway.StreamEnd) (streamend.Verdict, string, error) {
	ctx, cancel := context.WithTimeout(ctx, restTimeout+reportTimeout)
	defer cancel()
	asked := time.Now()
	for slack := minSentSlack; ; {
		var reply StreamEndReply
		started := time.Now()
		request := StreamEndRequest{Run: end.ID, SentAgo: end.SentAgo + started.Sub(asked), SentSlack: slack,
			Events: end.Events, EventsBefore: end.EventsBefore, CallerEvents: end.CallerEvents}
		if err := l.Pool.Call(ctx, l.AgentAddress(server.Address), ServiceName+".StreamEnd", &request, &reply); err != nil {
			return streamend.Unknown, "", err
		}
		took := time.Since(started) - reply.Waited
		if took <= slack {
			return reply.Verdict, reply.Reason, nil
		}
		// The question may have been under way for longer than the agent assumed.
		if slack = 2 * took; slack > maxSentSlack {
			return streamend.Unknown, "the question took too long", nil
		}
	}
}
