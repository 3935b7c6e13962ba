package apportioner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// starvedThreshold is the part of a workspace's demand from which on the workspace counts as
	// starved if its routers shed it. Smaller parts are shed at any load peak.
	starvedThreshold = 0.25
	// maxServiceRatio is the multiple of a starved workspace's service rate that others may get.
	// Callers are promised that no other workspace gets more than twice as much; the margin covers
	// the difference between the requests that begin and those that are admitted at one moment.
	maxServiceRatio = 1.6
	// minCorrection bounds the correction of that multiple: at its minimum, others are bounded by
	// the service rate of the starved workspace itself.
	minCorrection = 1 / maxServiceRatio
	// fallThreshold is the ratio of a new bound on others to the earlier one below which they repay
	// what they spent until the fall was known. Smaller falls are noise in the starved workspace's
	// service rate.
	fallThreshold = 0.8
	// servedHalfLife is the half-life of the averages by which the service of workspaces is
	// compared. Callers notice differences over seconds; a shorter half-life would follow single
	// large requests.
	servedHalfLife = 2 * time.Second
)

// divide computes the guaranteed and the maximum share of each workspace.
//
// A workspace whose demand exceeds its guaranteed share has a bound on the maximum share too, even
// if its demand in the sums does not reach that bound: when a flood begins, the sums show only a
// small part of it, and all routers together would admit many times the intended rate.
func (a *Apportioner) divide() {
	sorted := slices.SortedFunc(maps.Values(a.workspaces), func(x, y *workspace) int { return cmp.Compare(x.fleetDemand, y.fleetDemand) })
	guaranteed := maxMinShare(sorted, a.capacity*guaranteedStretch)
	maximum := maxMinShare(sorted, a.capacity*stretch(a.backlog))
	bounds := a.starvationBounds(sorted, guaranteed)
	falls := a.boundFalls(bounds, guaranteed)
	for _, w := range sorted {
		w.guaranteed.share, w.maximum.share = math.Inf(1), math.Inf(1)
		if w.fleetDemand > guaranteed {
			w.guaranteed.share, w.maximum.share = guaranteed, min(maximum, max(guaranteed, bounds.bound(w)))
			w.maximum.repay = w.maximum.repay || falls && w != bounds.lowest
		}
	}
}

// boundFalls reports whether the bound on other workspaces falls with these sums, because a
// workspace has become starved or gets less than before.
func (a *Apportioner) boundFalls(b starvationBounds, guaranteed float64) bool {
	before := a.starvationBound
	a.starvationBound = 0
	if !b.active() {
		return false
	}
	a.starvationBound = max(guaranteed, b.others)
	return before == 0 || a.starvationBound < fallThreshold*before
}

// starvationBounds are the bounds on workspaces beside starved ones, in tokens per second.
type starvationBounds struct {
	lowest *workspace // the starved workspace that gets least, nil if none is starved
	others float64    // bound on all other workspaces
	own    float64    // bound on lowest itself, by the other starved workspaces
}

func (b starvationBounds) active() bool {
	return b.lowest != nil
}

// bound returns the bound on a workspace. A workspace is not bounded by its own service rate:
// otherwise it would get no more than before once its router has processor time again.
func (b starvationBounds) bound(w *workspace) float64 {
	if w == b.lowest {
		return b.own
	}
	return b.others
}

// starvationBounds returns the bounds on workspaces while others are starved: they demand more than
// their guaranteed share, and their routers shed a large part of it.
//
// If all clients of a workspace reach one small router, the rate at which that router can read
// requests limits the workspace, whatever its share. Other workspaces that reach all routers would
// get all the spare capacity of engines. Workspaces that are limited by their share or by busy
// engines are not starved: the shares keep these even.
//
// The bound has a correction for its own delay: an overloaded router reads less with each second,
// and the sums show this late. The further the best served workspace exceeded the bound over the
// last seconds, the lower the bound is.
func (a *Apportioner) starvationBounds(sorted []*workspace, guaranteed float64) starvationBounds {
	b := starvationBounds{others: math.Inf(1), own: math.Inf(1)}
	for _, w := range sorted {
		w.starved = w.fleetDemand > guaranteed && float64(w.fleetUse.Shed) > starvedThreshold*w.fleetDemand
		if !w.starved {
			continue
		}
		correction := 1.0
		if a.bestServed > 0 {
			correction = min(max(maxServiceRatio*w.servedAverage/a.bestServed, minCorrection), 1)
		}
		if bound := maxServiceRatio * correction * float64(w.fleetUse.Served); bound < b.others {
			b = starvationBounds{lowest: w, others: bound, own: b.others}
		} else {
			b.own = min(b.own, bound)
		}
	}
	return b
}

// updateServed updates the averages of each workspace's service rate in the whole fleet, and of the
// highest service rate at each moment, for elapsed seconds.
func (a *Apportioner) updateServed(elapsed float64) {
	part := 1 - math.Exp2(-elapsed/servedHalfLife.Seconds())
	highest := 0.0
	for _, w := range a.workspaces {
		served := float64(w.fleetUse.Served)
		w.servedAverage += (served - w.servedAverage) * part
		highest = max(highest, served)
	}
	a.bestServed += (highest - a.bestServed) * part
}

// maxMinShare divides a capacity by max-min fairness and returns the share of each workspace whose
// demand exceeds it. The workspaces are sorted by demand.
func maxMinShare(sorted []*workspace, capacity float64) float64 {
	even := capacity
	for i, w := range sorted {
		even = capacity / float64(len(sorted)-i)
		if w.fleetDemand > even {
			break
		}
		capacity -= w.fleetDemand
	}
	return even
}
