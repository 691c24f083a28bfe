package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/link"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
)

// run is one generation on a backend server: its tokens, its end and the links
// that read it.
type run struct {
	request message.StartRequest
	backend *backendServer

	mu          sync.Mutex
	window      link.Window
	generation  string
	ended       bool
	end         message.End
	subscribers map[*subscription]struct{}
	// readAt is the last time at which the run had a reader that went on.
	readAt time.Time
	// room wakes the engine reader after an acknowledgement.
	room chan struct{}
	// turn is the present or last turn in the engine; sent is set with the first.
	turn *turn
	sent bool
	// delivered is set when no caller can want the answer any more.
	delivered bool
	// canceled is the reason for an end before the engine's own, if any.
	canceled     verdict.Reason
	canceledText string
}

func newRun(request message.StartRequest, backend *backendServer) *run {
	return &run{
		request: request, backend: backend, generation: request.Continue.Generation, window: link.NewWindow(request.Continue.From),
		subscribers: map[*subscription]struct{}{}, readAt: time.Now(), room: make(chan struct{}, 1),
	}
}

func (r *run) id() message.ExecutionID { return r.request.Execution }

// append records one token and wakes the links that read the run.
func (r *run) append(token message.Token) {
	r.mu.Lock()
	r.window.Append(token)
	subscribers := r.wakeList()
	r.mu.Unlock()
	wake(subscribers)
}

func (r *run) wakeList() []*subscription {
	list := make([]*subscription, 0, len(r.subscribers))
	for s := range r.subscribers {
		list = append(list, s)
	}
	return list
}

func wake(list []*subscription) {
	for _, s := range list {
		s.wake()
	}
}

// finish records the end once and wakes the links. It reports whether this
// call was the first.
func (r *run) finish(end message.End) bool {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return false
	}
	r.ended = true
	end.Execution = r.id()
	end.Count = r.window.Next()
	r.end = end
	subscribers := r.wakeList()
	r.mu.Unlock()
	wake(subscribers)
	return true
}

// waitForRoom blocks while too many tokens are unacknowledged. It reports
// false when ctx ended first.
func (r *run) waitForRoom(ctx context.Context, watch *silenceWatch) bool {
	for {
		r.mu.Lock()
		full := r.window.Full()
		r.mu.Unlock()
		if !full {
			return ctx.Err() == nil
		}
		watch.pause()
		select {
		case <-r.room:
			watch.reset()
		case <-ctx.Done():
			return false
		}
	}
}

func (r *run) ack(next uint64) {
	r.mu.Lock()
	r.window.Ack(next)
	r.readAt = time.Now()
	r.mu.Unlock()
	select {
	case r.room <- struct{}{}:
	default:
	}
}

// read returns the tokens after an index, and the end once all were returned.
// Kept is false when the tokens are no longer in the replay buffer.
func (r *run) read(from uint64, limit int) (tokens []message.Token, end *message.End, kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.window.CanResumeFrom(from) {
		return nil, nil, false
	}
	tokens = r.window.TokensFrom(from, limit)
	if r.ended && from+uint64(len(tokens)) == r.window.Next() {
		copied := r.end
		end = &copied
	}
	return tokens, end, true
}

func (r *run) subscribe(s *subscription) {
	r.mu.Lock()
	r.subscribers[s] = struct{}{}
	r.readAt = time.Now()
	r.mu.Unlock()
	s.wake()
}

func (r *run) unsubscribe(s *subscription) {
	r.mu.Lock()
	if _, reading := r.subscribers[s]; reading {
		delete(r.subscribers, s)
		r.readAt = time.Now()
	}
	r.mu.Unlock()
}

func (r *run) setRead() {
	r.mu.Lock()
	r.delivered = true
	r.mu.Unlock()
}

// wasRead tells whether nobody will read the answer, or go on reading it.
func (r *run) wasRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered && len(r.subscribers) == 0
}

// unread tells why a run must be canceled that had no reader, or one that does
// not go on, for the grace.
func (r *run) unread(now time.Time, grace time.Duration) (verdict.Reason, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.window.Full() && len(r.subscribers) > 0 {
		r.readAt = now
	}
	if r.ended || now.Sub(r.readAt) < grace {
		return "", ""
	}
	if len(r.subscribers) > 0 {
		return verdict.ReasonSlowReader, "the reader has acknowledged nothing for " + grace.String()
	}
	return verdict.ReasonCanceled, "nobody has read the answer for " + grace.String()
}

// engineRequest returns the request that starts the run, or continues it after
// a pause.
func (r *run) engineRequest() engine.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request
	out := engine.Request{
		ID: r.engineID(), Model: q.Model, Adapter: q.Adapter,
		Version: q.Version, Priority: q.Priority, MaxTokens: q.MaxTokens, Body: q.Body,
		Generation: r.generation, ResumeFrom: r.window.Next(),
	}
	out.ResumeText = r.text()
	return out
}

// text returns all text so far; the caller holds r.mu. It is empty when the
// replay buffer no longer holds the first token of this execution.
func (r *run) text() string {
	first := r.request.Continue.From
	if !r.window.CanResumeFrom(first) {
		return ""
	}
	var text strings.Builder
	text.WriteString(r.request.Continue.Text)
	for _, t := range r.window.TokensFrom(first, int(r.window.Next()-first)) {
		text.WriteString(t.Text)
	}
	return text.String()
}

// continuation returns what another engine needs to go on, if all text is kept.
func (r *run) continuation() *message.Continuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generation == "" || r.canceled != "" || !r.window.CanResumeFrom(r.request.Continue.From) {
		return nil
	}
	return &message.Continuation{Generation: r.generation, From: r.window.Next(), Text: r.text()}
}

// engineID names the execution at the engine.
func (r *run) engineID() string {
	return string(r.request.Execution.Request) + "-" + attemptText(r.request.Execution.Attempt)
}

func (r *run) position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Next()
}

// resumable tells whether the generation can go on after an error of its
// stream: the fault is one of the connection, and the engine named the
// generation and all its text is still kept. A silent stream without any event
// starts anew. One that broke does not: its request may have crashed an engine
// that restarted unnoticed, and would do so again.
func (r *run) resumable(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault := errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, errSilent) || errors.Is(err, errPosition)
	if errors.Is(err, errSilent) && r.generation == "" {
		return r.canceled == ""
	}
	return fault && r.generation != "" && r.canceled == "" && r.window.CanResumeFrom(r.request.Continue.From)
}

// endFor turns the error of an engine stream into the end of the run.
func (r *run) endFor(err error) message.End {
	r.mu.Lock()
	started := r.generation != ""
	canceled, text := r.canceled, r.canceledText
	r.mu.Unlock()
	end := message.End{Started: true, Verdict: verdict.MayHaveRun}
	if started {
		end.Verdict = verdict.Ran
	}
	switch {
	case canceled != "":
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: canceled, Message: text}
	case !started && notRun(err):
		end.Started, end.Verdict = false, verdict.NotRun
		end.Refusal = message.NewRefusal(verdict.ReasonBackendError, err.Error(), 0)
	case errors.Is(err, errCrashed):
		end.Continue = r.continuation()
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: verdict.ReasonBackendCrashed, Message: err.Error()}
	default:
		if notRun(err) {
			end.Continue = r.continuation()
		}
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: verdict.ReasonBackendError, Message: err.Error()}
	}
	return end
}
