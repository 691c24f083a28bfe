package netlimit

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// ReadSegments reads size bytes into memory that is taken from holding as they arrive. The caller
// closes holding.
func ReadSegments(holding *Holding, from io.Reader, size int64) ([][]byte, error) {
	s := segments{holding: holding, announced: size}
	if err := s.read(io.LimitReader(from, size), size); err != nil {
		return nil, err
	}
	if s.size < size {
		return nil, io.ErrUnexpectedEOF
	}
	return append(s.full, s.last), nil
}

// acceptRetryDelay is the delay after a temporary error of Accept, such as a lack of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Accept accepts a connection. It tries again after an error that passes, such as a lack of
// descriptors, and returns false when the listener is closed or broken.
func Accept(listener net.Listener, reporter *Reporter) (net.Conn, bool) {
	conn, err := Retry(listener, reporter).Accept()
	return conn, err == nil
}

// Retry returns a listener that tries again to accept after an error that passes. Servers of net/http
// do so only after some of them, and stop accepting after others, such as a lack of memory of the
// kernel.
func Retry(listener net.Listener, reporter *Reporter) net.Listener {
	return &retryListener{listener, reporter}
}

type retryListener struct {
	net.Listener
	reporter *Reporter
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !Passes(err) {
			return conn, err
		}
		l.reporter.Refused(ReasonDescriptors, err.Error())
		time.Sleep(acceptRetryDelay)
	}
}

// Passes reports whether an error of Accept does not concern the listener itself.
func Passes(err error) bool {
	for _, passing := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
