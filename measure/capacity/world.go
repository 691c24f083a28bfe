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

// view is a daemon's view of the system that does not change.
type view struct {
	config  *contract.Config
	members []message.Member
	host    string
}

// Config implements entry.Fleet and agent.Fleet.
func (v *view) Config() *contract.Config { return v.config }

// Header implements entry.Fleet and agent.Fleet.
func (v *view) Header() message.Header {
	return message.Header{Host: v.host, Incarnation: 1, Revision: 1200, PeerAddress: "10.20.1.1:7400"}
}

// Observe implements entry.Fleet and agent.Fleet.
func (v *view) Observe(message.Header) {}

// Members implements entry.Fleet. It returns the same list each time, as package
// peer does until a member changes.
func (v *view) Members() []message.Member { return v.members }

// Ready implements entry.Fleet.
func (v *view) Ready() bool { return true }

// worldOptions describes one entry with agents and engines.
type worldOptions struct {
	agents int
	// fleet is the number of hosts that the entry knows; those beyond the agents
	// share their addresses. Zero means the agents only.
	fleet   int
	callers int
	backend pacedBackend
	// retention is that of ended answers at the agents.
	retention time.Duration
	// objectives is the number of burn objectives of the entry.
	objectives int
}

// world is one entry before some agents, each with two backend servers.
type world struct {
	options worldOptions
	url     string
	emitted atomic.Int64
	link    traffic
	callers traffic
	members []message.Member
	closers []func()
}

func startWorld(o worldOptions) (*world, error) {
	w := &world{options: o}
	o.backend.emitted = &w.emitted
	if o.fleet == 0 {
		o.fleet = o.agents
	}
	for i := range o.agents {
		if err := w.startAgent(i, o); err != nil {
			w.close()
			return nil, err
		}
	}
	if err := w.startEntry(o); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// build returns a configuration with one model.
func build(callers, hosts, servers int) (*contract.Config, error) {
	config, faults := contract.Build(1, sections(callers, hosts, servers, 1))
	if len(faults) > 0 {
		return nil, errors.Errorf("the generated configuration has faults: %v", faults[0])
	}
	return config, nil
}

func (w *world) startAgent(i int, o worldOptions) error {
	// An agent that stands for several hosts serves the backend servers of all.
	config, err := build(o.callers, o.agents, 2*o.fleet)
	if err != nil {
		return err
	}
	links, err := listen()
	if err != nil {
		return err
	}
	calls, err := listen()
	if err != nil {
		return err
	}
	member := message.Member{
		Host: hostName(i), Incarnation: 1, AgentAddress: calls.Addr().String(), LinkAddress: links.Addr().String(), State: message.MemberLive,
	}
	server := wire.NewServer(calls)
	as(roleAgent, func() {
		a := agent.New(agent.Options{
			Host: member.Host, Incarnation: 1, Fleet: &view{config: config, host: member.Host}, ReplayRetention: o.retention,
			EngineIdleTimeout: time.Hour, ReaderGrace: time.Hour, MaxQueue: 1 << 16,
			Connect: func(s contract.BackendServer) engine.Backend {
				backend := o.backend
				// The steps of different engines do not coincide.
				backend.origin = time.Now().Add(-time.Duration(len(s.Name)+i*37) * time.Millisecond)
				return &backend
			},
		})
		err = server.Register("Agent", a.Service())
		go server.Serve()
		go a.ServeLinks(links)
		w.closers = append(w.closers, func() { server.Close(); _ = links.Close(); a.Close() })
	})
	w.members = append(w.members, member)
	return err
}

func (w *world) startEntry(o worldOptions) error {
	config, err := build(o.callers, o.fleet, 2*o.fleet)
	if err != nil {
		return err
	}
	for i := o.agents; i < o.fleet; i++ {
		m := w.members[i%o.agents]
		m.Host = hostName(i)
		w.members = append(w.members, m)
	}
	listener, err := listen()
	if err != nil {
		return err
	}
	w.url = listener.Addr().String()
	pool := wire.NewPool(nil)
	collector := burnreport.NewCollector("entry-01", nil)
	collector.SetObjectives(objectives(o.objectives))
	as(roleEntry, func() {
		e := entry.New(entry.Options{
			Fleet: &view{config: config, members: w.members, host: "entry-01"}, Pool: pool, Dial: w.link.dialer(),
			MaxStreams: 1 << 16, RecordEvent: collector.Record,
		})
		server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(&countedListener{listener, &w.callers}) }()
		w.closers = append(w.closers, func() { _ = server.Close(); e.Close(); pool.Close() })
	})
	return nil
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// promptText is about 100 tokens long.
const promptText = "Write a season plan for a rowing crew of eight that trains five days a week on a lake with ice until April. "

// requestText returns the n-th generation request. Prompts differ from their
// beginning on, because placement sends equal prefixes to the same backend
// server.
func (w *world) requestText(n int) string {
	key, _ := callerKey(n % w.options.callers)
	body := fmt.Sprintf(`{"model":"model-0","prompt":%q,"stream":true,"max_tokens":4000}`, fmt.Sprintf("%d. ", n)+promptText+promptText+promptText+promptText)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		key, len(body), body)
}

// open starts one stream and returns its connection after the first bytes of
// the answer.
func (w *world) open(ctx context.Context, n int) (net.Conn, error) {
	conn, err := wire.DialTCP(ctx, w.url)
	if err != nil {
		return nil, err
	}
	if _, err = conn.Write([]byte(w.requestText(n))); err == nil {
		err = expectOK(conn)
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open stream %d", n)
	}
	return conn, nil
}

const okLine = "HTTP/1.1 200 OK"

func expectOK(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	got := make([]byte, len(okLine))
	if _, err := conn.Read(got); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if string(got) != okLine {
		return errors.Errorf("the answer begins with %q", got)
	}
	return nil
}

// openAll starts streams and leaves their connections open.
func (w *world) openAll(ctx context.Context, n int) ([]net.Conn, error) {
	conns := make([]net.Conn, 0, n)
	for i := range n {
		conn, err := w.open(ctx, i)
		if err != nil {
			closeAll(conns)
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
