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

// run is one execution of a generation on a backend server, with its tokens, its
// end and its subscribers.
type run struct {
	request message.StartRequest
	backend *backendServer

	mu          sync.Mutex
	window      link.Window
	generation  string
	ended       bool
	end         message.End
	subscribers map[*subscription]struct{}
	// lastReadAt is when the run last had a reader that made progress.
	lastReadAt time.Time
	// ackReceived wakes the engine reader after an acknowledgement.
	ackReceived chan struct{}
	// segment is the current or last segment in the engine. dispatched is set when the
	// first one starts.
	segment    *segment
	dispatched bool
	// mayHaveRun is set after an attempt that the engine may have run.
	mayHaveRun bool
	// delivered is set when no caller needs the answer any more.
	delivered bool
	// cancelReason is why the run was canceled, or empty.
	cancelReason  verdict.Reason
	cancelMessage string
}

func newRun(request message.StartRequest, backend *backendServer) *run {
	return &run{
		request: request, backend: backend,
		generation: request.Continue.Generation, window: link.NewWindow(request.Continue.From),
		subscribers: map[*subscription]struct{}{}, lastReadAt: time.Now(), ackReceived: make(chan struct{}, 1),
	}
}

func (r *run) id() message.ExecutionID { return r.request.Execution }

// append records one token and queues it for the subscribers.
func (r *run) append(token message.Token) {
	r.mu.Lock()
	r.window.Append(token)
	subscribers := r.subscriberList()
	r.mu.Unlock()
	enqueueAll(subscribers)
}

// subscriberList returns the subscribers. The caller holds r.mu.
func (r *run) subscriberList() []*subscription {
	list := make([]*subscription, 0, len(r.subscribers))
	for s := range r.subscribers {
		list = append(list, s)
	}
	return list
}

func enqueueAll(list []*subscription) {
	for _, s := range list {
		s.enqueue()
	}
}

// finish records the end of the run and queues it for the subscribers. It returns
// false if the run has already ended.
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
	subscribers := r.subscriberList()
	r.mu.Unlock()
	enqueueAll(subscribers)
	return true
}

// waitForWindow blocks while the window is full of unacknowledged tokens. It
// returns false if ctx ends first.
func (r *run) waitForWindow(ctx context.Context, timer *idleTimer) bool {
	for {
		r.mu.Lock()
		full := r.window.Full()
		r.mu.Unlock()
		if !full {
			return ctx.Err() == nil
		}
		timer.pause()
		select {
		case <-r.ackReceived:
			timer.reset()
		case <-ctx.Done():
			return false
		}
	}
}

// ack processes an acknowledgement of a subscriber.
func (r *run) ack(next uint64) {
	r.mu.Lock()
	r.window.Ack(next)
	r.lastReadAt = time.Now()
	r.mu.Unlock()
	select {
	case r.ackReceived <- struct{}{}:
	default:
	}
}

// read returns at most limit tokens from an index on, and the end if no further token
// follows. available is false if the tokens are no longer in the replay buffer.
func (r *run) read(from uint64, limit int) (tokens []message.Token, end *message.End, available bool) {
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
	r.lastReadAt = time.Now()
	r.mu.Unlock()
	s.enqueue()
}

func (r *run) unsubscribe(s *subscription) {
	r.mu.Lock()
	if _, reading := r.subscribers[s]; reading {
		delete(r.subscribers, s)
		r.lastReadAt = time.Now()
	}
	r.mu.Unlock()
}

func (r *run) setDelivered() {
	r.mu.Lock()
	r.delivered = true
	r.mu.Unlock()
}

// isDelivered reports whether no caller needs the answer any more and no subscriber
// reads it.
func (r *run) isDelivered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered && len(r.subscribers) == 0
}

// readerTimeout returns why the run must be canceled, if it has had no reader, or
// only readers without progress, for the grace period. Otherwise the reason is
// empty.
func (r *run) readerTimeout(now time.Time, grace time.Duration) (verdict.Reason, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.window.Full() && len(r.subscribers) > 0 {
		r.lastReadAt = now
	}
	if r.ended || now.Sub(r.lastReadAt) < grace {
		return "", ""
	}
	if len(r.subscribers) > 0 {
		return verdict.ReasonSlowReader, "the reader has acknowledged nothing for " + grace.String()
	}
	return verdict.ReasonCanceled, "nobody has read the answer for " + grace.String()
}

// engineRequest returns the request that starts the run in the engine, or resumes it
// at the next token.
func (r *run) engineRequest() engine.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.request
	result := engine.Request{
		ID: r.engineRequestID(), Model: request.Model, Adapter: request.Adapter,
		Version: request.Version, Priority: request.Priority, MaxTokens: request.MaxTokens, Body: request.Body,
		Generation: r.generation, ResumeFrom: r.window.Next(),
	}
	result.ResumeText = r.generatedText()
	return result
}

// generatedText returns all text generated so far, or an empty string if the replay
// buffer no longer holds the first token of this execution. The caller holds r.mu.
func (r *run) generatedText() string {
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

// continuation returns what another engine needs to continue the generation, or nil
// if the replay buffer no longer holds all its text.
func (r *run) continuation() *message.Continuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generation == "" || r.cancelReason != "" || !r.window.CanResumeFrom(r.request.Continue.From) {
		return nil
	}
	return &message.Continuation{Generation: r.generation, From: r.window.Next(), Text: r.generatedText()}
}

// engineRequestID returns the request ID of the execution in the engine.
func (r *run) engineRequestID() string {
	return string(r.request.Execution.Request) + "-" + formatAttempt(r.request.Execution.Attempt)
}

// nextIndex returns the index of the next token.
func (r *run) nextIndex() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Next()
}

// canResume reports whether the generation can be resumed after an error of its
// stream. The connection must have failed, the engine must have sent the generation
// ID, and the replay buffer must hold all text. A stream that timed out before its
// first event is started again. A stream that broke before it is not, because the
// request may have crashed the engine, which restarted undetected, and would crash
// it again.
func (r *run) canResume(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault := errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, errStreamIdle) || errors.Is(err, errTokenGap)
	if errors.Is(err, errStreamIdle) && r.generation == "" {
		return r.cancelReason == ""
	}
	return fault && r.generation != "" && r.cancelReason == "" && r.window.CanResumeFrom(r.request.Continue.From)
}

func (r *run) setMayHaveRun() {
	r.mu.Lock()
	r.mayHaveRun = true
	r.mu.Unlock()
}

// provenVerdict returns whether the generation ran, as far as its attempts prove it.
func (r *run) provenVerdict() verdict.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.generation != "" || r.window.Next() > 0:
		return verdict.Ran
	case r.mayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// endForError returns the end of a run whose engine stream failed with an error.
func (r *run) endForError(err error) message.End {
	proven := r.provenVerdict()
	r.mu.Lock()
	cancelReason, cancelMessage := r.cancelReason, r.cancelMessage
	r.mu.Unlock()
	end := message.End{Started: true, Verdict: verdict.MayHaveRun}
	if proven == verdict.Ran {
		end.Verdict = verdict.Ran
	}
	switch {
	case cancelReason != "":
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: cancelReason, Message: cancelMessage}
	case proven == verdict.NotRun && provesNotRun(err):
		end.Started, end.Verdict = false, verdict.NotRun
		end.Refusal = message.NewRefusal(verdict.ReasonBackendError, err.Error(), 0)
	case errors.Is(err, errBackendCrashed):
		end.Continue = r.continuation()
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: verdict.ReasonBackendCrashed, Message: err.Error()}
	default:
		if provesNotRun(err) {
			end.Continue = r.continuation()
		}
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: verdict.ReasonBackendError, Message: err.Error()}
	}
	return end
}
