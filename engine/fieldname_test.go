package engine

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/httpclient/earlytest"
	"github.com/pkg/errors"
)

// Guards against a head with a name of a field that is no token, as an answer of a plain service, as a success
// of an order or a cancellation, as a load, as the begin of a stream or as a refusal.
func TestNameOfFieldThatIsNoToken(t *testing.T) {
	const body = "{\"running\":1}"
	for _, line := range []string{"Content-Length : 4", "Transfer-Encoding : chunked", "X Odd: 1", "X-Odd : 1", "X\tOdd: 1",
		"X-Odd\t: 1", "X\x00Odd: 1", "X\x07Odd: 1", "X\x7fOdd: 1", "X\rOdd: 1", "X\x80Odd: 1", "X\u00e9: 1", "X(Odd): 1", ": 1", "X-Odd"} {
		for _, status := range []int{200, 404, 409, 503} {
			t.Run(fmt.Sprintf("%q/%d", line, status), func(t *testing.T) {
				t.Parallel()
				answer := fmt.Sprintf("HTTP/1.1 %d Odd\r\n%s\r\n\r\n%s", status, line, body)
				server := earlytest.NewServer(t, func(*http.Request) string { return answer }, earlytest.Drain)
				c, ctx := NewClient(server.Address()), context.Background()
				_, loadErr := c.Load(ctx)
				_, generateErr := c.Generate(ctx, Request{ID: "r", Body: []byte("{}")})
				got, forwardErr := c.Forward(ctx, &message.ForwardRequest{Method: http.MethodPost, Path: "/", Body: []byte("{}")})
				for call, err := range map[string]error{
					"order": c.Order(ctx, Order{Kind: OrderLoadModel}), "cancel": c.Cancel(ctx, "r"), "load": loadErr,
					"guarded order": c.OrderGuarded(ctx, Order{Kind: OrderLoadModel}, func() bool { return true }),
					"generate":      generateErr, "forward": forwardErr,
				} {
					if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrFenced) || errors.Is(err, ErrInUse) {
						t.Errorf("%s returns %v", call, err)
					}
				}
				if got.Status != 0 {
					t.Errorf("answer %+v", got)
				}
			})
		}
	}
}
