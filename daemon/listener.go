package daemon

import (
	"net"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/wire"
)

// gracefulListener is a TCP listener that stops without a reset of connections that the kernel
// has established.
type gracefulListener struct {
	*net.TCPListener
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
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.stopping.Load() {
		return conn, err
	}
	if !l.isClosed {
		l.isClosed = true
		l.queued, _ = wire.CloseListener(l.TCPListener)
	}
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	conn, l.queued = l.queued[0], l.queued[1:]
	return conn, nil
}
