package netlimit

import (
	"net"
	"syscall"
	"testing"
)

// failingListener returns errors before it accepts.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	server, _ := net.Pipe()
	return server, nil
}

// Guards against a server of net/http that stops accepting for good because a connection could not be
// accepted for lack of memory of the kernel: it accepts again only after a lack of descriptors.
func TestAcceptIsTriedAgain(t *testing.T) {
	for _, cause := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EMFILE} {
		listener := Retry(&failingListener{errors: []error{&net.OpError{Op: "accept", Err: cause}}}, NewReporter("test", nil, nil))
		if conn, err := listener.Accept(); err != nil || conn == nil {
			t.Errorf("after %v: %v", cause, err)
		}
	}
	listener := Retry(&failingListener{errors: []error{net.ErrClosed}}, NewReporter("test", nil, nil))
	if _, err := listener.Accept(); err != net.ErrClosed {
		t.Errorf("after the close: %v", err)
	}
}
