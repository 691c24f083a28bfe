// Package wal stores the replicated log, the votes and the snapshots of a control
// member in a data folder.
//
// Each group commit is one frame, which is written and synced before the next one
// starts. After a crash, only the last frame of the last segment can therefore be
// incomplete. It was never reported as durable, and Open truncates it. If a file
// is corrupt anywhere else, Open fails with an error that contains the file and
// the offset.
//
// Each snapshot starts a new segment, whose first frame contains the whole state,
// so that all earlier segments can be removed.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/pkg/errors"
)

// DefaultSegmentBytes is the default size from which a new segment is started.
const DefaultSegmentBytes = 16 << 20

const (
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snapshot"
	temporaryName  = "temporary"
	lockName       = "lock"
)

// ErrFailed is wrapped by the error of a failed Append and of every later one. The
// data of the failed call may or may not be on disk, and a later sync could
// succeed without it, so the log accepts no writes until the folder is reopened.
var ErrFailed = errors.New("write-ahead log failed and accepts no more writes")

// file is the subset of os.File that the log writes to.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// Options holds the parameters of a log.
type Options struct {
	SegmentBytes int64

	// create opens a file for writing. Tests replace it and syncFolder to inject
	// disk errors.
	create     func(path string, flags int) (file, error)
	syncFolder func(folder string) error
}

func (o *Options) setDefaults() {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.create == nil {
		o.create = func(path string, flags int) (file, error) { return os.OpenFile(path, flags, 0o600) }
	}
	if o.syncFolder == nil {
		o.syncFolder = syncFolder
	}
}

// syncFolder syncs a folder, so that new and renamed files in it are durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Log is an open data folder. It is not safe for concurrent use.
type Log struct {
	folder      string
	options     Options
	lockFile    *os.File
	state       state
	segmentFile file
	segmentSize int64
	// segmentNumber is the number of the current segment, 0 before there is one.
	// sequence is the number of the last frame.
	segmentNumber, sequence uint64
	// checkpointSegment is the number of the last segment that starts with a
	// checkpoint.
	checkpointSegment uint64
	err               error
}

// Open opens or creates a data folder and returns the log and the stored state.
// Only one process can have a folder open.
func Open(folder string, options Options) (*Log, consensus.PersistedState, error) {
	options.setDefaults()
	l := &Log{folder: folder, options: options}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, consensus.PersistedState{}, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, consensus.PersistedState{}, errors.Wrap(err, "open lock file of data folder")
	}
	l.lockFile = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, consensus.PersistedState{}, errors.Wrapf(err, "data folder %s is in use", folder)
	}
	restored, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, consensus.PersistedState{}, err
	}
	return l, restored, nil
}

// load replays the segments, or initializes an empty folder, and returns the
// stored state.
func (l *Log) load() (consensus.PersistedState, error) {
	var restored consensus.PersistedState
	if err := l.replay(); err != nil {
		return restored, err
	}
	if l.segmentNumber == 0 {
		if err := l.initialize(); err != nil {
			return restored, err
		}
	} else if err := l.openLastSegment(); err != nil {
		return restored, err
	}
	restored.Hard = l.state.hard
	restored.Entries = append(restored.Entries, l.state.entries...)
	if l.state.snapshot.Index > 0 {
		s, err := l.readSnapshot(l.state.snapshot)
		if err != nil {
			return restored, err
		}
		restored.Snapshot = s
	}
	return restored, l.removeObsolete()
}

// initialize generates the disk number of a new folder and starts its first
// segment.
func (l *Log) initialize() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return errors.Wrap(err, "generate disk number")
	}
	l.state.disk = binary.BigEndian.Uint64(random[:]) | 1
	// The folder's entry in its parent must be durable too, or a crash could remove
	// the folder.
	if err := l.options.syncFolder(filepath.Dir(l.folder)); err != nil {
		return errors.Wrap(err, "sync parent of data folder")
	}
	return l.startSegment(true)
}

// openLastSegment opens the last segment for appending.
func (l *Log) openLastSegment() error {
	f, err := l.options.create(l.segmentPath(l.segmentNumber), os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return errors.Wrap(err, "open last segment")
	}
	l.segmentFile = f
	return nil
}

// Disk returns the disk number, which was generated at random when the folder was
// created.
func (l *Log) Disk() uint64 { return l.state.disk }

// Append makes writes durable with one sync. After an error, none of them may be
// considered durable, and the log accepts no more writes.
func (l *Log) Append(writes ...*consensus.Write) error {
	if l.err != nil {
		return l.err
	}
	if err := l.append(writes); err != nil {
		reason := "write"
		if errors.Is(err, syscall.ENOSPC) {
			reason = "disk full"
		}
		l.err = fmt.Errorf("%w: %s: %w", ErrFailed, reason, err)
	}
	return l.err
}

// append applies writes to the state and stores them in one frame. A snapshot
// among them causes a checkpoint instead.
func (l *Log) append(writes []*consensus.Write) error {
	r := record{Sequence: l.sequence + 1}
	var snapshot *consensus.Snapshot
	for _, w := range writes {
		stored := storedWrite{Hard: w.Hard, Entries: w.Entries}
		if w.Snapshot != nil {
			snapshot = w.Snapshot
			stored.Snapshot = &snapshotID{snapshot.Index, snapshot.Term}
		}
		r.Writes = append(r.Writes, stored)
		if err := l.state.apply(stored); err != nil {
			return err
		}
	}
	if snapshot != nil {
		return l.checkpoint(snapshot)
	}
	if l.segmentSize >= l.options.SegmentBytes {
		if err := l.startSegment(false); err != nil {
			return err
		}
		r.Sequence = l.sequence + 1
	}
	return l.writeFrame(r)
}

// writeFrame writes and syncs one frame.
func (l *Log) writeFrame(r record) error {
	frame, err := encodeFrame(r)
	if err != nil {
		return err
	}
	if _, err := l.segmentFile.Write(frame); err != nil {
		return errors.Wrap(err, "write segment")
	}
	if err := l.segmentFile.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	l.segmentSize += int64(len(frame))
	l.sequence = r.Sequence
	return nil
}

// startSegment creates a segment. The file is renamed to its final name after its
// first frame was synced. That frame contains the whole state if checkpoint is
// set.
func (l *Log) startSegment(checkpoint bool) error {
	path := filepath.Join(l.folder, temporaryName)
	f, err := l.options.create(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if l.segmentFile != nil {
		_ = l.segmentFile.Close()
	}
	l.segmentFile, l.segmentSize = f, 0
	l.segmentNumber++
	r := record{Sequence: l.sequence + 1, Disk: l.state.disk, Checkpoint: checkpoint}
	if checkpoint {
		hard, id := l.state.hard, l.state.snapshot
		r.Writes = []storedWrite{{Hard: &hard, Snapshot: &id, Entries: l.state.entries}}
	}
	if err := l.writeFrame(r); err != nil {
		return err
	}
	if err := os.Rename(path, l.segmentPath(l.segmentNumber)); err != nil {
		return errors.Wrap(err, "rename segment")
	}
	if checkpoint {
		l.checkpointSegment = l.segmentNumber
	}
	return errors.Wrap(l.options.syncFolder(l.folder), "sync data folder")
}

// checkpoint stores a snapshot, starts a segment with the whole state and removes
// all earlier files.
func (l *Log) checkpoint(s *consensus.Snapshot) error {
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	if err := l.startSegment(true); err != nil {
		return err
	}
	return l.removeObsolete()
}

func (l *Log) segmentPath(n uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016x%s", n, segmentSuffix))
}

// Close closes the segment and unlocks the folder. It does not sync, because
// Append has synced everything it reported as durable.
func (l *Log) Close() error {
	var err error
	if l.segmentFile != nil {
		err = l.segmentFile.Close()
	}
	if l.lockFile != nil {
		_ = l.lockFile.Close()
	}
	if l.err == nil {
		l.err = errors.Wrap(ErrFailed, "closed")
	}
	return errors.Wrap(err, "close segment")
}
