package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerTo returns a whole HTTP response with a generation of one token.
func answerTo(id string) string {
	body := fmt.Sprintf("data: {\"id\":%q,\"generation\":\"g-%s\",\"choices\":[{\"text\":\"for %s\",\"finish_reason\":\"stop\"}]}\n\n"+
		"data: [DONE]\n\n", id, id, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveLateAnswers serves generations. From the second request on a connection, it
// sends a late answer before each answer.
func serveLateAnswers(t *testing.T, late string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for first := true; ; first = false {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			var body struct {
				ID string `json:"request_id"`
			}
			_ = json.NewDecoder(request.Body).Decode(&body)
			answer := answerTo(body.ID)
			if !first {
				answer = late + answer
			}
			_, _ = io.WriteString(conn, answer)
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// Guards against a second copy of an answer that arrives late on a connection that is
// in use again and is taken for the answer to the next request: its tokens, or a
// refusal of a request that runs.
func TestLateCopyOfAnAnswer(t *testing.T) {
	for name, late := range map[string]string{
		"answer": answerTo("one"), "refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(serveLateAnswers(t, late))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for _, id := range []string{"one", "two", "three"} {
				stream, err := c.Generate(ctx, Request{ID: id, Body: []byte(`{"prompt":"x"}`)})
				if err != nil {
					t.Errorf("%s: %v", id, err)
					continue
				}
				event, err := stream.Next()
				_ = stream.Close()
				if want := "for " + id; err != nil || event.Token.Text != want {
					t.Errorf("%s: %q %v, want %q", id, event.Token.Text, err, want)
				}
			}
		})
	}
}

// Guards against a response head without an end that is read into memory.
func TestHeadWithoutEnd(t *testing.T) {
	const allowed = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	taken := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		total := 0
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil && total < 4*allowed {
			var n int
			n, err = io.WriteString(conn, "X-Garbage: garbage\r\n")
			total += n
		}
		taken <- total
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := NewClient(l.Addr().String()).Load(ctx); err == nil {
		t.Error("a head without an end was accepted")
	}
	if n := <-taken; n > allowed {
		t.Errorf("%d bytes of a head were taken, more than %d", n, allowed)
	}
}
