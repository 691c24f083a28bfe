package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/placement"
	"go.uber.org/zap"
)

// attempt sends the request to another server, unless a part of its prompt is held back, the
// service has no room for it or the entry stops too soon.
func (x *exchange) attempt(ctx context.Context) (backend.Server, *upstream, dispatch.Result, error) {
	if x.partHeld() {
		return backend.Server{}, nil, dispatch.NoServer, nil
	}
	if result, ok := x.takeRoom(ctx); !ok {
		return backend.Server{}, nil, result, nil
	}
	server, reservation, ok := x.place(ctx)
	if !ok {
		return server, nil, dispatch.NoServer, nil
	}
	if x.partHeld() {
		x.reportResult(server.ID, placement.NotSent)
		return backend.Server{}, nil, dispatch.NoServer, nil
	}
	if x.outlastsDrain() {
		x.reportResult(server.ID, placement.NotSent)
		return backend.Server{}, nil, dispatch.Outlasting, nil
	}
	if x.g.notices.resting(server.ID) {
		// The server asked for rest while the request was being placed.
		x.tried = append(x.tried, server.ID)
		return server, nil, dispatch.NotSent, nil
	}
	x.tried = append(x.tried, server.ID)
	f := x.forwardMetadata(server)
	f.Reservation, x.reservation = reservation, reservation
	x.sentAt = time.Now()
	x.late = x.watchLate(server)
	u, result, err := x.send(ctx, server, f, x.permitUntil)
	x.withheld = errors.Is(err, errEvacuated) || errors.Is(err, errPermitEnded)
	cause := crossingCall
	if x.route.Kind == desired.Stream {
		cause = crossingGeneration
	}
	x.g.countCrossing(u, cause)
	if result == dispatch.Lost && x.route.Kind == desired.Stream && x.g.options.Locator != nil && ctx.Err() == nil {
		// The server may have moved the generation away before its first event.
		next, resumeErr := x.resume(ctx, server)
		if resumeErr == nil {
			x.g.metrics.streamsResumed.Add(1)
			u.discard()
			return next.server, next, dispatch.Answered, nil
		}
	}
	return server, u, result, err
}

// send sends the request to a server and waits for the head of the response.
func (x *exchange) send(ctx context.Context, server backend.Server, f ForwardMetadata, permitUntil time.Duration) (
	*upstream, dispatch.Result, error) {
	// The service may be declared otherwise by the end of the response.
	watched := x.g.hasAgent(x.service, server)
	u, result, err := x.g.send(ctx, server, x.r, f, permitUntil)
	if u != nil {
		u.watched, u.eventsBefore = watched, x.position.events
	}
	return u, result, err
}

// maxReserveAttempts is the number of servers asked for memory before the next
// delay.
const maxReserveAttempts = 4

// reserveTimeout bounds the time from the arrival of a request, without its wait for room, during
// which its reservation is retried, with delays of one to two times reserveRetryDelay.
const (
	reserveTimeout    = 1200 * time.Millisecond
	reserveRetryDelay = 40 * time.Millisecond
)

// place chooses a server and returns the name of a reservation there, if any. For a
// generation it reserves memory first, because load reports are stale when they
// arrive and all entries read the same ones. If no server has enough free memory,
// the generation queues at the first choice. A server with a limit, or with a low rate while it
// is cold, gets the generation without a reservation, which would count against the limit too, and
// so does the one server to which a suspected part isolates it.
func (x *exchange) place(ctx context.Context) (backend.Server, string, bool) {
	query := placement.Query{Priority: x.priority, Blocks: x.blocks, Exclude: append([]string(nil), x.tried...),
		IsolationKey: x.g.parts.isolationKey(x.metadata.Parts)}
	if query.IsolationKey == "" {
		x.probe = x.probeTarget(ctx)
		query.Probe = x.probe
	}
	first, limited, ok := x.chooseServer(ctx, query)
	if !ok || limited || query.IsolationKey != "" || !x.needsReservation() {
		return first, "", ok
	}
	server, asked := first, 0
	for {
		reservation, err := x.g.options.Reserver.Reserve(ctx, server, x.reservedTokens())
		x.g.observeNotice(server, reservation.Notice)
		if err == nil && reservation.Name != "" && x.permitReserved(ctx, server) {
			if server.ID != first.ID {
				x.reportResult(first.ID, placement.Canceled)
			}
			return server, reservation.Name, true
		}
		if asked++; asked == 1 || err != nil {
			x.logger.Info("no room at a backend server", zap.String("backend_server", server.ID),
				zap.Int("tokens", x.reservedTokens()), zap.Error(err))
		}
		if server.ID != first.ID {
			x.reportResult(server.ID, placement.Canceled)
		}
		query.Exclude = append(query.Exclude, server.ID)
		if len(query.Exclude)-len(x.tried) < maxReserveAttempts {
			if server, limited, ok = x.chooseServer(ctx, query); ok && limited {
				x.reportResult(first.ID, placement.Canceled)
				return server, "", true
			}
			if ok {
				continue
			}
		}
		if ctx.Err() != nil || time.Since(x.r.arrived)-x.room.wait > reserveTimeout {
			x.logger.Info("generation queues without a reservation", zap.String("backend_server", first.ID),
				zap.Int("servers_asked", asked))
			return x.placeUnreserved(ctx, first, query)
		}
		time.Sleep(reserveRetryDelay + time.Duration(x.g.random()*float64(reserveRetryDelay)))
		query.Exclude = append([]string(nil), x.tried...)
		if server, limited, ok = x.chooseServer(ctx, query); !ok {
			return x.placeUnreserved(ctx, first, query)
		}
		if limited {
			x.reportResult(first.ID, placement.Canceled)
			return server, "", true
		}
	}
}

// placeUnreserved returns first, or another server if first has named a limit
// meanwhile that is used up, or rests.
func (x *exchange) placeUnreserved(ctx context.Context, first backend.Server, query placement.Query) (
	backend.Server, string, bool) {
	if x.g.checkEvacuated(first, false) == nil && x.g.notices.admit(first.ID) {
		if permitted, _ := x.permit(ctx, first); permitted {
			return first, "", true
		}
	}
	x.reportResult(first.ID, placement.NotSent)
	query.Exclude = append(slices.Clone(x.tried), first.ID)
	server, _, ok := x.chooseServer(ctx, query)
	return server, "", ok
}

// chooseServer returns a server that may get the request now, and whether it has a
// limit. It returns false if there is none, and then x.limitedServers are the servers
// whose limits are used up, and x.restingServers those that rest.
func (x *exchange) chooseServer(ctx context.Context, query placement.Query) (server backend.Server, limited, ok bool) {
	query.Exclude = slices.Clone(query.Exclude)
	x.limitedServers, x.restingServers = nil, nil
	exclude := func(list *[]string, ids ...string) {
		for _, id := range ids {
			if !slices.Contains(*list, id) {
				*list = append(*list, id)
			}
		}
		query.Exclude = append(query.Exclude, ids...)
	}
	for {
		exclude(&x.limitedServers, slices.DeleteFunc(x.g.limits.waiting(x.service), x.wasTried)...)
		exclude(&x.limitedServers, slices.DeleteFunc(x.g.cold.waiting(x.service), x.wasTried)...)
		exclude(&x.restingServers, x.g.notices.waiting(x.service)...)
		server, ok = x.g.services.choose(x.g.elapsed(), x.service, query)
		if !ok {
			return server, false, false
		}
		if !x.g.notices.admit(server.ID) {
			x.reportResult(server.ID, placement.NotSent)
			exclude(&x.restingServers, server.ID)
			continue
		}
		permitted, limited := x.permit(ctx, server)
		if x.g.checkEvacuated(server, false) != nil {
			x.reportResult(server.ID, placement.NotSent)
			query.Exclude = append(query.Exclude, server.ID)
			continue
		}
		if permitted {
			return server, limited, true
		}
		x.reportResult(server.ID, placement.NotSent)
		exclude(&x.limitedServers, server.ID)
	}
}

// wasTried reports whether the request was sent to a server already.
func (x *exchange) wasTried(id string) bool { return slices.Contains(x.tried, id) }

// needsReservation reports whether memory is reserved for the request.
func (x *exchange) needsReservation() bool {
	if x.g.options.Reserver == nil || x.route.Kind != desired.Stream || x.metadata.PromptTokens == 0 {
		return false
	}
	t := x.g.table()
	service := t.Service(x.service)
	return service != nil && service.Engine != nil && service.Engine.CanReserve
}

// reserveFactor is the ratio of the reserved to the predicted output length. Half of
// the outputs exceed the prediction, and an engine preempts generations that outgrow
// their reservation. With 0.6, more generations start in time, but 1.7 times as many
// prompt tokens are prefilled again after preemptions.
const reserveFactor = 1.5

// reservedTokens returns the memory to reserve for the generation, in tokens.
func (x *exchange) reservedTokens() int {
	outputTokens := int(float64(x.expectedTokens) * reserveFactor)
	if x.metadata.MaxTokens > 0 {
		outputTokens = min(outputTokens, x.metadata.MaxTokens)
	}
	return x.metadata.PromptTokens + outputTokens
}
