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

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server for a listener.
func NewServer(listener net.Listener) *Server {
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]struct{}{}}
	// The method set of pingService is fixed, so the registration cannot fail.
	_ = s.rpc.RegisterName("Wire", pingService{})
	return s
}

// Register registers a net/rpc service under a name.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "register service %s", name)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			s.rpc.ServeCodec(&serverCodec{newGobCodec(conn), &s.activeCalls})
			s.untrack(conn)
		}()
	}
}

// track adds a connection to those that Close closes. It returns false after
// Close.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Shutdown stops accepting connections, waits for the replies to the calls in
// progress and then for the peers to close their connections. It closes the
// remaining connections when ctx ends, or closeTimeout after the last reply.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	defer s.Close()
	if err := waitUntil(ctx, func() bool { return s.activeCalls.Load() == 0 }); err != nil {
		return err
	}
	s.mu.Lock()
	for conn := range s.conns {
		CloseWrite(conn)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = waitUntil(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
	return nil
}

// closeTimeout limits the wait for peers that do not close their connections.
const closeTimeout = time.Second

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
