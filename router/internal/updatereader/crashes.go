package updatereader

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// crashRetention is how long a crash seen by this router is reported. Polls are sent twice a second,
// and a keeper that returns within that time gets the report too.
const crashRetention = 30 * time.Second

// maxCrashes bounds the crashes that are reported, 12 bytes each on the wire.
const maxCrashes = 1024

// crash counts the endpoint connections that broke while a request with the same digest was running.
type crash struct {
	lastSeen time.Time
	count    uint32
}

// updateQuarantine records quarantined requests from an update, and removes expired ones.
func (r *Reader) updateQuarantine(fingerprints []*messenger.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	now := r.options.Clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		r.quarantined[fingerprint.GetDigest()] = now.Add(time.Duration(fingerprint.GetLeftMs()) * time.Millisecond)
	}
	for digest, until := range r.quarantined {
		if now.After(until) {
			delete(r.quarantined, digest)
		}
	}
}

// Quarantined reports whether a request must not run because it has crashed endpoints.
func (r *Reader) Quarantined(digest uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	until, found := r.quarantined[digest]
	return found && r.options.Clock.Now().Before(until)
}

// Crashed records that the connection to an endpoint broke while it ran a request.
func (r *Reader) Crashed(digest uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.crashes[digest]
	if !found {
		if len(r.crashes) >= maxCrashes {
			return
		}
		known = &crash{}
		r.crashes[digest] = known
	}
	known.lastSeen = r.options.Clock.Now()
	known.count++
}
