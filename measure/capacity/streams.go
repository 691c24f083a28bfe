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

// bufferedTokens is the number of tokens in the replay buffer of each open stream.
const bufferedTokens = 20

// measureStreams measures the memory of open streams at an agent, and at an entry
// and an agent together. The difference is the memory at the entry.
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
		replay = append(replay, Point{float64(n), replayBufferMemory(n)})
	}
	b.addSlope(streamAgentMemory, "streams", "bytes at the agent, 20 tokens kept", atAgent)
	b.addSlope(streamEntryMemory, "streams", "bytes at the entry, with the socket of the stand-in caller", atEntry)
	b.addSlope(replayTokenMemory, "tokens", "bytes of one replay buffer", replay)
	return nil
}

// streamMemory opens n streams that stay open without further tokens, and returns
// the memory that they use.
func (b *bench) streamMemory(n int, open func(context.Context, *cluster, int) ([]net.Conn, error)) (float64, error) {
	c, err := startCluster(clusterOptions{agents: 1, callers: 50,
		backend: pacedBackend{interval: time.Millisecond, pauseAfter: bufferedTokens}})
	if err != nil {
		return 0, err
	}
	defer c.close()
	before := liveBytes()
	conns, err := open(b.ctx, c, n)
	if err != nil {
		return 0, err
	}
	defer closeConns(conns)
	for c.emittedTokens.Load() < int64(n)*bufferedTokens {
		if b.ctx.Err() != nil {
			return 0, b.ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(b.duration(time.Second))
	streamBytes := liveBytes() - before
	runtime.KeepAlive(conns)
	return streamBytes, nil
}

func openAtEntry(ctx context.Context, c *cluster, n int) ([]net.Conn, error) {
	return c.openStreams(ctx, n)
}

// openAtAgent starts n executions at the agent and subscribes to them without an
// entry.
func openAtAgent(ctx context.Context, c *cluster, n int) ([]net.Conn, error) {
	pool := wire.NewPool(nil)
	defer pool.Close()
	m := c.members[0]
	conn, err := wire.DialTCP(ctx, m.LinkAddress)
	if err != nil {
		return nil, err
	}
	go discardReads(conn)
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
		BackendServer: serverName(0), AgentIncarnation: 1, Execution: id, Caller: "team-00000", Service: "service-0",
		Model: "model-0", Version: "v1", Digest: string(make([]byte, 64)), Timeout: time.Minute,
		Body: []byte(promptText + promptText + promptText + promptText),
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

func discardReads(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// replayBufferMemory returns the memory of a replay buffer. As with an engine,
// each token has its own string.
func replayBufferMemory(tokens int) float64 {
	before := liveBytes()
	var w link.Window
	for i := range tokens {
		w.Append(message.Token{Text: string([]byte(tokenTexts[i%len(tokenTexts)]))})
	}
	bufferBytes := liveBytes() - before
	runtime.KeepAlive(&w)
	return bufferBytes
}

// measureLinks measures links that carry no tokens.
func measureLinks(b *bench) error {
	var idle, atAgent []Point
	for _, n := range b.sizes([]int{4, 8, 16}, []int{1, 2, 3}) {
		perSecond, err := b.idleLinkTraffic(n)
		if err != nil {
			return err
		}
		idle = append(idle, Point{float64(n), perSecond})
	}
	for _, n := range b.sizes([]int{10, 50, 100}, []int{1, 2, 3}) {
		memory, err := b.linkMemory(n)
		if err != nil {
			return err
		}
		atAgent = append(atAgent, Point{float64(n), memory})
	}
	b.addSlope(linkIdleBytes, "links", "bytes/s of one entry's idle links, both directions", idle)
	b.addSlope(linkAgentMemory, "links", "bytes at the agent", atAgent)
	return nil
}

// idleLinkTraffic returns the payload bytes/s of n links whose streams have no
// further tokens.
func (b *bench) idleLinkTraffic(n int) (float64, error) {
	c, err := startCluster(clusterOptions{agents: n, callers: 50,
		backend: pacedBackend{interval: time.Millisecond, pauseAfter: 1}})
	if err != nil {
		return 0, err
	}
	defer c.close()
	conns, err := c.openStreams(b.ctx, 8*n)
	if err != nil {
		return 0, err
	}
	defer closeConns(conns)
	// Eight streams for each link make placement use all links. A whole number of
	// heartbeat intervals makes each link send the same number of heartbeats.
	time.Sleep(b.duration(link.HeartbeatInterval))
	before, d := c.linkTraffic.total(), b.duration(4*link.HeartbeatInterval)
	time.Sleep(d)
	return float64(c.linkTraffic.total()-before) / d.Seconds(), nil
}

// linkMemory returns the memory of n links to one agent that have no streams.
func (b *bench) linkMemory(n int) (float64, error) {
	c, err := startCluster(clusterOptions{agents: 1, callers: 1, backend: pacedBackend{interval: time.Second}})
	if err != nil {
		return 0, err
	}
	defer c.close()
	before := liveBytes()
	var conns []net.Conn
	defer func() { closeConns(conns) }()
	for range n {
		conn, err := wire.DialTCP(b.ctx, c.members[0].LinkAddress)
		if err != nil {
			return 0, err
		}
		conns = append(conns, conn)
		// The Hello frame shows that the agent serves the link.
		frame, err := wire.NewFrameReader(conn, time.Minute).Read()
		if err != nil || frame.Hello == nil {
			return 0, errors.Errorf("the link began with %v, error %v", frame, err)
		}
	}
	linkBytes := liveBytes() - before
	runtime.KeepAlive(conns)
	return linkBytes, nil
}
