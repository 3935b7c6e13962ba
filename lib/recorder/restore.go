package recorder

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"slices"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

// loadIdentity reads the identity of the disk, or stores a new one in an empty
// folder. A folder without identity that still has a log or snapshot is damaged:
// under a new identity the replica would no longer be bound by the votes and
// acknowledgements that it gave under the old one.
func (r *Recorder) loadIdentity(newID func() replicator.ID) error {
	data, err := r.files.Read(identityName)
	if err == nil {
		body, _, err := readFrame(data, 0, 0, 0)
		if err != nil || len(body) != 8 {
			return merry.Errorf("%w: file %s; %s", ErrDamaged, identityName, remedyJoin)
		}
		r.identity = replicator.ID(binary.LittleEndian.Uint64(body))
		return nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return merry.Errorf("%w: %v; check the disk and the folder's owner", ErrUnusable, err)
	}
	names, err := r.files.List()
	if err != nil {
		return merry.Errorf("%w: %v; check the disk and the folder's owner", ErrUnusable, err)
	}
	for _, name := range names {
		if _, found := segmentNumber(name); found || name == snapshotName {
			return merry.Errorf("%w: file %s is missing beside %s; %s", ErrDamaged, identityName, name, remedyJoin)
		}
	}
	r.identity = newID()
	return WriteAtomic(r.files, identityName, binary.LittleEndian.AppendUint64(nil, uint64(r.identity)))
}

// restore reads the snapshot and the log segments.
func (r *Recorder) restore() (replicator.Restored, error) {
	var restored replicator.Restored
	snapshot, err := r.ReadSnapshot()
	if err != nil {
		return restored, err
	}
	restored.Snapshot = snapshot
	r.snapshotIndex = snapshot.Index
	names, err := r.files.List()
	if err != nil {
		return restored, merry.Errorf("%w: %v; check the disk", ErrUnusable, err)
	}
	replay := &replay{base: snapshot.Position, baseUnknown: true}
	for _, name := range names {
		if number, found := segmentNumber(name); found {
			r.segments = append(r.segments, segment{number: number})
		}
	}
	for i := range r.segments {
		if i > 0 && r.segments[i].number != r.segments[i-1].number+1 {
			return restored, merry.Errorf("%w: segment %d is missing; %s", ErrDamaged, r.segments[i].number-1, remedyJoin)
		}
		if err := r.readSegment(&r.segments[i], i == len(r.segments)-1, replay); err != nil {
			return restored, err
		}
	}
	entries, contiguous, err := replay.entriesAfter(snapshot.Position)
	if err != nil {
		return restored, err
	}
	restored.Entries = entries
	restored.Ballot = replay.ballot
	restored.Commit = replay.commit
	r.ballot = replay.ballot
	r.commit = replay.commit
	r.last = snapshot.Index
	if len(restored.Entries) > 0 {
		r.last = restored.Entries[len(restored.Entries)-1].Index
	}
	if err := r.openLastSegment(); err != nil || contiguous {
		return restored, err
	}
	return restored, r.ResetLog(snapshot.Position)
}

// openLastSegment opens the last segment for appending, without a torn frame at its
// end, or creates a segment if there is none with a complete frame.
func (r *Recorder) openLastSegment() error {
	if len(r.segments) == 0 || r.openSegment().frames == 0 {
		return r.replaceEmptySegment()
	}
	file, err := r.files.Append(r.openSegment().name())
	if err != nil {
		return merry.Errorf("%w: %v; check the disk", ErrUnusable, err)
	}
	r.file = file
	if err := file.Truncate(r.openSegment().size); err != nil {
		return r.fail(err)
	}
	if err := file.Sync(); err != nil {
		return r.fail(err)
	}
	return nil
}

// replaceEmptySegment creates a segment in place of the last one if that has no
// complete frame, because a crash interrupted its creation.
func (r *Recorder) replaceEmptySegment() error {
	if len(r.segments) > 0 {
		empty := r.openSegment().name()
		r.segments = r.segments[:len(r.segments)-1]
		if err := r.files.Remove(empty); err != nil {
			return r.fail(err)
		}
	}
	return r.roll()
}

// readSegment replays one segment. Only the last one may end with a torn frame.
func (r *Recorder) readSegment(part *segment, isLast bool, replay *replay) error {
	data, err := r.files.Read(part.name())
	if err != nil {
		return merry.Errorf("%w: %v; check the disk", ErrUnusable, err)
	}
	for int(part.size) < len(data) {
		rest := data[part.size:]
		body, size, err := readFrame(rest, int(part.size), part.number, part.frames)
		if errors.Is(err, errTorn) && isLast && !hasLaterFrame(rest, part.number, part.frames) {
			return nil
		}
		if err != nil {
			return merry.Errorf("%w: file %s at byte %d: %v; %s", ErrDamaged, part.name(), part.size, err, remedyJoin)
		}
		if err := replay.applyRecord(part, body); err != nil {
			return merry.Errorf("%w: file %s at byte %d: %v; %s", ErrDamaged, part.name(), part.size, err, remedyJoin)
		}
		part.size += int64(size)
		part.frames++
	}
	if part.frames == 0 && !isLast {
		return merry.Errorf("%w: file %s is empty; %s", ErrDamaged, part.name(), remedyJoin)
	}
	return nil
}

// replay rebuilds the log from the recorded batches.
type replay struct {
	ballot      replicator.Ballot
	commit      uint64
	base        replicator.Position // position before the first entry
	baseUnknown bool                // no entry or start of a log has been replayed
	entries     []replicator.Entry
}

var errGap = merry.Sentinel("entries are missing")

// applyRecord replays one batch of a segment.
func (p *replay) applyRecord(part *segment, body []byte) error {
	var record messenger.DiskRecord
	if err := proto.Unmarshal(body, &record); err != nil {
		return err
	}
	if record.GetBallot() != nil {
		p.ballot = ballotFromWire(record.GetBallot())
	}
	p.commit = max(p.commit, record.GetCommit())
	if start := record.GetStart(); start != nil {
		p.base = replicator.Position{Index: start.GetIndex(), Term: start.GetTerm()}
		p.baseUnknown = false
		p.entries = nil
		part.maxIndex = max(part.maxIndex, start.GetIndex())
	}
	for _, wire := range record.GetEntries() {
		entry := replicator.EntryFromWire(wire)
		if err := p.addEntry(entry); err != nil {
			return err
		}
		part.maxIndex = max(part.maxIndex, entry.Index)
	}
	return nil
}

// addEntry appends an entry, and drops existing entries from its index on. It
// returns errGap if the entry does not follow the log.
func (p *replay) addEntry(entry replicator.Entry) error {
	if p.baseUnknown {
		// Older segments have been removed. The term of their last entry is unknown
		// and not needed.
		p.base = replicator.Position{Index: entry.Index - 1}
		p.baseUnknown = false
	}
	next := p.base.Index + uint64(len(p.entries)) + 1
	switch {
	case entry.Index > next:
		return errGap
	case entry.Index <= p.base.Index:
		p.base = replicator.Position{Index: entry.Index - 1}
		p.entries = nil
	case entry.Index < next:
		p.entries = slices.Clip(p.entries[:entry.Index-p.base.Index-1])
	}
	p.entries = append(p.entries, entry)
	return nil
}

// entriesAfter returns the entries that follow the snapshot, and whether the log is
// contiguous with it. If the log ends before the snapshot, or has an entry of
// another term at its position, the snapshot came from a leader, and a crash
// occurred before ResetLog: the next entry would leave a gap in the log. A log that
// starts after the snapshot with a gap is an ErrDamaged.
func (p *replay) entriesAfter(snapshot replicator.Position) (entries []replicator.Entry, contiguous bool, err error) {
	last := p.base.Index + uint64(len(p.entries))
	switch {
	case p.baseUnknown:
		return nil, true, nil
	case last < snapshot.Index:
		return nil, false, nil
	case p.base.Index > snapshot.Index:
		return nil, false, merry.Errorf("%w: the log begins at entry %d and the snapshot ends at %d; %s",
			ErrDamaged, p.base.Index+1, snapshot.Index, remedyJoin)
	case p.base.Index == snapshot.Index:
		return p.entries, true, nil
	}
	at := snapshot.Index - p.base.Index
	if p.entries[at-1].Term != snapshot.Term {
		return nil, false, nil
	}
	if len(p.entries[at:]) == 0 {
		return nil, true, nil
	}
	return slices.Clip(p.entries[at:]), true, nil
}
