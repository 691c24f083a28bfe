package wire

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"reflect"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
)

// repeater is a service that returns what it gets.
type repeater struct{}

func (repeater) Echo(request []byte, reply *[]byte) error {
	*reply = request
	return nil
}

// failingListener fails a number of times for lack of descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func serveLimited(t *testing.T, limits Limits, failures int32) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: listener}
	failing.failures.Store(failures)
	s := NewServer(failing)
	s.SetLimits(limits)
	if err := s.Register("Test", repeater{}); err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return listener.Addr().String()
}

func callEcho(address string, request []byte) ([]byte, error) {
	c := NewClient(address, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply []byte
	err := c.Call(ctx, "Test.Echo", request, &reply)
	return reply, err
}

func testWireLimits() Limits { return DefaultLimits(netlimit.NewReporter("test", nil, nil)) }

// Guards against messages that are changed or refused although they are within the limits, against
// those above the limits, and against memory that stays counted.
func TestMessagesOfAllSizes(t *testing.T) {
	limits := testWireLimits()
	limits.MaxMessageBytes = 2 << 20
	address := serveLimited(t, limits, 0)
	for _, size := range []int{0, 1, smallMessageBytes - 100, smallMessageBytes, 300 << 10, 2<<20 - 100} {
		sent := bytes.Repeat([]byte("0123456789a"), size/11+1)[:size]
		if got, err := callEcho(address, sent); err != nil || !bytes.Equal(got, sent) {
			t.Errorf("%d bytes: %d back, %v", size, len(got), err)
		}
	}
	if _, err := callEcho(address, make([]byte, 3<<20)); err == nil {
		t.Error("a message above the limit was accepted")
	}
	for end := time.Now().Add(10 * time.Second); limits.Budget.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", limits.Budget.Used())
		}
	}
}

// waitingService has calls that end when they are told to.
type waitingService struct{ arrived, release chan struct{} }

func (s waitingService) Wait(_ int, reply *int) error {
	s.arrived <- struct{}{}
	<-s.release
	*reply = 1
	return nil
}

// startWaiting serves with limits, and returns a connection with a call in progress.
func startWaiting(t *testing.T, limits Limits) (conn net.Conn, address string, s waitingService) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener)
	server.SetLimits(limits)
	s = waitingService{make(chan struct{}, 1), make(chan struct{})}
	if err := errors.Join(server.Register("Waiting", s), server.Register("Test", repeater{})); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	if conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	codec := newGobCodec(conn, conn, conn)
	if err := codec.write(&rpc.Request{ServiceMethod: "Waiting.Wait", Seq: 1}, 1); err != nil {
		t.Fatal(err)
	}
	<-s.arrived
	return conn, listener.Addr().String(), s
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against the memory of a refused message that stays counted until the calls in progress on
// its connection end, so that other peers are refused for it.
func TestRefusedMessageIsReleasedBesideACall(t *testing.T) {
	limits := testWireLimits()
	limits.MessageTimeout = 200 * time.Millisecond
	conn, _, s := startWaiting(t, limits)
	defer close(s.release)
	// A message of 1 MiB that stops short of its end.
	if _, err := conn.Write(append([]byte{0xfd, 0x10, 0, 0}, make([]byte, 64<<10)...)); err != nil {
		t.Fatal(err)
	}
	await(t, "the message is counted", func() bool { return limits.Budget.Used() > 0 })
	await(t, "the message is released", func() bool { return limits.Budget.Used() == 0 })
}

// Guards against a connection with a call in progress that is given up for a new one while its next
// message arrives, so that the reply to the call is lost.
func TestCallInProgressKeepsItsConnection(t *testing.T) {
	limits := testWireLimits()
	limits.MaxConns = 1
	conn, address, s := startWaiting(t, limits)
	if _, err := conn.Write([]byte{0x20, 'a'}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if _, err := callEcho(address, []byte("data")); err == nil {
		t.Error("another connection was accepted beyond the bound")
	}
	close(s.release)
	if n, err := conn.Read(make([]byte, 64)); err != nil {
		t.Errorf("the reply to the call in progress: %d bytes, %v", n, err)
	}
}

// Guards against a connection that counts as idle while a message arrives, because a call ended
// meanwhile, and is given up before those that sent nothing for longer.
func TestReceivingConnectionIsNotIdle(t *testing.T) {
	limits := testWireLimits()
	limits.MaxConns = 2
	conn, address, s := startWaiting(t, limits)
	if _, err := conn.Write([]byte{0x20, 'a'}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	close(s.release)
	if _, err := conn.Read(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	idle := NewClient(address, nil)
	defer idle.Close()
	var reply []byte
	if err := idle.Call(t.Context(), "Test.Echo", []byte("data"), &reply); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if _, err := callEcho(address, []byte("data")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 64)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection whose message arrives: %v, want that it stays open", err)
	}
}

// Guards against a server that stops accepting for good when it runs out of descriptors.
func TestServerSurvivesFailedAccepts(t *testing.T) {
	address := serveLimited(t, testWireLimits(), 3)
	if _, err := callEcho(address, []byte("data")); err != nil {
		t.Error(err)
	}
}

// Guards against clients that send nothing or stop in the middle of a message and are kept.
func TestUnfinishedMessagesEnd(t *testing.T) {
	for _, c := range []struct {
		name, sent string
	}{
		{"silent", ""}, {"unfinished length", "\xfc\x00"}, {"unfinished small message", "\x20abc"},
		{"unfinished large message", "\xfd\x10\x00\x00abc"}, {"huge length", "\xf8\x7f\x00\x00\x00\x00\x00\x00\x00"},
		{"length with too many bytes", "\x81"},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := testWireLimits()
			limits.FirstTimeout, limits.MessageTimeout = 50*time.Millisecond, 50*time.Millisecond
			conn, err := net.Dial("tcp", serveLimited(t, limits, 0))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.ReadAll(conn); err != nil {
				if e, ok := err.(net.Error); ok && e.Timeout() {
					t.Error("the connection stays open")
				}
			}
		})
	}
}

// Guards against silent connections that keep peers from calling, and against calls in progress that
// are cut for new connections.
func TestSilentConnectionsGiveWay(t *testing.T) {
	limits := testWireLimits()
	limits.MaxConns = 2
	address := serveLimited(t, limits, 0)
	for range 10 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	if _, err := callEcho(address, []byte("data")); err != nil {
		t.Error(err)
	}
}

// defineType returns a gob message that defines a type with an id of its own: an array of integers.
func defineType(t *testing.T, number int) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).EncodeValue(reflect.New(reflect.ArrayOf(number, reflect.TypeOf(0))).Elem()); err != nil {
		t.Fatal(err)
	}
	return out.Next(1 + int(out.Bytes()[0]))
}

// Guards against definitions of types without end, which the decoder of a connection keeps although
// no call uses them.
func TestTypeDefinitionsAreBounded(t *testing.T) {
	address := serveLimited(t, testWireLimits(), 0)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(conn)
		ended <- err
	}()
	for sent, i := 0, 1; sent < 4*maxTypeBytes; i++ {
		definition := defineType(t, i)
		if definition[0] > 0x7f || !definesType(definition[1:]) {
			t.Fatalf("not a definition: %x", definition)
		}
		if _, err := conn.Write(definition); err != nil {
			break
		}
		sent += len(definition)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Errorf("the connection is open after %d bytes of definitions", 4*maxTypeBytes)
	}
}
