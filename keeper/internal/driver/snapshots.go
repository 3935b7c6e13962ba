package driver

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

// Snapshot is a snapshot that waits to be written.
type Snapshot struct {
	disk     *recorder.Recorder
	snapshot replicator.Snapshot
}

// Write makes the snapshot durable. It may run beside the driver.
func (s *Snapshot) Write() error {
	return s.disk.WriteSnapshot(s.snapshot)
}

// TakeSnapshot returns a snapshot to write if one is due and none is being
// written. Its outcome must be passed to SnapshotWritten.
func (d *Driver) TakeSnapshot() (*Snapshot, error) {
	due := d.sinceFrames >= d.config.SnapshotEntries || d.sinceBytes >= d.config.SnapshotBytes
	if !due || d.taking || d.full {
		return nil, nil
	}
	term, known := d.node.TermAt(d.applied)
	if !known {
		return nil, merry.Errorf("%w: applied entry %d is not in the log; report this as a bug", replicator.ErrFault, d.applied)
	}
	state, err := d.state.Encode()
	if err != nil {
		return nil, err
	}
	d.taking = true
	d.sinceFrames, d.sinceBytes = 0, 0
	return &Snapshot{disk: d.disk, snapshot: replicator.Snapshot{
		Position: replicator.Position{Index: d.applied, Term: term},
		Group:    d.node.GroupAt(d.applied),
		State:    state,
	}}, nil
}

// SnapshotWritten says how writing a snapshot ended. An error means that the
// keeper must stop; a full disk is none, because the log is whole without it.
func (d *Driver) SnapshotWritten(written *Snapshot, err error) error {
	d.taking = false
	if errors.Is(err, recorder.ErrFull) {
		return nil
	}
	if err != nil {
		return err
	}
	if written.disk != d.disk {
		// The disk was full in between and the log was opened anew.
		return nil
	}
	d.counters.Snapshots++
	d.node.Compacted(written.snapshot.Position)
	return d.disk.Compact(written.snapshot.Index)
}

// fullPause is how often a full disk is looked at.
const fullPause = time.Second

// leave takes the keeper out of the group because its disk is full. To the
// others it is as if it had crashed: whatever was not durable is forgotten.
func (d *Driver) leave(now time.Time) {
	d.full = true
	d.looked = now
	for index := range d.waiting {
		d.settle(index, noResult, unknown())
	}
	d.changes.refuse(merry.Errorf("%w: the disk of this keeper is full; free space on it", replicator.ErrNotLeader))
}

// resume starts again from the disk once there is room on it.
func (d *Driver) resume(now time.Time) error {
	if now.Sub(d.looked) < fullPause {
		return nil
	}
	d.looked = now
	if err := d.disk.CheckSpace(); err != nil {
		if errors.Is(err, recorder.ErrFull) {
			return nil
		}
		return err
	}
	if err := d.disk.Close(); err != nil {
		return err
	}
	d.full = false
	return d.open(now)
}
