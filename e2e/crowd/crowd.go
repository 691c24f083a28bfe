// Package crowd plays untrusted clients in tests: many connections to an HTTP listener, each with
// a request that never ends or exceeds the limits. It also samples the memory and descriptors of
// the process that serves them.
package crowd

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectTimeout and writeTimeout only end tests that hang. A listener may stop reading
	// from a connection, so a write that blocks ends the script of its client.
	connectTimeout = 10 * time.Second
	writeTimeout   = 5 * time.Second
	// settleTime is the time without any progress after which Settle returns.
	settleTime = 2 * time.Second
	// settlePoll is the interval at which Settle looks for progress.
	settlePoll = 20 * time.Millisecond
)

// Target describes the listener and the limits that it declares.
type Target struct {
	// Network is "tcp" if empty. Address is dialed.
	Network, Address string
	// Method is POST if empty.
	Method string
	// Host is the value of the Host header, Address if empty.
	Host string
	Path string
	// Header holds further headers of each request, such as credentials.
	Header http.Header
	// MaxBodyBytes and MaxHeaderBytes are the declared limits of the listener.
	MaxBodyBytes, MaxHeaderBytes int
	// Dial replaces the connection to Address if it is set, for example by a TLS handshake.
	Dial func() (net.Conn, error)
}

func (t *Target) dial() (net.Conn, error) {
	if t.Dial != nil {
		return t.Dial()
	}
	network := t.Network
	if network == "" {
		network = "tcp"
	}
	return net.DialTimeout(network, t.Address, connectTimeout)
}

// Crowd is a number of clients of one kind. Their connections stay open until Close.
type Crowd struct {
	clients []*client
	running sync.WaitGroup
}

// client is one connection.
type client struct {
	mu     sync.Mutex
	conn   net.Conn
	closed bool

	sent     atomic.Int64
	received atomic.Int64
	// finished is set when the script ended, and refused when the listener closed the
	// connection.
	finished, refused atomic.Bool
	// firstBytes is the beginning of what the listener answered.
	firstBytes []byte
}

// Start opens connections that play scripts of a kind.
func Start(target Target, kind Kind, connections int) *Crowd {
	c := &Crowd{}
	for i := range connections {
		one := &client{}
		c.clients = append(c.clients, one)
		c.running.Go(func() { one.play(&target, kind, i) })
	}
	return c
}

// play sends the script and reads what the listener answers until the connection closes.
func (c *client) play(target *Target, kind Kind, number int) {
	defer c.finished.Store(true)
	conn, err := target.dial()
	if err != nil {
		c.refused.Store(true)
		return
	}
	c.mu.Lock()
	c.conn = conn
	if c.closed {
		_ = conn.Close()
	}
	c.mu.Unlock()
	go c.read(conn)
	kind.script(&writer{client: c, conn: conn, target: target, number: number})
}

// maxFirstBytes is how much of an answer is kept.
const maxFirstBytes = 4 << 10

func (c *client) read(conn net.Conn) {
	var buffer [1 << 10]byte
	for {
		n, err := conn.Read(buffer[:])
		c.mu.Lock()
		if room := maxFirstBytes - len(c.firstBytes); room > 0 {
			c.firstBytes = append(c.firstBytes, buffer[:min(n, room)]...)
		}
		c.mu.Unlock()
		c.received.Add(int64(n))
		if err != nil {
			c.refused.Store(true)
			return
		}
	}
}

// Settle waits until all clients have sent what their script says, or nothing more is sent.
func (c *Crowd) Settle() {
	last, since := int64(-1), time.Now()
	for time.Since(since) < settleTime {
		sent, finished := int64(0), 0
		for _, one := range c.clients {
			sent += one.sent.Load()
			if one.finished.Load() {
				finished++
			}
		}
		if finished == len(c.clients) {
			return
		}
		if sent != last {
			last, since = sent, time.Now()
		}
		time.Sleep(settlePoll)
	}
}

// Sent returns the number of bytes that all clients have sent.
func (c *Crowd) Sent() int64 {
	sent := int64(0)
	for _, one := range c.clients {
		sent += one.sent.Load()
	}
	return sent
}

// Refused returns the number of clients whose connection the listener closed.
func (c *Crowd) Refused() int {
	refused := 0
	for _, one := range c.clients {
		if one.refused.Load() {
			refused++
		}
	}
	return refused
}

// Answers returns the beginning of each answer that clients got.
func (c *Crowd) Answers() []string {
	var answers []string
	for _, one := range c.clients {
		one.mu.Lock()
		if len(one.firstBytes) > 0 {
			answers = append(answers, string(one.firstBytes))
		}
		one.mu.Unlock()
	}
	return answers
}

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() {
	for _, one := range c.clients {
		one.mu.Lock()
		one.closed = true
		if one.conn != nil {
			_ = one.conn.Close()
		}
		one.mu.Unlock()
	}
	c.running.Wait()
}

// writer is what a script writes to.
type writer struct {
	client *client
	conn   net.Conn
	target *Target
	number int
	err    error
}

// write sends bytes unless an earlier write failed, and reports whether it succeeded.
func (w *writer) write(p []byte) bool {
	if w.err != nil {
		return false
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := w.conn.Write(p)
	w.client.sent.Add(int64(n))
	w.err = err
	return err == nil
}

// writeString sends text.
func (w *writer) writeString(text string) bool { return w.write([]byte(text)) }

// writeBytes sends n bytes of a body in parts.
func (w *writer) writeBytes(n int) bool {
	for n > 0 {
		part := min(n, len(filler))
		if !w.write(filler[:part]) {
			return false
		}
		n -= part
	}
	return true
}

// filler is the content of bodies.
var filler = func() []byte {
	p := make([]byte, 64<<10)
	for i := range p {
		p[i] = byte('a' + i%26)
	}
	return p
}()
