package gateway

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/placement"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var eventEnd = []byte("\n\n")

// eventReader splits a stream into whole events.
type eventReader struct {
	in      io.Reader
	pending []byte
	// lastID is the id of the last event that was returned.
	lastID string
	events int
}

// next returns the bytes up to the end of the last whole event that arrived. At
// the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF when the last
// event is not whole.
func (e *eventReader) next() ([]byte, error) {
	var buffer [upstreamBuffer]byte
	for {
		n, err := e.in.Read(buffer[:])
		e.pending = append(e.pending, buffer[:n]...)
		if end := bytes.LastIndex(e.pending, eventEnd); end >= 0 {
			whole := append([]byte(nil), e.pending[:end+len(eventEnd)]...)
			e.pending = append(e.pending[:0], e.pending[end+len(eventEnd):]...)
			e.note(whole)
			return whole, nil
		}
		if len(e.pending) > maxEventBytes {
			return nil, errors.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		if errors.Is(err, io.EOF) && len(e.pending) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// note remembers the id of the last event.
func (e *eventReader) note(events []byte) {
	for _, event := range strings.Split(string(events), "\n\n") {
		if event == "" {
			continue
		}
		e.events++
		for _, line := range strings.Split(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id:"); ok {
				e.lastID = strings.TrimSpace(id)
			}
		}
	}
}

// maxResumes bounds how often one generation goes on elsewhere.
const maxResumes = 8

// stream passes the events of a response on as they come. When the server goes
// away in the middle, the same generation may go on at another one.
func (x *exchange) stream(ctx context.Context, u *upstream) {
	release := context.AfterFunc(ctx, func() { _ = x.rep.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer release()
	x.g.metrics.firstByte.Record(time.Since(x.r.arrived))
	x.rep.start(u.response.StatusCode, endToEnd(u.response.Header), -1)
	if err := x.rep.out.Flush(); err != nil {
		x.settle(u.server.ID, placement.Canceled)
		x.gone(err)
		return
	}
	events, pace := &eventReader{in: u.response.Body}, pace{last: x.r.arrived}
	for resumes := 0; ; resumes++ {
		sent, err := x.pass(events, &pace)
		switch {
		case !sent:
			x.settle(u.server.ID, placement.Canceled)
			x.gone(err)
			return
		case errors.Is(err, io.EOF):
			x.settle(u.server.ID, placement.Completed)
			x.succeeded()
			x.observeLength(events.events)
			x.logEnd(u, events, &pace, resumes)
			if err := x.rep.end(); err != nil {
				x.gone(err)
			}
			return
		}
		x.settle(u.server.ID, placement.Canceled)
		next, resumeErr := (*upstream)(nil), errors.New("the generation went on elsewhere too often")
		if resumes < maxResumes {
			next, resumeErr = x.resume(ctx, u.server, events.lastID)
		}
		x.logBreak(ctx, u, events, err, resumeErr)
		if resumeErr != nil {
			x.brokeOff(ctx, u.server)
			x.g.metrics.aborted.Add(1)
			x.rep.abort()
			return
		}
		x.g.metrics.resumed.Add(1)
		u.close()
		defer next.close()
		u = next
		events = &eventReader{in: u.response.Body, lastID: events.lastID, events: events.events}
	}
}

// pace is when the events of a stream came.
type pace struct {
	// last is the time of the last event, before the first that of the request.
	last time.Time
	// first is the time to the first event, longest the longest pause after it.
	first, longest time.Duration
}

func (p *pace) note(now time.Time) {
	since := now.Sub(p.last)
	p.last = now
	if p.first == 0 {
		p.first = since
		return
	}
	p.longest = max(p.longest, since)
}

// observeLength learns from a whole answer. Where nothing declares how many
// tokens an event holds, the length of an answer is not known.
func (x *exchange) observeLength(events int) {
	service := x.g.table().Service(x.service)
	if service != nil && service.Engine != nil && service.Engine.EventTokens > 0 {
		x.g.lengths.observe(x.route.Name, x.says, events*service.Engine.EventTokens)
	}
}

// logEnd tells whether a whole answer was on time. Late ones are logged by a
// message of their own, so that sampling does not drop them among the others.
func (x *exchange) logEnd(u *upstream, events *eventReader, p *pace, resumes int) {
	message := "stream ended"
	if x.route.Objective > 0 && p.first > x.route.Objective || x.route.MaxGap > 0 && p.longest > x.route.MaxGap {
		message = "stream ended late"
		x.g.metrics.late.Add(1)
	}
	x.logger.Info(message, zap.String("backend_server", u.server.ID), zap.String("route", x.route.Name), zap.Int("events", events.events),
		zap.Int("expected_tokens", x.expected), zap.Int("hint_tokens", x.says.hint()), zap.Int("resumes", resumes), zap.Duration("first_event_seconds", p.first), zap.Duration("longest_pause_seconds", p.longest))
}

// pass passes events on until the stream ends. Sent is false when the caller
// did not take them.
func (x *exchange) pass(events *eventReader, p *pace) (sent bool, err error) {
	for {
		whole, err := events.next()
		if err != nil {
			return true, err
		}
		p.note(time.Now())
		if err := x.rep.write(whole); err != nil {
			return false, err
		}
	}
}

// resume continues the generation from the memory that was moved away.
func (x *exchange) resume(ctx context.Context, from backend.Server, lastID string) (*upstream, error) {
	if x.g.options.Locator == nil {
		return nil, errors.New("the generation can not go on elsewhere")
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	address, name, err := x.g.options.Locator.Locate(ctx, from, x.says.ID)
	if err != nil {
		return nil, err
	}
	server, ok := x.g.services.byAddress(address)
	if !ok {
		return nil, errors.Errorf("no server is known at %s", address)
	}
	f := x.forward(server)
	f.Copy, f.LastEventID, f.Priority = name, lastID, movedGeneration
	next, result, err := x.g.send(ctx, server, x.r, f)
	if err != nil {
		return nil, err
	}
	if result != dispatch.Answered {
		next.close()
		return nil, errors.Errorf("the server with the copy answered %d", next.response.StatusCode)
	}
	return next, nil
}

// settle tells placement that a stream ended.
func (x *exchange) settle(server string, result placement.Result) {
	x.g.services.report(x.g.elapsed(), x.service, placement.Outcome{Server: server, Result: result, Blocks: x.blocks, Priority: x.prio})
}

func (x *exchange) gone(err error) {
	x.g.metrics.gone.Add(1)
	x.logger.Info("caller gone during the stream", zap.Error(err))
	x.rep.abort()
}

func (x *exchange) logBreak(ctx context.Context, u *upstream, events *eventReader, err, resumeErr error) {
	x.logger.Info("stream broken off by its server", zap.String("backend_server", u.server.ID), zap.Int("events", events.events),
		zap.String("last_event_id", events.lastID), zap.Bool("time_over", ctx.Err() != nil), zap.NamedError("cause", err),
		zap.Bool("resumed", resumeErr == nil), zap.NamedError("resume_error", resumeErr))
}
