package scheduler

import (
	"slices"
	"time"
)

// Limits of lending slots to another zone.
const (
	// holdShare of the usable slots may be held at a time.
	holdShare = 8
	// holdWorth is how many exchange intervals a loan must last before a slot is
	// held for one: the slot idles for up to an interval before it and after it.
	holdWorth = 10
	// holdMost is the longest interval for which a slot is held.
	holdMost = time.Second
	// termIntervals is how many exchange intervals a slot is lent for at a time.
	// Short terms follow the counters closely; each is extended by a message.
	termIntervals = 4
	// extendBefore is how many intervals before the end of its term a loan may be
	// extended.
	extendBefore = 2
	// usualTerms is how many terms a loan is taken to last with its extensions.
	usualTerms = 5
	// extendSlack is how many terms' worth of work a loan's workspace may be ahead
	// of the next in line when its loan is extended, so that slots do not idle
	// while they go back and forth.
	extendSlack = 2
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
	lease    time.Duration
	expires  time.Time
	until    time.Time // end of its term
	reserved uint64    // units, so that one workspace does not win every slot until its charges arrive
}

// borrowing is a slot of another zone that one request here uses at a time.
type borrowing struct {
	Loan
	zone  string
	until time.Time // no request begins there after
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
	lasts := max(e.throttle.Service(), usualTerms*p.term(z))
	return p.held < max(1, p.usable/holdShare) && z.every > 0 && lasts >= holdWorth*z.every && z.every <= holdMost
}

// term is how long a slot is lent to a zone. Short requests use it one after the
// other: a slot for each would idle for longer than it is used.
func (p *Pool) term(z *zone) time.Duration {
	return min(termIntervals*z.every, p.lease(z))
}

// lease is how long a slot is kept for a zone that is not heard. Zones compare the
// less often the more there are.
func (p *Pool) lease(z *zone) time.Duration {
	return max(p.options.Lease, termIntervals*z.every)
}

// batch is the units that a slot yields in a term, at least one request.
func (l *loan) batch(term time.Duration) uint64 {
	units := uint64(l.lane.record.Estimate(0))
	if pace := l.endpoint.pace; pace > 0 {
		units = max(units, uint64(float64(max(0, term))/pace))
	}
	return units
}

// lend makes the loan of a slot that is counted as lent already.
func (p *Pool) lend(now time.Time, z *zone, l *lane, e *endpoint) {
	p.loanNumber++
	term, lease := p.term(z), p.lease(z)
	made := &loan{
		id: loanID(p.options.Origin, p.loanNumber), zone: z, lane: l, endpoint: e,
		lease: lease, expires: now.Add(lease), until: now.Add(term),
	}
	p.loans[made.id] = made
	p.loanList = append(p.loanList, made)
	p.reserve(made, made.batch(term))
	e.peak = max(e.peak, e.running+e.lent)
	p.wake(made.expires)
	p.lending = append(p.lending, Loan{
		ID: made.id, Workspace: l.workspace.name, Model: l.key.model,
		Endpoint: e.id, Incarnation: e.incarnation, Address: e.address, Lease: lease, Term: term,
	})
}

// reserve charges what a loan is likely to cost its workspace.
func (p *Pool) reserve(l *loan, units uint64) {
	w := l.lane.workspace
	w.reserved += units - l.reserved
	l.reserved = units
	p.reprice(w)
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
func (p *Pool) answer(now time.Time, z *zone, renewed []uint64) {
	p.answering, p.lending = z, nil
	if p.regroup {
		p.rebuild(now)
	}
	p.extendLoans(now, z, renewed)
	p.fetchHolds(now, z)
	p.dispatch(now)
	if len(p.lending) > 0 {
		p.answers(p.lending)
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
			renewed.expires = now.Add(renewed.lease)
			// What it used so far is in the borrower's charges.
			p.reserve(renewed, renewed.batch(renewed.until.Sub(now)))
		}
	}
}

// extendLoans lends slots on whose term ends before the next exchange, where the
// slot would be lent again to the same workspace's work. It would idle until the
// borrower has told that it is free, and until it is fetched again.
func (p *Pool) extendLoans(now time.Time, from *zone, ids []uint64) {
	slack := p.margin + extendSlack*p.yield(p.term(from))
	for _, id := range ids {
		if l := p.loans[id]; l != nil && l.zone == from && p.mayExtend(now, l) {
			p.extend(now, l, slack)
		}
	}
}

// mayExtend tells whether a loan's term ends soon, and its endpoint may still have
// all the requests that it has.
func (p *Pool) mayExtend(now time.Time, l *loan) bool {
	return l.lane.count > 0 && l.until.Sub(now) <= extendBefore*l.zone.every && l.endpoint.busy() <= l.endpoint.limit(now)
}

// extend lends a slot on, unless another lane is next in line by more than slack.
func (p *Pool) extend(now time.Time, l *loan, slack float64) {
	p.reserve(l, 0)
	if best := p.best(l.endpoint); best != l.lane && l.lane.counter-slack > best.counter {
		p.reserve(l, l.batch(l.until.Sub(now)))
		return
	}
	term := p.term(l.zone)
	l.lease = p.lease(l.zone)
	l.expires = now.Add(l.lease)
	l.until = now.Add(term)
	p.reserve(l, l.batch(term))
	p.lending = append(p.lending, Loan{ID: l.id, Lease: l.lease, Term: term})
}

// best returns the lane with the smallest price that an endpoint may serve.
func (p *Pool) best(e *endpoint) *lane {
	var best *lane
	for _, g := range p.groupList {
		if len(g.lanes) > 0 && g.set.has(e.index) && (best == nil || g.lanes[0].before(best)) {
			best = g.lanes[0]
		}
	}
	return best
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
		if l.lapsed(now, offered) {
			continue
		}
		asked := l.Asked
		if asked.IsZero() {
			asked = now
		}
		until := asked.Add(min(offered.Term, offered.Lease))
		if known := p.borrowings[offered.ID]; known != nil && offered.Endpoint == "" {
			known.until = until
		} else if offered.Endpoint != "" && !p.borrowed(offered.ID) {
			p.borrow(now, offered, until, l.Zone)
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
	return slices.ContainsFunc(p.over, func(b *borrowing) bool { return b.ID == id })
}

func (p *Pool) borrow(now time.Time, offered Loan, until time.Time, zone string) {
	taken := &borrowing{Loan: offered, zone: zone, until: until}
	p.borrowings[taken.ID] = taken
	if !p.use(now, taken) {
		p.giveBack(now, taken)
	}
}

// use begins the next request in a borrowed slot, if there is one.
func (p *Pool) use(now time.Time, b *borrowing) bool {
	l := p.borrower(b.Loan)
	if l == nil {
		return false
	}
	r := l.first
	p.unqueue(l, r)
	r.target = b.Endpoint
	r.loan = b
	p.begin(now, r)
	p.reprice(l.workspace)
	p.retire(l)
	if !l.stranded.IsZero() {
		l.stranded = now
	}
	p.act(Grant{Request: r.id(), Endpoint: b.Endpoint, Incarnation: b.Incarnation, Address: b.Address})
	return true
}

// leave takes note that a request has left a borrowed slot. The next begins there
// within the term, unless the last one failed.
func (p *Pool) leave(now time.Time, b *borrowing, well bool) {
	if !well {
		p.giveBack(now, b)
		return
	}
	p.idle = append(p.idle, b)
}

// reuse begins requests in borrowed slots that are free. One that finds none is
// kept until the next offer, since its lender does not hear of it before.
func (p *Pool) reuse(now time.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(b *borrowing) bool {
		if now.Before(b.until) {
			return p.use(now, b)
		}
		p.giveBack(now, b)
		return true
	})
}

// giveBackIdle ends the borrowings that no request uses.
func (p *Pool) giveBackIdle(now time.Time) {
	for _, b := range p.idle {
		p.giveBack(now, b)
	}
	p.idle = nil
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
	delete(p.borrowings, b.ID)
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
