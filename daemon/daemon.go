// Package daemon starts the roles that are enabled in the settings and shuts
// them down in order.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/agent"
	"arbutusmast.example/arbutusmast/burnreport"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine/standin"
	"arbutusmast.example/arbutusmast/entry"
	"arbutusmast.example/arbutusmast/netlimit"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/order"
	"arbutusmast.example/arbutusmast/peer"
	"arbutusmast.example/arbutusmast/settings"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Entry and agent use these optional interfaces if their Fleet implements them.
var (
	_ entry.EvacuationList = (*peer.State)(nil)
	_ agent.EvacuationList = (*peer.State)(nil)
)

// Daemon is one running process with its roles.
type Daemon struct {
	settings    *settings.Settings
	logger      *zap.Logger
	incarnation message.Incarnation
	pool        *wire.Pool
	dial        wire.Dialer
	callerKeys  *wire.CertReloader
	peerKeys    *wire.CertReloader
	stop        context.CancelFunc

	state         *peer.State
	burnCollector *burnreport.Collector
	metrics       *observe.Metrics
	draining      atomic.Bool
	// heartbeatAgent is the agent whose statuses heartbeats report. It is nil until
	// the agent starts, because heartbeats start earlier.
	heartbeatAgent atomic.Pointer[agent.Agent]
	rpc            *wire.Server
	agent          *agent.Agent
	entry          *entry.Entry
	callers        *gracefulServer
	standins       []*standin.Server
	closers        []func()
	failures       chan error
}

// Start starts all roles. If it returns an error, nothing is left running.
func Start(s *settings.Settings, logger *zap.Logger) (*Daemon, error) {
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, logger: logger, incarnation: newIncarnation(), dial: wire.DialTCP, stop: stop,
		failures: make(chan error, 8),
	}
	d.metrics = observe.NewMetrics()
	d.burnCollector = burnreport.NewCollector(s.Daemon.Host, nil)
	for _, start := range []func(context.Context) error{
		d.loadKeys, d.openPool, d.startStandins, d.startPeerServer, d.startControl, d.startState, d.startAgent,
		d.startEntry, d.startOperatorServer,
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

// newIncarnation returns the incarnation number of this process. It is larger
// than that of the previous process unless the host's clock was set back by more
// than a restart takes.
func newIncarnation() message.Incarnation { return message.Incarnation(time.Now().UnixMicro()) }

// Failures returns the channel that delivers fatal errors. The daemon cannot
// continue after one.
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

// needsState reports whether the daemon has a role that needs the cluster state
// and serves other daemons.
func (d *Daemon) needsState() bool {
	roles := d.settings.Daemon
	return roles.Has(settings.RoleEntry) || roles.Has(settings.RoleAgent) || roles.Has(settings.RoleControl)
}

// startPeerServer opens the RPC listener for other daemons. Start serves it after
// all roles have registered their services.
func (d *Daemon) startPeerServer(context.Context) error {
	if !d.needsState() {
		return nil
	}
	listener, err := d.listenPeers(d.settings.Daemon.PeerListen)
	if err != nil {
		return err
	}
	d.rpc = wire.NewServer(listener)
	d.rpc.SetLimits(newPeerLimits("calls", d.logger, d.metrics))
	return nil
}

// startState starts the exchange of heartbeats, membership and configuration with
// the control group.
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
	state.OnConfig(ctx, d.updateObjectives)
	return d.rpc.Register(peer.ServiceName, state.Service())
}

// statuses returns the statuses of the local backend servers for the heartbeats.
func (d *Daemon) statuses() []message.BackendServerStatus {
	if a := d.heartbeatAgent.Load(); a != nil {
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
	orders := order.NewRunner(order.Options{
		Host: d.settings.Daemon.Host, Config: d.state.Config, Header: d.state.Header, Control: controlClient{d.state},
		Logger: d.logger,
	})
	links := newPeerLimits("token_links", d.logger, d.metrics)
	links.MaxConns, links.Budget = netlimit.MaxPeerConns(linkConnShare), netlimit.NewBudget(linkBudget())
	d.agent = agent.New(agent.Options{
		LinkLimits: links,
		Host:       d.settings.Daemon.Host, Incarnation: d.incarnation, Fleet: d.state, Logger: d.logger,
		ReplayRetention: d.settings.Agent.ReplayRetention, ReplayBytes: d.settings.Agent.ReplayBytes,
		MaxQueue:      d.settings.Agent.MaxQueue,
		CrashReporter: controlClient{d.state}, OnRestart: orders.ResetLoaded,
	})
	d.heartbeatAgent.Store(d.agent)
	d.state.HeartbeatNow(ctx)
	go d.agent.ServeLinks(listener)
	d.state.OnConfig(ctx, func(*contract.Config) { d.agent.Reconcile() })
	d.state.OnMembers(ctx, func([]message.Member) { d.agent.Reconcile() })
	d.state.OnEvacuations(ctx, func(message.EvacuationSet) { d.agent.Reconcile() })
	go orders.Run(ctx)
	return d.rpc.Register("Agent", d.agent.Service())
}

func (d *Daemon) startEntry(context.Context) error {
	if !d.settings.Daemon.Has(settings.RoleEntry) {
		return nil
	}
	s := d.settings.Entry
	d.entry = entry.New(entry.Options{
		Fleet: d.state, Ledger: controlClient{d.state}, Pool: d.pool, Dial: d.dial,
		Logger: d.logger, FailureDomain: d.settings.Daemon.FailureDomain, MaxBodyBytes: s.MaxBodyBytes,
		StartTimeout: s.StartTimeout, RequestTimeout: s.RequestTimeout, LedgerRetention: s.LedgerRetention,
		MaxStreams: s.MaxStreams, RecordEvent: d.recordEvent,
	})
	callers := newGracefulServer(d.entry.Handler(), &d.draining, d.logger)
	callers.protect("callers", callerLimits(s.MaxBodyBytes), d.logger, d.metrics)
	listener, err := d.listenCallers(callers, s.Listen)
	if err != nil {
		return err
	}
	d.callers = callers
	go func() {
		if err := callers.serve(listener); err != nil {
			d.failures <- err
		}
	}()
	d.logger.Info("entry listens for callers", zap.String("address", listener.Addr().String()))
	return nil
}

// drainDelay is how long a draining entry still accepts new requests, so that
// load balancers and other entries stop sending before requests are refused.
const drainDelay = time.Second

// cutOffWriteTime is the time in which the responses to requests are written that remained
// at the end of the drain.
const cutOffWriteTime = 200 * time.Millisecond

// Drain waits for all requests to finish, in the order in which requests pass
// through the daemon: callers' requests, executions that other entries started
// here, RPCs from other daemons, and requests at stand-in engines. Each listener
// closes only after its last response byte was written.
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

// drainEntry drains the entry and closes the caller listener. The agent refuses
// new executions after drainDelay.
func (d *Daemon) drainEntry(ctx context.Context) error {
	d.entry.StartDraining(ctx, drainDelay)
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	if d.agent != nil {
		d.agent.Leave()
	}
	drainErr := d.entry.Drain(ctx)
	if drainErr != nil {
		// The requests that remained were answered just now.
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutOffWriteTime)
		defer cancel()
		d.callers.stopAccepting(writeCtx)
		d.callers.awaitQuiet(writeCtx)
		if err := d.callers.http.Shutdown(writeCtx); err != nil {
			d.logger.Warn("callers' connections remain at the end of the drain", zap.Error(err))
		}
		return drainErr
	}
	if err := d.callers.shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down caller listener")
	}
	d.entry.CloseLinks(ctx)
	return nil
}

// Close stops all roles immediately, without draining.
func (d *Daemon) Close() {
	if d.callers != nil {
		d.callers.close()
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
