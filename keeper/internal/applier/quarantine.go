package applier

import (
	"cmp"
	"slices"
	"time"

	"shallotkeel.example/lib/messenger"
)

// Bounds of the quarantine.
const (
	// MaxQuarantined is the most fingerprints; the one that ends first makes room.
	MaxQuarantined = 1024
	// MaxQuarantine is the longest time that a fingerprint is kept.
	MaxQuarantine = 24 * time.Hour
)

// quarantine holds the fingerprints of requests that crash endpoints.
type quarantine struct {
	expires  map[uint64]time.Duration // on the replicated clock
	revision uint64                   // rises whenever a fingerprint is added
}

// add takes fingerprints in. One that is there already stays at least as long.
func (q *quarantine) add(now time.Duration, fingerprints []*messenger.Fingerprint) {
	q.expire(now)
	if q.expires == nil {
		q.expires = make(map[uint64]time.Duration)
	}
	for _, fingerprint := range fingerprints {
		left := min(time.Duration(fingerprint.GetLeftMs())*time.Millisecond, MaxQuarantine)
		q.expires[fingerprint.GetDigest()] = max(q.expires[fingerprint.GetDigest()], now+left)
		q.revision++
	}
	for len(q.expires) > MaxQuarantined {
		delete(q.expires, q.first())
	}
}

func (q *quarantine) expire(now time.Duration) {
	for digest, at := range q.expires {
		if at <= now {
			delete(q.expires, digest)
		}
	}
}

// digests lists the fingerprints, first to end first.
func (q *quarantine) digests() []uint64 {
	digests := make([]uint64, 0, len(q.expires))
	for digest := range q.expires {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(q.expires[a], q.expires[b]), cmp.Compare(a, b))
	})
	return digests
}

func (q *quarantine) first() uint64 {
	return q.digests()[0]
}

func (q *quarantine) encode() []*messenger.QuarantineState {
	var states []*messenger.QuarantineState
	for _, digest := range q.digests() {
		states = append(states, &messenger.QuarantineState{
			Digest: digest, ExpiresMs: uint64(q.expires[digest] / time.Millisecond),
		})
	}
	return states
}

func (q *quarantine) decode(states []*messenger.QuarantineState, revision uint64) {
	q.revision = revision
	q.expires = make(map[uint64]time.Duration, len(states))
	for _, state := range states {
		q.expires[state.GetDigest()] = time.Duration(state.GetExpiresMs()) * time.Millisecond
	}
}

// Quarantined lists the fingerprints that are still in quarantine at a time of
// the replicated clock, and the revision of the list.
func (s *State) Quarantined(now time.Duration) ([]*messenger.Fingerprint, uint64) {
	var left []*messenger.Fingerprint
	for _, digest := range s.quarantine.digests() {
		if rest := s.quarantine.expires[digest] - now; rest > 0 {
			left = append(left, &messenger.Fingerprint{Digest: digest, LeftMs: uint32(rest / time.Millisecond)})
		}
	}
	return left, s.quarantine.revision
}

// QuarantineRevision rises whenever a fingerprint is added.
func (s *State) QuarantineRevision() uint64 {
	return s.quarantine.revision
}
