package newsreader

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// crashMemory is how long a crash that was seen here is reported. Polls come
// twice a second, and a keeper that is back within that time hears of it too.
const crashMemory = 30 * time.Second

// maxCrashes bounds the crashes that are reported, 12 bytes each on the way.
const maxCrashes = 1024

type crash struct {
	at    time.Time
	count uint32
}

func (r *Reader) takeQuarantine(fingerprints []*messenger.Fingerprint) {
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

// Quarantined tells whether a request has crashed endpoints and must not run.
func (r *Reader) Quarantined(digest uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	until, found := r.quarantined[digest]
	return found && r.options.Clock.Now().Before(until)
}

// Crashed notes that an endpoint's connection broke under a request.
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
	known.at = r.options.Clock.Now()
	known.count++
}
