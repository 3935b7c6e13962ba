package scheduler

import (
	"slices"
	"time"

	"shallotkeel.example/lib/accountant"
)

// maxDemandPerRow is the largest number of tickets that one row of demand
// reports.
const maxDemandPerRow = 32

// Durations and weights of the exchange between zones.
const (
	// Demand counts for the longer of demandRetention and retentionIntervals
	// exchange intervals after its last report.
	demandRetention    = 2 * time.Second
	retentionIntervals = 3
	// The end of a loan is repeated for the longer of minReturnRepeat and
	// returnIntervals exchange intervals, because the message may be lost.
	minReturnRepeat = 2 * time.Second
	returnIntervals = 2
	// intervalGain is the weight of a new sample in the moving average of a zone's
	// exchange interval.
	intervalGain = 1.0 / 4
)

// zone is the state reported by another zone's scheduler of this service.
type zone struct {
	name         string
	lastExchange time.Time
	interval     time.Duration // moving average of the time between its exchanges
	holds        []hold        // slots here that wait for its next exchange
}

// zone returns the state of the named zone and creates it on first use.
func (p *Pool) zone(name string) *zone {
	if known, found := p.zones[name]; found {
		return known
	}
	added := &zone{name: name}
	p.zones[name] = added
	p.zoneList = append(p.zoneList, added)
	return added
}

// noteExchange records the time of an exchange and updates the mean interval.
func (z *zone) noteExchange(now time.Time) {
	if !z.lastExchange.IsZero() {
		elapsed := min(max(now.Sub(z.lastExchange), 0), max(MaxCompareInterval, demandRetention))
		if z.interval == 0 {
			z.interval = elapsed
		}
		z.interval += time.Duration(intervalGain * float64(elapsed-z.interval))
	}
	z.lastExchange = now
}

// retention returns how long the zone's demand counts after its last exchange.
func (z *zone) retention() time.Duration {
	return max(demandRetention, retentionIntervals*z.interval)
}

// applyCompared processes an exchange from another zone and answers it with
// loans.
func (p *Pool) applyCompared(now time.Time, c Compared) {
	if c.Zone == "" || c.Zone == p.options.Zone {
		return
	}
	p.merge(now, c.Origin, c.Totals)
	from := p.zone(c.Zone)
	if now.Sub(from.lastExchange) > from.retention() {
		p.ledger.ResendAll()
	}
	from.noteExchange(now)
	p.addDeadline(now.Add(from.retention()))
	p.endLoans(now, from, c.Returned)
	p.renewLoans(now, from, c.Renewed)
	p.applyDemand(now, from, c.Demand)
	p.answerZone(now, from, c.Renewed)
}

// merge merges an origin's totals into the ledger and bounds the resulting
// debt.
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
		p.applyChange(w, change)
	}
}

// applyChange updates a workspace whose counter was changed by a merge.
func (p *Pool) applyChange(w *workspace, change accountant.Change) {
	before := w.account.Counter() - change.Jump
	if !change.Rejoined {
		p.boundLift(w, change)
	}
	switch {
	case change.Rejoined && !w.rejoined:
		w.rejoined = true
		w.leadBeforeMerge = max(0, before-p.virtualTimeFor(w))
	case !change.Rejoined:
		p.peakJump = max(p.peakJump, w.account.Counter()-before)
	}
	if len(w.active) > 0 {
		p.forgive(w)
	}
	p.reprice(w)
}

// boundLift limits the effect here of a lift or a forgiveness by another zone.
// That zone computes it from its own virtual time. If one of the two zones
// joined without its history, this differs from all counters here by the whole
// past: a workspace that waits with a counter far above the rest starves, and
// one far below the rest starves the others. So neither moves a counter further
// from the virtual time here than maxDebt.
func (p *Pool) boundLift(w *workspace, change accountant.Change) {
	ahead := w.account.Counter() - p.virtualTimeFor(w)
	switch {
	case change.Lift > 0 && ahead > p.maxDebt():
		w.account.Absorb(min(ahead-p.maxDebt(), change.Lift))
	case change.Lift < 0 && ahead < -p.maxDebt():
		w.account.Absorb(max(ahead+p.maxDebt(), change.Lift))
	}
}

// entry converts a total to an entry of the ledger.
func (t Total) entry() accountant.Entry {
	return accountant.Entry{
		Workspace: t.Workspace,
		Row:       accountant.Row{Charged: t.Charged, Lifted: t.Lifted, Forgiven: t.Forgiven},
	}
}

// totals converts entries of the ledger to totals.
func totals(entries []accountant.Entry) []Total {
	rows := make([]Total, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, Total{Workspace: e.Workspace, Charged: e.Charged, Lifted: e.Lifted, Forgiven: e.Forgiven})
	}
	return rows
}

// joinHistory merges a peer's collapsed history. Its entries for workspaces
// without work are older than the others, so a workspace that becomes active
// next is lifted to the highest counter less maxDebt.
func (p *Pool) joinHistory(history History) {
	entries := make([]accountant.Entry, 0, len(history.Totals))
	for _, total := range history.Totals {
		entries = append(entries, total.entry())
	}
	p.ledger.Join(entries)
	highest := 0.0
	for _, account := range p.ledger.Accounts() {
		highest = max(highest, account.Counter())
	}
	p.virtualTime = max(p.virtualTime, highest-p.maxDebt())
	for _, e := range p.endpointsByIndex {
		if e != nil {
			e.virtualTime = max(e.virtualTime, p.virtualTime)
		}
	}
	for _, w := range p.workspaceList {
		p.reprice(w)
	}
}

// applyDemand replaces the zone's demand for slots here.
func (p *Pool) applyDemand(now time.Time, from *zone, rows []Demand) {
	p.remotePenalty = p.localAdvantage() + termMarginShare*p.unitsPerSlot(p.term(from))
	listed := make(map[*lane]bool, len(rows))
	for _, row := range rows {
		if row.Waiting <= 0 {
			continue
		}
		l := p.lane(p.workspace(row.Workspace), laneKey{model: row.Model, zone: from.name}, nil)
		l.count = min(row.Waiting, maxDemandPerRow)
		listed[l] = true
		p.activateDemand(now, l)
	}
	for _, w := range p.workspaceList {
		for _, l := range slices.Clone(w.active) {
			if l.key.zone == from.name && !listed[l] {
				p.dropDemand(l)
			}
		}
		p.reprice(w)
	}
	p.updateMinRemoteCounter()
}

// activateDemand lets a zone's demand compete for slots. It is not lifted here:
// its own zone lifted the workspace when it became backlogged.
func (p *Pool) activateDemand(now time.Time, l *lane) {
	p.forgive(l.workspace)
	p.activate(now, l)
	l.updateHeap()
}

// updateMinRemoteCounter recomputes the smallest counter with demand from other
// zones.
func (p *Pool) updateMinRemoteCounter() {
	p.minRemoteCounter = 0
	for _, w := range p.workspaceList {
		for _, l := range w.active {
			if counter := w.account.Counter(); l.remote() && (p.minRemoteCounter == 0 || counter < p.minRemoteCounter) {
				p.minRemoteCounter = counter
			}
		}
	}
}

// dropDemand removes the demand of another zone.
func (p *Pool) dropDemand(l *lane) {
	l.count = 0
	l.updateHeap()
	p.deactivate(l)
}

// localAdvantage returns by how many units by weight local work is preferred to
// that of another zone. The other zone's work in flight is unknown here and
// assumed equal to that of local workspaces. In addition, running remotely has
// to gain at least one request of the mean cost; otherwise zones that are
// equally busy would swap half of their work without benefit.
func (p *Pool) localAdvantage() float64 {
	sum, waiting := 0.0, 0
	for _, w := range p.workspaceList {
		if w.waiting > 0 {
			sum += w.reservedByWeight()
			waiting++
		}
	}
	return sum/float64(max(1, waiting)) + p.estimator.Mean()
}

// termMarginShare is the part of a term's work by which local work is preferred
// in addition. With less, slots would be lent back and forth.
const termMarginShare = 0.5

// unitsPerSlot returns the mean number of units that a slot completes in the
// given time.
func (p *Pool) unitsPerSlot(term time.Duration) float64 {
	sum, count := 0.0, 0
	for _, e := range p.endpointsByIndex {
		if e != nil && e.pace > 0 {
			sum += float64(term) / e.pace
			count++
		}
	}
	return sum / float64(max(1, count))
}

// expireZones drops the demand and the holds of zones that have sent no exchange
// within their retention.
func (p *Pool) expireZones(now time.Time) {
	for _, z := range p.zoneList {
		expires := z.lastExchange.Add(z.retention())
		if now.Before(expires) {
			p.addDeadline(expires)
			continue
		}
		p.minRemoteCounter = 0
		p.releaseHolds(now, z)
		for _, w := range p.workspaceList {
			for _, l := range slices.Clone(w.active) {
				if l.key.zone == z.name {
					p.dropDemand(l)
				}
			}
		}
	}
}

// mayRunRemotely reports whether another zone may run a lane's tickets.
// Suspects stay in this zone because only this pool can keep them apart, and so
// do tickets that have already failed in another zone.
func (p *Pool) mayRunRemotely(l *lane) bool {
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

// History returns the collapsed totals for the scheduler of another zone that
// joins.
func (p *Pool) History() []Total {
	return totals(p.ledger.Collapse())
}
