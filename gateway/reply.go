package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 10 * time.Second

// reply writes one response to a caller.
type reply struct {
	conn net.Conn
	out  *bufio.Writer
	// bodyless is set for a HEAD request.
	bodyless bool
	// legacy is set for a caller that does not understand chunks.
	legacy bool
	// last makes the connection close after the response.
	last    bool
	started bool
	chunked bool
	ended   bool
	status  int
}

func (r *reply) deadline() { _ = r.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// start writes the head. A negative length means that it is not known.
func (r *reply) start(status int, header http.Header, length int64) {
	r.deadline()
	r.started, r.status = true, status
	fmt.Fprintf(r.out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	switch {
	case length >= 0:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	case r.legacy:
		r.last = true
	default:
		r.chunked = true
		header.Set("Transfer-Encoding", "chunked")
	}
	if r.last {
		header.Set("Connection", "close")
	}
	_ = header.Write(r.out)
	_, _ = r.out.WriteString("\r\n")
}

// write sends a part of the body at once.
func (r *reply) write(p []byte) error {
	if len(p) == 0 || r.bodyless {
		return nil
	}
	r.deadline()
	if r.chunked {
		fmt.Fprintf(r.out, "%x\r\n", len(p))
	}
	_, _ = r.out.Write(p)
	if r.chunked {
		_, _ = r.out.WriteString("\r\n")
	}
	return r.out.Flush()
}

// end completes the response.
func (r *reply) end() error {
	r.deadline()
	if r.chunked && !r.bodyless {
		_, _ = r.out.WriteString("0\r\n\r\n")
	}
	r.ended = true
	return r.out.Flush()
}

// whole sends a complete response.
func (r *reply) whole(status int, header http.Header, body []byte) error {
	r.start(status, header, int64(len(body)))
	if !r.bodyless {
		_, _ = r.out.Write(body)
	}
	return r.end()
}

// abort makes the caller see that the response is not complete: the connection
// is reset, without the end of the body.
func (r *reply) abort() {
	r.last = true
	if tcp, ok := r.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = r.conn.Close()
}
