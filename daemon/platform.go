package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/roster"
	"arbutusmast.example/arbutusmast/evacuate"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/gateway"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/platform"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// peerDialTimeout and peerUnacknowledged are many round trips between hosts
	// and below the time in which a lost member is noticed.
	peerDialTimeout    = 600 * time.Millisecond
	peerUnacknowledged = 1200 * time.Millisecond
	// leaseShare is the part of the bound on revoked keys for which a copy of the
	// desired state counts as confirmed; the rest covers a request under way.
	leaseShare = 0.85
	// drainNotice is how long a stopping entry still takes new requests. The
	// balancer looks once a second and acts on the second miss.
	drainNotice = 3 * time.Second
	// drainReserve is kept between the end of the drain and the forced end.
	drainReserve = 400 * time.Millisecond
	// leaveLimit is how long a stopping control member waits for an answer: longer
	// than an election, during which nobody answers.
	leaveLimit = 3 * time.Second
	// memoryShare is the part of the host's memory at which the collector works
	// harder.
	memoryShare = 0.7
	// retryShareEntries is the number of entries that the slack of the retry
	// budget is divided by; the largest deployment so far has 33.
	retryShareEntries = 40
	// retryRatioShare keeps the sum over entries below the bound when callers
	// move between entries.
	retryRatioShare = 0.6
)

// hosted is a daemon on the users' platform.
type hosted struct {
	settings atomic.Pointer[platform.Settings]
	path     string
	logger   *zap.Logger
	metrics  *observe.Metrics
	pool     *wire.Pool
	dial     wire.Dialer
}

// RunOnPlatform runs the role of a settings file of the platform until a signal
// ends it.
func RunOnPlatform(path string, logger *zap.Logger) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	}
	h := &hosted{path: path, logger: logger.With(zap.String("host", s.Host), zap.String("role", s.Role)), metrics: observe.NewMetrics(),
		dial: wire.NewTCPDialer(peerDialTimeout, peerUnacknowledged)}
	h.pool = wire.NewPool(h.dial)
	h.settings.Store(s)
	h.logger.Info("daemon started", zap.Bool("first_start", s.FirstStart), zap.Strings("seeds", s.Seeds), zap.String("failure_domain", s.FailureDomain))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go h.reload(ctx)
	h.serveMetrics(s.MetricsAddress())
	switch s.Role {
	case platform.RoleEntry:
		err = h.runEntry(ctx, s)
	case platform.RoleControl:
		err = h.runControl(ctx, s)
	case platform.RoleAgent:
		err = h.runAgent(ctx, s)
	}
	h.logger.Info("daemon stopped", zap.Error(err))
	return err
}

// reloadInterval is the pause between looks at a settings file that may change
// without a signal.
const reloadInterval = time.Second

// reload follows changes of the settings file. Only the seeds matter to a
// running process.
func (h *hosted) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	modified := time.Time{}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signaled = true
		case <-ticker.C:
		}
		info, err := os.Stat(h.path)
		if err != nil || !signaled && info.ModTime().Equal(modified) {
			continue
		}
		first := modified.IsZero()
		modified = info.ModTime()
		s, err := platform.LoadSettings(h.path)
		if err != nil {
			h.logger.Warn("settings not reloaded", zap.Error(err))
			continue
		}
		h.settings.Store(s)
		if signaled || !first {
			h.logger.Info("settings reloaded", zap.Bool("signaled", signaled), zap.Strings("seeds", s.Seeds))
		}
	}
}

func (h *hosted) seeds() []string { return h.settings.Load().Seeds }

// serveMetrics serves metrics. A port that is taken must not stop the daemon.
func (h *hosted) serveMetrics(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		h.logger.Warn("metrics are not served", zap.String("address", address), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.metrics)
	go h.serve(&http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, listener)
}

func (h *hosted) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		h.logger.Warn("listener ended", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

func (h *hosted) runEntry(ctx context.Context, s *platform.Settings) error {
	follower := fleet.NewWatcher(fleet.WatcherOptions{Seeds: h.seeds, Codec: platform.Codec{},
		Directory: platform.NewListClient(s.ListAddress, h.logger), Pool: h.pool, Logger: h.logger, FailureDomain: s.FailureDomain})
	g := gateway.New(gateway.Options{
		Fleet: follower, Dialect: platform.Dialect{}, Name: s.Host, FailureDomain: s.FailureDomain,
		Locator:  &evacuate.Locator{Pool: h.pool, AgentAddress: s.AgentAddressFor},
		Reserver: platform.NewReserver(), CrashReporter: follower,
		Regions: failuredomain.NewMap(s.Regions), MaxConfirmedAge: time.Duration(float64(s.MaxRevocationDelay) * leaseShare),
		RetryRatio: s.RetryRatio * retryRatioShare, RetrySlack: s.RetrySlack / retryShareEntries, RetryWindow: s.RetryWindow,
		Logger: h.logger, Metrics: h.metrics,
	})
	listener, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", s.ReadyListen)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	go h.serve(&http.Server{Handler: h.readiness(g), ReadHeaderTimeout: readHeaderTimeout}, ready)
	// The follower outlives the signal, because draining requests need its copy.
	followCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(followCtx)
	failed := make(chan error, 1)
	go func() { failed <- g.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	h.logger.Info("draining", zap.Duration("limit_seconds", s.DrainTimeout))
	drainCtx, stop := context.WithTimeout(context.Background(), s.DrainTimeout-drainReserve)
	defer stop()
	g.Drain(drainCtx, drainNotice, listener)
	return nil
}

// readiness answers the platform's question whether new callers may come.
func (h *hosted) readiness(g *gateway.Gateway) http.Handler {
	was := atomic.Bool{}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := g.Ready()
		if was.Swap(ready) != ready {
			h.logger.Info("readiness changed", zap.Bool("ready", ready), zap.String("reason", reason))
		}
		if !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
}

func (h *hosted) runControl(ctx context.Context, s *platform.Settings) error {
	peers, err := net.Listen("tcp", s.PeerListenAddress(s.PeerAddress()))
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	server := wire.NewServer(peers)
	control, err := fleet.NewControl(fleet.ControlOptions{
		Address: s.PeerAddress(), FailureDomain: s.FailureDomain, DataFolder: s.DataFolder, Seeds: h.seeds, Bootstrap: s.FirstStart, MinVoters: roster.MinVoters(s.ToleratedLosses, s.ToleratedDomains),
		Codec: platform.Codec{}, Directory: platform.NewListClient(s.ListAddress, h.logger), Pool: h.pool, Dial: h.dial, Server: server, Logger: h.logger, Metrics: h.metrics,
	})
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", s.OperatorListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	go server.Serve()
	go h.serve(&http.Server{Handler: platform.OperatorHandler(control, h.logger), ReadHeaderTimeout: readHeaderTimeout}, operators)
	// The member outlives the signal until the group has decided whether it is
	// removed.
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- control.Run(runCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	leaveCtx, cancel := context.WithTimeout(context.Background(), min(leaveLimit, s.DrainTimeout-drainReserve))
	defer cancel()
	control.Leave(leaveCtx)
	stop()
	if err := <-ended; !errors.Is(err, fleet.ErrRemoved) {
		return err
	}
	return nil
}

func (h *hosted) runAgent(ctx context.Context, s *platform.Settings) error {
	peers, err := net.Listen("tcp", s.PeerListenAddress(s.AgentAddress()))
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	server := wire.NewServer(peers)
	follower := fleet.NewWatcher(fleet.WatcherOptions{Seeds: h.seeds, Codec: platform.Codec{}, Pool: h.pool, Logger: h.logger,
		FailureDomain: s.FailureDomain, Lazy: true})
	agent, err := evacuate.New(evacuate.Options{
		Address: s.ServerAddress, Service: s.Service, FailureDomain: s.FailureDomain,
		Engine: platform.NewReplicaClient(s.ServerAddress), Fleet: follower, Pool: h.pool, Logger: h.logger, Metrics: h.metrics,
	}, server)
	if err != nil {
		return err
	}
	go server.Serve()
	go follower.Run(ctx)
	agent.Run(ctx)
	return nil
}
