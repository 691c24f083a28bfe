package netlimit

import (
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Counter counts by label, such as observe.Counters.
type Counter interface {
	Add(label string, delta int64)
}

// Reasons for which clients are refused or their connections closed.
const (
	ReasonNoMemory     = "no_memory"
	ReasonTooLarge     = "too_large"
	ReasonHeadLines    = "head_lines"
	ReasonBodyTimeout  = "body_timeout"
	ReasonBroken       = "broken_body"
	ReasonFrameTimeout = "frame_timeout"
	ReasonIdle         = "idle"
	ReasonTooManyConns = "too_many_connections"
	ReasonDisplaced    = "displaced"
	ReasonDescriptors  = "accept_failed"
	ReasonSlowReader   = "slow_reader"
)

// reportInterval is the interval of log lines for one reason.
const reportInterval = time.Second

// Reporter counts and logs refused clients of one listener.
type Reporter struct {
	listener string
	logger   *zap.Logger
	counter  Counter

	mu      sync.Mutex
	reasons map[string]*unreported
}

type unreported struct {
	lastLine time.Time
	count    int64
}

// NewReporter returns a reporter. logger and counter may be nil.
func NewReporter(listener string, logger *zap.Logger, counter Counter) *Reporter {
	if logger == nil {
		logger = zap.NewNop()
	}
	if counter == nil {
		counter = new(expvar.Map).Init()
	}
	return &Reporter{listener: listener, logger: logger, counter: counter, reasons: map[string]*unreported{}}
}

// Refused records that a client was refused. For each reason, one line a second is logged at most.
func (r *Reporter) Refused(reason, client string) {
	r.counter.Add(r.listener+" "+reason, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.reasons[reason]
	if u == nil {
		u = &unreported{}
		r.reasons[reason] = u
	}
	u.count++
	now := time.Now()
	if now.Sub(u.lastLine) < reportInterval {
		return
	}
	r.logger.Warn("client refused", zap.String("listener", r.listener), zap.String("reason", reason),
		zap.String("client", client), zap.Int64("since_last_line", u.count))
	u.lastLine, u.count = now, 0
}
