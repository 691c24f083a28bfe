package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

const (
	// connectTimeout is many times the round trip between failure domains and a
	// small part of the shortest objective.
	connectTimeout = 250 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before a
	// connection counts as dead.
	unacknowledged = 1500 * time.Millisecond
	maxAnswerHead  = 64 << 10
	upstreamBuffer = 4 << 10
)

// upstream is one request at one backend server.
type upstream struct {
	server   backend.Server
	conn     net.Conn
	limited  *io.LimitedReader
	response *http.Response
	answer   ResponseMetadata
	stop     func() bool
}

// close ends the request. A server that still works on it sees its caller gone.
func (u *upstream) close() {
	if u.stop != nil {
		u.stop()
	}
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, tokens := range h.Values("Connection") {
		for _, token := range strings.Split(tokens, ",") {
			out.Del(strings.TrimSpace(token))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// send sends a request to a server and waits for the head of the response. It
// uses a connection of its own: on a kept one, a late extra answer could be taken
// for the answer, and a request that crosses the server's close may have run.
func (g *Gateway) send(ctx context.Context, server backend.Server, r *request, f ForwardMetadata) (*upstream, dispatch.Result, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: wire.Control(unacknowledged), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, dispatch.NotSent, errors.Wrap(err, "connect")
	}
	u := &upstream{server: server, conn: conn, limited: &io.LimitedReader{R: conn, N: maxAnswerHead}}
	u.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline)
	}
	if _, err := conn.Write(g.encode(r, f)); err != nil {
		// A server may answer and close before it has read a long body.
		if result, ok := g.readAnswer(u, r); ok == nil {
			return u, result, nil
		}
		u.close()
		return nil, dispatch.Lost, errors.Wrap(err, "send")
	}
	result, err := g.readAnswer(u, r)
	if err != nil {
		u.close()
		return nil, result, err
	}
	return u, result, nil
}

// encode returns the bytes of the request.
func (g *Gateway) encode(r *request, f ForwardMetadata) []byte {
	header := endToEnd(r.Header)
	g.options.Dialect.WriteForward(header, f)
	var out bytes.Buffer
	out.Grow(len(r.body) + 1<<10)
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	if len(r.body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	header.Set("Connection", "close")
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(r.body)
	return out.Bytes()
}

// readAnswer reads the head of a response and judges it.
func (g *Gateway) readAnswer(u *upstream, r *request) (dispatch.Result, error) {
	in := bufio.NewReaderSize(u.limited, upstreamBuffer)
	for {
		u.limited.N = maxAnswerHead
		response, err := http.ReadResponse(in, r.Request)
		if err != nil {
			return dispatch.Lost, errors.Wrap(err, "read the response")
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		u.response = response
		break
	}
	u.limited.N = 1 << 62
	u.answer = g.options.Dialect.ReadResponse(u.response.StatusCode, u.response.Header)
	if u.answer.HasLoad {
		g.services.hint(g.elapsed(), u.server, u.answer.Load)
	}
	return judge(u, g.options.Dialect.ReadRequest(r.Header).ID)
}

// judge tells what a response means. What is not certainly the server's answer
// to this request is no answer.
func judge(u *upstream, id string) (dispatch.Result, error) {
	status := u.response.StatusCode
	switch {
	case u.answer.NotRun:
		return dispatch.Refused, nil
	case u.answer.ID != "" && u.answer.ID != id:
		return dispatch.Lost, errors.Errorf("the response belongs to request %q", u.answer.ID)
	case status < http.StatusOK || u.answer.Encoded:
		return dispatch.Lost, errors.Errorf("response %d is not the server's", status)
	case status < http.StatusMultipleChoices && !u.answer.Sealed:
		return dispatch.Lost, errors.Errorf("response %d is not sealed", status)
	case promises(status):
		return dispatch.Lost, errors.Errorf("response %d without the server's promise", status)
	case status >= http.StatusInternalServerError:
		return dispatch.ServerError, nil
	}
	return dispatch.Answered, nil
}

// promises tells whether callers take a status as a promise that the request
// has not run and will not.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
