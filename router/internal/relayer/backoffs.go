package relayer

import (
	"net/http"
	"sync"
	"time"

	"shallotkeel.example/lib/retrier"
)

// leavingBackoff is the backoff of an endpoint that is leaving. It is longer than such an endpoint
// can still be running.
const leavingBackoff = 24 * time.Hour

// maxBackoffs limits the recorded endpoints, at about 100 bytes each. The backoff of a further
// endpoint is known only to its pool's scheduler.
const maxBackoffs = 4096

// backoffs records the endpoints that have asked this router for a backoff. The schedulers of their
// pools are notified as well, but a pool may change its scheduler, and a grant may be in flight when
// the scheduler is notified. The zero value is empty and usable.
type backoffs struct {
	mutex         sync.Mutex
	byIncarnation map[endpointIncarnation]backoff
}

// backoff is the time until which an endpoint gets no requests.
type backoff struct {
	until   time.Time
	leaving bool // the reason is that the endpoint is leaving
}

// endpointIncarnation is one incarnation of an endpoint.
type endpointIncarnation struct {
	id          string
	incarnation uint64
}

// incarnationOf returns the incarnation of a slot's endpoint.
func incarnationOf(slot Slot) endpointIncarnation {
	return endpointIncarnation{id: slot.Endpoint(), incarnation: slot.Incarnation()}
}

// record records the backoff that an endpoint has asked for. A shorter backoff does not replace a
// longer one.
func (b *backoffs) record(now time.Time, slot Slot, asked backoff) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.byIncarnation == nil {
		b.byIncarnation = make(map[endpointIncarnation]backoff)
	}
	if len(b.byIncarnation) >= maxBackoffs {
		b.removeExpired(now)
	}
	key := incarnationOf(slot)
	if known, found := b.byIncarnation[key]; found && known.until.After(asked.until) || !found && len(b.byIncarnation) >= maxBackoffs {
		return
	}
	b.byIncarnation[key] = asked
}

// remaining returns the remaining backoff of a slot's endpoint, 0 if it has none, and whether the
// reason is that the endpoint is leaving.
func (b *backoffs) remaining(now time.Time, slot Slot) (remaining time.Duration, leaving bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.byIncarnation[incarnationOf(slot)]
	return max(known.until.Sub(now), 0), known.leaving
}

// removeExpired removes the backoffs that have ended. The mutex must be held.
func (b *backoffs) removeExpired(now time.Time) {
	for key, known := range b.byIncarnation {
		if !now.Before(known.until) {
			delete(b.byIncarnation, key)
		}
	}
}

// noteBackoff records the backoff or the leaving that the headers of an endpoint's answer announce.
func (r *Relayer) noteBackoff(q *request, response *http.Response) {
	now := r.options.Clock.Now()
	if response.Header.Get(headerLeaving) != "" {
		q.attempt.leaving = true
		r.backoffs.record(now, q.slot, backoff{until: now.Add(leavingBackoff), leaving: true})
		r.note(q, "leaving", q.slot.Endpoint(), "the endpoint says that it leaves")
	}
	after := response.Header.Get(headerRetryAfter)
	if after == "" || response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	asked, err := retrier.ParseRetryAfter(after)
	if err != nil {
		r.options.Log.Warn().Err(err).Str("id", q.id).Str("endpoint", q.slot.Endpoint()).Msg("header of the endpoint's answer is unreadable; it is ignored")
		return
	}
	q.attempt.backoff = asked
	r.backoffs.record(now, q.slot, backoff{until: now.Add(asked)})
	r.note(q, "backoff", asked.String(), "the endpoint wants no requests of this router for so long")
}
