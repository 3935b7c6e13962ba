// Package recorder keeps a replica's log, ballot and snapshots in files.
//
// The data folder holds the identity of the disk, log segments and one
// snapshot. Everything that a caller handed to Record is durable when Record
// returns, and one sync serves the whole batch.
//
// Invariants:
//   - nothing is acknowledged before it has been synced;
//   - a failed sync is final: what is on disk is then unknown, and the operating
//     system may report the next sync as good although it dropped the data, so
//     the recorder refuses everything afterwards and the process must stop;
//   - a write that a crash cut off is cut away at the next start; damage
//     anywhere else is an error that names the file and the remedy, because
//     going on without the damaged part would break promises that were made;
//   - a full disk refuses a batch as a whole and leaves the log as it was.
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

// The kinds of error of a Recorder.
var (
	// ErrUnusable means that the data folder cannot be used at all.
	ErrUnusable = merry.Sentinel("data folder is not usable")
	// ErrDamaged means that synced data has changed on disk.
	ErrDamaged = merry.Sentinel("data folder is damaged")
	// ErrFull means that the disk has no room. Nothing was recorded.
	ErrFull = merry.Sentinel("disk is full")
	// ErrFailed means that a write or sync failed. The process must stop.
	ErrFailed = merry.Sentinel("disk failed")
)

const remedyJoin = "set the data folder aside and start the keeper with an empty one; it joins as a new member"

// Limits of the files. Zero values mean the defaults.
type Limits struct {
	// SegmentBytes is the size from which a new segment is begun.
	SegmentBytes int64
	// ReserveBytes must stay free, so that a snapshot can still be written that
	// lets old segments go.
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
	segments []segment // rising; the last is open
	file     File
	ballot   replicator.Ballot
	last     uint64
	commit   uint64
	failed   error
	buffer   []byte

	snapshots   sync.Mutex // held while the snapshot file is replaced
	snapshotted uint64     // the index of the snapshot on disk
}

// segment is one file of the log.
type segment struct {
	number  uint64
	highest uint64 // the highest index that was ever written to it
	size    int64
	frames  uint32
}

func (s segment) name() string {
	return fmt.Sprintf(segmentPattern, s.number)
}

// Open reads the data folder. In an empty one it makes a new identity by
// calling mint.
func Open(files FileSystem, limits Limits, mint func() replicator.ID) (*Recorder, replicator.Restored, error) {
	if limits.SegmentBytes == 0 {
		limits.SegmentBytes = DefaultSegmentBytes
	}
	if limits.ReserveBytes == 0 {
		limits.ReserveBytes = DefaultReserveBytes
	}
	r := &Recorder{files: files, limits: limits}
	if err := r.identify(mint); err != nil {
		return nil, replicator.Restored{}, err
	}
	restored, err := r.restore()
	if err != nil {
		return nil, replicator.Restored{}, err
	}
	return r, restored, nil
}

// Identity names the disk.
func (r *Recorder) Identity() replicator.ID {
	return r.identity
}

// Commit returns the highest index that is on disk as known to be committed.
func (r *Recorder) Commit() uint64 {
	return r.commit
}

// Bytes returns the size of the log on disk.
func (r *Recorder) Bytes() int64 {
	total := int64(0)
	for _, part := range r.segments {
		total += part.size
	}
	return total
}

// Record makes a batch durable: the ballot, if it changed, entries, each of
// which replaces what stands at its index and behind it, and the index known to
// be committed. With ErrFull nothing was recorded and the recorder can still be
// used; every other error is final.
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
		open := r.open()
		open.highest = max(open.highest, r.last)
	}
	return nil
}

func (r *Recorder) open() *segment {
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
	if err := r.room(len(body)); err != nil {
		return err
	}
	if r.open().size >= r.limits.SegmentBytes {
		if err := r.roll(); err != nil {
			return err
		}
	}
	open := r.open()
	r.buffer = appendFrame(r.buffer[:0], open.number, open.frames, body)
	if _, err := r.file.Write(r.buffer); err != nil {
		return r.undo(err)
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

// maxKeptBuffer bounds the memory that is kept between writes.
const maxKeptBuffer = 1 << 20

// room refuses a batch while there is still enough room for a snapshot.
func (r *Recorder) room(size int) error {
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

// undo cuts off what a failed write may have left, so that the next batch
// follows the last good one. If that fails as well, what is on disk is unknown.
func (r *Recorder) undo(cause error) error {
	if err := r.file.Truncate(r.open().size); err != nil {
		return r.fail(err)
	}
	if err := r.file.Sync(); err != nil {
		return r.fail(err)
	}
	return merry.Errorf("%w: %v; free space on the disk of the data folder", ErrFull, cause)
}

func (r *Recorder) fail(cause error) error {
	r.failed = merry.Errorf("%w: %v; replace the disk, or start the keeper again to find out what is on it", ErrFailed, cause)
	return r.failed
}

// roll begins a new segment. It starts with the ballot, so that older segments
// can be removed.
func (r *Recorder) roll() error {
	number := uint64(1)
	if len(r.segments) > 0 {
		number = r.open().number + 1
	}
	begun := segment{number: number}
	file, err := r.files.Create(begun.name())
	if err != nil {
		return r.fail(err)
	}
	body, err := proto.Marshal(&messenger.DiskRecord{Ballot: ballotToWire(r.ballot)})
	if err != nil {
		return r.fail(err)
	}
	frame := appendFrame(nil, number, 0, body)
	if _, err := file.Write(frame); err != nil {
		return r.undoRoll(begun, file, err)
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
	begun.size = int64(len(frame))
	begun.frames = 1
	r.segments = append(r.segments, begun)
	return nil
}

// undoRoll takes back a segment that could not be begun.
func (r *Recorder) undoRoll(begun segment, file File, cause error) error {
	if err := errors.Join(file.Close(), r.files.Remove(begun.name()), r.files.Sync()); err != nil {
		return r.fail(err)
	}
	return merry.Errorf("%w: %v; free space on the disk of the data folder", ErrFull, cause)
}

// Room tells whether batches of ordinary size can be recorded.
func (r *Recorder) Room() error {
	if r.failed != nil {
		return r.failed
	}
	return r.room(ordinaryBatch)
}

const ordinaryBatch = 1 << 20

// Close closes the open segment. Nothing is lost without it.
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

func segmentNumber(name string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, segmentPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}
