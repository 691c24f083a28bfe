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

func entries(term, from, to uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, consensus.Entry{Index: i, Term: term, Kind: consensus.EntryCommand, Data: fmt.Append(nil, "command ", i)})
	}
	return out
}

func write(term, from, to uint64) *consensus.Write {
	return &consensus.Write{Hard: &consensus.HardState{Term: term, Vote: 1}, Entries: entries(term, from, to)}
}

func snapshot(index, term uint64) *consensus.Write {
	return &consensus.Write{Snapshot: &consensus.Snapshot{Index: index, Term: term, Data: []byte("state")}}
}

func restored(term, from, to uint64, s *consensus.Write) consensus.PersistedState {
	return consensus.PersistedState{Hard: consensus.HardState{Term: term, Vote: 1}, Entries: entries(term, from, to), Snapshot: s.Snapshot}
}

func filesIn(folder, suffix string) []string {
	names, _ := filepath.Glob(filepath.Join(folder, "*"+suffix))
	return names
}

// edit changes the n-th last segment.
func edit(n int, change func([]byte) []byte) func(*testing.T, string) {
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

func flip(at int) func([]byte) []byte {
	return func(b []byte) []byte {
		b[(at+len(b))%len(b)] ^= 0x40
		return b
	}
}

// TestReopen guards against lost or resurrected records after a crash, and
// against damage that is taken for a torn tail.
func TestReopen(t *testing.T) {
	plain := []*consensus.Write{write(1, 1, 3), write(1, 4, 6)}
	for _, c := range []struct {
		name    string
		writes  []*consensus.Write
		size    int64
		damage  func(*testing.T, string)
		want    consensus.PersistedState
		corrupt string
	}{
		{name: "entries", writes: plain, want: restored(1, 1, 6, write(0, 1, 0))},
		{name: "replaced entries", writes: append(plain, write(2, 1, 2)), want: restored(2, 1, 2, write(0, 1, 0))},
		{name: "several segments", writes: plain, size: 1, want: restored(1, 1, 6, write(0, 1, 0))},
		{name: "own snapshot", writes: append(plain, snapshot(4, 1)), want: restored(1, 5, 6, snapshot(4, 1))},
		{name: "installed snapshot", writes: append(plain, snapshot(9, 1)), want: restored(1, 10, 9, snapshot(9, 1))},
		{name: "snapshot of another history", writes: append(plain, snapshot(4, 3)), want: restored(1, 1, 0, snapshot(4, 3))},
		{name: "after a snapshot", writes: append(plain, snapshot(4, 1), write(1, 7, 8)), size: 1, want: restored(1, 5, 8, snapshot(4, 1))},
		{name: "torn body", writes: plain, damage: edit(1, func(b []byte) []byte { return b[:len(b)-3] }), want: restored(1, 1, 3, write(0, 1, 0))},
		{name: "torn header", writes: plain, damage: edit(1, func(b []byte) []byte { return append(b, magic[0], magic[1]) }), want: restored(1, 1, 6, write(0, 1, 0))},
		{name: "zeros behind the end", writes: plain, damage: edit(1, func(b []byte) []byte { return append(b, make([]byte, 4096)...) }), want: restored(1, 1, 6, write(0, 1, 0))},
		{name: "damaged last frame", writes: plain, damage: edit(1, flip(-1)), want: restored(1, 1, 3, write(0, 1, 0))},
		{name: "damaged body before the tail", writes: plain, damage: edit(1, flip(frameHeaderBytes+2)), corrupt: ".wal at offset 0: damaged"},
		{name: "damaged length before the tail", writes: plain, damage: edit(1, flip(4)), corrupt: ".wal at offset 0: damaged"},
		{name: "damaged end of an earlier segment", writes: plain, size: 1, damage: edit(2, flip(-1)), corrupt: ".wal at offset "},
		{name: "only frame damaged", writes: append(plain, snapshot(6, 1)), damage: edit(1, flip(-1)), corrupt: ".wal at offset 0: damaged"},
		{name: "missing segment", writes: plain, size: 1, damage: func(t *testing.T, f string) { _ = os.Remove(filesIn(f, segmentSuffix)[1]) }, corrupt: "record 4 follows record 1"},
		{name: "damaged snapshot", writes: append(plain, snapshot(4, 1)), damage: func(t *testing.T, f string) {
			_ = os.WriteFile(filesIn(f, snapshotSuffix)[0], []byte("x"), 0o600)
		}, corrupt: ".snapshot at offset 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _, err := Open(folder, Options{SegmentBytes: c.size})
			if err != nil {
				t.Fatal(err)
			}
			for _, w := range c.writes {
				if err := l.Append(w); err != nil {
					t.Fatal(err)
				}
			}
			if _, _, err := Open(folder, Options{}); err == nil {
				t.Error("a second process could open the folder")
			}
			disk := l.Disk()
			_ = l.Close()
			if c.damage != nil {
				c.damage(t, folder)
			}
			for range 2 { // the second time after the cut
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

// brokenFile fails from the n-th write or sync on.
type brokenFile struct {
	file
	writes, syncs *int
	err           error
}

func (f brokenFile) Write(p []byte) (int, error) {
	if *f.writes--; *f.writes < 0 {
		n, _ := f.file.Write(p[:len(p)/2])
		return n, f.err
	}
	return f.file.Write(p)
}

func (f brokenFile) Sync() error {
	if *f.syncs--; *f.syncs < 0 {
		return f.err
	}
	return f.file.Sync()
}

// TestDiskErrors guards against a write that is reported as durable after a
// full disk or a failed sync, and against writes accepted later.
func TestDiskErrors(t *testing.T) {
	for _, c := range []struct {
		name          string
		writes, syncs int
		err           error
		want          string
		second        *consensus.Write
	}{
		{"disk full", 2, 99, syscall.ENOSPC, "disk full", write(1, 4, 6)},
		{"failed sync", 99, 2, syscall.EIO, "sync segment", write(1, 4, 6)},
		{"disk full in a snapshot", 2, 99, syscall.ENOSPC, "disk full", snapshot(2, 1)},
		{"failed sync of a checkpoint", 99, 3, syscall.EIO, "sync segment", snapshot(2, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _, err := Open(folder, Options{create: func(path string, flags int) (file, error) {
				f, err := os.OpenFile(path, flags, 0o600)
				return brokenFile{f, &c.writes, &c.syncs, c.err}, err
			}})
			if err != nil || l.Append(write(1, 1, 3)) != nil {
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

// FuzzReplay guards against a panic on arbitrary bytes and against a cut that
// is not stable: what was kept must read the same again.
func FuzzReplay(f *testing.F) {
	first, _ := encodeFrame(record{Sequence: 1, Disk: 1, Checkpoint: true})
	second, _ := encodeFrame(record{Sequence: 2, Changes: []change{{Entries: entries(1, 1, 2)}}})
	f.Add(append(bytes.Clone(first), second...))
	f.Add(append(bytes.Clone(first), second[:9]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, again := &Log{}, &Log{}
		good, err := l.replaySegment("x", data)
		if err != nil {
			return
		}
		if n, err := again.replaySegment("x", data[:good]); err != nil || n != good || !cmp.Equal(l.state, again.state, cmp.AllowUnexported(state{})) {
			t.Errorf("replay of %d bytes gave %d, %v", good, n, err)
		}
	})
}

// BenchmarkCommit measures group commits of 256-byte commands beside a bare
// write and sync of as many bytes in the same run.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			folder := b.TempDir()
			l, _, err := Open(folder, Options{})
			if err != nil {
				b.Fatal(err)
			}
			bare, _ := os.Create(filepath.Join(folder, "bare"))
			w := &consensus.Write{Entries: entries(1, 1, uint64(batch))}
			for i := range w.Entries {
				w.Entries[i].Data = make([]byte, 256)
			}
			frame, _ := encodeFrame(record{Changes: []change{{Entries: w.Entries}}})
			var commits, syncs []time.Duration
			var total time.Duration
			for b.Loop() {
				start := time.Now()
				_, _ = bare.Write(frame)
				_ = bare.Sync()
				middle := time.Now()
				if err := l.Append(w); err != nil { // replaces the same entries
					b.Fatal(err)
				}
				syncs, commits = append(syncs, middle.Sub(start)), append(commits, time.Since(middle))
				total += commits[len(commits)-1]
			}
			_, _ = bare.Close(), l.Close()
			b.ReportMetric(float64(batch)*float64(len(commits))/total.Seconds(), "commits/s")
			for name, times := range map[string][]time.Duration{"wal": commits, "bare": syncs} {
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-us")
			}
		})
	}
}
