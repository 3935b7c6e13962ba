package recorder

import (
	"errors"
	"io/fs"
	"slices"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

// WriteSnapshot replaces the snapshot on disk atomically: a crash leaves the old or
// the new one. It may run concurrently with Record. With ErrFull the old snapshot
// remains. A snapshot that is not newer than the one on disk is not written,
// because the log may already have been reset to start after that one.
func (r *Recorder) WriteSnapshot(snapshot replicator.Snapshot) error {
	r.snapshotLock.Lock()
	defer r.snapshotLock.Unlock()
	if snapshot.Index <= r.snapshotIndex {
		return nil
	}
	body, err := proto.Marshal(replicator.SnapshotToWire(snapshot))
	if err != nil {
		return merry.Errorf("%w: %v; report this as a bug", ErrFailed, err)
	}
	if len(body) > MaxFrameBytes {
		return merry.Errorf("%w: a snapshot of %d bytes is too large; report this as a bug", ErrFailed, len(body))
	}
	if err := WriteAtomic(r.files, snapshotName, body); err != nil {
		return err
	}
	r.snapshotIndex = snapshot.Index
	return nil
}

// ReadSnapshot returns the snapshot on disk, or the zero Snapshot if there is none.
func (r *Recorder) ReadSnapshot() (replicator.Snapshot, error) {
	data, err := r.files.Read(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return replicator.Snapshot{}, nil
	}
	if err != nil {
		return replicator.Snapshot{}, merry.Errorf("%w: %v; check the disk", ErrUnusable, err)
	}
	body, _, err := readFrame(data, 0, 0, 0)
	if err != nil {
		return replicator.Snapshot{}, merry.Errorf("%w: file %s: %v; %s", ErrDamaged, snapshotName, err, remedyJoin)
	}
	var wire messenger.LogSnapshot
	if err := proto.Unmarshal(body, &wire); err != nil {
		return replicator.Snapshot{}, merry.Errorf("%w: file %s: %v; %s", ErrDamaged, snapshotName, err, remedyJoin)
	}
	return replicator.SnapshotFromWire(&wire), nil
}

// Compact removes the oldest segments whose entries are all covered by a durable
// snapshot at an index.
func (r *Recorder) Compact(index uint64) error {
	if r.failed != nil {
		return r.failed
	}
	removed := false
	for len(r.segments) > 1 && r.segments[0].maxIndex <= index {
		if err := r.files.Remove(r.segments[0].name()); err != nil {
			return r.fail(err)
		}
		r.segments = slices.Delete(r.segments, 0, 1)
		removed = true
	}
	if !removed {
		return nil
	}
	if err := r.files.Sync(); err != nil {
		return r.fail(err)
	}
	return nil
}

// ResetLog drops all entries and makes the log start after a snapshot that came from
// a leader and that WriteSnapshot has made durable.
func (r *Recorder) ResetLog(position replicator.Position) error {
	start := &messenger.LogStart{Index: position.Index, Term: position.Term}
	if err := r.write(&messenger.DiskRecord{Start: start}); err != nil {
		return err
	}
	r.last = position.Index
	open := r.openSegment()
	open.maxIndex = max(open.maxIndex, position.Index)
	return r.Compact(position.Index)
}
