package gateway

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/streamend"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// confirmTimeout bounds the time in which the agent is asked again after a failed call.
	confirmTimeout = 1500 * time.Millisecond
	// confirmRetryDelay is the delay after a failed call.
	confirmRetryDelay = 100 * time.Millisecond
	// unconfirmedCrashDelay is how long after the end of a stream without framing the server is checked for a
	// crash if the end is not confirmed by then. Most ends are, and a server that crashed is back after seconds.
	unconfirmedCrashDelay = 300 * time.Millisecond
)

// StreamEnd describes a generation whose answer ended with its connection.
type StreamEnd struct {
	ID string
	// SentAgo is how long ago the request was sent to the server.
	SentAgo time.Duration
	// Events is the number of events that arrived since the caller's request, and EventsBefore how many of them came
	// from earlier servers.
	Events, EventsBefore int
	// CallerEvents is the number of events that the caller had before its request, 0 if unknown.
	CallerEvents int
}

// unconfirmedEndError means that the connection of an answer without a length or chunks was closed, and that
// nothing shows that the answer ended there.
type unconfirmedEndError struct {
	verdict streamend.Verdict
	reason  string
}

// Error implements error.
func (e *unconfirmedEndError) Error() string {
	return "the connection was closed, and the end of the generation is not confirmed: " + e.verdict.String() + ", " + e.reason
}

// isUnconfirmedEnd reports whether a stream broke without any sign that its server fails.
func isUnconfirmedEnd(err error) bool {
	var e *unconfirmedEndError
	return errors.As(err, &e)
}

// confirmEnd returns nil if a stream that ended at the end of its response is complete. Where the end of the
// connection marks the end of the body, the agent beside the server has to confirm it.
func (x *exchange) confirmEnd(ctx context.Context, u *upstream) error {
	if u.framing() != framingClose || !u.watched && !x.g.hasAgent(x.service, u.server) {
		return nil
	}
	cancelCrashCheck := x.newCrashCheck(ctx, u.server).runAfter(unconfirmedCrashDelay)
	verdict, reason := x.askEnd(ctx, u)
	if verdict != streamend.Unknown {
		cancelCrashCheck()
	}
	x.g.metrics.streamEndVerdicts.Add(verdict.String(), 1)
	x.logger.Info("end of a stream without framing", zap.String("backend_server", u.server.ID), zap.Int("events", x.position.events),
		zap.Stringer("verdict", verdict), zap.String("reason", reason))
	if verdict == streamend.Ended {
		return nil
	}
	return &unconfirmedEndError{verdict, reason}
}

// askEnd asks the agent how the generation ended, again if the call fails.
func (x *exchange) askEnd(ctx context.Context, u *upstream) (streamend.Verdict, string) {
	end := time.Now().Add(confirmTimeout)
	for {
		verdict, reason, err := x.g.options.Locator.StreamEnd(ctx, u.server, StreamEnd{ID: x.metadata.ID,
			SentAgo: fleet.SinceBoot() - u.sentAt, Events: x.position.events,
			EventsBefore: u.eventsBefore, CallerEvents: x.position.callerEvents()})
		if err == nil {
			return verdict, reason
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return streamend.Unknown, err.Error()
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmRetryDelay):
		}
	}
}

// hasAgent reports whether an agent runs beside a server, as beside all engines.
func (g *Gateway) hasAgent(service string, server backend.Server) bool {
	if g.options.Locator == nil {
		return false
	}
	view := g.options.Fleet.View()
	if _, reported := view.Reports[server.Address]; reported {
		return true
	}
	if view.Table == nil {
		return false
	}
	declared := view.Table.Service(service)
	return declared != nil && declared.Engine != nil
}
