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
	// sampled is about how many endpoints of a service a router is told of elsewhere than in
	// its own zone, up to twice as many, where there are more.
	sampled = 128
	// homed is likewise how many endpoints of a service all routers are told of.
	homed = 1024
	// narrowShare is the part of a bound under which a service's endpoints must fall before a
	// larger part of them is told again.
	narrowShare = 0.75
)

// subset decides of which endpoints a router is told: those of its own zone, and where a service
// has many two stable samples of the others. One is different for each router. With it the router
// serves if its zone's are lost, evacuated or busy, without asking anybody first, and all routers
// together reach all endpoints. The other is the same for all, so that they agree where prompts
// with the same parts are read. Told of all, each router would hold the whole fleet, and each
// endpoint's start would be a message to every router.
//
// That an endpoint leaves or is gone is told of all of them, so that a router that knows one from
// before, or from another keeper, sends it nothing more. That one is silent is not: after a cut
// between zones it is said of most of them, and what a router knows besides its subset is little.
//
// Its zero value tells of all.
type subset struct {
	// shifts are, by service, how many times the samples are half of what they were.
	shifts map[string]shifts
}

// shifts are the sizes of a service's samples: one endpoint in 1<<shift.
type shifts struct {
	own, homes int
}

// count takes how many endpoints each service has, and returns the services of which routers
// are to be told a larger part.
func (s *subset) count(services map[string]int) (widened []string) {
	if s.shifts == nil {
		s.shifts = make(map[string]shifts)
	}
	for service, count := range services {
		present := s.shifts[service]
		next := shifts{own: shiftOf(present.own, count, sampled), homes: shiftOf(present.homes, count, homed)}
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

// shiftOf returns the shift for a sample of so many of a service's endpoints. It falls only when
// the service has become clearly smaller.
func shiftOf(present, count, sample int) int {
	wanted := max(bits.Len(uint(max(count, 0)/sample))-1, 0)
	if wanted < present && float64(count) > narrowShare*float64(sample)*float64(int(1)<<present) {
		return present
	}
	return wanted
}

// homes returns the samples that all routers are told of, for a message.
func (s *subset) homes() []*messenger.Sample {
	var homes []*messenger.Sample
	for service, shifts := range s.shifts {
		if shifts.own > 0 {
			homes = append(homes, &messenger.Sample{Service: service, Shift: uint32(shifts.homes)})
		}
	}
	return homes
}

// share is one router's subset.
type share struct {
	shifts map[string]shifts
	seed   uint64
	zone   string
}

// of returns the subset of a router.
func (s *subset) of(router, zone string) share {
	return share{shifts: s.shifts, seed: xxhash.Sum64String(router), zone: zone}
}

// has tells whether the router is told of an endpoint.
func (s share) has(l *lister.Listing) bool {
	shifts := s.shifts[l.Service]
	if shifts.own == 0 || l.Zone == s.zone || balancer.Sampled(xxhash.Sum64String(l.ID), shifts.homes) {
		return true
	}
	var hash xxhash.Digest
	hash.ResetWithSeed(s.seed)
	hash.WriteString(l.ID) //nolint:errcheck // a hash takes all
	return balancer.Sampled(hash.Sum64(), shifts.own)
}
