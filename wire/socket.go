package wire

import (
	"context"
	"errors"
	"net"
	"os"
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

// RaiseSendBuffer lets the kernel hold more bytes that were written to a connection and not yet
// received: twice the given number, as far as net.core.wmem_max allows. A write that waits
// for room goes on. A buffer that the kernel has already made larger stays as it is.
func RaiseSendBuffer(conn syscall.Conn, bytes int) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		var held int
		if held, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF); optionErr == nil && held < 2*bytes {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Unread returns the number of bytes that arrived on a connection and were not read, 0 if the
// kernel does not tell.
func Unread(conn syscall.Conn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	if err := raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return 0
	}
	return unread
}

// CloseListener closes a listener and returns the connections that the kernel had established
// for it and nobody had accepted. The kernel would reset them. It also returns connections
// beside an error.
func CloseListener(listener *net.TCPListener) ([]net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var files []*os.File
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				files = append(files, os.NewFile(uintptr(accepted), "accepted connection"))
			case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			case errors.Is(err, unix.EAGAIN):
				return
			default:
				acceptErr = err
				return
			}
		}
	})
	err = errors.Join(err, acceptErr, listener.Close())
	var conns []net.Conn
	for _, file := range files {
		conn, connErr := net.FileConn(file)
		if connErr == nil {
			conns = append(conns, conn)
		}
		err = errors.Join(err, connErr, file.Close())
	}
	return conns, err
}

// NewTCPDialer returns a Dialer without TLS. Its connections fail if sent data
// stays unacknowledged for userTimeout.
func NewTCPDialer(timeout, userTimeout time.Duration) Dialer {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: SocketControl(userTimeout)}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}
