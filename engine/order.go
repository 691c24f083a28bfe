package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrLeaseExpired means that an order was not sent, because the guard reported that
// the sender no longer holds the lease.
var ErrLeaseExpired = errors.New("order not sent: the lease has expired")

// OrderGuarded sends an order on its own connection. It calls the guard immediately
// before each write and sends nothing if the guard returns false. Thus a process
// that was suspended after its decision does not send the order once its lease has
// expired.
func (c *Client) OrderGuarded(ctx context.Context, o Order, guard func() bool) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	var blocked atomic.Bool
	transport := newTransport()
	transport.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: guard, blocked: &blocked}, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	req.Header.Set(FencingHeader, strconv.FormatUint(o.Fencing, 10))
	req.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if blocked.Load() {
			return ErrLeaseExpired
		}
		if errors.Is(err, ErrUnreachable) {
			return err
		}
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	if err := checkHead(resp); err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
	if err != nil {
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	return controlError(resp.StatusCode, text)
}

// guardedConn is a connection that calls the guard before each write.
type guardedConn struct {
	net.Conn
	guard func() bool
	// blocked is set by the first write that the guard blocks. The transport may
	// report the closed connection instead of that write's error.
	blocked *atomic.Bool
}

// Write writes p if the guard allows it. Otherwise it closes the connection.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.guard() {
		c.blocked.Store(true)
		_ = c.Close()
		return 0, ErrLeaseExpired
	}
	return c.Conn.Write(p)
}
