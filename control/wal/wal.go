// Package wal keeps a control member's log, votes and snapshots in one data
// folder.
//
// Each group commit is one frame, written and synced before the next one
// begins. So after a crash only the last frame of the last segment may be torn;
// it was never reported as durable and is cut. Damage anywhere else stops the
// start with an error that names file and offset.
//
// A snapshot starts a new segment whose first frame holds the whole state, so
// that all earlier segments can be removed.
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

// DefaultSegmentBytes is the size above which a new segment begins.
const DefaultSegmentBytes = 16 << 20

const (
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snapshot"
	temporary      = "temporary"
	lockName       = "lock"
)

// ErrFailed is in the chain of every error after a failed write or sync. What
// the failed call wrote may or may not be on disk, and a later sync could
// succeed without it, so the log stays closed until the folder is opened again.
var ErrFailed = errors.New("write-ahead log failed and accepts no more writes")

// file is the part of os.File that the log writes through.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// Options holds the parameters of a log.
type Options struct {
	SegmentBytes int64

	// create and syncFolder are replaced by tests that inject disk errors.
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

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Log is an open data folder. It is for one goroutine.
type Log struct {
	folder  string
	options Options
	lock    *os.File
	state   state
	current file
	size    int64
	// segment numbers the current file, sequence the last frame.
	segment, sequence uint64
	// checkpointSegment is the last one that begins with the whole state.
	checkpointSegment uint64
	err               error
}

// Open opens or creates a data folder and returns what it holds. Only one
// process can have a folder open.
func Open(folder string, options Options) (*Log, consensus.PersistedState, error) {
	options.setDefaults()
	l := &Log{folder: folder, options: options}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, consensus.PersistedState{}, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, consensus.PersistedState{}, errors.Wrap(err, "open lock of data folder")
	}
	l.lock = lock
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

func (l *Log) load() (consensus.PersistedState, error) {
	var r consensus.PersistedState
	if err := l.replay(); err != nil {
		return r, err
	}
	if l.segment == 0 {
		if err := l.initialize(); err != nil {
			return r, err
		}
	} else if err := l.resume(); err != nil {
		return r, err
	}
	r.Hard = l.state.hard
	r.Entries = append(r.Entries, l.state.entries...)
	if l.state.mark.Index > 0 {
		s, err := l.readSnapshot(l.state.mark)
		if err != nil {
			return r, err
		}
		r.Snapshot = s
	}
	return r, l.removeObsolete()
}

// initialize gives a new folder its disk number.
func (l *Log) initialize() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return errors.Wrap(err, "draw disk number")
	}
	l.state.disk = binary.BigEndian.Uint64(random[:]) | 1
	// The folder's own entry must be durable too, or a crash would hide it.
	if err := l.options.syncFolder(filepath.Dir(l.folder)); err != nil {
		return errors.Wrap(err, "sync parent of data folder")
	}
	return l.startSegment(true)
}

// resume continues the last segment.
func (l *Log) resume() error {
	f, err := l.options.create(l.segmentPath(l.segment), os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return errors.Wrap(err, "open last segment")
	}
	l.current = f
	return nil
}

// Disk returns the number that was drawn when the folder was created.
func (l *Log) Disk() uint64 { return l.state.disk }

// Append makes writes durable with one sync. After an error nothing of them may
// be relied on, and the log accepts no more writes.
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

func (l *Log) append(writes []*consensus.Write) error {
	r := record{Sequence: l.sequence + 1}
	var snapshot *consensus.Snapshot
	for _, w := range writes {
		change := change{Hard: w.Hard, Entries: w.Entries}
		if w.Snapshot != nil {
			snapshot = w.Snapshot
			change.Mark = &mark{snapshot.Index, snapshot.Term}
		}
		r.Changes = append(r.Changes, change)
		if err := l.state.apply(change); err != nil {
			return err
		}
	}
	if snapshot != nil {
		return l.checkpoint(snapshot)
	}
	if l.size >= l.options.SegmentBytes {
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
	if _, err := l.current.Write(frame); err != nil {
		return errors.Wrap(err, "write segment")
	}
	if err := l.current.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	l.size += int64(len(frame))
	l.sequence = r.Sequence
	return nil
}

// startSegment begins a new file, which gets its name once its first frame is
// durable. A checkpoint holds the whole state in that frame.
func (l *Log) startSegment(checkpoint bool) error {
	path := filepath.Join(l.folder, temporary)
	f, err := l.options.create(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if l.current != nil {
		_ = l.current.Close()
	}
	l.current, l.size = f, 0
	l.segment++
	r := record{Sequence: l.sequence + 1, Disk: l.state.disk, Checkpoint: checkpoint}
	if checkpoint {
		hard, m := l.state.hard, l.state.mark
		r.Changes = []change{{Hard: &hard, Mark: &m, Entries: l.state.entries}}
	}
	if err := l.writeFrame(r); err != nil {
		return err
	}
	if err := os.Rename(path, l.segmentPath(l.segment)); err != nil {
		return errors.Wrap(err, "name segment")
	}
	if checkpoint {
		l.checkpointSegment = l.segment
	}
	return errors.Wrap(l.options.syncFolder(l.folder), "sync data folder")
}

// checkpoint stores a snapshot and starts a segment that makes all earlier
// files obsolete.
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

// Close releases the folder. Everything reported as durable stays so.
func (l *Log) Close() error {
	var err error
	if l.current != nil {
		err = l.current.Close()
	}
	if l.lock != nil {
		_ = l.lock.Close()
	}
	if l.err == nil {
		l.err = errors.Wrap(ErrFailed, "closed")
	}
	return errors.Wrap(err, "close segment")
}
