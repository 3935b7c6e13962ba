package relayer

import (
	"net/http"
	"sync"
	"time"

	"shallotkeel.example/lib/retrier"
)

// leavingBackoff is how long it is remembered that an endpoint leaves: longer than it can
// still be there.
const leavingBackoff = 24 * time.Hour

// maxBackoffs bounds the endpoints that are remembered, at some 100 bytes each. Of one beyond
// it only its pool's scheduler knows.
const maxBackoffs = 4096

// backoffs remembers until when endpoints want no requests of this router. Their pools'
// schedulers are told as well, but each of them may change, and grants are on their way
// meanwhile. Its zero value remembers none.
type backoffs struct {
	mutex sync.Mutex
	ends  map[life]backoff
}

// backoff is until when an endpoint wants no requests.
type backoff struct {
	end     time.Time
	leaving bool // it has said that it leaves
}

// life is one incarnation of an endpoint.
type life struct {
	id          string
	incarnation uint64
}

func lifeOf(slot Slot) life {
	return life{id: slot.Endpoint(), incarnation: slot.Incarnation()}
}

// ask takes an endpoint's wish. A shorter one does not end a longer one.
func (r *backoffs) ask(now time.Time, slot Slot, wish backoff) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ends == nil {
		r.ends = make(map[life]backoff)
	}
	if len(r.ends) >= maxBackoffs {
		r.forget(now)
	}
	of := lifeOf(slot)
	if known, found := r.ends[of]; found && known.end.After(wish.end) || !found && len(r.ends) >= maxBackoffs {
		return
	}
	r.ends[of] = wish
}

// left returns for how long the endpoint of a slot still wants no requests, 0 if it takes
// some, and whether that is because it leaves.
func (r *backoffs) left(now time.Time, slot Slot) (left time.Duration, leaving bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.ends[lifeOf(slot)]
	return max(known.end.Sub(now), 0), known.leaving
}

func (r *backoffs) forget(now time.Time) {
	for of, known := range r.ends {
		if !now.Before(known.end) {
			delete(r.ends, of)
		}
	}
}

// noteSaid takes what an endpoint says of itself.
func (r *Relayer) noteSaid(q *request, response *http.Response) {
	now := r.options.Clock.Now()
	if response.Header.Get(headerLeaving) != "" {
		q.spent.leaving = true
		r.backoffs.ask(now, q.slot, backoff{end: now.Add(leavingBackoff), leaving: true})
		r.note(q, "leaving", q.slot.Endpoint(), "the endpoint says that it leaves")
	}
	after := response.Header.Get(headerRetryAfter)
	if after == "" || response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	wish, err := retrier.After(after)
	if err != nil {
		r.options.Log.Warn().Err(err).Str("id", q.id).Str("endpoint", q.slot.Endpoint()).Msg("a header of the endpoint's answer counts as not said")
		return
	}
	q.spent.backoff = wish
	r.backoffs.ask(now, q.slot, backoff{end: now.Add(wish)})
	r.note(q, "backoff", wish.String(), "the endpoint wants no requests of this router for so long")
}
