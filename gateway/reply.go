package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds each write to a caller, which may have stopped reading.
const writeTimeout = 10 * time.Second

// responseWriter writes one response to a caller.
type responseWriter struct {
	conn net.Conn
	out  *bufio.Writer
	// noBody is set for responses to HEAD requests and for those whose status allows no body.
	noBody bool
	// http10 is set for callers that do not support chunked encoding.
	http10 bool
	// untilClose is set for a body whose end is that of the connection, because nothing else shows where it
	// ends.
	untilClose bool
	// stopping reports whether the connection closes because the entry stops. It is asked when
	// the head is written, so that the answer to a request that was in progress at the signal
	// announces the close too.
	stopping func() bool
	// closeAfter is set if the connection closes after the response.
	closeAfter bool
	// closeAnnounced is set if the head of the response says that the connection closes.
	closeAnnounced bool
	// resets is set while the connection is reset when it is closed.
	resets  bool
	started bool
	chunked bool
	ended   bool
	status  int
}

// extendDeadline gives the next write the full writeTimeout.
func (w *responseWriter) extendDeadline() { _ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// writeHead writes the status line and headers. A negative contentLength means that
// the length is unknown.
func (w *responseWriter) writeHead(status int, header http.Header, contentLength int64) {
	w.extendDeadline()
	w.started, w.status = true, status
	fmt.Fprintf(w.out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	hasNoContent := status == http.StatusNoContent || status == http.StatusNotModified
	w.noBody = w.noBody || hasNoContent
	switch {
	case hasNoContent:
	case contentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(contentLength, 10))
	case w.http10 || w.untilClose:
		w.closeAfter = true
		w.resetOnClose(true)
	default:
		w.chunked = true
		header.Set("Transfer-Encoding", "chunked")
	}
	w.closeAfter = w.closeAfter || w.stopping()
	if w.closeAfter {
		header.Set("Connection", "close")
		w.closeAnnounced = true
	}
	_ = header.Write(w.out)
	_, _ = w.out.WriteString("\r\n")
}

// writeBody writes a part of the body and flushes it.
func (w *responseWriter) writeBody(p []byte) error {
	if len(p) == 0 || w.noBody {
		return nil
	}
	w.extendDeadline()
	if w.chunked {
		fmt.Fprintf(w.out, "%x\r\n", len(p))
	}
	_, _ = w.out.Write(p)
	if w.chunked {
		_, _ = w.out.WriteString("\r\n")
	}
	return w.out.Flush()
}

// finish completes the response and flushes it.
func (w *responseWriter) finish() error {
	w.extendDeadline()
	if w.chunked && !w.noBody {
		_, _ = w.out.WriteString("0\r\n\r\n")
	}
	w.ended = true
	err := w.out.Flush()
	w.closeAfter = w.closeAfter || err != nil
	if w.resets && err == nil {
		w.resetOnClose(false)
	}
	return err
}

// resetOnClose sets whether the connection is reset when it is closed, also by the kernel after the process
// was killed. A body that ends with its connection would otherwise look complete.
func (w *responseWriter) resetOnClose(reset bool) {
	tcp, ok := w.conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	w.resets = reset
	_ = tcp.SetLinger(seconds)
}

// writeResponse writes a complete response, whose body is in parts. It states the length unless the end of
// the body is that of the connection.
func (w *responseWriter) writeResponse(status int, header http.Header, body ...[]byte) error {
	length := 0
	for _, part := range body {
		length += len(part)
	}
	if w.untilClose {
		length = -1
	}
	w.writeHead(status, header, int64(length))
	for _, part := range body {
		if !w.noBody {
			_, _ = w.out.Write(part)
		}
	}
	return w.finish()
}

// abort resets the connection before the end of the body, so that the caller can
// tell that the response is incomplete.
func (w *responseWriter) abort() {
	w.closeAfter = true
	w.resetOnClose(true)
	_ = w.conn.Close()
}
