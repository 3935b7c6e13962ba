// Package recorder stores a replica's log, ballot and snapshot in files.
//
// The data folder holds the identity of the disk, the segments of the log and one
// snapshot. A batch is durable when Record returns without error, and takes one
// sync.
//
// Invariants:
//   - nothing is acknowledged before it has been synced;
//   - a failed sync is final: the content of the disk is then unknown, and the
//     operating system may report the next sync as successful although it dropped
//     the data, so the recorder refuses all further writes and the process must
//     stop;
//   - a write that a crash interrupted at the end of the log is truncated at the
//     next start; damage anywhere else is an error that names the file and the
//     remedy, because without the damaged part the replica would lose entries and
//     votes that it has acknowledged;
//   - on a full disk a batch is refused completely and leaves the log unchanged.
package recorder

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

// The kinds of error that a Recorder returns.
var (
	// ErrUnusable means that the data folder cannot be used at all.
	ErrUnusable = merry.Sentinel("data folder is not usable")
	// ErrDamaged means that synced data has changed on disk.
	ErrDamaged = merry.Sentinel("data folder is damaged")
	// ErrFull means that the disk has not enough free space. Nothing was recorded.
	ErrFull = merry.Sentinel("disk is full")
	// ErrFailed means that a write or sync failed. The process must stop.
	ErrFailed = merry.Sentinel("disk failed")
)

// remedyJoin is the remedy that errors name for a damaged data folder.
const remedyJoin = "set the data folder aside and start the keeper with an empty one; it joins as a new member"

// Limits bound the sizes of the files. Zero values mean the defaults.
type Limits struct {
	// SegmentBytes is the size of a segment from which the next write starts a new
	// one.
	SegmentBytes int64
	// ReserveBytes is the free space that log writes must leave, so that a snapshot
	// can still be written and old segments can then be removed.
	ReserveBytes uint64
}

// Defaults of Limits.
const (
	DefaultSegmentBytes = 8 << 20
	DefaultReserveBytes = 64 << 20
)

const (
	identityName   = "identity"
	snapshotName   = "snapshot"
	segmentPrefix  = "log-"
	segmentPattern = segmentPrefix + "%016d"
)

// Recorder owns a data folder. It is not safe for concurrent use, except for
// WriteSnapshot and ReadSnapshot.
type Recorder struct {
	files    FileSystem
	limits   Limits
	identity replicator.ID
	segments []segment // in order of number; the last is open
	file     File      // the open segment
	ballot   replicator.Ballot
	last     uint64 // index of the last entry
	commit   uint64 // highest index recorded as committed
	failed   error  // the final error, if a write or sync has failed
	buffer   []byte // reused by write

	snapshotLock  sync.Mutex // held while the snapshot file is replaced
	snapshotIndex uint64     // index of the snapshot on disk
}

// segment describes one file of the log.
type segment struct {
	number   uint64
	maxIndex uint64 // the highest index that was ever written to it
	size     int64
	frames   uint32
}

func (s segment) name() string {
	return fmt.Sprintf(segmentPattern, s.number)
}

// Open reads the data folder and returns the state that it holds. For an empty
// folder it stores a new identity, which it gets from newID.
func Open(files FileSystem, limits Limits, newID func() replicator.ID) (*Recorder, replicator.Restored, error) {
	if limits.SegmentBytes == 0 {
		limits.SegmentBytes = DefaultSegmentBytes
	}
	if limits.ReserveBytes == 0 {
		limits.ReserveBytes = DefaultReserveBytes
	}
	r := &Recorder{files: files, limits: limits}
	if err := r.loadIdentity(newID); err != nil {
		return nil, replicator.Restored{}, err
	}
	restored, err := r.restore()
	if err != nil {
		return nil, replicator.Restored{}, err
	}
	return r, restored, nil
}

// Identity returns the identity of the disk.
func (r *Recorder) Identity() replicator.ID {
	return r.identity
}

// Commit returns the highest index that has been recorded as committed.
func (r *Recorder) Commit() uint64 {
	return r.commit
}

// Bytes returns the size of the log on disk in bytes.
func (r *Recorder) Bytes() int64 {
	total := int64(0)
	for _, part := range r.segments {
		total += part.size
	}
	return total
}

// Record makes a batch durable: the ballot, unless it is nil, the entries, and the
// commit index. An entry at an existing index replaces that entry and all later
// ones. With ErrFull nothing was recorded and the recorder remains usable; every
// other error is final.
func (r *Recorder) Record(ballot *replicator.Ballot, entries []replicator.Entry, commit uint64) error {
	record := &messenger.DiskRecord{Commit: commit}
	if ballot != nil {
		record.Ballot = ballotToWire(*ballot)
	}
	for _, entry := range entries {
		record.Entries = append(record.Entries, replicator.EntryToWire(entry))
	}
	if err := r.write(record); err != nil {
		return err
	}
	r.commit = max(r.commit, commit)
	if ballot != nil {
		r.ballot = *ballot
	}
	if len(entries) > 0 {
		r.last = entries[len(entries)-1].Index
		open := r.openSegment()
		open.maxIndex = max(open.maxIndex, r.last)
	}
	return nil
}

// openSegment returns the segment that is appended to.
func (r *Recorder) openSegment() *segment {
	return &r.segments[len(r.segments)-1]
}

// write appends one frame and syncs it.
func (r *Recorder) write(record *messenger.DiskRecord) error {
	if r.failed != nil {
		return r.failed
	}
	body, err := proto.Marshal(record)
	if err != nil {
		return r.fail(err)
	}
	if err := r.checkSpace(len(body)); err != nil {
		return err
	}
	if r.openSegment().size >= r.limits.SegmentBytes {
		if err := r.roll(); err != nil {
			return err
		}
	}
	open := r.openSegment()
	r.buffer = appendFrame(r.buffer[:0], open.number, open.frames, body)
	if _, err := r.file.Write(r.buffer); err != nil {
		return r.truncateFailedWrite(err)
	}
	if err := r.file.Sync(); err != nil {
		return r.fail(err)
	}
	open.size += int64(len(r.buffer))
	open.frames++
	if cap(r.buffer) > maxKeptBuffer {
		r.buffer = nil
	}
	return nil
}

// maxKeptBuffer is the maximum size of the buffer that is kept between writes, in
// bytes.
const maxKeptBuffer = 1 << 20

// checkSpace returns ErrFull if a batch of that size would leave less free space
// than the reserve for a snapshot.
func (r *Recorder) checkSpace(size int) error {
	free, err := r.files.Free()
	if err != nil {
		return r.fail(err)
	}
	if free < r.limits.ReserveBytes+uint64(size) {
		return merry.Errorf("%w: %d bytes are free and %d are kept in reserve; free space on the disk of the data folder",
			ErrFull, free, r.limits.ReserveBytes)
	}
	return nil
}

// truncateFailedWrite removes the bytes that a failed write may have left, so that
// the next batch follows the last complete one, and returns ErrFull. If that fails
// as well, the content of the disk is unknown and the error is final.
func (r *Recorder) truncateFailedWrite(cause error) error {
	if err := r.file.Truncate(r.openSegment().size); err != nil {
		return r.fail(err)
	}
	if err := r.file.Sync(); err != nil {
		return r.fail(err)
	}
	return merry.Errorf("%w: %v; free space on the disk of the data folder", ErrFull, cause)
}

// fail makes an error final and returns it as ErrFailed.
func (r *Recorder) fail(cause error) error {
	r.failed = merry.Errorf("%w: %v; replace the disk, or start the keeper again to find out what is on it", ErrFailed, cause)
	return r.failed
}

// roll starts a new segment. Its first frame holds the ballot, so that older
// segments can be removed.
func (r *Recorder) roll() error {
	number := uint64(1)
	if len(r.segments) > 0 {
		number = r.openSegment().number + 1
	}
	created := segment{number: number}
	file, err := r.files.Create(created.name())
	if err != nil {
		return r.fail(err)
	}
	body, err := proto.Marshal(&messenger.DiskRecord{Ballot: ballotToWire(r.ballot)})
	if err != nil {
		return r.fail(err)
	}
	frame := appendFrame(nil, number, 0, body)
	if _, err := file.Write(frame); err != nil {
		return r.removeFailedSegment(created, file, err)
	}
	if err := file.Sync(); err != nil {
		return r.fail(err)
	}
	if err := r.files.Sync(); err != nil {
		return r.fail(err)
	}
	if r.file != nil {
		if err := r.file.Close(); err != nil {
			return r.fail(err)
		}
	}
	r.file = file
	created.size = int64(len(frame))
	created.frames = 1
	r.segments = append(r.segments, created)
	return nil
}

// removeFailedSegment removes a segment whose first frame could not be written, and
// returns ErrFull.
func (r *Recorder) removeFailedSegment(created segment, file File, cause error) error {
	if err := errors.Join(file.Close(), r.files.Remove(created.name()), r.files.Sync()); err != nil {
		return r.fail(err)
	}
	return merry.Errorf("%w: %v; free space on the disk of the data folder", ErrFull, cause)
}

// CheckSpace returns an error if a batch of typical size cannot be recorded now.
func (r *Recorder) CheckSpace() error {
	if r.failed != nil {
		return r.failed
	}
	return r.checkSpace(typicalBatchBytes)
}

// typicalBatchBytes is the size of a batch for which CheckSpace requires space.
const typicalBatchBytes = 1 << 20

// Close closes the open segment. Recorded data is durable even without it.
func (r *Recorder) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

func ballotToWire(ballot replicator.Ballot) *messenger.Ballot {
	return &messenger.Ballot{Term: ballot.Term, Vote: uint64(ballot.Vote)}
}

func ballotFromWire(wire *messenger.Ballot) replicator.Ballot {
	return replicator.Ballot{Term: wire.GetTerm(), Vote: replicator.ID(wire.GetVote())}
}

// segmentNumber returns the number of the segment with that file name, and false
// for other files.
func segmentNumber(name string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, segmentPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}
