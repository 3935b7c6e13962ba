package scheduler

import (
	"slices"
	"time"
)

// Limits of holding slots for another zone.
const (
	// holdShare of the usable slots may be held at a time.
	holdShare = 8
	// holdWorth is how many exchange intervals a request must last before a slot
	// is held for one: the slot idles for up to an interval.
	holdWorth = 10
)

// hold is a slot kept free for a zone until its next exchange fetches it.
type hold struct {
	lane     *lane
	endpoint *endpoint
}

// loan is a slot that another zone's pool uses.
type loan struct {
	id       uint64
	zone     *zone
	lane     *lane
	endpoint *endpoint
	expires  time.Time
	reserved uint64 // units, so that one workspace does not win every slot until its charges arrive
}

// borrowing is a slot of another zone that one request here uses.
type borrowing struct {
	id    uint64
	ended time.Time
}

// lendTo gives a slot to another zone's demand: at once while that zone's
// exchange is being answered, otherwise by keeping it until the next.
func (p *Pool) lendTo(now time.Time, l *lane) {
	z := p.zones[l.key.zone]
	e := p.choose(l, 0)
	switch {
	case z == p.answering:
		e.lent++
		p.lend(now, z, l, e)
	case p.mayHold(z, e):
		e.held++
		p.held++
		z.holds = append(z.holds, hold{lane: l, endpoint: e})
	default:
		p.dropDemand(l)
		return
	}
	p.serveLevel(e, l.workspace)
	p.count(now, e)
	l.count--
	p.reprice(l.workspace)
	p.retire(l)
}

func (p *Pool) mayHold(z *zone, e *endpoint) bool {
	return p.held < max(1, p.usable/holdShare) && z.every > 0 && e.throttle.Service() >= holdWorth*z.every
}

// lend makes the loan of a slot that is counted as lent already.
func (p *Pool) lend(now time.Time, z *zone, l *lane, e *endpoint) {
	p.loanNumber++
	made := &loan{
		id: loanID(p.options.Origin, p.loanNumber), zone: z, lane: l, endpoint: e,
		expires: now.Add(p.options.Lease), reserved: uint64(l.record.Estimate(0)),
	}
	p.loans[made.id] = made
	p.loanList = append(p.loanList, made)
	l.workspace.reserved += made.reserved
	e.peak = max(e.peak, e.running+e.lent)
	p.wake(made.expires)
	p.lending = append(p.lending, Loan{
		ID: made.id, Workspace: l.workspace.name, Model: l.key.model,
		Endpoint: e.id, Incarnation: e.incarnation, Address: e.address, Lease: p.options.Lease,
	})
}

// loanBits is how many bits of a loan's id count; the rest tell the lender, for
// a borrower tells all zones at once which loans are over.
const loanBits = 24

func loanID(origin, number uint64) uint64 {
	mixed := origin + 0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	mixed ^= mixed >> 31
	return mixed<<loanBits | number&(1<<loanBits-1)
}

// answer gives a zone the slots held for it and those that it wins now.
func (p *Pool) answer(now time.Time, z *zone) {
	p.answering, p.lending = z, nil
	p.fetchHolds(now, z)
	p.dispatch(now)
	if len(p.lending) > 0 {
		p.act(Lend{Zone: z.name, Loans: p.lending})
	}
	p.answering, p.lending = nil, nil
}

// fetchHolds turns held slots into loans where there is still demand.
func (p *Pool) fetchHolds(now time.Time, z *zone) {
	holds := z.holds
	z.holds = nil
	p.held -= len(holds)
	for _, h := range holds {
		h.endpoint.held--
		if h.lane.count > 0 && h.endpoint.room(now) > 0 {
			h.endpoint.lent++
			p.lend(now, z, h.lane, h.endpoint)
			h.lane.count--
			h.lane.settle()
			p.reprice(h.lane.workspace)
			p.retire(h.lane)
		}
		p.countLiving(now, h.endpoint)
	}
}

func (p *Pool) releaseHolds(now time.Time, z *zone) {
	p.held -= len(z.holds)
	for _, h := range z.holds {
		h.endpoint.held--
		p.countLiving(now, h.endpoint)
	}
	z.holds = nil
}

func (p *Pool) countLiving(now time.Time, e *endpoint) {
	if !e.gone {
		p.count(now, e)
	}
}

func (p *Pool) endLoans(now time.Time, from *zone, ids []uint64) {
	for _, id := range ids {
		if ended := p.loans[id]; ended != nil && ended.zone == from {
			p.endLoan(now, ended)
		}
	}
}

func (p *Pool) renewLoans(now time.Time, from *zone, ids []uint64) {
	for _, id := range ids {
		if renewed := p.loans[id]; renewed != nil && renewed.zone == from {
			renewed.expires = now.Add(p.options.Lease)
		}
	}
}

func (p *Pool) endLoan(now time.Time, ended *loan) {
	delete(p.loans, ended.id)
	p.loanList = slices.DeleteFunc(p.loanList, func(other *loan) bool { return other == ended })
	w := ended.lane.workspace
	w.reserved -= ended.reserved
	ended.endpoint.lent--
	p.countLiving(now, ended.endpoint)
	p.reprice(w)
}

// expireLoans frees the slots of loans whose borrower has not been heard. Its
// requests may still run there; the engine queues what is too much for it.
func (p *Pool) expireLoans(now time.Time) {
	for _, l := range slices.Clone(p.loanList) {
		if now.Before(l.expires) {
			p.wake(l.expires)
			continue
		}
		p.endLoan(now, l)
	}
}

// lent gives borrowed slots to waiting tickets, and returns what none can use.
func (p *Pool) lent(now time.Time, l Lent) {
	p.merge(now, l.Origin, l.Totals)
	if l.Zone != "" {
		p.zone(l.Zone).idle = l.Idle
	}
	for _, offered := range l.Loans {
		if !p.borrowed(offered.ID) && !l.lapsed(now, offered) {
			p.borrow(now, offered)
		}
	}
}

// lapsed tells whether an offered loan may have ended at its lender, who counts
// the lease from making it. An answer that was late on its way would otherwise
// put a second request into a slot that was lent or granted again. One notices
// an engine with more requests than slots after a pause of the network.
func (l Lent) lapsed(now time.Time, offered Loan) bool {
	return !l.Asked.IsZero() && now.Sub(l.Asked) >= offered.Lease
}

// borrowed tells whether a loan has been taken before: answers may be repeated.
func (p *Pool) borrowed(id uint64) bool {
	if _, used := p.borrowings[id]; used {
		return true
	}
	return slices.ContainsFunc(p.over, func(b *borrowing) bool { return b.id == id })
}

func (p *Pool) borrow(now time.Time, offered Loan) {
	taken := &borrowing{id: offered.ID}
	p.borrowings[taken.id] = taken
	l := p.borrower(offered)
	if l == nil {
		p.giveBack(now, taken)
		return
	}
	r := l.first
	p.unqueue(l, r)
	r.target = offered.Endpoint
	r.loan = taken
	p.begin(now, r)
	p.reprice(l.workspace)
	p.retire(l)
	if !l.stranded.IsZero() {
		l.stranded = now
	}
	p.act(Grant{Request: r.id(), Endpoint: offered.Endpoint, Incarnation: offered.Incarnation, Address: offered.Address})
}

// borrower returns the lane whose first ticket a loan may serve, the oldest.
func (p *Pool) borrower(offered Loan) *lane {
	w := p.workspaces[offered.Workspace]
	if w == nil {
		return nil
	}
	var best *lane
	for _, l := range w.active {
		if l.key.model != offered.Model || !p.mayCross(l) || l.avoids(offered.Endpoint) {
			continue
		}
		if best == nil || l.first.order < best.first.order {
			best = l
		}
	}
	return best
}

// giveBack ends a borrowing; the lender is told with the next offers.
func (p *Pool) giveBack(now time.Time, b *borrowing) {
	delete(p.borrowings, b.id)
	b.ended = now
	p.over = append(p.over, b)
}

// dropLoans forgets the loans and holds of an endpoint that is gone.
func (p *Pool) dropLoans(e *endpoint) {
	for _, z := range p.zoneList {
		kept := slices.DeleteFunc(slices.Clone(z.holds), func(h hold) bool { return h.endpoint == e })
		p.held -= len(z.holds) - len(kept)
		z.holds = kept
	}
	for _, l := range slices.Clone(p.loanList) {
		if l.endpoint == e {
			p.endLoan(time.Time{}, l)
		}
	}
	e.lent, e.held = 0, 0
}
