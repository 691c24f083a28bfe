// Package daemon starts the roles that the settings ask for and stops them in
// order.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/burnreport"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/order"
	"arbutusmast.example/arbutusmast/peer"
	"arbutusmast.example/arbutusmast/settings"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const readHeaderTimeout = 10 * time.Second

// Daemon is one running process of the system.
type Daemon struct {
	settings    *settings.Settings
	logger      *zap.Logger
	incarnation message.Incarnation
	pool        *wire.Pool
	dial        wire.Dialer
	callerKeys  *wire.CertReloader
	peerKeys    *wire.CertReloader
	stop        context.CancelFunc

	state    *peer.State
	burn     *burnreport.Collector
	metrics  *observe.Metrics
	draining atomic.Bool
	// reporting is the agent as the heartbeats see it, which begin before it.
	reporting atomic.Pointer[agent.Agent]
	rpc       *wire.Server
	agent     *agent.Agent
	entry     *entry.Entry
	servers   []*http.Server
	standins  []*standin.Server
	closers   []func()
	failures  chan error
}

// Start starts all roles. On an error nothing is left running.
func Start(s *settings.Settings, logger *zap.Logger) (*Daemon, error) {
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, logger: logger, incarnation: newIncarnation(), dial: wire.DialTCP, stop: stop,
		failures: make(chan error, 8),
	}
	d.metrics = observe.NewMetrics()
	d.burn = burnreport.NewCollector(s.Daemon.Host, nil)
	for _, start := range []func(context.Context) error{
		d.loadKeys, d.openPool, d.startStandins, d.startServer, d.startControl, d.startState, d.startAgent, d.startEntry, d.startOperations,
	} {
		if err := start(ctx); err != nil {
			d.Close()
			return nil, err
		}
	}
	if d.rpc != nil {
		go d.rpc.Serve()
	}
	return d, nil
}

// newIncarnation returns the number of a new life of this process. It grows as
// long as the host's clock is not set back by more than the time of a restart.
func newIncarnation() message.Incarnation { return message.Incarnation(time.Now().UnixMicro()) }

// Failures delivers errors after which the daemon can not go on.
func (d *Daemon) Failures() <-chan error { return d.failures }

func (d *Daemon) openPool(context.Context) error {
	d.pool = wire.NewPool(d.dial)
	return nil
}

func (d *Daemon) startStandins(context.Context) error {
	if !d.settings.Daemon.Has(settings.RoleStandin) {
		return nil
	}
	for _, s := range d.settings.Standins {
		server, err := standin.Start(standin.Options{
			Name: s.Name, Kind: standin.Kind(s.Kind), Listen: s.Listen, TokenInterval: s.TokenInterval,
			MemoryBlocks: s.MemoryBlocks, BlockTokens: s.BlockTokens, MaxBatch: s.MaxBatch, ChecksFencing: s.ChecksFencing,
		})
		if err != nil {
			return err
		}
		d.standins = append(d.standins, server)
		d.closers = append(d.closers, server.Close)
	}
	return nil
}

// needsState tells whether a role takes part in the system.
func (d *Daemon) needsState() bool {
	roles := d.settings.Daemon
	return roles.Has(settings.RoleEntry) || roles.Has(settings.RoleAgent) || roles.Has(settings.RoleControl)
}

func (d *Daemon) startServer(context.Context) error {
	if !d.needsState() {
		return nil
	}
	listener, err := d.listenPeers(d.settings.Daemon.PeerListen)
	if err != nil {
		return err
	}
	d.rpc = wire.NewServer(listener)
	return nil
}

func (d *Daemon) startState(ctx context.Context) error {
	if !d.needsState() {
		return nil
	}
	state, err := peer.Start(ctx, peer.Options{
		Settings: *d.settings, Pool: d.pool, Incarnation: d.incarnation, Logger: d.logger,
		AgentAddress: d.settings.Daemon.PeerListen, LinkAddress: d.settings.Agent.LinkListen,
		Statuses: d.statuses, Metrics: d.metrics,
	})
	if err != nil {
		return err
	}
	d.state = state
	state.OnConfig(ctx, d.followObjectives)
	return d.rpc.Register(peer.ServiceName, state.Service())
}

func (d *Daemon) statuses() []message.BackendServerStatus {
	if a := d.reporting.Load(); a != nil {
		return a.Statuses()
	}
	return nil
}

func (d *Daemon) startAgent(ctx context.Context) error {
	if !d.settings.Daemon.Has(settings.RoleAgent) {
		return nil
	}
	listener, err := d.listenPeers(d.settings.Agent.LinkListen)
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() { _ = listener.Close() })
	d.agent = agent.New(agent.Options{
		Host: d.settings.Daemon.Host, Incarnation: d.incarnation, Fleet: d.state, Logger: d.logger,
		ReplayRetention: d.settings.Agent.ReplayRetention, ReplayBytes: d.settings.Agent.ReplayBytes,
		MaxQueue:      d.settings.Agent.MaxQueue,
		CrashReporter: controlGroup{d.state},
	})
	d.reporting.Store(d.agent)
	d.state.HeartbeatNow(ctx)
	go d.agent.ServeLinks(listener)
	d.state.OnConfig(ctx, func(*contract.Config) { d.agent.Reconcile() })
	d.state.OnMembers(ctx, func([]message.Member) { d.agent.Reconcile() })
	orders := order.NewRunner(order.Options{
		Host: d.settings.Daemon.Host, Config: d.state.Config, Header: d.state.Header, Control: controlGroup{d.state}, Logger: d.logger,
	})
	go orders.Run(ctx)
	return d.rpc.Register("Agent", d.agent.Service())
}

func (d *Daemon) startEntry(context.Context) error {
	if !d.settings.Daemon.Has(settings.RoleEntry) {
		return nil
	}
	s := d.settings.Entry
	d.entry = entry.New(entry.Options{
		Fleet: d.state, Ledger: controlGroup{d.state}, Pool: d.pool, Dial: d.dial,
		Logger: d.logger, FailureDomain: d.settings.Daemon.FailureDomain, MaxBodyBytes: s.MaxBodyBytes,
		StartTimeout: s.StartTimeout, RequestTimeout: s.RequestTimeout, LedgerRetention: s.LedgerRetention, MaxStreams: s.MaxStreams,
		RecordEvent: d.recordEvent,
	})
	listener, err := d.listenCallers(s.Listen)
	if err != nil {
		return err
	}
	d.serveHTTP(listener, d.entry.Handler())
	d.logger.Info("entry accepts callers", zap.String("address", listener.Addr().String()))
	return nil
}

func (d *Daemon) serveHTTP(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.failures <- errors.Wrap(err, "serve HTTP")
		}
	}()
}

// leaveNotice is how long a daemon that leaves still takes new requests, so that
// balancers and entries notice before they are refused.
const leaveNotice = time.Second

// Drain finishes all requests in the order of their path: the callers' requests,
// the executions that other entries started here, the calls of other daemons,
// and the requests of the stand-ins. Each listener closes only after the last
// byte was handed over.
func (d *Daemon) Drain(ctx context.Context) error {
	d.draining.Store(true)
	if d.state != nil {
		d.state.SetLeaving(ctx)
	}
	if d.entry != nil {
		if err := d.drainEntry(ctx); err != nil {
			return err
		}
	}
	if d.agent != nil {
		if err := d.agent.Drain(ctx); err != nil {
			return err
		}
	}
	if d.rpc != nil {
		if err := d.rpc.Shutdown(ctx); err != nil {
			return err
		}
	}
	for _, s := range d.standins {
		if err := s.Drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) drainEntry(ctx context.Context) error {
	d.entry.StartDraining()
	for _, s := range d.servers {
		s.SetKeepAlivesEnabled(false)
	}
	select {
	case <-time.After(leaveNotice):
	case <-ctx.Done():
	}
	if d.agent != nil {
		d.agent.Leave()
	}
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	for _, s := range d.servers {
		// Shutdown waits for the last bytes of the answers.
		if err := s.Shutdown(ctx); err != nil {
			return errors.Wrap(err, "shut down the callers' listener")
		}
	}
	return nil
}

// Close stops everything at once.
func (d *Daemon) Close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.entry != nil {
		d.entry.Close()
	}
	if d.rpc != nil {
		d.rpc.Close()
	}
	for _, closeFunc := range d.closers {
		closeFunc()
	}
	if d.agent != nil {
		d.agent.Close()
	}
	d.stop()
	if d.pool != nil {
		d.pool.Close()
	}
}
