package apportioner

import (
	"math"
	"time"
)

// localShare returns this router's part of one of a workspace's shares, in tokens per second.
func (a *Apportioner) localShare(now time.Time, w *workspace, share float64) float64 {
	if now.Sub(a.sumsAt) > staleAfter {
		return a.isolatedShare(w)
	}
	if math.IsInf(share, 1) || w.fleetDemand <= 0 {
		return math.Inf(1)
	}
	return share * max(w.localPart, a.currentPart(now, w))
}

// currentPart returns the part of a workspace's demand that arrives at this router now, 0 if the
// workspace gets in the whole fleet what its bound allows.
//
// After clients leave other routers, the demand reported there decays over a second, and
// w.localPart grows as slowly. Until then a part of the guaranteed share would be reserved at
// routers that no longer receive the demand.
func (a *Apportioner) currentPart(now time.Time, w *workspace) float64 {
	bound := w.guaranteed.share
	if w.starved {
		bound = w.maximum.share // the routers limit it more than its guaranteed share does
	}
	if float64(w.fleetUse.Served) >= bound {
		return 0
	}
	here := w.demandMeter.fastRate(now)
	return here / max(w.fleetDemand, here, 1)
}

// isolatedShare returns what a workspace may use at a router without keeper updates, in tokens per
// second: of an even share, the part of the workspace's demand that was this router's in the last
// sums.
//
// A flood of all clients of a workspace to one router overloads that router, and its polls of the
// keepers then time out. If it assumed equal demand at all routers, it would admit one router's
// part of the workspace's share, although all of the demand arrives here. Demand of workspaces that
// are in no sums is assumed to be equal at all routers.
func (a *Apportioner) isolatedShare(w *workspace) float64 {
	active := 0
	for _, other := range a.workspaces {
		if other.demandRate >= 1 {
			active++
		}
	}
	part := max(w.localPart, 1/float64(max(a.routers, 1)))
	return a.capacity * stretch(a.backlog) / float64(max(active, 1)) * part
}
