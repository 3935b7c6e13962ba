package subscriber

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Primary decides which keepers a router follows, and which of them gets its reports. The zero
// value has no zone.
type Primary struct {
	// Name is the router's name. It spreads the routers of a zone over the zone's keepers.
	Name string
	// Zone is the router's zone. Reports and sums are most of the traffic, and a keeper of the
	// same zone stays reachable when the zone is partitioned from the others.
	Zone string
}

// candidate is a keeper that answers.
type candidate struct {
	address  netip.AddrPort
	zone     string
	isolated bool // whether it has had no contact with a quorum for long
}

// choose returns one of the keepers that answer, or the zero address if there is none. The
// result depends only on the candidates, so that a keeper gets its routers back after a recovery.
//
// Isolated keepers rank last: they only have the sums and changes of their own side of a network
// partition, while this router may reach the other side.
func (p Primary) choose(candidates []candidate) netip.AddrPort {
	if len(candidates) == 0 {
		return netip.AddrPort{}
	}
	return slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			compareBools(b.isolated, a.isolated), cmp.Compare(p.near(a), p.near(b)),
			cmp.Compare(p.rank(a.address), p.rank(b.address)),
		)
	}).address
}

// near returns 1 for a keeper of the router's zone and 0 for others, as a sort key.
func (p Primary) near(c candidate) int {
	if c.zone == p.Zone {
		return 1
	}
	return 0
}

// rank returns the keeper's rank for this router by rendezvous hashing; the highest rank comes
// first. The order differs between routers.
func (p Primary) rank(address netip.AddrPort) uint64 {
	return xxhash.Sum64String(p.Name + " " + address.String())
}
