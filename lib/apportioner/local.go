package apportioner

import (
	"math"
	"time"
)

// local is the part of one of a workspace's shares that is this router's, in tokens a
// second.
func (a *Apportioner) local(now time.Time, w *workspace, share float64) float64 {
	if now.Sub(a.told) > staleAfter {
		return a.alone(w)
	}
	if math.IsInf(share, 1) || w.whole <= 0 {
		return math.Inf(1)
	}
	return share * max(w.part, a.fresh(now, w))
}

// fresh is the part of a workspace's demand that is asked for here now, 0 if the fleet brings out
// what is due to it.
//
// What is told of other routers falls over a second once clients have left them, and w.part grows
// as slowly. Meanwhile what is owed would be kept where nobody asks for it.
func (a *Apportioner) fresh(now time.Time, w *workspace) float64 {
	due := w.owed.share
	if w.waits {
		due = w.most.share // its routers hold it back more than its share does
	}
	if float64(w.told.Got) >= due {
		return 0
	}
	here := w.asks.latest(now)
	return here / max(w.whole, here, 1)
}

// alone is what a workspace may use at a router that hears no keeper, in tokens a second:
// of an even share, the part of its demand that was last known to be this router's.
//
// A flood makes the one router late that all its clients reach, and a late router's
// polls are given up. With the others believed to do as this one, it would let in one
// router's part of what is due to the workspace, although all of it comes here.
// Workspaces that no keeper has told of are still taken to be everywhere alike.
func (a *Apportioner) alone(w *workspace) float64 {
	active := 0
	for _, other := range a.workspaces {
		if other.rate >= 1 {
			active++
		}
	}
	part := max(w.part, 1/float64(max(a.routers, 1)))
	return a.capacity * stretch(a.backlog) / float64(max(active, 1)) * part
}
