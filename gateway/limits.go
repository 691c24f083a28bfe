package gateway

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"go.uber.org/zap"
)

// PermitSource grants permits for requests to servers that name a limit, for all
// entries together.
type PermitSource interface {
	AcquirePermits(ctx context.Context, r serverlimit.Request) (serverlimit.Reply, error)
	// ReportLimit reports what an entry learned. It must not block.
	ReportLimit(entry, server string, o serverlimit.Observation)
}

// Sources of what is known about a limit, in logs.
const (
	fromResponse = "response"
	fromControl  = "control_group"
	fromCold     = "cold"
)

// limiter keeps the requests of this entry to servers with limits below them. One limiter is
// for the limits that servers name, and another for the bound of servers that are cold.
type limiter struct {
	source  PermitSource
	entry   string
	logger  *zap.Logger
	metrics limitMetrics

	mu   sync.Mutex
	gate *serverlimit.Gate
	// servers holds the servers that have or had a limit, and those that named a
	// malformed one.
	servers map[string]*limitedServer
	// cold is nil in the limiter for limits that servers name.
	cold *coldTimes
}

// limitedServer is what the limiter logs about one server.
type limitedServer struct {
	service string
	// learnedFrom is the source of the last change.
	learnedFrom string
	// malformedLogged is set after a malformed limit was logged.
	malformedLogged bool
}

// limitMetrics are labeled by service.
type limitMetrics struct {
	limitedServers, refused *observe.Counters
	permitRequests          *expvar.Int
}

// maxServices bounds the number of service labels.
const maxServices = 64

// newLimiter returns the limiter for limits that servers name.
func newLimiter(options *Options) *limiter {
	return &limiter{source: options.Permits, entry: options.Name, logger: options.Logger, gate: serverlimit.NewGate(),
		servers: map[string]*limitedServer{}, metrics: limitMetrics{
			limitedServers: options.Metrics.Counters("gateway_limited_servers_count", maxServices),
			refused:        options.Metrics.Counters("gateway_limit_refused_total", maxServices),
			permitRequests: options.Metrics.Counter("gateway_permit_requests_total"),
		}}
}

// observe records what a response says about the limit of its server. A lost or
// misdirected response may not be the server's, and a refusal need not repeat the
// limit.
func (l *limiter) observe(u *upstream, result dispatch.Result) {
	s := u.metadata.Limit
	if result == dispatch.Lost || u.response.StatusCode == http.StatusMisdirectedRequest ||
		result == dispatch.Refused && !s.Limited && s.Malformed == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Malformed != "" {
		l.logMalformed(u, s.Malformed)
		return
	}
	o := serverlimit.Observation{Limited: s.Limited, PerSecond: s.PerSecond, SentAt: u.sentAt, ReceivedAt: fleet.SinceBoot()}
	if l.merge(u.server.ID, u.server.Service, o, fromResponse) && l.source != nil {
		l.source.ReportLimit(l.entry, u.server.ID, o)
	}
}

// logMalformed logs the first malformed limit of a server. The caller holds l.mu.
func (l *limiter) logMalformed(u *upstream, text string) {
	server := l.server(u.server.ID, u.server.Service)
	if !server.malformedLogged {
		server.malformedLogged = true
		l.logger.Warn("ignored a malformed limit of a backend server", zap.String("backend_server", u.server.ID),
			zap.String("service", u.server.Service), zap.String("limit", text))
	}
}

// server returns the record of a server. The caller holds l.mu.
func (l *limiter) server(id, service string) *limitedServer {
	if l.servers[id] == nil {
		l.servers[id] = &limitedServer{service: service}
	}
	return l.servers[id]
}

// merge merges an observation and logs a change. The caller holds l.mu.
func (l *limiter) merge(id, service string, o serverlimit.Observation, source string) (changed bool) {
	old, _ := l.gate.Known(id)
	if !l.gate.Observe(id, o) {
		return false
	}
	l.server(id, service).learnedFrom = source
	fields := []zap.Field{zap.String("backend_server", id), zap.String("service", service),
		zap.Float64("limit_per_second", o.PerSecond), zap.Float64("previous_per_second", old.PerSecond),
		zap.String("limit_source", source), zap.Duration("limit_age_seconds", fleet.SinceBoot()-o.ReceivedAt)}
	switch {
	case o.Limited && old.Limited:
		l.logger.Info("limit of a backend server changed", fields...)
	case o.Limited:
		l.metrics.limitedServers.Add(service, 1)
		l.logger.Info("limit of a backend server learned", fields...)
	default:
		l.metrics.limitedServers.Add(service, -1)
		l.logger.Info("limit of a backend server ended", fields...)
	}
	return true
}

// update merges the limits of a view and forgets the servers that are no longer in
// its list.
func (l *limiter) update(v *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.servers) == 0 && len(v.Limits) == 0 {
		return
	}
	listed := make(map[string]bool, len(v.Servers))
	for _, server := range v.Servers {
		listed[server.ID] = true
		if o, ok := v.Limits[server.ID]; ok {
			l.merge(server.ID, server.Service, o, fromControl)
		}
	}
	for id, server := range l.servers {
		if listed[id] {
			continue
		}
		if known, _ := l.gate.Known(id); known.Limited {
			l.metrics.limitedServers.Add(server.service, -1)
		}
		delete(l.servers, id)
	}
	l.gate.Retain(func(id string) bool { return listed[id] })
}

// waiting returns the servers of a service that can not get a request now because of
// their limits.
func (l *limiter) waiting(service string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.servers) == 0 {
		return nil
	}
	now := fleet.SinceBoot()
	l.endCold(now)
	var ids []string
	for _, id := range l.gate.Waiting(now) {
		if l.servers[id].service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// permit reports whether a request may be sent to a server, whether the server has a limit, and
// if so how long the permit is valid. It asks for permits if needed.
func (l *limiter) permit(ctx context.Context, server backend.Server, urgent bool) (permitted, limited bool,
	until time.Duration) {
	if l.source == nil {
		return true, false, 0
	}
	id := server.ID
	l.mu.Lock()
	if l.cold != nil && len(l.cold.until) == 0 {
		l.mu.Unlock()
		return true, false, 0
	}
	now := fleet.SinceBoot()
	l.endCold(now)
	decision := l.gate.Take(now, id, urgent)
	known, _ := l.gate.Known(id)
	request := l.gate.Request(now, id, urgent)
	until = l.gate.PermitUntil(id)
	l.mu.Unlock()
	if decision != serverlimit.Ask {
		return decision == serverlimit.Send, known.Limited, until
	}
	l.metrics.permitRequests.Add(1)
	request.Entry = l.entry
	if l.cold != nil {
		request.Known, request.ColdPerSecond = nil, known.PerSecond
	}
	reply, err := l.source.AcquirePermits(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			l.gate.Unreachable(fleet.SinceBoot())
			l.logger.Info("no permit for a backend server", zap.String("backend_server", id), zap.Error(err))
		}
		return false, true, 0
	}
	if reply.Known != nil && l.cold == nil {
		// The age is as of when the reply was made, which was after the request.
		l.merge(id, server.Service, reply.Known.At(now), fromControl)
	}
	permitted = l.gate.Replied(now, fleet.SinceBoot(), id, reply)
	known, _ = l.gate.Known(id)
	if reply.Known != nil && !reply.Known.Limited {
		return permitted, known.Limited, 0
	}
	return permitted, known.Limited, l.gate.PermitUntil(id)
}

// resumePermitTimeout bounds how long a generation that continues at a server with a
// limit waits for a permit. Callers of streams wait longer for the next event.
const resumePermitTimeout = time.Second

// permitResume waits until a generation may continue at a server, and returns how long the
// permit is valid, and false if there is none in time.
func (l *limiter) permitResume(ctx context.Context, server backend.Server) (until time.Duration, ok bool) {
	for start := time.Now(); ; {
		permitted, _, until := l.permit(ctx, server, true)
		if permitted {
			return until, true
		}
		if ctx.Err() != nil || time.Since(start) > resumePermitTimeout {
			return 0, false
		}
		time.Sleep(resumePermitInterval)
	}
}

// resumePermitInterval is the delay between two requests for such a permit.
const resumePermitInterval = 100 * time.Millisecond

// refusal returns when a caller should return that was refused because the limits of
// these servers are used up, and the log fields that describe the limits.
func (l *limiter) refusal(service string, ids []string, jitter float64) (time.Duration, []zap.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.metrics.refused.Add(service, 1)
	now := fleet.SinceBoot()
	var rates, ages []float64
	var sources []string
	for _, id := range ids {
		known, ok := l.gate.Known(id)
		if server := l.servers[id]; ok && server != nil {
			rates, ages = append(rates, known.PerSecond), append(ages, (now-known.ReceivedAt).Seconds())
			sources = append(sources, server.learnedFrom)
		}
	}
	return l.gate.RetryAfter(now, service, ids, jitter), []zap.Field{zap.Strings("limited_servers", ids),
		zap.Float64s("limit_per_second", rates), zap.Float64s("limit_age_seconds", ages), zap.Strings("limit_source", sources)}
}
