package relayer

import (
	"net/http"
	"sync"
	"time"

	"shallotkeel.example/lib/retrier"
)

// maxRests bounds the endpoints that are remembered, at some 100 bytes each. Of one beyond
// it only its pool's scheduler knows.
const maxRests = 4096

// rests remembers until when endpoints have asked this router for rest. Their pools'
// schedulers are told as well, but each of them may change, and grants are on their way
// meanwhile. Its zero value remembers none.
type rests struct {
	mutex sync.Mutex
	ends  map[life]time.Time
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
func (r *rests) ask(now time.Time, slot Slot, length time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ends == nil {
		r.ends = make(map[life]time.Time)
	}
	if len(r.ends) >= maxRests {
		r.forget(now)
	}
	end, of := now.Add(length), lifeOf(slot)
	if known, found := r.ends[of]; found && known.After(end) || !found && len(r.ends) >= maxRests {
		return
	}
	r.ends[of] = end
}

// left returns for how long the endpoint of a slot still wants no requests, 0 if it does.
func (r *rests) left(now time.Time, slot Slot) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(r.ends[lifeOf(slot)].Sub(now), 0)
}

func (r *rests) forget(now time.Time) {
	for of, end := range r.ends {
		if !now.Before(end) {
			delete(r.ends, of)
		}
	}
}

// hear takes what an endpoint says of itself.
func (r *Relayer) hear(q *request, response *http.Response) {
	after := response.Header.Get(headerRetryAfter)
	if after == "" || response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	rest, err := retrier.After(after)
	if err != nil {
		r.options.Log.Warn().Err(err).Str("id", q.id).Str("endpoint", q.slot.Endpoint()).Msg("a header of the endpoint's answer counts as not said")
		return
	}
	q.spent.rest = rest
	r.rests.ask(r.options.Clock.Now(), q.slot, rest)
	r.note(q, "rest", rest.String(), "the endpoint wants no requests of this router for so long")
}
