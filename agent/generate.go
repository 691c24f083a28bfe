package agent

import (
	"context"
	"io"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
)

const (
	// maxStreamFailures limits the consecutive stream failures of one generation that
	// delivers no new token between them.
	maxStreamFailures = 3
	// maxIdleDoublings limits how often the idle timeout doubles. It doubles after
	// each idle timeout, because the engine may have preempted the generation.
	maxIdleDoublings = 4
	inUseRetryDelay  = 50 * time.Millisecond
	probeTimeout     = 2 * time.Second
	// maxInUseRetries limits the retries while the engine has not yet dropped the
	// previous stream of a generation.
	maxInUseRetries = 20
	// suspectRetryAfter is the retry delay for a suspect that is refused because
	// another one runs.
	suspectRetryAfter = time.Second
)

// errTokenGap means that the engine skipped a token.
var errTokenGap = errors.New("the engine sent a token of a later position")

// errBackendCrashed means that the backend server crashed.
var errBackendCrashed = errors.New("the backend server crashed")

// errStreamIdle means that the engine stream delivered no event within the idle
// timeout.
var errStreamIdle = errors.New("the engine stream is silent")

// runTracked runs a generation and registers it with the crash detector meanwhile.
func (b *backendServer) runTracked(ctx context.Context, r *run) message.End {
	request := &r.request
	f := &inFlightRequest{digest: request.Digest, suspect: request.Suspect || b.agent.isSuspect(request.Digest)}
	if !b.detector.add(f) {
		return r.suspectEnd()
	}
	defer b.detector.remove(f)
	end := b.generate(ctx, r)
	if f.suspect && end.FinishReason != "" {
		b.agent.clearSuspect(b.name, f.digest)
	}
	return end
}

// suspectEnd returns the end of a suspect that may not run now. It may have run
// before, for example if it was preempted.
func (r *run) suspectEnd() message.End {
	refusal := suspectRefusal()
	refusal.Verdict = r.provenVerdict()
	return message.End{Verdict: refusal.Verdict, Started: refusal.Verdict != verdict.NotRun, Refusal: refusal}
}

func suspectRefusal() message.Refusal {
	return message.NewRefusal(verdict.ReasonSuspectWaits,
		"another request that may crash the backend server runs there", suspectRetryAfter)
}

// generate reads the generation of a run until it ends. If a stream breaks or is
// idle while the engine is alive, only the connection has failed, and the
// generation is resumed at the next token.
func (b *backendServer) generate(ctx context.Context, r *run) message.End {
	failures, idleTimeouts := 0, 0
	for {
		before := r.nextIndex()
		end, err := b.readStream(ctx, r, b.agent.options.EngineIdleTimeout<<min(idleTimeouts, maxIdleDoublings))
		if end != nil {
			return *end
		}
		if r.nextIndex() > before {
			failures, idleTimeouts = 0, 0
		}
		if errors.Is(err, errStreamIdle) {
			idleTimeouts++
		} else {
			failures++
		}
		if errors.Is(err, engine.ErrConnectionLost) && b.detector.confirmCrash(ctx) {
			return r.endForError(errBackendCrashed)
		}
		if ctx.Err() != nil || failures > maxStreamFailures || !r.canResume(err) || !b.engineAlive(ctx) {
			return r.endForError(err)
		}
		// The engine may not have noticed that the stream broke.
		b.cancelInEngine(r)
	}
}

// readStream reads one engine stream into the run until it ends or fails.
func (b *backendServer) readStream(ctx context.Context, r *run, idleTimeout time.Duration) (*message.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := newIdleTimer(idleTimeout, cancel)
	defer timer.stop()
	stream, err := b.openStream(ctx, r)
	if err == nil {
		defer stream.Close()
	}
	if timer.fired() {
		err = errStreamIdle
	}
	if err != nil {
		return nil, err
	}
	for r.waitForWindow(ctx, timer) {
		event, err := stream.Next()
		if timer.fired() {
			return nil, errStreamIdle
		}
		if err == io.EOF {
			err = engine.ErrConnectionLost
		}
		if err != nil {
			return nil, err
		}
		timer.reset()
		if end, err := b.acceptEvent(r, event); end != nil || err != nil {
			return end, err
		}
	}
	return nil, ctx.Err()
}

// openStream starts or resumes the engine stream. It retries while the engine
// still runs the request, because the engine drops the previous stream shortly
// after its cancellation.
func (b *backendServer) openStream(ctx context.Context, r *run) (engine.Stream, error) {
	for try := 0; ; try++ {
		stream, err := b.engine.Generate(ctx, r.engineRequest())
		if !provesNotRun(err) {
			r.setMayHaveRun()
		}
		if !errors.Is(err, engine.ErrInUse) || try >= maxInUseRetries || !r.canResume(engine.ErrConnectionLost) {
			return stream, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(inUseRetryDelay):
		}
	}
}

// engineAlive reports whether the engine answers a probe.
func (b *backendServer) engineAlive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := b.engine.Load(ctx)
	return err == nil
}

// cancelInEngine asks the engine to stop the run's request.
func (b *backendServer) cancelInEngine(r *run) {
	ctx, cancel := context.WithTimeout(b.agent.ctx, probeTimeout)
	defer cancel()
	_ = b.engine.Cancel(ctx, r.engineRequestID())
}

// acceptEvent processes one event of the engine. It drops duplicate tokens and ends
// the run if the event belongs to another generation, whose tokens must not reach
// the caller.
func (b *backendServer) acceptEvent(r *run, event engine.Event) (*message.End, error) {
	r.mu.Lock()
	if r.generation == "" {
		r.generation = event.Generation
	}
	next := r.window.Next()
	otherGeneration := event.Generation != r.generation
	r.mu.Unlock()
	switch {
	case otherGeneration:
		return &message.End{Started: true, Verdict: verdict.Ran, Refusal: message.Refusal{
			Verdict: verdict.Ran, Reason: verdict.ReasonBackendError,
			Message: "the engine went on with another generation"}}, nil
	case (event.HasToken || event.FinishReason != "") && event.Index > next:
		return nil, errTokenGap
	case event.HasToken && event.Index == next:
		r.append(event.Token)
		b.recordTokens(r, next+1)
	}
	if event.FinishReason != "" {
		return &message.End{Started: true, Verdict: verdict.Ran, FinishReason: event.FinishReason}, nil
	}
	return nil, nil
}
