package fleet

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/quarantine"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// crashReportTimeout limits one delivery attempt, and crashRetryInterval is the
	// delay before the next one. All attempts together take longer than the two
	// seconds or so in which the group elects a new leader.
	crashReportTimeout = 500 * time.Millisecond
	crashRetryInterval = 700 * time.Millisecond
	maxCrashAttempts   = 5
	// maxCrashReportAge is the time after the reading of its clock after which the leader
	// ignores a report, because its sender has given it up and sends another one.
	maxCrashReportAge = quarantine.MaxAgeError + crashReportTimeout
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
			err := w.reportCrashes(leader, r, start)
			if err == nil {
				return
			}
			w.options.Logger.Info("crash report not delivered", zap.String("leader", leader),
				zap.Int("try", attempt+1), zap.Error(err))
		}
	}()
}

// reportCrashes sends a report whose ages were true at a time to the leader.
func (w *Watcher) reportCrashes(leader string, r *CrashRequest, trueAt time.Duration) error {
	reading, readAt, err := w.readClock(leader)
	if err != nil {
		return err
	}
	aged := r.aged(readAt - trueAt)
	aged.Reading = reading
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	var reply ReportReply
	if err := w.options.Pool.Call(ctx, leader, ServiceName+".Crashed", aged, &reply); err != nil {
		return err
	}
	if reply.Leader != "" && reply.Leader != leader {
		return errors.Errorf("%s leads now", reply.Leader)
	}
	return nil
}

// readClock returns a reading of the leader's clock and the time at which it was true here,
// with an error of at most quarantine.MaxAgeError.
func (w *Watcher) readClock(leader string) (ClockReading, time.Duration, error) {
	asked := SinceBoot()
	ctx, cancel := context.WithTimeout(context.Background(), quarantine.MaxAgeError)
	defer cancel()
	var reply ClockReply
	if err := w.options.Pool.Call(ctx, leader, ServiceName+".Clock", &ClockRequest{}, &reply); err != nil {
		return ClockReading{}, 0, err
	}
	if reply.Reading.Process == "" {
		return ClockReading{}, 0, errors.Errorf("%s does not lead, the leader is %q", leader, reply.Leader)
	}
	// The process may have been suspended since the reply arrived.
	answered := SinceBoot()
	if answered-asked > quarantine.MaxAgeError {
		return ClockReading{}, 0, errors.Errorf("the clock of %s was read within %v, which is too inexact", leader, answered-asked)
	}
	return reply.Reading, answered, nil
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
