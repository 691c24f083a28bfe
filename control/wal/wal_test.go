package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func newEntries(term, from, to uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, consensus.Entry{
			Index: i, Term: term, Kind: consensus.EntryCommand, Data: fmt.Append(nil, "command ", i),
		})
	}
	return out
}

func newWrite(term, from, to uint64) *consensus.Write {
	return &consensus.Write{Hard: &consensus.HardState{Term: term, Vote: 1}, Entries: newEntries(term, from, to)}
}

func snapshotWrite(index, term uint64) *consensus.Write {
	return &consensus.Write{Snapshot: &consensus.Snapshot{Index: index, Term: term, Data: []byte("state")}}
}

func persistedState(term, from, to uint64, s *consensus.Write) consensus.PersistedState {
	return consensus.PersistedState{
		Hard: consensus.HardState{Term: term, Vote: 1}, Entries: newEntries(term, from, to), Snapshot: s.Snapshot,
	}
}

func filesIn(folder, suffix string) []string {
	names, _ := filepath.Glob(filepath.Join(folder, "*"+suffix))
	return names
}

// editSegment returns a function that changes the n-th segment from the end.
func editSegment(n int, change func([]byte) []byte) func(*testing.T, string) {
	return func(t *testing.T, folder string) {
		names := filesIn(folder, segmentSuffix)
		name := names[len(names)-n]
		data, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(name, change(data), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// flipBit returns a function that flips a bit of the byte at an offset, which
// counts from the end if it is negative.
func flipBit(at int) func([]byte) []byte {
	return func(b []byte) []byte {
		b[(at+len(b))%len(b)] ^= 0x40
		return b
	}
}

// TestReopen guards against records that are lost or reappear after a crash, and
// against corruption that is truncated as a torn write.
func TestReopen(t *testing.T) {
	twoWrites := []*consensus.Write{newWrite(1, 1, 3), newWrite(1, 4, 6)}
	for _, c := range []struct {
		name         string
		writes       []*consensus.Write
		segmentBytes int64
		damage       func(*testing.T, string)
		want         consensus.PersistedState
		corrupt      string
	}{
		{name: "entries", writes: twoWrites, want: persistedState(1, 1, 6, newWrite(0, 1, 0))},
		{name: "replaced entries", writes: append(twoWrites, newWrite(2, 1, 2)),
			want: persistedState(2, 1, 2, newWrite(0, 1, 0))},
		{name: "several segments", writes: twoWrites, segmentBytes: 1,
			want: persistedState(1, 1, 6, newWrite(0, 1, 0))},
		{name: "snapshot of applied entries", writes: append(twoWrites, snapshotWrite(4, 1)),
			want: persistedState(1, 5, 6, snapshotWrite(4, 1))},
		{name: "installed snapshot", writes: append(twoWrites, snapshotWrite(9, 1)),
			want: persistedState(1, 10, 9, snapshotWrite(9, 1))},
		{name: "snapshot that conflicts with the log", writes: append(twoWrites, snapshotWrite(4, 3)),
			want: persistedState(1, 1, 0, snapshotWrite(4, 3))},
		{name: "entries after a snapshot", writes: append(twoWrites, snapshotWrite(4, 1), newWrite(1, 7, 8)),
			segmentBytes: 1, want: persistedState(1, 5, 8, snapshotWrite(4, 1))},
		{name: "torn body", writes: twoWrites,
			damage: editSegment(1, func(b []byte) []byte { return b[:len(b)-3] }),
			want:   persistedState(1, 1, 3, newWrite(0, 1, 0))},
		{name: "torn header", writes: twoWrites,
			damage: editSegment(1, func(b []byte) []byte { return append(b, frameMagic[0], frameMagic[1]) }),
			want:   persistedState(1, 1, 6, newWrite(0, 1, 0))},
		{name: "zeros after the last frame", writes: twoWrites,
			damage: editSegment(1, func(b []byte) []byte { return append(b, make([]byte, 4096)...) }),
			want:   persistedState(1, 1, 6, newWrite(0, 1, 0))},
		{name: "corrupt last frame", writes: twoWrites, damage: editSegment(1, flipBit(-1)),
			want: persistedState(1, 1, 3, newWrite(0, 1, 0))},
		{name: "corrupt body before the last frame", writes: twoWrites,
			damage: editSegment(1, flipBit(frameHeaderBytes+2)), corrupt: ".wal at offset 0: invalid frame"},
		{name: "corrupt length before the last frame", writes: twoWrites,
			damage: editSegment(1, flipBit(4)), corrupt: ".wal at offset 0: invalid frame"},
		{name: "corrupt end of an earlier segment", writes: twoWrites, segmentBytes: 1,
			damage: editSegment(2, flipBit(-1)), corrupt: ".wal at offset "},
		{name: "corrupt only frame", writes: append(twoWrites, snapshotWrite(6, 1)),
			damage: editSegment(1, flipBit(-1)), corrupt: ".wal at offset 0: invalid frame"},
		{name: "missing segment", writes: twoWrites, segmentBytes: 1, damage: func(t *testing.T, folder string) {
			_ = os.Remove(filesIn(folder, segmentSuffix)[1])
		}, corrupt: "record 4 follows record 1"},
		{name: "corrupt snapshot", writes: append(twoWrites, snapshotWrite(4, 1)),
			damage: func(t *testing.T, folder string) {
				_ = os.WriteFile(filesIn(folder, snapshotSuffix)[0], []byte("x"), 0o600)
			}, corrupt: ".snapshot at offset 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _, err := Open(folder, Options{SegmentBytes: c.segmentBytes})
			if err != nil {
				t.Fatal(err)
			}
			for _, w := range c.writes {
				if err := l.Append(w); err != nil {
					t.Fatal(err)
				}
			}
			if _, _, err := Open(folder, Options{}); err == nil {
				t.Error("the folder was opened a second time")
			}
			disk := l.Disk()
			_ = l.Close()
			if c.damage != nil {
				c.damage(t, folder)
			}
			for range 2 { // the second time after the truncation
				l, got, err := Open(folder, Options{})
				if c.corrupt != "" {
					var corrupt *CorruptError
					if !errors.As(err, &corrupt) || !strings.Contains(err.Error(), c.corrupt) {
						t.Fatalf("got error %v, want %q", err, c.corrupt)
					}
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(c.want, got, cmpopts.EquateEmpty()); diff != "" || l.Disk() != disk {
					t.Errorf("disk %x, want %x; -want +got:\n%s", l.Disk(), disk, diff)
				}
				_ = l.Close()
			}
		})
	}
}

// failingFile fails after the given numbers of writes and syncs.
type failingFile struct {
	file
	writes, syncs *int
	err           error
}

func (f failingFile) Write(p []byte) (int, error) {
	if *f.writes--; *f.writes < 0 {
		n, _ := f.file.Write(p[:len(p)/2])
		return n, f.err
	}
	return f.file.Write(p)
}

func (f failingFile) Sync() error {
	if *f.syncs--; *f.syncs < 0 {
		return f.err
	}
	return f.file.Sync()
}

// TestDiskErrors guards against a write that is reported as durable although the
// disk is full or a sync failed, and against later writes being accepted.
func TestDiskErrors(t *testing.T) {
	for _, c := range []struct {
		name          string
		writes, syncs int
		err           error
		want          string
		second        *consensus.Write
	}{
		{"disk full", 2, 99, syscall.ENOSPC, "disk full", newWrite(1, 4, 6)},
		{"failed sync", 99, 2, syscall.EIO, "sync segment", newWrite(1, 4, 6)},
		{"disk full in a snapshot", 2, 99, syscall.ENOSPC, "disk full", snapshotWrite(2, 1)},
		{"failed sync of a checkpoint", 99, 3, syscall.EIO, "sync segment", snapshotWrite(2, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _, err := Open(folder, Options{create: func(path string, flags int) (file, error) {
				f, err := os.OpenFile(path, flags, 0o600)
				return failingFile{f, &c.writes, &c.syncs, c.err}, err
			}})
			if err != nil || l.Append(newWrite(1, 1, 3)) != nil {
				t.Fatal(err)
			}
			for range 2 {
				err := l.Append(c.second)
				if !errors.Is(err, ErrFailed) || !errors.Is(err, c.err) || !strings.Contains(err.Error(), c.want) {
					t.Errorf("got %v, want %s", err, c.want)
				}
			}
			_ = l.Close()
			_, got, err := Open(folder, Options{})
			if err != nil || len(got.Entries) < 3 {
				t.Errorf("%d entries after the failure, %v", len(got.Entries), err)
			}
		})
	}
}

// FuzzReplay guards against a panic on arbitrary bytes, and against a truncated
// segment that replays differently from the original.
func FuzzReplay(f *testing.F) {
	first, _ := encodeFrame(record{Sequence: 1, Disk: 1, Checkpoint: true})
	second, _ := encodeFrame(record{Sequence: 2, Writes: []storedWrite{{Entries: newEntries(1, 1, 2)}}})
	f.Add(append(bytes.Clone(first), second...))
	f.Add(append(bytes.Clone(first), second[:9]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, reread := &Log{}, &Log{}
		validBytes, err := l.replaySegment("x", data)
		if err != nil {
			return
		}
		if n, err := reread.replaySegment("x", data[:validBytes]); err != nil || n != validBytes ||
			!cmp.Equal(l.state, reread.state, cmp.AllowUnexported(state{})) {
			t.Errorf("second replay of %d bytes returned %d, %v", validBytes, n, err)
		}
	})
}

// BenchmarkCommit measures group commits of 256-byte commands, and for comparison
// a plain write and sync of the same bytes in the same run.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			folder := b.TempDir()
			l, _, err := Open(folder, Options{})
			if err != nil {
				b.Fatal(err)
			}
			baseline, _ := os.Create(filepath.Join(folder, "bare"))
			w := &consensus.Write{Entries: newEntries(1, 1, uint64(batch))}
			for i := range w.Entries {
				w.Entries[i].Data = make([]byte, 256)
			}
			frame, _ := encodeFrame(record{Writes: []storedWrite{{Entries: w.Entries}}})
			var commitTimes, baselineTimes []time.Duration
			var total time.Duration
			for b.Loop() {
				start := time.Now()
				_, _ = baseline.Write(frame)
				_ = baseline.Sync()
				synced := time.Now()
				if err := l.Append(w); err != nil { // replaces the entries of the previous iteration
					b.Fatal(err)
				}
				baselineTimes, commitTimes = append(baselineTimes, synced.Sub(start)), append(commitTimes, time.Since(synced))
				total += commitTimes[len(commitTimes)-1]
			}
			_, _ = baseline.Close(), l.Close()
			b.ReportMetric(float64(batch)*float64(len(commitTimes))/total.Seconds(), "commits/s")
			for name, times := range map[string][]time.Duration{"wal": commitTimes, "bare": baselineTimes} {
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-us")
			}
		})
	}
}
