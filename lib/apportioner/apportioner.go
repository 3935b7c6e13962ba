// Package apportioner admits the requests of workspaces by their max-min fair shares of the fleet's
// capacity.
//
// Every router measures the demand of each workspace in tokens per second and reports it to the
// keepers, which return the sums over all routers. From the sums and the capacity each router
// computes the same shares (D. Bertsekas and R. Gallager, "Data Networks", 1992, section 6.5.2). Of
// the demand that it receives itself, it admits the part that the workspace's share is of the
// workspace's demand in the whole fleet. No router decides for another, and no request waits for a
// message.
//
// Shares are stretched beyond the stated capacity while engines have headroom; see stretch.
//
// A workspace is starved if it demands more than its guaranteed share and the routers that its
// clients reach are too busy to read a large part of its requests. Others are then bounded by a
// multiple of what it gets; see starvationBounds.
//
// Invariants: while the total demand of all workspaces is below the capacity, nothing is refused; a
// workspace that demands less than its share is never refused; what all routers admit in a second
// is, up to the age of the sums and a burst of Burst seconds, at most the capacity.
package apportioner

import (
	"math"
	"sync"
	"time"
)

const (
	// Burst is the depth of an allowance, in seconds of the share. It covers the age of the sums
	// and the clustering of requests.
	Burst = 1.0
	// initialBurst is the initial allowance, in seconds of the share, of a workspace whose demand
	// begins to exceed its share. With an empty allowance a starting fleet would refuse its first
	// requests while all engines are idle.
	initialBurst = 0.25
	// lateThreshold is the level of the allowance, as a part of a burst, that late requests need to
	// be admitted.
	lateThreshold = 0.5
	// staleAfter is the age from which the sums are stale. A router without keeper updates then
	// uses the part of each workspace's demand that was its own in the last sums.
	staleAfter = 3 * time.Second
	// maxRetryAfter bounds the retry delay that a refused client gets. By then the sums have been
	// updated several times, and a share that is close to zero here may have changed.
	maxRetryAfter = 2 * time.Second
	// idleAfter is the time without requests after which a workspace is removed.
	idleAfter = 30 * time.Second
)

// Apportioner is the admission control of one router. Its zero value admits everything. It is safe
// for concurrent use.
type Apportioner struct {
	mutex           sync.Mutex
	capacity        float64 // tokens per second of the whole fleet; 0 if unknown
	routers         int
	workspaces      map[string]*workspace
	sumsAt          time.Time     // time of the latest sums over all routers
	firstRequestAt  time.Time     // start of the demand measurement
	backlog         time.Duration // prefill backlog of the engines, from the latest sums
	bestServed      float64       // EWMA of the highest service rate of any workspace, tokens per second
	starvationBound float64       // bound on other workspaces while one is starved, tokens per second; 0 if none is
}

// SetCapacity sets the stated capacity of the fleet, in tokens per second.
func (a *Apportioner) SetCapacity(tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.capacity = tokens
	a.divide()
}

// SetRouterCount sets the number of routers among which the demand is divided.
func (a *Apportioner) SetRouterCount(count int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.routers = count
}

// Use is the demand of a workspace and what became of it, in tokens per second.
type Use struct {
	// Demand is the total, Served the part whose answers have begun, and Shed the part that routers
	// refused because they were too busy to read it.
	Demand, Served, Shed uint64
}

// Uses returns the use of each workspace at this router.
func (a *Apportioner) Uses(now time.Time) map[string]Use {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	uses := make(map[string]Use, len(a.workspaces))
	for name, w := range a.workspaces {
		demand := a.demandRate(now, w)
		if demand < 1 {
			continue
		}
		uses[name] = Use{Demand: uint64(demand), Shed: uint64(w.shedRate), Served: uint64(w.servedMeter.rate(now))}
	}
	return uses
}

// ShedRates returns the demand that routers shed, in tokens per second, summed over the workspaces
// that get less than their guaranteed share, both at present and averaged over some seconds: the
// part shed at this router, and that of the whole fleet from the latest sums.
func (a *Apportioner) ShedRates(now time.Time) (here, fleet float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, w := range a.workspaces {
		if w.served() >= w.guaranteed.share {
			continue
		}
		w.decay(now)
		here += w.shedRate
		fleet += float64(w.fleetUse.Shed)
	}
	return here, fleet
}

// CountShed counts a request that was refused because the router was too busy for it.
func (a *Apportioner) CountShed(now time.Time, name string, tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w := a.bounded(now, name); w != nil {
		w.addDemand(now, tokens)
		w.shedRate += asRate(tokens, halfLife)
	}
}

// SetFleetUse sets the use of each workspace summed over all routers, including this one, and the
// prefill backlog of the engines, as the median router estimates it. Both cover the whole fleet: if
// each router used its own observations, the service of a workspace would depend on the routers that
// its clients happen to reach.
func (a *Apportioner) SetFleetUse(now time.Time, uses map[string]Use, backlog time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	elapsed := 0.0
	if !a.sumsAt.IsZero() {
		elapsed = now.Sub(a.sumsAt).Seconds()
	}
	a.sumsAt, a.backlog = now, backlog
	for name, w := range a.workspaces {
		a.applyUse(now, w, uses[name])
		if w.fleetDemand < 1 && now.Sub(w.lastRequest) > idleAfter {
			delete(a.workspaces, name)
		}
	}
	for name, use := range uses {
		if w := a.get(now, name); w != nil {
			a.applyUse(now, w, use)
		}
	}
	a.updateServed(elapsed)
	a.divide()
}

// Stretch returns the factor between the present shares and those of the stated capacity.
func (a *Apportioner) Stretch() float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return stretch(a.backlog)
}

// SumsAge returns the age of the sums over all routers, 0 before the first update.
func (a *Apportioner) SumsAge(now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.sumsAt.IsZero() {
		return 0
	}
	return now.Sub(a.sumsAt)
}

// WorkspaceShares are the service rate and the shares of a workspace in the whole fleet, from the
// latest sums, in tokens per second.
type WorkspaceShares struct {
	// Served is the rate of requests whose answers have begun. While the workspace is starved, the
	// others are bounded by a multiple of it.
	Served uint64
	// Guaranteed is its share independent of the load of engines, and Maximum its share at their
	// present load. A share without a bound is +Inf.
	Guaranteed, Maximum float64
}

// Shares returns the shares of a workspace; those of an unknown workspace have no bound.
func (a *Apportioner) Shares(name string) WorkspaceShares {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, found := a.workspaces[name]
	if !found {
		return WorkspaceShares{Guaranteed: math.Inf(1), Maximum: math.Inf(1)}
	}
	return WorkspaceShares{Served: w.fleetUse.Served, Guaranteed: w.guaranteed.share, Maximum: w.maximum.share}
}

// Decision is the result of an admission check and the figures that it is based on.
type Decision struct {
	Admitted bool
	// BestEffort is set if the request was admitted beyond the guaranteed share: it should run only
	// where it delays no other request.
	BestEffort bool
	// RetryAfter is the delay after which a refused request may be retried.
	RetryAfter time.Duration
	// Demand and Share are those of the workspace in the whole fleet, and LocalShare is this
	// router's part of the share, all in tokens per second. A share without a bound is +Inf.
	Demand, Share, LocalShare float64
	// Stretch is the factor that the shares were computed with, and Backlog the time that engines
	// need to prefill the prompts that they have been sent.
	Stretch float64
	Backlog time.Duration
	// Age is the age of the sums over all routers.
	Age time.Duration
}

// Admit reports whether a request of the given number of tokens may run now. A late request is
// admitted only while the workspace leaves half of a burst unused: if not all requests can be
// served, those that can still meet their target have precedence.
func (a *Apportioner) Admit(now time.Time, name string, tokens float64, late bool) Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.bounded(now, name)
	if w == nil {
		return Decision{Admitted: true}
	}
	w.addDemand(now, tokens)
	d := a.decide(now, w, late)
	if !d.Admitted {
		return d
	}
	w.maximum.spend(tokens)
	d.BestEffort = w.guaranteed.bounded && w.guaranteed.tokens < 0
	if !d.BestEffort {
		w.guaranteed.spend(tokens)
	}
	return d
}

// WouldRefuse reports whether Admit would refuse a request now. If so, the request is counted as
// demand; otherwise nothing is counted or spent, and the caller has to call Admit.
func (a *Apportioner) WouldRefuse(now time.Time, name string, tokens float64, late bool) (Decision, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.bounded(now, name)
	if w == nil {
		return Decision{Admitted: true}, false
	}
	d := a.decide(now, w, late)
	if !d.Admitted {
		w.addDemand(now, tokens)
	}
	return d, !d.Admitted
}

// bounded returns the workspace whose shares apply to a request, nil if none do: the request has no
// workspace, the capacity is unknown, or too many workspaces are measured.
func (a *Apportioner) bounded(now time.Time, name string) *workspace {
	if name == "" || a.capacity <= 0 {
		return nil
	}
	if a.firstRequestAt.IsZero() {
		a.firstRequestAt = now
	}
	return a.get(now, name)
}

// decide refills a workspace's allowances up to now and checks them.
func (a *Apportioner) decide(now time.Time, w *workspace, late bool) Decision {
	elapsed := now.Sub(w.refilledAt).Seconds()
	w.refilledAt = now
	local := a.localShare(now, w, w.maximum.share)
	d := Decision{Admitted: true, Demand: w.fleetDemand, Share: w.maximum.share, LocalShare: local, Stretch: stretch(a.backlog), Backlog: a.backlog, Age: now.Sub(a.sumsAt)}
	w.maximum.refill(local, elapsed)
	w.guaranteed.refill(a.localShare(now, w, w.guaranteed.share), elapsed)
	threshold := 0.0
	if late {
		threshold = lateThreshold * local * Burst
	}
	if w.maximum.bounded && w.maximum.tokens < threshold {
		d.Admitted = false
		pause := (threshold - w.maximum.tokens) / max(local, 1)
		d.RetryAfter = time.Duration(min(pause, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return d
}

// CountServed counts the tokens of an admitted request whose answer begins.
func (a *Apportioner) CountServed(now time.Time, name string, tokens float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if w := a.bounded(now, name); w != nil {
		w.servedMeter.add(now, tokens)
	}
}

// Refund returns the tokens of an admitted request whose answer never began, because no endpoint
// ran it or its client left before. Without refunds a workspace whose clients often leave would get
// only a part of its share.
func (a *Apportioner) Refund(name string, tokens float64, bestEffort bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w, found := a.workspaces[name]
	if !found || !w.maximum.bounded {
		return
	}
	w.maximum.spend(-tokens)
	w.maximum.spentRate = max(w.maximum.spentRate, 0)
	if !bestEffort {
		w.guaranteed.spend(-tokens)
	}
}
