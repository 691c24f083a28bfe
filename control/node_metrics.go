package control

import (
	"sync/atomic"
	"time"
)

// Metrics holds the counts and sizes of a node since its start. expvar publishes
// them under the names of the JSON tags.
type Metrics struct {
	ProposalsRefused  uint64  `json:"control_proposals_refused"`
	MessagesDropped   uint64  `json:"control_messages_dropped"`
	CallsFailed       uint64  `json:"control_step_calls_failed"`
	Syncs             uint64  `json:"control_log_syncs"`
	SyncedWrites      uint64  `json:"control_log_synced_writes"`
	SyncSeconds       float64 `json:"control_log_sync_seconds"`
	SlowestSync       float64 `json:"control_log_slowest_sync_seconds"`
	SnapshotsTaken    uint64  `json:"control_snapshots_taken"`
	SnapshotsRestored uint64  `json:"control_snapshots_restored"`
	SnapshotBytes     int     `json:"control_snapshot_bytes"`
	LogEntries        int     `json:"control_log_entries"`
	LogBytes          int     `json:"control_log_bytes"`
	// Unapplied is the number of committed entries that the state machine has not
	// applied.
	Unapplied uint64 `json:"control_unapplied_entries"`
}

// counters holds the counts that the goroutines of a node update.
type counters struct {
	proposalsRefused, messagesDropped, callsFailed atomic.Uint64
	syncs, syncedWrites                            atomic.Uint64
	syncNanoseconds, slowestSyncNanoseconds        atomic.Int64
	snapshotsTaken, snapshotsRestored              atomic.Uint64
	appliedIndex                                   atomic.Uint64
}

// recordSync records one group commit. Only the disk goroutine calls it.
func (c *counters) recordSync(writes int, duration time.Duration) {
	c.syncs.Add(1)
	c.syncedWrites.Add(uint64(writes))
	c.syncNanoseconds.Add(int64(duration))
	if int64(duration) > c.slowestSyncNanoseconds.Load() {
		c.slowestSyncNanoseconds.Store(int64(duration))
	}
}

// Metrics returns the current metrics of the node.
func (n *Node) Metrics() Metrics {
	c, s := &n.counters, n.Status()
	m := Metrics{
		ProposalsRefused:  c.proposalsRefused.Load(),
		MessagesDropped:   c.messagesDropped.Load(),
		CallsFailed:       c.callsFailed.Load(),
		Syncs:             c.syncs.Load(),
		SyncedWrites:      c.syncedWrites.Load(),
		SyncSeconds:       time.Duration(c.syncNanoseconds.Load()).Seconds(),
		SlowestSync:       time.Duration(c.slowestSyncNanoseconds.Load()).Seconds(),
		SnapshotsTaken:    c.snapshotsTaken.Load(),
		SnapshotsRestored: c.snapshotsRestored.Load(),
		SnapshotBytes:     s.SnapshotBytes,
		LogEntries:        s.LogEntries,
		LogBytes:          s.LogBytes,
	}
	if applied := c.appliedIndex.Load(); s.Commit > applied {
		m.Unapplied = s.Commit - applied
	}
	return m
}
