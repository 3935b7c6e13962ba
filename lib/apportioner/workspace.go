package apportioner

import (
	"math"
	"time"
)

const (
	// halfLife is how fast a measured rate follows: quotas are counted over a few
	// seconds, and a rate that follows faster would take a cluster of requests
	// for a flood.
	halfLife = time.Second
	// sumsAge is how old the demand in the sums is when they are told: reports are up to
	// half a second old. A router's own demand is compared with them as it was then.
	sumsAge = 300 * time.Millisecond
	// leastSeen is the shortest time after which a rate is worked out; in a shorter one
	// a single request of a small workspace would look like a flood, and a fleet that
	// starts would refuse requests beside idle engines.
	leastSeen = 900 * time.Millisecond
	// maxWorkspaces bounds the workspaces that are measured; requests of others
	// are admitted.
	maxWorkspaces = 4096
)

// workspace is what a router knows of one workspace.
type workspace struct {
	rate   float64   // tokens a second asked for here
	lagged float64   // the same, as old as what the sums tell of other routers
	at     time.Time // of these measures
	asked  time.Time // the last request
	whole  float64   // tokens a second asked for in the whole fleet, as told
	part   float64   // of whole that was asked for here when it was told
	lost   float64   // tokens a second asked for here for which this router had no room
	told   Use       // the whole fleet's, as told last
	served float64   // tokens a second begun by the whole fleet, over seconds
	asks   meter     // what of it is asked for here
	begun  meter     // what of it has begun to be answered here
	waits  bool      // it is held back by its routers, as told last
	filled time.Time
	owed   allowance // what it has a right to
	most   allowance // what it may have while engines bear it
}

// tell notes what all routers' requests of a workspace ask for.
func (a *Apportioner) tell(now time.Time, w *workspace, use Use) {
	w.told = use
	w.decay(now)
	lagged := w.lagged * a.early(now)
	w.whole = max(float64(use.Asked), lagged)
	w.part = 0
	if w.whole > 0 {
		w.part = lagged / w.whole
	}
}

// rate returns what a workspace asks for here, in tokens a second. The measure takes
// seconds to fill; before that it is as many times too low as what it has seen is too
// short. Else a router that has just started finds that nobody asks for its share, and
// admits everything for as long: half of the first two seconds' answers were late.
func (a *Apportioner) rate(now time.Time, w *workspace) float64 {
	w.decay(now)
	return w.rate * a.early(now)
}

// early is by how much a measure is too low that has not filled yet.
func (a *Apportioner) early(now time.Time) float64 {
	seen := max(now.Sub(a.began), leastSeen)
	return 1 / (1 - fading(seen.Seconds(), halfLife))
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
	w = &workspace{at: now, asked: now, filled: now, owed: allowance{share: math.Inf(1)}, most: allowance{share: math.Inf(1)}}
	a.workspaces[name] = w
	return w
}

// ask counts what a request asks for.
func (w *workspace) ask(now time.Time, tokens float64) {
	w.decay(now)
	w.asked = now
	w.rate += asRate(tokens, halfLife)
	w.asks.add(now, tokens)
}

// decay lets a measured rate fall with time.
func (w *workspace) decay(now time.Time) {
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	w.lagged += (w.rate - w.lagged) * (1 - math.Exp(-elapsed.Seconds()/sumsAge.Seconds()))
	left := fading(elapsed.Seconds(), halfLife)
	w.rate *= left
	w.lost *= left
	w.at = now
}

// asRate is what tokens at one moment add to a measured rate of a half-life, in tokens a
// second.
func asRate(tokens float64, half time.Duration) float64 {
	return tokens * math.Ln2 / half.Seconds()
}

// fading is what is left of a measured rate of a half-life after a time in seconds.
func fading(elapsed float64, half time.Duration) float64 {
	return math.Exp2(-elapsed / half.Seconds())
}
