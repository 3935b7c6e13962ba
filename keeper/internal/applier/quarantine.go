package applier

import (
	"cmp"
	"slices"
	"time"

	"shallotkeel.example/lib/messenger"
)

// Bounds of the quarantine.
const (
	// MaxQuarantined is the maximum number of fingerprints. Beyond it, the one that
	// expires first is evicted.
	MaxQuarantined = 1024
	// MaxQuarantine is the longest time for which a fingerprint is quarantined.
	MaxQuarantine = 24 * time.Hour
)

// quarantine holds the fingerprints of requests that crash endpoints.
type quarantine struct {
	expires  map[uint64]time.Duration // by digest, on the replicated clock
	revision uint64                   // rises with each fingerprint that is added or removed
}

// add adds fingerprints, and removes those with no time left. The expiry of a present fingerprint
// never moves earlier otherwise.
func (q *quarantine) add(now time.Duration, fingerprints []*messenger.Fingerprint) {
	q.expire(now)
	if q.expires == nil {
		q.expires = make(map[uint64]time.Duration)
	}
	for _, fingerprint := range fingerprints {
		q.revision++
		if fingerprint.GetLeftMs() == 0 {
			delete(q.expires, fingerprint.GetDigest())
			continue
		}
		remaining := min(time.Duration(fingerprint.GetLeftMs())*time.Millisecond, MaxQuarantine)
		q.expires[fingerprint.GetDigest()] = max(q.expires[fingerprint.GetDigest()], now+remaining)
	}
	for len(q.expires) > MaxQuarantined {
		delete(q.expires, q.firstToExpire())
	}
}

func (q *quarantine) expire(now time.Duration) {
	for digest, at := range q.expires {
		if at <= now {
			delete(q.expires, digest)
		}
	}
}

// digestsByExpiry lists the digests in the order in which they expire.
func (q *quarantine) digestsByExpiry() []uint64 {
	digests := make([]uint64, 0, len(q.expires))
	for digest := range q.expires {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(q.expires[a], q.expires[b]), cmp.Compare(a, b))
	})
	return digests
}

func (q *quarantine) firstToExpire() uint64 {
	return q.digestsByExpiry()[0]
}

func (q *quarantine) encode() []*messenger.QuarantineState {
	var states []*messenger.QuarantineState
	for _, digest := range q.digestsByExpiry() {
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

// Quarantined lists the fingerprints in quarantine at a time of the replicated
// clock, with the time that remains to each, and the revision of the list.
func (s *State) Quarantined(now time.Duration) ([]*messenger.Fingerprint, uint64) {
	var quarantined []*messenger.Fingerprint
	for _, digest := range s.quarantine.digestsByExpiry() {
		if remaining := s.quarantine.expires[digest] - now; remaining > 0 {
			quarantined = append(quarantined, &messenger.Fingerprint{Digest: digest, LeftMs: uint32(remaining / time.Millisecond)})
		}
	}
	return quarantined, s.quarantine.revision
}

// QuarantineRevision returns the revision of the quarantine, which rises with each
// fingerprint that is added.
func (s *State) QuarantineRevision() uint64 {
	return s.quarantine.revision
}
