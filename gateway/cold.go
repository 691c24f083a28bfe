package gateway

import (
	"context"
	"net/http"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
)

// errPermitEnded is returned for a request that is not sent, because its permit ended before
// the connection to the server was established.
var errPermitEnded = errors.New("the permit ended before the request was sent")

// coldTimes holds until when servers are cold.
type coldTimes struct {
	// until holds the servers that are cold.
	until map[string]time.Duration
	// view is the last view, nil before the first. assumed holds until when servers count as cold
	// because the evacuation of their failure domain ended, or because they took no connection.
	view    *fleet.View
	assumed map[string]time.Duration
}

// evacuationEnded reports whether the evacuation of a failure domain ended between the last view
// and v. An entry that was cut off or suspended learns of the beginning and the end at once.
func (c *coldTimes) evacuationEnded(v *fleet.View, domain string) bool {
	if c.view == nil || v.IsEvacuated(domain) {
		return false
	}
	return c.view.IsEvacuated(domain) || c.view.EndedEvacuations[domain] != v.EndedEvacuations[domain]
}

// newColdLimiter returns the limiter for servers that are cold.
func newColdLimiter(options *Options) *limiter {
	l := &limiter{source: options.Permits, entry: options.Name, logger: options.Logger, gate: serverlimit.NewGate(),
		servers: map[string]*limitedServer{}, metrics: limitMetrics{
			limitedServers: options.Metrics.Counters("gateway_cold_servers_count", maxServices),
			refused:        options.Metrics.Counters("gateway_cold_refused_total", maxServices),
			permitRequests: options.Metrics.Counter("gateway_cold_permit_requests_total"),
		}}
	l.cold = &coldTimes{until: map[string]time.Duration{}, assumed: map[string]time.Duration{}}
	if !options.BoundsColdServers {
		l.source = nil
	}
	return l
}

// endCold forgets the servers that are not cold any more. The caller holds l.mu.
func (l *limiter) endCold(now time.Duration) {
	if l.cold == nil || len(l.cold.until) == 0 {
		return
	}
	ended := false
	for id, until := range l.cold.until {
		if until > now {
			continue
		}
		if server := l.servers[id]; server != nil {
			l.merge(id, server.service, serverlimit.Observation{SentAt: now, ReceivedAt: now}, fromCold)
		}
		delete(l.cold.until, id)
		delete(l.servers, id)
		ended = true
	}
	if ended {
		l.gate.Retain(func(id string) bool { return l.servers[id] != nil })
	}
}

// updateCold learns from a view which servers are cold.
func (l *limiter) updateCold(v *fleet.View) {
	if l.source == nil || v.Table == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, c := fleet.SinceBoot(), l.cold
	for id, until := range c.assumed {
		if until <= now {
			delete(c.assumed, id)
		}
	}
	cold := map[string]time.Duration{}
	for _, server := range v.Servers {
		service := v.Table.Service(server.Service)
		if service == nil || service.ColdPerSecond <= 0 {
			continue
		}
		if c.evacuationEnded(v, server.FailureDomain) {
			c.assumed[server.ID] = max(c.assumed[server.ID], now+service.ColdStart)
		}
		until := max(server.ColdUntil, c.assumed[server.ID])
		if until <= now {
			continue
		}
		cold[server.ID] = until
		l.merge(server.ID, server.Service, serverlimit.Observation{Limited: true, PerSecond: service.ColdPerSecond,
			SentAt: now, ReceivedAt: now}, fromCold)
	}
	for id := range c.until {
		if cold[id] == 0 {
			cold[id] = now
		}
	}
	c.until, c.view = cold, v
	l.endCold(now)
}

// maxListDelay is the time after which a server that started again is in the list of this
// entry: the platform's list lags by up to 0.8 s, and is read and handed out after that.
const maxListDelay = 1500 * time.Millisecond

// assumeCold makes a server that took no connection count as cold, because it may start again
// and get requests before the list shows it.
func (l *limiter) assumeCold(server backend.Server, v *fleet.View) {
	if l.source == nil || v.Table == nil {
		return
	}
	service := v.Table.Service(server.Service)
	if service == nil || service.ColdPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := fleet.SinceBoot()
	until := now + max(service.ColdStart, maxListDelay)
	l.cold.assumed[server.ID] = until
	l.cold.until[server.ID] = max(until, l.cold.until[server.ID])
	l.merge(server.ID, server.Service, serverlimit.Observation{Limited: true, PerSecond: service.ColdPerSecond,
		SentAt: now, ReceivedAt: now}, fromCold)
}

// minReservingRate is the rate of a cold server, in requests per second, from which generations
// reserve memory there. The reservation and the generation take a permit each, and at low rates the
// second one comes too late for the reservation.
const minReservingRate = 10

// permit reports whether the request may be sent to a server, and whether the server has a
// limit, or is so cold that it gets no reservations. A cold server with a limit needs a permit
// for each.
func (x *exchange) permit(ctx context.Context, server backend.Server) (permitted, limited bool) {
	x.permitUntil = 0
	permitted, limited, _ = x.g.limits.permit(ctx, server, false)
	if !permitted {
		return false, limited
	}
	permitted, cold, until := x.g.cold.permit(ctx, server, false)
	x.permitUntil = until
	return permitted, limited || cold && !x.reservesAtCold(server)
}

// reservesAtCold reports whether generations reserve memory at a server while it is cold.
func (x *exchange) reservesAtCold(server backend.Server) bool {
	service := x.g.table().Service(server.Service)
	return service != nil && service.ColdPerSecond >= minReservingRate
}

// permitReserved reports whether a generation may be sent to a server that has reserved memory for
// it. A cold server counted the reservation as a request, so the generation needs another permit. A
// reservation that is not used ends by itself.
func (x *exchange) permitReserved(ctx context.Context, server backend.Server) bool {
	if x.permitUntil == 0 {
		return true
	}
	permitted, _, until := x.g.cold.permit(ctx, server, true)
	x.permitUntil = until
	return permitted
}

// permitResume waits until a generation may continue at a server, and returns how long the
// permit is valid, 0 for any time.
func (x *exchange) permitResume(ctx context.Context, server backend.Server) (until time.Duration, err error) {
	if _, ok := x.g.limits.permitResume(ctx, server); !ok {
		return 0, errors.New("the limit of the server with the copy is used up")
	}
	until, ok := x.g.cold.permitResume(ctx, server)
	if !ok {
		return 0, errors.New("the server with the copy is cold, and its permits are used up")
	}
	return until, nil
}

// maxPermitTries bounds the permits that are asked for because the previous one ended before the
// connection to the server was established.
const maxPermitTries = 3

// sendResumed sends a request that continues a generation at a copy, when the server may get it.
func (x *exchange) sendResumed(ctx context.Context, server backend.Server, copyName string) (
	*upstream, dispatch.Result, error) {
	for try := 1; ; try++ {
		permitUntil, err := x.permitResume(ctx, server)
		if err != nil {
			return nil, dispatch.NotSent, err
		}
		f := x.forwardMetadata(server)
		f.Copy, f.LastEventID, f.Priority = copyName, x.position.lastEventID, resumedPriority
		u, result, err := x.send(ctx, server, f, permitUntil)
		if !errors.Is(err, errPermitEnded) || try == maxPermitTries {
			return u, result, err
		}
	}
}

// limited returns those of the servers that have a limit.
func (l *limiter) limited(ids []string) (list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if known, _ := l.gate.Known(id); known.Limited {
			list = append(list, id)
		}
	}
	return list
}

// refuseLimited refuses the request because the limits of servers are used up, or those of
// servers that are cold.
func (x *exchange) refuseLimited() {
	g := x.g
	g.metrics.refused.Add(1)
	text, limiter, ids := "the limits of the backend servers are used up", g.limits, x.limitedServers
	if cold := g.cold.limited(ids); len(cold) > 0 && len(g.limits.limited(ids)) == 0 {
		text, limiter, ids = "the backend servers are cold and get no more requests now", g.cold, cold
	}
	retryAfter, fields := limiter.refusal(x.service, ids, g.random())
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, text, verdict.ReasonOverloaded, retryAfter, fields...)
}
