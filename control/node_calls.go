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

// outcome is the result of a nodeRequest.
type outcome struct {
	result any
	err    error
}

// nodeRequest is a function that another goroutine asks the main goroutine to run.
// The main goroutine claims the request before it runs the function. The caller
// claims it when it gives up waiting; if that succeeds, the function never runs.
type nodeRequest struct {
	claimed atomic.Bool
	done    chan outcome
	execute func(n *Node, r *nodeRequest)
}

// handle implements event.
func (r *nodeRequest) handle(n *Node) {
	if r.claimed.CompareAndSwap(false, true) {
		r.execute(n, r)
	}
}

// complete sets the outcome of the request. Calls after the first have no effect.
func (r *nodeRequest) complete(result any, err error) {
	select {
	case r.done <- outcome{result, err}:
	default:
	}
}

// runOnMain runs a function on the main goroutine and waits for its outcome.
func (n *Node) runOnMain(ctx context.Context, execute func(*Node, *nodeRequest)) (any, error) {
	r := &nodeRequest{done: make(chan outcome, 1), execute: execute}
	if !n.inbox.TryPush(r) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the control member is overloaded").
			WithRetryAfter(time.Second)
	}
	var cause error
	select {
	case o := <-r.done:
		return o.result, o.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-n.ctx.Done():
		cause = errors.New("the control member stopped")
	}
	select {
	case o := <-r.done:
		return o.result, o.err
	default:
	}
	v := verdict.MayHaveRun
	if r.claimed.CompareAndSwap(false, true) {
		v = verdict.NotRun
	}
	return nil, verdict.Wrap(cause, v, verdict.ReasonTimeout, "no outcome of the command")
}

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	return n.runOnMain(ctx, func(n *Node, r *nodeRequest) {
		if len(n.queuedTasks) > 0 {
			// The state machine is behind, and the queue of committed entries has no bound.
			n.registerProposal(r)(0, 0, consensus.ErrOverloaded)
			return
		}
		n.registerProposal(r)(n.raft.Propose(command))
	})
}

// registerProposal returns a function that takes the result of a proposal. It
// registers the request under the index and term of the appended entry, or
// completes it with the error.
func (n *Node) registerProposal(r *nodeRequest) func(index, term uint64, err error) {
	return func(index, term uint64, err error) {
		if err != nil {
			n.counters.proposalsRefused.Add(1)
			r.complete(nil, refusalError(err))
			return
		}
		n.proposals[index] = append(n.proposals[index], proposal{term, r})
	}
}

// Barrier implements Log.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.runOnMain(ctx, func(n *Node, r *nodeRequest) {
		n.lastReadID++
		n.pendingReads[n.lastReadID] = r
		n.raft.ReadIndex(n.lastReadID)
	})
	if err != nil && verdict.Of(err) != verdict.NotRun {
		// A barrier changes no state, so its verdict is NotRun in every case.
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonNoQuorum, "barrier not confirmed")
	}
	return err
}

// AddMember adds a member as a learner and waits until the change is committed.
// Only the leader accepts it, and the id must be larger than every id used before.
// The member becomes a voter after it has caught up, which Members shows.
//
// To replace a lost member, first add the new one, which may have the same address,
// and remove the old id after the new one has become a voter. This order minimizes
// the time during which the data is on too few disks.
func (n *Node) AddMember(ctx context.Context, id consensus.MemberID, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "address of member %d", id)
	}
	_, err := n.runOnMain(ctx, func(n *Node, r *nodeRequest) {
		n.registerProposal(r)(n.raft.AddMember(id, address))
	})
	return err
}

// DemoteMember makes a voter a learner and waits until the change is committed. The
// member becomes a voter again after it has answered and caught up.
func (n *Node) DemoteMember(ctx context.Context, id consensus.MemberID) error {
	_, err := n.runOnMain(ctx, func(n *Node, r *nodeRequest) { n.registerProposal(r)(n.raft.DemoteMember(id)) })
	return err
}

// TimeSinceReply returns the time since the last reply of each other member to this
// leader. The result is empty if this member is not the leader.
func (n *Node) TimeSinceReply(ctx context.Context) (map[consensus.MemberID]time.Duration, error) {
	result, err := n.runOnMain(ctx, func(n *Node, r *nodeRequest) {
		durations := map[consensus.MemberID]time.Duration{}
		for id, ticks := range n.raft.TicksSinceReply() {
			durations[id] = time.Duration(ticks) * n.config.TickInterval
		}
		r.complete(durations, nil)
	})
	if err != nil {
		return nil, err
	}
	return result.(map[consensus.MemberID]time.Duration), nil
}

// RemoveMember removes a member and waits until the change is committed. Only the
// leader accepts it, and it may remove itself.
func (n *Node) RemoveMember(ctx context.Context, id consensus.MemberID) error {
	_, err := n.runOnMain(ctx, func(n *Node, r *nodeRequest) { n.registerProposal(r)(n.raft.RemoveMember(id)) })
	return err
}
