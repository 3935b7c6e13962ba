package server

import (
	"cmp"
	"slices"
	"time"
)

// censusAge is for how long a census is told again. Routers report twice a second or
// more; counted for each answer it would take time by the square of their number.
const censusAge = 50 * time.Millisecond

// census is what one look at all followers yields.
type census struct {
	// routers follow this keeper, whichever keeper they report to.
	routers uint32
	// direct is how many routers report to this keeper, and reporting how many do to it
	// or to the others, as far as those are heard.
	direct, reporting uint32
	// directBacklog and backlog are for how long engines still read what they have been
	// sent, as the median of those routers believes, in milliseconds.
	directBacklog, backlog uint32
}

// fleet is how many routers there are, as far as they are heard: each follows this keeper, or
// reports to one that is heard.
func (c census) fleet() uint32 {
	return max(c.routers, c.reporting)
}

// belief is what some routers report of one thing that all of them estimate.
type belief struct {
	value  uint32
	weight uint32 // how many routers
}

// taker takes a census now and then. Its zero value is ready.
type taker struct {
	at   time.Time
	last census
}

func (t *taker) take(now time.Time, followers map[string]*follower) census {
	if !t.at.IsZero() && now.Sub(t.at) < censusAge {
		return t.last
	}
	t.at, t.last = now, count(now, followers)
	return t.last
}

func count(now time.Time, followers map[string]*follower) census {
	var c census
	var direct, all []belief
	for _, f := range followers {
		fresh := now.Sub(f.at) <= reportMemory
		switch {
		case !f.keeper:
			c.routers++
			if fresh && !f.report.GetBrief() {
				c.direct++
				direct = append(direct, belief{value: f.report.GetBacklogMs(), weight: 1})
			}
		case fresh && f.report.GetReporting() > 0:
			c.reporting += f.report.GetReporting()
			all = append(all, belief{value: f.report.GetBacklogMs(), weight: f.report.GetReporting()})
		}
	}
	c.reporting += c.direct
	c.directBacklog = median(direct)
	c.backlog = median(append(all, direct...))
	return c
}

// median returns the middle of what routers believe, 0 of nothing. One that errs, because
// it is late or cut off, does not move it. Of an even number it is the lower of the two in
// the middle. A keeper tells its routers' median as the belief of all of them.
func median(beliefs []belief) uint32 {
	slices.SortFunc(beliefs, func(a, b belief) int { return cmp.Compare(a.value, b.value) })
	whole := uint32(0)
	for _, b := range beliefs {
		whole += b.weight
	}
	before := uint32(0)
	for _, b := range beliefs {
		before += b.weight
		if 2*before >= whole {
			return b.value
		}
	}
	return 0
}
