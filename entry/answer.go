package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

// writeTimeout bounds one write to a caller. A caller that reads nothing for this
// long is disconnected and can resume the stream with its last event id.
const writeTimeout = 20 * time.Second

// eventBufferPool holds the buffers that collect events between two writes. An
// idle stream holds no buffer, and a busy one does not have to grow a new one for
// each write.
var eventBufferPool = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBufferBytes is the capacity of the largest buffer that is returned to
// eventBufferPool.
const maxPooledBufferBytes = 256 << 10

// completionWriter writes the tokens of one generation to the caller, either as
// server-sent events or as one response.
type completionWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         message.RequestID
	model      string
	chat       bool
	stream     bool
	created    int64

	progress *progressRecorder
	// continuation is set if another engine may continue the generation.
	continuation *message.Continuation
	headerSent   bool
	text         []byte
	// nextToken is the index of the next token of the stream.
	nextToken     uint64
	streamID      string
	encodedPrefix []byte
	buffer        []byte
	pooledBuffer  *[]byte
	// sentUpTo is the value of nextToken at the last write to the caller.
	sentUpTo uint64
}

func newCompletionWriter(w http.ResponseWriter, g *generation) *completionWriter {
	return &completionWriter{
		w: w, controller: http.NewResponseController(w), id: g.id, model: g.body.Model,
		chat: g.chat, stream: g.body.Stream, created: time.Now().Unix(),
	}
}

// anyDelivered reports whether the caller may have received a token. From then on
// the generation may only be continued, not started anew.
func (cw *completionWriter) anyDelivered() bool { return cw.sentUpTo > 0 }

// reset drops what an earlier attempt buffered, so that the text of two executions
// is never mixed. It is called only when no token was delivered or when the
// attempt continues an answer from the token at which delivery stopped.
func (cw *completionWriter) reset(streamID string, from uint64) {
	cw.streamID, cw.nextToken = streamID, from
	cw.text = cw.text[:0]
	cw.releaseBuffer()
}

// copyStream writes the tokens of a stream, starting at index from, to the caller
// until the stream ends.
func (cw *completionWriter) copyStream(ctx context.Context, s *stream, host string, from uint64) *verdict.Error {
	cw.reset(formatStreamID(host, s.id), from)
	for {
		b, err := s.next(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "the answer took too long")
		}
		if err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonCanceled,
				"the request ended before its answer")
		}
		failure := cw.writeBatch(b)
		if failure == nil && b.end != nil {
			s.acknowledgeAll()
		}
		if failure != nil || b.end != nil {
			return failure
		}
		s.acknowledge(cw.nextToken)
	}
}

// writeBatch adds one batch to the response. Streamed tokens are sent at once.
func (cw *completionWriter) writeBatch(b batch) *verdict.Error {
	cw.progress.recordTokens(time.Now(), len(b.tokens))
	for i, t := range b.tokens {
		cw.nextToken = b.first + uint64(i) + 1
		if cw.stream {
			cw.appendEvent(b.first+uint64(i), t.Text, "")
		} else {
			cw.text = append(cw.text, t.Text...)
		}
	}
	if b.end != nil {
		cw.progress.recordEnd(b.end)
		cw.continuation = b.end.Continue
	}
	switch {
	case b.end == nil:
		return cw.flush()
	case b.end.FinishReason != "":
		return cw.finish(b.end)
	case cw.anyDelivered():
		if failure := cw.flush(); failure != nil {
			return failure
		}
	}
	// Tokens that were not delivered are dropped by the next attempt.
	return b.end.Refusal.Err()
}

func (cw *completionWriter) finish(end *message.End) *verdict.Error {
	if end.Count != cw.nextToken {
		return verdict.New(verdict.Ran, verdict.ReasonStreamLost,
			"tokens are missing: %d of %d arrived", cw.nextToken, end.Count)
	}
	if !cw.stream {
		return cw.writeWhole(end)
	}
	cw.appendEvent(end.Count, "", end.FinishReason)
	cw.buffer = append(cw.buffer, "data: [DONE]\n\n"...)
	return cw.flush()
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type completionUsage struct {
	CompletionTokens uint64 `json:"completion_tokens"`
}

type completionBody struct {
	ID      message.RequestID  `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model,omitempty"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

func (cw *completionWriter) objectType(suffix string) string {
	if cw.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

// appendEvent appends one server-sent event to the buffer. The final event has no
// id, so a caller that missed it resumes after the last token and receives it
// again.
func (cw *completionWriter) appendEvent(index uint64, text, finish string) {
	if cw.pooledBuffer == nil {
		cw.pooledBuffer = eventBufferPool.Get().(*[]byte)
		cw.buffer = *cw.pooledBuffer
	}
	if finish == "" {
		cw.buffer = append(cw.buffer, "id: "...)
		cw.buffer = append(cw.buffer, cw.streamID...)
		cw.buffer = append(cw.buffer, ':')
		cw.buffer = strconv.AppendUint(cw.buffer, index, 10)
		cw.buffer = append(cw.buffer, '\n')
	}
	cw.buffer = append(cw.buffer, cw.chunkPrefix()...)
	cw.buffer = appendJSONString(cw.buffer, text)
	if cw.chat {
		cw.buffer = append(cw.buffer, '}')
	}
	cw.buffer = append(cw.buffer, `,"finish_reason":`...)
	if finish == "" {
		cw.buffer = append(cw.buffer, "null"...)
	} else {
		cw.buffer = appendJSONString(cw.buffer, finish)
	}
	cw.buffer = append(cw.buffer, "}]}\n\n"...)
}

// chunkPrefix returns the encoded prefix that all chunks of a response share. It
// is cached, because encoding it for each token would dominate the cost of an
// entry.
func (cw *completionWriter) chunkPrefix() []byte {
	if cw.encodedPrefix != nil {
		return cw.encodedPrefix
	}
	p := append([]byte(`data: {"id":`), appendJSONString(nil, string(cw.id))...)
	p = append(p, `,"object":`...)
	p = appendJSONString(p, cw.objectType(".chunk"))
	p = append(p, `,"created":`...)
	p = strconv.AppendInt(p, cw.created, 10)
	p = append(p, `,"model":`...)
	p = appendJSONString(p, cw.model)
	p = append(p, `,"choices":[{"index":0,`...)
	if cw.chat {
		p = append(p, `"delta":{"content":`...)
	} else {
		p = append(p, `"text":`...)
	}
	cw.encodedPrefix = p
	return p
}

// appendJSONString appends text as a JSON string. Text that needs no escaping is
// copied without the encoder.
func appendJSONString(out []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < 0x20 || c > 0x7e || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, err := json.Marshal(text)
			if err != nil {
				return append(out, `""`...)
			}
			return append(out, quoted...)
		}
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

// writeHeader sends the response header once.
func (cw *completionWriter) writeHeader(contentType string) {
	if cw.headerSent {
		return
	}
	cw.headerSent = true
	h := cw.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set(RequestIDHeader, string(cw.id))
	cw.w.WriteHeader(http.StatusOK)
}

// flush writes the buffered events to the caller.
func (cw *completionWriter) flush() *verdict.Error {
	if len(cw.buffer) == 0 {
		return nil
	}
	cw.writeHeader("text/event-stream")
	cw.sentUpTo = cw.nextToken
	err := cw.write(cw.buffer)
	cw.releaseBuffer()
	return err
}

// releaseBuffer returns the event buffer to the pool unless it has grown too
// large.
func (cw *completionWriter) releaseBuffer() {
	if cw.pooledBuffer != nil && cap(cw.buffer) <= maxPooledBufferBytes {
		*cw.pooledBuffer = cw.buffer[:0]
		eventBufferPool.Put(cw.pooledBuffer)
	}
	cw.pooledBuffer, cw.buffer = nil, nil
}

// write sends data to the caller within writeTimeout.
func (cw *completionWriter) write(data []byte) *verdict.Error {
	_ = cw.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := cw.w.Write(data)
	if err == nil {
		err = cw.controller.Flush()
	}
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.ReasonSlowReader, "write to the caller")
	}
	return nil
}

// writeWhole sends the complete response of a request without streaming.
func (cw *completionWriter) writeWhole(end *message.End) *verdict.Error {
	text := string(cw.text)
	c := completionChoice{FinishReason: &end.FinishReason}
	if cw.chat {
		c.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body := completionBody{
		ID: cw.id, Object: cw.objectType(""), Created: cw.created, Model: cw.model,
		Choices: []completionChoice{c}, Usage: &completionUsage{cw.nextToken},
	}
	data, err := json.Marshal(body)
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.ReasonInternal, "encode the answer")
	}
	cw.sentUpTo = cw.nextToken
	cw.writeHeader("application/json")
	return cw.write(data)
}

// writeFailure ends the response with an error: an HTTP error response if nothing
// was sent yet, otherwise an error event in the stream.
func (cw *completionWriter) writeFailure(err *verdict.Error) {
	if !cw.headerSent {
		writeError(cw.w, cw.id, err)
		return
	}
	data, encodeErr := json.Marshal(newErrorBody(cw.id, err))
	if encodeErr != nil {
		return
	}
	_ = cw.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = fmt.Fprintf(cw.w, "event: error\ndata: %s\n\n", data)
	_ = cw.controller.Flush()
}

// formatStreamID returns the stream id of an execution. It names the host that
// runs the execution, so that any entry can resume reading it.
func formatStreamID(host string, id message.ExecutionID) string {
	return host + "~" + strconv.FormatUint(uint64(id.Attempt), 10) + "~" + string(id.Request)
}

func parseStreamID(text string) (host string, id message.ExecutionID, ok bool) {
	parts := strings.SplitN(text, "~", 3)
	if len(parts) != 3 {
		return "", message.ExecutionID{}, false
	}
	attempt, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return "", message.ExecutionID{}, false
	}
	return parts[0], message.ExecutionID{Request: message.RequestID(parts[2]), Attempt: uint32(attempt)}, true
}
