package scheduler

import "shallotkeel.example/lib/accountant"

// workspace is one workspace's work at this pool.
type workspace struct {
	name     string
	account  *accountant.Account
	lanes    map[laneKey]*lane
	active   []*lane // those with tickets or demand
	allowed  bitset  // endpoints that the rules allow
	waiting  int     // tickets
	running  int
	reserved uint64 // units estimated for running requests and not yet charged
	// jumped says that a merge brought what happened during a cut; lead is how
	// far ahead the workspace was before.
	jumped bool
	lead   float64
}

// maxLanes is how many empty lanes a workspace keeps for later.
const maxLanes = 64

// price is what decides who is next: the counter and the estimated cost of what
// is in flight, in units by weight.
func (w *workspace) price() float64 {
	return w.account.Counter() + w.reservedByWeight()
}

func (w *workspace) reservedByWeight() float64 {
	return float64(w.reserved) / w.account.Weight()
}

// workspace returns the workspace's work here, made on first use.
func (p *Pool) workspace(name string) *workspace {
	if known, found := p.workspaces[name]; found {
		return known
	}
	if len(p.order) >= accountant.MaxAccounts {
		// The empty name has no rules, so what comes under it is refused; memory
		// stays bounded whatever names arrive.
		name = ""
		if shared, found := p.workspaces[name]; found {
			return shared
		}
	}
	added := &workspace{name: name, account: p.ledger.Account(name), lanes: make(map[laneKey]*lane)}
	p.workspaces[name] = added
	p.order = append(p.order, added)
	p.bind(added)
	return added
}

// bind lets the rules in force say what the workspace may use.
func (p *Pool) bind(w *workspace) {
	if p.rules == nil {
		return
	}
	w.account.SetWeight(p.rules.Weight(w.name))
	for _, e := range p.seats {
		if e != nil {
			w.allowed.put(e.index, p.rules.Allowed(w.name, e.id, e.labels))
		}
	}
}

// reprice brings the workspace's lanes to where its price puts them.
func (p *Pool) reprice(w *workspace) {
	price := w.price()
	for _, l := range w.active {
		l.counter = price
		if l.remote() {
			l.counter += p.margin
		}
		l.settle()
	}
}

// standing is the counter at which the pool serves now, where this workspace
// may be served: the highest among its endpoints of the counter of the
// workspace last served there. A workspace at its standing is next in line at
// one endpoint at least. With one set of endpoints for all it is, within what
// is in flight, the smallest counter of those that wait.
func (p *Pool) standing(w *workspace) float64 {
	highest := 0.0
	w.allowed.each(p.alive, func(index int) {
		highest = max(highest, p.seats[index].level)
	})
	return highest
}

// lift raises the counter of a workspace that becomes backlogged, so that the
// time it had no work banks no credit against those that had. Where nobody waits
// here, its rivals are those who wait in other zones.
func (p *Pool) lift(w *workspace) {
	counter := p.standing(w)
	if p.waiting == 0 {
		counter = max(counter, p.abroad)
	}
	w.account.LiftTo(counter)
}

// forgive writes off what a workspace owes beyond the bound after a cut. Without
// it, a workspace served in both halves, or in the richer one, would wait, when
// they rejoin, until all others have caught up. Those behind are not lifted
// besides: the two together would turn the debt around.
func (p *Pool) forgive(w *workspace) {
	if !w.jumped {
		return
	}
	w.jumped = false
	lead := w.lead
	w.lead = 0
	w.account.ForgiveTo(p.standing(w) + max(p.debt(), lead))
}

// Limits of the default bound of debt.
const (
	debtRequests = 8 // requests of the mean cost
	leastDebt    = 1024
)

// debt is how far ahead a workspace may be after a cut, in units by weight.
func (p *Pool) debt() float64 {
	if p.options.Debt > 0 {
		return p.options.Debt
	}
	return max(leastDebt, debtRequests*p.estimator.Mean())
}

// notePeak remembers the most that one workspace had in flight lately.
func (p *Pool) notePeak(w *workspace) {
	p.peakInFlight = max(p.peakInFlight, w.reservedByWeight())
	p.peakRunning = max(p.peakRunning, float64(w.running)/w.account.Weight())
}
