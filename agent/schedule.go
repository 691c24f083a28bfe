package agent

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/admission"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
)

// tickInterval is how often the admission controller checks its queue when there are
// no events.
const tickInterval = 100 * time.Millisecond

// segment is an uninterrupted period in which a run executes in the engine. A
// preempted run has several.
type segment struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// preempted is set when the admission controller paused the run in this segment.
	preempted bool
}

// submit queues a run or refuses it immediately. The caller holds the agent's
// lock.
func (b *backendServer) submit(r *run) (message.StartState, *message.Refusal) {
	request := r.request
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.id()] = r
	state := message.StartQueued
	for _, action := range b.admission.Enqueue(b.now(), admission.Request{
		ID: r.id(), Caller: request.Caller, Model: request.Model, Class: request.Class,
		Priority: request.Priority, Weight: request.Weight,
		PromptTokens: request.PromptTokens, MaxTokens: request.MaxTokens, Timeout: request.Timeout,
	}) {
		if action.ID != r.id() {
			b.apply(action)
			continue
		}
		if action.Kind == admission.Refuse {
			delete(b.runs, r.id())
			refusal := message.NewRefusal(action.Reason, "the backend server has no room in time", action.RetryAfter)
			return message.StartRefused, &refusal
		}
		state = message.StartAccepted
		b.apply(action)
	}
	return state, nil
}

// apply performs one action of the admission controller. The caller holds b.mu.
func (b *backendServer) apply(action admission.Action) {
	r, ok := b.runs[action.ID]
	if !ok {
		return
	}
	switch action.Kind {
	case admission.Start, admission.Resume:
		b.startSegment(r)
	case admission.Pause:
		r.preempt()
	case admission.Refuse:
		delete(b.runs, action.ID)
		b.agent.spawn(func() { b.agent.refuseQueued(r, action) })
	}
}

// applyAll performs several actions. The caller holds b.mu.
func (b *backendServer) applyAll(actions []admission.Action) {
	for _, action := range actions {
		b.apply(action)
	}
}

// startSegment starts or resumes a run in the engine, after its previous segment
// has ended. It returns nil if the run has ended or is already in a segment.
func (b *backendServer) startSegment(r *run) *segment {
	r.mu.Lock()
	previous := r.segment
	if r.ended || (previous != nil && !previous.preempted) {
		r.mu.Unlock()
		return nil
	}
	seg := &segment{done: make(chan struct{})}
	seg.ctx, seg.cancel = context.WithCancel(b.agent.ctx)
	r.segment = seg
	r.mu.Unlock()
	b.agent.spawn(func() {
		if previous != nil {
			<-previous.done
		}
		b.execute(r, seg)
	})
	return seg
}

// preempt removes the run from the engine. The tokens generated so far are kept.
func (r *run) preempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.segment != nil {
		r.segment.preempted = true
		r.segment.cancel()
	}
}

// execute runs one segment of a generation, until the run ends or is preempted.
func (b *backendServer) execute(r *run, seg *segment) {
	defer close(seg.done)
	defer seg.cancel()
	a := b.agent
	// After the dispatch, cancelRun cancels the segment. Before it, endQueued ends the
	// run and the table refuses the dispatch.
	a.mu.Lock()
	admitted := a.table.Dispatch(time.Now(), r.id())
	a.mu.Unlock()
	if !admitted && !r.isDispatched() {
		b.removeRun(r)
		return
	}
	r.setDispatched()
	end := b.runTracked(seg.ctx, r)
	if r.wasPreempted(seg, end) {
		b.cancelInEngine(r)
		return
	}
	b.complete(r, end)
}

// complete records the end of a run in the admission controller and the table, and
// sends it to the readers.
func (b *backendServer) complete(r *run, end message.End) {
	b.mu.Lock()
	end.Preemptions = b.admission.Preemptions(r.id())
	delete(b.runs, r.id())
	if end.FinishReason != "" {
		b.applyAll(b.admission.Finished(b.now(), r.id()))
	} else {
		b.applyAll(b.admission.Cancel(b.now(), r.id()))
	}
	b.mu.Unlock()
	end.Load = b.loadHint()
	b.agent.recordEnd(r.id(), end.Verdict)
	r.finish(end)
}

// wasPreempted reports whether the segment ended by a preemption. It is false for a
// run that was canceled or finished meanwhile, which must end.
func (r *run) wasPreempted(seg *segment, end message.End) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return seg.preempted && r.cancelReason == "" && end.FinishReason == ""
}

func (r *run) isDispatched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dispatched
}

func (r *run) setDispatched() {
	r.mu.Lock()
	r.dispatched = true
	r.mu.Unlock()
}

// cancelSegment cancels the current segment of a canceled run. A preempted run gets
// another segment that ends immediately, so that all runs end in the same way.
func (b *backendServer) cancelSegment(r *run) {
	if seg := b.startSegment(r); seg != nil {
		seg.cancel()
		return
	}
	r.mu.Lock()
	seg := r.segment
	r.mu.Unlock()
	if seg != nil {
		seg.cancel()
	}
}

// removeRun removes a run from the queue.
func (b *backendServer) removeRun(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runs, r.id())
	b.applyAll(b.admission.Cancel(b.now(), r.id()))
}

// recordTokens reports the progress of a run to the admission controller.
func (b *backendServer) recordTokens(r *run, tokens uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyAll(b.admission.TokensGenerated(b.now(), r.id(), int(tokens)))
}

// applyEngineLoad passes a load report of the engine to the admission controller.
func (b *backendServer) applyEngineLoad(load engine.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plain {
		return
	}
	b.applyAll(b.admission.EngineLoad(b.now(), admission.Load{
		FreeBlocks: load.FreeBlocks, TotalBlocks: load.TotalBlocks, Preemptions: load.Preemptions,
	}))
}

// tickLoop calls the admission controller periodically.
func (b *backendServer) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.C:
			b.mu.Lock()
			b.applyAll(b.admission.Tick(b.now()))
			b.mu.Unlock()
		}
	}
}

// refuseQueued ends a run that exceeded its time in the queue and was never
// dispatched.
func (a *Agent) refuseQueued(r *run, action admission.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.End(time.Now(), r.id(), verdict.NotRun)
	r.setDelivered()
	refusal := message.NewRefusal(action.Reason, "the request waited too long for room", action.RetryAfter)
	if r.finish(message.End{Verdict: verdict.NotRun, Refusal: refusal}) {
		a.ended = append(a.ended, endedRun{r.id(), time.Now()})
	}
}
