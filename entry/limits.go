package entry

import (
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/limit"
	"arbutusmast.example/arbutusmast/core/message"
)

// limits bounds the requests of each caller at this entry.
type limits struct {
	mu      sync.Mutex
	limiter *limit.Limiter
}

func newLimits() *limits { return &limits{limiter: limit.New()} }

func (l *limits) admit(now time.Time, caller string, declared limit.Limits) *message.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Admit(now, caller, declared)
}

func (l *limits) done(caller string) {
	l.mu.Lock()
	l.limiter.Done(caller)
	l.mu.Unlock()
}

// limited refuses requests of a caller above its declared limits before their
// body is read. Requests without a known caller are left to the handler.
func (e *Entry) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, failure := e.authenticate(r)
		if failure != nil {
			next(w, r)
			return
		}
		refusal := e.limits.admit(time.Now(), caller.Name, limit.Limits{
			RatePerSecond: caller.RatePerSecond, Burst: caller.Burst, MaxConcurrent: caller.MaxConcurrent,
		})
		if refusal != nil {
			writeError(w, "", refusal.Err())
			return
		}
		defer e.limits.done(caller.Name)
		next(w, r)
	}
}
