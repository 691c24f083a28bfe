package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/link"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

const (
	reconnectPause = 100 * time.Millisecond
	// lostLinkLimit is how long an answer waits for a new connection to its
	// agent. It covers one silence limit and several attempts to connect.
	lostLinkLimit = 3 * link.LivenessTimeout
	// idleLinkLimit closes links without streams, so that idle links cost nothing.
	idleLinkLimit = 30 * time.Second
)

// agentLink is the token link to one agent. It reconnects while it has streams.
type agentLink struct {
	address string
	dial    wire.Dialer
	fleet   Fleet
	logger  *zap.Logger
	ctx     context.Context
	// observe takes the load hints of ends.
	observe func(message.LoadHint)
	// wake tells the writer that work is not empty.
	wake chan struct{}

	mu      sync.Mutex
	streams map[message.ExecutionID]*stream
	running bool
	// finishing is set when the entry leaves.
	finishing bool
	// work holds the streams for which the writer has a frame to send.
	work []*stream
}

func newAgentLink(ctx context.Context, address string, dial wire.Dialer, fleet Fleet, logger *zap.Logger, observe func(message.LoadHint)) *agentLink {
	return &agentLink{
		address: address, dial: dial, fleet: fleet, logger: logger, ctx: ctx, observe: observe,
		streams: map[message.ExecutionID]*stream{}, wake: make(chan struct{}, 1),
	}
}

// enqueue gives a stream to the writer. The caller holds l.mu.
func (l *agentLink) enqueue(s *stream) {
	if s.queued {
		return
	}
	s.queued = true
	l.work = append(l.work, s)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// open subscribes to an execution from an index on. The newest reader of an
// execution wins, because an earlier one may be a connection that the caller
// has lost.
func (l *agentLink) open(id message.ExecutionID, caller string, from uint64) *stream {
	s := newStream(l, id, caller, from)
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.streams[id]; ok {
		old.finish(supersededEnd(id))
	}
	l.streams[id] = s
	l.enqueue(s)
	if !l.running {
		l.running = true
		go l.run()
	}
	return s
}

// run keeps a connection while there are streams.
func (l *agentLink) run() {
	lostSince := time.Now()
	for l.ctx.Err() == nil {
		conn, err := l.dial(l.ctx, l.address)
		if err == nil && l.serve(conn) {
			// Only a received frame shows that the agent is there: a frozen process
			// still accepts connections.
			lostSince = time.Now()
		}
		if l.stopIfIdle() {
			return
		}
		if time.Since(lostSince) > lostLinkLimit {
			l.failAll()
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
	l.failAll()
}

func (l *agentLink) stopIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) == 0 {
		l.running = false
		for _, s := range l.work {
			s.queued = false
		}
		l.work = nil
		return true
	}
	return false
}

// finish closes the link once it has no stream and nothing to send.
func (l *agentLink) finish() {
	l.mu.Lock()
	l.finishing = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *agentLink) finished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finishing && len(l.streams) == 0 && len(l.work) == 0
}

func (l *agentLink) isRunning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// failAll ends all streams, because the agent can not be reached.
func (l *agentLink) failAll() {
	l.mu.Lock()
	streams := l.streams
	l.streams = map[message.ExecutionID]*stream{}
	l.mu.Unlock()
	for _, s := range streams {
		s.finish(lostEnd(s.id, "the agent can not be reached"))
	}
}

// serve runs one connection until it breaks or goes silent. It reports whether
// anything was received.
func (l *agentLink) serve(conn net.Conn) (received bool) {
	ctx, cancel := context.WithCancel(l.ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer cancel()
		l.write(ctx, conn)
	})
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		cancel()
		_ = conn.Close()
		writer.Wait()
		stop()
	}()
	reader := wire.NewFrameReader(conn, link.LivenessTimeout)
	for {
		frame, err := reader.Read()
		if err != nil {
			l.logger.Debug("token link ended", zap.String("address", l.address), zap.Error(err))
			return received
		}
		received = true
		l.receive(frame)
	}
}

func (l *agentLink) find(id message.ExecutionID) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *agentLink) receive(frame *message.Frame) {
	switch {
	case frame.Hello != nil:
		l.fleet.Observe(frame.Hello.Header)
	case frame.Tokens != nil:
		t := frame.Tokens
		if s := l.find(t.Execution); s != nil && !s.accept(t.First, t.Tokens) {
			l.resubscribe(s)
		}
	case frame.End != nil:
		l.observe(frame.End.Load)
		s := l.find(frame.End.Execution)
		switch {
		case s == nil:
		case !s.finish(frame.End):
			l.resubscribe(s)
		default:
			l.mu.Lock()
			if l.streams[s.id] == s {
				delete(l.streams, s.id)
			}
			l.mu.Unlock()
		}
	}
}

// resubscribe asks for the stream from the next missing token.
func (l *agentLink) resubscribe(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[s.id] == s {
		s.subscribe = true
		l.enqueue(s)
	}
}

// write subscribes, acknowledges and sends heartbeats.
func (l *agentLink) write(ctx context.Context, conn net.Conn) {
	w := wire.NewFrameWriter(conn, link.LivenessTimeout)
	live := link.NewLiveness(time.Now())
	if w.Write(&message.Frame{Hello: &message.Hello{Header: l.fleet.Header()}}) != nil {
		return
	}
	l.subscribeAll()
	ticker := time.NewTicker(link.HeartbeatInterval / 4)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		sent, streams, err := l.sendWork(w)
		if sent > 0 {
			live.Sent(time.Now())
		}
		if err == nil {
			err = w.Flush()
		}
		if streams > 0 {
			idleSince = time.Now()
		}
		if err != nil || time.Since(idleSince) > idleLinkLimit {
			return
		}
		if l.finished() {
			// The agent closes the link once it has read all frames.
			wire.CloseWrite(conn)
			<-ctx.Done()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case now := <-ticker.C:
			if live.HeartbeatDue(now) {
				if w.Write(&message.Frame{Heartbeat: &message.Heartbeat{Revision: l.fleet.Header().Revision}}) != nil {
					return
				}
				live.Sent(now)
			}
		}
	}
}

// subscribeAll subscribes all streams on a new connection.
func (l *agentLink) subscribeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.subscribe = true
		l.enqueue(s)
	}
}

// sendWork writes the frames of all streams in work.
func (l *agentLink) sendWork(w *wire.FrameWriter) (sent, streams int, err error) {
	l.mu.Lock()
	work := l.work
	l.work = nil
	streams = len(l.streams)
	l.mu.Unlock()
	for _, s := range work {
		for _, frame := range l.frames(s) {
			if err := w.Write(frame); err != nil {
				return sent, streams, err
			}
			sent++
		}
	}
	return sent, streams, nil
}

// frames returns what a stream has to send.
func (l *agentLink) frames(s *stream) (frames []*message.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.queued = false
	if s.final {
		s.final = false
		frames = append(frames, &message.Frame{Ack: &message.Ack{Execution: s.id, Next: s.position(), Final: true}})
	}
	if s.unsubscribe {
		s.unsubscribe = false
		frames = append(frames, &message.Frame{Unsubscribe: &message.Unsubscribe{Execution: s.id}})
	}
	if l.streams[s.id] != s {
		return frames
	}
	if s.subscribe {
		s.subscribe = false
		frames = append(frames, &message.Frame{Subscribe: &message.Subscribe{Execution: s.id, From: s.position(), Caller: s.caller}})
		// An earlier acknowledgement may have been lost with its connection.
		s.ackSent = 0
	}
	if s.acked-s.ackSent >= ackTokens {
		s.ackSent = s.acked
		frames = append(frames, &message.Frame{Ack: &message.Ack{Execution: s.id, Next: s.acked}})
	}
	return frames
}
