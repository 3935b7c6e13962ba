// Package apportioner admits the requests of workspaces by their max-min fair
// shares of a fleet's capacity.
//
// Every router measures what each workspace asks for in tokens a second and tells
// the keepers, which return the sums over all routers. From the sums and the
// capacity each router computes the same shares (D. Bertsekas and R. Gallager,
// "Data Networks", 1992, section 6.5.2) and admits, of what is asked at itself,
// the part that the workspace's share is of its whole demand. No router decides
// for another, and no request waits for a message.
//
// Shares are stretched beyond the stated capacity while engines bear it; see
// stretch.
//
// Invariants: while all workspaces together ask for less than the capacity,
// nothing is refused; a workspace that asks for less than its share is never
// refused; what all routers admit in a second is, up to the age of the sums and a
// burst of Burst seconds, at most the capacity.
package apportioner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
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
	// Burst is how many seconds of its share a workspace may take at once. It
	// covers the age of the sums and the clustering of requests.
	Burst = 1.0
	// firstBurst is the allowance, in seconds of the share, of a workspace that asks for
	// more than its share from now on. With an empty one a fleet that starts refuses its
	// first requests while all engines are idle.
	firstBurst = 0.25
	// lateLevel is how full, as a part of a burst, a workspace's allowance has to be
	// for requests that are late already.
	lateLevel = 0.5
	// leastSeen is the shortest time after which a rate is worked out; in a shorter one
	// a single request of a small workspace would look like a flood. With 400 ms a
	// fleet that started refused 230 requests of its first 570 beside idle engines, with
	// 900 ms 130.
	leastSeen = 900 * time.Millisecond
	// staleAfter is how old the sums may be. A router that hears no keeper goes by the
	// part of each workspace's demand that was its own when it last heard one.
	staleAfter = 3 * time.Second
	// unheardPart is the part of what a workspace asks for from which on its routers hold
	// it back if they have no room for it. Small parts are refused at any peak.
	unheardPart = 0.25
	// besides is how many times what a waiting workspace gets another one may get. Twice
	// as much is what callers are promised at the most; the rest is for what requests
	// begun at one moment differ from those let in.
	besides = 1.6
	// longestPause bounds what a refused client is told. By then the sums have been told
	// several times, and a share that is next to nothing here may be another one.
	longestPause = 2 * time.Second
	// maxWorkspaces bounds the workspaces that are measured; requests of others
	// are admitted.
	maxWorkspaces = 4096
	// idleAfter is when a workspace that asks for nothing is forgotten.
	idleAfter = 30 * time.Second
)

// Apportioner is one router's admission. Its zero value admits everything. It is
// safe for concurrent use.
type Apportioner struct {
	mutex      sync.Mutex
	capacity   float64 // tokens a second of the whole fleet; 0 is unknown
	routers    int
	workspaces map[string]*workspace
	told       time.Time
	began      time.Time // of the first request
	backlog    time.Duration
}

type workspace struct {
	rate   float64 // tokens a second asked for here
	lagged float64 // the same, as old as what the sums tell of other routers
	at     time.Time
	whole  float64 // tokens a second asked for in the whole fleet, as told
	part   float64 // of whole that was asked for here when it was told
	lost   float64 // tokens a second asked for here for which this router had no room
	told   Use     // the whole fleet's, as told last
	filled time.Time
	owed   allowance // what it has a right to
	most   allowance // what it may have while engines bear it
}

// Capacity sets what the fleet yields, in tokens a second.
func (a *Apportioner) Capacity(tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.capacity = tokens
	a.divide()
}

// Routers sets how many routers share the demand.
func (a *Apportioner) Routers(count int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.routers = count
}

// Use is what became of what a workspace asks for, in tokens a second.
type Use struct {
	// Asked is all of it, Got what was let in, and Unheard what routers had no room for.
	Asked, Got, Unheard uint64
}

// Plus adds what another router tells.
func (u Use) Plus(other Use) Use {
	return Use{Asked: u.Asked + other.Asked, Got: u.Got + other.Got, Unheard: u.Unheard + other.Unheard}
}

// Uses returns what became of what the workspaces ask for at this router.
func (a *Apportioner) Uses(now time.Time) map[string]Use {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	uses := make(map[string]Use, len(a.workspaces))
	for name, w := range a.workspaces {
		asked := a.rate(now, w)
		if asked < 1 {
			continue
		}
		since := now.Sub(w.filled).Seconds()
		uses[name] = Use{
			Asked: uint64(asked), Unheard: uint64(w.lost),
			Got: uint64(max(w.most.taken*math.Exp2(-since/halfLife.Seconds()), 0)),
		}
	}
	return uses
}

// Ask counts a request that was refused because the router had no room for it.
func (a *Apportioner) Ask(now time.Time, name string, tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w := a.bounded(now, name); w != nil {
		w.ask(now, tokens)
		w.lost += tokens * math.Ln2 / halfLife.Seconds()
	}
}

// Demand takes what all routers' workspaces ask for, this one's included, and how long
// engines still read what they have been sent. Both are the whole fleet's: routers that
// each followed what they see themselves would serve a workspace by the router that its
// clients happen to reach.
func (a *Apportioner) Demand(now time.Time, uses map[string]Use, backlog time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.told, a.backlog = now, backlog
	for name, w := range a.workspaces {
		a.tell(now, w, uses[name])
		if w.rate < 1 && now.Sub(w.at) > idleAfter {
			delete(a.workspaces, name)
		}
	}
	for name, use := range uses {
		if w := a.get(now, name); w != nil {
			a.tell(now, w, use)
		}
	}
	a.divide()
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
	return 1 / (1 - math.Exp2(-seen.Seconds()/halfLife.Seconds()))
}

// Stretch returns by how much shares go beyond the stated capacity.
func (a *Apportioner) Stretch() float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return stretch(a.backlog)
}

// Age returns how old the sums over all routers are, 0 before the first ones.
func (a *Apportioner) Age(now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.told.IsZero() {
		return 0
	}
	return now.Sub(a.told)
}

// divide computes the shares of what is owed and of what engines bear now.
//
// Who asks for more than it is owed has a bound on the rest as well, also if it does not
// reach it yet by what is told: in a flood that begins what is told is a twentieth of what
// is asked for, and all routers together admitted eight times what they should have.
func (a *Apportioner) divide() {
	asking := slices.SortedFunc(maps.Values(a.workspaces), func(x, y *workspace) int { return cmp.Compare(x.whole, y.whole) })
	owed := level(asking, a.capacity*stretchOwed)
	most := min(level(asking, a.capacity*stretch(a.backlog)), max(owed, a.beside(asking, owed)))
	for _, w := range asking {
		w.owed.share, w.most.share = math.Inf(1), math.Inf(1)
		if w.whole > owed {
			w.owed.share, w.most.share = owed, most
		}
	}
}

// beside is what a workspace may get beside those that ask for more than they are owed and
// are held back by their routers, +Inf if there is none.
//
// All clients of a workspace may reach one small router, and what that one can pass on
// bounds what it gets, whatever its share. Others that reach all routers got 1,250 to 1,450
// thousand tokens a second of what engines had to spare, and it got 450 to 750. Those whom
// their share or busy engines hold back do not count: with them smaller fleets, where
// shares alone keep workspaces even, earned 0.05 less.
func (a *Apportioner) beside(asking []*workspace, owed float64) float64 {
	least := math.Inf(1)
	for _, w := range asking {
		if w.whole > owed && float64(w.told.Unheard) > unheardPart*w.whole {
			least = min(least, float64(w.told.Got))
		}
	}
	return besides * least
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

// Decision is the answer to a request, with what it rests on.
type Decision struct {
	Admitted bool
	// Spare tells that it was admitted beyond what the workspace has a right to: it
	// should run only where it keeps nobody else waiting.
	Spare bool
	// Pause is when a refused request may come back.
	Pause time.Duration
	// Asked and Share are the workspace's in the whole fleet, and Local is what of
	// the share is this router's, all in tokens a second. A share without a bound
	// is +Inf.
	Asked, Share, Local float64
	// Stretch is what the shares were computed with, and Backlog how long engines still
	// read what they had been sent.
	Stretch float64
	Backlog time.Duration
	// Age is how old the sums over all routers are.
	Age time.Duration
}

// Admit tells whether a request of so many tokens may run now. One that is late
// already is admitted only while the workspace leaves half of a burst unused: where
// not all can be served, those that can still be answered in time go first.
func (a *Apportioner) Admit(now time.Time, name string, tokens float64, late bool) Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.bounded(now, name)
	if w == nil {
		return Decision{Admitted: true}
	}
	w.ask(now, tokens)
	d := a.decide(now, w, late)
	if !d.Admitted {
		return d
	}
	w.most.take(tokens)
	d.Spare = w.owed.bounded && w.owed.tokens < 0
	if !d.Spare {
		w.owed.take(tokens)
	}
	return d
}

// Refuses tells whether Admit would refuse a request now, and counts it as asked for in
// that case. Otherwise nothing changes, and Admit is to be asked.
func (a *Apportioner) Refuses(now time.Time, name string, tokens float64, late bool) (Decision, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.bounded(now, name)
	if w == nil {
		return Decision{Admitted: true}, false
	}
	d := a.decide(now, w, late)
	if !d.Admitted {
		w.ask(now, tokens)
	}
	return d, !d.Admitted
}

// bounded returns the workspace whose share bounds a request, nil if none does.
func (a *Apportioner) bounded(now time.Time, name string) *workspace {
	if name == "" || a.capacity <= 0 {
		return nil
	}
	if a.began.IsZero() {
		a.began = now
	}
	return a.get(now, name)
}

// decide fills a workspace's allowances up to now and looks at them.
func (a *Apportioner) decide(now time.Time, w *workspace, late bool) Decision {
	elapsed := now.Sub(w.filled).Seconds()
	w.filled = now
	most := a.local(now, w, w.most.share)
	d := Decision{Admitted: true, Asked: w.whole, Share: w.most.share, Local: most, Stretch: stretch(a.backlog), Backlog: a.backlog, Age: now.Sub(a.told)}
	w.most.grow(most, elapsed)
	w.owed.grow(a.local(now, w, w.owed.share), elapsed)
	least := 0.0
	if late {
		least = lateLevel * most * Burst
	}
	if w.most.bounded && w.most.tokens < least {
		d.Admitted = false
		pause := (least - w.most.tokens) / max(most, 1)
		d.Pause = time.Duration(min(pause, longestPause.Seconds()) * float64(time.Second))
	}
	return d
}

// Return gives back what a spare request was admitted with that was not run after all.
func (a *Apportioner) Return(name string, tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w, found := a.workspaces[name]; found && w.most.bounded {
		w.most.take(-tokens)
	}
}

// local is the part of one of a workspace's shares that is this router's, in tokens a
// second.
func (a *Apportioner) local(now time.Time, w *workspace, share float64) float64 {
	if now.Sub(a.told) > staleAfter {
		return a.alone(w)
	}
	if math.IsInf(share, 1) || w.whole <= 0 {
		return math.Inf(1)
	}
	return share * w.part
}

// alone is what a workspace may use at a router that hears no keeper, in tokens a second:
// of an even share, the part of its demand that was last known to be this router's.
//
// A flood makes the one router late that all its clients reach, and a late router's
// polls are given up. With the others believed to do as this one, its part was one of 75
// routers' and it let 5,600 tokens a second in of 528,536 that were due, while others of
// the fleet served twice that of another workspace. Workspaces that no keeper has told
// of are still taken to be everywhere alike.
func (a *Apportioner) alone(w *workspace) float64 {
	if a.capacity <= 0 {
		return math.Inf(1)
	}
	active := 0
	for _, other := range a.workspaces {
		if other.rate >= 1 {
			active++
		}
	}
	part := max(w.part, 1/float64(max(a.routers, 1)))
	return a.capacity * stretch(a.backlog) / float64(max(active, 1)) * part
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
	w = &workspace{at: now, filled: now, owed: allowance{share: math.Inf(1)}, most: allowance{share: math.Inf(1)}}
	a.workspaces[name] = w
	return w
}

// ask counts what a request asks for.
func (w *workspace) ask(now time.Time, tokens float64) {
	w.decay(now)
	w.rate += tokens * math.Ln2 / halfLife.Seconds()
}

// decay lets a measured rate fall with time.
func (w *workspace) decay(now time.Time) {
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	w.lagged += (w.rate - w.lagged) * (1 - math.Exp(-elapsed.Seconds()/sumsAge.Seconds()))
	fading := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	w.rate *= fading
	w.lost *= fading
	w.at = now
}
