package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of the kernel, which counts in whole seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// SocketControl returns a function for net.Dialer that makes the kernel report a
// connection as dead when sent bytes stay unacknowledged for a time, or when
// the other end does not answer keep-alive probes. Without it a connection to a
// host without power hangs for minutes.
func SocketControl(unacknowledged time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			for _, option := range []struct{ level, name, value int }{
				{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged / time.Millisecond)},
				{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
				{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle / time.Second)},
				{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval / time.Second)},
				{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount},
				{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
			} {
				if err := unix.SetsockoptInt(int(fd), option.level, option.name, option.value); err != nil && failed == nil {
					failed = err
				}
			}
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// NewTCPDialer returns a Dialer without TLS whose connections end when sent
// bytes stay unacknowledged.
func NewTCPDialer(timeout, unacknowledged time.Duration) Dialer {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: SocketControl(unacknowledged)}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}
