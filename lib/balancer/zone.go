package balancer

import "time"

const (
	// zoneWindow is the time within which connection failures at two endpoints of a zone make the
	// zone suspect.
	zoneWindow = 2 * time.Second
	// zonePause is how long a suspect zone is the last resort. One request per pause then probes
	// the zone.
	zonePause = time.Second
)

// zoneState tracks whether an availability zone can be reached.
//
// When a zone is cut off, each of its endpoints fails separately, and only after a dial timeout. A
// request that tries four of them in a row has waited for longer than its answer is worth; two
// failures are enough to suspect the zone.
type zoneState struct {
	lastEndpoint string    // id of the endpoint that last failed to connect
	lastFailure  time.Time // time of that failure
	suspectUntil time.Time // end of the time in which the zone is the last resort
}

// suspect reports whether the zone is the last resort now.
func (z zoneState) suspect(now time.Time) bool {
	return now.Before(z.suspectUntil)
}

// noteUnreachable records a failed connection attempt to an endpoint.
func (b *Balancer) noteUnreachable(now time.Time, e *endpoint) {
	if b.zones == nil {
		b.zones = make(map[string]zoneState)
	}
	z := b.zones[e.Zone]
	again := now.Sub(z.lastFailure) < zoneWindow
	if again && (z.lastEndpoint != e.ID || !z.suspectUntil.IsZero()) {
		z.suspectUntil = now.Add(zonePause)
	}
	z.lastEndpoint, z.lastFailure = e.ID, now
	b.zones[e.Zone] = z
}

// noteReachable records an answer of an endpoint, which clears its zone.
func (b *Balancer) noteReachable(e *endpoint) {
	if z, found := b.zones[e.Zone]; found && !z.suspectUntil.IsZero() {
		delete(b.zones, e.Zone)
	}
}
