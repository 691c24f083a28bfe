// Package wire implements the transport of calls and frames between the system's
// processes.
//
// Calls use net/rpc, which has no deadlines. Client adds them. It also probes a
// connection while calls are in progress on it, to distinguish a dead connection
// from a slow call.
package wire

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
	"github.com/pkg/errors"
)

// DialTimeout limits the time to connect to another daemon, and the time of a TLS
// handshake.
const (
	DialTimeout = 2 * time.Second
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is a Dialer without TLS.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps one Client for each address. It is safe for concurrent use.
type Pool struct {
	dial Dialer

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool. A nil dial means DialTCP.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, clients: map[string]*Client{}}
}

// Get returns the client for an address.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = NewClient(address, p.dial)
		p.clients[address] = c
	}
	return c
}

// Call calls a method at an address.
func (p *Pool) Call(ctx context.Context, address, method string, request, reply any) error {
	return p.Get(address).Call(ctx, method, request, reply)
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	p.clients = map[string]*Client{}
}

// Server serves net/rpc on a listener.
type Server struct {
	rpc         *rpc.Server
	listener    net.Listener
	activeCalls atomic.Int64
	limits      Limits
	bound       *netlimit.Conns
	// refusing is set when calls that arrive are answered that they were not run.
	refusing atomic.Bool

	mu     sync.Mutex
	conns  map[net.Conn]*serverCodec
	closed bool
}

// NewServer returns a server for a listener.
func NewServer(listener net.Listener) *Server {
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]*serverCodec{}}
	s.SetLimits(DefaultLimits(netlimit.NewReporter("calls", nil, nil)))
	// The method set of pingService is fixed, so the registration cannot fail.
	_ = s.rpc.RegisterName("Wire", pingService{})
	return s
}

// SetLimits replaces DefaultLimits. It must be called before Serve.
func (s *Server) SetLimits(limits Limits) {
	s.limits, s.bound = limits, netlimit.NewConns(limits.MaxConns)
}

// Register registers a net/rpc service under a name.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "register service %s", name)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, ok := netlimit.Accept(s.listener, s.limits.Reporter)
		if !ok {
			return
		}
		counted, ok := s.limits.Admit(s.bound, conn)
		if !ok {
			continue
		}
		reader := newMessageReader(conn, &s.limits, counted)
		codec := &serverCodec{gobCodec: newGobCodec(conn, reader, deadlineWriter{conn, s.limits.MessageTimeout}),
			server: s, reader: reader}
		if !s.track(conn, codec) {
			counted.Remove()
			_ = conn.Close()
			return
		}
		go func() {
			s.rpc.ServeCodec(codec)
			s.untrack(conn)
			counted.Remove()
			reader.release()
		}()
	}
}

// track adds a connection to those that Close closes. It returns false after
// Close.
func (s *Server) track(conn net.Conn, codec *serverCodec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = codec
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Shutdown stops accepting connections, waits for the replies to the calls in
// progress, refuses later calls and waits for the peers to close their connections. It
// closes the remaining connections when ctx ends, or closeTimeout after the last reply.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	defer s.Close()
	isIdle := func() bool { return s.activeCalls.Load() == 0 }
	if err := waitUntil(ctx, isIdle); err != nil {
		return err
	}
	s.refusing.Store(true)
	// Calls that were read before are still run.
	if err := waitUntil(ctx, isIdle); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	refusing := time.Now()
	_ = waitUntil(ctx, func() bool { return s.closeQuiet(refusing) == 0 })
	return nil
}

// closeQuiet closes the sending side of the connections without a call for refuseGrace since
// calls are refused, and returns the number of open connections.
func (s *Server) closeQuiet(refusing time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, codec := range s.conns {
		since := max(codec.lastRequest.Load(), refusing.UnixNano())
		if !codec.closing && time.Now().UnixNano()-since >= int64(refuseGrace) {
			codec.closing = true
			CloseWrite(conn)
		}
	}
	return len(s.conns)
}

const (
	// closeTimeout limits the wait for peers that do not close their connections.
	closeTimeout = time.Second
	// refuseGrace is how long a connection stays open after its last call, so that the next
	// one is refused with a reply.
	refuseGrace = 100 * time.Millisecond
)

// CloseWrite closes the sending side of a connection. Closing the whole connection
// could reset it and lose data that the peer has not read yet. A connection without
// half-close is closed as a whole.
func CloseWrite(conn net.Conn) {
	if closer, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
		return
	}
	_ = conn.Close()
}

// waitUntil polls a condition until it holds or ctx ends.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for calls in progress")
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops accepting connections and closes all open ones.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
