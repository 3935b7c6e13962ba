package subscriber

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxFullGroup is the size of the largest group whose keepers are all followed.
	maxFullGroup = 5
	// In a larger group a router follows maxFollowed keepers, of which sameZoneFollowed are in
	// its own zone. At least one is in another zone, so that a zone that is cut off does not go
	// unnoticed.
	sameZoneFollowed = 2
	maxFollowed      = 3
	// maxRetried bounds the failed keepers that are retried in addition, in the own zone and in
	// the other zones each.
	maxRetried = 3
	// demotionTime is how long a lost or isolated keeper ranks behind the others.
	demotionTime = 3 * time.Second
)

// member is a keeper named by an answer or by the settings.
type member struct {
	zone         string    // empty if unknown
	lastNamed    time.Time // last time an answer or the settings named it
	rank         uint64    // rendezvous rank for this router
	failed       bool      // whether it was lost or isolated at the last try
	demotedUntil time.Time // end of the demotion behind the others
}

// rankedKeeper is the input of the selection for one keeper.
type rankedKeeper struct {
	candidate
	rank         uint64
	failed       bool      // whether it was lost or isolated at the last try
	demotedUntil time.Time // end of the time in which it is not retried
}

// selected returns the keepers that a router follows.
//
// In a small group these are all keepers. In a larger group a router follows only a few, so that
// the load of keepers and routers does not grow with the group: those that rank first in its own
// zone and one elsewhere. A lost or isolated keeper is replaced immediately by the next in rank.
// After demotionTime it is retried in addition, and is selected again when it answers.
func (p Primary) selected(now time.Time, known []rankedKeeper) []netip.AddrPort {
	if len(known) <= maxFullGroup {
		return addresses(known)
	}
	var near, far []rankedKeeper
	for _, s := range known {
		if p.near(s.candidate) == 1 {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	near, healthy := selectHealthy(now, near, max(sameZoneFollowed, maxFollowed-len(far)))
	far, _ = selectHealthy(now, far, maxFollowed-healthy)
	return append(addresses(near), addresses(far)...)
}

// selectHealthy returns up to want keepers that have not failed, and their number in healthy.
// selected also contains the failed keepers to retry, which would rank before the selected ones if
// they answered. If no keeper is healthy, several are tried, the one that failed longest ago first.
func selectHealthy(now time.Time, of []rankedKeeper, want int) (selected []rankedKeeper, healthy int) {
	slices.SortFunc(of, func(a, b rankedKeeper) int {
		return cmp.Or(
			compareBools(a.failed, b.failed), a.demotedUntil.Compare(b.demotedUntil),
			cmp.Compare(b.rank, a.rank), a.address.Compare(b.address),
		)
	})
	tried, last := 0, uint64(0) // last is the rank of the last healthy keeper selected
	for _, s := range of {
		switch {
		case !s.failed && healthy < want:
			healthy, last = healthy+1, s.rank
		case !s.failed:
			continue
		case healthy > 0 && (tried == maxRetried || now.Before(s.demotedUntil)), len(selected) >= want+maxRetried:
			return selected, healthy
		case healthy == want && s.rank < last:
			continue
		default:
			tried++
		}
		selected = append(selected, s)
	}
	return selected, healthy
}

func addresses(of []rankedKeeper) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(of))
	for _, s := range of {
		addresses = append(addresses, s.address)
	}
	return addresses
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
