package fleet

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/quarantine"
	"go.uber.org/zap"
)

const (
	// crashReportTimeout limits one delivery attempt, and crashRetryInterval is the
	// delay before the next one. All attempts together take longer than the two
	// seconds or so in which the group elects a new leader.
	crashReportTimeout = quarantine.MaxAgeError
	crashRetryInterval = 700 * time.Millisecond
	maxCrashAttempts   = 5
)

// Crashed reports crashes to the leader in the background. It retries failed
// deliveries and adds the delay of a retry to the ages in the report.
func (w *Watcher) Crashed(r *CrashRequest) {
	start := SinceBoot()
	go func() {
		for attempt := 0; attempt < maxCrashAttempts; attempt++ {
			if attempt > 0 {
				time.Sleep(crashRetryInterval)
			}
			leader := w.View().Leader
			if leader == "" {
				continue
			}
			adjusted := r.aged(SinceBoot() - start)
			ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
			var reply ReportReply
			err := w.options.Pool.Call(ctx, leader, ServiceName+".Crashed", adjusted, &reply)
			cancel()
			if err == nil && (reply.Leader == "" || reply.Leader == leader) {
				return
			}
			w.options.Logger.Info("crash report not delivered", zap.String("leader", leader),
				zap.Int("try", attempt+1), zap.Error(err))
		}
	}()
}

// aged returns a copy of the request whose ages have grown by delay.
func (r *CrashRequest) aged(delay time.Duration) *CrashRequest {
	aged := &CrashRequest{Cleared: r.Cleared}
	for _, c := range r.Crashes {
		c.SentAgo, c.CrashedAgo = c.SentAgo+delay, c.CrashedAgo+delay
		aged.Crashes = append(aged.Crashes, c)
	}
	for _, c := range r.PartCrashes {
		c.Sent, c.Crashed = c.Sent+delay, c.Crashed+delay
		aged.PartCrashes = append(aged.PartCrashes, c)
	}
	for _, b := range r.PartsBegun {
		b.SentAgo, b.BegunAgo = b.SentAgo+delay, b.BegunAgo+delay
		aged.PartsBegun = append(aged.PartsBegun, b)
	}
	for _, s := range r.HeldParts {
		aged.HeldParts = append(aged.HeldParts, s.Relative(delay))
	}
	return aged
}
