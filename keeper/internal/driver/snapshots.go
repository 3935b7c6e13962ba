package driver

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

// PendingSnapshot is a snapshot that has been taken and is not yet written.
type PendingSnapshot struct {
	disk     *recorder.Recorder // the disk as opened when the snapshot was taken
	snapshot replicator.Snapshot
}

// Write makes the snapshot durable. It may run concurrently with the driver.
func (s *PendingSnapshot) Write() error {
	return s.disk.WriteSnapshot(s.snapshot)
}

// TakeSnapshot returns a snapshot to write, or nil if none is needed yet or one
// is still being written. The result of Write must be passed to
// SnapshotWritten.
func (d *Driver) TakeSnapshot() (*PendingSnapshot, error) {
	due := d.entriesSinceSnapshot >= d.config.SnapshotEntries || d.bytesSinceSnapshot >= d.config.SnapshotBytes
	if !due || d.writingSnapshot || d.diskFull {
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
	d.writingSnapshot = true
	d.entriesSinceSnapshot, d.bytesSinceSnapshot = 0, 0
	return &PendingSnapshot{disk: d.disk, snapshot: replicator.Snapshot{
		Position: replicator.Position{Index: d.applied, Term: term},
		Group:    d.node.GroupAt(d.applied),
		State:    state,
	}}, nil
}

// SnapshotWritten takes the result of writing a snapshot and truncates the log.
// An error means that the keeper must stop. A full disk is no error, because the
// log is complete without the snapshot.
func (d *Driver) SnapshotWritten(written *PendingSnapshot, err error) error {
	d.writingSnapshot = false
	if errors.Is(err, recorder.ErrFull) {
		return nil
	}
	if err != nil {
		return err
	}
	if written.disk != d.disk {
		// The log was reopened in between, after the disk had been full.
		return nil
	}
	d.counters.Snapshots++
	d.node.Compacted(written.snapshot.Position)
	return d.disk.Compact(written.snapshot.Index)
}

// diskCheckInterval is the interval at which the space on a full disk is checked.
const diskCheckInterval = time.Second

// suspend stops the keeper's part in the group because its disk is full. To its
// peers it has crashed: everything that was not durable is discarded. It remains
// a member of the group.
func (d *Driver) suspend(now time.Time) {
	d.diskFull = true
	d.diskChecked = now
	for index := range d.waiting {
		d.answerWaiters(index, noResult, unknownError())
	}
	d.changes.refuseAll(merry.Errorf("%w: the disk of this keeper is full; free space on it", replicator.ErrNotLeader))
}

// resume reopens the driver from the disk once the disk has space again.
func (d *Driver) resume(now time.Time) error {
	if now.Sub(d.diskChecked) < diskCheckInterval {
		return nil
	}
	d.diskChecked = now
	if err := d.disk.CheckSpace(); err != nil {
		if errors.Is(err, recorder.ErrFull) {
			return nil
		}
		return err
	}
	if err := d.disk.Close(); err != nil {
		return err
	}
	d.diskFull = false
	return d.open(now)
}
