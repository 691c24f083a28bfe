package hostileclients

import (
	"net"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/e2e/crowd"
)

const (
	// rawConnectTimeout, rawWriteTimeout and settleTimeout only end tests that hang: a listener
	// may stop accepting or reading.
	rawConnectTimeout = 5 * time.Second
	rawWriteTimeout   = 5 * time.Second
	settleTimeout     = 20 * time.Second
)

// rawClient is one connection that sends bytes of any protocol.
type rawClient struct {
	conn   net.Conn
	number int
	err    error
}

func dialRaw(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, rawConnectTimeout)
}

func (c *rawClient) write(p []byte) {
	if c.err != nil {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(rawWriteTimeout))
	_, c.err = c.conn.Write(p)
}

func (c *rawClient) writeString(text string) { c.write([]byte(text)) }

var filler = make([]byte, 64<<10)

func init() {
	for i := range filler {
		filler[i] = 'a'
	}
}

func (c *rawClient) writeBytes(n int) {
	for ; n > 0 && c.err == nil; n -= len(filler) {
		c.write(filler[:min(n, len(filler))])
	}
}

// pressRaw opens connections that play a script and stay open, without reading what the listener
// sends, and checks the process.
func pressRaw(t *testing.T, p *process, address string, count int, call func() error, script func(*rawClient)) {
	t.Helper()
	bound := maxDescriptors
	if count > connections {
		bound = idleDescriptors
	}
	pressCount(t, p, address, count, bound, call, script)
}

// pressCount is like pressRaw with a bound of the descriptors that the process may have open.
func pressCount(t *testing.T, p *process, address string, count, bound int, call func() error, script func(*rawClient)) {
	t.Helper()
	sampler := crowd.Watch(p.pid())
	var mu sync.Mutex
	var conns []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	var scripts sync.WaitGroup
	for i := range count {
		scripts.Go(func() {
			conn, err := dialRaw(address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			script(&rawClient{conn: conn, number: i})
		})
	}
	done := make(chan struct{})
	go func() { scripts.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(settleTimeout):
	}
	// The listener may still read what the kernel holds.
	time.Sleep(300 * time.Millisecond)
	check(t, p, sampler, bound, call)
}
