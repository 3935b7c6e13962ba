package apportioner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// unheardPart is the part of what a workspace asks for from which on its routers hold
	// it back if they have no room for it. Small parts are refused at any peak.
	unheardPart = 0.25
	// besides is how many times what a waiting workspace gets another one may get. Twice
	// as much is what callers are promised at the most; the rest is for what requests
	// begun at one moment differ from those let in.
	besides = 1.6
	// leastCorrection is how far the bound on others falls below that: to what the waiting
	// workspace gets itself.
	leastCorrection = 1 / besides
	// fallen is the part of what others might have beside one that waits from which on they pay
	// back what they took until its fall was known. Smaller falls are the noise of what it gets.
	fallen = 0.8
	// servedHalfLife is over which time workspaces are compared by what they got. Callers
	// feel seconds; a shorter one follows single large requests.
	servedHalfLife = 2 * time.Second
)

// divide computes the shares of what is owed and of what engines bear now.
//
// Who asks for more than it is owed has a bound on the rest as well, also if it does not
// reach it yet by what is told: in a flood that begins, what is told is a small part of what
// is asked for, and all routers together would admit many times what they should.
func (a *Apportioner) divide() {
	asking := slices.SortedFunc(maps.Values(a.workspaces), func(x, y *workspace) int { return cmp.Compare(x.whole, y.whole) })
	owed := level(asking, a.capacity*stretchOwed)
	most := level(asking, a.capacity*stretch(a.backlog))
	beside := a.beside(asking, owed)
	falls := a.falls(beside, owed)
	for _, w := range asking {
		w.owed.share, w.most.share = math.Inf(1), math.Inf(1)
		if w.whole > owed {
			w.owed.share, w.most.share = owed, min(most, max(owed, beside.bound(w)))
			w.most.settle = w.most.settle || falls && w != beside.least
		}
	}
}

// falls tells whether others may from now on have less than before, because one that waits is
// held back, or gets less.
func (a *Apportioner) falls(b beside, owed float64) bool {
	before := a.bound
	a.bound = 0
	if !b.held() {
		return false
	}
	a.bound = max(owed, b.most)
	return before == 0 || a.bound < fallen*before
}

// beside is what workspaces may get beside those that wait, in tokens a second.
type beside struct {
	least *workspace // the waiting one that gets least, nil if none waits
	most  float64    // for all others
	own   float64    // for that one, beside those that wait as well
}

func (b beside) held() bool {
	return b.least != nil
}

// bound is what a workspace may get. None is bound by what it gets itself: once its router has
// room it would get no more than before.
func (b beside) bound(w *workspace) float64 {
	if w == b.least {
		return b.own
	}
	return b.most
}

// beside returns what workspaces may get beside those that ask for more than they are owed and
// are held back by their routers.
//
// All clients of a workspace may reach one small router, and what that one can pass on
// bounds what it gets, whatever its share. Others that reach all routers would get all that
// engines have to spare. Those whom their share or busy engines hold back do not count:
// shares alone keep them even.
//
// The bound follows what it has led to: a router that gets later passes less on each second,
// and what is known of that is late as well. The further the best served ones were beyond the
// bound over the last seconds, the lower it is.
func (a *Apportioner) beside(asking []*workspace, owed float64) beside {
	b := beside{most: math.Inf(1), own: math.Inf(1)}
	for _, w := range asking {
		w.waits = w.whole > owed && float64(w.told.Unheard) > unheardPart*w.whole
		if !w.waits {
			continue
		}
		correction := 1.0
		if a.best > 0 {
			correction = min(max(besides*w.served/a.best, leastCorrection), 1)
		}
		if bound := besides * correction * float64(w.told.Got); bound < b.most {
			b = beside{least: w, most: bound, own: b.most}
		} else {
			b.own = min(b.own, bound)
		}
	}
	return b
}

// remember notes over seconds what each workspace got in the whole fleet, and what the one
// got that got most at each moment.
func (a *Apportioner) remember(elapsed float64) {
	part := 1 - math.Exp2(-elapsed/servedHalfLife.Seconds())
	most := 0.0
	for _, w := range a.workspaces {
		got := float64(w.told.Got)
		w.served += (got - w.served) * part
		most = max(most, got)
	}
	a.best += (most - a.best) * part
}

// level divides a capacity evenly until it is used, and returns what each gets that asks
// for more. The workspaces are sorted by what they ask for.
func level(asking []*workspace, capacity float64) float64 {
	even := capacity
	for i, w := range asking {
		even = capacity / float64(len(asking)-i)
		if w.whole > even {
			break
		}
		capacity -= w.whole
	}
	return even
}
