package gateway

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/rest"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"go.uber.org/zap"
)

// Notice is what any answer of a backend server says of the server itself.
type Notice struct {
	// Leaving is set if the server leaves.
	Leaving bool
	// Rest is how long the server wants no requests from this entry, 0 for no rest.
	Rest time.Duration
	// MalformedRest is a value that names no rest, empty if there is none.
	MalformedRest string
}

// noticeBoard keeps what servers said of themselves in answers to this entry: that they
// leave, and that they want rest. The list of servers shows the former later, the latter
// not at all.
type noticeBoard struct {
	logger  *zap.Logger
	metrics noticeMetrics

	mu      sync.Mutex
	rests   *rest.Table
	leaving map[string]bool
	// services maps the servers that ever asked for rest to their services.
	services map[string]string
	// startedAt maps the servers with notices to their StartedAt at the last one.
	startedAt map[string]int64
	// malformedLogged holds the servers whose malformed rests were logged.
	malformedLogged map[string]bool
}

// noticeMetrics are labeled by service, but for refused.
type noticeMetrics struct {
	rests, leaving *observe.Counters
	refused        *expvar.Int
}

func newNoticeBoard(options *Options) *noticeBoard {
	return &noticeBoard{logger: options.Logger, rests: rest.NewTable(), leaving: map[string]bool{},
		services: map[string]string{}, startedAt: map[string]int64{}, malformedLogged: map[string]bool{},
		metrics: noticeMetrics{
			rests:   options.Metrics.Counters("gateway_server_rests_total", maxServices),
			leaving: options.Metrics.Counters("gateway_server_leaving_total", maxServices),
			refused: options.Metrics.Counter("gateway_rest_refused_total"),
		}}
}

// observe records a notice of a server, and reports whether the server newly says that it
// leaves.
func (b *noticeBoard) observe(server backend.Server, n Notice) (leaves bool) {
	if n == (Notice{}) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt[server.ID] = server.StartedAt
	fields := []zap.Field{zap.String("backend_server", server.ID), zap.String("service", server.Service)}
	if n.MalformedRest != "" && !b.malformedLogged[server.ID] {
		b.malformedLogged[server.ID] = true
		b.logger.Warn("ignored a malformed rest of a backend server", append(fields, zap.String("value", n.MalformedRest))...)
	}
	if n.Rest > 0 {
		b.services[server.ID] = server.Service
		if !b.rests.Ask(fleet.SinceBoot(), server.ID, n.Rest) {
			b.metrics.rests.Add(server.Service, 1)
			b.logger.Info("backend server asks for rest", append(fields, zap.Duration("rest_seconds", n.Rest))...)
		}
	}
	if n.Leaving && !b.leaving[server.ID] {
		b.leaving[server.ID] = true
		b.metrics.leaving.Add(server.Service, 1)
		b.logger.Info("backend server says that it leaves", fields...)
		return true
	}
	return false
}

// saysLeaving reports whether a server said that it leaves.
func (b *noticeBoard) saysLeaving(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving[id]
}

// waiting returns the servers of a service that can not get a request now, because they
// rest or rested just before.
func (b *noticeBoard) waiting(service string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.services) == 0 {
		return nil
	}
	return slices.DeleteFunc(b.rests.Waiting(fleet.SinceBoot()), func(id string) bool { return b.services[id] != service })
}

// admit reports whether a server may get a request now, and counts it.
func (b *noticeBoard) admit(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rests.Admit(fleet.SinceBoot(), id)
}

// resting reports whether a server rests.
func (b *noticeBoard) resting(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rests.Resting(fleet.SinceBoot(), id)
}

// awaitRest waits until a generation may continue at a server, and returns false if it
// may not in time.
func (b *noticeBoard) awaitRest(ctx context.Context, id string) bool {
	for start := time.Now(); ; {
		if b.admit(id) {
			return true
		}
		if ctx.Err() != nil || time.Since(start) > resumePermitTimeout {
			return false
		}
		time.Sleep(resumePermitInterval)
	}
}

// retryAfter returns when a caller should return that was refused because servers rest.
func (b *noticeBoard) retryAfter(ids []string, jitter float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rests.RetryAfter(fleet.SinceBoot(), ids, jitter)
}

// update forgets the servers that are no longer in the list, and what servers said before
// they started again.
func (b *noticeBoard) update(v *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.startedAt) == 0 {
		return
	}
	kept := make(map[string]bool, len(b.startedAt))
	for _, server := range v.Servers {
		if at, noticed := b.startedAt[server.ID]; noticed && !server.RestartedSince(at) {
			kept[server.ID] = true
		}
	}
	b.rests.Retain(func(id string) bool { return kept[id] })
	for id := range b.startedAt {
		if !kept[id] {
			delete(b.startedAt, id)
			delete(b.services, id)
			delete(b.leaving, id)
			delete(b.malformedLogged, id)
		}
	}
}

// observeNotice records what an answer says of its server.
func (g *Gateway) observeNotice(server backend.Server, n Notice) {
	if g.notices.observe(server, n) {
		g.services.setLeaving(server)
	}
}
