package agent

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

// startLinks starts an agent and returns the address of its token links.
func startLinks(t *testing.T) (*Agent, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(Options{Host: "h1", Fleet: newTestFleet(buildTestConfig(t, "h2", "127.0.0.1:1")), Logger: zap.NewNop()})
	t.Cleanup(a.Close)
	t.Cleanup(func() { _ = listener.Close() })
	go a.ServeLinks(listener)
	return a, listener.Addr().String()
}

func dialLink(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// maxReplies returns the largest number of replies that a link has queued.
func (a *Agent) maxReplies() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.links {
		c.mu.Lock()
		if c.replies != nil {
			n = max(n, c.replies.Len())
		}
		c.mu.Unlock()
	}
	return n
}

// Guards against replies without end in the memory of an agent for a client that does not read them,
// and against a link that ends, or replies that are lost, because there are many.
func TestUnreadRepliesAreBounded(t *testing.T) {
	const subscribes, bound = 60_000, 1 << 10
	a, address := startLinks(t)
	conn := dialLink(t, address)
	_ = conn.SetReadBuffer(256 << 10)
	sent := make(chan error, 1)
	go func() {
		writer := wire.NewFrameWriter(conn, time.Minute)
		for i := range subscribes {
			id := message.ExecutionID{Request: message.RequestID(fmt.Sprintf("unknown-%d", i))}
			if err := writer.Write(&message.Frame{Subscribe: &message.Subscribe{Execution: id, Caller: "c"}}); err != nil {
				sent <- err
				return
			}
		}
		sent <- writer.Flush()
	}()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n := a.maxReplies(); n > bound {
			t.Errorf("%d replies are queued, want at most %d", n, bound)
			break
		}
	}
	reader, replies := wire.NewFrameReader(conn, 20*time.Second), 0
	for replies < subscribes {
		frame, err := reader.Read()
		if err != nil {
			t.Fatalf("the link ended after %d of %d replies: %v", replies, subscribes, err)
		}
		if frame.End != nil {
			replies++
		}
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}

// Guards against clients without streams that take more memory than the bound of connections assumes
// for them, because the queues of a link are as long as the largest number of streams.
func TestLinkWithoutStreamsIsSmall(t *testing.T) {
	const links, bound = 100, 96 << 10
	a, address := startLinks(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range links {
		conn := dialLink(t, address)
		writer := wire.NewFrameWriter(conn, time.Minute)
		if err := writer.Write(&message.Frame{Hello: &message.Hello{}}); err != nil {
			t.Fatal(err)
		}
		if err := writer.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	begun := func() (n int) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, c := range a.links {
			c.mu.Lock()
			if c.replies != nil {
				n++
			}
			c.mu.Unlock()
		}
		return n
	}
	for end := time.Now().Add(5 * time.Second); begun() < links; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d links began", begun(), links)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// The client's sides are counted too.
	perLink := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / links
	t.Logf("%d bytes for each link", perLink)
	if perLink > bound {
		t.Errorf("a link without streams takes %d bytes, want at most %d", perLink, bound)
	}
}
