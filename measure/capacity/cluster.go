package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/burnreport"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// staticFleet implements entry.Fleet and agent.Fleet with a configuration and
// members that do not change.
type staticFleet struct {
	config  *contract.Config
	members []message.Member
	host    string
}

// Config implements entry.Fleet and agent.Fleet.
func (f *staticFleet) Config() *contract.Config { return f.config }

// Header implements entry.Fleet and agent.Fleet.
func (f *staticFleet) Header() message.Header {
	return message.Header{Host: f.host, Incarnation: 1, Revision: 1200, PeerAddress: "10.20.1.1:7400"}
}

// Observe implements entry.Fleet and agent.Fleet.
func (f *staticFleet) Observe(message.Header) {}

// Members implements entry.Fleet. It returns the same list on each call, as
// package peer does until a member changes.
func (f *staticFleet) Members() []message.Member { return f.members }

// Ready implements entry.Fleet.
func (f *staticFleet) Ready() bool { return true }

// clusterOptions describes an entry with agents and engines.
type clusterOptions struct {
	agents int
	// knownHosts is the number of hosts that the entry knows. Hosts in excess of
	// agents have the addresses of the agents. Zero means the agents only.
	knownHosts int
	callers    int
	backend    pacedBackend
	// replayRetention is the retention of ended responses at the agents.
	replayRetention time.Duration
	// objectives is the number of burn objectives of the entry.
	objectives int
}

// cluster is an entry with links to some agents, each with two backend servers.
type cluster struct {
	options       clusterOptions
	url           string
	emittedTokens atomic.Int64
	linkTraffic   traffic
	callerTraffic traffic
	members       []message.Member
	cleanups      []func()
}

func startCluster(o clusterOptions) (*cluster, error) {
	c := &cluster{options: o}
	o.backend.emitted = &c.emittedTokens
	if o.knownHosts == 0 {
		o.knownHosts = o.agents
	}
	for i := range o.agents {
		if err := c.startAgent(i, o); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.startEntry(o); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// buildConfig returns a configuration with one model.
func buildConfig(callers, hosts, servers int) (*contract.Config, error) {
	config, faults := contract.Build(1, sections(callers, hosts, servers, 1))
	if len(faults) > 0 {
		return nil, errors.Errorf("generated configuration has faults: %v", faults[0])
	}
	return config, nil
}

func (c *cluster) startAgent(i int, o clusterOptions) error {
	// An agent whose address several hosts share serves the backend servers of all
	// of them.
	config, err := buildConfig(o.callers, o.agents, 2*o.knownHosts)
	if err != nil {
		return err
	}
	linkListener, err := listenLoopback()
	if err != nil {
		return err
	}
	callListener, err := listenLoopback()
	if err != nil {
		return err
	}
	member := message.Member{
		Host: hostName(i), Incarnation: 1, AgentAddress: callListener.Addr().String(),
		LinkAddress: linkListener.Addr().String(), State: message.MemberLive,
	}
	server := wire.NewServer(callListener)
	withRole(roleAgent, func() {
		a := agent.New(agent.Options{
			Host: member.Host, Incarnation: 1, Fleet: &staticFleet{config: config, host: member.Host},
			ReplayRetention:   o.replayRetention,
			EngineIdleTimeout: time.Hour, ReaderGrace: time.Hour, MaxQueue: 1 << 16,
			Connect: func(s contract.BackendServer) engine.Backend {
				backend := o.backend
				// Different origins keep the steps of the engines from coinciding.
				backend.origin = time.Now().Add(-time.Duration(len(s.Name)+i*37) * time.Millisecond)
				return &backend
			},
		})
		err = server.Register("Agent", a.Service())
		go server.Serve()
		go a.ServeLinks(linkListener)
		c.cleanups = append(c.cleanups, func() { server.Close(); _ = linkListener.Close(); a.Close() })
	})
	c.members = append(c.members, member)
	return err
}

func (c *cluster) startEntry(o clusterOptions) error {
	config, err := buildConfig(o.callers, o.knownHosts, 2*o.knownHosts)
	if err != nil {
		return err
	}
	for i := o.agents; i < o.knownHosts; i++ {
		m := c.members[i%o.agents]
		m.Host = hostName(i)
		c.members = append(c.members, m)
	}
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	c.url = listener.Addr().String()
	pool := wire.NewPool(nil)
	collector := burnreport.NewCollector("entry-01", nil)
	collector.SetObjectives(objectives(o.objectives))
	withRole(roleEntry, func() {
		e := entry.New(entry.Options{
			Fleet: &staticFleet{config: config, members: c.members, host: "entry-01"}, Pool: pool,
			Dial:       c.linkTraffic.dialer(),
			MaxStreams: 1 << 16, RecordEvent: collector.Record,
		})
		server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(&countingListener{listener, &c.callerTraffic}) }()
		c.cleanups = append(c.cleanups, func() { _ = server.Close(); e.Close(); pool.Close() })
	})
	return nil
}

func (c *cluster) close() {
	for i := len(c.cleanups) - 1; i >= 0; i-- {
		c.cleanups[i]()
	}
}

// promptText is about 100 tokens long.
const promptText = "Write a season plan for a rowing crew of eight that trains five days a week on a lake with ice until April. "

// requestText returns the n-th generation request. The prompts differ from the
// first character on, because placement sends equal prefixes to the same backend
// server.
func (c *cluster) requestText(n int) string {
	key, _ := callerKey(n % c.options.callers)
	body := fmt.Sprintf(`{"model":"model-0","prompt":%q,"stream":true,"max_tokens":4000}`,
		fmt.Sprintf("%d. ", n)+promptText+promptText+promptText+promptText)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		key, len(body), body)
}

// openStream starts the n-th stream and returns its connection after the first
// bytes of the response.
func (c *cluster) openStream(ctx context.Context, n int) (net.Conn, error) {
	conn, err := wire.DialTCP(ctx, c.url)
	if err != nil {
		return nil, err
	}
	if _, err = conn.Write([]byte(c.requestText(n))); err == nil {
		err = expectOK(conn)
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open stream %d", n)
	}
	return conn, nil
}

const okStatusLine = "HTTP/1.1 200 OK"

func expectOK(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	got := make([]byte, len(okStatusLine))
	if _, err := conn.Read(got); err != nil {
		return errors.Wrap(err, "read response")
	}
	if string(got) != okStatusLine {
		return errors.Errorf("response begins with %q", got)
	}
	return nil
}

// openStreams starts n streams and returns their open connections.
func (c *cluster) openStreams(ctx context.Context, n int) ([]net.Conn, error) {
	conns := make([]net.Conn, 0, n)
	for i := range n {
		conn, err := c.openStream(ctx, i)
		if err != nil {
			closeConns(conns)
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

func closeConns(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
