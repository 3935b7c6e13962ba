package balancer

import (
	"slices"
	"time"
)

// healthPenalty ranks an endpoint by its recent failures. An endpoint is chosen only if no endpoint
// with a lower penalty is available, whatever its load.
//
// With a single level, a fault that all endpoints share, such as each failing a part of its
// requests, would make endpoints that accept no connections the cheapest, because nothing runs
// there. Requests would then wait for one dial after another and be refused, although other engines
// would answer half of them.
type healthPenalty uint8

// The levels of the health penalty.
const (
	penaltyNone healthPenalty = iota
	// penaltyFailing is for endpoints that answer, but with errors or refusals for lack of capacity,
	// and for an endpoint that a probe is running on.
	penaltyFailing
	// penaltySilent is for endpoints whose heartbeats do not reach the keepers, and for endpoints
	// in a zone that cannot be reached.
	penaltySilent
	// penaltyUnconnectable is for endpoints that accept no connection.
	penaltyUnconnectable
)

// String returns the name of the level in log lines.
func (d healthPenalty) String() string {
	return [...]string{"none", "failing", "unheard", "closed"}[d]
}

// healthPenalty returns the current penalty of an endpoint.
func (b *Balancer) healthPenalty(now time.Time, e *endpoint) healthPenalty {
	paused := now.Before(e.pausedUntil) || e.probing
	switch {
	case paused && e.connectFailed:
		return penaltyUnconnectable
	case e.Silent, b.zones[e.Zone].suspect(now):
		return penaltySilent
	case paused:
		return penaltyFailing
	}
	return penaltyNone
}

// usualFailureFactor is the multiple of the failure share usual in its service that an endpoint may
// reach, in addition to excessFailureShare. Failure shares cover some ten answers, and differ by
// chance.
const usualFailureFactor = 1.25

// failsMoreThanUsual reports whether an endpoint's failure share exceeds that of its service. A
// failure share that all endpoints have in common, as with a broken model, pauses none of them: the
// remaining endpoints would only get more load.
func (b *Balancer) failsMoreThanUsual(e *endpoint) bool {
	return e.failureShare > excessFailureShare && e.failureShare > excessFailureShare+usualFailureFactor*b.usualFailureShare(e)
}

// usualFailureShare returns the median failure share of the other reachable endpoints of the
// service; the lower of the two middle values if their number is even.
func (b *Balancer) usualFailureShare(e *endpoint) float64 {
	var shares []float64
	for _, other := range b.sample(e.Service) {
		if other != e && !other.connectFailed {
			shares = append(shares, other.failureShare)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}
