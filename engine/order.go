package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrLeaseExpired means that the guard stopped an order before it was sent.
var ErrLeaseExpired = errors.New("the lease for orders has run out")

// OrderGuarded sends an order on a connection of its own and asks the guard
// directly before the bytes leave. A process that was stopped between its
// decision and this point does not send the order after its lease.
func (c *Client) OrderGuarded(ctx context.Context, o Order, guard func() bool) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	var stopped atomic.Bool
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		return &guardedConn{Conn: conn, guard: guard, stopped: &stopped}, nil
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	req.Header.Set(FencingHeader, strconv.FormatUint(o.Fencing, 10))
	req.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if stopped.Load() {
			return ErrLeaseExpired
		}
		if errors.Is(err, ErrUnreachable) {
			return err
		}
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
	switch {
	case resp.StatusCode == http.StatusConflict:
		return errors.Wrap(ErrFenced, strings.TrimSpace(string(text)))
	case resp.StatusCode >= http.StatusBadRequest:
		return errors.Wrapf(ErrRefused, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}

type guardedConn struct {
	net.Conn
	guard func() bool
	// stopped is set by the first write that the guard stops. The transport may
	// report the closed connection before the error of that write.
	stopped *atomic.Bool
}

func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.guard() {
		c.stopped.Store(true)
		_ = c.Close()
		return 0, ErrLeaseExpired
	}
	return c.Conn.Write(p)
}
