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
	reconnectDelay = 100 * time.Millisecond
	// lostLinkTimeout is how long streams wait for a new connection to their agent.
	// It covers one liveness timeout and several attempts to connect.
	lostLinkTimeout = 3 * link.LivenessTimeout
	// idleLinkTimeout is how long a link without streams stays open. Closing it saves
	// the cost of idle links.
	idleLinkTimeout = 30 * time.Second
)

// agentLink is the token link to one agent. It multiplexes the streams of the
// executions on that agent and reconnects as long as it has streams.
type agentLink struct {
	address string
	dial    wire.Dialer
	fleet   Fleet
	logger  *zap.Logger
	ctx     context.Context
	// observeLoad receives the load hints of end frames.
	observeLoad func(message.LoadHint)
	// wakeWriter signals the writer that sendQueue is not empty or that closing was
	// set.
	wakeWriter chan struct{}

	mu      sync.Mutex
	streams map[message.ExecutionID]*stream
	running bool
	// closing is set when the entry shuts down.
	closing bool
	// sendQueue holds the streams for which the writer has frames to send.
	sendQueue []*stream
}

func newAgentLink(
	ctx context.Context, address string, dial wire.Dialer, fleet Fleet, logger *zap.Logger,
	observeLoad func(message.LoadHint),
) *agentLink {
	return &agentLink{
		address: address, dial: dial, fleet: fleet, logger: logger, ctx: ctx, observeLoad: observeLoad,
		streams: map[message.ExecutionID]*stream{}, wakeWriter: make(chan struct{}, 1),
	}
}

// enqueue adds a stream to sendQueue and wakes the writer. l.mu must be held.
func (l *agentLink) enqueue(s *stream) {
	if s.queued {
		return
	}
	s.queued = true
	l.sendQueue = append(l.sendQueue, s)
	select {
	case l.wakeWriter <- struct{}{}:
	default:
	}
}

// openStream subscribes to the tokens of an execution, starting at index from. It
// replaces an earlier reader of the same execution, because that reader may serve a
// connection that the caller has lost.
func (l *agentLink) openStream(id message.ExecutionID, caller string, from uint64) *stream {
	s := newStream(l, id, caller, from)
	l.mu.Lock()
	defer l.mu.Unlock()
	if previous, ok := l.streams[id]; ok {
		previous.acceptEnd(supersededEnd(id))
	}
	l.streams[id] = s
	l.enqueue(s)
	if !l.running {
		l.running = true
		go l.run()
	}
	return s
}

// run keeps the link connected as long as it has streams.
func (l *agentLink) run() {
	lostSince := time.Now()
	for l.ctx.Err() == nil {
		conn, err := l.dial(l.ctx, l.address)
		if err == nil && l.serveConnection(conn) {
			// Only a received frame shows that the agent is alive: the kernel accepts
			// connections for a hung process.
			lostSince = time.Now()
		}
		if l.stopIfIdle() {
			return
		}
		if time.Since(lostSince) > lostLinkTimeout {
			l.failStreams()
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
	l.failStreams()
}

// stopIfIdle marks the link as stopped if it has no streams, and reports whether it
// did.
func (l *agentLink) stopIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) == 0 {
		l.running = false
		for _, s := range l.sendQueue {
			s.queued = false
		}
		l.sendQueue = nil
		return true
	}
	return false
}

// closeWhenDrained closes the link once it has no streams and no frames to send.
func (l *agentLink) closeWhenDrained() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	select {
	case l.wakeWriter <- struct{}{}:
	default:
	}
}

// drained reports whether a link that is closing has no streams and no frames to
// send.
func (l *agentLink) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing && len(l.streams) == 0 && len(l.sendQueue) == 0
}

func (l *agentLink) isRunning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// failStreams ends all streams because the agent cannot be reached.
func (l *agentLink) failStreams() {
	l.mu.Lock()
	streams := l.streams
	l.streams = map[message.ExecutionID]*stream{}
	l.mu.Unlock()
	for _, s := range streams {
		s.acceptEnd(streamLostEnd(s.id, "the agent can not be reached"))
	}
}

// serveConnection handles one connection until it fails or no frame arrives within
// the liveness timeout. It reports whether any frame was received.
func (l *agentLink) serveConnection(conn net.Conn) (received bool) {
	ctx, cancel := context.WithCancel(l.ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer cancel()
		l.writeFrames(ctx, conn)
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
			l.logger.Debug("token link closed", zap.String("address", l.address), zap.Error(err))
			return received
		}
		received = true
		l.handleFrame(frame)
	}
}

func (l *agentLink) findStream(id message.ExecutionID) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *agentLink) handleFrame(frame *message.Frame) {
	switch {
	case frame.Hello != nil:
		l.fleet.Observe(frame.Hello.Header)
	case frame.Tokens != nil:
		t := frame.Tokens
		if s := l.findStream(t.Execution); s != nil && !s.acceptTokens(t.First, t.Tokens) {
			l.resubscribe(s)
		}
	case frame.End != nil:
		l.observeLoad(frame.End.Load)
		s := l.findStream(frame.End.Execution)
		switch {
		case s == nil:
		case !s.acceptEnd(frame.End):
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

// resubscribe requests the stream again, starting at the first missing token.
func (l *agentLink) resubscribe(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[s.id] == s {
		s.subscribePending = true
		l.enqueue(s)
	}
}

// writeFrames sends subscriptions, acknowledgements and heartbeats on one
// connection.
func (l *agentLink) writeFrames(ctx context.Context, conn net.Conn) {
	w := wire.NewFrameWriter(conn, link.LivenessTimeout)
	liveness := link.NewLiveness(time.Now())
	if w.Write(&message.Frame{Hello: &message.Hello{Header: l.fleet.Header()}}) != nil {
		return
	}
	l.subscribeAll()
	ticker := time.NewTicker(link.HeartbeatInterval / 4)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		sent, streams, err := l.sendQueued(w)
		if sent > 0 {
			liveness.Sent(time.Now())
		}
		if err == nil {
			err = w.Flush()
		}
		if streams > 0 {
			idleSince = time.Now()
		}
		if err != nil || time.Since(idleSince) > idleLinkTimeout {
			return
		}
		if l.drained() {
			// The agent closes the connection once it has read all frames.
			wire.CloseWrite(conn)
			<-ctx.Done()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wakeWriter:
		case now := <-ticker.C:
			if liveness.HeartbeatDue(now) {
				if w.Write(&message.Frame{Heartbeat: &message.Heartbeat{Revision: l.fleet.Header().Revision}}) != nil {
					return
				}
				liveness.Sent(now)
			}
		}
	}
}

// subscribeAll queues a subscription of each stream for a new connection.
func (l *agentLink) subscribeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.subscribePending = true
		l.enqueue(s)
	}
}

// sendQueued writes the frames of all streams in sendQueue. It returns the number
// of frames sent and the number of open streams.
func (l *agentLink) sendQueued(w *wire.FrameWriter) (sent, streams int, err error) {
	l.mu.Lock()
	queue := l.sendQueue
	l.sendQueue = nil
	streams = len(l.streams)
	l.mu.Unlock()
	for _, s := range queue {
		for _, frame := range l.pendingFrames(s) {
			if err := w.Write(frame); err != nil {
				return sent, streams, err
			}
			sent++
		}
	}
	return sent, streams, nil
}

// pendingFrames returns the frames that a stream has to send.
func (l *agentLink) pendingFrames(s *stream) (frames []*message.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.queued = false
	if s.finalAckPending {
		s.finalAckPending = false
		frames = append(frames, &message.Frame{Ack: &message.Ack{Execution: s.id, Next: s.nextIndex(), Final: true}})
	}
	if s.unsubscribePending {
		s.unsubscribePending = false
		frames = append(frames, &message.Frame{Unsubscribe: &message.Unsubscribe{Execution: s.id}})
	}
	if l.streams[s.id] != s {
		return frames
	}
	if s.subscribePending {
		s.subscribePending = false
		frames = append(frames, &message.Frame{
			Subscribe: &message.Subscribe{Execution: s.id, From: s.nextIndex(), Caller: s.caller},
		})
		// Earlier acknowledgements may have been lost with the connection.
		s.ackSentUpTo = 0
	}
	if s.ackedUpTo-s.ackSentUpTo >= tokensPerAck {
		s.ackSentUpTo = s.ackedUpTo
		frames = append(frames, &message.Frame{Ack: &message.Ack{Execution: s.id, Next: s.ackedUpTo}})
	}
	return frames
}
