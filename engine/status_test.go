package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Guards against a status without a meaning, or one that tells no success, that counts as a success of an order
// or a cancellation, as proof that the request did not run, or as the answer of a plain service.
func TestStatusOutsideOfHTTP(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "302", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\n{}", status)
			_ = conn.Close()
		}))
		c, ctx := NewClient(strings.TrimPrefix(server.URL, "http://")), context.Background()
		_, loadErr := c.Load(ctx)
		_, generateErr := c.Generate(ctx, Request{ID: "r", Body: []byte("{}")})
		answer, forwardErr := c.Forward(ctx, &message.ForwardRequest{Method: http.MethodGet, Path: "/"})
		for call, err := range map[string]error{
			"order": c.Order(ctx, Order{Kind: OrderLoadModel}), "cancel": c.Cancel(ctx, "r"), "load": loadErr,
			"guarded order": c.OrderGuarded(ctx, Order{Kind: OrderLoadModel}, func() bool { return true }),
			"generate":      generateErr, "forward": forwardErr,
		} {
			if call == "forward" && status == "302" {
				if err != nil || answer.Status != http.StatusFound {
					t.Errorf("a redirect of a plain service: %+v, %v", answer, err)
				}
				continue
			}
			if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrFenced) {
				t.Errorf("%s: %s returns %v", status, call, err)
			}
		}
		server.Close()
	}
}

// Guards against a call that outlasts its time because the server answered that it changes the protocol and
// keeps the connection.
func TestSwitchOfProtocolEndsCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"))
		}
	}()
	client := NewClient(listener.Addr().String())
	for name, call := range map[string]func(context.Context) error{
		"Forward": func(ctx context.Context) error {
			_, err := client.Forward(ctx, &message.ForwardRequest{Method: http.MethodGet, Path: "/"})
			return err
		},
		"Order":  func(ctx context.Context) error { return client.Order(ctx, Order{}) },
		"Cancel": func(ctx context.Context) error { return client.Cancel(ctx, "r") },
		"OrderGuarded": func(ctx context.Context) error {
			return client.OrderGuarded(ctx, Order{}, func() bool { return true })
		},
		"Generate": func(ctx context.Context) error {
			_, err := client.Generate(ctx, Request{ID: "r", Body: []byte("{}")})
			return err
		},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- call(ctx) }()
		select {
		case err := <-done:
			if err == nil {
				t.Errorf("%s: a switch of protocols counts as a success", name)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%s lasts 1.7 s longer than its context", name)
		}
		cancel()
	}
}
