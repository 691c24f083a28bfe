package evacuate

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

// WhereaboutsRequest asks to which server a generation was moved.
type WhereaboutsRequest struct{ Run string }

// WhereaboutsReply holds the address of the server and the name of the copy, if Found
// is set.
type WhereaboutsReply struct {
	Found         bool
	Address, Copy string
}

// service is the net/rpc service of an Agent.
type service struct{ agent *Agent }

// Whereabouts returns where a generation was moved. It waits for a move in progress,
// up to locateTimeout.
func (s *service) Whereabouts(request *WhereaboutsRequest, reply *WhereaboutsReply) error {
	a := s.agent
	a.mu.Lock()
	state := a.moves[request.Run]
	a.mu.Unlock()
	if state == nil {
		a.logLocate(request.Run, "not moved")
		return nil
	}
	timer := time.NewTimer(locateTimeout)
	defer timer.Stop()
	select {
	case <-state.done:
	case <-timer.C:
		a.logLocate(request.Run, "move in progress")
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Found, reply.Address, reply.Copy = state.copy != "", state.address, state.copy
	if reply.Found {
		a.logLocate(request.Run, "moved")
	} else {
		a.logLocate(request.Run, "move failed")
	}
	return nil
}

// logLocate logs and counts the reply to a question for a generation.
func (a *Agent) logLocate(run, reply string) {
	a.metrics.locateReplies.Add(reply, 1)
	a.options.Logger.Info("asked where a generation was moved", zap.String("request_id", run), zap.String("reply", reply))
}

// Locator asks the agents of servers what became of generations.
// It implements gateway.Locator.
type Locator struct {
	Pool *wire.Pool
	// AgentAddress returns the address of the agent of the server at an address.
	AgentAddress func(server string) string
}

// Locate implements gateway.Locator.
func (l *Locator) Locate(ctx context.Context, server backend.Server, generationID string) (
	address, name string, err error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout+reportTimeout)
	defer cancel()
	var reply WhereaboutsReply
	if err := l.Pool.Call(ctx, l.AgentAddress(server.Address), ServiceName+".Whereabouts",
		&WhereaboutsRequest{Run: generationID}, &reply); err != nil {
		return "", "", err
	}
	if !reply.Found {
		return "", "", ErrNotRunning
	}
	return reply.Address, reply.Copy, nil
}
