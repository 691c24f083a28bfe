package agent

import (
	"io"
	"net"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/ring"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

// Guards against an agent that sends nothing before the entry's first frame, so that a client that
// waits for the first frame of the agent waits until the link ends.
func TestLinkBeginsWithHello(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(Options{Host: "h1", Fleet: newTestFleet(buildTestConfig(t, "h2", "127.0.0.1:1")), Logger: zap.NewNop()})
	defer a.Close()
	defer func() { _ = listener.Close() }()
	go a.ServeLinks(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	frame, err := wire.NewFrameReader(conn, time.Minute).Read()
	if err != nil || frame.Hello == nil {
		t.Fatalf("the link began with %v, error %v", frame, err)
	}
}

// Guards against a stream whose caller waits for a frame that the agent dropped because a queue
// of the link was full.
func TestFullQueueEndsTheLink(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(*linkConn)
	}{
		{"subscription", func(c *linkConn) { (&subscription{conn: c}).enqueue() }},
		{"end of an unknown stream", func(c *linkConn) { c.reply(&message.End{}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			agentSide, entrySide := net.Pipe()
			defer entrySide.Close()
			link := &linkConn{conn: agentSide, ready: ring.New[*subscription](1), replies: ring.New[*message.Frame](1)}
			ended := make(chan error, 1)
			go func() {
				_, err := entrySide.Read(make([]byte, 1))
				ended <- err
			}()
			c.send(link)
			select {
			case err := <-ended:
				t.Fatalf("the link ended with room in its queue: %v", err)
			default:
			}
			c.send(link)
			if err := <-ended; err != io.EOF {
				t.Errorf("the entry read %v, want the end of the link", err)
			}
		})
	}
}
