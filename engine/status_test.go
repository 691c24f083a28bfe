package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
