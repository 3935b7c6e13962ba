package proxier

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retrySpan is the minimum time for which a refusal is remembered. Clients retry within a
	// third of their timeout, which is some seconds.
	retrySpan = 5 * time.Second
	// maxRememberedRefusals limits the refusals remembered per span, 50 bytes each. It is
	// enough for a flood of 2,500 requests per second.
	maxRememberedRefusals = 16 << 10
)

// retryTracker remembers requests that were refused here, to distinguish retries from new requests.
//
// A client that is refused retries the same request once, under another id, and platforms send it
// to the same router. The answer to a retry may already be late where that to a new request
// is not. If a workspace asks for more than can be served, serving retries causes
// new requests to be refused in their place, which are retried in turn, until nearly all answers
// are late although the engines are not. The zero value remembers nothing.
type retryTracker struct {
	mutex             sync.Mutex
	spanStart         time.Time
	current, previous map[uint64]time.Time // time of the first arrival of refused requests, in two spans
}

// remember records that a request, which first arrived at the given time, was refused.
func (r *retryTracker) remember(now time.Time, key uint64, first time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	if len(r.current) < maxRememberedRefusals {
		r.current[key] = first
	}
}

// firstReceived returns when a request first arrived, now if it was not refused before.
func (r *retryTracker) firstReceived(now time.Time, key uint64) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	if at, found := r.current[key]; found {
		return at
	}
	if at, found := r.previous[key]; found {
		return at
	}
	return now
}

func (r *retryTracker) rotate(now time.Time) {
	if r.current != nil && now.Sub(r.spanStart) < retrySpan {
		return
	}
	r.spanStart, r.previous, r.current = now, r.current, make(map[uint64]time.Time)
}

// retryKeyOf identifies a request across retries under other ids, by what is known before its
// body is read. Only prompts can be identified, by their parts; the key of any
// other request is 0.
func retryKeyOf(q *request) uint64 {
	work := &q.in.Work
	if len(work.Parts) == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	writeText(&digest, q.http.Host, q.target, q.in.Key, work.Model)
	writeCount(&digest, uint64(work.Prompt), uint64(work.Output))
	for _, part := range work.Parts {
		writeCount(&digest, part.ID)
	}
	return digest.Sum64()
}
