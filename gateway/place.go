package gateway

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/placement"
	"go.uber.org/zap"
)

// attempt sends the request to one more server.
func (x *exchange) attempt(ctx context.Context) (backend.Server, *upstream, dispatch.Result, error) {
	server, hold, ok := x.place(ctx)
	if !ok {
		return server, nil, dispatch.NoServer, nil
	}
	x.tried = append(x.tried, server.ID)
	f := x.forward(server)
	f.Reservation = hold
	x.sent = time.Now()
	u, result, err := x.g.send(ctx, server, x.r, f)
	if result == dispatch.Lost && x.route.Kind == desired.Stream && x.g.options.Locator != nil && ctx.Err() == nil {
		// The server may have moved the generation before its first event.
		next, resumeErr := x.resume(ctx, server, noEvent)
		if resumeErr == nil {
			x.g.metrics.resumed.Add(1)
			u.discard()
			return next.server, next, dispatch.Answered, nil
		}
	}
	return server, u, result, err
}

// noEvent is the id before the first event of a stream.
const noEvent = "0"

// maxReserveTries is the number of servers that are asked for room in a row.
const maxReserveTries = 4

// reserveWait bounds the time in which room is looked for again, after pauses
// of about reservePause.
const (
	reserveWait  = 1200 * time.Millisecond
	reservePause = 40 * time.Millisecond
)

// place chooses a server. For a generation it asks the server for room first,
// because reports are old when they arrive and all entries read the same ones.
// Without room anywhere the generation queues at the first choice.
func (x *exchange) place(ctx context.Context) (backend.Server, string, bool) {
	query := placement.Query{Priority: x.prio, Blocks: x.blocks, Exclude: append([]string(nil), x.tried...)}
	first, ok := x.g.services.choose(x.g.elapsed(), x.service, query)
	if !ok || !x.reserves() {
		return first, "", ok
	}
	server, asked := first, 0
	for {
		hold, room, err := x.g.options.Reserver.Reserve(ctx, server, x.tokens())
		if err == nil && room {
			if server.ID != first.ID {
				x.settle(first.ID, placement.Canceled)
			}
			return server, hold, true
		}
		if asked++; asked == 1 || err != nil {
			x.logger.Info("no room at a backend server", zap.String("backend_server", server.ID), zap.Int("tokens", x.tokens()), zap.Error(err))
		}
		if server.ID != first.ID {
			x.settle(server.ID, placement.Canceled)
		}
		query.Exclude = append(query.Exclude, server.ID)
		if len(query.Exclude)-len(x.tried) < maxReserveTries {
			if server, ok = x.g.services.choose(x.g.elapsed(), x.service, query); ok {
				continue
			}
		}
		if ctx.Err() != nil || time.Since(x.r.arrived) > reserveWait {
			x.logger.Info("generation queues without a reservation", zap.String("backend_server", first.ID), zap.Int("servers_asked", asked))
			return first, "", true
		}
		time.Sleep(reservePause + time.Duration(x.g.draw()*float64(reservePause)))
		query.Exclude = append([]string(nil), x.tried...)
		if server, ok = x.g.services.choose(x.g.elapsed(), x.service, query); !ok {
			return first, "", true
		}
	}
}

// reserves tells whether memory is reserved for the request.
func (x *exchange) reserves() bool {
	if x.g.options.Reserver == nil || x.route.Kind != desired.Stream || x.says.PromptTokens == 0 {
		return false
	}
	t := x.g.table()
	service := t.Service(x.service)
	return service != nil && service.Engine != nil && service.Engine.CanReserve
}

// reserveShare is the part of the predicted answer for which memory is reserved.
// Half of the answers exceed the prediction, and an engine preempts those that
// outgrow their reservation. With 0.6 more generations began in time, but 1.7
// times as many tokens were read again.
const reserveShare = 1.5

// tokens is the memory that is reserved for the generation.
func (x *exchange) tokens() int {
	answer := int(float64(x.expected) * reserveShare)
	if x.says.MaxTokens > 0 {
		answer = min(answer, x.says.MaxTokens)
	}
	return x.says.PromptTokens + answer
}
