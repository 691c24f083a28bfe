package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Parameters of the kernel's keep-alive probes. Durations must be whole seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// SocketControl returns a Control function for net.Dialer. It makes the kernel
// fail a connection if sent data stays unacknowledged for userTimeout, or if the
// peer does not reply to keep-alive probes. Without it, a connection to a host
// that lost power hangs for minutes.
func SocketControl(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			for _, option := range []struct{ level, name, value int }{
				{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout / time.Millisecond)},
				{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
				{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle / time.Second)},
				{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval / time.Second)},
				{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount},
				{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
			} {
				if err := unix.SetsockoptInt(int(fd), option.level, option.name, option.value); err != nil && optionErr == nil {
					optionErr = err
				}
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// RaiseSendBuffer lets the kernel hold at least so many bytes that were written to a
// connection and not yet received. A write that waits for room goes on. The kernel may allow
// fewer bytes.
func RaiseSendBuffer(conn syscall.Conn, bytes int) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		var held int
		if held, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF); optionErr == nil && held < bytes {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// NewTCPDialer returns a Dialer without TLS. Its connections fail if sent data
// stays unacknowledged for userTimeout.
func NewTCPDialer(timeout, userTimeout time.Duration) Dialer {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: SocketControl(userTimeout)}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}
