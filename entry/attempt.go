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
	buryTimeout       = 500 * time.Millisecond
	charactersPerWord = 5
	// assumedTokens and assumedBlockTokens estimate the memory of a request whose
	// length is unknown.
	assumedTokens      = 256
	assumedBlockTokens = 16
	// prefixBytes is the part of a prompt that requests with a common prefix
	// share.
	prefixBytes = 512
)

// placed is an attempt that its agent has accepted.
type placed struct {
	target    target
	execution message.ExecutionID
	state     message.StartState
	sent      time.Time
}

// attemptOnce makes one attempt and streams its answer. Its frame stays on the
// stack while the stream waits for tokens, so what it holds is kept small: below
// 4 KiB in use the runtime shrinks the stack from 16 KiB to 8 KiB.
func (g *generation) attemptOnce(ctx context.Context, out *answer) *verdict.Error {
	p, failure := g.place(ctx, out)
	if failure != nil {
		return failure
	}
	from := g.resume.From
	s := g.entry.linkTo(p.target.member.LinkAddress).open(p.execution, g.caller.Name, from)
	defer s.close()
	failure = out.copy(ctx, s, p.target.member.Host, from)
	g.settle(p, out, failure)
	return failure
}

// settle tells the placer what became of an attempt, and frees the backend
// server from one that nobody will read.
func (g *generation) settle(p *placed, out *answer, failure *verdict.Error) {
	if failure != nil {
		g.entry.placer.reportFailure(p.target, failure)
		if !callerMayReturn(out, failure) {
			g.cancel(&p.target, p.execution)
		}
		return
	}
	first := time.Duration(0)
	if p.state == message.StartAccepted {
		first = max(0, out.progress.firstAt.Sub(p.sent))
	}
	g.entry.placer.report(p.target, placement.Completed, first, 0)
}

// place chooses a backend server and starts the execution there.
func (g *generation) place(ctx context.Context, out *answer) (*placed, *verdict.Error) {
	e := g.entry
	var failure *verdict.Error
	if g.suspect, failure = g.guard.check(); failure != nil {
		return nil, failure
	}
	t, failure := g.choose()
	if failure != nil {
		return nil, failure
	}
	out.progress.backendServer = t.server.Name
	g.attempt++
	p := &placed{target: t, execution: message.ExecutionID{Request: g.id, Attempt: g.attempt}, sent: time.Now()}
	if p.state, failure = g.start(ctx, t, p.execution); failure != nil {
		e.placer.reportFailure(t, failure)
		return nil, failure
	}
	return p, nil
}

// choose returns a backend server that was not tried. A begun generation goes
// only to one whose engine continues it.
func (g *generation) choose() (target, *verdict.Error) {
	placer := g.entry.placer
	for {
		t, ok := placer.choose(g.route.Service, g.query())
		if !ok {
			return target{}, placer.unplaced(g.route.Service)
		}
		g.tried = append(g.tried, t.server.Name)
		if g.resume.Generation == "" || t.server.ContinuesGenerations {
			return t, nil
		}
		placer.report(t, placement.Canceled, 0, 0)
	}
}

// continues tells whether another engine may go on where a delivered answer
// stopped, and prepares the next attempt for it.
func (g *generation) continues(out *answer) bool {
	if out.resume == nil || out.resume.From != out.tokens {
		return false
	}
	g.resume = *out.resume
	return true
}

// query describes the request for the choice of a backend server. The length of
// the answer is not known; a short one is assumed, and the agent's own estimate
// decides about admission.
func (g *generation) query() placement.Query {
	return placement.Query{
		PrefixKey: g.prefixKey(), Blocks: (g.promptTokens() + assumedTokens) / assumedBlockTokens, Exclude: g.tried, Priority: g.priority(),
	}
}

// prefixKey is equal for requests whose prompts begin alike, which an engine
// with the prefix in its cache answers sooner.
func (g *generation) prefixKey() string {
	text := append(append([]byte(nil), g.body.Messages...), g.body.Prompt...)
	return quarantine.Digest([]byte(g.route.Model), text[:min(len(text), prefixBytes)])
}

func (g *generation) priority() int { return g.caller.Priority + g.route.Priority }

func (g *generation) promptTokens() int {
	return (len(g.body.Prompt) + len(g.body.Messages)) / charactersPerWord
}

// callerMayReturn tells whether the execution must go on without this request:
// a caller that lost its connection can come back with Last-Event-ID, which it
// knows only after the first delivered token. The agent cancels an execution
// that nobody reads for its reader grace.
func callerMayReturn(out *answer, failure *verdict.Error) bool {
	switch failure.Reason {
	case verdict.ReasonSuperseded:
		return true
	case verdict.ReasonCanceled, verdict.ReasonSlowReader:
		return out.stream && out.delivered()
	}
	return false
}

// start asks the agent to start the execution.
func (g *generation) start(ctx context.Context, t target, execution message.ExecutionID) (message.StartState, *verdict.Error) {
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
		return reply.State, e.bury(t, execution, failure)
	}
	e.options.Fleet.Observe(reply.Header)
	e.placer.observe(reply.Load)
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
		Adapter: g.route.Adapter, Version: g.route.Version, Class: g.class(),
		Priority: g.priority(), Weight: g.caller.Weight, Digest: g.guard.digest, Suspect: g.suspect,
		PromptTokens: g.promptTokens(), MaxTokens: g.body.MaxTokens,
		Continue: g.resume, Timeout: g.entry.options.RequestTimeout, Body: g.raw,
	}
}

// class groups requests by the expected length of their answers. Without a
// declared class, the size of the prompt and the bound of the answer tell kinds
// of requests apart, each by its order of magnitude.
func (g *generation) class() message.RequestClass {
	if g.route.Class != "" {
		return message.RequestClass(g.route.Class)
	}
	return message.RequestClass(fmt.Sprintf("p%d-m%d", bits.Len(uint(g.promptTokens()))/2, bits.Len(uint(max(0, g.body.MaxTokens)))/2))
}

// bury asks for a tombstone after a start whose fate is not known. Only a
// confirmed tombstone turns the failure into one that was not run.
func (e *Entry) bury(t target, execution message.ExecutionID, failure *verdict.Error) *verdict.Error {
	ctx, cancel := context.WithTimeout(e.ctx, buryTimeout)
	defer cancel()
	var reply message.BuryReply
	request := message.BuryRequest{Header: e.options.Fleet.Header(), BackendServer: t.server.Name, AgentIncarnation: t.member.Incarnation, Execution: execution}
	err := e.options.Pool.Call(ctx, t.member.AgentAddress, "Agent.Bury", request, &reply)
	if err == nil && reply.Confirmed && reply.Verdict == verdict.NotRun {
		return verdict.Wrap(failure, verdict.NotRun, failure.Reason, "the start was withdrawn")
	}
	return failure
}

// cancel frees the backend server from an execution that nobody reads.
func (g *generation) cancel(t *target, execution message.ExecutionID) {
	e := g.entry
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.options.StartTimeout)
		defer cancel()
		var reply message.CancelReply
		request := message.CancelRequest{Header: e.options.Fleet.Header(), BackendServer: t.server.Name, Execution: execution}
		_ = e.options.Pool.Call(ctx, t.member.AgentAddress, "Agent.Cancel", request, &reply)
	}()
}
