package subscriber

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// fewKeepers are all followed.
	fewKeepers = 5
	// nearFollowed of the followedMost keepers that a router follows in a larger group are of
	// its own zone. One elsewhere tells of a zone that is cut off.
	nearFollowed = 2
	followedMost = 3
	// triedMost bounds the keepers that are tried once more beside those, in the own zone and
	// elsewhere each.
	triedMost = 3
	// passTime is for how long a keeper that was lost or isolated ranks behind the others.
	passTime = 3 * time.Second
)

// member is a keeper that an answer or the settings have named.
type member struct {
	zone   string    // empty while it is not known
	named  time.Time // last
	rank   uint64    // for this router
	failed bool      // when it was tried last, it was lost or isolated
	passed time.Time // until when it ranks behind the others for that
}

// standing is what a selection rests on.
type standing struct {
	candidate
	rank   uint64
	failed bool      // it was lost or isolated when it was tried last
	passed time.Time // until when it is passed over for that
}

// selected returns the keepers that a router is to follow.
//
// In a small group these are all. In a larger one a router follows a few, so that what a keeper
// and a router carry does not grow with the group: those that rank first in its own zone and
// one elsewhere. One that is lost or isolated is replaced at once by the next. After a while it
// is tried again, beside the others, and has its place again when it answers.
func (p Primary) selected(now time.Time, known []standing) []netip.AddrPort {
	if len(known) <= fewKeepers {
		return addresses(known)
	}
	var near, far []standing
	for _, s := range known {
		if p.near(s.candidate) == 1 {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	near, sound := take(now, near, max(nearFollowed, followedMost-len(far)))
	far, _ = take(now, far, followedMost-sound)
	return append(addresses(near), addresses(far)...)
}

// take returns so many keepers that have not failed, as far as there are, and how many they are;
// beside them those that are to be tried again because they would come first if they answered.
// Where none is sound many are tried, the one that failed longest ago first.
func take(now time.Time, of []standing, want int) (taken []standing, sound int) {
	slices.SortFunc(of, func(a, b standing) int {
		return cmp.Or(
			compareBools(a.failed, b.failed), a.passed.Compare(b.passed),
			cmp.Compare(b.rank, a.rank), a.address.Compare(b.address),
		)
	})
	tried, last := 0, uint64(0) // last is the rank of the last sound one
	for _, s := range of {
		switch {
		case !s.failed && sound < want:
			sound, last = sound+1, s.rank
		case !s.failed:
			continue
		case sound > 0 && (tried == triedMost || now.Before(s.passed)), len(taken) >= want+triedMost:
			return taken, sound
		case sound == want && s.rank < last:
			continue
		default:
			tried++
		}
		taken = append(taken, s)
	}
	return taken, sound
}

func addresses(of []standing) []netip.AddrPort {
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
