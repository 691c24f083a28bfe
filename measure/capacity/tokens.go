package capacity

import (
	"io"
	"sync"
	"time"
)

// tokenAgents is the number of agents, and so of links, of one measured entry.
const tokenAgents = 16

// tokenObjectives is the number of objectives that apply to each token: at least
// one for each service, and others for team classes.
const tokenObjectives = 2

// measureTokens measures the path of tokens from the engine to the caller. The
// cost of a token falls with the number of streams of a link, because frames that
// are ready at the same time are sent together. The size is therefore the inverse,
// links per 100 streams, over which the cost is nearly linear.
func measureTokens(b *bench) error {
	var entryCPU, agentCPU, linkBytes, callerBytes, entryRate, agentRate []Point
	addPoints := func(entry, agent *[]Point, size float64, streams, rate int) error {
		cost, err := measureTokenCost(b, streams, rate)
		if err != nil {
			return err
		}
		*entry = append(*entry, Point{size, cost.entryCPU})
		*agent = append(*agent, Point{size, cost.agentCPU})
		if entry == &entryCPU {
			linkBytes = append(linkBytes, Point{size, cost.linkBytes})
			callerBytes = append(callerBytes, Point{size, cost.callerBytes})
		}
		return nil
	}
	for _, perLink := range b.sizes([]int{2, 4, 10, 25, 50}, []int{1, 2, 3}) {
		if err := addPoints(&entryCPU, &agentCPU, 100/float64(perLink), perLink*tokenAgents, streamTokensPerSecond); err != nil {
			return err
		}
	}
	for _, rate := range b.sizes([]int{10, 30, 60}, []int{20, 40, 60}) {
		if err := addPoints(&entryRate, &agentRate, float64(rate), 10*tokenAgents, rate); err != nil {
			return err
		}
	}
	b.addSlope(tokenEntryCPU, "links per 100 streams", "µs/token at the entry", entryCPU)
	b.addSlope(tokenAgentCPU, "links per 100 streams", "µs/token at the agent", agentCPU)
	b.addSlope(tokenEntryCPUByRate, "tokens/s of a stream", "µs/token at the entry", entryRate)
	b.addSlope(tokenAgentCPUByRate, "tokens/s of a stream", "µs/token at the agent", agentRate)
	b.addSlope(tokenLinkBytes, "links per 100 streams", "bytes/token on the link", linkBytes)
	b.addSlope(tokenCallerBytes, "links per 100 streams", "bytes/token to callers", callerBytes)
	return nil
}

// tokenCost is the cost of one token: processor time in µs, and bytes.
type tokenCost struct {
	entryCPU, agentCPU, linkBytes, callerBytes float64
}

func measureTokenCost(b *bench, streams, rate int) (tokenCost, error) {
	c, err := startCluster(clusterOptions{
		agents: tokenAgents, callers: 50, objectives: tokenObjectives,
		backend: pacedBackend{interval: time.Second / time.Duration(rate)},
	})
	if err != nil {
		return tokenCost{}, err
	}
	defer c.close()
	conns, err := c.openStreams(b.ctx, streams)
	if err != nil {
		return tokenCost{}, err
	}
	defer closeConns(conns)
	withRole(roleCaller, func() {
		for _, conn := range conns {
			go func() { _, _ = io.CopyBuffer(discardWriter{}, readerOnly{conn}, make([]byte, 4<<10)) }()
		}
	})
	var tokens, linkBytes, callerBytes int64
	u, err := b.measurePhase(func() error {
		tokens, linkBytes, callerBytes = c.emittedTokens.Load(), c.linkTraffic.total(), c.callerTraffic.out.Load()
		time.Sleep(b.duration(phaseDuration))
		tokens, linkBytes, callerBytes = c.emittedTokens.Load()-tokens, c.linkTraffic.total()-linkBytes,
			c.callerTraffic.out.Load()-callerBytes
		return nil
	})
	if err != nil || tokens == 0 {
		return tokenCost{}, err
	}
	return tokenCost{
		entryCPU:  microsecondsPerOperation(u.cpuSecondsByRole[roleEntry], tokens),
		agentCPU:  microsecondsPerOperation(u.cpuSecondsByRole[roleAgent], tokens),
		linkBytes: float64(linkBytes) / float64(tokens), callerBytes: float64(callerBytes) / float64(tokens),
	}, nil
}

// readerOnly and discardWriter hide WriteTo and ReadFrom from io.CopyBuffer, which
// could otherwise use splice and shift the cost of a reader elsewhere.
type readerOnly struct{ io.Reader }

type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// requestsPerSecond is the rate of requests to the entry in measureRequests.
const requestsPerSecond = 1500

const requestWorkers = 32

// measureRequests measures requests with a response of one token, at entries that
// know fleets of several sizes. For each request, placement examines each host and
// backend server.
func measureRequests(b *bench) error {
	var entryCPU, agentCPU []Point
	for _, knownHosts := range b.sizes([]int{50, 100, 200, 405}, []int{2, 4, 6}) {
		c, err := startCluster(clusterOptions{
			agents: 1, knownHosts: knownHosts, callers: 50, objectives: tokenObjectives, replayRetention: time.Second,
			backend: pacedBackend{interval: time.Millisecond, maxTokens: 1},
		})
		if err != nil {
			return err
		}
		requests, u, err := c.sendRequests(b, b.duration(phaseDuration))
		c.close()
		if err != nil {
			return err
		}
		size := float64(2 * knownHosts)
		entryCPU = append(entryCPU, Point{size, microsecondsPerOperation(u.cpuSecondsByRole[roleEntry], requests)})
		agentCPU = append(agentCPU, Point{size, microsecondsPerOperation(u.cpuSecondsByRole[roleAgent], requests)})
	}
	if err := measureIdleAgent(b); err != nil {
		return err
	}
	b.addSlope(requestEntryCPU, "backend servers", "µs/request at the entry", entryCPU)
	b.addSlope(requestAgentCPU, "backend servers", "µs/request at the agent", agentCPU)
	return nil
}

// measureIdleAgent measures the periodic work of an agent without requests, which
// grows with its backend servers.
func measureIdleAgent(b *bench) error {
	var idle []Point
	for _, knownHosts := range b.sizes([]int{10, 50, 100}, []int{1, 2, 3}) {
		c, err := startCluster(clusterOptions{agents: 1, knownHosts: knownHosts, callers: 1,
			backend: pacedBackend{interval: time.Second}})
		if err != nil {
			return err
		}
		u, err := b.measurePhase(func() error {
			time.Sleep(b.duration(phaseDuration))
			return nil
		})
		c.close()
		if err != nil {
			return err
		}
		idle = append(idle, Point{float64(2 * knownHosts), u.cpuSeconds / u.wallSeconds * 100})
	}
	b.addSlope(agentIdleCPU, "backend servers", "% of a core at an idle agent", idle)
	return nil
}

// sendRequests sends requests for the duration d and reads the responses.
func (c *cluster) sendRequests(b *bench, d time.Duration) (requests int64, u usage, err error) {
	var mu sync.Mutex
	u, err = b.measurePhase(func() error {
		var wg sync.WaitGroup
		var workerErr error
		withRole(roleCaller, func() {
			for worker := range requestWorkers {
				wg.Go(func() {
					n, err := c.requestLoop(b, worker, d)
					mu.Lock()
					defer mu.Unlock()
					requests += n
					if err != nil {
						workerErr = err
					}
				})
			}
		})
		wg.Wait()
		return workerErr
	})
	return requests, u, err
}
