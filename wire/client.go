package wire

import (
	"context"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

// Parameters of the liveness probes. A connection with calls in progress is
// probed every pingInterval and closed if nothing arrives for silenceTimeout, so
// that a call of any duration fails within seconds on a dead connection.
const (
	pingMethod     = "Wire.Ping"
	pingInterval   = 500 * time.Millisecond
	silenceTimeout = 3 * time.Second
)

// pingService replies to the probes of clients.
type pingService struct{}

// Ping replies with n.
func (pingService) Ping(n int, reply *int) error {
	*reply = n
	return nil
}

// clientConn is one connection of a Client.
type clientConn struct {
	rpc        *rpc.Client
	activity   *activityConn
	pending    atomic.Int64
	monitoring atomic.Bool
	// retired is set when the peer shuts down. The last call closes the connection.
	retired atomic.Bool
}

func (c *clientConn) endCall() {
	if c.pending.Add(-1) == 0 && c.retired.Load() {
		_ = c.rpc.Close()
	}
}

// Client calls one address. It connects on demand and reconnects after a
// failure. It is safe for concurrent use.
type Client struct {
	address string
	dial    Dialer

	mu   sync.Mutex
	conn *clientConn
}

// NewClient returns a client for an address. A nil dial means DialTCP.
func NewClient(address string, dial Dialer) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{address: address, dial: dial}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	activity := newActivityConn(conn)
	c.conn = &clientConn{
		rpc: rpc.NewClientWithCodec(&clientCodec{newGobCodec(activity, activity, activity), activity}), activity: activity}
	return c.conn, nil
}

// drop closes a connection, so that the next call opens a new one.
func (c *Client) drop(conn *clientConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.rpc.Close()
}

// retire makes the next call open a new connection. Calls in progress continue.
func (c *Client) retire(conn *clientConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.retired.Store(true)
}

// Call calls a method and waits for the reply until ctx ends. For a transport
// failure, the verdict of the error is NotRun only if the request never left this
// process. A call that times out leaves the connection open for other calls,
// unless nothing arrived on it during the call although it was probed.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	err := c.callOnce(ctx, method, request, reply)
	if errors.Is(err, errNotWritten) {
		// The connection broke while it was idle.
		err = c.callOnce(ctx, method, request, reply)
	}
	return err
}

// errNotWritten means that the connection was closed before any byte of the
// request was written.
var errNotWritten = errors.New("the connection was closed before the request was written")

func (c *Client) callOnce(ctx context.Context, method string, request, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectionLost, "connect to %s", c.address)
	}
	conn.pending.Add(1)
	defer conn.endCall()
	c.monitor(conn)
	// net/rpc decodes a late reply into the value that it was given, so an abandoned
	// call must not share that value with the caller.
	callReply := reflect.New(reflect.TypeOf(reply).Elem())
	tracked := &trackedRequest{body: request}
	started := time.Now()
	call := conn.rpc.Go(method, tracked, callReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if time.Since(started) >= 3*pingInterval && !conn.activity.receivedSince(started) {
			// A live peer would have replied to a probe in this time.
			c.drop(conn)
		}
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonTimeout, "call %s at %s", method, c.address)
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(callReply.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		if remote.Error() == refusal {
			c.retire(conn)
		}
		if e, ok := verdict.Decode(remote.Error()); ok {
			return e
		}
		return verdict.Wrap(call.Error, verdict.MayHaveRun, verdict.ReasonInternal, "call %s at %s", method, c.address)
	}
	c.drop(conn)
	if !tracked.written.Load() {
		return verdict.Wrap(errNotWritten, verdict.NotRun, verdict.ReasonConnectionLost, "call %s at %s", method, c.address)
	}
	return verdict.Wrap(call.Error, verdict.MayHaveRun, verdict.ReasonConnectionLost, "call %s at %s", method, c.address)
}

// monitor starts probing a connection, unless it is already being probed, and
// closes the connection if nothing arrives. Probing continues for silenceTimeout
// after the last call, because calls may have timed out on a dead connection.
func (c *Client) monitor(conn *clientConn) {
	if !conn.monitoring.CompareAndSwap(false, true) {
		return
	}
	go func() {
		started := time.Now()
		idleSince := started
		for probe := range probes(conn) {
			now := time.Now()
			if conn.pending.Load() > 0 {
				idleSince = now
			}
			if now.Sub(started) >= silenceTimeout && !conn.activity.receivedSince(now.Add(-silenceTimeout)) {
				c.drop(conn)
				return
			}
			if now.Sub(idleSince) >= silenceTimeout {
				conn.monitoring.Store(false)
				return
			}
			if probe.Error != nil {
				c.drop(conn)
				return
			}
		}
	}()
}

// probes sends probes, one at a time, and yields after every pingInterval. The
// yielded call has an error after the connection broke.
func probes(conn *clientConn) func(yield func(*rpc.Call) bool) {
	return func(yield func(*rpc.Call) bool) {
		ticker := time.NewTicker(pingInterval)
		defer ticker.Stop()
		noError := &rpc.Call{}
		for {
			var reply int
			call := conn.rpc.Go(pingMethod, 0, &reply, make(chan *rpc.Call, 1))
			for answered := false; !answered; {
				<-ticker.C
				result := noError
				select {
				case result = <-call.Done:
					answered = true
				default:
				}
				var remote rpc.ServerError
				if errors.As(result.Error, &remote) {
					result = noError
				}
				if !yield(result) {
					return
				}
			}
		}
	}
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.rpc.Close()
	}
}
