package gateway

import (
	"math/rand"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/retry"
	"arbutusmast.example/arbutusmast/fleet"
)

const (
	// blockTokens is the unit of memory in which servers are compared.
	blockTokens = 64
	// plainBlocks is the capacity in blocks of one slot of a plain service.
	plainBlocks = 16
	// goneLife is how long a server that answered as another one is avoided. The
	// list shows the change within its lag.
	goneLife = 3 * time.Second
	// engineSpill is the used share of memory from which generations also go to
	// other failure domains. It is low, because a reclaimed engine can move only
	// some five generations away within its notice.
	engineSpill = 0.2
	plainSpill  = 0.6
	// choices is the number of servers compared; domains have three or four.
	choices = 8
	// slowStart is the time over which a new server reaches its full share.
	slowStart = time.Second
)

// serviceSet holds what this entry knows of the servers of each service.
type serviceSet struct {
	options *Options
	mu      sync.Mutex
	byName  map[string]*service
	servers map[string]backend.Server
	// gone are servers whose address answers as another one, until a time.
	gone map[string]time.Duration
}

// service is the state of one service. The lock of its set guards it.
type service struct {
	place  *placement.Machine
	budget *retry.Budget
	slots  int
}

func (s *serviceSet) init(options *Options) {
	s.options = options
	s.byName, s.servers, s.gone = map[string]*service{}, map[string]backend.Server{}, map[string]time.Duration{}
}

// get returns the state of a service. The lock is held.
func (s *serviceSet) get(name string) *service {
	svc := s.byName[name]
	if svc == nil {
		spill := plainSpill
		if t := s.options.Fleet.View().Table; t != nil && t.Service(name) != nil && t.Service(name).Engine != nil {
			spill = engineSpill
		}
		svc = &service{
			place: placement.New(placement.Config{Entry: s.options.Name, SlowStart: slowStart, SpillScore: spill, Choices: choices},
				rand.New(rand.NewSource(time.Now().UnixNano()))),
			budget: retry.NewBudget(s.options.RetryRatio, s.options.RetrySlack, s.options.RetryWindow),
		}
		s.byName[name] = svc
	}
	return svc
}

// update takes a new copy of the fleet's state.
func (s *serviceSet) update(now time.Duration, v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = make(map[string]backend.Server, len(v.Servers))
	lists := map[string][]placement.Server{}
	for name := range s.byName {
		lists[name] = nil
	}
	for _, server := range v.Servers {
		s.servers[server.ID] = server
		lists[server.Service] = append(lists[server.Service], placement.Server{
			Name: server.ID, Distance: s.options.Regions.Distance(s.options.FailureDomain, server.FailureDomain),
			Blocks: blocksOf(v.Table, server), Leaving: server.Leaving,
		})
	}
	for name, list := range lists {
		svc := s.get(name)
		svc.place.SetServers(now, list)
		svc.slots = 0
		for _, server := range list {
			if !server.Leaving {
				svc.slots += s.servers[server.Name].Slots
			}
		}
	}
	for _, server := range v.Servers {
		report, ok := v.Reports[server.Address]
		if !ok || report.Load.TotalTokens == 0 {
			continue
		}
		s.byName[server.Service].place.Hint(now, message.LoadHint{
			BackendServer: server.ID, Running: report.Load.Running, Waiting: report.Load.Waiting,
			FreeBlocks:  max(0, report.Load.TotalTokens-report.Load.UsedTokens) / blockTokens,
			TotalBlocks: report.Load.TotalTokens / blockTokens,
			QueueDelay:  time.Duration(report.Load.Waiting) * queueDelayEach,
		}, reportAge)
	}
	for id, until := range s.gone {
		if now > until {
			delete(s.gone, id)
		}
	}
}

const (
	// queueDelayEach is the wait that one generation without its first event
	// stands for: a prompt of 3,000 tokens takes about 0.4 s between the tokens
	// of others, and prompts at one engine share that time.
	queueDelayEach = 400 * time.Millisecond
	// plainDelayEach is the work of one queued plain request.
	plainDelayEach = 30 * time.Millisecond
	// reportAge is about how old a report is when it arrives through the control
	// group.
	reportAge = 200 * time.Millisecond
)

func blocksOf(t *desired.Table, server backend.Server) int {
	if t != nil {
		if declared := t.Service(server.Service); declared != nil && declared.Engine != nil {
			return declared.Engine.MemoryTokens / blockTokens
		}
	}
	return server.Slots * plainBlocks
}

// choose returns a server for a request.
func (s *serviceSet) choose(now time.Duration, name string, q placement.Query) (backend.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.gone {
		if now <= until {
			q.Exclude = append(q.Exclude, id)
		}
	}
	id, ok := s.get(name).place.Choose(now, q)
	if !ok {
		return backend.Server{}, false
	}
	return s.servers[id], true
}

// report takes the outcome of a request that choose placed.
func (s *serviceSet) report(now time.Duration, name string, o placement.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(name).place.Report(now, o)
}

// hint takes the load that a server told with a response.
func (s *serviceSet) hint(now time.Duration, server backend.Server, load backend.Load) {
	if server.Slots == 0 {
		return
	}
	if t := s.options.Fleet.View().Table; t != nil && t.Service(server.Service) != nil && t.Service(server.Service).Engine != nil {
		// An engine's load is its memory, which its agent reports.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(server.Service).place.Hint(now, message.LoadHint{
		BackendServer: server.ID, Running: load.Running, Waiting: load.Waiting,
		FreeBlocks: max(0, server.Slots-load.Running) * plainBlocks, TotalBlocks: server.Slots * plainBlocks,
		QueueDelay: time.Duration(load.Waiting) * plainDelayEach,
	}, 0)
}

// avoid keeps requests off a server whose address answers as another one.
func (s *serviceSet) avoid(now time.Duration, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[id] = now + goneLife
}

// byAddress returns the server at an address.
func (s *serviceSet) byAddress(address string) (backend.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.Address == address {
			return server, true
		}
	}
	return backend.Server{}, false
}

// leaves tells whether a server was told to leave.
func (s *serviceSet) leaves(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id].Leaving
}

// budgeted calls a function with the retry budget of a service.
func (s *serviceSet) budgeted(name string, do func(*retry.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.get(name).budget)
}
