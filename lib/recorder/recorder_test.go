package recorder_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

// newDiskID returns the identity of a new disk.
func newDiskID() replicator.ID { return 42 }

// open opens a recorder with small segments.
func open(files recorder.FileSystem) (*recorder.Recorder, replicator.Restored, error) {
	return recorder.Open(files, recorder.Limits{SegmentBytes: 400, ReserveBytes: 1}, newDiskID)
}

func mustOpen(t *testing.T, files recorder.FileSystem) (*recorder.Recorder, replicator.Restored) {
	t.Helper()
	r, restored, err := open(files)
	require.NoError(t, err)
	return r, restored
}

func entry(index, term uint64) replicator.Entry {
	return replicator.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", index, term))}
}

func entries(first, last, term uint64) []replicator.Entry {
	var made []replicator.Entry
	for index := first; index <= last; index++ {
		made = append(made, entry(index, term))
	}
	return made
}

func position(index, term uint64) replicator.Position {
	return replicator.Position{Index: index, Term: term}
}

func TestRestartFindsWhatWasRecorded(t *testing.T) {
	t.Parallel()
	snapshot := replicator.Snapshot{Position: position(30, 1), State: []byte("state")}
	tests := map[string]struct {
		record func(r *recorder.Recorder) error
		want   replicator.Restored
	}{
		"nothing": {
			record: func(*recorder.Recorder) error { return nil },
		},
		"a ballot": {
			record: func(r *recorder.Recorder) error {
				return r.Record(&replicator.Ballot{Term: 3, Vote: 9}, nil, 0)
			},
			want: replicator.Restored{Ballot: replicator.Ballot{Term: 3, Vote: 9}},
		},
		"entries over several segments": {
			record: func(r *recorder.Recorder) error { return recordEach(r, entries(1, 40, 1)) },
			want:   replicator.Restored{Entries: entries(1, 40, 1)},
		},
		"entries that replace others": {
			record: func(r *recorder.Recorder) error {
				return errors.Join(recordEach(r, entries(1, 40, 1)), r.Record(nil, entries(20, 22, 2), 7))
			},
			want: replicator.Restored{Entries: append(entries(1, 19, 1), entries(20, 22, 2)...), Commit: 7},
		},
		"a snapshot and the entries after it": {
			record: func(r *recorder.Recorder) error {
				return errors.Join(recordEach(r, entries(1, 40, 1)), r.WriteSnapshot(snapshot), r.Compact(30))
			},
			want: replicator.Restored{Snapshot: snapshot, Entries: entries(31, 40, 1)},
		},
		"a snapshot from a leader": {
			record: func(r *recorder.Recorder) error {
				return errors.Join(recordEach(r, entries(1, 10, 1)), r.WriteSnapshot(snapshot),
					r.ResetLog(snapshot.Position), recordEach(r, entries(31, 33, 2)))
			},
			want: replicator.Restored{Snapshot: snapshot, Entries: entries(31, 33, 2)},
		},
		"a snapshot from a leader that conflicts with the entries": {
			record: func(r *recorder.Recorder) error {
				other := replicator.Snapshot{Position: position(30, 2), State: []byte("state")}
				return errors.Join(recordEach(r, entries(1, 40, 1)), r.WriteSnapshot(other))
			},
			want: replicator.Restored{Snapshot: replicator.Snapshot{Position: position(30, 2), State: []byte("state")}},
		},
		"an older snapshot that was written late": {
			record: func(r *recorder.Recorder) error {
				older := replicator.Snapshot{Position: position(5, 1), State: []byte("late")}
				return errors.Join(r.WriteSnapshot(snapshot), r.ResetLog(snapshot.Position), r.WriteSnapshot(older))
			},
			want: replicator.Restored{Snapshot: snapshot},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			files := recorder.NewMemory()
			r, _ := mustOpen(t, files)
			require.NoError(t, test.record(r))
			files.Crash(rand.New(rand.NewPCG(1, 1)))
			r, restored := mustOpen(t, files)
			require.Equal(t, test.want, restored)
			require.EqualValues(t, 42, r.Identity())
			require.NoError(t, r.Record(nil, entries(41, 41, 2), 0))
		})
	}
}

// recordEach records each entry in a batch of its own.
func recordEach(r *recorder.Recorder, entries []replicator.Entry) error {
	for _, at := range entries {
		if err := r.Record(nil, []replicator.Entry{at}, 0); err != nil {
			return err
		}
	}
	return nil
}

// lastSegment returns the name and the size in bytes of the segment that is appended
// to.
func lastSegment(t *testing.T, files *recorder.Memory) (string, int) {
	t.Helper()
	names, err := files.List()
	require.NoError(t, err)
	last := ""
	for _, name := range names {
		if strings.HasPrefix(name, "log-") {
			last = name
		}
	}
	data, err := files.Read(last)
	require.NoError(t, err)
	return last, len(data)
}

// Guards against a keeper that does not start after a crash, because the process or
// the machine stopped while a batch was written and the file ends within it.
func TestTornTailIsCut(t *testing.T) {
	t.Parallel()
	files := recorder.NewMemory()
	r, _ := mustOpen(t, files)
	require.NoError(t, r.Record(nil, entries(1, 3, 1), 0))
	_, complete := lastSegment(t, files)
	require.NoError(t, r.Record(nil, entries(4, 5, 1), 0))
	name, full := lastSegment(t, files)
	data, err := files.Read(name)
	require.NoError(t, err)
	for size := complete; size < full; size++ {
		torn := copyOf(t, files)
		torn.Cut(name, size)
		r, restored := mustOpen(t, torn)
		require.Equal(t, entries(1, 3, 1), restored.Entries, "cut at %d", size)
		require.NoError(t, r.Record(nil, entries(4, 4, 2), 0))
		_, restored = mustOpen(t, torn)
		require.Equal(t, entry(4, 2), restored.Entries[3])
	}
	require.Len(t, data, full)
}

// copyOf returns a copy of a folder in which all files are synced.
func copyOf(t *testing.T, files *recorder.Memory) *recorder.Memory {
	t.Helper()
	clone := recorder.NewMemory()
	names, err := files.List()
	require.NoError(t, err)
	for _, name := range names {
		data, err := files.Read(name)
		require.NoError(t, err)
		file, err := clone.Create(name)
		require.NoError(t, err)
		_, err = file.Write(data)
		require.NoError(t, err)
		require.NoError(t, file.Sync())
	}
	require.NoError(t, clone.Sync())
	return clone
}

// Guards against the silent loss of accepted changes: a bit flips on disk, and the
// keeper mistakes the damage for a torn write at its start and truncates entries
// that it has acknowledged. One bit in each byte of every file is flipped,
// including the last batch, which no complete batch follows.
func TestFlippedBitIsAnError(t *testing.T) {
	t.Parallel()
	files := recorder.NewMemory()
	r, _ := mustOpen(t, files)
	require.NoError(t, recordEach(r, entries(1, 30, 1)))
	require.NoError(t, r.WriteSnapshot(replicator.Snapshot{Position: position(3, 1), State: []byte("state")}))
	names, err := files.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 4)
	for _, name := range names {
		data, err := files.Read(name)
		require.NoError(t, err)
		for at := range data {
			damaged := copyOf(t, files)
			damaged.FlipBit(name, at, uint8(at%8))
			_, _, err := open(damaged)
			require.ErrorIs(t, err, recorder.ErrDamaged, "%s at byte %d", name, at)
			require.ErrorContains(t, err, "set the data folder aside")
		}
	}
}

// Guards against the same loss when the disk loses a whole sector, which then reads
// as zeros, like one that was never written. The batch after it shows that it had
// been written.
func TestLostSectorIsAnError(t *testing.T) {
	t.Parallel()
	files := recorder.NewMemory()
	r, _ := mustOpen(t, files)
	require.NoError(t, r.Record(nil, entries(1, 1, 1), 0))
	name, from := lastSegment(t, files)
	require.NoError(t, r.Record(nil, entries(2, 2, 1), 0))
	_, to := lastSegment(t, files)
	require.NoError(t, r.Record(nil, entries(3, 3, 1), 0))
	data, err := files.Read(name)
	require.NoError(t, err)
	for at := from; at < to; at++ {
		for bit := range uint8(8) {
			if data[at]&(1<<bit) != 0 {
				files.FlipBit(name, at, bit)
			}
		}
	}
	_, _, err = open(files)
	require.ErrorIs(t, err, recorder.ErrDamaged)
}

func TestMissingFilesAreErrors(t *testing.T) {
	t.Parallel()
	tests := map[string]string{
		"the identity":         "identity",
		"a segment in between": "log-0000000000000002",
		"the first segment":    "log-0000000000000001",
	}
	for name, missing := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			files := recorder.NewMemory()
			r, _ := mustOpen(t, files)
			require.NoError(t, recordEach(r, entries(1, 30, 1)))
			require.NoError(t, files.Remove(missing))
			_, _, err := open(files)
			require.ErrorIs(t, err, recorder.ErrDamaged)
		})
	}
}

// Guards against the loss of accepted changes in a power failure: a sync fails, the
// keeper retries it, and the second sync succeeds because the operating system has
// dropped the dirty pages, so that the keeper acknowledges data that is not on disk.
func TestFailedSyncIsFinal(t *testing.T) {
	t.Parallel()
	files := recorder.NewMemory()
	r, _ := mustOpen(t, files)
	files.FailSyncs = true
	require.ErrorIs(t, r.Record(nil, entries(1, 1, 1), 0), recorder.ErrFailed)
	files.FailSyncs = false
	require.ErrorIs(t, r.Record(nil, entries(2, 2, 1), 0), recorder.ErrFailed)
	require.ErrorIs(t, r.Compact(1), recorder.ErrFailed)
}

// Guards against a keeper that does not restart after its disk was temporarily full:
// the disk fills up within a batch, a part of the batch remains in the log, and the
// next batch is written after it.
func TestFullDiskRefusesWholeBatches(t *testing.T) {
	t.Parallel()
	partial := 0
	for space := range 300 {
		files := recorder.NewMemory()
		r, _ := mustOpen(t, files)
		require.NoError(t, r.Record(nil, entries(1, 3, 1), 0))
		_, complete := lastSegment(t, files)
		identity, err := files.Read("identity")
		require.NoError(t, err)
		files.Capacity = int64(complete + len(identity) + space)
		err = r.Record(nil, entries(4, 9, 1), 0)
		if err == nil {
			continue
		}
		require.ErrorIs(t, err, recorder.ErrFull)
		require.ErrorContains(t, err, "free space")
		if strings.Contains(err.Error(), syscall.ENOSPC.Error()) {
			partial++
		}
		files.Capacity = 0
		require.NoError(t, r.Record(nil, entries(4, 4, 2), 0))
		_, restored := mustOpen(t, files)
		require.Equal(t, append(entries(1, 3, 1), entry(4, 2)), restored.Entries)
	}
	require.Positive(t, partial, "at least one batch must have been written partially")
}

// Guards against a keeper that does not start, or has lost acknowledged data, after
// it was killed at an arbitrary moment. In each of several runs the process is
// killed at a random step of recording, writing snapshots, installing a leader's
// snapshot, or removing segments, and a random part of the unsynced data is lost.
func TestKilledAtEveryStep(t *testing.T) {
	t.Parallel()
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 0))
		files := recorder.NewMemory()
		want := acknowledgement{}
		for run := range 6 {
			files.FailAfter = random.IntN(60)
			want.runUntilFault(files, random, run)
			files.Crash(random)
		}
		r, restored, err := open(files)
		require.NoError(t, err, "seed %d", seed)
		require.NoError(t, want.check(restored), "seed %d", seed)
		require.NoError(t, r.Close())
	}
}

// acknowledgement holds the term and the last entry that were acknowledged.
type acknowledgement struct {
	term uint64
	last replicator.Position
}

// runUntilFault records random batches and snapshots until the disk fails or some
// have been written.
func (p *acknowledgement) runUntilFault(files *recorder.Memory, random *rand.Rand, run int) {
	r, restored, err := open(files)
	if err != nil {
		return
	}
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	term := restored.Ballot.Term
	for range 30 {
		term++
		switch random.IntN(6) {
		case 0:
			if r.WriteSnapshot(replicator.Snapshot{Position: position(last, termOf(last, restored, p)), State: []byte("s")}) != nil {
				return
			}
			if r.Compact(last) != nil {
				return
			}
		case 1:
			last += 100
			installed := replicator.Snapshot{Position: position(last, term), State: []byte("e")}
			if r.WriteSnapshot(installed) != nil || r.ResetLog(installed.Position) != nil {
				return
			}
			p.last = installed.Position
		default:
			batch := entries(last+1, last+1+random.Uint64N(3), term)
			if r.Record(&replicator.Ballot{Term: term, Vote: replicator.ID(run)}, batch, 0) != nil {
				return
			}
			last = batch[len(batch)-1].Index
			p.term, p.last = term, position(last, term)
		}
	}
}

// termOf returns the term of the last entry, which a snapshot at its index must have.
func termOf(last uint64, restored replicator.Restored, p *acknowledgement) uint64 {
	if p.last.Index == last {
		return p.last.Term
	}
	if len(restored.Entries) > 0 {
		return restored.Entries[len(restored.Entries)-1].Term
	}
	return restored.Snapshot.Term
}

// check returns an error if acknowledged data is missing. Other data may be present,
// because a batch can become durable without being acknowledged.
func (p *acknowledgement) check(restored replicator.Restored) error {
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	if restored.Ballot.Term < p.term {
		return fmt.Errorf("term %d was acknowledged, but the restored term is %d", p.term, restored.Ballot.Term)
	}
	if last < p.last.Index {
		return fmt.Errorf("entry %d was acknowledged, but the last restored entry is %d", p.last.Index, last)
	}
	if at := p.last.Index; at > restored.Snapshot.Index {
		if got := restored.Entries[at-restored.Snapshot.Index-1]; got.Term != p.last.Term {
			return fmt.Errorf("entry %d was acknowledged in term %d, but was restored with term %d", at, p.last.Term, got.Term)
		}
	}
	return nil
}

// FuzzOpen guards against a log file whose content makes a keeper panic or start
// with gaps between the entries.
func FuzzOpen(f *testing.F) {
	files := recorder.NewMemory()
	r, _, err := open(files)
	require.NoError(f, err)
	require.NoError(f, r.Record(&replicator.Ballot{Term: 1}, entries(1, 3, 1), 0))
	data, err := files.Read("log-0000000000000001")
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-5])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		files := recorder.NewMemory()
		_, _, err := open(files)
		require.NoError(t, err)
		file, err := files.Create("log-0000000000000001")
		require.NoError(t, err)
		_, err = file.Write(data)
		require.NoError(t, err)
		_, restored, err := open(files)
		if err != nil {
			require.ErrorIs(t, err, recorder.ErrDamaged)
			return
		}
		for i, at := range restored.Entries {
			require.Equal(t, uint64(i+1), at.Index)
		}
	})
}

func TestFolderIsLocked(t *testing.T) {
	t.Parallel()
	path := t.TempDir()
	folder, err := recorder.OpenFolder(path)
	require.NoError(t, err)
	_, err = recorder.OpenFolder(path)
	require.ErrorIs(t, err, recorder.ErrUnusable)
	r, _ := mustOpen(t, folder)
	require.NoError(t, recordEach(r, entries(1, 30, 1)))
	require.NoError(t, r.WriteSnapshot(replicator.Snapshot{Position: position(20, 1), State: []byte("state")}))
	require.NoError(t, r.Compact(20))
	require.NoError(t, r.Close())
	require.NoError(t, folder.Close())
	folder, err = recorder.OpenFolder(path)
	require.NoError(t, err)
	_, restored := mustOpen(t, folder)
	require.Equal(t, entries(21, 30, 1), restored.Entries)
	require.NoError(t, folder.Close())
}
