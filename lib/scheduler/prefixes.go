package scheduler

import "time"

// Limits of what is remembered of an endpoint's prefix cache.
const (
	prefixGeneration = 1024
	// eventLag is how late an endpoint's cache events may be. An eviction told
	// sooner than that after a dispatch of the same prefix is from before it.
	eventLag = 2 * time.Second
)

// Affinities: how much of an endpoint's load a cached prefix outweighs. Own
// dispatches are trusted more than events, which are late and have gaps.
const (
	affinityOwn   = 0.25
	affinityEvent = 0.15
)

// prefixes guesses which prompt prefixes an endpoint has cached. It keeps two
// generations and forgets the older one when the younger is full.
type prefixes struct {
	young map[uint64]time.Time // zero time: known from an event only
	old   map[uint64]time.Time
}

func (p *prefixes) put(prefix uint64, at time.Time) {
	if prefix == 0 {
		return
	}
	if len(p.young) >= prefixGeneration {
		p.old, p.young = p.young, nil
	}
	if p.young == nil {
		p.young = make(map[uint64]time.Time)
	}
	p.young[prefix] = at
}

func (p *prefixes) find(prefix uint64) (at time.Time, found bool) {
	if at, found = p.young[prefix]; found {
		return at, true
	}
	at, found = p.old[prefix]
	return at, found
}

func (p *prefixes) cached(prefix uint64) {
	if _, found := p.find(prefix); !found {
		p.put(prefix, time.Time{})
	}
}

func (p *prefixes) evicted(now time.Time, prefix uint64) {
	if at, found := p.find(prefix); found && now.Sub(at) < eventLag {
		return
	}
	delete(p.young, prefix)
	delete(p.old, prefix)
}

func (p *prefixes) affinity(prefix uint64) float64 {
	if prefix == 0 {
		return 0
	}
	at, found := p.find(prefix)
	switch {
	case !found:
		return 0
	case at.IsZero():
		return affinityEvent
	default:
		return affinityOwn
	}
}
