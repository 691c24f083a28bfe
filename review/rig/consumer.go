package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one consumer attempt, sent on a channel of its own.
type request struct {
	id, method, host, path, body string
	header                       map[string]string
	timeout                      time.Duration
}

// answer is what the consumer got. err is set if the answer did not come whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// text returns the request as it is sent.
func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id,
		r.timeout.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// send sends the request to an entry and reads the answer to its end. onBytes is called with what arrived of the
// body so far. It may be nil.
func (r request) send(address string, onBytes func([]byte)) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.timeout))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, header: response.Header}
	var buffer bytes.Buffer
	part := make([]byte, 4096)
	for {
		n, err := response.Body.Read(part)
		buffer.Write(part[:n])
		a.body = buffer.Bytes()
		if onBytes != nil && n > 0 {
			onBytes(a.body)
		}
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// eventIDs returns the ids of the whole events in a body.
func eventIDs(body []byte) (ids []int) {
	for _, event := range strings.SplitAfter(string(body), "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue
		}
		for _, line := range strings.Split(event, "\n") {
			id := 0
			if _, err := fmt.Sscanf(line, "id: %d", &id); err == nil {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
