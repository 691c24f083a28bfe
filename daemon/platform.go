package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/limit"
	"arbutusmast.example/arbutusmast/core/roster"
	"arbutusmast.example/arbutusmast/evacuate"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/gateway"
	"arbutusmast.example/arbutusmast/netlimit"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/platform"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// peerDialTimeout and peerUnackedTimeout are many times the round trip between
	// hosts and shorter than the time after which a lost member is detected.
	peerDialTimeout    = 600 * time.Millisecond
	peerUnackedTimeout = 1200 * time.Millisecond
	// confirmedAgeRatio is the fraction of the time limit for revoking keys during
	// which a copy of the desired state counts as confirmed. The remainder covers a
	// confirmation request in progress.
	confirmedAgeRatio = 0.85
	// platformDrainDelay is how long a draining entry still accepts new requests.
	// The load balancer probes readiness once a second and removes an entry after
	// the second failed probe.
	platformDrainDelay = 3 * time.Second
	// shutdownReserve is the time left between the end of the drain and the time at
	// which the platform kills the process.
	shutdownReserve = 400 * time.Millisecond
	// leaveTimeout is how long a stopping control member waits for the group's
	// reply. It is longer than an election, during which no member replies.
	leaveTimeout = 3 * time.Second
	// operatorStopTimeout is how long a stopping control member waits for operators' calls in
	// progress, which are answered after 0.9 s at most.
	operatorStopTimeout = time.Second
	// memoryLimitRatio is the fraction of the host's memory that is set as the soft
	// memory limit of the Go runtime. Near it, garbage is collected more often.
	memoryLimitRatio = 0.7
	// entryBaseBytes is what the Go runtime of an entry manages without requests, and
	// requestMemoryRatio the fraction of the rest below the soft limit that requests may hold,
	// so that garbage has room.
	entryBaseBytes     = 12 << 20
	requestMemoryRatio = 0.9
	// minRequestMemory is what requests may hold on a host with very little memory.
	minRequestMemory = 8 << 20
	// retryRatioFactor reduces the retry ratio of one entry, so that the retries of
	// all entries together stay below the limit when callers move between entries.
	retryRatioFactor = 0.6
)

// platformDaemon is a daemon that runs one role on the users' platform.
type platformDaemon struct {
	settings atomic.Pointer[platform.Settings]
	path     string
	logger   *zap.Logger
	metrics  *observe.Metrics
	pool     *wire.Pool
	dial     wire.Dialer
}

// RunOnPlatform runs the role named in a platform settings file until SIGTERM or
// SIGINT arrives.
func RunOnPlatform(path string, logger *zap.Logger) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitRatio * (1 << 20)))
	}
	d := &platformDaemon{
		path: path, logger: logger.With(zap.String("host", s.Host), zap.String("role", s.Role)),
		metrics: observe.NewMetrics(), dial: wire.NewTCPDialer(peerDialTimeout, peerUnackedTimeout),
	}
	d.pool = wire.NewPool(d.dial)
	d.settings.Store(s)
	// Signals are handled from before the first log line on, which tells that the daemon runs.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	d.logger.Info("daemon started", zap.Bool("first_start", s.FirstStart), zap.Strings("seeds", s.Seeds),
		zap.String("failure_domain", s.FailureDomain))
	go d.reloadSettings(ctx, sighups)
	d.serveMetrics(s.MetricsAddress())
	switch s.Role {
	case platform.RoleEntry:
		err = d.runEntry(ctx, s)
	case platform.RoleControl:
		err = d.runControl(ctx, s)
	case platform.RoleAgent:
		err = d.runAgent(ctx, s)
	}
	d.logger.Info("daemon stopped", zap.Error(err))
	return err
}

// settingsPollInterval is the interval at which the settings file is checked,
// because it may change without a signal.
const settingsPollInterval = time.Second

// reloadSettings reloads the settings file when it changes or a SIGHUP arrives. Only
// the seeds and the names of failure domains affect a running process.
func (d *platformDaemon) reloadSettings(ctx context.Context, sighups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastRead os.FileInfo
	lastError := ""
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			signaled = true
		case <-ticker.C:
		}
		info, err := os.Stat(d.path)
		if err != nil || !signaled && lastRead != nil && info.ModTime().Equal(lastRead.ModTime()) &&
			info.Size() == lastRead.Size() {
			continue
		}
		s, err := platform.LoadSettings(d.path)
		if err != nil {
			// The file is read again, because it may be half written, and the rest may come
			// without another modification time.
			if signaled || err.Error() != lastError {
				d.logger.Warn("cannot reload settings, keeping the previous ones", zap.Error(err))
			}
			lastError = err.Error()
			continue
		}
		firstRead := lastRead == nil && lastError == ""
		lastRead, lastError = info, ""
		d.settings.Store(s)
		if signaled || !firstRead {
			d.logger.Info("settings reloaded", zap.Bool("signaled", signaled), zap.Strings("seeds", s.Seeds))
		}
	}
}

func (d *platformDaemon) seeds() []string { return d.settings.Load().Seeds }

// failureDomains returns the failure domains that the settings name.
func (d *platformDaemon) failureDomains() []string {
	return slices.Collect(maps.Keys(d.settings.Load().Regions))
}

// serveMetrics serves /metrics. It only logs a failure to listen, because a port
// that is in use must not stop the daemon.
func (d *platformDaemon) serveMetrics(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.logger.Warn("cannot listen for metrics, metrics are not served", zap.String("address", address), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.metrics)
	go d.serve(d.newSmallServer("metrics", mux), listener)
}

func (d *platformDaemon) serve(server *http.Server, listener net.Listener) {
	reporter := newReporter("http", d.logger, d.metrics)
	if err := server.Serve(netlimit.Listener(listener, reporter)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger.Warn("HTTP server failed", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

const (
	// leaderListShare is the share of the platform's calls of the list that the control
	// leader makes at most, and fallbackListShare that of an entry that reads it itself.
	leaderListShare   = 0.7
	fallbackListShare = 0.1
)

// listClient returns a client of the platform's list that makes a share of the calls that the
// platform accepts.
func listClient(s *platform.Settings, share float64, yields bool, logger *zap.Logger) *platform.ListClient {
	return platform.NewListClient(s.ListAddress, logger).WithPace(limit.NewPace(share*s.ListCallsPerSecond, yields))
}

// runEntry serves callers until ctx ends, and then drains.
func (d *platformDaemon) runEntry(ctx context.Context, s *platform.Settings) error {
	watcher := fleet.NewWatcher(fleet.WatcherOptions{
		Seeds: d.seeds, Codec: platform.Codec{}, Directory: listClient(s, fallbackListShare, true, d.logger), Pool: d.pool,
		Logger: d.logger, FailureDomain: s.FailureDomain, Entry: s.Host,
		WantsTight: s.ServiceWideAdmission,
	})
	var rooms gateway.RoomSource
	if s.ServiceWideAdmission {
		rooms = watcher
	}
	g := gateway.New(gateway.Options{
		Fleet: watcher, Dialect: platform.Dialect{}, Name: s.Host, FailureDomain: s.FailureDomain,
		Locator:  &evacuate.Locator{Pool: d.pool, AgentAddress: s.AgentAddressFor},
		Reserver: platform.NewReserver(), CrashReporter: watcher, Permits: watcher, Outcomes: watcher,
		Rooms:           rooms,
		Regions:         failuredomain.NewMap(s.Regions),
		MaxConfirmedAge: time.Duration(float64(s.MaxRevocationDelay) * confirmedAgeRatio),
		RetryRatio:      s.RetryRatio * retryRatioFactor, RetryGrants: watcher,
		RetryWindow: s.RetryWindow, EvacuationBound: s.EvacuationBound,
		BoundsColdServers: s.ColdBound().Window > 0, Logger: d.logger, Metrics: d.metrics,
		MemoryBytes: requestMemory(s.MemoryMB),
	})
	listener, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readyListener, err := net.Listen("tcp", s.ReadyListen)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	go d.serve(d.newSmallServer("readiness", d.readinessHandler(g)), readyListener)
	// The watcher runs until the drain ends, because requests in progress need its
	// copy of the desired state.
	watchCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.Run(watchCtx)
	serveErr := make(chan error, 1)
	go func() { serveErr <- g.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	d.logger.Info("draining", zap.Duration("limit_seconds", s.DrainTimeout))
	drainCtx, stop := context.WithTimeout(context.Background(), s.DrainTimeout-shutdownReserve)
	defer stop()
	g.Drain(drainCtx, platformDrainDelay, listener)
	return nil
}

// requestMemory returns the memory that an entry may hold for requests on a host with an amount of
// memory, 0 if that is unknown.
func requestMemory(memoryMB int) int64 {
	if memoryMB <= 0 {
		return 0
	}
	free := float64(memoryMB<<20)*memoryLimitRatio - entryBaseBytes
	return max(minRequestMemory, int64(free*requestMemoryRatio))
}

// readinessHandler returns the handler of the platform's readiness probe, which
// decides whether the entry gets new connections.
func (d *platformDaemon) readinessHandler(g *gateway.Gateway) http.Handler {
	wasReady := atomic.Bool{}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := g.Ready()
		if wasReady.Swap(ready) != ready {
			d.logger.Info("readiness changed", zap.Bool("ready", ready), zap.String("reason", reason))
		}
		if !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
}

// runControl runs a control member until ctx ends, and then leaves the control
// group.
func (d *platformDaemon) runControl(ctx context.Context, s *platform.Settings) error {
	peerListener, err := net.Listen("tcp", s.PeerListenAddress(s.PeerAddress()))
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	server := wire.NewServer(peerListener)
	server.SetLimits(newPeerLimits("calls", d.logger, d.metrics))
	control, err := fleet.NewControl(fleet.ControlOptions{
		Address: s.PeerAddress(), FailureDomain: s.FailureDomain, DataFolder: s.DataFolder, Seeds: d.seeds,
		Bootstrap: s.FirstStart, MinVoters: roster.MinVoters(s.ToleratedLosses, s.ToleratedDomains),
		RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow, ColdBound: s.ColdBound(),
		ServesEvacuations: s.EvacuationBound > 0, FailureDomains: d.failureDomains,
		AdmitsServiceWide: s.ServiceWideAdmission,
		Codec:             platform.Codec{}, Directory: listClient(s, leaderListShare, false, d.logger), Pool: d.pool, Dial: d.dial,
		Server: server, Logger: d.logger, Metrics: d.metrics,
	})
	if err != nil {
		return err
	}
	stopping := atomic.Bool{}
	var evacuator platform.Evacuator
	if s.EvacuationBound > 0 {
		evacuator = control
	}
	operators := newGracefulServer(platform.OperatorHandler(control, evacuator, d.logger), &stopping, d.logger)
	operators.protect("operators", operatorLimits(), d.logger, d.metrics)
	operatorListener, err := operators.listen(s.OperatorListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	go server.Serve()
	go d.serveOperators(operators, operatorListener)
	// The member keeps running after the signal until the group has decided whether
	// to remove it.
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	runErr := make(chan error, 1)
	go func() { runErr <- control.Run(runCtx) }()
	select {
	case err := <-runErr:
		return err
	case <-ctx.Done():
	}
	stopping.Store(true)
	drainCtx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout-shutdownReserve)
	defer cancel()
	leaveCtx, cancelLeave := context.WithTimeout(drainCtx, leaveTimeout)
	defer cancelLeave()
	control.Leave(leaveCtx)
	d.stopOperators(drainCtx, operators)
	stop()
	if err := <-runErr; !errors.Is(err, fleet.ErrRemoved) {
		return err
	}
	return nil
}

func (d *platformDaemon) serveOperators(operators *gracefulServer, listener net.Listener) {
	if err := operators.serve(listener); err != nil {
		d.logger.Warn("HTTP server failed", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// stopOperators waits until the operators' calls that have arrived are answered.
func (d *platformDaemon) stopOperators(ctx context.Context, operators *gracefulServer) {
	ctx, cancel := context.WithTimeout(ctx, operatorStopTimeout)
	defer cancel()
	if err := operators.shutdown(ctx); err != nil {
		d.logger.Warn("stopping with operators' calls in progress", zap.Error(err))
	}
}

// runAgent runs the agent beside a backend server until ctx ends.
func (d *platformDaemon) runAgent(ctx context.Context, s *platform.Settings) error {
	peerListener, err := net.Listen("tcp", s.PeerListenAddress(s.AgentAddress()))
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	server := wire.NewServer(peerListener)
	server.SetLimits(newPeerLimits("calls", d.logger, d.metrics))
	watcher := fleet.NewWatcher(fleet.WatcherOptions{
		Seeds: d.seeds, Codec: platform.Codec{}, Pool: d.pool, Logger: d.logger, FailureDomain: s.FailureDomain, Lazy: true,
	})
	agent, err := evacuate.New(evacuate.Options{
		Address: s.ServerAddress, Service: s.Service, FailureDomain: s.FailureDomain,
		Engine: platform.NewReplicaClient(s.ServerAddress), Fleet: watcher, Pool: d.pool,
		Logger: d.logger, Metrics: d.metrics, BoundsColdServers: s.ColdBound().Window > 0,
	}, server)
	if err != nil {
		return err
	}
	go server.Serve()
	go watcher.Run(ctx)
	agent.Run(ctx)
	return nil
}
