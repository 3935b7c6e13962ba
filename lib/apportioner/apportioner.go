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
	"math"
	"sync"
	"time"
)

const (
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
	// staleAfter is how old the sums may be. A router that hears no keeper goes by the
	// part of each workspace's demand that was its own when it last heard one.
	staleAfter = 3 * time.Second
	// longestPause bounds what a refused client is told. By then the sums have been told
	// several times, and a share that is next to nothing here may be another one.
	longestPause = 2 * time.Second
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
	best       float64 // tokens a second of whoever got most at each moment, over seconds
	bound      float64 // tokens a second beside one that is held back by its routers, 0 if none is
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
	// Asked is all of it, Got what has begun to be answered, and Unheard what routers had no
	// room for.
	Asked, Got, Unheard uint64
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
		uses[name] = Use{Asked: uint64(asked), Unheard: uint64(w.lost), Got: uint64(w.begun.rate(now))}
	}
	return uses
}

// Unheard returns what routers have no room for, in tokens a second, of the workspaces that get less
// than they are owed, now and over the last seconds: what of it is asked for here, and of the whole
// fleet as told last.
func (a *Apportioner) Unheard(now time.Time) (here, fleet float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, w := range a.workspaces {
		if max(w.served, float64(w.told.Got)) >= w.owed.share {
			continue
		}
		w.decay(now)
		here += w.lost
		fleet += float64(w.told.Unheard)
	}
	return here, fleet
}

// Ask counts a request that was refused because the router had no room for it.
func (a *Apportioner) Ask(now time.Time, name string, tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w := a.bounded(now, name); w != nil {
		w.ask(now, tokens)
		w.lost += asRate(tokens, halfLife)
	}
}

// Demand takes what all routers' workspaces ask for, this one's included, and how long
// engines still read what they have been sent. Both are the whole fleet's: routers that
// each followed what they see themselves would serve a workspace by the router that its
// clients happen to reach.
func (a *Apportioner) Demand(now time.Time, uses map[string]Use, backlog time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	elapsed := 0.0
	if !a.told.IsZero() {
		elapsed = now.Sub(a.told).Seconds()
	}
	a.told, a.backlog = now, backlog
	for name, w := range a.workspaces {
		a.tell(now, w, uses[name])
		if w.whole < 1 && now.Sub(w.asked) > idleAfter {
			delete(a.workspaces, name)
		}
	}
	for name, use := range uses {
		if w := a.get(now, name); w != nil {
			a.tell(now, w, use)
		}
	}
	a.remember(elapsed)
	a.divide()
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

// Standing is how a workspace stands in the whole fleet as told last, in tokens a second.
type Standing struct {
	// Got is what has begun to be answered. While its routers have no room for it, others are
	// held to a multiple of that.
	Got uint64
	// Owed is its share whatever engines have to do, and Most its share while they bear it. A
	// share without a bound is +Inf.
	Owed, Most float64
}

// Standing returns how a workspace stands, as nobody if it is not known.
func (a *Apportioner) Standing(name string) Standing {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, found := a.workspaces[name]
	if !found {
		return Standing{Owed: math.Inf(1), Most: math.Inf(1)}
	}
	return Standing{Got: w.told.Got, Owed: w.owed.share, Most: w.most.share}
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

// Begin counts what a request was admitted with whose answer begins.
func (a *Apportioner) Begin(now time.Time, name string, tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w := a.bounded(now, name); w != nil {
		w.begun.add(now, tokens)
	}
}

// Return gives back what a request was admitted with whose answer never began, because no
// endpoint ran it or its client left before. Kept, it would leave a workspace whose clients
// leave with a part of its share.
func (a *Apportioner) Return(name string, tokens float64, spare bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, found := a.workspaces[name]
	if !found || !w.most.bounded {
		return
	}
	w.most.take(-tokens)
	w.most.taken = max(w.most.taken, 0)
	if !spare {
		w.owed.take(-tokens)
	}
}
