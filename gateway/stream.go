package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/placement"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// maxEventBytes bounds the size of an event.
const maxEventBytes = 1 << 20

// eventDelimiter ends each server-sent event.
var eventDelimiter = []byte("\n\n")

// eventReader splits a stream into complete events.
type eventReader struct {
	in      io.Reader
	buffers *budgetShare
	pending []byte
}

// next returns the bytes of one or more complete events. At the end of the stream it
// returns io.EOF, or io.ErrUnexpectedEOF if the last event is incomplete.
func (e *eventReader) next() ([]byte, error) {
	var buffer [upstreamBufferBytes]byte
	for {
		n, err := e.in.Read(buffer[:])
		e.pending = append(e.pending, buffer[:n]...)
		if end := bytes.LastIndex(e.pending, eventDelimiter); end >= 0 {
			complete := append([]byte(nil), e.pending[:end+len(eventDelimiter)]...)
			e.pending = append(e.pending[:0], e.pending[end+len(eventDelimiter):]...)
			return complete, nil
		}
		if len(e.pending) > maxEventBytes {
			return nil, errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if !e.buffers.hold(cap(e.pending)) {
			return nil, errBufferBudget
		}
		if errors.Is(err, io.EOF) && len(e.pending) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// maxResumes bounds how often a generation resumes at another server.
const maxResumes = 8

// forwardStream sends the events of a response to the caller as they arrive. If the
// connection to the server breaks, it tries to resume the generation at another one.
func (x *exchange) forwardStream(ctx context.Context, u *upstream) {
	defer x.late.stop()
	stopWatch := context.AfterFunc(ctx, func() { _ = x.w.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer stopWatch()
	x.g.metrics.firstByte.Record(time.Since(x.r.arrived))
	x.w.writeHead(u.response.StatusCode, endToEnd(u.response.Header), -1)
	if err := x.w.out.Flush(); err != nil {
		x.reportResult(u.server.ID, placement.Canceled)
		x.callerGone(err)
		return
	}
	timing := eventTiming{lastEvent: x.r.arrived}
	for {
		sent, err := x.forwardEvents(u, &timing)
		if sent && errors.Is(err, io.EOF) {
			if unconfirmed := x.confirmEnd(ctx, u); unconfirmed != nil {
				err = unconfirmed
			}
		}
		switch {
		case !sent:
			x.reportResult(u.server.ID, placement.Canceled)
			x.callerGone(err)
			return
		case errors.Is(err, io.EOF):
			x.reportResult(u.server.ID, placement.Completed)
			x.observe(u.server, false)
			x.clearSuspicion()
			x.observeLength(&timing)
			x.logEnd(u, &timing)
			if err := x.w.finish(); err != nil {
				x.callerGone(err)
			}
			return
		}
		next, resumeErr := x.resume(ctx, u.server)
		x.logBroken(ctx, u, err, resumeErr)
		if resumeErr != nil && ctx.Err() == nil && !isUnconfirmedEnd(err) {
			x.reportResult(u.server.ID, placement.Failed)
			x.observe(u.server, true)
		} else {
			x.reportResult(u.server.ID, placement.Canceled)
		}
		if resumeErr != nil {
			if !isUnconfirmedEnd(err) {
				x.reportCrash(ctx, u.server)
			}
			x.g.metrics.streamsAborted.Add(1)
			x.w.abort()
			return
		}
		x.g.metrics.streamsResumed.Add(1)
		u.close()
		defer next.close()
		u = next
	}
}

// eventTiming measures when the events of a stream arrive.
type eventTiming struct {
	// lastEvent is the time of the last event, or of the request before the first
	// event.
	lastEvent time.Time
	// firstEvent is the time from the request to the first event, and longestPause the
	// longest time between two events.
	firstEvent, longestPause time.Duration
}

// record records the arrival of an event.
func (t *eventTiming) record(now time.Time) {
	since := now.Sub(t.lastEvent)
	t.lastEvent = now
	if t.firstEvent == 0 {
		t.firstEvent = since
		return
	}
	t.longestPause = max(t.longestPause, since)
}

// observeLength records the length of a complete output and how long it took. Without a
// declared number of tokens per event, the length in tokens is unknown and not recorded.
func (x *exchange) observeLength(timing *eventTiming) {
	events, eventTokens := x.position.events, x.eventTokens()
	if eventTokens > 0 {
		x.g.lengths.observe(x.route.Name, x.metadata, events*eventTokens)
	}
	if events > 0 {
		// The wait for room is no property of the route.
		x.g.times.observeGeneration(x.route.Name, x.metadata.PromptTokens, (events-1)*eventTokens,
			max(0, timing.firstEvent-x.room.wait), timing.lastEvent.Sub(x.r.arrived)-timing.firstEvent)
	}
}

// eventTokens returns the number of tokens in an event, 0 if it is not declared.
func (x *exchange) eventTokens() int {
	service := x.g.table().Service(x.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	return max(0, service.Engine.EventTokens)
}

// logEnd logs a complete response. Late responses have a log message of their own,
// so that log sampling, which counts by message, does not drop them.
func (x *exchange) logEnd(u *upstream, timing *eventTiming) {
	message := "stream ended"
	if x.route.Objective > 0 && timing.firstEvent > x.route.Objective ||
		x.route.MaxGap > 0 && timing.longestPause > x.route.MaxGap {
		message = "stream ended late"
		x.g.metrics.streamsLate.Add(1)
	}
	x.g.metrics.streamEnds.Add(u.framing(), 1)
	x.logger.Info(message, zap.String("backend_server", u.server.ID), zap.String("route", x.route.Name),
		zap.String("framing", u.framing()), zap.Stringer("last_event_id", &x.position),
		zap.Int("events", x.position.events), zap.Int("expected_tokens", x.expectedTokens),
		zap.Int("hint_tokens", x.metadata.boundedHint()), zap.Int("resumes", x.resumes),
		zap.Duration("first_event_seconds", timing.firstEvent),
		zap.Duration("longest_pause_seconds", timing.longestPause))
}

// forwardEvents sends events to the caller until the stream ends or breaks. Sent is
// false if the error occurred while writing to the caller.
func (x *exchange) forwardEvents(u *upstream, timing *eventTiming) (sent bool, err error) {
	events := &eventReader{in: u.response.Body, buffers: &x.buffers}
	for {
		batch, err := events.next()
		if err != nil {
			return true, err
		}
		x.answerBegan(u)
		timing.record(time.Now())
		if err := x.w.writeBody(batch); err != nil {
			return false, err
		}
		x.position.advance(batch)
	}
}

// resume continues the generation, after the last event that the caller has, at the server to which its memory was
// moved. A server that breaks off before it answers may have moved it on, so resume follows further moves.
func (x *exchange) resume(ctx context.Context, from backend.Server) (*upstream, error) {
	for {
		if x.resumes >= maxResumes {
			return nil, errors.New("the generation was resumed too often")
		}
		server, name, err := x.locateCopy(ctx, from)
		if err != nil {
			return nil, err
		}
		x.resumes++
		next, result, err := x.sendResumed(ctx, server, name)
		x.g.countCrossing(next, crossingResumed)
		switch {
		case result == dispatch.Lost && ctx.Err() == nil:
			x.logger.Info("generation did not continue at another server", zap.String("backend_server", server.ID),
				zap.String("from", from.ID), zap.Stringer("last_event_id", &x.position), zap.Error(err))
			next.discard()
			from = server
			continue
		case err != nil:
			return nil, err
		case result != dispatch.Answered || next.response.StatusCode != http.StatusOK:
			next.close()
			return nil, errors.Errorf("the server with the copy responded with status %d", next.response.StatusCode)
		}
		x.logger.Info("generation continues at another server", zap.String("backend_server", server.ID),
			zap.String("from", from.ID), zap.Stringer("last_event_id", &x.position), zap.Int("events", x.position.events))
		return next, nil
	}
}

// locateCopy returns the server to which the generation was moved, and the name of the copy there, when the server may
// get the generation.
func (x *exchange) locateCopy(ctx context.Context, from backend.Server) (server backend.Server, name string, err error) {
	if x.g.options.Locator == nil {
		return server, "", errors.New("resuming generations is not configured")
	}
	if ctx.Err() != nil {
		return server, "", ctx.Err()
	}
	if x.partHeld() {
		return server, "", errors.New("a part of the prompt is held back")
	}
	address, name, err := x.g.options.Locator.Locate(ctx, from, x.metadata.ID)
	if err != nil {
		return server, "", err
	}
	server, ok := x.g.services.at(address)
	if !ok {
		return server, "", errors.Errorf("no server is known at %s", address)
	}
	if err := x.g.checkEvacuated(server, true); err != nil {
		return server, "", err
	}
	if !x.g.notices.awaitRest(ctx, server.ID) {
		return server, "", errors.New("the server with the copy asked for rest")
	}
	return server, name, nil
}

// reportResult reports the result of a request at a server to placement.
func (x *exchange) reportResult(server string, result placement.Result) {
	x.g.services.reportOutcome(x.g.elapsed(), x.service, x.outcome(server, result))
}

// callerGone aborts the response after a write to the caller failed.
func (x *exchange) callerGone(err error) {
	x.g.metrics.callersGone.Add(1)
	x.logger.Info("caller gone during the stream", zap.Error(err))
	x.w.abort()
}

func (x *exchange) logBroken(ctx context.Context, u *upstream, err, resumeErr error) {
	x.logger.Info("stream broken off by its server", zap.String("backend_server", u.server.ID), zap.String("framing", u.framing()),
		zap.Int("events", x.position.events), zap.Stringer("last_event_id", &x.position), zap.Bool("time_over", ctx.Err() != nil),
		zap.Bool("entry_stops", isStopping(ctx)), zap.NamedError("cause", err),
		zap.Bool("resumed", resumeErr == nil), zap.NamedError("resume_error", resumeErr))
}
