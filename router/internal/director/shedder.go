package director

import (
	"sync/atomic"
	"time"
)

const (
	// shedShare is the part of the requests refused for want of room from which new clients had
	// better go to other routers.
	shedShare = 0.5
	// shedTime is for how long they are sent there. The platform takes up to two seconds to do so.
	shedTime = 3500 * time.Millisecond
	// crowdedTime is for how long a router is crowded before that: what has just begun may be over
	// soon, and its workspace's share is known only after a second.
	crowdedTime = time.Second
	// awayShare is the part of a fleet's routers that may be away at once.
	awayShare = 0.125
)

// shedder decides when a router that is flooded tells that it is not ready, so that new clients
// go to its neighbours. It does so only for workspaces that get less than they are owed: clients
// that turn to another router wait until their share has followed them, and the next one is
// flooded as well. Only one that refuses a good part of what the whole fleet has no room for may do
// so: where all are flooded, neighbours have no room either, and a zone without routers would
// burden another one. Its zero value stays.
type shedder struct {
	routers atomic.Int64 // of the fleet
	away    atomic.Bool  // new clients are sent elsewhere

	since, until time.Time // it is crowded, and away; used by look only
}

// look decides by the part of this router's requests that it refuses for want of room, 0 to 1,
// and by what it and the whole fleet have no room for of workspaces that get too little, in
// tokens a second. It tells whether that changes anything.
func (s *shedder) look(now time.Time, refused, own, fleet float64) (changed bool) {
	away := now.Before(s.until)
	switch {
	case away || refused < shedShare || !s.local(own, fleet):
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	case now.Sub(s.since) >= crowdedTime:
		s.until, away = now.Add(shedTime), true
	}
	return s.away.Swap(away) != away
}

// local tells whether so few routers can be as crowded as this one that all of them may leave.
func (s *shedder) local(own, fleet float64) bool {
	routers := s.routers.Load()
	most := max(awayShare*float64(routers), 1)
	return routers > 1 && own > 0 && own*most >= fleet
}

// shed looks whether new clients had better go to other routers.
func (d *Director) shed() {
	now := d.clock.Now()
	refused := d.passer.RefusalRatio(now)
	own, fleet := d.shares.ShedRates(now)
	if d.shedder.look(now, refused, own, fleet) {
		d.log.Warn().Bool("away", d.shedder.away.Load()).Float64("refused", refused).Float64("own", own).Float64("fleet", fleet).
			Int64("routers", d.shedder.routers.Load()).Msg("readiness for new clients changed")
	}
}
