package scheduler

import "time"

// Limits of the estimate of an endpoint's prefix cache.
const (
	prefixesPerGeneration = 1024
	// maxEventLag is the longest delay of an endpoint's cache events. An
	// eviction reported within this time after a dispatch of the same prefix
	// may have happened before the dispatch and is ignored.
	maxEventLag = 2 * time.Second
)

// Affinities are the amounts of an endpoint's load that a cached prefix
// outweighs. Own dispatches are trusted more than cache events, which are
// delayed and incomplete.
const (
	affinityDispatch = 0.25
	affinityEvent    = 0.15
)

// prefixes estimates which prompt prefixes an endpoint has cached. It keeps two
// generations and drops the older one when the younger one is full.
type prefixes struct {
	young map[uint64]time.Time // zero time: known only from a cache event
	old   map[uint64]time.Time
}

// add records a prefix as cached since a dispatch at this time, or, with the zero
// time, by a cache event.
func (p *prefixes) add(prefix uint64, at time.Time) {
	if prefix == 0 {
		return
	}
	if len(p.young) >= prefixesPerGeneration {
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

// noteCached processes a cache event that reports a prefix as cached.
func (p *prefixes) noteCached(prefix uint64) {
	if _, found := p.find(prefix); !found {
		p.add(prefix, time.Time{})
	}
}

// noteEvicted processes a cache event that reports a prefix as evicted.
func (p *prefixes) noteEvicted(now time.Time, prefix uint64) {
	if at, found := p.find(prefix); found && now.Sub(at) < maxEventLag {
		return
	}
	delete(p.young, prefix)
	delete(p.old, prefix)
}

// affinity returns the amount of load that the prefix outweighs, 0 if it is not
// known to be cached.
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
		return affinityDispatch
	}
}
