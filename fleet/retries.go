package fleet

import (
	"context"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/retry"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// maxRetryServices bounds the services whose grants are kept. Further services get none.
const maxRetryServices = 256

// retryGrants grants retries to entries while this member leads.
type retryGrants struct {
	slack  float64
	window time.Duration

	mu sync.Mutex
	// services is empty unless this member leads. It belongs to one term, because another
	// leader may have granted retries between two terms.
	services map[string]*retry.Grants
	term     uint64
	// termSeen is when this member first saw that it leads in the term.
	termSeen time.Duration
}

// lead records that this member leads in a term.
func (r *retryGrants) lead(now time.Duration, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadLocked(now, term)
}

func (r *retryGrants) leadLocked(now time.Duration, term uint64) {
	if r.services == nil || r.term != term {
		r.services, r.term, r.termSeen = map[string]*retry.Grants{}, term, now
	}
}

// acquire grants retries of requests to a service, in a term of this member's leadership. The
// grants of a service add up from the beginning of the term, not from its first request.
func (r *retryGrants) acquire(now time.Duration, term uint64, service string, n int) (granted int, again time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadLocked(now, term)
	grants := r.services[service]
	if grants == nil {
		if len(r.services) >= maxRetryServices {
			return 0, time.Minute
		}
		grants = retry.NewGrants(r.termSeen, r.slack, r.window)
		r.services[service] = grants
	}
	return grants.Acquire(now, n)
}

// RetryRequest asks the leader for retries of requests to a service.
type RetryRequest struct {
	Service string
	Retries int
}

// RetryReply holds the granted retries, and if there are none, when to ask again.
type RetryReply struct {
	Granted int
	Again   time.Duration
}

// AcquireRetries grants retries.
func (s *service) AcquireRetries(request *RetryRequest, reply *RetryReply) error {
	c := s.control
	term, ok := c.confirmedTerm()
	if !ok {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead, or no quorum confirmed it lately"))
	}
	reply.Granted, reply.Again = c.retries.acquire(SinceBoot(), term, request.Service, request.Retries)
	return nil
}

// AcquireRetries asks the leader for retries of requests to a service.
func (w *Watcher) AcquireRetries(ctx context.Context, service string, n int) (granted int, again time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply RetryReply
	err = w.options.Pool.Call(ctx, w.View().Leader, ServiceName+".AcquireRetries", &RetryRequest{service, n}, &reply)
	return reply.Granted, reply.Again, err
}
