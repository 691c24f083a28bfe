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

// writeTimeout bounds one write to a caller. A caller that reads nothing for so
// long loses the stream and can go on reading it by its last event id.
const writeTimeout = 20 * time.Second

// eventBuffers holds the buffers of events between two writes. An idle stream
// keeps none, and a busy one need not grow a new one for each write.
var eventBuffers = sync.Pool{New: func() any { return new([]byte) }}

// maxEventBytes is the largest buffer that goes back to eventBuffers.
const maxEventBytes = 256 << 10

// answer writes the tokens of one generation to the caller, as server-sent
// events or whole.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      message.RequestID
	model   string
	chat    bool
	stream  bool
	created int64

	progress *progress
	// resume is set when another engine may go on with the answer.
	resume    *message.Continuation
	begun     bool
	text      []byte
	tokens    uint64
	streamID  string
	prefix    []byte
	buffer    []byte
	pooled    *[]byte
	sentCount uint64
}

func newAnswer(w http.ResponseWriter, g *generation) *answer {
	return &answer{
		w: w, control: http.NewResponseController(w), id: g.id, model: g.body.Model,
		chat: g.chat, stream: g.body.Stream, created: time.Now().Unix(),
	}
}

// delivered tells whether the caller may have got any token. From then on only
// the same execution may go on.
func (a *answer) delivered() bool { return a.sentCount > 0 }

// restart drops what an earlier attempt buffered, so that the text of two
// executions is never mixed. It is called only while nothing was delivered.
func (a *answer) restart(streamID string, from uint64) {
	a.streamID, a.tokens = streamID, from
	a.text = a.text[:0]
	a.release()
}

// copy moves the tokens of a stream from an index on to the caller until its
// end.
func (a *answer) copy(ctx context.Context, s *stream, host string, from uint64) *verdict.Error {
	a.restart(newStreamID(host, s.id), from)
	for {
		b, err := s.next(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "the answer took too long")
		}
		if err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonCanceled, "the request ended before its answer")
		}
		failure := a.take(b)
		if failure == nil && b.end != nil {
			s.delivered()
		}
		if failure != nil || b.end != nil {
			return failure
		}
		s.ack(a.tokens)
	}
}

// take writes one batch.
func (a *answer) take(b batch) *verdict.Error {
	a.progress.took(time.Now(), len(b.tokens))
	for i, t := range b.tokens {
		a.tokens = b.first + uint64(i) + 1
		if a.stream {
			a.event(b.first+uint64(i), t.Text, "")
		} else {
			a.text = append(a.text, t.Text...)
		}
	}
	if b.end != nil {
		a.progress.ended(b.end)
		a.resume = b.end.Continue
	}
	switch {
	case b.end == nil:
		return a.flush()
	case b.end.FinishReason != "":
		return a.finish(b.end)
	case a.delivered():
		if failure := a.flush(); failure != nil {
			return failure
		}
	}
	// Tokens that were not delivered yet are dropped by the next attempt.
	return b.end.Refusal.Err()
}

func (a *answer) finish(end *message.End) *verdict.Error {
	if end.Count != a.tokens {
		return verdict.New(verdict.Ran, verdict.ReasonStreamLost, "tokens are missing: %d of %d arrived", a.tokens, end.Count)
	}
	if !a.stream {
		return a.whole(end)
	}
	a.event(end.Count, "", end.FinishReason)
	a.buffer = append(a.buffer, "data: [DONE]\n\n"...)
	return a.flush()
}

type chunkMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chunkChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *chunkMessage `json:"message,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type usage struct {
	CompletionTokens uint64 `json:"completion_tokens"`
}

type chunkBody struct {
	ID      message.RequestID `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model,omitempty"`
	Choices []chunkChoice     `json:"choices"`
	Usage   *usage            `json:"usage,omitempty"`
}

func (a *answer) object(suffix string) string {
	if a.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

// event appends one server-sent event to the buffer. The last one has no id: a
// caller that lost it resumes after the last token and gets it again.
func (a *answer) event(index uint64, text, finish string) {
	if a.pooled == nil {
		a.pooled = eventBuffers.Get().(*[]byte)
		a.buffer = *a.pooled
	}
	if finish == "" {
		a.buffer = append(a.buffer, "id: "...)
		a.buffer = append(a.buffer, a.streamID...)
		a.buffer = append(a.buffer, ':')
		a.buffer = strconv.AppendUint(a.buffer, index, 10)
		a.buffer = append(a.buffer, '\n')
	}
	a.buffer = append(a.buffer, a.chunkPrefix()...)
	a.buffer = appendJSONString(a.buffer, text)
	if a.chat {
		a.buffer = append(a.buffer, '}')
	}
	a.buffer = append(a.buffer, `,"finish_reason":`...)
	if finish == "" {
		a.buffer = append(a.buffer, "null"...)
	} else {
		a.buffer = appendJSONString(a.buffer, finish)
	}
	a.buffer = append(a.buffer, "}]}\n\n"...)
}

// chunkPrefix returns the part that all chunks of an answer share. Encoding it
// for each token would be the largest cost of an entry.
func (a *answer) chunkPrefix() []byte {
	if a.prefix != nil {
		return a.prefix
	}
	p := append([]byte(`data: {"id":`), appendJSONString(nil, string(a.id))...)
	p = append(p, `,"object":`...)
	p = appendJSONString(p, a.object(".chunk"))
	p = append(p, `,"created":`...)
	p = strconv.AppendInt(p, a.created, 10)
	p = append(p, `,"model":`...)
	p = appendJSONString(p, a.model)
	p = append(p, `,"choices":[{"index":0,`...)
	if a.chat {
		p = append(p, `"delta":{"content":`...)
	} else {
		p = append(p, `"text":`...)
	}
	a.prefix = p
	return p
}

// appendJSONString appends text as a JSON string. Text that needs no escape is
// copied.
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

// begin sends the response header once.
func (a *answer) begin(contentType string) {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set(RequestIDHeader, string(a.id))
	a.w.WriteHeader(http.StatusOK)
}

// flush sends the buffered events.
func (a *answer) flush() *verdict.Error {
	if len(a.buffer) == 0 {
		return nil
	}
	a.begin("text/event-stream")
	a.sentCount = a.tokens
	err := a.write(a.buffer)
	a.release()
	return err
}

// release gives the buffer of events back.
func (a *answer) release() {
	if a.pooled != nil && cap(a.buffer) <= maxEventBytes {
		*a.pooled = a.buffer[:0]
		eventBuffers.Put(a.pooled)
	}
	a.pooled, a.buffer = nil, nil
}

// write sends bytes to the caller within writeTimeout.
func (a *answer) write(data []byte) *verdict.Error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := a.w.Write(data)
	if err == nil {
		err = a.control.Flush()
	}
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.ReasonSlowReader, "write to the caller")
	}
	return nil
}

// whole sends the complete answer at once.
func (a *answer) whole(end *message.End) *verdict.Error {
	text := string(a.text)
	c := chunkChoice{FinishReason: &end.FinishReason}
	if a.chat {
		c.Message = &chunkMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body := chunkBody{ID: a.id, Object: a.object(""), Created: a.created, Model: a.model, Choices: []chunkChoice{c}, Usage: &usage{a.tokens}}
	data, err := json.Marshal(body)
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.ReasonInternal, "encode the answer")
	}
	a.sentCount = a.tokens
	a.begin("application/json")
	return a.write(data)
}

// fail ends the answer with an error: as an HTTP status when nothing was sent,
// as an error event in a stream.
func (a *answer) fail(err *verdict.Error) {
	if !a.begun {
		writeError(a.w, a.id, err)
		return
	}
	data, encodeErr := json.Marshal(newErrorBody(a.id, err))
	if encodeErr != nil {
		return
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
	_ = a.control.Flush()
}

// newStreamID names an execution and its host, so that any entry can go on
// reading it.
func newStreamID(host string, id message.ExecutionID) string {
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
