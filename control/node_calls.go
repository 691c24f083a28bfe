package control

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

type outcome struct {
	result any
	err    error
}

// call is a request of another goroutine to the main one. Whoever claims it
// first decides: the main goroutine to carry it out, or the caller to give up
// with the certainty that it was not carried out.
type call struct {
	claimed atomic.Bool
	done    chan outcome
	do      func(n *Node, c *call)
}

func (c *call) handle(n *Node) {
	if c.claimed.CompareAndSwap(false, true) {
		c.do(n, c)
	}
}

// finish ends the call. Only the first outcome counts.
func (c *call) finish(result any, err error) {
	select {
	case c.done <- outcome{result, err}:
	default:
	}
}

// await hands a function to the main goroutine and waits for its outcome.
func (n *Node) await(ctx context.Context, do func(*Node, *call)) (any, error) {
	c := &call{done: make(chan outcome, 1), do: do}
	if !n.inbox.TryPush(c) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the control member is overloaded").WithRetryAfter(time.Second)
	}
	var cause error
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-n.ctx.Done():
		cause = errors.New("the control member stopped")
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	default:
	}
	v := verdict.MayHaveRun
	if c.claimed.CompareAndSwap(false, true) {
		v = verdict.NotRun
	}
	return nil, verdict.Wrap(cause, v, verdict.ReasonTimeout, "no outcome of the command")
}

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	return n.await(ctx, func(n *Node, c *call) {
		if len(n.tasks) > 0 {
			// The state machine is behind; queueing more would grow without bound.
			n.appended(c)(0, 0, consensus.ErrOverloaded)
			return
		}
		n.appended(c)(n.machine.Propose(command))
	})
}

// appended returns a function that registers the place of an entry.
func (n *Node) appended(c *call) func(index, term uint64, err error) {
	return func(index, term uint64, err error) {
		if err != nil {
			n.counters.refused.Add(1)
			c.finish(nil, refused(err))
			return
		}
		n.waiters[index] = append(n.waiters[index], waiter{term, c})
	}
}

// Barrier implements Log.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.await(ctx, func(n *Node, c *call) {
		n.lastRead++
		n.reads[n.lastRead] = c
		n.machine.ReadIndex(n.lastRead)
	})
	if err != nil && verdict.Of(err) != verdict.NotRun {
		// A barrier changes nothing, whatever became of it.
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonNoQuorum, "barrier not confirmed")
	}
	return err
}

// AddMember adds a member and waits until the change is committed. The member
// receives the log at once and votes once it caught up; Members shows when.
// Only the leader accepts it. The id must be larger than all ids before. To
// replace a lost member, add the new one first, also at the same address, and
// remove the old id once the new one votes: the data is then on too few disks
// for the shortest time.
func (n *Node) AddMember(ctx context.Context, id consensus.MemberID, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "address of member %d", id)
	}
	_, err := n.await(ctx, func(n *Node, c *call) { n.appended(c)(n.machine.AddMember(id, address)) })
	return err
}

// DemoteMember takes a member's vote until it answers again and has caught up.
func (n *Node) DemoteMember(ctx context.Context, id consensus.MemberID) error {
	_, err := n.await(ctx, func(n *Node, c *call) { n.appended(c)(n.machine.DemoteMember(id)) })
	return err
}

// Silence returns how long ago each other member last answered this leader. It
// is empty on other members.
func (n *Node) Silence(ctx context.Context) (map[consensus.MemberID]time.Duration, error) {
	result, err := n.await(ctx, func(n *Node, c *call) {
		silence := map[consensus.MemberID]time.Duration{}
		for id, ticks := range n.machine.TicksSinceReply() {
			silence[id] = time.Duration(ticks) * n.config.TickInterval
		}
		c.finish(silence, nil)
	})
	if err != nil {
		return nil, err
	}
	return result.(map[consensus.MemberID]time.Duration), nil
}

// RemoveMember removes a member and waits until the change is committed. A
// leader may remove itself.
func (n *Node) RemoveMember(ctx context.Context, id consensus.MemberID) error {
	_, err := n.await(ctx, func(n *Node, c *call) { n.appended(c)(n.machine.RemoveMember(id)) })
	return err
}
