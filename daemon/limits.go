package daemon

import (
	"net/http"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/platform"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

const (
	// maxRefusalLabels limits the listeners and reasons with a counter of their own.
	maxRefusalLabels = 64
	// callerConnShare and operatorConnShare are the shares of the process's descriptors for the
	// connections of callers and of the platform's operators, linkConnShare that for token links.
	callerConnShare, operatorConnShare, linkConnShare = 1. / 2, 1. / 4, 1. / 8
	// Callers of INI entries may be on slow networks, and load balancers in front of them keep
	// connections. The platform's operators are on its network.
	maxCallerHeaderBytes = 64 << 10
	callerIdleTimeout    = 5 * time.Minute
	callerBodyTimeout    = 30 * time.Second
	minCallerRate        = 8 << 10
	minOperatorRate      = 256 << 10
	// smallWriteTimeout limits the time to read an answer of readiness or metrics.
	smallWriteTimeout = 10 * time.Second
)

// linkBudget returns the memory for frames of token links that are being received. Entries send short
// ones.
func linkBudget() int64 {
	const divisor, smallest = 16, 4 << 20
	return max(netlimit.Memory()/divisor, smallest)
}

// newReporter returns the reporter of refused clients of a listener.
func newReporter(listener string, logger *zap.Logger, metrics *observe.Metrics) *netlimit.Reporter {
	return netlimit.NewReporter(listener, logger, metrics.Counters("listener_refusals_total", maxRefusalLabels))
}

// callerLimits are the limits of the callers of an INI entry.
func callerLimits(maxBodyBytes int64) netlimit.Limits {
	return netlimit.Limits{
		MaxConns: netlimit.MaxConns(callerConnShare), MaxHeaderBytes: maxCallerHeaderBytes, HeaderTimeout: readHeaderTimeout,
		IdleTimeout: callerIdleTimeout, BodyTimeout: callerBodyTimeout, MinBodyRate: minCallerRate,
		Budget: netlimit.NewBudget(netlimit.BudgetFor(maxBodyBytes)),
	}
}

// operatorLimits are the limits of the platform's operators.
func operatorLimits() netlimit.Limits {
	return netlimit.Limits{
		MaxConns: netlimit.MaxConns(operatorConnShare), MaxHeaderBytes: netlimit.DefaultMaxHeaderBytes,
		HeaderTimeout: readHeaderTimeout, IdleTimeout: netlimit.DefaultIdleTimeout,
		BodyTimeout: netlimit.DefaultBodyTimeout, MinBodyRate: minOperatorRate,
		Budget: netlimit.NewBudget(netlimit.BudgetFor(platform.MaxStateBytes)),
	}
}

// protect makes the server enforce limits and publishes the memory that its requests hold.
func (s *gracefulServer) protect(listener string, limits netlimit.Limits, logger *zap.Logger, metrics *observe.Metrics) {
	s.reporter = newReporter(listener, logger, metrics)
	netlimit.Protect(s.http, limits, s.reporter)
	metrics.Gauge(listener+"_request_memory_bytes", func() float64 { return float64(limits.Budget.Used()) })
}

// newSmallServer returns a server for requests without bodies.
func (d *platformDaemon) newSmallServer(listener string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, WriteTimeout: smallWriteTimeout}
	netlimit.Protect(server, netlimit.SmallRequests(), newReporter(listener, d.logger, d.metrics))
	return server
}

// newPeerLimits returns the limits of a listener for other daemons.
func newPeerLimits(listener string, logger *zap.Logger, metrics *observe.Metrics) wire.Limits {
	return wire.DefaultLimits(newReporter(listener, logger, metrics))
}
