// Package order sends orders to the backend servers of a host, so that they load
// the models, versions and adapters that the configuration requires. It runs in
// the agent role.
package order

import (
	"context"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/order"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Control requests leases and load slots from the control group.
type Control interface {
	AcquireLease(ctx context.Context, request message.LeaseRequest) (message.LeaseReply, error)
	RenewLease(ctx context.Context, request message.LeaseRequest) (message.LeaseReply, error)
	LoadSlot(ctx context.Context, request message.LoadSlotRequest) (message.LoadSlotReply, error)
}

// Sender sends orders to one backend server. OrderGuarded calls guard directly
// before it sends the order, and sends it only if guard returns true.
type Sender interface {
	OrderGuarded(ctx context.Context, o engine.Order, guard func() bool) error
}

// Options configures a runner.
type Options struct {
	Host    string
	Config  func() *contract.Config
	Header  func() message.Header
	Control Control
	Logger  *zap.Logger
	// Connect returns the sender for a backend server. The default is an HTTP
	// client.
	Connect func(contract.BackendServer) Sender
	// TickInterval is the interval between decisions. The default is
	// defaultTickInterval.
	TickInterval time.Duration
}

const (
	defaultTickInterval = 200 * time.Millisecond
	callTimeout         = 3 * time.Second
	orderTimeout        = 10 * time.Second
)

// Runner executes the actions of one issuer for each backend server of its host.
type Runner struct {
	options Options

	mu      sync.Mutex
	servers map[string]*server
}

// server is the state of one backend server.
type server struct {
	declared contract.BackendServer
	sender   Sender
	mu       sync.Mutex
	issuer   *order.Issuer
}

// NewRunner returns a runner.
func NewRunner(options Options) *Runner {
	if options.TickInterval <= 0 {
		options.TickInterval = defaultTickInterval
	}
	if options.Connect == nil {
		options.Connect = func(s contract.BackendServer) Sender { return engine.NewClient(s.Address) }
	}
	return &Runner{options: options, servers: map[string]*server{}}
}

// Run executes the actions that are due, every TickInterval, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// Loaded reports whether a backend server has loaded all targets that the
// configuration requires.
func (r *Runner) Loaded(name string) bool {
	r.mu.Lock()
	s, ok := r.servers[name]
	r.mu.Unlock()
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issuer.Loaded()
}

// ResetLoaded marks all targets of a backend server as not loaded, after it has
// restarted.
func (r *Runner) ResetLoaded(name string) {
	r.mu.Lock()
	s, ok := r.servers[name]
	r.mu.Unlock()
	if ok {
		s.mu.Lock()
		s.issuer.ResetLoaded()
		s.mu.Unlock()
	}
}

// tick updates the targets of the host's backend servers and starts the actions that
// are due. It skips servers that are leaving and services of other kinds than generation.
func (r *Runner) tick(ctx context.Context) {
	config := r.options.Config()
	if config == nil {
		return
	}
	for name, declared := range config.BackendServers {
		service := config.Services[declared.Service]
		if declared.Host != r.options.Host || service.Kind != contract.KindGeneration ||
			declared.State == contract.BackendLeaving {
			continue
		}
		targets := Targets(config, declared.Service)
		s := r.server(name, declared, targets)
		s.mu.Lock()
		s.issuer.SetTargets(targets)
		action, ok := s.issuer.Next(time.Now())
		s.mu.Unlock()
		if ok {
			go r.execute(ctx, name, s, action)
		}
	}
}

// server returns the state of a backend server. The targets of a new one are set
// before it becomes visible, because Loaded would report true without targets.
func (r *Runner) server(name string, declared contract.BackendServer, targets []order.Target) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[name]
	if !ok || s.declared.Address != declared.Address {
		s = &server{declared: declared, sender: r.options.Connect(declared), issuer: order.New()}
		s.issuer.SetTargets(targets)
		r.servers[name] = s
	}
	return s
}

// Targets returns the models, versions and adapters that the routes of a service
// require.
func Targets(config *contract.Config, service string) []order.Target {
	seen := map[order.Target]bool{}
	var targets []order.Target
	add := func(kind engine.OrderKind, name string) {
		t := order.Target{Kind: string(kind), Name: name}
		if !seen[t] {
			seen[t] = true
			targets = append(targets, t)
		}
	}
	for _, route := range config.Routes {
		if route.Service != service || route.Weight == 0 {
			continue
		}
		add(engine.OrderLoadModel, route.Model)
		if route.Version != "" {
			add(engine.OrderLoadVersion, route.Model+"/"+route.Version)
		}
		if route.Adapter != "" {
			add(engine.OrderLoadAdapter, route.Model+"/"+route.Adapter)
		}
	}
	return targets
}

// execute executes one action and reports its outcome to the issuer.
func (r *Runner) execute(ctx context.Context, name string, s *server, action order.Action) {
	switch action.Kind {
	case order.ActionAcquireLease, order.ActionRenewLease:
		r.requestLease(ctx, name, s, action)
	case order.ActionAcquireSlot, order.ActionReleaseSlot:
		r.requestSlot(ctx, name, s, action)
	case order.ActionSendOrder:
		r.sendOrder(ctx, name, s, action)
	}
}

// requestLease acquires or renews the lease of a backend server.
func (r *Runner) requestLease(ctx context.Context, name string, s *server, action order.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := r.options.Control.AcquireLease
	if action.Kind == order.ActionRenewLease {
		call = r.options.Control.RenewLease
	}
	sentAt := time.Now()
	reply, err := call(ctx, message.LeaseRequest{
		Header: r.options.Header(), BackendServer: name, Duration: order.LeaseDuration})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.issuer.Failed(time.Now())
	case reply.Granted:
		s.issuer.LeaseGranted(sentAt, reply.Fencing, reply.Duration)
	default:
		s.issuer.Denied(time.Now(), action.Kind, reply.RetryAfter)
	}
}

// requestSlot acquires or releases the load slot of a backend server.
func (r *Runner) requestSlot(ctx context.Context, name string, s *server, action order.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.options.Control.LoadSlot(ctx, message.LoadSlotRequest{
		Header: r.options.Header(), BackendServer: name, Duration: order.SlotDuration,
		Release: action.Kind == order.ActionReleaseSlot,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case action.Kind == order.ActionReleaseSlot:
		s.issuer.SlotReleased()
	case err != nil:
		s.issuer.Failed(time.Now())
	case reply.Granted:
		s.issuer.SlotGranted()
	default:
		s.issuer.Denied(time.Now(), action.Kind, reply.RetryAfter)
	}
}

// sendOrder sends the order of an action, unless the lease expires before that.
func (r *Runner) sendOrder(ctx context.Context, name string, s *server, action order.Action) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	guard := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return maySend(s.issuer, time.Now(), action.Fencing)
	}
	err := s.sender.OrderGuarded(ctx, engine.Order{
		Kind: engine.OrderKind(action.Target.Kind), Target: action.Target.Name, Fencing: action.Fencing,
	}, guard)
	if err != nil {
		r.options.Logger.Warn("order to a backend server failed", zap.String("backend_server", name),
			zap.String("target", action.Target.Name), zap.Error(err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.issuer.OrderFinished(time.Now(), action.Target, outcomeOf(err))
}

// outcomeOf converts the error of an order to an outcome for the issuer.
func outcomeOf(err error) order.Outcome {
	switch {
	case err == nil:
		return order.OutcomeDone
	case errors.Is(err, engine.ErrFenced):
		return order.OutcomeFenced
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrUnreachable), errors.Is(err, engine.ErrLeaseExpired):
		return order.OutcomeRefused
	}
	return order.OutcomeUnknown
}

// maySend checks the lease by the monotonic clock and by the wall clock, because
// the monotonic clock stops while the host is suspended and the wall clock may be
// set back.
func maySend(issuer *order.Issuer, now time.Time, fencing uint64) bool {
	return issuer.MaySend(now, fencing) && issuer.MaySend(now.Round(0), fencing)
}
