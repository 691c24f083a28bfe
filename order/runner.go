// Package order keeps the backend servers of a host loaded with what the
// configuration asks for. It runs in the agent role.
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

// Control grants leases and load slots.
type Control interface {
	AcquireLease(ctx context.Context, request message.LeaseRequest) (message.LeaseReply, error)
	RenewLease(ctx context.Context, request message.LeaseRequest) (message.LeaseReply, error)
	LoadSlot(ctx context.Context, request message.LoadSlotRequest) (message.LoadSlotReply, error)
}

// Sender sends one order if the guard agrees directly before.
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
	// Connect opens a backend server; nil means the HTTP client.
	Connect func(contract.BackendServer) Sender
	// Tick is the interval between decisions.
	Tick time.Duration
}

const (
	defaultTick  = 200 * time.Millisecond
	callTimeout  = 3 * time.Second
	orderTimeout = 10 * time.Second
)

// Runner drives one issuer for each backend server of its host.
type Runner struct {
	options Options

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	declared contract.BackendServer
	sender   Sender
	mu       sync.Mutex
	issuer   *order.Issuer
}

// NewRunner returns a runner.
func NewRunner(options Options) *Runner {
	if options.Tick <= 0 {
		options.Tick = defaultTick
	}
	if options.Connect == nil {
		options.Connect = func(s contract.BackendServer) Sender { return engine.NewClient(s.Address) }
	}
	return &Runner{options: options, servers: map[string]*server{}}
}

// Run sends orders until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(ctx)
		}
	}
}

// Loaded tells whether a backend server has all that the configuration asks.
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

// Restarted tells that a backend server lost its memory.
func (r *Runner) Restarted(name string) {
	r.mu.Lock()
	s, ok := r.servers[name]
	r.mu.Unlock()
	if ok {
		s.mu.Lock()
		s.issuer.ResetLoaded()
		s.mu.Unlock()
	}
}

func (r *Runner) step(ctx context.Context) {
	config := r.options.Config()
	if config == nil {
		return
	}
	for name, declared := range config.BackendServers {
		service := config.Services[declared.Service]
		if declared.Host != r.options.Host || service.Kind != contract.KindGeneration || declared.State == contract.BackendLeaving {
			continue
		}
		targets := Targets(config, declared.Service)
		s := r.server(name, declared, targets)
		s.mu.Lock()
		s.issuer.SetTargets(targets)
		action, ok := s.issuer.Next(time.Now())
		s.mu.Unlock()
		if ok {
			go r.perform(ctx, name, s, action)
		}
	}
}

// server returns the state of a backend server. A new one knows its targets
// before others see it, so that Loaded is not true for want of targets.
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

// Targets lists what the routes of a service need: models, versions, adapters.
func Targets(config *contract.Config, service string) []order.Target {
	seen := map[order.Target]bool{}
	var list []order.Target
	add := func(kind engine.OrderKind, name string) {
		t := order.Target{Kind: string(kind), Name: name}
		if !seen[t] {
			seen[t] = true
			list = append(list, t)
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
	return list
}

// perform carries out one action and reports its end to the issuer.
func (r *Runner) perform(ctx context.Context, name string, s *server, action order.Action) {
	switch action.Kind {
	case order.ActionAcquireLease, order.ActionRenewLease:
		r.lease(ctx, name, s, action)
	case order.ActionAcquireSlot, order.ActionReleaseSlot:
		r.slot(ctx, name, s, action)
	case order.ActionSendOrder:
		r.send(ctx, name, s, action)
	}
}

func (r *Runner) lease(ctx context.Context, name string, s *server, action order.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := r.options.Control.AcquireLease
	if action.Kind == order.ActionRenewLease {
		call = r.options.Control.RenewLease
	}
	sentAt := time.Now()
	reply, err := call(ctx, message.LeaseRequest{Header: r.options.Header(), BackendServer: name, Duration: order.LeaseDuration})
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

func (r *Runner) slot(ctx context.Context, name string, s *server, action order.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.options.Control.LoadSlot(ctx, message.LoadSlotRequest{
		Header: r.options.Header(), BackendServer: name, Duration: order.SlotDuration, Release: action.Kind == order.ActionReleaseSlot,
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

func (r *Runner) send(ctx context.Context, name string, s *server, action order.Action) {
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
		r.options.Logger.Warn("order failed", zap.String("backend_server", name), zap.String("target", action.Target.Name), zap.Error(err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.issuer.OrderFinished(time.Now(), action.Target, outcomeOf(err))
}

// outcomeOf maps an error of the backend server to the issuer's outcome.
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

// maySend asks the issuer by both clocks of the host: the monotonic one stands
// still while the host is suspended, the wall clock may be set back.
func maySend(issuer *order.Issuer, now time.Time, fencing uint64) bool {
	return issuer.MaySend(now, fencing) && issuer.MaySend(now.Round(0), fencing)
}
