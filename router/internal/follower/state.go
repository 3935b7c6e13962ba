package follower

import (
	"time"

	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
)

// verdict is what an answer brought.
type verdict uint8

const (
	unchanged verdict = iota
	newer             // the configuration has a higher revision now
	older             // the answer's revision is lower than the one in force
	gap               // a difference from another revision than the one in force
)

// state is the configuration in force, as a pure machine. A revision that was
// in force is never replaced by a lower one.
type state struct {
	snapshot    describer.Snapshot
	quarantine  uint64 // revision of the fingerprints
	quarantined map[uint64]time.Time
	stale       bool
	known       bool // some answer has come
}

// apply takes an answer to a request for what came after a revision.
func (s *state) apply(now time.Time, after uint64, answer *messenger.WatchResponse) verdict {
	if answer.GetRevision() < s.snapshot.Revision {
		return older
	}
	if !answer.GetFull() && answer.GetRevision() > s.snapshot.Revision && after != s.snapshot.Revision {
		return gap
	}
	s.known = true
	s.stale = answer.GetStale()
	s.takeQuarantine(now, answer)
	if answer.GetRevision() == s.snapshot.Revision {
		return unchanged
	}
	s.snapshot = s.next(answer)
	return newer
}

func (s *state) next(answer *messenger.WatchResponse) describer.Snapshot {
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

func (s *state) takeQuarantine(now time.Time, answer *messenger.WatchResponse) {
	if answer.GetQuarantineRevision() < s.quarantine {
		return
	}
	s.quarantine = answer.GetQuarantineRevision()
	s.quarantined = make(map[uint64]time.Time, len(answer.GetQuarantined()))
	for _, f := range answer.GetQuarantined() {
		s.quarantined[f.GetDigest()] = now.Add(time.Duration(f.GetLeftMs()) * time.Millisecond)
	}
}

// encode gives everything to a router that reaches no keeper.
func (s *state) encode(now time.Time) *messenger.WatchResponse {
	answer := &messenger.WatchResponse{
		Revision: s.snapshot.Revision, Full: true, Stale: true, QuarantineRevision: s.quarantine,
	}
	for _, object := range s.snapshot.Objects {
		answer.Objects = append(answer.Objects, configurer.ObjectToWire(object))
	}
	for digest, until := range s.quarantined {
		if left := until.Sub(now); left > 0 {
			answer.Quarantined = append(answer.Quarantined, &messenger.Fingerprint{
				Digest: digest, LeftMs: uint32(left.Milliseconds()),
			})
		}
	}
	return answer
}
