package gateway

import (
	"net/http"
	"sync"

	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/fleet"
	"go.uber.org/zap"
)

// limitLog logs the limits that backend servers name, once for each change.
type limitLog struct {
	logger *zap.Logger
	mu     sync.Mutex
	// named maps the ids of servers to the last statement that was logged.
	named map[string]serverlimit.Statement
}

func (l *limitLog) init(logger *zap.Logger) {
	l.logger, l.named = logger, map[string]serverlimit.Statement{}
}

// observe records what a response says about the limit of its server. A lost or
// misdirected response may not be the server's, and a refusal need not repeat the
// limit.
func (l *limitLog) observe(u *upstream, result dispatch.Result) {
	s := u.metadata.Limit
	if result == dispatch.Lost || u.response.StatusCode == http.StatusMisdirectedRequest ||
		result == dispatch.Refused && !s.Limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.named[u.server.ID]
	if s == old {
		return
	}
	l.named[u.server.ID] = s
	fields := []zap.Field{zap.String("backend_server", u.server.ID), zap.String("service", u.server.Service)}
	switch {
	case s.Malformed != "":
		l.logger.Warn("ignored a malformed limit of a backend server", append(fields, zap.String("limit", s.Malformed))...)
	case s.Limited && known && old.Limited:
		l.logger.Info("limit of a backend server changed", append(fields, zap.Float64("limit_per_second", s.PerSecond),
			zap.Float64("previous_per_second", old.PerSecond))...)
	case s.Limited:
		l.logger.Info("limit of a backend server learned", append(fields, zap.Float64("limit_per_second", s.PerSecond))...)
	default:
		delete(l.named, u.server.ID)
		l.logger.Info("limit of a backend server ended", append(fields, zap.Float64("previous_per_second", old.PerSecond))...)
	}
}

// retain forgets the servers that are no longer in the list.
func (l *limitLog) retain(v *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.named) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, server := range v.Servers {
		listed[server.ID] = true
	}
	for id := range l.named {
		if !listed[id] {
			delete(l.named, id)
		}
	}
}
