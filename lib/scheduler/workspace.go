package scheduler

import "shallotkeel.example/lib/accountant"

// workspace is the state of one workspace at this pool.
type workspace struct {
	name     string
	account  *accountant.Account
	lanes    map[laneKey]*lane
	active   []*lane // lanes with tickets or demand
	allowed  bitset  // endpoints that the rules allow
	waiting  int     // number of tickets
	running  int
	reserved uint64 // units estimated for running requests and loans and not charged yet
	// rejoined says that a merge brought charges made during a partition;
	// leadBeforeMerge is how far ahead of the virtual time the workspace was
	// before that merge, in units by weight.
	rejoined        bool
	leadBeforeMerge float64
}

// maxLanes is the number of lanes per workspace above which a lane without work
// is deleted.
const maxLanes = 64

// price is the scheduling key, the smallest being served first: the counter
// plus the estimated cost of the work in flight, in units by weight.
func (w *workspace) price() float64 {
	return w.account.Counter() + w.reservedByWeight()
}

// reservedByWeight returns the estimated units in flight divided by the weight.
func (w *workspace) reservedByWeight() float64 {
	return float64(w.reserved) / w.account.Weight()
}

// workspace returns the state of the named workspace and creates it on first
// use.
func (p *Pool) workspace(name string) *workspace {
	if known, found := p.workspaces[name]; found {
		return known
	}
	if len(p.workspaceList) >= accountant.MaxAccounts {
		// The rules grant the empty name nothing, so work of further workspaces
		// is refused, and memory stays bounded whatever names arrive.
		name = ""
		if shared, found := p.workspaces[name]; found {
			return shared
		}
	}
	added := &workspace{name: name, account: p.ledger.Account(name), lanes: make(map[laneKey]*lane)}
	p.workspaces[name] = added
	p.workspaceList = append(p.workspaceList, added)
	p.bindRules(added)
	return added
}

// bindRules applies the current rules to the workspace: its weight and its
// allowed endpoints.
func (p *Pool) bindRules(w *workspace) {
	if p.rules == nil {
		return
	}
	w.account.SetWeight(p.rules.Weight(w.name))
	for _, e := range p.endpointsByIndex {
		if e != nil {
			w.allowed.put(e.index, p.rules.Allowed(w.name, e.id, e.labels))
		}
	}
}

// reprice updates the position of the workspace's active lanes in their heaps
// after a change of its price.
func (p *Pool) reprice(w *workspace) {
	price := w.price()
	for _, l := range w.active {
		l.counter = price
		if l.remote() {
			l.counter += p.remotePenalty
		}
		l.updateHeap()
	}
}

// virtualTimeFor returns the virtual time of the pool for a workspace: the
// maximum, over the endpoints that it may use, of the counter of the workspace
// last served there. A workspace whose counter equals this value is next in
// line at one endpoint at least. If all workspaces share one set of endpoints,
// it is the smallest counter of the waiting workspaces, up to the work in
// flight.
func (p *Pool) virtualTimeFor(w *workspace) float64 {
	highest := 0.0
	w.allowed.each(p.eligible, func(index int) {
		highest = max(highest, p.endpointsByIndex[index].virtualTime)
	})
	return highest
}

// lift applies the start-time rule: it raises the counter of a workspace that
// becomes backlogged, so that the time without work earns no credit against
// workspaces that had work. If no ticket waits here, the competitors are the
// workspaces waiting in other zones.
func (p *Pool) lift(w *workspace) {
	counter := p.virtualTimeFor(w)
	if p.waiting == 0 {
		counter = max(counter, p.minRemoteCounter)
	}
	w.account.LiftTo(counter)
}

// forgive writes off the debt of a workspace beyond the bound after a
// partition. Without it, a workspace that was served on both sides, or on the
// side with more capacity, would wait after the merge until all others have
// caught up. The others are not lifted in addition, because both together would
// reverse the debt.
func (p *Pool) forgive(w *workspace) {
	if !w.rejoined {
		return
	}
	w.rejoined = false
	lead := w.leadBeforeMerge
	w.leadBeforeMerge = 0
	w.account.ForgiveTo(p.virtualTimeFor(w) + max(p.maxDebt(), lead))
}

// Limits of the default of Options.MaxDebt.
const (
	debtRequests = 8 // in requests of the mean cost
	minDebtBound = 1024
)

// maxDebt returns how far ahead a workspace may be after a partition, in units
// by weight.
func (p *Pool) maxDebt() float64 {
	if p.options.MaxDebt > 0 {
		return p.options.MaxDebt
	}
	return max(minDebtBound, debtRequests*p.estimator.Mean())
}

// updatePeaks records the maximum that one workspace has had in flight
// recently.
func (p *Pool) updatePeaks(w *workspace) {
	p.peakInFlight = max(p.peakInFlight, w.reservedByWeight())
	p.peakRunning = max(p.peakRunning, float64(w.running)/w.account.Weight())
}
