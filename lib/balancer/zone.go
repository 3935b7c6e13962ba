package balancer

import "time"

const (
	// zoneWindow is within which two endpoints of a zone that cannot be reached make
	// the zone suspect.
	zoneWindow = 2 * time.Second
	// zonePause is how long a suspect zone is the last choice. One request a pause
	// then finds out whether it is back.
	zonePause = time.Second
)

// zone is what is believed of the way to an availability zone.
//
// When a zone is cut off, each of its endpoints fails by itself only after a
// dial's timeout. A request that tries four of them in a row has waited for longer
// than its answer is worth; two are enough to know.
type zone struct {
	last  string    // the endpoint that could not be reached last
	at    time.Time // and when
	until time.Time // it is the last choice
}

// cut tells whether the zone is to be avoided.
func (z zone) cut(now time.Time) bool {
	return now.Before(z.until)
}

// unreached notes that an endpoint could not be reached.
func (b *Balancer) unreached(now time.Time, e *endpoint) {
	if b.zones == nil {
		b.zones = make(map[string]zone)
	}
	z := b.zones[e.Zone]
	again := now.Sub(z.at) < zoneWindow
	if again && (z.last != e.ID || !z.until.IsZero()) {
		z.until = now.Add(zonePause)
	}
	z.last, z.at = e.ID, now
	b.zones[e.Zone] = z
}

// reached notes that an endpoint answered.
func (b *Balancer) reached(e *endpoint) {
	if z, found := b.zones[e.Zone]; found && !z.until.IsZero() {
		delete(b.zones, e.Zone)
	}
}
