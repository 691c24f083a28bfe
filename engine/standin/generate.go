package standin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/engine"
)

// Markers in a prompt select faults and answer lengths:
//
//	[tokens=N]    the answer has N tokens
//	[crash]       the engine crashes when it starts this request
//	[crash-at=N]  the engine crashes after N tokens
//	[silent=N]    the stream delivers no more events after N tokens
//	[stuck]       a silent stream stays so when it is resumed
//	[comments]    the stream sends a comment, which is no event, every 20 ms
//	[trace]       each token is "<generation>:<index> ", which shows whether a
//	              stream mixes generations
var (
	tokensMarker  = regexp.MustCompile(`\[tokens=(\d+)\]`)
	stallMarker   = regexp.MustCompile(`\[silent=(\d+)\]`)
	crashAtMarker = regexp.MustCompile(`\[crash-at=(\d+)\]`)
)

const (
	maxBodyBytes = 4 << 20
	// medianTokens and lengthSigma define a heavy-tailed lognormal answer length.
	medianTokens    = 60
	lengthSigma     = 1.2
	maxRandomTokens = 32768
	commentInterval = 20 * time.Millisecond
)

// generateRequest holds the fields of a request that the engine uses.
type generateRequest struct {
	RequestID  string          `json:"request_id"`
	Model      string          `json:"model"`
	Prompt     string          `json:"prompt"`
	Messages   json.RawMessage `json:"messages"`
	Priority   int             `json:"priority"`
	MaxTokens  int             `json:"max_tokens"`
	Generation string          `json:"generation"`
	ResumeFrom uint64          `json:"resume_from"`
}

func (r generateRequest) text() string { return r.Prompt + string(r.Messages) }

// generate handles a request for a generation.
func (s *Server) generate(b *batch, w http.ResponseWriter, req *http.Request, chat bool) {
	var body generateRequest
	if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "body is not valid JSON"})
		return
	}
	if strings.Contains(body.text(), "[crash]") {
		go s.Crash()
		<-req.Context().Done()
		return
	}
	q := newSequence(body)
	if !b.add(q) {
		writeJSON(w, http.StatusConflict, map[string]string{"error": "request id is in use"})
		return
	}
	defer b.removeSequence(q)
	s.stream(b, w, req, q, chat, markerValue(crashAtMarker, body.text()))
}

func newSequence(r generateRequest) *sequence {
	q := &sequence{
		id: r.RequestID, generation: r.Generation, priority: r.Priority, nextIndex: r.ResumeFrom,
		promptTokens: len(strings.Fields(r.text())), trace: strings.Contains(r.text(), "[trace]"),
		comments: strings.Contains(r.text(), "[comments]"),
		events:   make(chan engine.Event, maxBufferedTokens), removed: make(chan struct{}),
	}
	if q.generation == "" {
		q.generation = newGenerationID()
	}
	if q.id == "" {
		q.id = q.generation
	}
	if r.ResumeFrom == 0 || strings.Contains(r.text(), "[stuck]") {
		q.stallAt = markerValue(stallMarker, r.text())
	}
	q.targetTokens = markerValue(tokensMarker, r.text())
	if q.targetTokens == 0 {
		q.targetTokens = randomLength(q.generation)
	}
	if r.MaxTokens > 0 && q.targetTokens > uint64(r.MaxTokens) {
		q.targetTokens = uint64(r.MaxTokens)
	}
	return q
}

// markerValue returns the number of a marker in the text, or 0 without one.
func markerValue(marker *regexp.Regexp, text string) uint64 {
	m := marker.FindStringSubmatch(text)
	if m == nil {
		return 0
	}
	n, err := strconv.ParseUint(m[1], 10, 32)
	if err != nil {
		return 0
	}
	return n
}

func newGenerationID() string {
	var raw [6]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// randomLength derives a heavy-tailed answer length from the generation ID, so that
// a resumed generation has the same length on any engine.
func randomLength(generation string) uint64 {
	u := (float64(hashText(generation+"/a")%1e6) + 0.5) / 1e6
	v := (float64(hashText(generation+"/b")%1e6) + 0.5) / 1e6
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
	n := medianTokens * math.Exp(lengthSigma*normal)
	return uint64(math.Min(math.Max(n, 2), maxRandomTokens))
}

var vocabulary = strings.Fields(`the slope opens with gentle turns and a plan for each lesson then
	groups move up when balance holds on steeper ground while coaches note progress and rest`)

func tokenText(generation string, index uint64, trace bool) string {
	if trace {
		return fmt.Sprintf("%s:%d ", generation, index)
	}
	return vocabulary[hashText(generation+strconv.FormatUint(index, 10))%uint64(len(vocabulary))] + " "
}

// stream writes the events of a sequence as server-sent events. It simulates a crash
// before token crashAt, unless that is 0.
func (s *Server) stream(b *batch, w http.ResponseWriter, req *http.Request, q *sequence, chat bool, crashAt uint64) {
	flusher, ok := w.(http.Flusher)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	var commentDue <-chan time.Time
	if q.comments {
		ticker := time.NewTicker(commentInterval)
		defer ticker.Stop()
		commentDue = ticker.C
	}
	for {
		select {
		case <-commentDue:
			_, _ = io.WriteString(w, ": still here\n\n")
			flusher.Flush()
		case e := <-q.events:
			if crashAt > 0 && e.Index >= crashAt {
				go s.Crash()
				<-req.Context().Done()
				return
			}
			writeEvent(w, q.id, e, chat)
			if e.FinishReason != "" {
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
				return
			}
			if len(q.events) == 0 {
				flusher.Flush()
			}
		case <-q.removed:
			if len(q.events) > 0 {
				continue
			}
			return
		case <-b.done:
			return
		case <-req.Context().Done():
			return
		}
	}
}

type delta struct {
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// eventBody is the JSON of one event.
type eventBody struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"`
	Generation string   `json:"generation"`
	Index      uint64   `json:"index"`
	Preempted  bool     `json:"preempted,omitempty"`
	Choices    []choice `json:"choices"`
}

func writeEvent(w io.Writer, id string, e engine.Event, chat bool) {
	body := eventBody{
		ID: id, Object: "text_completion", Generation: e.Generation, Index: e.Index, Preempted: e.Preempted,
		Choices: []choice{},
	}
	if e.HasToken {
		c := choice{}
		if chat {
			body.Object = "chat.completion.chunk"
			c.Delta = &delta{Content: e.Token.Text}
		} else {
			c.Text = &e.Token.Text
		}
		if e.FinishReason != "" {
			c.FinishReason = &e.FinishReason
		}
		body.Choices = append(body.Choices, c)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
