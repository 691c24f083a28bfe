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
	// evacuated is set if the failure domain of the server's host is evacuated.
	evacuated bool
	// query is the query that the server was chosen for.
	query placement.Query
}

// placer chooses backend servers. It keeps one balancer for each service and
// follows configuration and membership.
type placer struct {
	fleet         Fleet
	failureDomain string
	startedAt     time.Time

	mu                 sync.Mutex
	config             *contract.Config
	membersFingerprint uint64
	evacuationRevision uint64
	balancers          map[string]*placement.Balancer
	targets            map[string]target
}

func newPlacer(fleet Fleet, failureDomain string) *placer {
	return &placer{
		fleet: fleet, failureDomain: failureDomain, startedAt: time.Now(), balancers: map[string]*placement.Balancer{},
	}
}

func (p *placer) now() time.Duration { return time.Since(p.startedAt) }

// fingerprint returns a hash of the members that changes if a member changes in a
// way that affects placement.
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

// refresh applies a changed configuration, membership or set of evacuated failure
// domains to the balancers. p.mu must be held.
func (p *placer) refresh() {
	config, members := p.fleet.Config(), p.fleet.Members()
	// Read after the members, so that the set is never older than they are.
	evacuations := evacuationsOf(p.fleet)
	membersFingerprint := fingerprint(members)
	if config == p.config && membersFingerprint == p.membersFingerprint &&
		evacuations.Revision == p.evacuationRevision {
		return
	}
	p.config, p.membersFingerprint, p.evacuationRevision = config, membersFingerprint, evacuations.Revision
	p.targets = findTargets(config, members, evacuations)
	domains := domainMap(config)
	serversByService := map[string][]placement.Server{}
	for name, t := range p.targets {
		// Servers of an evacuated failure domain are left out instead of being marked as
		// leaving, because they would take places of the entry's subset, which has a
		// bounded size.
		if t.evacuated {
			continue
		}
		s, m := t.server, t.member
		blocks := s.MemoryBlocks
		if config.Services[s.Service].Kind == contract.KindPlain {
			blocks = s.MaxBatch
		}
		serversByService[s.Service] = append(serversByService[s.Service], placement.Server{
			Name: name, Blocks: blocks, Incarnation: uint64(m.Incarnation),
			Leaving:  s.State != contract.BackendServing || isLeaving(m, name),
			Distance: domains.Distance(p.failureDomain, config.Hosts[s.Host].FailureDomain),
		})
	}
	for service, balancer := range p.balancers {
		balancer.SetServers(p.now(), serversByService[service])
		delete(serversByService, service)
	}
	for service, servers := range serversByService {
		p.balancerFor(service).SetServers(p.now(), servers)
	}
}

func domainMap(config *contract.Config) failuredomain.Map {
	regions := map[string]string{}
	for name, d := range config.FailureDomains {
		regions[name] = d.Region
	}
	return failuredomain.NewMap(regions)
}

// findTargets returns the declared backend servers on hosts that are not dead.
func findTargets(
	config *contract.Config, members []message.Member, evacuations message.EvacuationSet,
) map[string]target {
	hosts := map[string]message.Member{}
	for _, m := range members {
		hosts[m.Host] = m
	}
	targets := map[string]target{}
	for name, s := range config.BackendServers {
		m, known := hosts[s.Host]
		if !known || m.State == message.MemberDead {
			continue
		}
		targets[name] = target{server: s, member: m, evacuated: isEvacuated(config, s, m, evacuations)}
	}
	return targets
}

// isEvacuated reports whether the failure domain of a backend server is evacuated. The
// domain is the one that the configuration declares for the host, and the one that the
// host itself reports: an operator may name either.
func isEvacuated(
	config *contract.Config, s contract.BackendServer, m message.Member, evacuations message.EvacuationSet,
) bool {
	return evacuations.ContainsAny(config.Hosts[s.Host].FailureDomain, m.FailureDomain)
}

// evacuationsOf returns the evacuated failure domains that a Fleet knows.
func evacuationsOf(fleet Fleet) message.EvacuationSet {
	if list, ok := fleet.(EvacuationList); ok {
		return list.Evacuations()
	}
	return message.EvacuationSet{}
}

// isLeaving reports whether the membership marks a backend server or its host as
// leaving.
func isLeaving(m message.Member, server string) bool {
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

func (p *placer) balancerFor(service string) *placement.Balancer {
	b, ok := p.balancers[service]
	if !ok {
		h := p.fleet.Header()
		seed := fnv.New64a()
		seed.Write([]byte(h.Host + "\x00" + service))
		b = placement.New(placement.Config{Entry: h.Host}, rand.New(rand.NewSource(int64(seed.Sum64())+int64(h.Incarnation))))
		p.balancers[service] = b
	}
	return b
}

// choose returns a backend server of a service for a request. The request counts as
// in flight there until its outcome is reported.
func (p *placer) choose(service string, q placement.Query) (target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	name, ok := p.balancerFor(service).Choose(p.now(), q)
	if !ok {
		return target{}, false
	}
	t := p.targets[name]
	t.query = q
	return t, true
}

// noTargetError returns the reason why choose found no backend server: none serves the
// service, all failure domains of the service are evacuated, or no server currently
// accepts requests.
func (p *placer) noTargetError(service string) *verdict.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allEvacuated(service) {
		return verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer,
			"all failure domains of the service are evacuated").WithRetryAfter(retryAfterNoBackend)
	}
	for _, t := range p.targets {
		if t.server.Service == service && t.server.State == contract.BackendServing &&
			!isLeaving(t.member, t.server.Name) && !t.evacuated {
			return verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
				"no backend server takes the request for the moment").WithRetryAfter(retryAfterOverloaded)
		}
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoBackendServer,
		"no backend server serves %q", service).WithRetryAfter(retryAfterNoBackend)
}

// allEvacuated reports whether a service has backend servers and all of them are in
// evacuated failure domains. Servers on dead hosts count, because their failure domain
// may return. p.mu must be held.
func (p *placer) allEvacuated(service string) bool {
	if p.config == nil {
		return false
	}
	evacuations, evacuated := evacuationsOf(p.fleet), false
	for name, s := range p.config.BackendServers {
		if s.Service != service {
			continue
		}
		if !isEvacuated(p.config, s, p.targets[name].member, evacuations) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// report records the outcome of a placed request.
func (p *placer) report(t target, result placement.Result, firstToken, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancerFor(t.server.Service).Report(p.now(), placement.Outcome{
		Server: t.server.Name, Result: result, Blocks: t.query.Blocks, Priority: t.query.Priority,
		FirstToken: firstToken, RetryAfter: retryAfter,
	})
}

// reportFailure records the failure of a placed request.
func (p *placer) reportFailure(t target, failure *verdict.Error) {
	p.report(t, placementResult(failure), 0, failure.RetryAfter)
}

// placementResult classifies a failure as a refusal, as a failure of the backend
// server, or as canceled if it says nothing about the server.
func placementResult(failure *verdict.Error) placement.Result {
	switch failure.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonQueueFull, verdict.ReasonLeaving, verdict.ReasonWrongIncarnation:
		return placement.Refused
	case verdict.ReasonSuspectWaits, verdict.ReasonBackendCrashed:
		// ReasonSuspectWaits concerns only the request. A crash is one event that fails
		// all requests in flight, so it must not count once for each; the next start
		// shows whether the server has recovered.
		return placement.Canceled
	case verdict.ReasonCanceled, verdict.ReasonSlowReader, verdict.ReasonSuperseded, verdict.ReasonDeadline,
		verdict.ReasonQuarantined, verdict.ReasonInvalid:
		return placement.Canceled
	}
	return placement.Failed
}

// observeLoad passes a load hint of an agent to the balancer of its
// service.
func (p *placer) observeLoad(hint message.LoadHint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.targets[hint.BackendServer]; ok {
		p.balancerFor(t.server.Service).Hint(p.now(), hint, 0)
	}
}
