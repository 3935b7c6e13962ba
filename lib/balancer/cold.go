package balancer

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/resolver"
)

// SetEvacuatedZones sets the zones whose endpoints get no new requests.
//
// Endpoints of a zone that returns to service may be cold, and announce it only with their next
// heartbeat: if all routers sent to them at once, the endpoints would crash. They count as cold for
// the length set for their service.
func (b *Balancer) SetEvacuatedZones(now time.Time, zones []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.evacuated
	b.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		b.evacuated[zone] = true
	}
	for _, e := range b.byID {
		if !before[e.Zone] || b.evacuated[e.Zone] {
			continue
		}
		if until := now.Add(b.coldLimits[e.Service].Length); until.After(e.ColdUntil) {
			e.ColdUntil = until
		}
	}
}

// CountEvacuatedZones returns the number of zones that get no new requests.
func (b *Balancer) CountEvacuatedZones() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.evacuated)
}

// CountRationed returns the number of cold endpoints with a limited request rate.
func (b *Balancer) CountRationed(now time.Time) int {
	return b.count(func(e *endpoint) bool { return b.isRationed(now, e) })
}

// count returns the number of endpoints that match the predicate.
func (b *Balancer) count(kind func(e *endpoint) bool) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, e := range b.byID {
		if kind(e) {
			count++
		}
	}
	return count
}

// SetColdLimit sets the request rate that a cold endpoint of a service sustains.
func (b *Balancer) SetColdLimit(service string, cold resolver.Cold) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.coldLimits == nil {
		b.coldLimits = make(map[string]resolver.Cold)
	}
	b.coldLimits[service] = cold
}

// Ration is a lease for a part of the request rate of one cold endpoint.
type Ration struct {
	Endpoint uint64        // the endpoint's Key
	Pause    time.Duration // minimum interval between two requests
	Term     time.Duration // duration of the lease, from when it was requested
}

// TakeLeases applies the leases that a keeper grants or renews in its answer to a request sent at
// requestedAt.
func (b *Balancer) TakeLeases(now, requestedAt time.Time, keeper netip.AddrPort, rations []Ration) {
	if len(rations) == 0 {
		return
	}
	byKey := make(map[uint64]Ration, len(rations))
	for _, ration := range rations {
		byKey[ration.Endpoint] = ration
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.byID {
		if ration, found := byKey[e.key]; found {
			e.leases.RecordGrant(now, requestedAt, keeper, ration.Pause, ration.Term)
		}
	}
}

// isEligible reports whether an endpoint is ready and its zone is not evacuated.
func (b *Balancer) isEligible(e *endpoint) bool {
	return e.State == lister.Ready && !b.evacuated[e.Zone]
}

// isWilling reports whether an endpoint is eligible and not in backoff for this router.
func (b *Balancer) isWilling(now time.Time, e *endpoint) bool {
	return b.isEligible(e) && !e.inBackoff(now)
}

// isAvailable reports whether an endpoint may get a request now.
func (b *Balancer) isAvailable(now time.Time, e *endpoint) bool {
	return b.isWilling(now, e) && (!b.isRationed(now, e) || e.leases.Ready(now))
}

// isRationed reports whether an endpoint is cold and its request rate limited.
func (b *Balancer) isRationed(now time.Time, e *endpoint) bool {
	return e.Cold(now) && b.coldLimits[e.Service].Rate > 0
}
