package agent

import (
	"fmt"
	"net"
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
