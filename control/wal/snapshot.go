package wal

import (
	"fmt"
	"os"
	"path/filepath"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/pkg/errors"
)

func (l *Log) snapshotPath(id snapshotID) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016x-%016x%s", id.Index, id.Term, snapshotSuffix))
}

// writeSnapshot stores a snapshot. It syncs the content to a temporary file before
// it renames the file.
func (l *Log) writeSnapshot(s *consensus.Snapshot) error {
	frame, err := encodeFrame(s)
	if err != nil {
		return err
	}
	path := filepath.Join(l.folder, temporaryName)
	f, err := l.options.create(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return errors.Wrap(err, "create snapshot")
	}
	_, err = f.Write(frame)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	if err := os.Rename(path, l.snapshotPath(snapshotID{s.Index, s.Term})); err != nil {
		return errors.Wrap(err, "rename snapshot")
	}
	return errors.Wrap(l.options.syncFolder(l.folder), "sync data folder")
}

// readSnapshot reads and verifies the file of a snapshot.
func (l *Log) readSnapshot(id snapshotID) (*consensus.Snapshot, error) {
	path := l.snapshotPath(id)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	var s consensus.Snapshot
	body, rest, err := decodeFrame(data)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("%d bytes after the snapshot", len(rest))
	}
	if err == nil {
		err = cborDecoder.Unmarshal(body, &s)
	}
	if err == nil && (snapshotID{s.Index, s.Term}) != id {
		err = errors.Errorf("snapshot has index %d and term %d", s.Index, s.Term)
	}
	if err != nil {
		return nil, &CorruptError{path, 0, err}
	}
	return &s, nil
}

// removeObsolete removes snapshots and segments that the last checkpoint replaced,
// and the temporary file that a crash may have left.
func (l *Log) removeObsolete() error {
	_ = os.Remove(filepath.Join(l.folder, temporaryName))
	names, err := filepath.Glob(filepath.Join(l.folder, "*"+snapshotSuffix))
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	for _, name := range names {
		if name != l.snapshotPath(l.state.snapshot) {
			if err := os.Remove(name); err != nil {
				return errors.Wrap(err, "remove obsolete snapshot")
			}
		}
	}
	return l.removeObsoleteSegments()
}

func (l *Log) removeObsoleteSegments() error {
	numbers, err := l.segments()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n < l.checkpointSegment {
			if err := os.Remove(l.segmentPath(n)); err != nil {
				return errors.Wrap(err, "remove obsolete segment")
			}
		}
	}
	return nil
}
