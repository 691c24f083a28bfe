package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/httpfield"
)

// maxEventBytes bounds the length of a line of a stream and of the body of a
// refusal.
const maxEventBytes = 1 << 20

// requestStats holds the outcome and the times of one request.
type requestStats struct {
	complete bool
	cutOff   bool
	// refused is set if the entry answers without a valid stream or cannot be reached.
	// Without a stream there is no stall, so the stall time is not recorded.
	refused    bool
	failure    string
	retryAfter time.Duration
	tokens     int
	// misordered counts events whose index does not follow that of the previous
	// event.
	misordered int
	firstToken time.Duration
	gaps       []time.Duration
	// stall is the total time by which waits exceed the stall threshold, the wait
	// for the first token included.
	stall time.Duration
	whole time.Duration
}

// send sends one request, reads the response stream and returns the statistics.
func (g *loadGenerator) send(ctx context.Context, url, prompt string) requestStats {
	var stats requestStats
	request, err := g.newRequest(ctx, url, prompt)
	if err != nil {
		stats.failure = "bad_request"
		return stats
	}
	start := time.Now()
	response, err := g.client.Do(request)
	if err != nil {
		stats.failure = "no_response"
		stats.refused = ctx.Err() == nil
		stats.stall = max(time.Since(start)-g.flags.stallThreshold, 0)
		return stats
	}
	defer func() { _ = response.Body.Close() }()
	if httpfield.CheckNames(response.Header) != nil {
		stats.failure, stats.refused = "invalid_response", true
		return stats
	}
	if response.StatusCode != http.StatusOK {
		stats.readRefusal(response)
		return stats
	}
	r := streamReader{stats: &stats, stallThreshold: g.flags.stallThreshold, lastToken: start, start: start}
	r.read(response.Body)
	stats.whole = time.Since(start)
	// The last wait of an incomplete stream counts as well.
	if !stats.complete {
		stats.stall += max(time.Since(r.lastToken)-g.flags.stallThreshold, 0)
	}
	return stats
}

// errorBody is the body of a refusal and the data of an "error" event.
type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Verdict      string `json:"verdict"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func (s *requestStats) setFailure(status string, body errorBody) {
	s.failure = status
	if body.Error.Code != "" {
		s.failure += " " + body.Error.Code
	}
	if body.Error.Verdict != "" {
		s.failure += " " + body.Error.Verdict
	}
	s.retryAfter = min(
		time.Duration(max(body.Error.RetryAfterMS, 0)), time.Duration(time.Hour.Milliseconds()),
	) * time.Millisecond
}

func (s *requestStats) readRefusal(response *http.Response) {
	s.refused = true
	var body errorBody
	// If the body is not the expected JSON, the status is the only reason.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&body)
	s.setFailure(strconv.Itoa(response.StatusCode), body)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && s.retryAfter == 0 {
		s.retryAfter = time.Duration(min(max(seconds, 0), 3600)) * time.Second
	}
}

// streamReader reads the server-sent events of a response and measures the times
// between tokens.
type streamReader struct {
	stats            *requestStats
	stallThreshold   time.Duration
	start, lastToken time.Time
	event            string
	nextIndex        uint64
}

func (r *streamReader) read(body io.Reader) {
	r.stats.failure = "stream_ended_early"
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			r.event = value
		case "id":
			r.checkID(value)
		case "data":
			if r.handleData(value) {
				return
			}
		case "":
			r.event = ""
		}
	}
}

// checkID counts an event as misordered unless its id, "<stream id>:<index>", has
// the index that follows the previous one.
func (r *streamReader) checkID(value string) {
	_, text, _ := cutLast(value, ":")
	index, err := strconv.ParseUint(text, 10, 64)
	if err != nil || index != r.nextIndex {
		r.stats.misordered++
	}
	r.nextIndex = index + 1
}

// cutLast is like strings.Cut, but splits at the last sep, and returns the whole of s
// as after if there is none.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return "", s, false
	}
	return s[:i], s[i+len(sep):], true
}

// handleData processes the data of one event. It returns true if the event is the
// last one.
func (r *streamReader) handleData(value string) bool {
	if r.event == "error" {
		var body errorBody
		// An event that cannot be decoded is a failure as well.
		_ = json.Unmarshal([]byte(value), &body)
		r.stats.setFailure("stream_error", body)
		return true
	}
	if value == "[DONE]" {
		r.stats.complete, r.stats.failure = true, ""
		return true
	}
	var chunk struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(value), &chunk) != nil || len(chunk.Choices) == 0 ||
		chunk.Choices[0].Delta.Content == "" && chunk.Choices[0].Text == "" {
		return false
	}
	now := time.Now()
	wait := now.Sub(r.lastToken)
	if r.stats.tokens == 0 {
		r.stats.firstToken = wait
	} else {
		r.stats.gaps = append(r.stats.gaps, wait)
	}
	r.stats.tokens++
	r.stats.stall += max(wait-r.stallThreshold, 0)
	r.lastToken = now
	return false
}
