package wal

import (
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/pkg/errors"
)

// CorruptError reports which file is corrupt and at which offset. The member must
// not start, because data that it reported as durable may be lost.
type CorruptError struct {
	Path   string
	Offset int64
	Cause  error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "corrupt write-ahead log: " + e.Path + " at offset " + strconv.FormatInt(e.Offset, 10) + ": " +
		e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// state is the result of all records so far. entries start directly after
// snapshot.
type state struct {
	disk     uint64
	hard     consensus.HardState
	snapshot snapshotID
	entries  []consensus.Entry
}

func (s *state) lastIndex() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

// apply adds a write to the state.
func (s *state) apply(w storedWrite) error {
	if w.Hard != nil {
		s.hard = *w.Hard
	}
	if w.Snapshot != nil && *w.Snapshot != s.snapshot {
		s.installSnapshot(*w.Snapshot)
	}
	if len(w.Entries) == 0 {
		return nil
	}
	first := w.Entries[0].Index
	if first <= s.snapshot.Index || first > s.lastIndex()+1 {
		return errors.Errorf("entry %d does not follow entries %d to %d", first, s.snapshot.Index, s.lastIndex())
	}
	for i, e := range w.Entries {
		if e.Index != first+uint64(i) {
			return errors.Errorf("entry %d follows entry %d", e.Index, first+uint64(i)-1)
		}
	}
	kept := first - s.snapshot.Index - 1
	s.entries = append(s.entries[:kept], w.Entries...)
	return nil
}

// installSnapshot replaces the entries up to the snapshot's index. It drops all
// entries if the log does not contain the snapshot's last entry, because then the
// log conflicts with the snapshot.
func (s *state) installSnapshot(id snapshotID) {
	var rest []consensus.Entry
	if id.Index > s.snapshot.Index && id.Index <= s.lastIndex() &&
		s.entries[id.Index-s.snapshot.Index-1].Term == id.Term {
		rest = append(rest, s.entries[id.Index-s.snapshot.Index:]...)
	}
	s.snapshot, s.entries = id, rest
}

// segments returns the numbers of the segment files in ascending order.
func (l *Log) segments() ([]uint64, error) {
	names, err := filepath.Glob(filepath.Join(l.folder, "*"+segmentSuffix))
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	var numbers []uint64
	for _, name := range names {
		n, err := strconv.ParseUint(strings.TrimSuffix(filepath.Base(name), segmentSuffix), 16, 64)
		if err != nil {
			return nil, errors.Errorf("unexpected file %s in the data folder", name)
		}
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

// replay reads all segments and truncates the last one after its last valid frame.
func (l *Log) replay() error {
	numbers, err := l.segments()
	if err != nil {
		return err
	}
	for i, n := range numbers {
		path := l.segmentPath(n)
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		l.segmentNumber = n
		validBytes, err := l.replaySegment(path, data)
		if err != nil {
			return err
		}
		if validBytes < len(data) || validBytes == 0 {
			// A segment file gets its name after its first frame was synced, so a crash
			// does not leave a segment without a valid frame.
			if i < len(numbers)-1 || validBytes == 0 {
				return &CorruptError{path, int64(validBytes), errInvalidFrame}
			}
			if err := truncate(path, int64(validBytes)); err != nil {
				return err
			}
		}
		l.segmentSize = int64(validBytes)
	}
	return nil
}

// replaySegment applies the frames of a segment and returns the offset of the end
// of the last valid frame. The data after it is a torn write.
func (l *Log) replaySegment(path string, data []byte) (int, error) {
	rest := data
	for len(rest) > 0 {
		offset := len(data) - len(rest)
		body, next, err := decodeFrame(rest)
		if err != nil {
			if validFrameFollows(rest) {
				return 0, &CorruptError{path, int64(offset), err}
			}
			return offset, nil
		}
		if err := l.replayRecord(body, offset == 0); err != nil {
			return 0, &CorruptError{path, int64(offset), err}
		}
		rest = next
	}
	return len(data), nil
}

// replayRecord checks that a record follows the previous one and applies it.
func (l *Log) replayRecord(body []byte, firstInSegment bool) error {
	var r record
	if err := cborDecoder.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "decode record")
	}
	firstRecord := l.sequence == 0
	switch {
	case firstRecord && !r.Checkpoint:
		return errors.New("the first segment is missing")
	case !firstRecord && r.Sequence != l.sequence+1:
		return errors.Errorf("record %d follows record %d", r.Sequence, l.sequence)
	case firstInSegment && !firstRecord && r.Disk != l.state.disk:
		return errors.Errorf("disk number %x differs from %x in earlier segments", r.Disk, l.state.disk)
	}
	if r.Checkpoint {
		l.state = state{disk: r.Disk}
		l.checkpointSegment = l.segmentNumber
	}
	for _, w := range r.Writes {
		if err := l.state.apply(w); err != nil {
			return err
		}
	}
	l.sequence = r.Sequence
	return nil
}

// truncate shortens a segment to size bytes and syncs it.
func truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open torn segment")
	}
	defer func() { _ = f.Close() }()
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "truncate torn segment")
	}
	return errors.Wrap(f.Sync(), "sync truncated segment")
}
