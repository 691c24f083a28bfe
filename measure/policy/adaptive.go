package policy

import (
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/admission"
	"arbutusmast.example/arbutusmast/core/attempt"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/length"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// adaptive is the policy under test: core/placement in the entries and
// core/admission in the agent of each backend server.
type adaptive struct {
	run *run
	// placements holds the balancers of each entry for the generation
	// service and for the plain service.
	placements       [][2]*placement.Balancer
	lengthEstimators []*length.Estimator
	agents           []*admission.Controller
	byID             map[message.ExecutionID]*request
	// retryBudgets holds the retry budgets of each entry, attempts the state of the
	// requests in progress.
	retryBudgets []*attempt.Budgets
	attempts     map[*request]*attempt.Retrier
	// deliveredAt holds the time of delivery to an agent. Requests that waited in
	// the agent's queue are removed, because their time to first token says nothing
	// about the server's speed.
	deliveredAt map[*request]time.Duration
}

// progressReportTokens is the number of tokens between two reports of a
// generation's progress to the agent.
const progressReportTokens = 8

func newAdaptive(r *run) scheduler {
	p := &adaptive{
		run: r, byID: map[message.ExecutionID]*request{},
		attempts: map[*request]*attempt.Retrier{}, deliveredAt: map[*request]time.Duration{},
	}
	for _, b := range r.backends {
		p.agents = append(p.agents, p.newAgent(b))
	}
	for i := 0; i < r.site.entries; i++ {
		var pair [2]*placement.Balancer
		for kind, list := range [][]*backend{r.generationBackends, r.plainBackends} {
			cfg := placement.Config{Entry: backendName(i)}
			pair[kind] = placement.New(cfg, rand.New(rand.NewSource(r.rng.Int63())))
			pair[kind].SetServers(0, r.placementServers(list, i))
		}
		p.placements = append(p.placements, pair)
		p.retryBudgets = append(p.retryBudgets, attempt.NewBudgets(attempt.BudgetConfig{}))
		p.lengthEstimators = append(p.lengthEstimators, length.New(length.Config{}))
	}
	return p
}

func (p *adaptive) newAgent(b *backend) *admission.Controller {
	cfg := admission.Config{
		TotalBlocks: b.engine.cfg.blocks, BlockTokens: b.engine.cfg.blockTokens, MaxBatch: b.engine.cfg.maxBatch,
		UrgentPriority: urgentPriority,
	}
	if b.plain {
		cfg.MaxPrefills, cfg.MaxPrefillTokens = cfg.MaxBatch, 1<<20
		cfg.NominalTokensPerSecond = float64(cfg.MaxBatch) / b.engine.cfg.base.Seconds()
		cfg.UrgentSlots = -1
	}
	return admission.New(cfg, rand.New(rand.NewSource(p.run.rng.Int63())))
}

// placementServers returns the members of list that the platform lists, as seen
// by an entry. Entries are distributed over the failure domains.
func (r *run) placementServers(list []*backend, entry int) []placement.Server {
	var all []placement.Server
	for _, b := range list {
		if !b.listed {
			continue
		}
		distance := failuredomain.SameRegion
		if b.domain == entry%r.site.domains {
			distance = failuredomain.SameDomain
		}
		all = append(all, placement.Server{
			Name: b.name, Distance: distance, Blocks: b.engine.cfg.blocks, Leaving: b.leaving,
		})
	}
	return all
}

func (p *adaptive) placementFor(q *request) *placement.Balancer {
	if q.plain {
		return p.placements[q.entry][1]
	}
	return p.placements[q.entry][0]
}

func (q *request) executionID() message.ExecutionID {
	return message.ExecutionID{Request: q.requestID, Attempt: uint32(q.attempts)}
}

// expectedBlocks returns the number of blocks that an entry expects q to use
// halfway through its generation.
func (p *adaptive) expectedBlocks(q *request) int {
	mean, _ := p.lengthEstimators[q.entry].Distribution(length.Key{Model: modelName(q), Class: q.class}).Residual(0)
	return (q.promptTokens + int(mean/2)) / generationEngine.blockTokens
}

func modelName(q *request) string {
	if q.plain {
		return "plain"
	}
	return "model"
}

func (p *adaptive) arrive(now time.Duration, q *request) {
	m := attempt.New(attempt.Config{}, p.retryBudgets[q.entry], now, attempt.Request{
		Caller: teamName(q.team), Repeatable: !q.plain, Streamed: true,
	})
	p.attempts[q] = m
	p.applyAttemptActions(now, q, m.Start(now))
}

// applyAttemptActions executes the actions of the attempt state machine of q.
func (p *adaptive) applyAttemptActions(now time.Duration, q *request, actions []attempt.Action) {
	for _, a := range append([]attempt.Action(nil), actions...) {
		switch a.Kind {
		case attempt.Dispatch:
			p.place(now, q, a.Attempt)
		case attempt.Fail:
			delete(p.attempts, q)
			if q.firstTokenAt > 0 || a.Err.Verdict != verdict.NotRun {
				q.interrupted = true
			} else {
				p.run.refuse(q)
			}
		}
	}
}

func (p *adaptive) place(now time.Duration, q *request, attemptNumber uint32) {
	m := p.attempts[q]
	q.attempts = int(attemptNumber)
	q.expectedBlocks = p.expectedBlocks(q)
	name, ok := p.placementFor(q).Choose(now, placement.Query{
		PrefixKey: q.prefixKey, Blocks: q.expectedBlocks, Exclude: m.TriedServers(), Priority: q.priority,
	})
	if !ok {
		p.attemptEnded(now, q, verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer, "no server"))
		return
	}
	m.SetServer(attemptNumber, name)
	p.run.send(p.backendByName(name), q)
}

func (p *adaptive) attemptEnded(now time.Duration, q *request, err *verdict.Error) {
	if m := p.attempts[q]; m != nil {
		p.applyAttemptActions(now, q, m.Ended(now, uint32(q.attempts), err))
	}
}

func (p *adaptive) backendByName(name string) *backend {
	for _, b := range p.run.backends {
		if b.name == name {
			return b
		}
	}
	return nil
}

func (p *adaptive) reportOutcome(
	now time.Duration, b *backend, q *request, result placement.Result, firstToken, retryAfter time.Duration,
) {
	p.placementFor(q).Report(now, placement.Outcome{
		Server: b.name, Result: result, Blocks: q.expectedBlocks, Priority: q.priority,
		FirstToken: firstToken, RetryAfter: retryAfter,
	})
}

func (p *adaptive) deliver(now time.Duration, b *backend, q *request) {
	if !b.present || b.failing {
		p.reportOutcome(now, b, q, placement.Failed, 0, 0)
		p.attemptEnded(now, q, verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "not reachable"))
		return
	}
	id := q.executionID()
	p.byID[id] = q
	p.deliveredAt[q] = now
	p.applyAdmissionActions(now, b, p.agents[b.index].Enqueue(now, admission.Request{
		ID: id, Caller: teamName(q.team), Model: modelName(q), Class: q.class, Priority: q.priority,
		Weight:       p.run.site.teamShares[q.team] * float64(len(p.run.site.teamShares)),
		PromptTokens: q.promptTokens, MaxTokens: q.maxTokens,
	}))
	p.piggyback(now, b, q)
}

// piggyback applies the current load hint of b at the entry of q, as replies carry
// one.
func (p *adaptive) piggyback(now time.Duration, b *backend, q *request) {
	h := p.loadReport(now, b)
	if b.falsify != nil {
		b.falsify(&h)
	}
	p.placementFor(q).Hint(now, h, 0)
}

func teamName(i int) string { return "team-" + string(rune('a'+i)) }

// applyAdmissionActions executes the actions of the admission controller of b.
func (p *adaptive) applyAdmissionActions(now time.Duration, b *backend, actions []admission.Action) {
	if len(actions) == 0 {
		return
	}
	// Handling a refusal may produce further actions, so iterate over a copy.
	for _, a := range append([]admission.Action(nil), actions...) {
		q := p.byID[a.ID]
		switch a.Kind {
		case admission.Start:
			if now > p.deliveredAt[q] {
				delete(p.deliveredAt, q)
			}
			p.run.submit(b, q, a.Priority)
		case admission.Resume:
			p.run.submit(b, q, a.Priority)
		case admission.Pause:
			q.preemptions++
			b.engine.remove(q.seq)
			q.seq.resumed = true
		case admission.Refuse:
			delete(p.byID, a.ID)
			p.reportOutcome(now, b, q, placement.Refused, 0, a.RetryAfter)
			p.attemptEnded(now, q, verdict.New(verdict.NotRun, a.Reason, "refused").WithRetryAfter(a.RetryAfter))
		}
	}
}

func (p *adaptive) tokensDelivered(now time.Duration, b *backend, emitted []*sequence) {
	for _, s := range emitted {
		if s.generated == 1 {
			p.attempts[s.request].FirstToken(now, uint32(s.request.attempts))
		}
		if s.generated%progressReportTokens == 1 || s.generated >= s.request.outputTokens || s.resumed {
			s.resumed = false
			p.applyAdmissionActions(now, b, p.agents[b.index].TokensGenerated(now, s.request.executionID(), s.generated))
		}
	}
}

func (p *adaptive) finished(now time.Duration, b *backend, q *request) {
	firstToken := time.Duration(0)
	if at, ok := p.deliveredAt[q]; ok {
		firstToken = q.firstTokenAt - at
		delete(p.deliveredAt, q)
	}
	p.lengthEstimators[q.entry].Observe(length.Key{Model: modelName(q), Class: q.class}, q.outputTokens)
	p.reportOutcome(now, b, q, placement.Completed, firstToken, 0)
	delete(p.byID, q.executionID())
	delete(p.attempts, q)
	p.applyAdmissionActions(now, b, p.agents[b.index].Finished(now, q.executionID()))
	p.piggyback(now, b, q)
}

func (p *adaptive) loadReport(now time.Duration, b *backend) message.LoadHint {
	h := p.agents[b.index].LoadHint(now)
	h.BackendServer, h.Leaving = b.name, b.leaving
	return h
}

func (p *adaptive) receiveReport(now time.Duration, b *backend, h message.LoadHint) {
	kind := 0
	if b.plain {
		kind = 1
	}
	for _, pair := range p.placements {
		pair[kind].Hint(now, h, p.run.reportLag)
	}
}

func (p *adaptive) tick(now time.Duration) {
	for _, b := range p.run.backends {
		e := b.engine
		p.applyAdmissionActions(now, b, p.agents[b.index].EngineLoad(now, admission.Load{
			FreeBlocks: e.freeBlocks, TotalBlocks: e.cfg.blocks, Preemptions: e.preemptions,
		}))
		p.applyAdmissionActions(now, b, p.agents[b.index].Tick(now))
	}
}

func (p *adaptive) requestsLost(now time.Duration, b *backend, lost []*request) {
	// The agent runs on the same host, so its queue and its learned state are lost.
	p.agents[b.index] = p.newAgent(b)
	for _, q := range lost {
		delete(p.byID, q.executionID())
		p.reportOutcome(now, b, q, placement.Failed, 0, 0)
		p.attemptEnded(now, q, verdict.New(verdict.MayHaveRun, verdict.ReasonBackendCrashed, "crashed"))
	}
}

func (p *adaptive) membershipChanged(now time.Duration) {
	for i, pair := range p.placements {
		pair[0].SetServers(now, p.run.placementServers(p.run.generationBackends, i))
		pair[1].SetServers(now, p.run.placementServers(p.run.plainBackends, i))
	}
}
