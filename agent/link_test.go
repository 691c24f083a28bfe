package agent

import (
	"io"
	"net"
	"testing"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/ring"
)

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
