package gateway

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

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

// stream passes the events of a response on as they come. When the server goes
// away in the middle, the same generation may go on at another one.
func (x *exchange) stream(ctx context.Context, u *upstream) {
	release := context.AfterFunc(ctx, func() { _ = x.rep.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer release()
	defer x.settle(u.server.ID, placement.Completed)
	x.rep.start(u.response.StatusCode, endToEnd(u.response.Header), -1)
	if err := x.rep.out.Flush(); err != nil {
		x.gone(err)
		return
	}
	events := &eventReader{in: u.response.Body}
	for {
		whole, err := events.next()
		if err == nil {
			if err := x.rep.write(whole); err != nil {
				x.gone(err)
				return
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			if err := x.rep.end(); err != nil {
				x.gone(err)
			}
			return
		}
		x.broken(ctx, u, events, err)
		return
	}
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

// broken ends a stream that its server broke off.
func (x *exchange) broken(ctx context.Context, u *upstream, events *eventReader, err error) {
	x.g.metrics.aborted.Add(1)
	x.logger.Info("stream broken off", zap.String("backend_server", u.server.ID), zap.Int("events", events.events),
		zap.String("last_event_id", events.lastID), zap.Bool("time_over", ctx.Err() != nil), zap.Error(err))
	x.rep.abort()
}
