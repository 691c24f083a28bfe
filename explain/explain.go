// Package explain extracts from the logs of all daemons what happened to one
// request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter limit how long before and after a request
	// changes on its hosts are shown. A lost control member is detected within about
	// a second, and the notice period of a leaving backend server is one to two
	// seconds.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Role    string
	Message string
	// Request is empty for a line that does not belong to one request.
	Request string
	// Fields are the other fields, sorted by name.
	Fields []Field
}

// Field is one field of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, or "" if the line does not have it.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Report is the history of one request.
type Report struct {
	Request string
	// Lines are the lines of the request and the changes on its hosts around that
	// time, in chronological order.
	Lines []Line
	// Causes describe the events that determined the outcome.
	Causes []string
}

// Read parses log lines. Lines that are not JSON objects are skipped and counted.
// Text before an object is ignored, because log collectors may add a prefix.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var values map[string]json.RawMessage
	if json.Unmarshal(raw[start:], &values) != nil {
		return Line{}, false
	}
	var l Line
	for name, value := range values {
		text := string(value)
		var unquoted string
		if json.Unmarshal(value, &unquoted) == nil {
			text = unquoted
		}
		switch name {
		case "time":
			timestamp, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return Line{}, false
			}
			l.Time = timestamp
		case "msg":
			l.Message = text
		case "host":
			l.Host = text
		case "role":
			l.Role = text
		case "request_id":
			l.Request = text
		case "level":
		default:
			l.Fields = append(l.Fields, Field{name, text})
		}
	}
	sort.Slice(l.Fields, func(i, j int) bool { return l.Fields[i].Name < l.Fields[j].Name })
	return l, l.Message != ""
}

// Explain builds the report of a request from the lines of all logs.
func Explain(lines []Line, request string) Report {
	r := Report{Request: request}
	var first, last time.Time
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		hosts[l.Host] = true
	}
	for _, l := range lines {
		inContext := l.Request == "" && hosts[l.Host] &&
			l.Time.After(first.Add(-contextBefore)) && l.Time.Before(last.Add(contextAfter))
		if l.Request == request || inContext {
			r.Lines = append(r.Lines, l)
		}
	}
	sort.SliceStable(r.Lines, func(i, j int) bool { return r.Lines[i].Time.Before(r.Lines[j].Time) })
	for _, l := range r.Lines {
		if cause := describeCause(l); cause != "" {
			r.Causes = append(r.Causes, cause)
		}
	}
	return r
}

// describeCause describes the event of a line that determines an outcome. It
// returns "" for other lines.
func describeCause(l Line) string {
	if l.Request == "" {
		switch l.Message {
		case "notice of the backend server changed":
			if l.Get("leaving") == "true" {
				return fmt.Sprintf("the backend server beside %s was told to leave within %s s, with %s generations",
					l.Host, l.Get("leaves_in_seconds"), l.Get("runs"))
			}
		case "lost contact with a control member", "draining":
			return fmt.Sprintf("%s: %s", l.Host, l.Message)
		}
		return ""
	}
	switch l.Message {
	case "attempt ended":
		if result := l.Get("result"); result != "answered" {
			return fmt.Sprintf("%s: the attempt at %s ended with %s (status %s), then %s: %s",
				l.Host, l.Get("backend_server"), result, l.Get("status"), l.Get("action"), l.Get("error"))
		}
	case "request not served":
		return fmt.Sprintf("%s answered %s itself (%s): %s", l.Host, l.Get("status"), l.Get("reason"), l.Get("detail"))
	case "no room at a backend server", "generation queues without a reservation":
		return fmt.Sprintf("%s: %s %s", l.Host, l.Message, l.Get("backend_server"))
	case "generation waited for room":
		return fmt.Sprintf("%s let the generation, which needs %s tokens, wait %s s for room at the service %s",
			l.Host, l.Get("need_tokens"), l.Get("waited_seconds"), l.Get("service"))
	case "generation moved":
		if moveError := l.Get("error"); moveError != "" {
			return fmt.Sprintf("%s could not move the generation to %s with %s s left: %s",
				l.Host, l.Get("destination"), l.Get("left_seconds"), moveError)
		}
		return fmt.Sprintf("%s moved the generation to %s", l.Host, l.Get("destination"))
	case "last move ordered":
		return fmt.Sprintf("%s ordered the server to stop the generation and move it to %s", l.Host, l.Get("destination"))
	case "end of a stream without framing":
		if verdict := l.Get("verdict"); verdict != "ended" {
			return fmt.Sprintf("%s closed the connection after %s events, which is no confirmed end (%s): %s",
				l.Get("backend_server"), l.Get("events"), verdict, l.Get("reason"))
		}
		return fmt.Sprintf("%s ended the stream by itself after %s events", l.Get("backend_server"), l.Get("events"))
	case "no destination for a generation":
		return fmt.Sprintf("%s found no server with %s free tokens for the generation; the most was %s of %s servers",
			l.Host, l.Get("tokens"), l.Get("most_free_tokens"), l.Get("destinations"))
	case "stream broken off by its server":
		if l.Get("resumed") == "true" {
			return fmt.Sprintf("%s broke the stream off after event %s; it went on elsewhere",
				l.Get("backend_server"), l.Get("last_event_id"))
		}
		return fmt.Sprintf("%s broke the stream off after event %s (%s); it did not go on elsewhere: %s",
			l.Get("backend_server"), l.Get("last_event_id"), l.Get("cause"), l.Get("resume_error"))
	case "stream ended late":
		return fmt.Sprintf("the answer was late: first event after %s s, longest pause %s s, %s moves",
			l.Get("first_event_seconds"), l.Get("longest_pause_seconds"), l.Get("resumes"))
	case "backend server crashed during the request":
		return fmt.Sprintf("%s crashed during the request", l.Get("backend_server"))
	case "time is over", "caller gone before the answer", "caller gone during the stream",
		"the caller did not take the answer":
		return fmt.Sprintf("%s: %s", l.Host, l.Message)
	}
	return ""
}

// Write prints the report as text.
func (r Report) Write(out io.Writer) error {
	var text strings.Builder
	if len(r.Lines) == 0 {
		fmt.Fprintf(&text, "No line tells of request %s. Sampling drops some when there are more than 100 equal messages a second.\n", r.Request)
	}
	for i, c := range r.Causes {
		if i == 0 {
			text.WriteString("What decided the outcome:\n")
		}
		fmt.Fprintf(&text, "  %s\n", c)
	}
	for i, l := range r.Lines {
		if i == 0 {
			text.WriteString("Lines of the request, and (*) changes on its hosts:\n")
		}
		marker := " "
		if l.Request == "" {
			marker = "*"
		}
		fmt.Fprintf(&text, "%s %s %s/%s: %s", marker, l.Time.UTC().Format("15:04:05.000000"), l.Host, l.Role, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(&text, " %s=%s", f.Name, f.Value)
		}
		text.WriteString("\n")
	}
	_, err := io.WriteString(out, text.String())
	return err
}
