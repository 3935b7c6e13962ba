package balancer

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/resolver"
)

// Evacuate sets the zones whose endpoints get no new work.
//
// Endpoints of a zone that is taken back may be cold, and say so a heartbeat later only:
// all routers that send to them at once crash them.
func (b *Balancer) Evacuate(now time.Time, zones []string) {
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
		if until := now.Add(b.colds[e.Service].Length); until.After(e.ColdUntil) {
			e.ColdUntil = until
		}
	}
}

// Evacuated returns how many zones get no new work.
func (b *Balancer) Evacuated() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.evacuated)
}

// Rationed returns how many endpoints are cold and bear few requests.
func (b *Balancer) Rationed(now time.Time) int {
	return b.count(func(e *endpoint) bool { return b.rationed(now, e) })
}

// count returns how many endpoints are of a kind.
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

// Cold sets what the endpoints of a service bear that are cold.
func (b *Balancer) Cold(service string, cold resolver.Cold) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.colds == nil {
		b.colds = make(map[string]resolver.Cold)
	}
	b.colds[service] = cold
}

// Ration is a lease of a part of what one cold endpoint bears.
type Ration struct {
	Endpoint uint64        // its key
	Pause    time.Duration // between two requests
	Term     time.Duration // from when the lease was asked for
}

// Take takes the leases that a keeper gives or renews that was asked at a time.
func (b *Balancer) Take(now, asked time.Time, keeper netip.AddrPort, rations []Ration) {
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
			e.leases.Take(now, asked, keeper, ration.Pause, ration.Term)
		}
	}
}

// open tells whether an endpoint is one that gets new work.
func (b *Balancer) open(e *endpoint) bool {
	return e.State == lister.Ready && !b.evacuated[e.Zone]
}

// willing tells whether an open endpoint wants requests of this router now.
func (b *Balancer) willing(now time.Time, e *endpoint) bool {
	return b.open(e) && !e.backsOff(now)
}

// takes tells whether an endpoint may get a request now.
func (b *Balancer) takes(now time.Time, e *endpoint) bool {
	return b.willing(now, e) && (!b.rationed(now, e) || e.leases.Ready(now))
}

// rationed tells whether an endpoint is cold and bears few requests.
func (b *Balancer) rationed(now time.Time, e *endpoint) bool {
	return e.Cold(now) && b.colds[e.Service].Rate > 0
}
