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
	"arbutusmast.example/arbutusmast/core/httpfield"
	"arbutusmast.example/arbutusmast/core/httpstatus"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/httpclient"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

const (
	// connectTimeout is many times the round trip between failure domains and a
	// small fraction of the shortest latency objective.
	connectTimeout = 250 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// maxResponseHeadBytes limits the head of a response with all informational
	// responses before it.
	maxResponseHeadBytes = 64 << 10
	upstreamBufferBytes  = 4 << 10
)

// upstream is a request at a backend server, on a connection of its own.
type upstream struct {
	server backend.Server
	// sentAt is the time since boot at which the request was sent.
	sentAt   time.Duration
	conn     net.Conn
	limited  *io.LimitedReader
	response *http.Response
	// watched is set if an agent ran beside the server when the request was sent.
	watched bool
	// eventsBefore is the number of events that were forwarded before the request was sent.
	eventsBefore int
	metadata     ResponseMetadata
	stop         func() bool
	// crossing counts the bytes of the body by crossingCause, nil if the server is in the
	// failure domain of this entry.
	crossing      *observe.Counters
	crossingCause string
}

// bodyLimit is the limit of a response after its head, which is none in effect.
const bodyLimit = 1 << 62

// Causes of bytes between failure domains.
const (
	crossingCall       = "call"
	crossingGeneration = "generation"
	crossingResumed    = "resumed_generation"
)

// countCrossing counts the bytes of the response if they come from another failure domain.
func (g *Gateway) countCrossing(u *upstream, cause string) {
	if u != nil && u.server.FailureDomain != g.options.FailureDomain {
		u.crossing, u.crossingCause = g.metrics.crossDomainBytes, cause
	}
}

// Framings of a response body.
const (
	framingLength = "length"
	framingChunks = "chunks"
	// framingClose means that the body ends where the server closes the connection, whatever its reason.
	framingClose = "close"
)

// framing returns how the end of the response body is marked.
func (u *upstream) framing() string {
	switch {
	case httpclient.EndsWithConnection(u.response):
		return framingClose
	case len(u.response.TransferEncoding) > 0:
		return framingChunks
	}
	return framingLength
}

// close ends the request. The server sees the disconnect and can cancel the work.
func (u *upstream) close() {
	if u.stop != nil {
		u.stop()
	}
	if u.conn != nil {
		_ = u.conn.Close()
	}
	if u.crossing != nil {
		u.crossing.Add(u.crossingCause, bodyLimit-u.limited.N)
		u.crossing = nil
	}
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

// endToEnd returns a copy of the headers without hop-by-hop ones.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, tokens := range h.Values("Connection") {
		for _, token := range strings.Split(tokens, ",") {
			out.Del(strings.TrimSpace(token))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// send sends a request to a server and waits for the head of the response. It uses a
// new connection: on a reused one, a late extra response could be taken for the
// response to this request, and if the server closed the connection while the request
// was sent, it would be unknown whether the request ran.
//
// The request is not sent after permitUntil, if that is not 0. The process may have been
// suspended, or the connection may have taken long.
func (g *Gateway) send(ctx context.Context, server backend.Server, r *request, f ForwardMetadata,
	permitUntil time.Duration) (*upstream, dispatch.Result, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: wire.SocketControl(tcpUserTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		if ctx.Err() == nil {
			g.cold.assumeCold(server, g.options.Fleet.View())
		}
		return nil, dispatch.NotSent, errors.Wrap(err, "connect")
	}
	u := &upstream{server: server, sentAt: fleet.SinceBoot(), conn: conn, limited: &io.LimitedReader{R: conn, N: maxResponseHeadBytes}}
	u.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline)
	}
	err = g.checkEvacuated(server, f.Copy != "")
	if err == nil && permitUntil != 0 && fleet.SinceBoot() > permitUntil {
		err = errPermitEnded
	}
	if err != nil {
		u.close()
		return nil, dispatch.NotSent, err
	}
	message := append(net.Buffers{g.encodeHead(r, f)}, r.body.segments...)
	_, writeErr := message.WriteTo(conn)
	// A server may respond and close before it has read a long body.
	result, err := g.readResponse(u, r)
	if err != nil {
		u.close()
		if writeErr != nil {
			return nil, dispatch.Lost, errors.Wrap(writeErr, "send")
		}
		return nil, result, err
	}
	httpclient.RequireWrittenRequest(u.response, func() error { return writeErr })
	return u, result, nil
}

// encodeHead returns the head of the request to a server.
func (g *Gateway) encodeHead(r *request, f ForwardMetadata) []byte {
	header := endToEnd(r.Header)
	g.options.Dialect.WriteForward(header, f)
	var out bytes.Buffer
	out.Grow(1 << 10)
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	if r.body.length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(r.body.length, 10))
	}
	header.Set("Connection", "close")
	_ = header.Write(&out)
	out.WriteString("\r\n")
	return out.Bytes()
}

// readResponse reads the head of a response, skipping informational responses, and
// classifies it.
func (g *Gateway) readResponse(u *upstream, r *request) (dispatch.Result, error) {
	in := bufio.NewReaderSize(u.limited, upstreamBufferBytes)
	u.limited.N = maxResponseHeadBytes
	for {
		response, err := http.ReadResponse(in, r.Request)
		if err != nil {
			return dispatch.Lost, errors.Wrap(err, "read the response")
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		if err := httpfield.CheckNames(response.Header); err != nil {
			return dispatch.Lost, err
		}
		u.response = response
		break
	}
	u.limited.N = bodyLimit - int64(in.Buffered())
	u.metadata = g.options.Dialect.ReadResponse(u.response.StatusCode, u.response.Header)
	if u.metadata.HasLoad {
		g.services.observeLoad(g.elapsed(), u.server, u.metadata.Load)
	}
	id := g.options.Dialect.ReadRequest(r.Header).ID
	result, err := classify(u, id)
	g.limits.observe(u, result)
	if u.isOwn(id) {
		g.observeNotice(u.server, u.metadata.Notice)
	}
	return result, err
}

// isOwn reports whether the response is the server's own to a request. Another instance at
// its address rejects misdirected requests.
func (u *upstream) isOwn(id string) bool {
	return (u.metadata.ID == "" || u.metadata.ID == id) && u.response.StatusCode != http.StatusMisdirectedRequest
}

// classify returns the result of an attempt that got a response. A response that is
// not certainly the server's response to this request counts as lost.
func classify(u *upstream, id string) (dispatch.Result, error) {
	status := u.response.StatusCode
	switch {
	case u.metadata.ID != "" && u.metadata.ID != id:
		return dispatch.Lost, errors.Errorf("the response is for request %q", u.metadata.ID)
	case u.metadata.NotRun:
		return dispatch.Refused, nil
	case !httpstatus.IsFinal(status) || u.metadata.Encoded:
		return dispatch.Lost, errors.Errorf("response with status %d is not the original response of the server", status)
	case status < http.StatusMultipleChoices && !u.metadata.Sealed:
		return dispatch.Lost, errors.Errorf("response with status %d has no seal", status)
	case impliesNotRun(status):
		return dispatch.Lost, errors.Errorf("response with status %d does not say that the request was not run", status)
	case status >= http.StatusInternalServerError:
		return dispatch.ServerError, nil
	}
	return dispatch.Answered, nil
}

// impliesNotRun reports whether callers take the status as a guarantee that the
// request has not run and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}
