package director

import (
	"sync/atomic"
	"time"
)

const (
	// minRefusalRatio is the share of requests refused for lack of capacity from which on new clients
	// are diverted to other routers.
	minRefusalRatio = 0.5
	// divertTime is how long new clients are diverted. The platform takes up to two seconds to react.
	divertTime = 3500 * time.Millisecond
	// minOverloadTime is how long a router must be overloaded before it diverts clients: a shorter
	// overload may end by itself, and the share of its workspace is known only after a second.
	minOverloadTime = time.Second
	// maxDivertingShare is the share of a fleet's routers that may divert clients at once.
	maxDivertingShare = 0.125
)

// diverter decides when a flooded router reports not ready, so that new clients go to other routers.
// It does so only for workspaces that get less than their guaranteed share: clients that
// change to another router wait until their workspace's share there has grown, and that router is flooded as well. Only a
// router that causes a large part of the whole fleet's refusals for lack of capacity may divert: if
// all routers are flooded, the others have no capacity either, and a zone without routers would burden
// another zone. The zero value does not divert.
type diverter struct {
	routers   atomic.Int64 // number of routers in the fleet
	diverting atomic.Bool  // new clients are sent to other routers

	overloadedSince, divertUntil time.Time // zero if not overloaded or never diverted; used by update only
}

// update decides by the ratio of this router's requests that it refuses for lack of capacity, 0 to 1,
// and by the rates in tokens per second that this router and the whole fleet shed of workspaces below
// their guaranteed share. It reports whether the decision has changed.
func (s *diverter) update(now time.Time, refused, own, fleet float64) (changed bool) {
	away := now.Before(s.divertUntil)
	switch {
	case away || refused < minRefusalRatio || !s.local(own, fleet):
		s.overloadedSince = time.Time{}
	case s.overloadedSince.IsZero():
		s.overloadedSince = now
	case now.Sub(s.overloadedSince) >= minOverloadTime:
		s.divertUntil, away = now.Add(divertTime), true
	}
	return s.diverting.Swap(away) != away
}

// local reports whether the overload is limited to few routers. This router's part of the demand that
// the fleet sheds bounds how many routers can shed as much as this one; all of those may divert at
// once if they are at most maxDivertingShare of the fleet, or only one router.
func (s *diverter) local(own, fleet float64) bool {
	routers := s.routers.Load()
	maxDiverting := max(maxDivertingShare*float64(routers), 1)
	return routers > 1 && own > 0 && own*maxDiverting >= fleet
}

// updateDiversion decides whether new clients are diverted to other routers, and logs a change.
func (d *Director) updateDiversion() {
	now := d.clock.Now()
	refused := d.proxier.RefusalRatio(now)
	own, fleet := d.shares.ShedRates(now)
	if d.diverter.update(now, refused, own, fleet) {
		d.log.Warn().Bool("away", d.diverter.diverting.Load()).Float64("refused", refused).Float64("own", own).Float64("fleet", fleet).
			Int64("routers", d.diverter.routers.Load()).Msg("readiness for new clients changed")
	}
}
