package daemon

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

// gracefulListener is a TCP listener that stops without a reset of connections that the kernel
// has established.
type gracefulListener struct {
	*net.TCPListener
	logger   *zap.Logger
	stopping atomic.Bool
	isClosed bool
	queued   []net.Conn
}

// stop makes Accept return the connections that the kernel has established, and then
// net.ErrClosed.
func (l *gracefulListener) stop() {
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0))
}

// Accept implements net.Listener. It must not be called concurrently.
func (l *gracefulListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		conn = &lingerConn{TCPConn: tcp}
	}
	return conn, err
}

func (l *gracefulListener) accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.stopping.Load() {
		return conn, err
	}
	if !l.isClosed {
		l.isClosed = true
		if l.queued, err = wire.CloseListener(l.TCPListener); err != nil {
			l.logger.Warn("could not accept all connections before the listener was closed", zap.Error(err))
		}
	}
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	conn, l.queued = l.queued[0], l.queued[1:]
	return conn, nil
}

const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// lingerConn is a connection that can be closed without a reset. Closing with unread bytes
// would reset it, and the caller could lose the last answer.
type lingerConn struct {
	*net.TCPConn
	lingers, abandoned atomic.Bool
}

// linger makes the next Close read until the caller has closed its side.
func (c *lingerConn) linger() { c.lingers.Store(true) }

// abandon makes Close close the connection at once.
func (c *lingerConn) abandon() { c.abandoned.Store(true) }

// Close implements net.Conn. Another Close during the linger ends it.
func (c *lingerConn) Close() error {
	if !c.lingers.Swap(false) || c.abandoned.Load() || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	return c.TCPConn.Close()
}

// lingerOf returns the lingerConn of a connection, with or without TLS and limits.
func lingerOf(conn net.Conn) *lingerConn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	c, _ := conn.(*lingerConn)
	return c
}
