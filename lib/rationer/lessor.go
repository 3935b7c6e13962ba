package rationer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// offerTimeout is how long a part stays offered to a router that was selected for it and has not
// asked since. Routers ask at least twice a second.
const offerTimeout = 600 * time.Millisecond

// Candidate is a router that may get a part.
type Candidate struct {
	Name string
	// Demand is the demand of the router's clients, in any unit. A router without demand would
	// leave its part unused.
	Demand float64
}

// Lessor leases one keeper's parts. Its zero value starts to grant leases LeaseTerm after Start or,
// without Start, after the first call of Grant: until then leases of an earlier process of the
// keeper may still be in force. It is not safe for concurrent use.
type Lessor struct {
	started time.Time
	leases  map[uint64]lease
}

// lease is a part that a router holds until it expires, or that is offered to the router.
type lease struct {
	router  string
	offered time.Time
	expires time.Time
}

// Start records the time at which the keeper's process has started.
func (l *Lessor) Start(now time.Time) {
	l.started, l.leases = now, make(map[uint64]lease)
}

// Grant reports whether a router that asked at requestedAt gets or keeps this keeper's part of an
// endpoint, for LeaseTerm from then on. Candidates is called only if no router holds the part.
func (l *Lessor) Grant(now, requestedAt time.Time, endpoint uint64, router string, candidates func() []Candidate) bool {
	if l.started.IsZero() {
		l.Start(now)
	}
	if now.Sub(l.started) < LeaseTerm {
		return false
	}
	current := l.leases[endpoint]
	if !now.Before(current.expires) && now.Sub(current.offered) > offerTimeout {
		current = lease{router: choose(endpoint, candidates()), offered: now}
		l.leases[endpoint] = current
	}
	if current.router != router {
		return false
	}
	current.expires, current.offered = requestedAt.Add(LeaseTerm), now
	l.leases[endpoint] = current
	return true
}

// DropExpired drops the leases and offers that have expired.
func (l *Lessor) DropExpired(now time.Time) {
	for endpoint, current := range l.leases {
		if !now.Before(current.expires) && now.Sub(current.offered) > offerTimeout {
			delete(l.leases, endpoint)
		}
	}
}

// choose selects a router by weighted rendezvous hashing: each router is selected for a number of
// endpoints in proportion to its demand, so that a router with many leases has the requests to use
// them.
func choose(endpoint uint64, candidates []Candidate) string {
	best, bestScore := "", 0.0
	for _, c := range candidates {
		score := Score(max(c.Demand, math.SmallestNonzeroFloat32), digest(c.Name, endpoint))
		if best == "" || score > bestScore {
			best, bestScore = c.Name, score
		}
	}
	return best
}

// Score ranks candidates of different weights by rendezvous hashing: each candidate ranks first
// with a probability that is its part of the total weight. Hash covers the candidate and the
// assigned item.
func Score(weight float64, hash uint64) float64 {
	return weight / -math.Log(uniform(hash))
}

// uniform maps a hash to a number between 0 and 1.
func uniform(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// digest hashes a name and a number.
func digest(name string, number uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), number))
}

// Owns reports whether the named keeper owns one of the parts of an endpoint. Keepers are ranked by
// rendezvous hashing over their names; the first ones own a part each.
func Owns(name string, keepers []string, endpoint uint64, parts int) bool {
	own, before := uniform(digest(name, endpoint)), 0
	member := false
	for _, other := range keepers {
		if other == name {
			member = true
		} else if rank := uniform(digest(other, endpoint)); rank > own || rank == own && other < name {
			before++
		}
	}
	return member && before < parts
}
