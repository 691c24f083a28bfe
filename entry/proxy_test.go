package entry_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// faultProxy forwards connections to a target. After dropBytes, the connections that
// are open at that time drop all bytes in both directions without closing, while
// new connections work.
type faultProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*proxyPair
}

type proxyPair struct {
	client, server net.Conn
	dropping       atomic.Bool
}

func newFaultProxy(t testing.TB, target string) *faultProxy {
	p := &faultProxy{listener: listen(t), target: target}
	go p.serve()
	t.Cleanup(func() { _ = p.listener.Close(); p.closeConnections() })
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		pair := &proxyPair{client: client, server: server}
		p.mu.Lock()
		p.pairs = append(p.pairs, pair)
		p.mu.Unlock()
		go pair.copy(client, server)
		go pair.copy(server, client)
	}
}

func (p *proxyPair) copy(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.dropping.Load() && err == nil {
			continue
		}
		if err != nil {
			if !p.dropping.Load() {
				_ = to.Close()
			}
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// dropBytes makes all open connections drop their bytes.
func (p *faultProxy) dropBytes() { p.forEachPair(func(pair *proxyPair) { pair.dropping.Store(true) }) }

// closeConnections closes all open connections.
func (p *faultProxy) closeConnections() {
	p.forEachPair(func(pair *proxyPair) { _ = pair.client.Close(); _ = pair.server.Close() })
}

func (p *faultProxy) forEachPair(f func(*proxyPair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pair := range p.pairs {
		f(pair)
	}
}
