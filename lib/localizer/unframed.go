package localizer

import "time"

const (
	// unframedRetention is how long after an answer without framing its endpoint must be found to have
	// crashed for the answer to count as broken off, and maxUnframed bounds these answers for each
	// endpoint, of some 150 bytes each.
	unframedRetention = 2 * time.Second
	maxUnframed       = 64
)

// unframedEnd is an answer without framing that has ended with its connection. Whether it is whole
// depends on whether its endpoint has survived it.
type unframedEnd struct {
	at, began time.Time
	profile   Profile
}

// EndedUnframed records that an answer without framing has ended with its connection, and when it began.
// It counts as an answer once its endpoint answers another request, and as broken off if the endpoint
// is found to have crashed.
func (o *Observer) EndedUnframed(now, began time.Time, lifetime Lifetime, profile Profile) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.unframed == nil {
		o.unframed = make(map[Lifetime][]unframedEnd)
	}
	ends := o.unframed[lifetime]
	if ends == nil && len(o.unframed) >= maxBroken {
		o.dropOldUnframed(now)
	}
	if len(ends) >= maxUnframed {
		ends = ends[1:]
	}
	o.unframed[lifetime] = append(ends, unframedEnd{at: now, began: began, profile: profile})
}

// dropOldUnframed drops the lifetimes whose answers without framing ended too long ago to be part of a
// crash, and all of them if there are none.
func (o *Observer) dropOldUnframed(now time.Time) {
	before := len(o.unframed)
	for lifetime, ends := range o.unframed {
		if now.Sub(ends[len(ends)-1].at) > unframedRetention {
			delete(o.unframed, lifetime)
		}
	}
	if len(o.unframed) == before {
		clear(o.unframed)
	}
}

// AnswerBegan records that an endpoint has begun to answer a request, so that it has survived what ended
// there before.
func (o *Observer) AnswerBegan(lifetime Lifetime) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ends, found := o.unframed[lifetime]
	if !found {
		return
	}
	delete(o.unframed, lifetime)
	for _, end := range ends {
		o.addAnswer(end.began, end.profile)
	}
}
