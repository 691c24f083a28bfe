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
// core/admission beside each backend server.
type adaptive struct {
	run *run
	// entries holds one balancer per entry and service.
	entries [][2]*placement.Balancer
	lengths []*length.Estimator
	agents  []*admission.Controller
	byID    map[message.ExecutionID]*request
	// budgets and attempts are the entries' state of retries and of requests.
	budgets  []*attempt.Budgets
	attempts map[*request]*attempt.Retrier
	// queued marks requests that waited at an agent, whose first-token time
	// says nothing about the server's speed.
	queued map[*request]time.Duration
}

// tokenReport is the number of tokens after which an agent hears of progress.
const tokenReport = 8

func newAdaptive(r *run) scheduler {
	p := &adaptive{
		run: r, byID: map[message.ExecutionID]*request{},
		attempts: map[*request]*attempt.Retrier{}, queued: map[*request]time.Duration{},
	}
	for _, b := range r.backends {
		p.agents = append(p.agents, p.newAgent(b))
	}
	for i := 0; i < r.site.entries; i++ {
		var pair [2]*placement.Balancer
		for kind, list := range [][]*backend{r.generation, r.plainOnes} {
			cfg := placement.Config{Entry: backendName(i)}
			pair[kind] = placement.New(cfg, rand.New(rand.NewSource(r.rng.Int63())))
			pair[kind].SetServers(0, r.servers(list, i))
		}
		p.entries = append(p.entries, pair)
		p.budgets = append(p.budgets, attempt.NewBudgets(attempt.BudgetConfig{}))
		p.lengths = append(p.lengths, length.New(length.Config{}))
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

// servers is the membership that an entry sees. Entries are spread over the
// failure domains.
func (r *run) servers(list []*backend, entry int) []placement.Server {
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

func (p *adaptive) placer(q *request) *placement.Balancer {
	if q.plain {
		return p.entries[q.entry][1]
	}
	return p.entries[q.entry][0]
}

func (q *request) execution() message.ExecutionID {
	return message.ExecutionID{Request: q.name, Attempt: uint32(q.attempts)}
}

// blocks is the memory an entry expects a request to need at its middle.
func (p *adaptive) blocks(q *request) int {
	mean, _ := p.lengths[q.entry].Distribution(length.Key{Model: modelName(q), Class: q.class}).Residual(0)
	return (q.prompt + int(mean/2)) / generationEngine.blockTokens
}

func modelName(q *request) string {
	if q.plain {
		return "plain"
	}
	return "model"
}

func (p *adaptive) arrive(now time.Duration, q *request) {
	m := attempt.New(attempt.Config{}, p.budgets[q.entry], now, attempt.Request{
		Caller: teamName(q.team), Repeatable: !q.plain, Streamed: true,
	})
	p.attempts[q] = m
	p.follow(now, q, m.Start(now))
}

// follow carries out the actions of a request's attempts.
func (p *adaptive) follow(now time.Duration, q *request, actions []attempt.Action) {
	for _, a := range append([]attempt.Action(nil), actions...) {
		switch a.Kind {
		case attempt.Dispatch:
			p.place(now, q, a.Attempt)
		case attempt.Fail:
			delete(p.attempts, q)
			if q.first > 0 || a.Err.Verdict != verdict.NotRun {
				q.interrupted = true
			} else {
				p.run.refuse(q)
			}
		}
	}
}

func (p *adaptive) place(now time.Duration, q *request, number uint32) {
	m := p.attempts[q]
	q.attempts = int(number)
	q.blocks = p.blocks(q)
	name, ok := p.placer(q).Choose(now, placement.Query{
		PrefixKey: q.prefixKey, Blocks: q.blocks, Exclude: m.TriedServers(), Priority: q.priority,
	})
	if !ok {
		p.ended(now, q, verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer, "no server"))
		return
	}
	m.SetServer(number, name)
	p.run.send(p.named(name), q)
}

func (p *adaptive) ended(now time.Duration, q *request, err *verdict.Error) {
	if m := p.attempts[q]; m != nil {
		p.follow(now, q, m.Ended(now, uint32(q.attempts), err))
	}
}

func (p *adaptive) named(name string) *backend {
	for _, b := range p.run.backends {
		if b.name == name {
			return b
		}
	}
	return nil
}

func (p *adaptive) outcome(now time.Duration, b *backend, q *request, result placement.Result, first, after time.Duration) {
	p.placer(q).Report(now, placement.Outcome{
		Server: b.name, Result: result, Blocks: q.blocks, Priority: q.priority, FirstToken: first, RetryAfter: after,
	})
}

func (p *adaptive) deliver(now time.Duration, b *backend, q *request) {
	if !b.present || b.failing {
		p.outcome(now, b, q, placement.Failed, 0, 0)
		p.ended(now, q, verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "not reachable"))
		return
	}
	id := q.execution()
	p.byID[id] = q
	p.queued[q] = now
	p.apply(now, b, p.agents[b.index].Enqueue(now, admission.Request{
		ID: id, Caller: teamName(q.team), Model: modelName(q), Class: q.class, Priority: q.priority,
		Weight: p.run.site.teams[q.team] * float64(len(p.run.site.teams)), PromptTokens: q.prompt, MaxTokens: q.maxTokens,
	}))
	p.piggyback(now, b, q)
}

// piggyback gives the entry of q a fresh hint with the reply.
func (p *adaptive) piggyback(now time.Duration, b *backend, q *request) {
	h := p.report(now, b)
	if b.falsify != nil {
		b.falsify(&h)
	}
	p.placer(q).Hint(now, h, 0)
}

func teamName(i int) string { return "team-" + string(rune('a'+i)) }

// apply carries out an agent's actions.
func (p *adaptive) apply(now time.Duration, b *backend, actions []admission.Action) {
	if len(actions) == 0 {
		return
	}
	// Refused requests may lead to further actions, so copy first.
	for _, a := range append([]admission.Action(nil), actions...) {
		q := p.byID[a.ID]
		switch a.Kind {
		case admission.Start:
			if now > p.queued[q] {
				delete(p.queued, q)
			}
			p.run.begin(b, q, a.Priority)
		case admission.Resume:
			p.run.begin(b, q, a.Priority)
		case admission.Pause:
			q.preemptions++
			b.engine.remove(q.seq)
			q.seq.resumed = true
		case admission.Refuse:
			delete(p.byID, a.ID)
			p.outcome(now, b, q, placement.Refused, 0, a.RetryAfter)
			p.ended(now, q, verdict.New(verdict.NotRun, a.Reason, "refused").WithRetryAfter(a.RetryAfter))
		}
	}
}

func (p *adaptive) tokens(now time.Duration, b *backend, emitted []*sequence) {
	for _, s := range emitted {
		if s.generated == 1 {
			p.attempts[s.r].FirstToken(now, uint32(s.r.attempts))
		}
		if s.generated%tokenReport == 1 || s.generated >= s.r.length || s.resumed {
			s.resumed = false
			p.apply(now, b, p.agents[b.index].TokensGenerated(now, s.r.execution(), s.generated))
		}
	}
}

func (p *adaptive) finished(now time.Duration, b *backend, q *request) {
	first := time.Duration(0)
	if at, ok := p.queued[q]; ok {
		first = q.first - at
		delete(p.queued, q)
	}
	p.lengths[q.entry].Observe(length.Key{Model: modelName(q), Class: q.class}, q.length)
	p.outcome(now, b, q, placement.Completed, first, 0)
	delete(p.byID, q.execution())
	delete(p.attempts, q)
	p.apply(now, b, p.agents[b.index].Finished(now, q.execution()))
	p.piggyback(now, b, q)
}

func (p *adaptive) report(now time.Duration, b *backend) message.LoadHint {
	h := p.agents[b.index].LoadHint(now)
	h.BackendServer, h.Leaving = b.name, b.leaving
	return h
}

func (p *adaptive) hint(now time.Duration, b *backend, h message.LoadHint) {
	kind := 0
	if b.plain {
		kind = 1
	}
	for _, pair := range p.entries {
		pair[kind].Hint(now, h, p.run.reportLag)
	}
}

func (p *adaptive) tick(now time.Duration) {
	for _, b := range p.run.backends {
		e := b.engine
		p.apply(now, b, p.agents[b.index].EngineLoad(now, admission.Load{
			FreeBlocks: e.free, TotalBlocks: e.cfg.blocks, Preemptions: e.preemptions,
		}))
		p.apply(now, b, p.agents[b.index].Tick(now))
	}
}

func (p *adaptive) lost(now time.Duration, b *backend, rs []*request) {
	// The agent runs on the same host, so its queue and what it learned are gone.
	p.agents[b.index] = p.newAgent(b)
	for _, q := range rs {
		delete(p.byID, q.execution())
		p.outcome(now, b, q, placement.Failed, 0, 0)
		p.ended(now, q, verdict.New(verdict.MayHaveRun, verdict.ReasonBackendCrashed, "crashed"))
	}
}

func (p *adaptive) members(now time.Duration) {
	for i, pair := range p.entries {
		pair[0].SetServers(now, p.run.servers(p.run.generation, i))
		pair[1].SetServers(now, p.run.servers(p.run.plainOnes, i))
	}
}
