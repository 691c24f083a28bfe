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

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Limits of one connection to a backend server.
const (
	dialTimeout          = 2 * time.Second
	maxIdleTime          = 2 * time.Second
	drainTimeout         = 50 * time.Millisecond
	maxEventBytes        = 256 << 10
	maxForwardBodyBytes  = 8 << 20
	maxControlReplyBytes = 1 << 20
	// FencingHeader carries the fencing number of an order.
	FencingHeader = "Fencing-Number"
)

// Client reaches a backend server by HTTP. Calls and control requests open a
// connection each: on a reused one the transport repeats requests that it takes
// for replayable, such as one without a body that carries an idempotency key, and
// an idle one may have gone silent. Generations are neither, because they are
// resumed after a silence; they reuse connections that were idle for a moment
// only, because opening one is most of the time to their first token.
type Client struct {
	base   string
	http   *http.Client
	stream *http.Client
	reused *http.Transport
}

// NewClient returns a client for an IP number with a port.
func NewClient(address string) *Client {
	reused := newTransport()
	reused.DisableKeepAlives = false
	return &Client{
		base: "http://" + address, reused: reused,
		http:   &http.Client{Transport: newTransport(), CheckRedirect: noRedirect},
		stream: &http.Client{Transport: reused, CheckRedirect: noRedirect},
	}
}

// noRedirect hands redirects to the caller: following one runs the call again.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.Wrap(ErrUnreachable, err.Error())
			}
			return conn, nil
		},
		DisableKeepAlives:   true,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     maxIdleTime,
	}
}

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
	resp, err := c.stream.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
		return nil, errors.Wrapf(statusError(resp.StatusCode), "status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &sseStream{body: resp.Body, scanner: scanner}, nil
}

// generateBody merges the caller's JSON with the engine's own fields.
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

// statusError tells what a status proves. Only an answer by which the backend
// server declines the request is a refusal; other server errors may follow work.
func statusError(status int) error {
	switch {
	case status == http.StatusConflict:
		return ErrInUse
	case status == http.StatusServiceUnavailable:
		return ErrRefused
	case status >= http.StatusInternalServerError || status < http.StatusBadRequest || status == http.StatusRequestTimeout:
		return ErrFailed
	}
	return ErrRefused
}

func classify(err error) error {
	if errors.Is(err, ErrUnreachable) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

type sseStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	ended   bool
	// finished is set after an event with a finish reason.
	finished bool
}

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

// Next reads one event. A stream that ends without [DONE] is a lost connection.
func (s *sseStream) Next() (Event, error) {
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			s.ended = true
			return Event{}, io.EOF
		}
		e, err := decodeChunk(data)
		s.finished = e.FinishReason != ""
		return e, err
	}
	if s.ended {
		return Event{}, io.EOF
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, errors.Wrap(ErrConnectionLost, err.Error())
	}
	return Event{}, ErrConnectionLost
}

func decodeChunk(data []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrapf(ErrConnectionLost, "event is not valid JSON: %v", err)
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

// Close ends the stream. After the last token it reads the rest, which lets the
// connection be used again.
func (s *sseStream) Close() error {
	if s.finished {
		timer := time.AfterFunc(drainTimeout, func() { _ = s.body.Close() })
		defer timer.Stop()
		for s.scanner.Scan() {
			continue
		}
	}
	return s.body.Close()
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return classify(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
	if err != nil {
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return errors.Wrap(ErrFenced, strings.TrimSpace(string(data)))
	case resp.StatusCode >= http.StatusBadRequest:
		return errors.Wrapf(ErrRefused, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
	case out == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode reply")
}

// Cancel stops a generation. Connections that are idle now are not used again,
// because the generation may be stopped for a connection that went silent.
func (c *Client) Cancel(ctx context.Context, id string) error {
	c.reused.CloseIdleConnections()
	return c.do(ctx, http.MethodDelete, "/v1/requests/"+id, nil, nil, nil)
}

// Load returns the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.do(ctx, http.MethodGet, "/load", nil, nil, &l)
	return l, err
}

// CacheEvents returns cache events after a sequence number. They may be late
// and have gaps.
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

// Forward runs one call of a plain service.
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
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, classify(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxForwardBodyBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(ErrConnectionLost, err.Error())
	}
	if len(body) > maxForwardBodyBytes {
		return Response{}, errors.Wrap(ErrConnectionLost, "answer is larger than the limit")
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
