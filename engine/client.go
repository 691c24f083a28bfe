package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/httpfield"
	"arbutusmast.example/arbutusmast/core/httpstatus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/httpclient"
	"github.com/pkg/errors"
)

// Timeouts and size limits of requests to a backend server.
const (
	dialTimeout          = 2 * time.Second
	maxHeadBytes         = 64 << 10
	maxEventBytes        = 256 << 10
	maxForwardBodyBytes  = 8 << 20
	maxControlReplyBytes = 1 << 20
	// FencingHeader is the header that carries the fencing number of an order.
	FencingHeader = "Fencing-Number"
)

// Client is an HTTP client of a backend server.
//
// Each request uses a new connection. On a reused one, a late second copy of an
// answer would be taken for the answer to the next request, the transport would retry
// requests that it considers replayable, for example one without a body that has an
// idempotency key, and an idle connection may have failed without notice.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for a backend server at an IP address and port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: newTransport(), CheckRedirect: noRedirect}}
}

// noRedirect returns redirects to the caller instead of following them, because
// following one would run the call again.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport() *httpclient.Transport {
	return &httpclient.Transport{Dial: dial, MaxHeadBytes: maxHeadBytes}
}

// dial opens a connection to a backend server.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return conn, nil
}

// generateOptions holds the fields that are added to the caller's JSON.
type generateOptions struct {
	Stream     bool   `json:"stream"`
	RequestID  string `json:"request_id"`
	Priority   int    `json:"priority"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Version    string `json:"version,omitempty"`
	MaxTokens  int    `json:"max_tokens,omitempty"`
	Generation string `json:"generation,omitempty"`
	ResumeFrom uint64 `json:"resume_from,omitempty"`
	ResumeText string `json:"resume_text,omitempty"`
}

// Generate starts or resumes a generation.
func (c *Client) Generate(ctx context.Context, r Request) (Stream, error) {
	body, path, err := generateBody(r)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.send(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
		if err != nil {
			return nil, errors.Wrap(ErrConnectionLost, err.Error())
		}
		return nil, errors.Wrapf(statusError(resp.StatusCode),
			"status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &sseStream{requestID: r.ID, body: resp.Body, scanner: scanner}, nil
}

// send sends a request and returns the response, whose head is valid.
func (c *Client) send(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	return resp, checkHead(resp)
}

// checkHead closes a response without a final status of HTTP, or with an invalid field name, and returns an
// error.
func checkHead(resp *http.Response) error {
	err := httpfield.CheckNames(resp.Header)
	if !httpstatus.IsFinal(resp.StatusCode) {
		err = errors.Errorf("response with status %q, which is no final one of HTTP", resp.Status)
	}
	if err == nil {
		return nil
	}
	_ = resp.Body.Close()
	return errors.Wrap(ErrFailed, err.Error())
}

// generateBody merges the options of the request into the caller's JSON. It returns
// the body and the path.
func generateBody(r Request) ([]byte, string, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, "", errors.Wrap(ErrRefused, "body is not a JSON object")
	}
	path := "/v1/completions"
	if _, chat := fields["messages"]; chat {
		path = "/v1/chat/completions"
	}
	options, err := json.Marshal(generateOptions{
		Stream: true, RequestID: r.ID, Priority: r.Priority, Model: r.Model, Adapter: r.Adapter,
		Version: r.Version, MaxTokens: r.MaxTokens, Generation: r.Generation, ResumeFrom: r.ResumeFrom,
		ResumeText: r.ResumeText,
	})
	if err != nil {
		return nil, "", errors.Wrap(err, "encode options")
	}
	if err := json.Unmarshal(options, &fields); err != nil {
		return nil, "", errors.Wrap(err, "merge options")
	}
	body, err := json.Marshal(fields)
	return body, path, errors.Wrap(err, "encode body")
}

// statusError returns the error for a response status. Only a status that rejects
// the request is ErrRefused; after other errors the request may have run.
func statusError(status int) error {
	switch {
	case status == http.StatusConflict:
		return ErrInUse
	case status == http.StatusServiceUnavailable:
		return ErrRefused
	case status >= http.StatusInternalServerError || status < http.StatusBadRequest ||
		status == http.StatusRequestTimeout:
		return ErrFailed
	}
	return ErrRefused
}

// transportError returns the error for a failed HTTP round trip: ErrUnreachable if no
// connection could be made, otherwise ErrConnectionLost.
func transportError(err error) error {
	if errors.Is(err, ErrUnreachable) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

// sseStream reads a generation from a stream of server-sent events.
type sseStream struct {
	requestID string
	body      io.ReadCloser
	scanner   *bufio.Scanner
	// sawDone is set after the [DONE] event.
	sawDone bool
}

// chunk is the JSON of one event.
type chunk struct {
	ID         string `json:"id"`
	Generation string `json:"generation"`
	Index      uint64 `json:"index"`
	Preempted  bool   `json:"preempted"`
	Choices    []struct {
		Text         *string `json:"text"`
		FinishReason *string `json:"finish_reason"`
		Delta        struct {
			Content *string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Next reads one event. If the stream ends without [DONE], it returns
// ErrConnectionLost.
func (s *sseStream) Next() (Event, error) {
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			s.sawDone = true
			return Event{}, io.EOF
		}
		return s.decodeChunk(data)
	}
	if s.sawDone {
		return Event{}, io.EOF
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, errors.Wrap(ErrConnectionLost, err.Error())
	}
	return Event{}, ErrConnectionLost
}

func (s *sseStream) decodeChunk(data []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrapf(ErrConnectionLost, "event is not valid JSON: %v", err)
	}
	if c.ID != "" && c.ID != s.requestID {
		return Event{}, errors.Wrapf(ErrConnectionLost, "event of request %q", c.ID)
	}
	e := Event{Generation: c.Generation, Index: c.Index, Preempted: c.Preempted}
	if len(c.Choices) == 0 {
		return e, nil
	}
	choice := c.Choices[0]
	text := choice.Text
	if text == nil {
		text = choice.Delta.Content
	}
	if text != nil {
		e.HasToken = true
		e.Token.Text = *text
	}
	if choice.FinishReason != nil {
		e.FinishReason = *choice.FinishReason
	}
	return e, nil
}

// Close closes the stream. If the generation has finished, it first reads the rest
// of the stream, so that the connection can be reused.
func (s *sseStream) Close() error { return s.body.Close() }

// do sends a control request and decodes the JSON reply into out, unless it is nil.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
	if err != nil {
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	if err := controlError(resp.StatusCode, data); err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode reply")
}

// controlError returns the error for the response to a control request, nil if that succeeded.
func controlError(status int, body []byte) error {
	text := strings.TrimSpace(string(body))
	switch {
	case status == http.StatusConflict:
		return errors.Wrap(ErrFenced, text)
	case httpstatus.IsError(status):
		return errors.Wrapf(ErrRefused, "status %d: %s", status, text)
	case !httpstatus.IsSuccess(status):
		return errors.Wrapf(ErrFailed, "status %d: %s", status, text)
	}
	return nil
}

// Cancel stops a generation.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, "/v1/requests/"+id, nil, nil, nil)
}

// Load returns the current load of the engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.do(ctx, http.MethodGet, "/load", nil, nil, &l)
	return l, err
}

// CacheEvents returns the cache events after a sequence number. Events may be
// delayed or missing.
func (c *Client) CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.do(ctx, http.MethodGet, "/cache_events?since="+strconv.FormatUint(since, 10), nil, nil, &events)
	return events, err
}

// Order sends an order with its fencing number.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	header := http.Header{FencingHeader: {strconv.FormatUint(o.Fencing, 10)}, "Content-Type": {"application/json"}}
	return c.do(ctx, http.MethodPost, "/orders", header, body, nil)
}

// Forward sends one call to a plain service and returns its response.
func (c *Client) Forward(ctx context.Context, r *message.ForwardRequest) (Response, error) {
	url := c.base + r.Path
	if r.RawQuery != "" {
		url += "?" + r.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, errors.Wrap(ErrRefused, err.Error())
	}
	for k, v := range r.HTTPHeader {
		req.Header[k] = v
	}
	resp, err := c.send(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxForwardBodyBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(ErrConnectionLost, err.Error())
	}
	if len(body) > maxForwardBodyBytes {
		return Response{}, errors.Wrap(ErrConnectionLost, "answer is larger than the limit")
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body,
		Unframed: httpclient.EndsWithConnection(resp)}, nil
}
