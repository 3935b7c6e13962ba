package server

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

const (
	// sampleSize is the minimum number of endpoints of a service in other zones that a router
	// receives, if there are so many. Samples have up to about twice this size.
	sampleSize = 128
	// homeSampleSize is likewise the size of the sample of a service that all routers receive.
	homeSampleSize = 1024
	// growThreshold is the fraction of the count at which a sample was halved below which a
	// service's endpoints must fall before the sample is doubled again. It prevents oscillation.
	growThreshold = 0.75
)

// subset decides which endpoints a router receives: all of its own zone and, if a service has many
// endpoints, two stable samples of those in other zones. The first sample differs between routers.
// With it a router can serve requests if the endpoints of its zone are lost, evacuated or busy,
// without asking a keeper first, and all routers together reach all endpoints. The second sample,
// the homes, is the same for all routers, so that they agree on the engines that prefill prompts
// with common parts. Without subsets each router would hold the whole fleet, and the start of each
// endpoint would be a message to every router.
//
// Endpoints that leave or are gone are sent to all routers regardless of the subset, so that a
// router that knows such an endpoint from before, or from another keeper, stops sending to it.
// Silence is sent for the subset only: after a partition between zones most endpoints are silent,
// and a router knows few endpoints outside its subset.
//
// The zero value includes all endpoints.
type subset struct {
	// shifts are the sizes of the samples by service.
	shifts map[string]shifts
}

// shifts are the sizes of a service's samples as binary logarithms: a sample has one endpoint in
// 1<<shift.
type shifts struct {
	own, homes int
}

// updateSizes adapts the sample sizes to the number of endpoints of each service, and returns the
// services whose samples have grown, in order of their names.
func (s *subset) updateSizes(services map[string]int) (widened []string) {
	if s.shifts == nil {
		s.shifts = make(map[string]shifts)
	}
	for service, count := range services {
		present := s.shifts[service]
		next := shifts{own: sampleShift(present.own, count, sampleSize), homes: sampleShift(present.homes, count, homeSampleSize)}
		if next.own < present.own || next.homes < present.homes {
			widened = append(widened, service)
		}
		s.shifts[service] = next
	}
	for service := range s.shifts {
		if _, found := services[service]; !found {
			delete(s.shifts, service)
		}
	}
	slices.Sort(widened)
	return widened
}

// sampleShift returns the shift for a sample of at least the given size out of count endpoints. The
// present shift decreases only if count falls below growThreshold.
func sampleShift(present, count, sample int) int {
	wanted := max(bits.Len(uint(max(count, 0)/sample))-1, 0)
	if wanted < present && float64(count) > growThreshold*float64(sample)*float64(int(1)<<present) {
		return present
	}
	return wanted
}

// homeSamples returns the samples that all routers receive, for a message. Services of which
// routers receive all endpoints have none.
func (s *subset) homeSamples() []*messenger.Sample {
	var homes []*messenger.Sample
	for service, shifts := range s.shifts {
		if shifts.own > 0 {
			homes = append(homes, &messenger.Sample{Service: service, Shift: uint32(shifts.homes)})
		}
	}
	return homes
}

// routerSubset is the subset of one router.
type routerSubset struct {
	shifts map[string]shifts
	seed   uint64 // hash of the router's name
	zone   string
}

// forRouter returns the subset of a router by its name and zone.
func (s *subset) forRouter(router, zone string) routerSubset {
	return routerSubset{shifts: s.shifts, seed: xxhash.Sum64String(router), zone: zone}
}

// includes reports whether the subset contains an endpoint.
func (s routerSubset) includes(l *lister.Listing) bool {
	shifts := s.shifts[l.Service]
	if shifts.own == 0 || l.Zone == s.zone || balancer.Sampled(xxhash.Sum64String(l.ID), shifts.homes) {
		return true
	}
	var hash xxhash.Digest
	hash.ResetWithSeed(s.seed)
	hash.WriteString(l.ID) //nolint:errcheck // a hash's WriteString never fails
	return balancer.Sampled(hash.Sum64(), shifts.own)
}
