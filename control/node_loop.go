package control

import (
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// event is an input of the main goroutine.
type event interface{ handle(n *Node) }

type (
	tickEvent     int
	syncedEvent   uint64
	snapshotEvent struct {
		index uint64
		data  []byte
	}
)

func (e tickEvent) handle(n *Node)   { n.raft.Tick(int(e)) }
func (e syncedEvent) handle(n *Node) { n.raft.Synced(uint64(e)) }

func (e snapshotEvent) handle(n *Node) {
	if err := n.raft.Compact(e.index, e.data); err != nil {
		n.logger.Warn("snapshot rejected", zap.Error(err))
	}
}

// run is the main goroutine. It handles the queued events, at most maxEvents at a
// time, before it dispatches the output, so that they share a group commit and one
// call per peer.
func (n *Node) run() {
	n.dispatchOutput()
	for {
		e, ok := n.inbox.Pop(n.ctx)
		if !ok || n.ctx.Err() != nil {
			return
		}
		e.handle(n)
		for i := 0; i < maxEvents; i++ {
			e, ok := n.inbox.TryPop()
			if !ok {
				break
			}
			e.handle(n)
		}
		n.dispatchOutput()
		if err := n.raft.Err(); err != nil {
			n.shutDown(err)
			return
		}
	}
}

// dispatchOutput passes the output of the Raft instance to the other
// goroutines.
func (n *Node) dispatchOutput() {
	out := n.raft.TakeOutput()
	n.publishStatus()
	for _, msg := range out.Messages {
		n.queueMessage(msg)
	}
	if out.Write != nil {
		n.queuedWrites = append(n.queuedWrites, out.Write)
	}
	if out.Install != nil {
		n.failReplacedProposals(out.Install.Index)
		n.queuedTasks = append(n.queuedTasks, applyTask{install: out.Install})
	}
	if len(out.Committed) > 0 {
		n.queuedTasks = append(n.queuedTasks, n.newApplyTask(out.Committed))
	}
	if len(n.senders) >= len(*n.members.Load()) {
		n.closeUnusedSenders()
	}
	for _, r := range out.Reads {
		n.completeRead(r)
	}
	n.scheduleBarriers()
	for len(n.queuedWrites) > 0 && n.diskQueue.TryPush(n.queuedWrites[0]) {
		n.queuedWrites = n.queuedWrites[1:]
	}
	for len(n.queuedTasks) > 0 && n.applyQueue.TryPush(n.queuedTasks[0]) {
		n.queuedTasks = n.queuedTasks[1:]
	}
}

// proposal is a request whose entry was appended to the log in a term and is not
// committed yet.
type proposal struct {
	term    uint64
	request *nodeRequest
}

// newApplyTask returns a task with committed entries and the requests that wait for
// them. A proposal fails if an entry of another term was committed at its index,
// because it can no longer be committed.
func (n *Node) newApplyTask(entries []consensus.Entry) applyTask {
	task := applyTask{entries: entries, requests: map[uint64]*nodeRequest{}}
	for _, e := range entries {
		for _, p := range n.proposals[e.Index] {
			if p.term == e.Term {
				task.requests[e.Index] = p.request
				continue
			}
			p.request.complete(nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady,
				"a new leader replaced the command at index %d", e.Index))
		}
		delete(n.proposals, e.Index)
	}
	return task
}

// failReplacedProposals fails the proposals up to the index of an installed
// snapshot. Their verdict is MayHaveRun, because it is unknown whether the snapshot
// includes them.
func (n *Node) failReplacedProposals(index uint64) {
	for i, proposals := range n.proposals {
		if i > index {
			continue
		}
		for _, p := range proposals {
			p.request.complete(nil, verdict.New(verdict.MayHaveRun, verdict.ReasonNotReady,
				"a snapshot replaced the log up to index %d", index))
		}
		delete(n.proposals, i)
	}
}

// pendingBarrier is a barrier request that waits until the entries up to index have
// been queued for the state machine.
type pendingBarrier struct {
	index   uint64
	request *nodeRequest
}

// completeRead fails the request of a refused read. The request of a confirmed read
// becomes a pending barrier.
func (n *Node) completeRead(r consensus.ReadState) {
	request, ok := n.pendingReads[r.ID]
	delete(n.pendingReads, r.ID)
	switch {
	case !ok:
	case r.Refused:
		request.complete(nil, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum,
			"no quorum confirmed this member's view").WithRetryAfter(time.Second))
	default:
		n.pendingBarriers = append(n.pendingBarriers, pendingBarrier{r.Index, request})
	}
}

// scheduleBarriers queues the barriers whose entries have been queued before them.
func (n *Node) scheduleBarriers() {
	applied := n.status.Load().Applied
	remaining := n.pendingBarriers[:0]
	for _, b := range n.pendingBarriers {
		if b.index > applied {
			remaining = append(remaining, b)
			continue
		}
		n.queuedTasks = append(n.queuedTasks, applyTask{barrier: b.request})
	}
	n.pendingBarriers = remaining
}

// refusalError converts an error of the Raft instance to a verdict. The verdict
// is NotRun, because nothing was appended to the log.
func refusalError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonNotReady, "command refused")
	case errors.Is(err, consensus.ErrOverloaded), errors.Is(err, consensus.ErrChangePending):
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonOverloaded, "command refused").
			WithRetryAfter(time.Second)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "command refused")
	}
}
