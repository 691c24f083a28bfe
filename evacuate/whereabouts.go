package evacuate

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/wire"
)

// WhereaboutsRequest asks where a generation went.
type WhereaboutsRequest struct{ Run string }

// WhereaboutsReply names the server and the copy, if there is one.
type WhereaboutsReply struct {
	Found         bool
	Address, Copy string
}

type service struct{ agent *Agent }

// Whereabouts answers once a move that is under way has ended.
func (s *service) Whereabouts(request *WhereaboutsRequest, reply *WhereaboutsReply) error {
	a := s.agent
	a.mu.Lock()
	p := a.places[request.Run]
	a.mu.Unlock()
	if p == nil {
		return nil
	}
	timer := time.NewTimer(whereaboutsWait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Found, reply.Address, reply.Copy = p.copy != "", p.address, p.copy
	return nil
}

// Locator asks the agents beside servers. It implements gateway.Locator.
type Locator struct {
	Pool *wire.Pool
	// AgentAddress returns the address of the agent beside a server.
	AgentAddress func(server string) string
}

// Locate implements gateway.Locator.
func (l *Locator) Locate(ctx context.Context, server backend.Server, run string) (address, name string, err error) {
	ctx, cancel := context.WithTimeout(ctx, whereaboutsWait+reportTimeout)
	defer cancel()
	var reply WhereaboutsReply
	if err := l.Pool.Call(ctx, l.AgentAddress(server.Address), ServiceName+".Whereabouts", &WhereaboutsRequest{Run: run}, &reply); err != nil {
		return "", "", err
	}
	if !reply.Found {
		return "", "", ErrNotRunning
	}
	return reply.Address, reply.Copy, nil
}
