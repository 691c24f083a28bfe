package entry

import (
	"hash/fnv"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// target is a backend server together with its agent.
type target struct {
	server contract.BackendServer
	member message.Member
	// query is what the server was chosen for.
	query placement.Query
}

// placer chooses backend servers. It keeps one placement machine for each
// service and follows configuration and membership.
type placer struct {
	fleet  Fleet
	domain string
	start  time.Time

	mu       sync.Mutex
	config   *contract.Config
	seen     uint64
	services map[string]*placement.Machine
	targets  map[string]target
}

func newPlacer(fleet Fleet, domain string) *placer {
	return &placer{fleet: fleet, domain: domain, start: time.Now(), services: map[string]*placement.Machine{}}
}

func (p *placer) now() time.Duration { return time.Since(p.start) }

// fingerprint changes when a member changes in a way that matters here.
func fingerprint(members []message.Member) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, m := range members {
		b = append(b[:0], m.Host...)
		b = strconv.AppendUint(b, m.Sequence, 16)
		b = append(b, '.', byte(m.State))
		b = strconv.AppendUint(b, uint64(m.Incarnation), 16)
		for _, s := range m.BackendServers {
			b = strconv.AppendBool(b, s.Leaving)
		}
		h.Write(b)
	}
	return h.Sum64()
}

// follow takes over a changed configuration or membership. The caller holds
// p.mu.
func (p *placer) follow() {
	config, members := p.fleet.Config(), p.fleet.Members()
	seen := fingerprint(members)
	if config == p.config && seen == p.seen {
		return
	}
	p.config, p.seen = config, seen
	regions := map[string]string{}
	for name, d := range config.FailureDomains {
		regions[name] = d.Region
	}
	domains := failuredomain.NewMap(regions)
	hosts := map[string]message.Member{}
	for _, m := range members {
		hosts[m.Host] = m
	}
	p.targets = map[string]target{}
	lists := map[string][]placement.Server{}
	for name, s := range config.BackendServers {
		m, known := hosts[s.Host]
		if !known || m.State == message.MemberDead {
			continue
		}
		p.targets[name] = target{server: s, member: m}
		blocks := s.MemoryBlocks
		if config.Services[s.Service].Kind == contract.KindPlain {
			blocks = s.MaxBatch
		}
		lists[s.Service] = append(lists[s.Service], placement.Server{
			Name: name, Blocks: blocks, Incarnation: uint64(m.Incarnation),
			Leaving:  s.State != contract.BackendServing || memberLeaving(m, name),
			Distance: domains.Distance(p.domain, config.Hosts[s.Host].FailureDomain),
		})
	}
	for service, machine := range p.services {
		machine.SetServers(p.now(), lists[service])
		delete(lists, service)
	}
	for service, list := range lists {
		p.machine(service).SetServers(p.now(), list)
	}
}

// memberLeaving tells whether the membership marks a backend server.
func memberLeaving(m message.Member, server string) bool {
	if m.State == message.MemberLeaving {
		return true
	}
	for _, s := range m.BackendServers {
		if s.Name == server {
			return s.Leaving
		}
	}
	return false
}

func (p *placer) machine(service string) *placement.Machine {
	m, ok := p.services[service]
	if !ok {
		h := p.fleet.Header()
		seed := fnv.New64a()
		seed.Write([]byte(h.Host + "\x00" + service))
		m = placement.New(placement.Config{Entry: h.Host}, rand.New(rand.NewSource(int64(seed.Sum64())+int64(h.Incarnation))))
		p.services[service] = m
	}
	return m
}

// choose returns the backend server of a service for a request and counts the
// request as in flight there until report.
func (p *placer) choose(service string, q placement.Query) (target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow()
	name, ok := p.machine(service).Choose(p.now(), q)
	if !ok {
		return target{}, false
	}
	t := p.targets[name]
	t.query = q
	return t, true
}

// unplaced tells why choose found nothing: no backend server, or none that takes
// work for the moment.
func (p *placer) unplaced(service string) *verdict.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.server.Service == service && t.server.State == contract.BackendServing && !memberLeaving(t.member, t.server.Name) {
			return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "no backend server takes the request for the moment").WithRetryAfter(retryOverloaded)
		}
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer, "no backend server serves %q", service).WithRetryAfter(retryNoBackend)
}

// report tells what became of a placed request.
func (p *placer) report(t target, result placement.Result, firstToken, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machine(t.server.Service).Report(p.now(), placement.Outcome{
		Server: t.server.Name, Result: result, Blocks: t.query.Blocks, Priority: t.query.Priority, FirstToken: firstToken, RetryAfter: retryAfter,
	})
}

// reportFailure ends a placed request that failed.
func (p *placer) reportFailure(t target, failure *verdict.Error) {
	p.report(t, resultOf(failure), 0, failure.RetryAfter)
}

// resultOf tells failures of the backend server from refusals and from those
// that say nothing about it.
func resultOf(failure *verdict.Error) placement.Result {
	switch failure.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonQueueFull, verdict.ReasonLeaving, verdict.ReasonWrongIncarnation:
		return placement.Refused
	case verdict.ReasonSuspectWaits, verdict.ReasonBackendCrashed:
		// The first says something about the request only. The second is one event
		// for all requests in flight, and the next start shows whether the server
		// is back.
		return placement.Canceled
	case verdict.ReasonCanceled, verdict.ReasonSlowReader, verdict.ReasonSuperseded, verdict.ReasonDeadline,
		verdict.ReasonQuarantined, verdict.ReasonInvalid:
		return placement.Canceled
	}
	return placement.Failed
}

// observe takes a load hint from a reply of an agent.
func (p *placer) observe(hint message.LoadHint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.targets[hint.BackendServer]; ok {
		p.machine(t.server.Service).Hint(p.now(), hint, 0)
	}
}
