package balancer

import (
	"slices"
	"time"
)

// doubt is how little is to be expected of an endpoint. An endpoint is chosen only where
// none with a lower doubt is left, whatever is running there.
//
// With one degree for all, a fault that all endpoints have, as when each fails part of
// what it runs, makes those that do not listen at all the cheapest: nothing runs there.
// Requests then wait for one dial after the other and are refused beside engines that
// would have answered half of them.
type doubt uint8

// The degrees of doubt.
const (
	none doubt = iota
	// failing endpoints answer, but badly or for want of room; one that a request tries
	// after its pause counts as such for others.
	failing
	// unheard ones are silent for the keepers, or in a zone that cannot be reached.
	unheard
	// closed ones let no connection be made.
	closed
)

// String names a degree in logs.
func (d doubt) String() string {
	return [...]string{"none", "failing", "unheard", "closed"}[d]
}

// doubt returns what is to be expected of an endpoint now.
func (b *Balancer) doubt(now time.Time, e *endpoint) doubt {
	paused := now.Before(e.until) || e.probing
	switch {
	case paused && e.closed:
		return closed
	case e.Silent, b.zones[e.Zone].cut(now):
		return unheard
	case paused:
		return failing
	}
	return none
}

// usualFactor is how many times what is usual in its service an endpoint may fail besides
// failShare. Shares of failures are measured over some ten answers, and differ by chance.
const usualFactor = 1.25

// faulty tells whether an endpoint fails more than its service does. A part that all of
// them fail, as with a model that is broken, takes none of them out: the rest would only
// get more of it.
func (b *Balancer) faulty(e *endpoint) bool {
	return e.failed > failShare && e.failed > failShare+usualFactor*b.usual(e)
}

// usual returns which share of their answers the endpoints beside one fail, as the median
// of those that can be reached; the lower of the two in the middle.
func (b *Balancer) usual(e *endpoint) float64 {
	var shares []float64
	for _, other := range b.some(e.Service) {
		if other != e && !other.closed {
			shares = append(shares, other.failed)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}
