package control

import (
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// event is one input of the main goroutine.
type event interface{ handle(n *Node) }

type (
	tickEvent     int
	syncedEvent   uint64
	snapshotEvent struct {
		index uint64
		data  []byte
	}
)

func (e tickEvent) handle(n *Node)   { n.machine.Tick(int(e)) }
func (e syncedEvent) handle(n *Node) { n.machine.Synced(uint64(e)) }

func (e snapshotEvent) handle(n *Node) {
	if err := n.machine.Compact(e.index, e.data); err != nil {
		n.logger.Warn("snapshot not used", zap.Error(err))
	}
}

// run is the main goroutine. Events that arrive together share one output, and
// thereby one group commit and one call to each peer.
func (n *Node) run() {
	n.dispatch()
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
		n.dispatch()
		if err := n.machine.Err(); err != nil {
			n.fail(err)
			return
		}
	}
}

// dispatch hands the machine's output to the other goroutines.
func (n *Node) dispatch() {
	out := n.machine.TakeOutput()
	n.publish()
	for _, msg := range out.Messages {
		n.sendTo(msg)
	}
	if out.Write != nil {
		n.writes = append(n.writes, out.Write)
	}
	if out.Install != nil {
		n.abandonWaiters(out.Install.Index)
		n.tasks = append(n.tasks, applyTask{install: out.Install})
	}
	if len(out.Committed) > 0 {
		n.tasks = append(n.tasks, n.taskFor(out.Committed))
	}
	if len(n.peers) >= len(*n.members.Load()) {
		n.pruneLinks()
	}
	for _, r := range out.Reads {
		n.finishRead(r)
	}
	n.releaseBarriers()
	for len(n.writes) > 0 && n.diskRing.TryPush(n.writes[0]) {
		n.writes = n.writes[1:]
	}
	for len(n.tasks) > 0 && n.applyRing.TryPush(n.tasks[0]) {
		n.tasks = n.tasks[1:]
	}
}

// waiter is a proposal in the log whose outcome is not known yet.
type waiter struct {
	term uint64
	call *call
}

// taskFor joins committed entries with the proposals that wait for them. A
// proposal whose place was taken by an entry of another term can not be
// committed any more.
func (n *Node) taskFor(entries []consensus.Entry) applyTask {
	task := applyTask{entries: entries, calls: map[uint64]*call{}}
	for _, e := range entries {
		for _, w := range n.waiters[e.Index] {
			if w.term == e.Term {
				task.calls[e.Index] = w.call
				continue
			}
			w.call.finish(nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "a new leader replaced the command at index %d", e.Index))
		}
		delete(n.waiters, e.Index)
	}
	return task
}

// abandonWaiters ends the proposals that a snapshot covers; whether it includes
// them is not known.
func (n *Node) abandonWaiters(index uint64) {
	for i, waiting := range n.waiters {
		if i > index {
			continue
		}
		for _, w := range waiting {
			w.call.finish(nil, verdict.New(verdict.MayHaveRun, verdict.ReasonNotReady, "a snapshot replaced the log up to index %d", index))
		}
		delete(n.waiters, i)
	}
}

// barrier waits until the entries up to index are handed to the state machine.
type barrier struct {
	index uint64
	call  *call
}

func (n *Node) finishRead(r consensus.ReadState) {
	c, ok := n.reads[r.ID]
	delete(n.reads, r.ID)
	switch {
	case !ok:
	case r.Refused:
		c.finish(nil, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no quorum confirmed this member's view").WithRetryAfter(time.Second))
	default:
		n.barriers = append(n.barriers, barrier{r.Index, c})
	}
}

func (n *Node) releaseBarriers() {
	applied := n.status.Load().Applied
	kept := n.barriers[:0]
	for _, b := range n.barriers {
		if b.index > applied {
			kept = append(kept, b)
			continue
		}
		n.tasks = append(n.tasks, applyTask{barrier: b.call})
	}
	n.barriers = kept
}

// refused turns an error of the machine into a verdict: nothing was appended.
func refused(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonNotReady, "command refused")
	case errors.Is(err, consensus.ErrOverloaded), errors.Is(err, consensus.ErrChangePending):
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonOverloaded, "command refused").WithRetryAfter(time.Second)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "command refused")
	}
}
