package apportioner

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of a measured rate: quotas are counted over a few seconds, and a
	// faster average would take a cluster of requests for a flood.
	halfLife = time.Second
	// sumsAge is the age of the demand in the sums on arrival: reports are up to half a second old.
	// A router compares the sums with its own demand at that age.
	sumsAge = 300 * time.Millisecond
	// minMeasured is the shortest measurement time assumed for a rate; with less, a single request
	// of a small workspace would count as a flood, and a starting fleet would refuse requests while
	// engines are idle.
	minMeasured = 900 * time.Millisecond
	// maxWorkspaces bounds the number of measured workspaces; requests of others are admitted.
	maxWorkspaces = 4096
)

// workspace is the state of one workspace at a router.
type workspace struct {
	demandRate    float64   // EWMA of the demand at this router, tokens per second
	laggedRate    float64   // demandRate delayed by the age of the sums
	measuredAt    time.Time // time of the last decay of these rates
	lastRequest   time.Time // time of the last request
	fleetDemand   float64   // demand in the whole fleet from the latest sums, tokens per second
	localPart     float64   // this router's part of fleetDemand at that time
	shedRate      float64   // EWMA of the demand that this router shed, tokens per second
	fleetUse      Use       // of the whole fleet, from the latest sums
	servedAverage float64   // average service rate of the whole fleet over seconds, tokens per second
	demandMeter   meter     // demand at this router
	servedMeter   meter     // requests whose answers began at this router
	starved       bool      // its routers shed a large part of its demand, by the latest sums
	refilledAt    time.Time
	guaranteed    allowance // allowance of the guaranteed share
	maximum       allowance // allowance of the share at the present load of engines
}

// applyUse takes a workspace's use from the sums over all routers.
func (a *Apportioner) applyUse(now time.Time, w *workspace, use Use) {
	w.fleetUse = use
	w.decay(now)
	lagged := w.laggedRate * a.warmUpFactor(now)
	w.fleetDemand = max(float64(use.Demand), lagged)
	w.localPart = 0
	if w.fleetDemand > 0 {
		w.localPart = lagged / w.fleetDemand
	}
}

// demandRate returns the demand of a workspace at this router, in tokens per second. The average
// takes seconds to converge; until then it is scaled up for the time measured so far. Without this
// scaling, a router that has just started would find no demand beyond any share and admit
// everything for some seconds: half of the answers of the first two seconds would be late.
func (a *Apportioner) demandRate(now time.Time, w *workspace) float64 {
	w.decay(now)
	return w.demandRate * a.warmUpFactor(now)
}

// warmUpFactor returns the factor by which an average that has not converged is too low.
func (a *Apportioner) warmUpFactor(now time.Time) float64 {
	seen := max(now.Sub(a.firstRequestAt), minMeasured)
	return 1 / (1 - decayFactor(seen.Seconds(), halfLife))
}

func (a *Apportioner) get(now time.Time, name string) *workspace {
	w, found := a.workspaces[name]
	if found {
		return w
	}
	if len(a.workspaces) >= maxWorkspaces {
		return nil
	}
	if a.workspaces == nil {
		a.workspaces = make(map[string]*workspace)
	}
	w = &workspace{measuredAt: now, lastRequest: now, refilledAt: now, guaranteed: allowance{share: math.Inf(1)}, maximum: allowance{share: math.Inf(1)}}
	a.workspaces[name] = w
	return w
}

// served returns the larger of the present and the average service rate of the whole fleet, in tokens per
// second. The service of a flood varies with the routers that its clients reach: by either rate alone, a
// workspace that gets its share would count as underserved at times.
func (w *workspace) served() float64 {
	return max(w.servedAverage, float64(w.fleetUse.Served))
}

// addDemand counts the tokens of a request as demand.
func (w *workspace) addDemand(now time.Time, tokens float64) {
	w.decay(now)
	w.lastRequest = now
	w.demandRate += asRate(tokens, halfLife)
	w.demandMeter.add(now, tokens)
}

// decay updates the measured rates for the time that has passed.
func (w *workspace) decay(now time.Time) {
	elapsed := now.Sub(w.measuredAt)
	if elapsed <= 0 {
		return
	}
	w.laggedRate += (w.demandRate - w.laggedRate) * (1 - math.Exp(-elapsed.Seconds()/sumsAge.Seconds()))
	left := decayFactor(elapsed.Seconds(), halfLife)
	w.demandRate *= left
	w.shedRate *= left
	w.measuredAt = now
}

// asRate returns the amount that tokens at one moment add to an EWMA rate with the given half-life,
// in tokens per second.
func asRate(tokens float64, half time.Duration) float64 {
	return tokens * math.Ln2 / half.Seconds()
}

// decayFactor returns the factor by which an EWMA rate with the given half-life decays in elapsed
// seconds.
func decayFactor(elapsed float64, half time.Duration) float64 {
	return math.Exp2(-elapsed / half.Seconds())
}
