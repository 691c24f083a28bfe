package agent

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/link"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/ring"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

const (
	// maxLinkStreams bounds the streams of one link; each waits at most once in
	// the ring of the writer.
	maxLinkStreams = 16384
	// maxTokensPerFrame keeps one stream from delaying the others on the link.
	maxTokensPerFrame = 256
)

// subscription is one stream on one link.
type subscription struct {
	connection *connection
	run        *run
	next       uint64
	// acked bounds what is sent on this link; the run's own window is that of its
	// furthest reader.
	acked  atomic.Uint64
	queued atomic.Bool
	closed atomic.Bool
}

func (s *subscription) wake() {
	if s.closed.Load() || !s.queued.CompareAndSwap(false, true) {
		return
	}
	s.connection.dirty.TryPush(s)
}

// connection is one token link from an entry.
type connection struct {
	agent  *Agent
	conn   net.Conn
	dirty  *ring.Queue[*subscription]
	direct *ring.Queue[*message.Frame]
	done   chan struct{}
	once   sync.Once
	// finish makes the writer send what is left and close its direction.
	finish atomic.Bool

	mu   sync.Mutex
	subs map[message.ExecutionID]*subscription
}

// ServeLinks accepts token links until the listener closes.
func (a *Agent) ServeLinks(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &connection{
			agent: a, conn: conn, done: make(chan struct{}), subs: map[message.ExecutionID]*subscription{},
			dirty: ring.New[*subscription](maxLinkStreams), direct: ring.New[*message.Frame](maxLinkStreams),
		}
		a.mu.Lock()
		a.links[conn] = c
		a.mu.Unlock()
		a.spawn(c.readLoop)
		a.spawn(c.writeLoop)
	}
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.conn.Close()
		c.mu.Lock()
		subs := c.subs
		c.subs = nil
		c.mu.Unlock()
		for _, s := range subs {
			s.closed.Store(true)
			s.run.unsubscribe(s)
		}
		c.agent.mu.Lock()
		delete(c.agent.links, c.conn)
		c.agent.mu.Unlock()
	})
}

func (c *connection) readLoop() {
	defer c.close()
	reader := wire.NewFrameReader(c.conn, link.SilenceLimit)
	for {
		frame, err := reader.Read()
		if err != nil {
			c.agent.logger.Debug("token link ended", zap.Error(err))
			return
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
	}
}

func (c *connection) subscribe(request *message.Subscribe) {
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
		end.Refusal = message.Refusal{Verdict: end.Verdict, Reason: verdict.ReasonStreamLost, Message: "the agent does not hold this answer"}
		c.direct.TryPush(&message.Frame{End: &end})
		return
	}
	s := &subscription{connection: c, run: r, next: request.From}
	s.acked.Store(request.From)
	c.mu.Lock()
	if c.subs == nil || len(c.subs) >= maxLinkStreams {
		c.mu.Unlock()
		c.direct.TryPush(&message.Frame{End: &message.End{Execution: request.Execution, Started: true,
			Refusal: message.Refusal{Reason: verdict.ReasonOverloaded, Message: "the link has too many streams"}}})
		return
	}
	if old, exists := c.subs[request.Execution]; exists {
		old.closed.Store(true)
		old.run.unsubscribe(old)
	}
	c.subs[request.Execution] = s
	c.mu.Unlock()
	r.subscribe(s)
}

func (c *connection) ack(a *message.Ack) {
	if a.Final {
		c.agent.mu.Lock()
		r, ok := c.agent.runs[a.Execution]
		c.agent.mu.Unlock()
		if ok {
			r.setRead()
		}
		return
	}
	c.mu.Lock()
	s, ok := c.subs[a.Execution]
	c.mu.Unlock()
	if ok {
		s.run.ack(a.Next)
		s.acked.Store(max(s.acked.Load(), a.Next))
		s.wake()
	}
}

func (c *connection) unsubscribe(u *message.Unsubscribe) {
	c.mu.Lock()
	s, ok := c.subs[u.Execution]
	c.mu.Unlock()
	if ok {
		c.forget(s)
	}
}

// writeLoop sends what the subscriptions have to send, and heartbeats.
func (c *connection) writeLoop() {
	defer c.close()
	writer := wire.NewFrameWriter(c.conn, link.SilenceLimit)
	live := link.NewLiveness(time.Now())
	if writer.Write(&message.Frame{Hello: &message.Hello{Header: c.agent.options.Fleet.Header()}}) != nil || writer.Flush() != nil {
		return
	}
	ticker := time.NewTicker(link.HeartbeatInterval / 4)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			if c.finish.Load() && c.dirty.Len() == 0 && c.direct.Len() == 0 {
				wire.CloseWrite(c.conn)
				<-c.done
				return
			}
			if live.HeartbeatDue(now) {
				err = writer.Write(&message.Frame{Heartbeat: &message.Heartbeat{Revision: c.agent.options.Fleet.Header().Revision}})
				live.Sent(now)
			}
		case s := <-c.dirty.Items():
			err = c.send(writer, s)
			live.Sent(time.Now())
		case frame := <-c.direct.Items():
			err = writer.Write(frame)
		}
		if err == nil && c.dirty.Len() == 0 && c.direct.Len() == 0 {
			err = writer.Flush()
		}
		if err != nil {
			return
		}
	}
}

// send writes the next tokens of one stream, and its end after the last.
func (c *connection) send(writer *wire.FrameWriter, s *subscription) error {
	s.queued.Store(false)
	if s.closed.Load() {
		return nil
	}
	room := s.acked.Load() + link.MaxUnacked - s.next
	tokens, end, kept := s.run.read(s.next, int(min(room, maxTokensPerFrame)))
	if !kept {
		c.forget(s)
		return writer.Write(&message.Frame{End: &message.End{Execution: s.run.id(), Started: true, Verdict: verdict.Ran,
			Refusal: message.Refusal{Verdict: verdict.Ran, Reason: verdict.ReasonStreamLost, Message: "the tokens are no longer kept"}}})
	}
	if len(tokens) > 0 {
		if err := writer.Write(&message.Frame{Tokens: &message.Tokens{Execution: s.run.id(), First: s.next, Tokens: tokens}}); err != nil {
			return err
		}
		s.next += uint64(len(tokens))
	}
	if end != nil {
		c.forget(s)
		return writer.Write(&message.Frame{End: end})
	}
	if len(tokens) == maxTokensPerFrame && room > maxTokensPerFrame {
		s.wake()
	}
	return nil
}

func (c *connection) forget(s *subscription) {
	s.closed.Store(true)
	s.run.unsubscribe(s)
	c.mu.Lock()
	if c.subs[s.run.id()] == s {
		delete(c.subs, s.run.id())
	}
	c.mu.Unlock()
}
