package entry

import (
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/limit"
	"arbutusmast.example/arbutusmast/core/message"
)

// callerLimits enforces the declared limits of each caller at this entry. It is safe
// for concurrent use.
type callerLimits struct {
	mu      sync.Mutex
	limiter *limit.Limiter
}

func newCallerLimits() *callerLimits { return &callerLimits{limiter: limit.New()} }

func (l *callerLimits) admit(now time.Time, caller string, declared limit.Limits) *message.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Admit(now, caller, declared)
}

func (l *callerLimits) release(caller string) {
	l.mu.Lock()
	l.limiter.Done(caller)
	l.mu.Unlock()
}

// limitCaller rejects requests of a caller that exceeds its declared limits before
// their body is read. Requests that fail authentication are left to the handler.
func (e *Entry) limitCaller(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, failure := e.authenticate(r)
		if failure != nil {
			next(w, r)
			return
		}
		refusal := e.callerLimits.admit(time.Now(), caller.Name, limit.Limits{
			RatePerSecond: caller.RatePerSecond, Burst: caller.Burst, MaxConcurrent: caller.MaxConcurrent,
		})
		if refusal != nil {
			writeError(w, "", refusal.Err())
			return
		}
		defer e.callerLimits.release(caller.Name)
		next(w, r)
	}
}
