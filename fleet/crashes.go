package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// crashTimeout bounds one delivery, and crashRetry is the pause before the
	// next. A group without a leader has one again within about two seconds.
	crashTimeout = 500 * time.Millisecond
	crashRetry   = 700 * time.Millisecond
	crashTries   = 5
)

// Crashed tells the leader of crashes. It does not wait for the delivery.
func (f *Watcher) Crashed(r *CrashRequest) {
	began := SinceBoot()
	go func() {
		for try := 0; try < crashTries; try++ {
			if try > 0 {
				time.Sleep(crashRetry)
			}
			leader := f.View().Leader
			if leader == "" {
				continue
			}
			aged := &CrashRequest{Cleared: r.Cleared}
			for _, c := range r.Crashes {
				c.SentAgo += SinceBoot() - began
				c.CrashedAgo += SinceBoot() - began
				aged.Crashes = append(aged.Crashes, c)
			}
			ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
			var reply ReportReply
			err := f.options.Pool.Call(ctx, leader, ServiceName+".Crashed", aged, &reply)
			cancel()
			if err == nil && (reply.Leader == "" || reply.Leader == leader) {
				return
			}
			f.options.Logger.Info("crashes not delivered", zap.String("leader", leader), zap.Int("try", try+1), zap.Error(err))
		}
	}()
}
