package gateway

import (
	"maps"
	"math/rand"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/retry"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"arbutusmast.example/arbutusmast/fleet"
)

const (
	// blockTokens is the number of tokens in a block, the unit of memory in which
	// servers are compared.
	blockTokens = 64
	// plainBlocks is the capacity in blocks of one slot of a plain service, which is
	// one without engines.
	plainBlocks = 16
	// avoidDuration is how long a server is avoided after another instance responded
	// at its address. The server list shows the change within this time.
	avoidDuration = 3 * time.Second
	// engineSpillScore is the fraction of memory in use above which generations also
	// go to other failure domains. It is low, because an engine that is reclaimed can
	// move only about five generations away within its notice.
	engineSpillScore = 0.2
	plainSpillScore  = 0.6
	// placementChoices is the number of servers compared for each request; failure
	// domains have three or four.
	placementChoices = 8
	// loadRenewInterval is the time after which loads that were not published again are
	// taken to be unchanged.
	loadRenewInterval = 500 * time.Millisecond
	// slowStart is the time over which a new server ramps up to its full share of
	// requests.
	slowStart = time.Second
)

// serviceSet holds the placement state of all services and the known servers.
type serviceSet struct {
	options *Options
	notices *noticeBoard
	mu      sync.Mutex
	byName  map[string]*service
	servers map[string]backend.Server
	// table, listed and evacuations are those of the view from which servers was made.
	table       *desired.Table
	listed      []backend.Server
	evacuations map[string]time.Duration
	// byAddress are the servers by address, and loadsAppliedAt is when their loads were
	// last passed to placement.
	byAddress      map[string]backend.Server
	loadsAppliedAt time.Duration
	// avoidUntil maps the ids of servers at whose address another instance responds
	// to the end of the time for which they are avoided.
	avoidUntil map[string]time.Duration
}

// service is the placement state of one service. The mutex of its serviceSet guards
// it.
type service struct {
	placement   *placement.Balancer
	retryBudget *retry.Budget
}

func (s *serviceSet) init(options *Options, notices *noticeBoard) {
	s.options, s.notices = options, notices
	s.byName, s.servers, s.avoidUntil = map[string]*service{}, map[string]backend.Server{}, map[string]time.Duration{}
}

// get returns the state of a service, creating it if needed. The caller must hold
// s.mu.
func (s *serviceSet) get(name string) *service {
	svc := s.byName[name]
	if svc == nil {
		spillScore := plainSpillScore
		if t := s.options.Fleet.View().Table; t != nil && t.Service(name) != nil && t.Service(name).Engine != nil {
			spillScore = engineSpillScore
		}
		svc = &service{
			placement: placement.New(
				placement.Config{Entry: s.options.Name, SlowStart: slowStart, SpillScore: spillScore, Choices: placementChoices},
				rand.New(rand.NewSource(time.Now().UnixNano()))),
			retryBudget: retry.NewBudget(s.options.RetryRatio, s.options.RetrySlack, s.options.RetryWindow),
		}
		s.byName[name] = svc
	}
	return svc
}

// update applies a new view of the fleet.
func (s *serviceSet) update(now time.Duration, v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != v.Table || !sameSlice(s.listed, v.Servers) || !maps.Equal(s.evacuations, v.Evacuations) {
		s.table, s.listed, s.evacuations = v.Table, v.Servers, v.Evacuations
		s.updateServers(now, v)
	}
	for name, svc := range s.byName {
		svc.placement.SetStandings(now, v.Standings[name])
	}
	s.applyLoads(now, v)
	for id, until := range s.avoidUntil {
		if now > until {
			delete(s.avoidUntil, id)
		}
	}
}

// applyLoads passes the reported loads to placement. The caller holds s.mu.
func (s *serviceSet) applyLoads(now time.Duration, v *fleet.View) {
	s.loadsAppliedAt = now
	for address, report := range v.Reports {
		server, listed := s.byAddress[address]
		if !listed || report.Load.TotalTokens == 0 {
			continue
		}
		s.byName[server.Service].placement.Hint(now, message.LoadHint{
			BackendServer: server.ID, Running: report.Load.Running, Waiting: report.Load.Waiting,
			FreeBlocks:  max(0, report.Load.TotalTokens-report.Load.UsedTokens) / blockTokens,
			TotalBlocks: report.Load.TotalTokens / blockTokens,
			QueueDelay:  time.Duration(report.Load.Waiting) * engineQueueDelay,
		}, reportAge)
	}
}

// renewLoads applies the known loads again if none were published lately: the group
// publishes only loads that changed, so the others are as recent as the contact to it. The
// caller holds s.mu.
func (s *serviceSet) renewLoads(now time.Duration) {
	if now-s.loadsAppliedAt < loadRenewInterval {
		return
	}
	if age, ok := s.options.Fleet.ConfirmedAge(); ok && age < loadRenewInterval {
		s.applyLoads(now, s.options.Fleet.View())
	}
}

// sameSlice reports whether two lists are one. Lists in views are never changed.
func sameSlice(a, b []backend.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// updateServers replaces the servers of all services. Placement chooses none of evacuated
// failure domains; s.servers keeps them as they are, because they stay up, and
// their failures count as evidence. The caller holds s.mu.
func (s *serviceSet) updateServers(now time.Duration, v *fleet.View) {
	s.servers, s.byAddress = make(map[string]backend.Server, len(v.Servers)), make(map[string]backend.Server, len(v.Servers))
	lists := map[string][]placement.Server{}
	for name := range s.byName {
		lists[name] = nil
	}
	for _, server := range v.Servers {
		s.servers[server.ID], s.byAddress[server.Address] = server, server
		lists[server.Service] = append(lists[server.Service], placement.Server{
			Name: server.ID, Distance: s.options.Regions.Distance(s.options.FailureDomain, server.FailureDomain),
			Blocks: declaredBlocks(v.Table, server), Leaving: server.Leaving || s.notices.saysLeaving(server.ID),
			Evacuated: v.IsEvacuated(server.FailureDomain),
		})
	}
	for name, list := range lists {
		s.get(name).placement.SetServers(now, list)
	}
}

const (
	// engineQueueDelay is the queue delay for each generation without its first
	// event: prefilling a prompt of 3,000 tokens while other generations decode takes
	// about 0.4 s, and prompts at one engine share the prefill capacity.
	engineQueueDelay = 400 * time.Millisecond
	// plainQueueDelay is the queue delay for each queued plain request.
	plainQueueDelay = 30 * time.Millisecond
	// reportAge is the approximate age of a load report when it arrives through the
	// control group.
	reportAge = 200 * time.Millisecond
)

// declaredBlocks returns the capacity of a server in blocks.
func declaredBlocks(t *desired.Table, server backend.Server) int {
	if t != nil {
		if declared := t.Service(server.Service); declared != nil && declared.Engine != nil {
			return declared.Engine.MemoryTokens / blockTokens
		}
	}
	return server.Slots * plainBlocks
}

// choose returns a server for a request, and false if there is none.
func (s *serviceSet) choose(now time.Duration, name string, q placement.Query) (backend.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.avoidUntil {
		if now <= until {
			q.Exclude = append(q.Exclude, id)
		}
	}
	s.renewLoads(now)
	id, ok := s.get(name).placement.Choose(now, q)
	if !ok {
		return backend.Server{}, false
	}
	return s.servers[id], true
}

// reportOutcome records the outcome of a request that choose placed.
func (s *serviceSet) reportOutcome(now time.Duration, name string, o placement.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(name).placement.Report(now, o)
}

// observe records evidence against a server without ending the request.
func (s *serviceSet) observe(now time.Duration, name string, o placement.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(name).placement.Observe(now, o, true)
}

// state returns whether a server is known to fail.
func (s *serviceSet) state(now time.Duration, name, server string) serverhealth.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(name).placement.State(now, server)
}

// probeDue returns a failing or suspected server of a service that may get a probe, "" if there is none.
func (s *serviceSet) probeDue(name string, exclude []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(name).placement.ProbeDue(exclude)
}

// observeLoad records the load that a server reported with a response.
func (s *serviceSet) observeLoad(now time.Duration, server backend.Server, load backend.Load) {
	if server.Slots == 0 {
		return
	}
	if t := s.options.Fleet.View().Table; t != nil && t.Service(server.Service) != nil &&
		t.Service(server.Service).Engine != nil {
		// The load of an engine is its memory usage, which its agent reports.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(server.Service).placement.Hint(now, message.LoadHint{
		BackendServer: server.ID, Running: load.Running, Waiting: load.Waiting,
		FreeBlocks: max(0, server.Slots-load.Running) * plainBlocks, TotalBlocks: server.Slots * plainBlocks,
		QueueDelay: time.Duration(load.Waiting) * plainQueueDelay,
	}, 0)
}

// avoid excludes a server from placement after another instance responded at its
// address.
func (s *serviceSet) avoid(now time.Duration, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[id] = now + avoidDuration
}

// at returns the server at an address, and false if there is none.
func (s *serviceSet) at(address string) (backend.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.byAddress[address]
	return server, ok
}

// isLeaving reports whether a server has been told to leave, or says that it leaves.
func (s *serviceSet) isLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id].Leaving || s.notices.saysLeaving(id)
}

// setLeaving gives no more requests to a server that said that it leaves.
func (s *serviceSet) setLeaving(server backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(server.Service).placement.SetLeaving(server.ID)
}

// withRetryBudget calls f with the retry budget of a service while holding s.mu.
func (s *serviceSet) withRetryBudget(name string, f func(*retry.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.get(name).retryBudget)
}
