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
	for {
		conn, err := listener.Accept()
		if err == nil {
			return conn, true
		}
		if !passes(err) {
			return nil, false
		}
		reporter.Refused(ReasonDescriptors, err.Error())
		time.Sleep(acceptRetryDelay)
	}
}

// passes reports whether an error of Accept does not concern the listener itself.
func passes(err error) bool {
	for _, passing := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
