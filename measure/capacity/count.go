package capacity

import (
	"context"
	"net"
	"sync/atomic"

	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// traffic counts the payload bytes of connections, without TCP and IP headers.
type traffic struct {
	in, out, writes atomic.Int64
}

func (t *traffic) total() int64 { return t.in.Load() + t.out.Load() }

// countingConn counts the traffic at one end of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// dialer returns a dialer whose connections count their traffic in t.
func (t *traffic) dialer() wire.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{conn, t}, nil
	}
}

// countingListener accepts connections that count their traffic.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.traffic}, nil
}

func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen")
}
