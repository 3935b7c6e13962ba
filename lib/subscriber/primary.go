package subscriber

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Primary decides which keepers a router follows, and which of them it reports to. Its zero
// value has no zone.
type Primary struct {
	// Name is the router's own. It spreads the routers of a zone over its keepers.
	Name string
	// Zone is the router's own. Reports and sums are most of what is told, and a keeper
	// of the same zone is reached when the zone is cut off.
	Zone string
}

// candidate is a keeper that answers.
type candidate struct {
	address  netip.AddrPort
	zone     string
	isolated bool // it has had no contact with a quorum for long
}

// choose returns one of the keepers that answer, the zero address if there is none. It
// depends on nothing else, so that a keeper that is back gets its routers back.
//
// One that is isolated has the sums and changes of its own side of a cut only, while this
// router may reach the other side.
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

func (p Primary) near(c candidate) int {
	if c.zone == p.Zone {
		return 1
	}
	return 0
}

// rank orders keepers differently for each router, by rendezvous hashing.
func (p Primary) rank(address netip.AddrPort) uint64 {
	return xxhash.Sum64String(p.Name + " " + address.String())
}
