package scheduler

import (
	"slices"
	"time"

	"shallotkeel.example/lib/accountant"
)

// maxDemand is how many tickets one row of demand tells of.
const maxDemand = 32

// Times of the exchange between zones.
const (
	// demandMemory is how long demand counts after it was last told, and at least
	// memoryIntervals exchanges.
	demandMemory    = 2 * time.Second
	memoryIntervals = 3
	// returnRepeat is how long the end of a loan is told again and again, because
	// the message may be lost, and at least returnIntervals exchanges.
	returnRepeat    = 2 * time.Second
	returnIntervals = 2
	intervalGain    = 1.0 / 4
)

// zone is what another zone's scheduler of this service has told.
type zone struct {
	name  string
	heard time.Time
	every time.Duration // mean time between its exchanges
	idle  int
	holds []hold
}

func (p *Pool) zone(name string) *zone {
	if known, found := p.zones[name]; found {
		return known
	}
	added := &zone{name: name}
	p.zones[name] = added
	p.zoneList = append(p.zoneList, added)
	return added
}

func (z *zone) hear(now time.Time) {
	if !z.heard.IsZero() {
		passed := min(max(now.Sub(z.heard), 0), max(CompareMost, demandMemory))
		if z.every == 0 {
			z.every = passed
		}
		z.every += time.Duration(intervalGain * float64(passed-z.every))
	}
	z.heard = now
}

// memory is how long the zone's demand counts when it is not heard.
func (z *zone) memory() time.Duration {
	return max(demandMemory, memoryIntervals*z.every)
}

// compared takes in what another zone told and answers it with loans.
func (p *Pool) compared(now time.Time, c Compared) {
	if c.Zone == "" || c.Zone == p.options.Zone {
		return
	}
	p.merge(now, c.Origin, c.Totals)
	from := p.zone(c.Zone)
	if now.Sub(from.heard) > from.memory() {
		p.ledger.ResendAll()
	}
	from.hear(now)
	from.idle = c.Idle
	p.wake(now.Add(from.memory()))
	p.endLoans(now, from, c.Returned)
	p.renewLoans(now, from, c.Renewed)
	p.demand(now, from, c.Demand)
	p.answer(now, from, c.Renewed)
}

// merge takes an origin's totals in and bounds the debt that they make.
func (p *Pool) merge(now time.Time, origin uint64, totals []Total) {
	if origin == p.options.Origin {
		return
	}
	entries := make([]accountant.Entry, 0, len(totals))
	for _, total := range totals {
		entries = append(entries, total.entry())
	}
	for _, change := range p.ledger.Merge(now, origin, entries) {
		w := p.workspaces[change.Account.Workspace]
		if w == nil {
			w = p.workspace(change.Account.Workspace)
		}
		p.moved(w, change)
	}
}

func (p *Pool) moved(w *workspace, change accountant.Change) {
	before := w.account.Counter() - change.Jump
	if !change.Rejoined {
		p.boundLift(w, change)
	}
	switch {
	case change.Rejoined && !w.jumped:
		w.jumped = true
		w.lead = max(0, before-p.standing(w))
	case !change.Rejoined:
		p.peakJump = max(p.peakJump, w.account.Counter()-before)
	}
	if len(w.active) > 0 {
		p.forgive(w)
	}
	p.reprice(w)
}

// boundLift bounds what it counts here that another zone lifted or forgave a
// workspace. That zone measures from what it serves itself; where one of the two
// joined without its history, that lies a whole past away from all counters here.
// One notices a workspace that waits alone with a counter far above the rest, and
// starves, or far below, and starves the rest. So neither leads further away from
// what is served here than the bound of debt.
func (p *Pool) boundLift(w *workspace, change accountant.Change) {
	ahead := w.account.Counter() - p.standing(w)
	switch {
	case change.Lift > 0 && ahead > p.debt():
		w.account.Absorb(min(ahead-p.debt(), change.Lift))
	case change.Lift < 0 && ahead < -p.debt():
		w.account.Absorb(max(ahead+p.debt(), change.Lift))
	}
}

func (t Total) entry() accountant.Entry {
	return accountant.Entry{
		Workspace: t.Workspace,
		Row:       accountant.Row{Charged: t.Charged, Lifted: t.Lifted, Forgiven: t.Forgiven},
	}
}

func totals(entries []accountant.Entry) []Total {
	rows := make([]Total, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, Total{Workspace: e.Workspace, Charged: e.Charged, Lifted: e.Lifted, Forgiven: e.Forgiven})
	}
	return rows
}

// join takes a peer's collapsed history in. What it says of workspaces without
// work is older than what it says of the others, so a workspace that comes next
// is lifted to the highest counter less the bound of debt.
func (p *Pool) join(history History) {
	entries := make([]accountant.Entry, 0, len(history.Totals))
	for _, total := range history.Totals {
		entries = append(entries, total.entry())
	}
	p.ledger.Join(entries)
	highest := 0.0
	for _, account := range p.ledger.Accounts() {
		highest = max(highest, account.Counter())
	}
	p.level = max(p.level, highest-p.debt())
	for _, e := range p.seats {
		if e != nil {
			e.level = max(e.level, p.level)
		}
	}
	for _, w := range p.order {
		p.reprice(w)
	}
}

// demand replaces what the zone would like to run here.
func (p *Pool) demand(now time.Time, from *zone, rows []Demand) {
	p.margin = p.localAdvantage() + termMargin*p.yield(p.term(from))
	listed := make(map[*lane]bool, len(rows))
	for _, row := range rows {
		if row.Waiting <= 0 {
			continue
		}
		l := p.lane(p.workspace(row.Workspace), laneKey{model: row.Model, zone: from.name}, nil)
		l.count = min(row.Waiting, maxDemand)
		listed[l] = true
		p.admitDemand(now, l)
	}
	for _, w := range p.order {
		for _, l := range slices.Clone(w.active) {
			if l.key.zone == from.name && !listed[l] {
				p.dropDemand(l)
			}
		}
		p.reprice(w)
	}
	p.noteAbroad()
}

// admitDemand lets demand compete. Its own zone has lifted it when it came up.
func (p *Pool) admitDemand(now time.Time, l *lane) {
	p.forgive(l.workspace)
	p.activate(now, l)
	l.settle()
}

// noteAbroad remembers the smallest counter that waits in other zones.
func (p *Pool) noteAbroad() {
	p.abroad = 0
	for _, w := range p.order {
		for _, l := range w.active {
			if counter := w.account.Counter(); l.remote() && (p.abroad == 0 || counter < p.abroad) {
				p.abroad = counter
			}
		}
	}
}

func (p *Pool) dropDemand(l *lane) {
	l.count = 0
	l.settle()
	p.retire(l)
}

// localAdvantage is by how much local work is preferred to another zone's. The
// other zone's work in flight is not known here, so as much is assumed as local
// workspaces have; and crossing has to be worth one request at least. Without
// it, zones that are equally busy would swap half of their work for nothing.
func (p *Pool) localAdvantage() float64 {
	sum, waiting := 0.0, 0
	for _, w := range p.order {
		if w.waiting > 0 {
			sum += w.reservedByWeight()
			waiting++
		}
	}
	return sum/float64(max(1, waiting)) + p.estimator.Mean()
}

// termMargin is the part of a term's worth of work by which local work is preferred
// besides: lending for less makes slots go back and forth.
const termMargin = 0.5

// yield is the mean of the units that a slot yields in a time.
func (p *Pool) yield(term time.Duration) float64 {
	sum, known := 0.0, 0
	for _, e := range p.seats {
		if e != nil && e.pace > 0 {
			sum += float64(term) / e.pace
			known++
		}
	}
	return sum / float64(max(1, known))
}

func (p *Pool) expireZones(now time.Time) {
	for _, z := range p.zoneList {
		silent := z.heard.Add(z.memory())
		if now.Before(silent) {
			p.wake(silent)
			continue
		}
		z.idle = 0
		p.abroad = 0
		p.releaseHolds(now, z)
		for _, w := range p.order {
			for _, l := range slices.Clone(w.active) {
				if l.key.zone == z.name {
					p.dropDemand(l)
				}
			}
		}
	}
}

// mayCross tells whether another zone may run a lane's tickets. Suspects stay,
// because only this pool can keep them apart, and so does what failed elsewhere.
func (p *Pool) mayCross(l *lane) bool {
	if l.remote() || l.key.alone || l.count == 0 {
		return false
	}
	for _, id := range l.avoid {
		if p.endpoints[id] == nil {
			return false
		}
	}
	return true
}

// History returns the collapsed totals for another zone's scheduler that joins.
func (p *Pool) History() []Total {
	return totals(p.ledger.Collapse())
}
