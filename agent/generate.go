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
	// maxBrokenStreams bounds the broken streams of one generation without a new
	// token between them.
	maxBrokenStreams = 3
	// A live engine may have set a generation aside, so each silent stream waits
	// twice as long as the one before.
	maxSilenceDoublings = 4
	resumePause         = 50 * time.Millisecond
	probeTimeout        = 2 * time.Second
	// maxInUseTries bounds the wait for the engine to drop the earlier stream of
	// a generation.
	maxInUseTries = 20
	// suspectRetry is the time after which a suspect may find its server free.
	suspectRetry = time.Second
)

// errPosition means that the engine left out a token.
var errPosition = errors.New("the engine sent a token of a later position")

// errCrashed means that the backend server crashed.
var errCrashed = errors.New("the backend server crashed")

// errSilent means that the engine stream was silent for too long.
var errSilent = errors.New("the engine stream is silent")

// runWatched runs a generation as one request of the crash watch.
func (b *backendServer) runWatched(ctx context.Context, r *run) message.End {
	q := &r.request
	f := &inFlight{digest: q.Digest, suspect: q.Suspect || b.agent.suspected(q.Digest)}
	if !b.crash.enter(f) {
		return r.refusedBySuspect()
	}
	defer b.crash.leave(f)
	end := b.generate(ctx, r)
	if f.suspect && end.FinishReason != "" {
		b.agent.clear(b.name, f.digest)
	}
	return end
}

// refusedBySuspect ends a suspect that may not run now. After a preemption it
// has run in part.
func (r *run) refusedBySuspect() message.End {
	refusal := suspectRefusal()
	if r.position() > 0 {
		refusal.Verdict = verdict.Ran
	}
	return message.End{Verdict: refusal.Verdict, Started: r.position() > 0, Refusal: refusal}
}

func suspectRefusal() message.Refusal {
	return message.NewRefusal(verdict.ReasonSuspectWaits, "another request that may crash the backend server runs there", suspectRetry)
}

// generate reads the generation of a run. A stream that breaks or goes silent
// is resumed at the next token while the engine is alive, because only the
// connection is at fault then.
func (b *backendServer) generate(ctx context.Context, r *run) message.End {
	broken, silent := 0, 0
	for {
		before := r.position()
		end, err := b.readStream(ctx, r, b.agent.options.EngineIdleTimeout<<min(silent, maxSilenceDoublings))
		if end != nil {
			return *end
		}
		if r.position() > before {
			broken, silent = 0, 0
		}
		if errors.Is(err, errSilent) {
			silent++
		} else {
			broken++
		}
		if errors.Is(err, engine.ErrConnectionLost) && b.crash.broken(ctx) {
			return r.endFor(errCrashed)
		}
		if ctx.Err() != nil || broken > maxBrokenStreams || !r.resumable(err) || !b.alive(ctx) {
			return r.endFor(err)
		}
		// The engine may not know that the stream broke.
		b.cancelEngine(r)
	}
}

// readStream reads one engine stream into the run until its end or an error.
func (b *backendServer) readStream(ctx context.Context, r *run, silence time.Duration) (*message.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newSilenceWatch(silence, cancel)
	defer watch.stop()
	stream, err := b.open(ctx, r)
	if err == nil {
		defer stream.Close()
	}
	if watch.fired() {
		err = errSilent
	}
	if err != nil {
		return nil, err
	}
	for r.waitForRoom(ctx, watch) {
		event, err := stream.Next()
		if watch.fired() {
			return nil, errSilent
		}
		if err == io.EOF {
			err = engine.ErrConnectionLost
		}
		if err != nil {
			return nil, err
		}
		watch.reset()
		if end, err := b.accept(r, event); end != nil || err != nil {
			return end, err
		}
	}
	return nil, ctx.Err()
}

// open starts or resumes the engine stream. An engine that still runs the
// request drops the earlier stream shortly after its cancellation.
func (b *backendServer) open(ctx context.Context, r *run) (engine.Stream, error) {
	for try := 0; ; try++ {
		stream, err := b.engine.Generate(ctx, r.engineRequest())
		if !errors.Is(err, engine.ErrInUse) || try >= maxInUseTries || !r.resumable(engine.ErrConnectionLost) {
			return stream, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(resumePause):
		}
	}
}

// alive probes the engine.
func (b *backendServer) alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := b.engine.Load(ctx)
	return err == nil
}

func (b *backendServer) cancelEngine(r *run) {
	ctx, cancel := context.WithTimeout(b.agent.ctx, probeTimeout)
	defer cancel()
	_ = b.engine.Cancel(ctx, r.engineID())
}

// accept takes one event of the engine. A repeated token is dropped; a token of
// another generation must not reach the caller.
func (b *backendServer) accept(r *run, event engine.Event) (*message.End, error) {
	r.mu.Lock()
	if r.generation == "" {
		r.generation = event.Generation
	}
	next := r.window.Next()
	spliced := event.Generation != r.generation
	r.mu.Unlock()
	switch {
	case spliced:
		return &message.End{Started: true, Verdict: verdict.Ran, Refusal: message.Refusal{
			Verdict: verdict.Ran, Reason: verdict.ReasonBackendError, Message: "the engine went on with another generation"}}, nil
	case event.HasToken && event.Index > next:
		return nil, errPosition
	case event.HasToken && event.Index == next:
		r.append(event.Token)
		b.generated(r, next+1)
	}
	if event.FinishReason != "" {
		return &message.End{Started: true, Verdict: verdict.Ran, FinishReason: event.FinishReason}, nil
	}
	return nil, nil
}
