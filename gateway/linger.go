package gateway

import (
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	lingerTimeout = 500 * time.Millisecond
	// minLingerBytes is what is read behind the last request where the limits are smaller.
	minLingerBytes = 64 << 10
)

// lingerClose closes the write side and briefly reads until the caller closes.
// Closing with unread bytes would reset the connection, and the caller could
// lose the last response. It reads at most maxBytes, the size of the largest request that the
// caller may have sent behind the last one.
func (c *callerConn) lingerClose(maxBytes int64) {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var discarded [readBufferBytes]byte
	read := c.in.Buffered()
	for int64(read) < maxBytes {
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
