package director

import "time"

const (
	// keptShare is the part of the processor's time that is kept for requests that are served,
	// however many have to be refused.
	keptShare = 0.5
	// refusalCost is what refusing a request takes of a core.
	refusalCost = 25 * time.Microsecond
	// servingFade is what is left of older measures at each look: they count for some seconds.
	servingFade = 0.9
	// leastMeasured is the number of requests from which on their cost is known.
	leastMeasured = 20
)

// serving measures what a request that is served takes of the processor, all of its stream
// included: a few events on one deployment, fifty on another. Its zero value has measured nothing.
type serving struct {
	used             time.Duration // as counted last
	started, refused uint64
	spent, begun     float64 // seconds of a core, and requests, of late
}

// look takes what has been used and done since the start, and returns what a request takes of a
// core, in seconds, 0 if that is not known yet.
func (s *serving) look(used time.Duration, started, refused uint64) float64 {
	spent := used - s.used - time.Duration(refused-s.refused)*refusalCost
	s.spent = s.spent*servingFade + max(spent, 0).Seconds()
	s.begun = s.begun*servingFade + float64(started-s.started)
	s.used, s.started, s.refused = used, started, refused
	if s.begun < leastMeasured {
		return 0
	}
	return s.spent / s.begun
}

// keepStarts keeps a part of the processor's time for requests that are served.
func (d *Director) keepStarts() {
	cost := d.serving.look(d.used(), d.passer.Started(), d.passer.Refused())
	if cost > 0 {
		d.pacer.Starts.SetFloor(keptShare * d.settings.Processors / cost)
	}
}
