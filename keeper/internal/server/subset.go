package server

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/lister"
)

const (
	// sampled is about how many endpoints of a service a router is told of elsewhere than in
	// its own zone, up to twice as many, where there are more.
	sampled = 128
	// narrowShare is the part of a bound under which a service's endpoints must fall before a
	// larger part of them is told again.
	narrowShare = 0.75
)

// subset decides of which endpoints a router is told: those of its own zone, and
// where a service has many a stable sample of the others, different for each router. With these
// it serves if its zone's are lost, evacuated or busy, without asking anybody first. Told of
// all, each router would hold the whole fleet, and each endpoint's start would be a message to
// every router.
//
// That an endpoint leaves or is gone is told of all of them, so that a router that knows one from
// before, or from another keeper, sends it nothing more. That one is silent is not: after a cut
// between zones it is said of most of them, and what a router knows besides its subset is little.
//
// Its zero value tells of all.
type subset struct {
	// shifts are, by service, how many times the sample is half of what it was: one in
	// 1<<shift is told of.
	shifts map[string]int
}

// count takes how many endpoints each service has, and returns the services of which routers
// are to be told a larger part.
func (s *subset) count(services map[string]int) (widened []string) {
	if s.shifts == nil {
		s.shifts = make(map[string]int)
	}
	for service, count := range services {
		wanted, present := shiftOf(count), s.shifts[service]
		if wanted < present && float64(count) > narrowShare*sampled*float64(int(1)<<present) {
			continue
		}
		if wanted < present {
			widened = append(widened, service)
		}
		s.shifts[service] = wanted
	}
	for service := range s.shifts {
		if _, found := services[service]; !found {
			delete(s.shifts, service)
		}
	}
	slices.Sort(widened)
	return widened
}

// shiftOf returns the shift of a service that has so many endpoints.
func shiftOf(count int) int {
	return max(bits.Len(uint(max(count, 0))/sampled)-1, 0)
}

// share is one router's subset.
type share struct {
	shifts map[string]int
	seed   uint64
	zone   string
}

// of returns the subset of a router.
func (s *subset) of(router, zone string) share {
	return share{shifts: s.shifts, seed: xxhash.Sum64String(router), zone: zone}
}

// has tells whether the router is told of an endpoint.
func (s share) has(l *lister.Listing) bool {
	shift := s.shifts[l.Service]
	if shift == 0 || l.Zone == s.zone {
		return true
	}
	var hash xxhash.Digest
	hash.ResetWithSeed(s.seed)
	hash.WriteString(l.ID) //nolint:errcheck // a hash takes all
	return hash.Sum64()>>(64-shift) == 0
}
