package agent

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/link"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/netlimit"
	"arbutusmast.example/arbutusmast/ring"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

const (
	// maxLinkStreams limits the streams of one link. Each is at most once in the
	// writer's queue.
	maxLinkStreams = 16384
	// maxUnsentReplies is the number of replies beyond which no more frames are read until some are
	// sent. Entries that come back to a restarted agent get one for each stream.
	maxUnsentReplies = 256
	// maxTokensPerFrame limits the tokens in one frame, so that one stream does not
	// delay the others on the link.
	maxTokensPerFrame = 256
)

// subscription is one stream on one link.
type subscription struct {
	conn *linkConn
	run  *run
	// nextIndex is the index of the next token to send.
	nextIndex uint64
	// acked is the index up to which this link has acknowledged tokens. It limits
	// what is sent on this link, because the run's window follows the reader that is
	// furthest ahead.
	acked atomic.Uint64
	// queued is set while the subscription is in the writer's queue.
	queued atomic.Bool
	closed atomic.Bool
}

// enqueue adds the subscription to the writer's queue, unless it is there already.
func (s *subscription) enqueue() {
	if s.closed.Load() || !s.queued.CompareAndSwap(false, true) {
		return
	}
	if !s.conn.ready.TryPush(s) {
		s.conn.abort()
	}
}

// linkConn is the connection of one token link from an entry.
type linkConn struct {
	agent   *Agent
	conn    net.Conn
	counted *netlimit.Conn
	limits  *wire.Limits
	// ready holds the subscriptions that have something to send. It is nil before the first one, when
	// hasStreams is closed.
	ready      *ring.Queue[*subscription]
	hasStreams chan struct{}
	// replies holds frames that do not belong to a subscription.
	replies *ring.Queue[*message.Frame]
	// replySent gets a value when a reply was taken from the queue.
	replySent chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	// closeWhenSent makes the writer close the write side of the connection once
	// nothing is left to send.
	closeWhenSent atomic.Bool

	mu            sync.Mutex
	subscriptions map[message.ExecutionID]*subscription
}

// ServeLinks accepts token links until the listener closes.
func (a *Agent) ServeLinks(listener net.Listener) {
	limits := a.options.LinkLimits
	if limits.Budget == nil {
		limits = wire.DefaultLimits(netlimit.NewReporter("token links", nil, nil))
	}
	bound := netlimit.NewConns(limits.MaxConns)
	for {
		conn, ok := netlimit.Accept(listener, limits.Reporter)
		if !ok {
			return
		}
		counted, ok := limits.Admit(bound, conn)
		if !ok {
			continue
		}
		c := &linkConn{
			agent: a, conn: conn, counted: counted, limits: &limits, replySent: make(chan struct{}, 1),
			hasStreams: make(chan struct{}), done: make(chan struct{}),
			subscriptions: map[message.ExecutionID]*subscription{},
		}
		a.mu.Lock()
		a.links[conn] = c
		a.mu.Unlock()
		a.spawn(c.readLoop)
	}
}

// sendHello sends the first frame of the link. With TLS, the deadline also limits the handshake.
func (c *linkConn) sendHello() error {
	if err := c.conn.SetDeadline(time.Now().Add(link.LivenessTimeout)); err != nil {
		return err
	}
	writer := wire.NewFrameWriter(c.conn, link.LivenessTimeout)
	if err := writer.Write(&message.Frame{Hello: &message.Hello{Header: c.agent.options.Fleet.Header()}}); err != nil {
		return err
	}
	return writer.Flush()
}

// begin starts to send after the first frame of the entry. Clients that send none get no queues, and
// those without streams not the long one for these.
func (c *linkConn) begin() {
	c.mu.Lock()
	c.replies = ring.New[*message.Frame](maxUnsentReplies)
	c.mu.Unlock()
	c.counted.Set(netlimit.Busy)
	c.agent.spawn(c.writeLoop)
}

// reply sends the end of a stream that has no subscription.
func (c *linkConn) reply(end *message.End) {
	if !c.replies.TryPush(&message.Frame{End: end}) {
		c.abort()
	}
}

// awaitReplies waits while the queue of replies is full.
func (c *linkConn) awaitReplies() {
	for c.replies.Len() >= maxUnsentReplies {
		select {
		case <-c.replySent:
		case <-c.done:
			return
		}
	}
}

// abort closes the connection, so that the entry resumes its streams on another one. It is
// used when a frame can not be queued, for which the entry would wait. The caller may hold
// any lock: readLoop ends the subscriptions.
func (c *linkConn) abort() { _ = c.conn.Close() }

// close closes the connection and ends its subscriptions.
func (c *linkConn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.conn.Close()
		c.mu.Lock()
		subscriptions := c.subscriptions
		c.subscriptions = nil
		c.mu.Unlock()
		for _, s := range subscriptions {
			s.closed.Store(true)
			s.run.unsubscribe(s)
		}
		c.agent.mu.Lock()
		delete(c.agent.links, c.conn)
		c.agent.mu.Unlock()
	})
}

// readLoop processes the frames of the entry until the link ends.
func (c *linkConn) readLoop() {
	defer c.close()
	defer c.counted.Remove()
	if err := c.sendHello(); err != nil {
		c.reportEnd(err)
		return
	}
	reader := wire.NewFrameReader(c.conn, link.LivenessTimeout)
	reader.Limit(c.limits.Budget)
	for first := true; ; first = false {
		frame, err := reader.Read()
		if err != nil {
			c.reportEnd(err)
			return
		}
		if first {
			c.begin()
		}
		switch {
		case frame.Hello != nil:
			c.agent.options.Fleet.Observe(frame.Hello.Header)
		case frame.Subscribe != nil:
			c.subscribe(frame.Subscribe)
		case frame.Ack != nil:
			c.ack(frame.Ack)
		case frame.Unsubscribe != nil:
			c.unsubscribe(frame.Unsubscribe)
		}
		c.awaitReplies()
	}
}

func (c *linkConn) reportEnd(err error) {
	client := c.conn.RemoteAddr().String()
	switch {
	case errors.Is(err, netlimit.ErrNoMemory):
		c.limits.Reporter.Refused(netlimit.ReasonNoMemory, client)
	case errors.Is(err, wire.ErrFrameTooLarge):
		c.limits.Reporter.Refused(netlimit.ReasonTooLarge, client)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.limits.Reporter.Refused(netlimit.ReasonFrameTimeout, client)
	}
	c.agent.logger.Debug("token link closed", zap.Error(err))
}

// subscribe adds a subscription, which replaces an earlier one to the same
// execution. If the answer is not available, it replies with the end of the stream.
func (c *linkConn) subscribe(request *message.Subscribe) {
	a := c.agent
	a.mu.Lock()
	r, ok := a.runs[request.Execution]
	record, recorded := a.table.Get(request.Execution)
	a.mu.Unlock()
	if !ok || r.request.Caller != request.Caller {
		end := message.End{Execution: request.Execution, Started: true}
		if recorded && record.Caller == request.Caller {
			end.Verdict = record.Verdict
		}
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: verdict.ReasonStreamLost,
			Message: "the agent does not hold this answer"}
		c.reply(&end)
		return
	}
	s := &subscription{conn: c, run: r, nextIndex: request.From}
	s.acked.Store(request.From)
	c.mu.Lock()
	if c.subscriptions == nil || len(c.subscriptions) >= maxLinkStreams {
		c.mu.Unlock()
		c.reply(&message.End{Execution: request.Execution, Started: true,
			Refusal: message.Refusal{Reason: verdict.ReasonOverloaded, Message: "the link has too many streams"}})
		return
	}
	if c.ready == nil {
		c.ready = ring.New[*subscription](maxLinkStreams)
		close(c.hasStreams)
	}
	if previous, exists := c.subscriptions[request.Execution]; exists {
		previous.closed.Store(true)
		previous.run.unsubscribe(previous)
	}
	c.subscriptions[request.Execution] = s
	c.mu.Unlock()
	r.subscribe(s)
}

// ack processes an acknowledgement.
func (c *linkConn) ack(a *message.Ack) {
	if a.Final {
		c.agent.mu.Lock()
		r, ok := c.agent.runs[a.Execution]
		c.agent.mu.Unlock()
		if ok {
			r.setDelivered()
		}
		return
	}
	c.mu.Lock()
	s, ok := c.subscriptions[a.Execution]
	c.mu.Unlock()
	if ok {
		s.run.ack(a.Next)
		s.acked.Store(max(s.acked.Load(), a.Next))
		s.enqueue()
	}
}

func (c *linkConn) unsubscribe(u *message.Unsubscribe) {
	c.mu.Lock()
	s, ok := c.subscriptions[u.Execution]
	c.mu.Unlock()
	if ok {
		c.removeSubscription(s)
	}
}

// writeLoop sends the tokens and ends of the subscriptions, replies and heartbeats.
func (c *linkConn) writeLoop() {
	defer c.close()
	writer := wire.NewFrameWriter(c.conn, link.LivenessTimeout)
	live := link.NewLiveness(time.Now())
	ticker := time.NewTicker(link.HeartbeatInterval / 4)
	defer ticker.Stop()
	var ready <-chan *subscription
	hasStreams := c.hasStreams
	for {
		var err error
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			if c.closeWhenSent.Load() && c.isSent() {
				wire.CloseWrite(c.conn)
				<-c.done
				return
			}
			if live.HeartbeatDue(now) {
				err = writer.Write(&message.Frame{
					Heartbeat: &message.Heartbeat{Revision: c.agent.options.Fleet.Header().Revision},
				})
				live.Sent(now)
			}
		case <-hasStreams:
			c.mu.Lock()
			ready, hasStreams = c.ready.Items(), nil
			c.mu.Unlock()
			continue
		case s := <-ready:
			err = c.sendTokens(writer, s)
			live.Sent(time.Now())
		case frame := <-c.replies.Items():
			select {
			case c.replySent <- struct{}{}:
			default:
			}
			err = writer.Write(frame)
		}
		if err == nil && c.isSent() {
			err = writer.Flush()
		}
		if err != nil {
			return
		}
	}
}

// isSent reports whether nothing waits to be sent.
func (c *linkConn) isSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replies.Len() == 0 && (c.ready == nil || c.ready.Len() == 0)
}

// sendTokens writes the next tokens of one stream, and its end after the last token.
func (c *linkConn) sendTokens(writer *wire.FrameWriter, s *subscription) error {
	s.queued.Store(false)
	if s.closed.Load() {
		return nil
	}
	credit := s.acked.Load() + link.MaxUnacked - s.nextIndex
	tokens, end, available := s.run.read(s.nextIndex, int(min(credit, maxTokensPerFrame)))
	if !available {
		c.removeSubscription(s)
		return writer.Write(&message.Frame{End: &message.End{Execution: s.run.id(), Started: true, Verdict: verdict.Ran,
			Refusal: message.Refusal{Verdict: verdict.Ran, Reason: verdict.ReasonStreamLost,
				Message: "the tokens are no longer kept"}}})
	}
	if len(tokens) > 0 {
		if err := writer.Write(&message.Frame{
			Tokens: &message.Tokens{Execution: s.run.id(), First: s.nextIndex, Tokens: tokens},
		}); err != nil {
			return err
		}
		s.nextIndex += uint64(len(tokens))
	}
	if end != nil {
		c.removeSubscription(s)
		return writer.Write(&message.Frame{End: end})
	}
	if len(tokens) == maxTokensPerFrame && credit > maxTokensPerFrame {
		s.enqueue()
	}
	return nil
}

func (c *linkConn) removeSubscription(s *subscription) {
	s.closed.Store(true)
	s.run.unsubscribe(s)
	c.mu.Lock()
	if c.subscriptions[s.run.id()] == s {
		delete(c.subscriptions, s.run.id())
	}
	c.mu.Unlock()
}
