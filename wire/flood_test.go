package wire

import (
	"net"
	"net/rpc"
	"runtime"
	"testing"
	"time"
)

// Guards against calls without end whose replies nobody reads, each of which keeps a goroutine and its
// reply, and against replies that are lost because there are many.
func TestUnreadRepliesStopTheCalls(t *testing.T) {
	const calls, bytes, bound = 6000, 4 << 10, 1500
	conn, err := net.Dial("tcp", serveLimited(t, testWireLimits(), 0))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(256 << 10)
	codec := newGobCodec(conn, conn, conn)
	sent := make(chan error, 1)
	go func() {
		for i := range uint64(calls) {
			if err := codec.write(&rpc.Request{ServiceMethod: "Test.Echo", Seq: i}, make([]byte, bytes)); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	before, most := runtime.NumGoroutine(), 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		most = max(most, runtime.NumGoroutine()-before)
	}
	t.Logf("at most %d goroutines", most)
	if most > bound {
		t.Errorf("%d goroutines for the calls of a connection that reads no replies, want at most %d", most, bound)
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := range calls {
		var reply []byte
		if err := codec.dec.Decode(&rpc.Response{}); err != nil {
			t.Fatalf("reply %d of %d: %v", i, calls, err)
		}
		if err := codec.dec.Decode(&reply); err != nil || len(reply) != bytes {
			t.Fatalf("reply %d of %d: %d bytes, %v", i, calls, len(reply), err)
		}
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}
