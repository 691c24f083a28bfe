package fleet

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// announceInterval is the interval between announcements, and announceTimeout limits one.
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
)

// AnnounceRequest informs a process without a disk of the members. Daemons that start know
// only the seeds, and all of those may be such processes.
type AnnounceRequest struct {
	// Members and Leader are peer addresses.
	Members []string
	Leader  string
}

// AnnounceReply is empty.
type AnnounceReply struct{}

// Announce learns the members, to which this process refers daemons. Members ignore it.
func (s *service) Announce(request *AnnounceRequest, _ *AnnounceReply) error {
	if s.control.options.DataFolder == "" {
		s.control.watcher.learnMembers(request.Members, request.Leader)
	}
	return nil
}

// runAnnounce informs the seeds that are not members of the members, while a quorum
// confirms this member.
func (c *Control) runAnnounce(ctx context.Context) {
	every(ctx, announceInterval, func() {
		if age, ok := readingAge(&c.confirmed); !ok || age > maxConfirmationAge {
			return
		}
		node := c.node.Load()
		request := &AnnounceRequest{}
		request.Leader, _ = node.Leader()
		for _, m := range node.Members() {
			request.Members = append(request.Members, m.Address)
		}
		for _, seed := range c.options.Seeds() {
			if slices.Contains(request.Members, seed) {
				continue
			}
			go func() {
				callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
				defer cancel()
				if err := c.options.Pool.Call(callCtx, seed, ServiceName+".Announce", request, &AnnounceReply{}); err != nil {
					c.options.Logger.Debug("announcement of the members not delivered",
						zap.String("seed", seed), zap.Error(err))
				}
			}()
		}
	})
}

// learnMembers sets the members and the leader.
func (w *Watcher) learnMembers(members []string, leader string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.view.Load()
	next.Members = members
	if leader != "" {
		next.Leader = leader
	}
	w.view.Store(&next)
}
