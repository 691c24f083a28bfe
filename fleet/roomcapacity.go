package fleet

import (
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"arbutusmast.example/arbutusmast/core/serviceroom"
)

// updateRooms gives the ledgers the capacities of the services while this member leads.
func (c *Control) updateRooms(now time.Duration) {
	if c.rooms == nil {
		return
	}
	table := c.declaredTable()
	if table == nil || !c.servers.isLoaded() {
		return
	}
	domains, _ := c.evacuatedDomains()
	failing := map[string]bool{}
	for _, s := range c.standings.list() {
		for _, status := range s.Servers {
			if status.State == serverhealth.Failing {
				failing[status.Server] = true
			}
		}
	}
	c.rooms.setCapacities(now, c.servers.capacities(table, domains, failing))
}

// capacities returns the memory of each service of engines.
func (l *serverList) capacities(table *desired.Table, evacuated, failing map[string]bool) map[string]serviceroom.Capacity {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacities := map[string]serviceroom.Capacity{}
	for i := range table.State.Services {
		if service := &table.State.Services[i]; service.Engine != nil {
			capacities[service.Name] = serviceroom.Capacity{}
		}
	}
	for id, versioned := range l.servers.values {
		server := versioned.value
		capacity, known := capacities[server.Service]
		if !known {
			continue
		}
		load := l.reports[server.Address].Load
		if load.TotalTokens == 0 {
			// The agent of an engine that is listed but not reported may be lost.
			load = backend.Load{TotalTokens: table.Service(server.Service).Engine.MemoryTokens}
		}
		switch {
		case server.Leaving:
			capacity.Leaving += load.UsedTokens
		case evacuated[server.FailureDomain] || failing[id]:
			// What runs there stays there and gets no more. It is part of the leases, so its memory
			// is part of the total until it ends.
			capacity.Total += load.UsedTokens
		default:
			capacity.Engines++
			capacity.Total += load.TotalTokens
			capacity.Used += load.UsedTokens
			capacity.Fullest = max(capacity.Fullest, load.UsedTokens)
		}
		capacities[server.Service] = capacity
	}
	return capacities
}
