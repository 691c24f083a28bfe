package entry

import (
	"context"
	"fmt"
	"math/bits"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
)

const (
	tombstoneTimeout = 500 * time.Millisecond
	// bytesPerToken estimates the number of prompt tokens from the prompt's size.
	bytesPerToken = 5
	// assumedAnswerTokens and assumedTokensPerBlock estimate the memory of a request
	// whose answer length is unknown.
	assumedAnswerTokens   = 256
	assumedTokensPerBlock = 16
	// prefixKeyBytes is the length of the prompt prefix that the prefix key is
	// computed from.
	prefixKeyBytes = 512
)

// placedAttempt is an attempt that an agent has accepted.
type placedAttempt struct {
	target    target
	execution message.ExecutionID
	state     message.StartState
	sentAt    time.Time
}

// runAttempt makes one attempt and streams its tokens to the caller. Its frame
// stays on the stack while the stream waits for tokens, so it keeps little there:
// with less than 4 KiB in use the runtime shrinks the stack from 16 KiB to 8 KiB.
func (g *generation) runAttempt(ctx context.Context, cw *completionWriter) *verdict.Error {
	p, failure := g.place(ctx, cw)
	if failure != nil {
		return failure
	}
	from := g.continuation.From
	s := g.entry.linkTo(p.target.member.LinkAddress).openStream(p.execution, g.caller.Name, from)
	defer s.close()
	failure = cw.copyStream(ctx, s, p.target.member.Host, from)
	g.reportOutcome(p, cw, failure)
	return failure
}

// reportOutcome reports the outcome of an attempt to the placer and cancels the
// execution of a failed attempt unless a caller may still read it.
func (g *generation) reportOutcome(p *placedAttempt, cw *completionWriter, failure *verdict.Error) {
	if failure != nil {
		g.entry.placer.reportFailure(p.target, failure)
		if !callerMayResume(cw, failure) {
			g.cancelExecution(&p.target, p.execution)
		}
		return
	}
	firstTokenDelay := time.Duration(0)
	if p.state == message.StartAccepted {
		firstTokenDelay = max(0, cw.progress.firstTokenAt.Sub(p.sentAt))
	}
	g.entry.placer.report(p.target, placement.Completed, firstTokenDelay, 0)
}

// place chooses a backend server and starts the execution there.
func (g *generation) place(ctx context.Context, cw *completionWriter) (*placedAttempt, *verdict.Error) {
	e := g.entry
	var failure *verdict.Error
	if g.suspect, failure = g.crashGuard.checkQuarantine(); failure != nil {
		return nil, failure
	}
	t, failure := g.chooseTarget()
	if failure != nil {
		return nil, failure
	}
	cw.progress.backendServer = t.server.Name
	g.attempts++
	p := &placedAttempt{target: t, execution: message.ExecutionID{Request: g.id, Attempt: g.attempts}, sentAt: time.Now()}
	if p.state, failure = g.startExecution(ctx, t, p.execution); failure != nil {
		e.placer.reportFailure(t, failure)
		return nil, failure
	}
	return p, nil
}

// chooseTarget returns a backend server that was not tried yet. A generation that
// has already delivered tokens goes only to a server whose engine can continue
// generations.
func (g *generation) chooseTarget() (target, *verdict.Error) {
	placer := g.entry.placer
	for {
		t, ok := placer.choose(g.route.Service, g.placementQuery())
		if !ok {
			return target{}, placer.noTargetError(g.route.Service)
		}
		g.triedServers = append(g.triedServers, t.server.Name)
		if g.continuation.Generation == "" || t.server.ContinuesGenerations {
			return t, nil
		}
		placer.report(t, placement.Canceled, 0, 0)
	}
}

// prepareContinuation reports whether another engine may continue a partly
// delivered answer from the token at which delivery stopped. If so, it prepares
// the next attempt for it.
func (g *generation) prepareContinuation(cw *completionWriter) bool {
	if cw.continuation == nil || cw.continuation.From != cw.nextToken {
		return false
	}
	g.continuation = *cw.continuation
	return true
}

// placementQuery describes the request for the choice of a backend server. The
// length of the answer is unknown, so a short one is assumed; admission is decided
// by the agent's own estimate.
func (g *generation) placementQuery() placement.Query {
	return placement.Query{
		PrefixKey: g.prefixKey(), Blocks: (g.promptTokens() + assumedAnswerTokens) / assumedTokensPerBlock,
		Exclude: g.triedServers, Priority: g.priority(),
	}
}

// prefixKey returns a key that is equal for requests to one model whose prompts
// share a prefix. An engine that has the prefix in its cache answers them faster.
func (g *generation) prefixKey() string {
	prompt := append(append([]byte(nil), g.body.Messages...), g.body.Prompt...)
	return quarantine.Digest([]byte(g.route.Model), prompt[:min(len(prompt), prefixKeyBytes)])
}

func (g *generation) priority() int { return g.caller.Priority + g.route.Priority }

func (g *generation) promptTokens() int {
	return (len(g.body.Prompt) + len(g.body.Messages)) / bytesPerToken
}

// callerMayResume reports whether the execution must keep running after this
// request ended. A caller that lost its connection can resume with Last-Event-ID,
// which it knows only after the first delivered token. The agent cancels an
// execution that has had no reader for its reader grace period.
func callerMayResume(cw *completionWriter, failure *verdict.Error) bool {
	switch failure.Reason {
	case verdict.ReasonSuperseded:
		return true
	case verdict.ReasonCanceled, verdict.ReasonSlowReader:
		return cw.stream && cw.anyDelivered()
	}
	return false
}

// startExecution asks the agent to start the execution.
func (g *generation) startExecution(
	ctx context.Context, t target, execution message.ExecutionID,
) (message.StartState, *verdict.Error) {
	e := g.entry
	callCtx, cancel := context.WithTimeout(ctx, e.options.StartTimeout)
	defer cancel()
	var reply message.StartReply
	err := e.options.Pool.Call(callCtx, t.member.AgentAddress, "Agent.Start", g.startRequest(t, execution), &reply)
	if err != nil {
		failure := verdict.From(err)
		if failure.Verdict == verdict.NotRun {
			return reply.State, failure
		}
		return reply.State, e.requestTombstone(t, execution, failure)
	}
	e.options.Fleet.Observe(reply.Header)
	e.placer.observeLoad(reply.Load)
	if reply.State == message.StartRefused {
		return reply.State, reply.Refusal.Err()
	}
	e.placer.report(t, placement.Accepted, 0, 0)
	return reply.State, nil
}

func (g *generation) startRequest(t target, execution message.ExecutionID) message.StartRequest {
	return message.StartRequest{
		Header: g.entry.options.Fleet.Header(), BackendServer: t.server.Name, AgentIncarnation: t.member.Incarnation,
		Execution: execution, Caller: g.caller.Name, Service: g.route.Service, Model: g.route.Model,
		Adapter: g.route.Adapter, Version: g.route.Version, Class: g.requestClass(),
		Priority: g.priority(), Weight: g.caller.Weight, Digest: g.crashGuard.digest, Suspect: g.suspect,
		PromptTokens: g.promptTokens(), MaxTokens: g.body.MaxTokens,
		Continue: g.continuation, Timeout: g.entry.options.RequestTimeout, Body: g.rawBody,
	}
}

// requestClass returns the class that groups requests by the expected length of
// their answers. If the route declares none, the class is derived from the orders
// of magnitude of the prompt size and of max_tokens.
func (g *generation) requestClass() message.RequestClass {
	if g.route.Class != "" {
		return message.RequestClass(g.route.Class)
	}
	return message.RequestClass(fmt.Sprintf("p%d-m%d",
		bits.Len(uint(g.promptTokens()))/2, bits.Len(uint(max(0, g.body.MaxTokens)))/2))
}

// requestTombstone asks the agent for a tombstone after a start whose outcome is
// unknown. The verdict of the failure becomes "not run" only if the agent confirms
// the tombstone.
func (e *Entry) requestTombstone(t target, execution message.ExecutionID, failure *verdict.Error) *verdict.Error {
	ctx, cancel := context.WithTimeout(e.ctx, tombstoneTimeout)
	defer cancel()
	var reply message.BuryReply
	request := message.BuryRequest{
		Header: e.options.Fleet.Header(), BackendServer: t.server.Name,
		AgentIncarnation: t.member.Incarnation, Execution: execution,
	}
	err := e.options.Pool.Call(ctx, t.member.AgentAddress, "Agent.Bury", request, &reply)
	if err == nil && reply.Confirmed && reply.Verdict == verdict.NotRun {
		return verdict.Wrap(failure, verdict.NotRun, failure.Reason, "the start was withdrawn")
	}
	return failure
}

// cancelExecution asks the agent to cancel an execution that nobody reads. It does
// not wait for the reply.
func (g *generation) cancelExecution(t *target, execution message.ExecutionID) {
	e := g.entry
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.options.StartTimeout)
		defer cancel()
		var reply message.CancelReply
		request := message.CancelRequest{Header: e.options.Fleet.Header(), BackendServer: t.server.Name, Execution: execution}
		_ = e.options.Pool.Call(ctx, t.member.AgentAddress, "Agent.Cancel", request, &reply)
	}()
}
