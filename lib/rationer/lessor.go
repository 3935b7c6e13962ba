package rationer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// offerTime is how long a router is waited for that was chosen for a part and has not asked
// since. Routers ask twice a second or more.
const offerTime = 600 * time.Millisecond

// Candidate is a router that may get a part.
type Candidate struct {
	Name string
	// Asked is what its clients ask for, in any unit: who asks for nothing leaves its
	// part unused.
	Asked float64
}

// Lessor leases one keeper's parts. Its zero value leases from Term after Begin, or else after
// it is first asked: until then leases may be out that a former process of the keeper has
// given. It is not safe for concurrent use.
type Lessor struct {
	began  time.Time
	leases map[uint64]lease
}

// lease is a part that a router has until a time, or has been chosen for.
type lease struct {
	router string
	chosen time.Time
	until  time.Time
}

// Begin notes when the keeper's process has started.
func (l *Lessor) Begin(now time.Time) {
	l.began, l.leases = now, make(map[uint64]lease)
}

// Grant tells whether a router that asked at a time gets this keeper's part of an endpoint,
// or keeps it, for Term from then on. Candidates are called for only if nobody has it.
func (l *Lessor) Grant(now, asked time.Time, endpoint uint64, router string, candidates func() []Candidate) bool {
	if l.began.IsZero() {
		l.Begin(now)
	}
	if now.Sub(l.began) < Term {
		return false
	}
	held := l.leases[endpoint]
	if !now.Before(held.until) && now.Sub(held.chosen) > offerTime {
		held = lease{router: choose(endpoint, candidates()), chosen: now}
		l.leases[endpoint] = held
	}
	if held.router != router {
		return false
	}
	held.until, held.chosen = asked.Add(Term), now
	l.leases[endpoint] = held
	return true
}

// Forget drops what is over.
func (l *Lessor) Forget(now time.Time) {
	for endpoint, held := range l.leases {
		if !now.Before(held.until) && now.Sub(held.chosen) > offerTime {
			delete(l.leases, endpoint)
		}
	}
}

// choose draws a router by weighted rendezvous hashing: each is chosen for as many of the
// endpoints as it asks for, so that one with many leases has the requests for them.
func choose(endpoint uint64, candidates []Candidate) string {
	best, bestScore := "", 0.0
	for _, c := range candidates {
		score := Score(max(c.Asked, math.SmallestNonzeroFloat32), digest(c.Name, endpoint))
		if best == "" || score > bestScore {
			best, bestScore = c.Name, score
		}
	}
	return best
}

// Score ranks candidates of different weights by rendezvous hashing: each comes first as often as
// its weight is of all. Hash is of the candidate and of what is given out.
func Score(weight float64, hash uint64) float64 {
	return weight / -math.Log(unit(hash))
}

// unit turns a hash into a number between 0 and 1.
func unit(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// digest hashes a name and a number.
func digest(name string, number uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), number))
}

// Owns tells whether the keeper of a name has one of so many parts of an endpoint, ranked by
// rendezvous hashing over the names of all keepers.
func Owns(name string, keepers []string, endpoint uint64, parts int) bool {
	own, before := unit(digest(name, endpoint)), 0
	member := false
	for _, other := range keepers {
		if other == name {
			member = true
		} else if rank := unit(digest(other, endpoint)); rank > own || rank == own && other < name {
			before++
		}
	}
	return member && before < parts
}
