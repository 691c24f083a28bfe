package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// sleeper is a service whose calls take the requested time. started counts them.
type sleeper struct{ started atomic.Int32 }

func (s *sleeper) Sleep(d time.Duration, reply *bool) error {
	s.started.Add(1)
	time.Sleep(d)
	*reply = true
	return nil
}

func serve(t *testing.T, address string) (*Server, *sleeper) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s, service := NewServer(listener), &sleeper{}
	if err := s.Register("Test", service); err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, service
}

// TestClientFaults guards against wrong verdicts of calls whose connection fails,
// and against calls that fail although the peer is reachable.
func TestClientFaults(t *testing.T) {
	cases := []struct {
		fault string
		run   func(t *testing.T, c *Client, s *Server, service *sleeper) error
		want  string
	}{
		{"none", func(_ *testing.T, c *Client, _ *Server, _ *sleeper) error { return call(c, 0, time.Second*5) }, ""},
		{"peer restarted while idle", func(t *testing.T, c *Client, s *Server, _ *sleeper) error {
			_ = call(c, 0, 5*time.Second)
			breakConnection(c, s)
			serve(t, c.Address())
			return call(c, 0, 5*time.Second)
		}, ""},
		{"peer gone while idle", func(_ *testing.T, c *Client, s *Server, _ *sleeper) error {
			_ = call(c, 0, 5*time.Second)
			breakConnection(c, s)
			return call(c, 0, 5*time.Second)
		}, "not_run"},
		{"peer gone during the call", func(_ *testing.T, c *Client, s *Server, service *sleeper) error {
			go func() {
				for service.started.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				s.Close()
			}()
			return call(c, 3*time.Second, 10*time.Second)
		}, "may_have_run"},
		{"call abandoned", func(_ *testing.T, c *Client, _ *Server, _ *sleeper) error {
			return call(c, 3*time.Second, 50*time.Millisecond)
		}, "may_have_run"},
		{"peer shuts down during the call", func(_ *testing.T, c *Client, s *Server, service *sleeper) error {
			go func() {
				for service.started.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				_ = s.Shutdown(context.Background())
			}()
			return call(c, 300*time.Millisecond, 10*time.Second)
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			s, service := serve(t, "127.0.0.1:0")
			client := NewClient(s.listener.Addr().String(), nil)
			defer client.Close()
			err := c.run(t, client, s, service)
			got := ""
			if err != nil {
				got = verdict.Of(err).String()
			}
			if got != c.want {
				t.Errorf("got %q (%v), want %q", got, err, c.want)
			}
		})
	}
}

// breakConnection closes the server and waits until the client's connection
// reports an error. An earlier call would still be written and so may have run.
func breakConnection(c *Client, s *Server) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	s.Close()
	var reply int
	for conn.rpc.Call(pingMethod, 0, &reply) == nil {
		time.Sleep(time.Millisecond)
	}
}

func call(c *Client, sleep, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply bool
	return c.Call(ctx, "Test.Sleep", sleep, &reply)
}
