package capacity

import (
	"context"
	"net"
	"runtime"
	"time"

	"arbutusmast.example/arbutusmast/core/link"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// heldTokens is the number of tokens in the replay buffer of each open stream.
const heldTokens = 20

// measureStreams measures the memory of open streams at an agent, and at entry
// and agent together. The difference is the entry's.
func measureStreams(b *bench) error {
	var atAgent, atEntry, replay []Point
	for _, n := range b.sizes([]int{100, 1000, 5000}, []int{5, 10, 20}) {
		agentOnly, err := b.streamMemory(n, openAtAgent)
		if err != nil {
			return err
		}
		both, err := b.streamMemory(n, openAtEntry)
		if err != nil {
			return err
		}
		atAgent = append(atAgent, Point{float64(n), agentOnly})
		atEntry = append(atEntry, Point{float64(n), both - agentOnly})
	}
	for _, n := range b.sizes([]int{1000, 4000, 16000}, []int{100, 200, 300}) {
		replay = append(replay, Point{float64(n), windowMemory(n)})
	}
	b.slope(streamAgent, "streams", "bytes at the agent, 20 tokens kept", atAgent)
	b.slope(streamEntry, "streams", "bytes at the entry, with the socket of the stand-in caller", atEntry)
	b.slope(replayMemory, "tokens", "bytes of one replay buffer", replay)
	return nil
}

// streamMemory opens streams that stay open and silent, and returns the memory
// that they hold.
func (b *bench) streamMemory(n int, open func(context.Context, *world, int) ([]net.Conn, error)) (float64, error) {
	w, err := startWorld(worldOptions{agents: 1, callers: 50, backend: pacedBackend{interval: time.Millisecond, hold: heldTokens}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	before := heldBytes()
	conns, err := open(b.ctx, w, n)
	if err != nil {
		return 0, err
	}
	defer closeAll(conns)
	for w.emitted.Load() < int64(n)*heldTokens {
		if b.ctx.Err() != nil {
			return 0, b.ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(b.lasting(time.Second))
	held := heldBytes() - before
	runtime.KeepAlive(conns)
	return held, nil
}

func openAtEntry(ctx context.Context, w *world, n int) ([]net.Conn, error) { return w.openAll(ctx, n) }

// openAtAgent starts and reads executions without an entry.
func openAtAgent(ctx context.Context, w *world, n int) ([]net.Conn, error) {
	pool := wire.NewPool(nil)
	defer pool.Close()
	m := w.members[0]
	conn, err := wire.DialTCP(ctx, m.LinkAddress)
	if err != nil {
		return nil, err
	}
	go discardAll(conn)
	writer := wire.NewFrameWriter(conn, time.Minute)
	err = writer.Write(&message.Frame{Hello: &message.Hello{}})
	for i := 0; i < n && err == nil; i++ {
		id := message.ExecutionID{Request: message.NewRequestID("entry-01", 1, uint64(i+1)), Attempt: 1}
		if err = startExecution(ctx, pool, m, id); err == nil {
			err = writer.Write(&message.Frame{Subscribe: &message.Subscribe{Execution: id, Caller: "team-00000"}})
		}
	}
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return []net.Conn{conn}, nil
}

func startExecution(ctx context.Context, pool *wire.Pool, m message.Member, id message.ExecutionID) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	request := message.StartRequest{
		BackendServer: serverName(0), AgentIncarnation: 1, Execution: id, Caller: "team-00000", Service: "service-0", Model: "model-0",
		Version: "v1", Digest: string(make([]byte, 64)), Timeout: time.Minute, Body: []byte(promptText + promptText + promptText + promptText),
	}
	var reply message.StartReply
	if err := pool.Call(ctx, m.AgentAddress, "Agent.Start", request, &reply); err != nil {
		return err
	}
	if reply.State == message.StartRefused {
		return reply.Refusal.Err()
	}
	return nil
}

func discardAll(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// windowMemory returns the memory of a replay buffer. Engines send each token
// as a string of its own.
func windowMemory(tokens int) float64 {
	before := heldBytes()
	var w link.Window
	for i := range tokens {
		w.Append(message.Token{Text: string([]byte(words[i%len(words)]))})
	}
	held := heldBytes() - before
	runtime.KeepAlive(&w)
	return held
}

// measureLinks measures links without traffic.
func measureLinks(b *bench) error {
	var idle, atAgent []Point
	for _, n := range b.sizes([]int{4, 8, 16}, []int{1, 2, 3}) {
		perSecond, err := b.idleLinks(n)
		if err != nil {
			return err
		}
		idle = append(idle, Point{float64(n), perSecond})
	}
	for _, n := range b.sizes([]int{10, 50, 100}, []int{1, 2, 3}) {
		held, err := b.linkMemory(n)
		if err != nil {
			return err
		}
		atAgent = append(atAgent, Point{float64(n), held})
	}
	b.slope(linkIdleBytes, "links", "bytes/s of one entry's idle links, both directions", idle)
	b.slope(linkAgentMemory, "links", "bytes at the agent", atAgent)
	return nil
}

// idleLinks returns the payload a second of links whose streams are silent.
func (b *bench) idleLinks(n int) (float64, error) {
	w, err := startWorld(worldOptions{agents: n, callers: 50, backend: pacedBackend{interval: time.Millisecond, hold: 1}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	conns, err := w.openAll(b.ctx, 8*n)
	if err != nil {
		return 0, err
	}
	defer closeAll(conns)
	// Eight streams for each link, so that placement leaves none out. Whole
	// intervals of heartbeats, so that each link sends equally many.
	time.Sleep(b.lasting(link.HeartbeatInterval))
	before, d := w.link.total(), b.lasting(4*link.HeartbeatInterval)
	time.Sleep(d)
	return float64(w.link.total()-before) / d.Seconds(), nil
}

// linkMemory opens links without streams to one agent.
func (b *bench) linkMemory(n int) (float64, error) {
	w, err := startWorld(worldOptions{agents: 1, callers: 1, backend: pacedBackend{interval: time.Second}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	before := heldBytes()
	var conns []net.Conn
	defer func() { closeAll(conns) }()
	for range n {
		conn, err := wire.DialTCP(b.ctx, w.members[0].LinkAddress)
		if err != nil {
			return 0, err
		}
		conns = append(conns, conn)
		// The agent's Hello shows that the link is served.
		frame, err := wire.NewFrameReader(conn, time.Minute).Read()
		if err != nil || frame.Hello == nil {
			return 0, errors.Errorf("the link began with %v, error %v", frame, err)
		}
	}
	held := heldBytes() - before
	runtime.KeepAlive(conns)
	return held, nil
}
