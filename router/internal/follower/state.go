package follower

import (
	"time"

	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
)

// applyResult is the result of applying an answer.
type applyResult uint8

const (
	unchanged applyResult = iota
	newer                 // the answer's higher revision is in force now
	older                 // the answer's revision is lower than the revision in force
	gap                   // the answer is a difference from another revision than that in force
)

// state is the configuration in force, as a state machine without side effects. A
// revision in force is never replaced by a lower one.
type state struct {
	snapshot           describer.Snapshot
	quarantineRevision uint64 // revision of the quarantined fingerprints
	quarantined        map[uint64]time.Time
	stale              bool
	received           bool // an answer has been applied
	confirmed          bool // an answer of a keeper with a quorum has been applied
}

// apply applies the answer to a request for the changes after a revision. Answers with
// the result older or gap change nothing.
func (s *state) apply(now time.Time, after uint64, answer *messenger.WatchResponse) applyResult {
	if answer.GetRevision() < s.snapshot.Revision {
		return older
	}
	if !answer.GetFull() && answer.GetRevision() > s.snapshot.Revision && after != s.snapshot.Revision {
		return gap
	}
	s.received = true
	s.stale = answer.GetStale()
	s.confirmed = s.confirmed || !s.stale
	s.replaceQuarantine(now, answer)
	if answer.GetRevision() == s.snapshot.Revision {
		return unchanged
	}
	s.snapshot = s.nextSnapshot(answer)
	return newer
}

// nextSnapshot returns the snapshot with an answer's objects and deletions applied.
func (s *state) nextSnapshot(answer *messenger.WatchResponse) describer.Snapshot {
	next := s.snapshot.Clone()
	if answer.GetFull() || next.Objects == nil {
		next.Objects = make(map[describer.Key]describer.Object, len(answer.GetObjects()))
	}
	next.Revision = answer.GetRevision()
	for _, encoded := range answer.GetObjects() {
		object := configurer.ObjectFromWire(encoded)
		next.Objects[object.Key()] = object
	}
	for _, deletion := range answer.GetDeletions() {
		delete(next.Objects, describer.Key{Kind: describer.Kind(deletion.GetKind()), Name: deletion.GetName()})
	}
	return next
}

// replaceQuarantine replaces the quarantined fingerprints by an answer's, unless the
// answer's are of an earlier revision.
func (s *state) replaceQuarantine(now time.Time, answer *messenger.WatchResponse) {
	if answer.GetQuarantineRevision() < s.quarantineRevision {
		return
	}
	s.quarantineRevision = answer.GetQuarantineRevision()
	s.quarantined = make(map[uint64]time.Time, len(answer.GetQuarantined()))
	for _, f := range answer.GetQuarantined() {
		s.quarantined[f.GetDigest()] = now.Add(time.Duration(f.GetLeftMs()) * time.Millisecond)
	}
}

// encode returns the whole state, for a router that reaches no keeper. It is marked
// stale, because only a keeper can confirm that it is current.
func (s *state) encode(now time.Time) *messenger.WatchResponse {
	answer := &messenger.WatchResponse{
		Revision: s.snapshot.Revision, Full: true, Stale: true, QuarantineRevision: s.quarantineRevision,
	}
	for _, object := range s.snapshot.Objects {
		answer.Objects = append(answer.Objects, configurer.ObjectToWire(object))
	}
	for digest, until := range s.quarantined {
		if remaining := until.Sub(now); remaining > 0 {
			answer.Quarantined = append(answer.Quarantined, &messenger.Fingerprint{
				Digest: digest, LeftMs: uint32(remaining.Milliseconds()),
			})
		}
	}
	return answer
}
