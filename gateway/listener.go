package gateway

import (
	"net"
	"os"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// acceptRetryDelay is the delay after a temporary error of Accept, such as a lack of file
// descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections until the listener is closed or stopAccepting ends it.
func (g *Gateway) Serve(listener net.Listener) error {
	g.accepting.Add(1)
	defer g.accepting.Done()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			g.startConnection(conn)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case netlimit.Passes(err):
			g.logger.Warn("could not accept a connection, retrying", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		default:
			return errors.Wrap(err, "accept connection")
		}
	}
}

// startConnection serves a connection, or refuses it if there is no room for it.
func (g *Gateway) startConnection(conn net.Conn) {
	if !g.makeRoom() {
		g.refuseConnection(conn)
		return
	}
	c := newCallerConn(g, conn)
	g.memory.force(connectionBytes)
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	go func() {
		c.serve()
		g.memory.force(-connectionBytes)
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
	}()
}

// stopAccepting closes the listener. Connections that the kernel has established by then are
// served.
func (g *Gateway) stopAccepting(listener net.Listener) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		if err := listener.Close(); err != nil {
			g.logger.Warn("could not close the listener", zap.Error(err))
		}
		g.accepting.Wait()
		return
	}
	_ = tcp.SetDeadline(time.Unix(1, 0))
	g.accepting.Wait()
	queued, err := wire.CloseListener(tcp)
	for _, conn := range queued {
		g.startConnection(conn)
	}
	if err != nil {
		g.logger.Warn("could not accept all connections before the listener was closed", zap.Error(err))
	}
}
