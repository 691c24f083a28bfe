package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/httpclient/earlytest"
	"github.com/pkg/errors"
)

// earlyPlays is how often a call is played whose reader and writer may run in either order.
const earlyPlays = 100

// uploads are the calls whose requests may be long.
var uploads = map[string]func(context.Context, *Client, string) error{
	"forward": func(ctx context.Context, c *Client, text string) error {
		_, err := c.Forward(ctx, &message.ForwardRequest{Method: http.MethodPost, Path: "/", Body: []byte(text)})
		return err
	},
	"generate": func(ctx context.Context, c *Client, text string) error {
		stream, err := c.Generate(ctx, Request{ID: "r", Body: []byte(`{"prompt":"` + text + `"}`)})
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for {
			if _, err := stream.Next(); err != nil {
				return err
			}
		}
	},
	"order": func(ctx context.Context, c *Client, text string) error {
		return c.Order(ctx, Order{Kind: OrderLoadModel, Target: text})
	},
	"guarded order": func(ctx context.Context, c *Client, text string) error {
		return c.OrderGuarded(ctx, Order{Kind: OrderLoadModel, Target: text}, func() bool { return true })
	},
}

// Guards against a part of an answer without length or chunks that counts as whole, or as a refusal, because the
// write of the request took the error of the connection.
func TestEarlyAnswerWithoutFramingIsBroken(t *testing.T) {
	text := strings.Repeat("u", earlytest.UploadBytes)
	for strike, breakConn := range earlytest.Strikes {
		for _, status := range []int{200, 404, 409, 500, 503} {
			for name, call := range uploads {
				plays := 5
				if name == "forward" && status == http.StatusOK {
					plays = earlyPlays
				}
				t.Run(fmt.Sprintf("%s/%d/%s", strike, status, name), func(t *testing.T) {
					t.Parallel()
					answer := fmt.Sprintf("HTTP/1.1 %d Early\r\n\r\npart", status)
					address := earlytest.NewServer(t, func(*http.Request) string { return answer }, breakConn).Address()
					broken := 0
					for range plays {
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						if err := call(ctx, NewClient(address), text); errors.Is(err, ErrConnectionLost) {
							broken++
						} else if broken == 0 {
							t.Logf("not broken: %v", err)
						}
						cancel()
					}
					if broken < plays {
						t.Errorf("%d of %d answers count as whole", plays-broken, plays)
					}
				})
			}
		}
	}
}

// Guards against an early answer that is lost although it states its end, or although the server reads the
// request to its end before it closes.
func TestEarlyAnswerThatIsWholeIsDelivered(t *testing.T) {
	text := []byte(strings.Repeat("u", earlytest.UploadBytes))
	for name, c := range map[string]struct {
		framing, body string
		strike        earlytest.Strike
		unframed      bool
	}{
		"length":            {"Content-Length: 4\r\n", "long", earlytest.Close, false},
		"chunks":            {"Transfer-Encoding: chunked\r\n", "4\r\nlong\r\n0\r\n\r\n", earlytest.Close, false},
		"stalled":           {"Content-Length: 4\r\n", "long", earlytest.Stall, false},
		"close after drain": {"", "long", earlytest.Drain, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := "HTTP/1.1 413 Early\r\n" + c.framing + "\r\n" + c.body
			client := NewClient(earlytest.NewServer(t, func(*http.Request) string { return answer }, c.strike).Address())
			for range earlyPlays {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				got, err := client.Forward(ctx, &message.ForwardRequest{Method: http.MethodPost, Path: "/", Body: text})
				cancel()
				if err != nil || got.Status != http.StatusRequestEntityTooLarge || string(got.Body) != "long" || got.Unframed != c.unframed {
					t.Fatalf("%d %q, unframed %v, %v", got.Status, got.Body, got.Unframed, err)
				}
			}
		})
	}
}
