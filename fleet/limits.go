package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

const (
	// permitTimeout limits one request for permits. A caller's request waits for it.
	permitTimeout = 100 * time.Millisecond
	// maxLeaderHops bounds the members that are asked for one permit, when the known leader
	// has been replaced.
	maxLeaderHops = 2
	// limitReportInterval is the delay before a report that was not delivered is
	// repeated, maxLimitReports the number of tries.
	limitReportInterval = 500 * time.Millisecond
	maxLimitReports     = 6
)

// limitTable is a control member's copy of the limits that backend servers name. The
// leader's allocates permits; the other members copy what the leader knows.
type limitTable struct {
	// source identifies this member's process in stamps, together with the term.
	source string
	// notify wakes the watches that wait for a change.
	notify func()

	mu    sync.Mutex
	stamp Stamp
	known map[string]serverlimit.Observation
	// allocator is nil unless this member leads. It belongs to one term, because
	// another leader may have granted permits between two terms.
	allocator *serverlimit.Allocator
	term      uint64
	// cold allocates permits for servers that are cold, like allocator, within coldBound.
	cold      *serverlimit.Allocator
	coldBound serverlimit.Bound
}

// lead makes this member the allocator of a term. Before its first grant, the
// permission of the previous leader to grant has ended.
func (l *limitTable) lead(now time.Duration, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator != nil && l.term == term {
		return
	}
	l.allocator, l.term = serverlimit.NewAllocator(now+maxConfirmationAge), term
	l.cold = serverlimit.NewBoundedAllocator(l.coldBound, now+maxConfirmationAge)
	for server, o := range l.known {
		l.allocator.Observe(now, server, o)
	}
}

// acquire grants permits. It returns false on a member that does not lead.
func (l *limitTable) acquire(now time.Duration, r serverlimit.Request) (serverlimit.Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return serverlimit.Reply{}, false
	}
	reply, changed := l.allocator.Acquire(now, r)
	if changed {
		l.publishLocked()
	}
	return reply, true
}

// retain forgets the limits of servers that are not listed. It has no effect on a
// member that does not lead.
func (l *limitTable) retain(now time.Duration, listed func(server string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return
	}
	l.allocator.Retain(now, listed)
	l.cold.Retain(now, listed)
	if len(l.allocator.Known()) != len(l.known) {
		l.publishLocked()
	}
}

// publishLocked publishes what the allocator knows. The caller holds l.mu.
func (l *limitTable) publishLocked() {
	l.known = l.allocator.Known()
	l.stamp = Stamp{Source: fmt.Sprint(l.source, "/", l.term), Number: l.stamp.Number + 1}
	l.notify()
}

// copyFrom replaces the limits by the leader's, which this member's watcher received.
func (l *limitTable) copyFrom(v *View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator, l.cold = nil, nil
	if v.limitsStamp == l.stamp || v.limitsStamp == (Stamp{}) {
		return
	}
	l.stamp, l.known = v.limitsStamp, v.Limits
	l.notify()
}

// hasNewer reports whether the limits differ from those with the known stamp.
func (l *limitTable) hasNewer(known Stamp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stamp != known && l.stamp != (Stamp{})
}

// fillReply sets the limits in a reply if their stamp differs from the known one.
func (l *limitTable) fillReply(known Stamp, now time.Duration, reply *WatchReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stamp == known || l.stamp == (Stamp{}) {
		return
	}
	reply.HasLimits, reply.LimitsStamp = true, l.stamp
	reply.Limits = make(map[string]serverlimit.Age, len(l.known))
	for server, o := range l.known {
		reply.Limits[server] = o.Age(now)
	}
}

// AcquirePermits grants permits for requests to a backend server that names a limit.
// Other members than the leader return its address instead.
func (s *service) AcquirePermits(request *PermitRequest, reply *PermitReply) error {
	c := s.control
	node := c.node.Load()
	if node == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	if node.Status().Role != consensus.Leader {
		reply.Leader, _ = node.Leader()
		return nil
	}
	term, ok := c.confirmedTerm()
	if !ok {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no quorum confirmed this leader lately"))
	}
	now := SinceBoot()
	c.limits.lead(now, term)
	c.metrics.permitRequests.Add(1)
	granted, err := c.acquire(now, request.Request)
	if err != nil {
		return err
	}
	reply.Reply, reply.Decided = granted, true
	c.metrics.permits.Add(int64(reply.Reply.Permits))
	return nil
}

// confirmedTerm returns the term in which this member leads and was confirmed by a quorum
// lately. A leader that was replaced without knowing it must not grant at the same time as its successor.
func (c *Control) confirmedTerm() (uint64, bool) {
	node := c.node.Load()
	if node == nil {
		return 0, false
	}
	status := node.Status()
	age, ok := readingAge(&c.confirmed)
	return status.Term, ok && age <= maxConfirmationAge && status.Role == consensus.Leader
}

// AcquirePermits asks the leader for permits.
func (w *Watcher) AcquirePermits(ctx context.Context, r serverlimit.Request) (serverlimit.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	leader := w.View().Leader
	for hop := 0; hop < maxLeaderHops && leader != ""; hop++ {
		var reply PermitReply
		err := w.options.Pool.Call(ctx, leader, ServiceName+".AcquirePermits", &PermitRequest{Request: r}, &reply)
		if err != nil || reply.Decided {
			return reply.Reply, err
		}
		leader = reply.Leader
	}
	return serverlimit.Reply{}, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known")
}

// ReportLimit tells the leader in the background what an entry learned about the limit
// of a server.
func (w *Watcher) ReportLimit(entry, server string, o serverlimit.Observation) {
	go func() {
		for try := 1; ; try++ {
			known := o.Age(SinceBoot())
			_, err := w.AcquirePermits(context.Background(),
				serverlimit.Request{Entry: entry, Server: server, Known: &known})
			if err == nil {
				return
			}
			w.options.Logger.Info("limit of a backend server not reported", zap.String("backend_server", server),
				zap.Int("try", try), zap.Error(err))
			if try == maxLimitReports {
				return
			}
			time.Sleep(limitReportInterval)
		}
	}()
}
