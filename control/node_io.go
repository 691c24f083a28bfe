package control

import (
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/pkg/errors"
)

// runTicker sends ticks to the main goroutine. Ticks that were missed because the
// process was paused or the inbox was full are sent together later.
func (n *Node) runTicker() {
	ticker := time.NewTicker(n.config.TickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		ticks := time.Since(last) / n.config.TickInterval
		if ticks > 0 && n.inbox.TryPush(tickEvent(ticks)) {
			last = last.Add(ticks * n.config.TickInterval)
		}
	}
}

// runDisk writes to the write-ahead log. All queued writes share one sync.
func (n *Node) runDisk() {
	for {
		w, ok := n.diskQueue.Pop(n.ctx)
		if !ok || n.ctx.Err() != nil {
			return
		}
		batch := []*consensus.Write{w}
		for len(batch) < maxEvents {
			next, ok := n.diskQueue.TryPop()
			if !ok {
				break
			}
			batch = append(batch, next)
		}
		start := time.Now()
		if err := n.log.Append(batch...); err != nil {
			n.shutDown(err)
			return
		}
		n.counters.recordSync(len(batch), time.Since(start))
		if !n.inbox.Push(n.ctx, syncedEvent(batch[len(batch)-1].Seq)) {
			return
		}
	}
}

// applyTask is a unit of work for the state machine goroutine: a snapshot to
// install, committed entries to apply with the requests that wait for them, or a
// barrier to complete.
type applyTask struct {
	install  *consensus.Snapshot
	entries  []consensus.Entry
	requests map[uint64]*nodeRequest
	barrier  *nodeRequest
}

// runApply executes the tasks of the state machine and takes snapshots.
func (n *Node) runApply() {
	entries, bytes := 0, 0
	for {
		task, ok := n.applyQueue.Pop(n.ctx)
		if !ok || n.ctx.Err() != nil {
			return
		}
		if task.barrier != nil {
			task.barrier.complete(nil, nil)
			continue
		}
		if task.install != nil {
			if err := n.stateMachine.Restore(task.install.Data); err != nil {
				n.shutDown(errors.Wrapf(err, "restore snapshot at index %d", task.install.Index))
				return
			}
			entries, bytes = 0, 0
			n.counters.snapshotsRestored.Add(1)
			n.counters.appliedIndex.Store(task.install.Index)
			continue
		}
		for _, e := range task.entries {
			var result any
			if e.Kind == consensus.EntryCommand {
				result = n.stateMachine.Apply(e.Index, e.Data)
			}
			if request := task.requests[e.Index]; request != nil {
				request.complete(result, nil)
			}
			entries++
			bytes += len(e.Data)
			n.counters.appliedIndex.Store(e.Index)
		}
		if entries >= n.config.SnapshotEntries || bytes >= n.config.SnapshotBytes {
			entries, bytes = 0, 0
			if !n.takeSnapshot(task.entries[len(task.entries)-1].Index) {
				return
			}
		}
	}
}

// takeSnapshot sends a snapshot of the state machine at index to the main
// goroutine. It returns false if the node is stopping.
func (n *Node) takeSnapshot(index uint64) bool {
	data, err := n.stateMachine.Snapshot()
	if err != nil {
		n.shutDown(errors.Wrapf(err, "take snapshot at index %d", index))
		return false
	}
	n.counters.snapshotsTaken.Add(1)
	return n.inbox.Push(n.ctx, snapshotEvent{index, data})
}
