package apportioner

import (
	"math"
	"time"
)

const (
	// stretchStart is what a router begins with that nobody has told of a better
	// one. Engines without any request bear more than that, but a fleet that starts
	// while its clients wait meets all of them at once.
	stretchStart = 1.2
	stretchLeast = 0.85
	stretchMost  = 2.5
	// calm is the mean of waiting over target at which the stretch stays as it is. At
	// 0.3 calm days of four fleets earned up to 0.05 less of the credit, at 0.4 as
	// much or 0.02 less.
	calm = 0.5
	// gain is by what part the stretch changes in a second for each point that the
	// mean is away from calm, within two bounds: a queue grows faster than it is seen,
	// and room that is used a second later is no harm.
	gain     = 2.0
	fastUp   = 0.3
	fastDown = 1.2
	// pull is the part of its distance to the mean over all routers that a router's
	// stretch goes with each message, ten a second. All follow the same measure; what
	// is pulled in is what they heard at other moments.
	pull = 0.1
	// signalLife is the half-life of the measure. A router has some answers a second.
	signalLife = 500 * time.Millisecond
	// worstRatio bounds what one late answer adds to the mean.
	worstRatio = 3.0
	// longestStep bounds the time that is caught up with at once, after a pause of the
	// process.
	longestStep = time.Second
)

// Signal is what routers tell one another of how soon answers begin.
type Signal struct {
	// Stretch is by how much shares go beyond the stated capacity.
	Stretch float64
	// Waiting is the mean of the wait for an answer's begin over its target.
	Waiting float64
	// Answers is of how many answers, weighted to the latest, that is the mean.
	Answers float64
}

// stretcher finds by how much shares may go beyond the stated capacity.
//
// That capacity is a promise, not a limit: engines often yield more. Shares are
// stretched while answers begin well within their target, and shrunk when they do
// not, as a congestion window is. What counts is the mean over all answers of the
// fleet: a router has a few a second, which differ too much to steer by.
type stretcher struct {
	value   float64 // 0 is stretchStart
	moved   time.Time
	fleet   Signal // as told
	own     Signal // Waiting is the sum, not the mean
	decayed time.Time
}

// get returns the stretch in force.
func (s *stretcher) get() float64 {
	if s.value == 0 {
		return stretchStart
	}
	return s.value
}

// observe takes how long an answer's begin was waited for.
func (s *stretcher) observe(now time.Time, waited, target time.Duration) {
	s.decay(now)
	s.own.Waiting += min(waited.Seconds()/target.Seconds(), worstRatio)
	s.own.Answers++
}

func (s *stretcher) decay(now time.Time) {
	if elapsed := now.Sub(s.decayed); elapsed > 0 {
		left := math.Exp2(-elapsed.Seconds() / signalLife.Seconds())
		s.own.Waiting *= left
		s.own.Answers *= left
		s.decayed = now
	}
}

// signal returns what this router has seen.
func (s *stretcher) signal(now time.Time) Signal {
	s.decay(now)
	seen := Signal{Stretch: s.get(), Answers: s.own.Answers}
	if s.own.Answers > 0 {
		seen.Waiting = s.own.Waiting / s.own.Answers
	}
	return seen
}

// tell takes what all routers have seen.
func (s *stretcher) tell(now time.Time, fleet Signal) {
	s.step(now)
	s.fleet = fleet
	switch {
	case fleet.Stretch <= 0:
	case s.value == 0:
		s.value = fleet.Stretch
	default:
		s.value += pull * (fleet.Stretch - s.value)
	}
}

// step lets the stretch follow the measure.
func (s *stretcher) step(now time.Time) {
	elapsed := min(now.Sub(s.moved), longestStep)
	s.moved = now
	if elapsed <= 0 || s.fleet.Answers < 1 {
		return // nobody is answered: that says nothing of the engines
	}
	change := min(max(gain*(calm-s.fleet.Waiting), -fastDown), fastUp)
	s.value = min(max(s.get()*math.Exp(change*elapsed.Seconds()), stretchLeast), stretchMost)
}
