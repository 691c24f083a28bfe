package gateway

import (
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// lingerClose closes the write side and briefly reads until the caller closes.
// Closing with unread bytes would reset the connection, and the caller could
// lose the last response.
func (c *callerConn) lingerClose() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var discarded [512]byte
	read := c.in.Buffered()
	for read < maxLingerBytes {
		n, err := c.conn.Read(discarded[:])
		read += n
		if err != nil {
			break
		}
	}
	c.reportDiscarded(read)
}

// reportDiscarded reports bytes that arrived while the entry stops and were not answered,
// and whether the caller had been told that the connection closes.
func (c *callerConn) reportDiscarded(bytes int) {
	g := c.gateway
	drain := g.drain.Load()
	if drain == nil || bytes == 0 {
		return
	}
	counter := g.metrics.stopDiscarded
	if !c.closeAnnounced {
		counter = g.metrics.stopUnannounced
	}
	counter.Add(1)
	g.logger.Info("bytes discarded on a connection that the stop closes", zap.Int("bytes", bytes),
		zap.Bool("close_announced", c.closeAnnounced), zap.Duration("since_stop_seconds", g.elapsed()-drain.Began),
		zap.String("remote", c.conn.RemoteAddr().String()))
}
